package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/ledger"
	"ragwortstile/internal/peer"
	"ragwortstile/internal/quota"
	"ragwortstile/internal/routing"
	"ragwortstile/internal/team"
	"ragwortstile/internal/wire"
)

const (
	// quotaTickInterval is the time between checks of who issues, and with which instances there is a connection. An
	// issuer that has not checked for several times as long takes itself for frozen.
	quotaTickInterval = 100 * time.Millisecond
	// quotaTimeout bounds a question to an issuer. It is longer than the life of most leases, so that no answer of use
	// is given up.
	quotaTimeout = 150 * time.Millisecond
	// quotaPollInterval bounds the wait of a request for the next look at its team's account.
	quotaPollInterval = 50 * time.Millisecond
	// accountIdleTime is the time after which the account of a team without requests is dropped.
	accountIdleTime = time.Minute
	// unmeteredTime is how long requests pass after an issuer of a version before quotas was asked.
	unmeteredTime = time.Second
	// quotaKeyPrefix separates the keys of teams in the ledger from those of programs and endpoints.
	quotaKeyPrefix = "quota/"
)

// Reasons of refusals.
const (
	reasonOverQuota   = "over_quota"
	reasonQuotaUnsure = "quota_unknown"
)

// errLeaseExpired means that a request was not sent because its unit of the team's quota had expired.
var errLeaseExpired = errors.New("the lease of the quota has expired")

// quotas keeps the requests of teams within their quotas. It is safe for concurrent use.
type quotas struct {
	g       *Gateway
	bound   quota.Bound
	metrics *labelSet // teams

	mu       sync.Mutex
	accounts map[string]*quotaAccount // by team
	issuer   *quota.Issuer            // for the teams whose partition this instance holds
	census   *quota.Census
	table    *routing.Table         // that limits was read from
	limits   map[string]quota.Limit // by team
	known    int                    // instances that the last issuer knew
	counted  int                    // the same with those that it was told of
	rank     int                    // of this instance among them
	knownAt  time.Time
}

// quotaAccount is the account of a team at this instance.
type quotaAccount struct {
	*quota.Account
	team      string
	limit     quota.Limit
	waiting   [quota.Classes]int
	unknown   map[uint64]int // waiting first turns by program
	changed   chan struct{}  // closed at each answer of the issuer
	usedAt    time.Time
	answerAt  time.Time // of the issuer's last answer
	unmetered time.Time // until when requests pass, as the issuer is of a version before quotas
}

func newQuotas(g *Gateway) *quotas {
	return &quotas{
		g: g, bound: quota.Bound{Window: g.settings.QuotaWindow, Overage: g.settings.QuotaOverage, Slack: g.settings.QuotaSlack},
		metrics:  g.metrics.teams,
		accounts: make(map[string]*quotaAccount), issuer: quota.NewIssuer(uint64(rand.Uint32())), census: quota.NewCensus(g.settings.Instance, g.settings.hasSeeds(), bootTime()),
	}
}

// enforced reports whether quotas are kept at all.
func (s *quotas) enforced() bool { return s.bound.Window > 0 }

func quotaKey(team string) string { return quotaKeyPrefix + team }

func limitOfTeam(t *team.Team) quota.Limit {
	return quota.Limit{PerSecond: t.PerSecond, Burst: t.Burst}
}

// run checks regularly which teams this instance issues for and which instances it reaches.
func (s *quotas) run(ctx context.Context) error {
	tick := time.NewTicker(quotaTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			s.check()
		}
	}
}

func (s *quotas) check() {
	remotes := s.g.node.Connected()
	connected := make([]string, 0, len(remotes))
	for _, r := range remotes {
		connected = append(connected, r.Session.Instance())
	}
	proven := !s.g.storeDep.failing()
	now := bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.issuer.Tick(now) {
		s.g.log.Warn("instance was stopped for a while, quotas are issued from empty buckets")
	}
	if s.g.stopping.Load() {
		s.census.Stop()
	}
	s.census.Update(connected, proven, now)
	teams := s.teams()
	s.issuer.Retain(func(team string) bool {
		_, limited := teams[team]
		return limited && s.g.ledger.Holds(quotaKey(team))
	})
	for name, limit := range teams {
		if s.g.ledger.Holds(quotaKey(name)) {
			s.issuer.Begin(name, limit, s.bound.Terms(limit), now)
		}
	}
	for name, a := range s.accounts {
		if now.Sub(a.usedAt) > accountIdleTime && a.waiting == [quota.Classes]int{} {
			delete(s.accounts, name)
		}
	}
}

