// Package balance chooses the endpoint of a request. It has no I/O.
//
// The load that it answers: many instances, each with a small part of the requests, share a few
// endpoints that differ in speed and serve a bounded number of requests at once, in order of arrival.
// An endpoint above that number delays or refuses what comes. So each instance counts what it has at
// each endpoint, learns the same of its peers with a lag, and learns how long endpoints take; it
// chooses the endpoint that is expected to finish first.
package balance

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// smoothing is the weight of the newest figure in a moving average.
	smoothing = 0.15
	// peerLoadAge is how long a peer's report counts. Reports come several times in this span.
	peerLoadAge = 600 * time.Millisecond
	// failureWeight is the weight of the newest outcome in an endpoint's rate of failures.
	failureWeight = 0.2
	// failureMemory is the time in which a rate of failures falls to a third without new outcomes, so that
	// the endpoint is tried again.
	failureMemory = 4 * time.Second
	// failureCost is what a failure costs its caller: a pause and another attempt, or the program.
	failureCost = 1.0 // seconds
	// refusalRest keeps new requests off an endpoint that said that it was full.
	refusalRest = 25 * time.Millisecond
	// overdueFactor times the usual time, and overdueSlack, is how long an answer may take to begin before
	// the endpoint counts as hanging.
	overdueFactor = 4
	overdueSlack  = 0.3 // seconds
	// peerOverdue is what each peer for which the endpoint hangs adds to its cost.
	peerOverdue = 0.3 // seconds
	// explore is the part of the expected time by which estimates are varied, so that instances with the
	// same knowledge don't all choose the same endpoint.
	explore = 0.08
	// sharedSlow is how much longer a request takes at an endpoint with all places taken than at an empty
	// one, as a share of its time: requests of a batch slow each other down a little.
	sharedSlow = 0.2
	// waitSlack raises the expected wait at full endpoints, since the counts of peers lag.
	waitSlack = 1.5
	// zonePenalty is what another availability zone costs, as a share of the usual time: time on the way,
	// and bytes that are paid for.
	zonePenalty = 0.05
	// dialPenalty is what a new connection costs, as a share of the usual time: it holds a place for a
	// moment, endpoints accept a bounded number, and it is paid for.
	dialPenalty = 0.1
	// coldFactor is how much longer an endpoint takes shortly after its start.
	coldFactor = 1.5
	// unknownTime stands for the time of a request, in seconds, until one has been seen.
	unknownTime = 0.1
)

// Endpoint is a candidate.
type Endpoint struct {
	ID    string
	Addr  string
	Zone  string
	Slots int
	Cold  time.Duration
}

// state is what is known of an endpoint.
type state struct {
	running int
	took    float64 // moving average of seconds a request takes when it doesn't wait; 0 when unknown
	failing float64 // rate of failures, as of failedAt
	failed  time.Time
	rest    time.Time
	waiting map[int64]time.Time // requests whose answer hasn't begun, by number
}

// failureRate is the rate of failures as of now.
func (s *state) failureRate(now time.Time) float64 {
	if s.failing == 0 {
		return 0
	}
	return s.failing * math.Exp(-now.Sub(s.failed).Seconds()/failureMemory.Seconds())
}

func (s *state) outcome(failed bool, now time.Time) {
	rate := (1 - failureWeight) * s.failureRate(now)
	if failed {
		rate += failureWeight
	}
	s.failing, s.failed = rate, now
}

// delay is how long the oldest answer that hasn't begun is overdue, in seconds.
func (s *state) delay(usual float64, now time.Time) float64 {
	allowed := overdueFactor*max(s.took, usual) + overdueSlack
	worst := 0.0
	for _, since := range s.waiting {
		worst = max(worst, now.Sub(since).Seconds()-allowed)
	}
	return worst
}

// Load is what an instance has at an endpoint.
type Load struct {
	Running int
	Overdue bool // an answer takes far longer to begin than usual
}

type report struct {
	loads map[string]Load
	at    time.Time
}

// Balancer holds what an instance knows of the load of endpoints. It is not safe for concurrent use.
type Balancer struct {
	events float64 // moving average of the events of a stream
	number int64   // of the newest request
	zone   string
	states map[string]*state
	peers  map[string]report
	rand   *rand.Rand
}

// New returns a Balancer for an instance in an availability zone.
func New(zone string, seed uint64) *Balancer {
	return &Balancer{
		zone: zone, states: make(map[string]*state), peers: make(map[string]report),
		rand: rand.New(rand.NewPCG(seed, seed)),
	}
}

func (b *Balancer) state(id string) *state {
	s := b.states[id]
	if s == nil {
		s = &state{}
		b.states[id] = s
	}
	return s
}

// Query asks for an endpoint.
type Query struct {
	Candidates []Endpoint
	Tried      map[string]bool    // endpoints that the request was sent to
	Savings    map[string]float64 // part of its time that a request saves at an endpoint, 0 to 1
	// Connected tells whether a request can go to an address without a new connection. nil means always.
	Connected func(addr string) bool
}

// Pick returns the endpoint that is expected to finish first, and the number of requests that are
// there. It returns false when there is none left.
func (b *Balancer) Pick(q Query, now time.Time) (Endpoint, int, bool) {
	usual := b.usual(q.Candidates)
	best, bestCost, bestLoad := -1, 0.0, 0
	for i, e := range q.Candidates {
		if q.Tried[e.ID] {
			continue
		}
		load := b.load(e.ID, now)
		cost := b.cost(e, load, usual, q.Savings[e.ID], now)
		if q.Connected != nil && !q.Connected(e.Addr) {
			cost += usual * dialPenalty
		}
		if best < 0 || cost < bestCost {
			best, bestCost, bestLoad = i, cost, load
		}
	}
	if best < 0 {
		return Endpoint{}, 0, false
	}
	return q.Candidates[best], bestLoad, true
}

