// Package balance chooses the endpoint for a request. It does no I/O.
//
// Many instances, each with a small share of the requests, use a few common endpoints. The endpoints
// differ in speed and serve a bounded number of requests at once, in order of arrival; above that number
// an endpoint delays or refuses requests. Each instance has a Balancer, which counts the requests that
// the instance has at each endpoint, receives the same counts from peers with a lag, and estimates how
// long each endpoint takes. Pick returns the endpoint that is expected to finish first.
//
// Files: load.go holds the counts of this instance and of peers, speed.go the time that an endpoint takes,
// failures.go what keeps requests off an endpoint, choice.go the cost of an endpoint and the decision, spread.go the
// decision with many peers, peers.go what is known about the peers, and decision.go the counts of decisions.
package balance

import (
	"math/rand/v2"
	"time"
)

// Endpoint is a candidate for a request.
type Endpoint struct {
	ID            string
	Addr          string
	Zone          string        // availability zone
	Slots         int           // requests that it serves at once
	ColdRemaining time.Duration // remaining time for which it is slow after its start
	StartUnixMs   int64         // time of its start, in Unix milliseconds
}

// endpointState is what an instance has observed of an endpoint.
type endpointState struct {
	running   int     // requests of this instance at the endpoint
	limited   bool    // the endpoint takes at most perSecond requests a second
	perSecond float64 // from all instances together, if limited
	speed
	failRate     float64   // failure rate as of failed
	failed       time.Time // when failRate was last updated
	backoffUntil time.Time // end of the backoff after a refusal
	slots        int       // at the last decision for the endpoint
	overloaded   bool      // see Stats.Overloaded
	lastSent     time.Time
	sentAt       map[int64]time.Time // send times of requests whose response has not begun, by request number
}

// Balancer tracks the load and the speed of endpoints for one instance. It is not safe for concurrent use.
type Balancer struct {
	events     float64   // moving average of the number of events of a stream
	lastNumber int64     // number of the newest request
	lastEvent  time.Time // of the last Pick, Sent or Ended
	zone       string
	states     map[string]*endpointState // by endpoint ID
	peers      map[string]peerReport     // by instance
	oldestPeer time.Time                 // no report of a peer is older
	peerLoads  map[string]peerLoad       // sums over all peers, by endpoint ID
	peerTurns  Turns                     // sums over all peers
	rand       *rand.Rand

	membership membership
	groups     map[groupKey]*group // lists of candidates
	found      []candidate         // of the present decision
	kept       float64             // keptShare of the present decision
	decision   Decision            // the last one
	stats      Stats
}

// New returns a Balancer for an instance in an availability zone.
func New(zone string, seed uint64) *Balancer {
	return &Balancer{
		zone: zone, states: make(map[string]*endpointState), peers: make(map[string]peerReport), peerLoads: make(map[string]peerLoad),
		rand: rand.New(rand.NewPCG(seed, seed)),
	}
}

func (b *Balancer) endpointState(id string) *endpointState {
	s := b.states[id]
	if s == nil {
		s = &endpointState{}
		b.states[id] = s
	}
	return s
}

// Sent records that a request was sent to an endpoint. It returns a number that identifies the request.
func (b *Balancer) Sent(id string, now time.Time) int64 {
	b.count(id)
	s := b.endpointState(id)
	s.running++
	s.lastSent = now
	b.lastEvent = now
	b.lastNumber++
	if s.sentAt == nil {
		s.sentAt = make(map[int64]time.Time)
	}
	s.sentAt[b.lastNumber] = now
	return b.lastNumber
}

// ResponseStarted records that the response to a request has begun.
func (b *Balancer) ResponseStarted(id string, number int64) {
	delete(b.endpointState(id).sentAt, number)
}

// Result is how a request ended at an endpoint.
type Result uint8

// Results of requests.
const (
	Served    Result = iota
	Refused          // the endpoint reported that it did not run the request
	Failed           // no complete response
	Abandoned        // the caller disconnected, or the deadline passed
)

// Ended records the end of a request. latency is its duration, or 0 if the duration says nothing about the
// speed of the endpoint.
func (b *Balancer) Ended(id string, number int64, result Result, latency time.Duration, now time.Time) {
	s := b.endpointState(id)
	b.lastEvent = now
	s.running = max(s.running-1, 0)
	since, unanswered := s.sentAt[number]
	delete(s.sentAt, number)
	switch result {
	case Served:
		s.recordOutcome(false, now)
		if latency > 0 {
			s.learn(latency.Seconds(), b.spreading(), now)
		}
	case Refused:
		s.backoffUntil = now.Add(refusalBackoff)
	case Failed:
		s.recordOutcome(true, now)
	case Abandoned:
		// An abandoned request counts as a failure of the endpoint only if its response was already overdue.
		if unanswered && now.Sub(since).Seconds() > overdueFactor*max(s.latency, defaultSeconds)+overdueSlack {
			s.recordOutcome(true, now)
		}
	}
}

// Prune forgets endpoints that are not listed and have no requests of this instance.
func (b *Balancer) Prune(listed map[string]bool) {
	for id, s := range b.states {
		if !listed[id] && s.running == 0 {
			delete(b.states, id)
		}
	}
	clear(b.groups)
}
