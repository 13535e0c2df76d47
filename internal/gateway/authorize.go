package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/routing"
	"ragwortstile/internal/team"
)

// errNotAuthorized means that a request was not sent because its API key was no longer accepted.
var errNotAuthorized = errors.New("the API key is no longer accepted")

// identifyTeam finds the team of the caller by its API key.
func (q *request) identifyTeam() *rejection {
	owner, hasTeams, rejected := q.judgeKey()
	q.team, q.hasTeams = owner, hasTeams
	if owner != nil {
		q.log = q.log.WithField("team", owner.Name)
	}
	return rejected
}

// authorized judges the API key again, before something is sent. A request that has waited may run only if its key still
// belongs to the team under which it was admitted. If it does not, unauthorized is set.
func (q *request) authorized() bool {
	if q.unauthorized != nil {
		return false
	}
	owner, hasTeams, rejected := q.judgeKey()
	switch {
	case rejected != nil:
	case hasTeams && !q.hasTeams, !sameTeam(owner, q.team):
		// The caller's next attempt is served under the configuration of then.
		rejected = unavailable(reasonTeamChanged, minRetryAfter)
	default:
		q.team = owner
		return true
	}
	q.unauthorized = rejected
	q.log.WithFields(logrus.Fields{"reason": rejected.reason, "sends": q.sends, "age": time.Since(q.start).Milliseconds()}).
		Info("request not sent, its API key is no longer accepted")
	return false
}

// ownerProven reports whether the team of the request is certain enough to say that its turn does not exist or that its
// budget is spent, which the caller does not try again: the key may have moved to another team as long ago as a key may be
// unknown. If it is not, unauthorized is set.
func (q *request) ownerProven() bool {
	if !q.authorized() {
		return false
	}
	if q.hasTeams && q.g.view.proofAge() > q.g.settings.maxUnknownAge() {
		q.unauthorized = unavailable(reasonUnconfirmed, proofRetryAfter)
		return false
	}
	return true
}

func sameTeam(a, b *team.Team) bool {
	return a == nil && b == nil || a != nil && b != nil && a.Name == b.Name
}

// judgeKey returns the team that the API key of the request belongs to, under the present configuration and its proof.
func (q *request) judgeKey() (owner *team.Team, hasTeams bool, rejected *rejection) {
	view, settings := q.g.view, q.g.settings
	if table := view.table.Load(); table != nil && !table.HasTeams() {
		return nil, false, nil
	}
	age := view.proofAge() // before the configuration, see team.Freshness
	table := view.table.Load()
	switch {
	case table == nil:
		return nil, false, unavailable(reasonNoConfig, minRetryAfter)
	case !table.HasTeams():
		return nil, false, nil
	}
	owner, rejected = judgeKey(table, q.meta.APIKey, age, settings.maxKnownAge(), settings.maxUnknownAge())
	if q.route.Public && rejected != nil {
		if q.meta.APIKey != "" && rejected.status != http.StatusUnauthorized && q.isKept() {
			// Without its team the turns of the program would not be found, which callers must not be told.
			return nil, true, rejected
		}
		return nil, true, nil
	}
	return owner, true, rejected
}

// judgeKey returns the team that an API key belongs to in a configuration whose proof has the given age. A key is accepted
// up to the age maxKnown, and called unknown up to the age maxUnknown.
func judgeKey(table *routing.Table, key string, age, maxKnown, maxUnknown time.Duration) (*team.Team, *rejection) {
	owner := table.Owner(key)
	switch {
	case owner != nil && age <= maxKnown:
		return owner, nil
	case owner != nil, age > maxUnknown:
		return nil, unavailable(reasonUnconfirmed, proofRetryAfter)
	case key == "":
		return nil, &rejection{status: http.StatusUnauthorized, reason: reasonNoKey}
	default:
		return nil, &rejection{status: http.StatusUnauthorized, reason: reasonUnknownKey}
	}
}

// isKept reports whether the turns or the budget of the request's program are kept in the ledger.
func (q *request) isKept() bool {
	return q.route.Kind == routing.Streaming && (q.route.History || q.meta.HasBudget && q.meta.Program != "")
}

// teamName returns the name of the caller's team, or an empty string.
func (q *request) teamName() string {
	if q.team == nil {
		return ""
	}
	return q.team.Name
}

// programKey, turnKey and previousKey return the IDs under which the data of the request is kept, scoped by the caller's team.
func (q *request) programKey() string  { return q.team.Scope(q.meta.Program) }
func (q *request) turnKey() string     { return q.team.Scope(q.meta.ID) }
func (q *request) previousKey() string { return q.team.Scope(q.meta.Previous) }