// cost is the expected time of a request at an endpoint, in seconds.
func (b *Balancer) cost(e Endpoint, load int, usual, saved float64, now time.Time) float64 {
	s := b.state(e.ID)
	took := s.took
	if took == 0 {
		took = usual
	}
	cost := took*(1-saved) + failureCost*s.failureRate(now) + s.delay(usual, now) + peerOverdue*float64(b.peersOverdue(e.ID, now))
	if e.Cold > 0 {
		cost *= coldFactor
	}
	cost += took * sharedSlow * float64(min(load, e.Slots)) / float64(e.Slots)
	if waiting := load + 1 - e.Slots; waiting > 0 {
		cost += took * waitSlack * float64(waiting) / float64(e.Slots)
	}
	if e.Zone != b.zone {
		cost += usual * zonePenalty
	}
	if s.rest.After(now) {
		cost += s.rest.Sub(now).Seconds() + usual
	}
	return cost * (1 + explore*b.rand.Float64())
}

// peersOverdue is the number of peers for which an endpoint hangs.
func (b *Balancer) peersOverdue(id string, now time.Time) int {
	n := 0
	for _, r := range b.peers {
		if now.Sub(r.at) < peerLoadAge && r.loads[id].Overdue {
			n++
		}
	}
	return n
}

// usual is the mean time of the candidates that are known.
func (b *Balancer) usual(candidates []Endpoint) float64 {
	sum, n := 0.0, 0
	for _, e := range candidates {
		if s := b.states[e.ID]; s != nil && s.took > 0 {
			sum += s.took
			n++
		}
	}
	if n == 0 {
		return unknownTime
	}
	return sum / float64(n)
}

// load is the number of requests at an endpoint, as far as is known.
func (b *Balancer) load(id string, now time.Time) int {
	load := 0
	if s := b.states[id]; s != nil {
		load = s.running
	}
	for _, r := range b.peers {
		if now.Sub(r.at) < peerLoadAge {
			load += r.loads[id].Running
		}
	}
	return load
}

// Occupancy returns the requests that run at candidates and the number that they serve at once.
func (b *Balancer) Occupancy(candidates []Endpoint, now time.Time) (running, slots int) {
	for _, e := range candidates {
		running += b.load(e.ID, now)
		slots += e.Slots
	}
	return running, slots
}

// Sent notes that a request is on its way to an endpoint. It returns the number of the request.
func (b *Balancer) Sent(id string, now time.Time) int64 {
	s := b.state(id)
	s.running++
	b.number++
	if s.waiting == nil {
		s.waiting = make(map[int64]time.Time)
	}
	s.waiting[b.number] = now
	return b.number
}

// ResponseStarted notes that the answer of a request has begun.
func (b *Balancer) ResponseStarted(id string, number int64) { delete(b.state(id).waiting, number) }

// Result tells how a request ended at an endpoint.
type Result uint8

// Results.
const (
	Served    Result = iota
	Refused          // the endpoint said that it did not run the request
	Failed           // no whole answer
	Abandoned        // the caller left, or the time was over
)

// Ended notes the end of a request. took is its time, or 0 if that says nothing of the endpoint.
func (b *Balancer) Ended(id string, number int64, result Result, took time.Duration, now time.Time) {
	s := b.state(id)
	s.running = max(s.running-1, 0)
	since, unanswered := s.waiting[number]
	delete(s.waiting, number)
	switch result {
	case Served:
		s.outcome(false, now)
		if took > 0 {
			if s.took == 0 {
				s.took = took.Seconds()
			}
			s.took += smoothing * (took.Seconds() - s.took)
		}
	case Refused:
		s.rest = now.Add(refusalRest)
	case Failed:
		s.outcome(true, now)
	case Abandoned:
		// A caller that leaves before an answer that was long due says something of the endpoint.
		if unanswered && now.Sub(since).Seconds() > overdueFactor*max(s.took, unknownTime)+overdueSlack {
			s.outcome(true, now)
		}
	}
}

// StreamTime returns the time that a stream of the usual length takes at an endpoint's pace. Lengths differ
// by far more than endpoints do, so that the time of a single stream would say little. It returns 0 for
// streams of one event, which show no pace.
func (b *Balancer) StreamTime(first, last time.Duration, events int64) time.Duration {
	if b.events == 0 {
		b.events = float64(events)
	}
	b.events += smoothing * (float64(events) - b.events)
	if events < 2 {
		return 0
	}
	pace := float64(last-first) / float64(events-1)
	return first + time.Duration(pace*max(b.events-1, 0))
}

// LocalLoads returns what the instance has at endpoints.
func (b *Balancer) LocalLoads(now time.Time) map[string]Load {
	own := make(map[string]Load)
	for id, s := range b.states {
		if s.running > 0 {
			own[id] = Load{Running: s.running, Overdue: s.delay(unknownTime, now) > 0}
		}
	}
	return own
}

// SetPeerLoads takes the report of a peer.
func (b *Balancer) SetPeerLoads(name string, loads map[string]Load, now time.Time) {
	b.peers[name] = report{loads: loads, at: now}
}

// Prune drops what is known of endpoints that are not listed and have no requests.
func (b *Balancer) Prune(listed map[string]bool, now time.Time) {
	for id, s := range b.states {
		if !listed[id] && s.running == 0 {
			delete(b.states, id)
		}
	}
	for name, r := range b.peers {
		if now.Sub(r.at) > peerLoadAge {
			delete(b.peers, name)
		}
	}
}