// peerConnected records a new connection to an instance.
func (s *quotas) peerConnected(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.census.Connected(instance)
}

// peerLeaves records that an instance has said that it stops.
func (s *quotas) peerLeaves(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.census.Leaves(instance)
}

// account returns the account of a team. The caller holds the lock.
func (s *quotas) account(t *team.Team, now time.Time) *quotaAccount {
	a := s.accounts[t.Name]
	if a == nil {
		a = &quotaAccount{Account: quota.NewAccount(), team: t.Name, unknown: make(map[uint64]int), changed: make(chan struct{})}
		s.accounts[t.Name] = a
	}
	a.limit, a.usedAt = limitOfTeam(t), now
	return a
}

// instances returns how many instances there are, and the position of this one among them for a team. The number is 0 if
// no issuer has named it a short time ago. The caller holds the lock.
func (s *quotas) instances(team string, now time.Time) (n, rank int) {
	if s.told(now) == 0 {
		return 0, 0
	}
	n = max(s.counted, s.census.Count(now))
	return n, (s.rank + int(xxhash.Sum64String(team)%uint64(n))) % n
}

// told returns how many instances an issuer knew a short time ago. The caller holds the lock.
func (s *quotas) told(now time.Time) int {
	if now.Sub(s.knownAt) > quota.CensusMemory {
		return 0
	}
	return s.known
}

// askIfDue asks the issuer for a lease if there is reason to. The caller holds the lock.
func (s *quotas) askIfDue(a *quotaAccount, now time.Time) {
	terms := s.bound.Terms(a.limit)
	if !a.MayAsk(a.waiting, terms, now) {
		return
	}
	var unknown []uint64
	for program := range a.unknown {
		unknown = append(unknown, program)
	}
	want := a.Ask(a.waiting, unknown, terms, now)
	get := wire.QuotaGet{
		Team: a.team, Need: trimmed(want.Need), Extra: want.Extra, Served: want.Served, Unknown: want.Unknown,
		Instances: max(s.census.Known(), s.told(now)),
	}
	for _, c := range want.Credits {
		get.Credits = append(get.Credits, wire.QuotaCredit{Lease: c.Lease, N: c.N})
	}
	go s.ask(a, get)
}

// trimmed returns counts by class for a message, without the zeros at the end.
func trimmed(counts [quota.Classes]int) []int {
	n := len(counts)
	for n > 0 && counts[n-1] == 0 {
		n--
	}
	return counts[:n:n]
}

