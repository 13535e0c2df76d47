package balance

import (
	"math"
	"time"
)

const (
	// failureWeight is the weight of the newest outcome in the failure rate of an endpoint.
	failureWeight = 0.2
	// failureDecay is the time constant with which a failure rate decays without new outcomes: it falls to
	// about a third in this time, so that the endpoint is tried again.
	failureDecay = 4 * time.Second
	// refusalBackoff keeps new requests off an endpoint that refused one because it was full.
	refusalBackoff = 25 * time.Millisecond
	// A request is overdue, and its endpoint counts as hanging, when no response has begun after
	// overdueFactor times the usual time plus overdueSlack seconds.
	overdueFactor = 4
	overdueSlack  = 0.3
)

// failureRate returns the failure rate, decayed to the given time.
func (s *endpointState) failureRate(now time.Time) float64 {
	if s.failRate == 0 {
		return 0
	}
	return s.failRate * math.Exp(-now.Sub(s.failed).Seconds()/failureDecay.Seconds())
}

func (s *endpointState) recordOutcome(failed bool, now time.Time) {
	rate := (1 - failureWeight) * s.failureRate(now)
	if failed {
		rate += failureWeight
	}
	s.failRate, s.failed = rate, now
}

// overdue returns by how many seconds the oldest response that has not begun is overdue.
func (s *endpointState) overdue(usual float64, now time.Time) float64 {
	allowed := overdueFactor*max(s.latency, usual) + overdueSlack
	worst := 0.0
	for _, since := range s.sentAt {
		worst = max(worst, now.Sub(since).Seconds()-allowed)
	}
	return worst
}
