package gateway

import (
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/admission"
	"ragwortstile/internal/wire"
)

// maxTeamSeries bounds the teams with metric series of their own; all others share one label.
const maxTeamSeries = 64

const (
	// fleetTTL is how long the number of instances that a peer has stated is used while a lower one is stated.
	fleetTTL = 5 * time.Second
	// aloneAfter is the time without peers after which an instance counts as the only one. A shorter cut looks the same
	// as the end of all others, and the load of the others goes on in it.
	aloneAfter = 30 * time.Second
)

// teamShares divides the capacity of the services among teams. Its fields are protected by Gateway.mu.
type teamShares struct {
	sharing *admission.Sharing
	heard   int // instances that this one hears, with itself
	fleet   int // the most instances that this one or a peer has lately heard
	fleetAt time.Time
}

func newTeamShares(seed uint64) *teamShares {
	return &teamShares{sharing: admission.NewSharing(seed), heard: 1, fleet: 1}
}

// notePeers records how many peers are connected.
func (t *teamShares) notePeers(connected int, now time.Time) {
	t.heard = connected + 1
	switch {
	case connected > 0:
		t.noteFleet(t.heard, now)
	case now.Sub(t.fleetAt) >= aloneAfter:
		t.fleet = 1
	}
}

// noteFleet records the number of instances that this one or a peer hears.
func (t *teamShares) noteFleet(instances int, now time.Time) {
	if instances >= t.fleet || now.Sub(t.fleetAt) >= fleetTTL {
		t.fleet, t.fleetAt = instances, now
	}
}

// part returns the part of the load that this instance sees, and so the part of the capacity to compare it with: instances
// that hold no partition are connected only to those that do, and one that is cut off sees its own load alone.
func (t *teamShares) part() float64 { return min(float64(t.heard)/float64(max(t.fleet, 1)), 1) }

// hasTeams reports whether the configuration has teams. Without them the capacity is not divided.
func (g *Gateway) hasTeams() bool {
	table := g.view.table.Load()
	return table != nil && len(table.Teams) > 0
}

// setShares lets the queue of a service's turns divide the capacity among teams if the configuration has any. The caller
// holds the lock.
func (g *Gateway) setShares(queue *admission.Queue, service string) {
	if queue.Calls || !g.hasTeams() {
		queue.Shares, queue.Capacity = nil, nil
		return
	}
	if queue.Shares == nil {
		queue.Shares = g.shares.sharing.Of(service)
		queue.Capacity = func() admission.Capacity { return g.capacity(service, time.Now()) }
	}
}

// capacity returns the slots of a service and their load. The caller holds the lock.
func (g *Gateway) capacity(service string, now time.Time) admission.Capacity {
	candidates := g.view.candidates(service)
	c := admission.Capacity{Part: g.shares.part()}
	for _, e := range candidates {
		c.Slots += float64(e.Slots)
	}
	c.Occupancy = g.balancer.Occupancy(candidates, g.ownTurns().Begun+g.balancer.PeerTurns().Begun, now)
	return c
}

// teamOf returns the name and the priority of the request's team.
func (q *request) teamOf() (name string, priority int) {
	if q.team == nil {
		return "", 0
	}
	return q.team.Name, q.team.Priority
}

// attaining is the service of a turn that is being attained.
type attaining struct {
	shares *admission.Shares
	team   string
	since  time.Time
}

// sent records that a turn was sent to an endpoint. The caller holds the lock.
func (c *admissionCall) sent(now time.Time) {
	if c.shares != nil {
		c.attains = attaining{shares: c.shares, team: c.team, since: now}
		c.shares.Sent(c.team, c.first, now)
	}
}

// ended records the end of the turn and the tokens of its response. The caller holds the gateway's lock.
func (a attaining) ended(tokens int64, now time.Time) {
	if a.shares != nil {
		a.shares.Ended(a.team, now.Sub(a.since), tokens, now)
	}
}

// reportTeams returns the teams for a load report and the number of instances that this one hears; nothing without teams in
// the configuration. The caller holds the lock.
func (g *Gateway) reportTeams(now time.Time) (out []wire.TeamService, heard int) {
	if !g.hasTeams() {
		return nil, 0
	}
	g.shares.notePeers(len(g.node.Connected()), now)
	for _, a := range g.shares.sharing.Report(now) {
		out = append(out, wire.TeamService{Service: a.Service, Team: a.Team, Milli: a.Milli, Wanted: a.Wanted})
	}
	return out, g.shares.heard
}

// learnTeams stores the teams of a peer's load report. The caller holds the lock.
func (g *Gateway) learnTeams(peer string, report wire.LoadReport, now time.Time) {
	if !g.hasTeams() {
		return
	}
	if report.Heard > 0 {
		g.shares.noteFleet(report.Heard, now)
	}
	teams := report.Teams
	list := make([]admission.Attained, 0, len(teams))
	for _, t := range teams {
		list = append(list, admission.Attained{Service: t.Service, Team: t.Team, Milli: t.Milli, Wanted: t.Wanted})
	}
	g.shares.sharing.SetPeer(peer, list, now)
}

// logStanding adds what the team has attained, its share and its counter to the fields of a rejection.
func logStanding(fields logrus.Fields, t *admission.Ticket) {
	if t.Rank != admission.First || t.Standing == (admission.Standing{}) {
		return
	}
	fields["team"], fields["attained"], fields["counter"] = t.Team, t.Standing.Attained, t.Standing.Counter
	if t.Standing.Limited() {
		fields["share"] = t.Standing.Share
	}
}

// overShare returns the rejection of a first turn whose team is over its share.
func (q *request) overShare(fields logrus.Fields, t *admission.Ticket) *rejection {
	q.log.WithFields(fields).WithField("retry", t.RetryAfter.Milliseconds()).Info("turn rejected, its team is over its share")
	return unavailable(reasonOverShare, t.RetryAfter)
}

// firstTurnDecided counts the decisions on first turns of a team.
func (c *instanceMetrics) firstTurnDecided(t *admission.Ticket) {
	if t.Rank != admission.First || t.Standing == (admission.Standing{}) {
		return
	}
	decision := [...]string{admission.Wait: "left", admission.Send: "sent", admission.Reject: "no_room"}[t.Action]
	if t.Standing.Over {
		decision = "over_share"
	}
	c.set.GetOrCreateCounter(fmt.Sprintf("ragwortstile_team_first_turns_total{team=%q,decision=%q}", c.teams.label(t.Team), decision)).Inc()
}

// writeShares writes the level of each service while its capacity is divided, and the slots in use by the teams with the
// most service at this instance.
func (g *Gateway) writeShares(w io.Writer) {
	if !g.hasTeams() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shares.sharing.Each(func(service string, shares *admission.Shares) {
		if level, limited := shares.Level(); limited {
			fmt.Fprintf(w, "ragwortstile_share_level_slots{service=%q} %g\n", g.metrics.routes.label(service), level)
		}
	})
	for _, a := range g.shares.sharing.Report(time.Now()) {
		if label := g.metrics.teams.label(a.Team); label == a.Team {
			fmt.Fprintf(w, "ragwortstile_team_slots{service=%q,team=%q} %g\n", g.metrics.routes.label(a.Service), label, float64(a.Milli)/1000)
		}
	}
}