// ask sends a question to the issuer and applies the answer.
func (s *quotas) ask(a *quotaAccount, get wire.QuotaGet) {
	ctx, cancel := context.WithTimeout(context.Background(), quotaTimeout)
	defer cancel()
	var lease wire.QuotaLease
	err := s.g.ledger.AskHolder(ctx, quotaKey(get.Team), func() (err error) {
		lease, err = s.grant(get, s.g.settings.Instance)
		return err
	}, get, func(m wire.Message) error {
		var ok bool
		if lease, ok = m.(wire.QuotaLease); !ok {
			return fmt.Errorf("unexpected reply of kind %s", m.Kind())
		}
		return nil
	})
	now := bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.g.log.WithFields(logrus.Fields{"team": get.Team, "reason": err.Error()}).Debug("issuer of quotas does not answer")
		if errors.Is(err, peer.ErrUnknownToPeer) {
			a.unmetered = now.Add(unmeteredTime)
		}
		connected := !errors.Is(err, ledger.ErrUnavailable) && !errors.Is(err, peer.ErrNotConnected)
		a.Unanswered(connected, now)
		s.g.metrics.quotaAsked("unanswered")
	} else {
		s.known, s.counted, s.rank, s.knownAt = max(lease.Known, 1), max(lease.Known, lease.ToldOf, 1), lease.Rank, now
		a.answerAt = now
		a.Answered(answerOf(lease), now)
		s.g.metrics.quotaAsked("answered")
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

func answerOf(m wire.QuotaLease) quota.Answer {
	a := quota.Answer{Lease: m.Lease, Fresh: m.Fresh, Begun: m.Begun, Loops: m.Loops}
	copy(a.Granted[:], m.Granted)
	copy(a.RetryAfter[:], m.RetryAfter)
	return a
}

// errNoQuota means that this instance, which holds the partition of a team, doesn't know its quota yet.
var errNoQuota = errors.New("the quota of the team is not known")

// grant decides on a question of an instance as the issuer. It fails if this instance isn't the issuer.
func (s *quotas) grant(get wire.QuotaGet, instance string) (wire.QuotaLease, error) {
	if !s.enforced() {
		return wire.QuotaLease{}, wire.Error{Code: wire.CodeUnsupported, Detail: errNoQuota.Error()}
	}
	if !s.g.ledger.Holds(quotaKey(get.Team)) {
		return wire.QuotaLease{}, wire.Error{Code: wire.CodeNotHolder, Detail: errNotIssuer.Error()}
	}
	want := quota.Want{Extra: get.Extra, Served: get.Served, Unknown: get.Unknown}
	copy(want.Need[:], get.Need)
	for _, c := range get.Credits {
		want.Credits = append(want.Credits, quota.Credit{Lease: c.Lease, N: c.N})
	}
	now := bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	limit, ok := s.teams()[get.Team]
	if !ok {
		return wire.QuotaLease{}, wire.Error{Code: wire.CodeInternal, Detail: errNoQuota.Error()}
	}
	terms := s.bound.Terms(limit)
	s.census.Told(get.Instances, now)
	s.issuer.Begin(get.Team, limit, terms, now)
	a := s.issuer.Grant(get.Team, limit, terms, s.census.Share(terms, s.issuer.Since(get.Team, now), now), want, now)
	lease := wire.QuotaLease{
		Lease: a.Lease, Granted: trimmed(a.Granted), Fresh: a.Fresh, Begun: a.Begun, Loops: a.Loops,
		Known: s.census.Known(), Rank: s.census.Rank(instance),
	}
	if n := s.census.Count(now); n > lease.Known {
		lease.ToldOf = n
	}
	if a.RetryAfter != [quota.Classes]time.Duration{} {
		lease.RetryAfter = a.RetryAfter[:]
	}
	return lease, nil
}

// teams returns the limits of the configuration in force. The caller holds the lock.
func (s *quotas) teams() map[string]quota.Limit {
	table := s.g.view.table.Load()
	if table == s.table {
		return s.limits
	}
	s.table, s.limits = table, make(map[string]quota.Limit)
	for i := range table.Teams {
		if t := &table.Teams[i]; t.PerSecond > 0 {
			s.limits[t.Name] = limitOfTeam(t)
		}
	}
	return s.limits
}

// metered reports whether the quota of its team applies to the request.
func (q *request) metered() bool {
	return q.team != nil && q.team.PerSecond > 0 && q.g.quotas.enforced()
}

// unit is the permission of a request for its next send.
type unit struct {
	quota.Unit
	class    quota.Class
	held     bool
	admitted bool // the request has had a permission before
}

// programHash returns the hash of the request's program, and 0 if it belongs to none.
func (q *request) programHash() uint64 {
	if q.meta.Program == "" {
		return 0
	}
	return xxhash.Sum64String(q.meta.Program)
}

// quotaClass returns the precedence of the request within its team's quota.
func (q *request) quotaClass(a *quotaAccount) quota.Class {
	program := q.programHash()
	switch {
	case program != 0 && a.Programs.Loops(program):
		return quota.Loop
	case program == 0 || q.unit.admitted || q.route.Kind != routing.Streaming || q.meta.Previous != "" || q.meta.LastEvent != "" || a.Programs.Known(program):
		return quota.Begun
	default:
		return quota.First
	}
}

// admitQuota admits the request if the quota of its team allows it.
func (q *request) admitQuota() *rejection {
	if !q.metered() {
		return nil
	}
	return q.takeUnit()
}

// renewUnit makes sure that the request has a permission for its next send: that of the last send is used up, and that
// of a request that waited may have expired.
func (q *request) renewUnit() *rejection {
	if !q.metered() || q.unitValid() {
		return nil
	}
	q.releaseUnit()
	return q.takeUnit()
}

// unitValid reports whether the request may be sent now.
func (q *request) unitValid() bool {
	return !q.metered() || q.unit.held && q.unit.Valid(bootTime())
}

// useUnit records that an endpoint runs the request, or may run it.
func (q *request) useUnit() {
	if !q.metered() || !q.unit.held {
		return
	}
	q.unit.held = false
	if program := q.programHash(); program != 0 {
		s, now := q.g.quotas, bootTime()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.account(q.team, now).Served(program, now)
	}
}

// releaseUnit gives the permission of a request back that is not sent, or that waits.
func (q *request) releaseUnit() {
	if !q.metered() || !q.unit.held {
		return
	}
	q.unit.held = false
	s, now := q.g.quotas, bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.account(q.team, now).GiveBack(q.unit.class, q.unit.Unit, now)
}

// takeUnit takes a permission to send the request, for which it may have to ask the issuer.
func (q *request) takeUnit() *rejection {
	s := q.g.quotas
	began := bootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	for first := true; ; first = false {
		now := bootTime()
		a := s.account(q.team, now)
		if first {
			a.Arrived(now)
		}
		class := q.quotaClass(a)
		waited := now.Sub(began)
		if u, ok := q.tryTake(a, class, now); ok {
			q.unit = unit{Unit: u, class: class, held: true, admitted: true}
			q.g.metrics.quotaGranted(class, waited)
			s.askIfDue(a, now)
			return nil
		}
		verdict, after := a.Decide(class, waited, now)
		if verdict != quota.Wait || q.callerGone() || time.Until(q.deadline) <= 0 {
			return q.refusedByQuota(a, verdict, class, waited, after, now)
		}
		s.await(q, a, class, after, now)
	}
}

// tryTake takes a permission that is at hand, or one from the instance's own share. The caller holds the lock.
func (q *request) tryTake(a *quotaAccount, class quota.Class, now time.Time) (quota.Unit, bool) {
	s := q.g.quotas
	if u, ok := a.Take(class, now); ok {
		return u, true
	}
	terms := s.bound.Terms(a.limit)
	if a.unmetered.After(now) {
		return quota.Unit{Granted: now, Expires: now.Add(terms.Lease)}, true
	}
	if !s.census.MayIssueOwn(now) {
		return quota.Unit{}, false
	}
	n, rank := s.instances(a.team, now)
	u, ok := a.TakeOwn(terms, n, rank, now)
	if ok {
		q.g.metrics.set.GetOrCreateCounter("ragwortstile_quota_own_share_total").Inc()
	}
	return u, ok
}

// await waits for the next answer of the issuer, for some time at most. The caller holds the lock, which is released
// meanwhile.
func (s *quotas) await(q *request, a *quotaAccount, class quota.Class, after time.Duration, now time.Time) {
	program := q.programHash()
	a.waiting[class]++
	if class == quota.First {
		a.unknown[program]++
	}
	s.askIfDue(a, now)
	changed := a.changed
	s.mu.Unlock()
	if after <= 0 || after > quotaPollInterval {
		after = quotaPollInterval
	}
	timer := time.NewTimer(after)
	select {
	case <-changed:
	case <-timer.C:
	case <-q.r.Context().Done():
	}
	timer.Stop()
	s.mu.Lock()
	a.waiting[class]--
	if class == quota.First {
		if a.unknown[program]--; a.unknown[program] == 0 {
			delete(a.unknown, program)
		}
	}
}

// refusedByQuota returns the rejection of a request without a permission. The line about the end of the request says
// what was known. The caller holds the lock.
func (q *request) refusedByQuota(a *quotaAccount, verdict quota.Verdict, class quota.Class, waited, retryAfter time.Duration, now time.Time) *rejection {
	fields := logrus.Fields{"team": a.team, "class": class.String(), "waited": waited.Milliseconds(), "retry": retryAfter.Milliseconds(), "limit": a.limit.PerSecond}
	if !a.answerAt.IsZero() {
		fields["age"] = now.Sub(a.answerAt).Milliseconds()
	}
	if lost := a.Lost(now); lost > 0 {
		fields["lost"] = lost.Milliseconds()
	}
	q.log = q.log.WithFields(fields)
	if verdict == quota.Refuse {
		q.g.metrics.quotaRefused(q.g.quotas.metrics.label(a.team), class)
		return &rejection{status: http.StatusTooManyRequests, reason: reasonOverQuota, retryAfter: retryAfter}
	}
	q.g.metrics.set.GetOrCreateCounter("ragwortstile_quota_unknown_total").Inc()
	return unavailable(reasonQuotaUnsure, max(retryAfter, minRetryAfter))
}

func (c *instanceMetrics) quotaGranted(class quota.Class, waited time.Duration) {
	c.set.GetOrCreateCounter(fmt.Sprintf("ragwortstile_quota_granted_total{class=%q}", class)).Inc()
	c.set.GetOrCreateHistogram("ragwortstile_quota_wait_seconds").Update(waited.Seconds())
}

func (c *instanceMetrics) quotaRefused(team string, class quota.Class) {
	c.set.GetOrCreateCounter(fmt.Sprintf("ragwortstile_quota_refused_total{team=%q,class=%q}", team, class)).Inc()
}

func (c *instanceMetrics) quotaAsked(result string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("ragwortstile_quota_questions_total{result=%q}", result)).Inc()
}
