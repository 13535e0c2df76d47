package balance

import (
	"math"
	"time"
)

const (
	// failureCost is the expected time, in seconds, that a failure costs the caller: a pause and another
	// attempt, or the failure of the whole program.
	failureCost = 1.0
	// peerOverduePenalty, in seconds, is added to the cost of an endpoint for each peer that has an overdue
	// request there.
	peerOverduePenalty = 0.3
	// costJitter is the relative range of the random increase of costs, so that instances with the same
	// information do not all choose the same endpoint.
	costJitter = 0.08
	// concurrencySlowdown is how much longer a request takes at an endpoint with all slots in use than at an
	// idle one, as a share of its time: requests that are processed in one batch slow each other down.
	concurrencySlowdown = 0.2
	// queueFactor raises the expected queueing time at full endpoints, because the counts of peers lag.
	queueFactor = 1.5
	// crossZonePenalty is the cost of an endpoint in another availability zone, as a share of the usual
	// time (see Balancer.usual): network latency, and traffic between zones that is billed.
	crossZonePenalty = 0.05
	// dialPenalty is the cost of a new connection, as a share of the usual time: it takes up a slot for a
	// moment, endpoints accept a bounded number of connections, and new connections are billed.
	dialPenalty = 0.1
	// coldFactor is how much longer an endpoint takes while it warms up after its start.
	coldFactor = 1.5
	// maxCostRatio is how many times the cost of the best endpoint another one with room may have. A request that
	// would take longer than that waits for a faster endpoint.
	maxCostRatio = 2
)

// Query holds the candidates for a request and what distinguishes them for it.
type Query struct {
	Candidates []Endpoint
	Tried      map[string]bool    // endpoints that the request was already sent to
	Savings    map[string]float64 // by endpoint: share of its time, 0 to 1, that the request saves there
	// Connected reports whether a request to an address needs no new connection. nil means that none does.
	Connected func(addr string) bool
	// MaxLoad, if positive, is the load, as a multiple of its slots, from which on an endpoint gets no request.
	MaxLoad float64
	// AnySpeed allows endpoints that are far slower than the best one although MaxLoad is set.
	AnySpeed bool
	// Permission tells whether a request may be sent to an endpoint. nil allows all.
	Permission func(id string, now time.Time) Permission
	// Ask, if set, is called with the best endpoint among those whose permission is Askable, if it is better than the
	// chosen one.
	Ask func(id string)
}

// Permission tells whether a request may be sent to an endpoint that limits its requests.
type Permission uint8

// Permissions.
const (
	Allowed Permission = iota
	Askable            // not now, but a permit can be asked for
	Denied             // not now, and no permit can be asked for
)

// Pick returns the endpoint that is expected to finish the request first, or with many peers one of those that are about
// as good (see spread.go), and the number of requests at that endpoint by the reports. It returns false when all candidates have been tried, may not get a request now or, with MaxLoad, are
// loaded or far slower than the best one.
func (b *Balancer) Pick(q Query, now time.Time) (Endpoint, int, bool) {
	b.expirePeers(now)
	b.lastEvent = now
	if b.spreading() {
		return b.pickSpread(q, now)
	}
	usual := b.usual(q.Candidates)
	best, bestCost, bestLoad := -1, math.Inf(1), 0
	askable, askableCost := "", math.Inf(1)
	leastCost := math.Inf(1)
	for i, e := range q.Candidates {
		if q.Tried[e.ID] {
			continue
		}
		permission := Allowed
		if q.Permission != nil {
			permission = q.Permission(e.ID, now)
		}
		if permission == Denied {
			continue
		}
		load := b.load(e.ID)
		cost := b.cost(e, load, usual, q.Savings[e.ID], now)
		if q.Connected != nil && !q.Connected(e.Addr) {
			cost += usual * dialPenalty
		}
		if permission == Allowed {
			leastCost = min(leastCost, cost)
		}
		switch {
		case q.MaxLoad > 0 && float64(load) >= q.MaxLoad*float64(e.Slots):
		case permission == Askable:
			if cost < askableCost {
				askable, askableCost = e.ID, cost
			}
		case cost < bestCost:
			best, bestCost, bestLoad = i, cost, load
		}
	}
	if askable != "" && askableCost < bestCost && q.Ask != nil {
		q.Ask(askable)
	}
	if best < 0 || q.MaxLoad > 0 && !q.AnySpeed && bestCost > maxCostRatio*leastCost {
		return Endpoint{}, 0, false
	}
	e := q.Candidates[best]
	b.decision = Decision{Rule: LeastCost, Reported: bestLoad, Estimated: float64(bestLoad), Slots: e.Slots, Age: b.reportAge(now), endpoint: e.ID}
	return e, bestLoad, true
}

// cost returns the expected time of a request at an endpoint, in seconds, with the penalties for failures,
// overdue responses, queueing, other zones and backoff. load is the number of requests at the endpoint, usual
// the mean latency of the candidates, and saved the share of its time that the request saves there.
func (b *Balancer) cost(e Endpoint, load int, usual, saved float64, now time.Time) float64 {
	s := b.endpointState(e.ID)
	latency := s.latency
	if latency == 0 {
		latency = usual
	}
	cost := s.expected(&e, b.peerLoads[e.ID].overdue, latency, usual, saved, now)
	cost += latency * concurrencySlowdown * float64(min(load, e.Slots)) / float64(e.Slots)
	if queued := load + 1 - e.Slots; queued > 0 {
		cost += latency * queueFactor * float64(queued) / float64(e.Slots)
	}
	return b.withDetours(cost, &e, s, usual, now) * (1 + costJitter*b.rand.Float64())
}

// quality returns the part of the cost that does not depend on the load. overdue is the number of peers with an overdue
// request.
func (b *Balancer) quality(e *Endpoint, s *endpointState, overdue int, latency, usual, saved float64, now time.Time) float64 {
	return b.withDetours(s.expected(e, overdue, latency, usual, saved, now), e, s, usual, now)
}

// expected returns the expected time at an endpoint without load, with the penalties for failures and overdue responses.
func (s *endpointState) expected(e *Endpoint, overdue int, latency, usual, saved float64, now time.Time) float64 {
	cost := latency*(1-saved) + failureCost*s.failureRate(now) + s.overdue(usual, now) +
		peerOverduePenalty*float64(overdue)
	if e.ColdRemaining > 0 {
		cost *= coldFactor
	}
	return cost
}

// withDetours adds the penalties for other zones and backoff to a cost.
func (b *Balancer) withDetours(cost float64, e *Endpoint, s *endpointState, usual float64, now time.Time) float64 {
	if e.Zone != b.zone {
		cost += usual * crossZonePenalty
	}
	if s.backoffUntil.After(now) {
		cost += s.backoffUntil.Sub(now).Seconds() + usual
	}
	return cost
}
