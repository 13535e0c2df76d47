package sched

import "time"

// Circuit breaker and start-up constants.
const (
	breakerFailures = 3 // failures in a row that open the breaker
	breakerMinPause = time.Second
	breakerMaxPause = 30 * time.Second
	// halfLimitPeriod is how long a new dispatcher grants at half of each limit: owners report running
	// calls with their next heartbeat, which comes within 500 ms.
	halfLimitPeriod = time.Second
)

// endpoint is the scheduler's view of one endpoint.
type endpoint struct {
	Endpoint
	leavingAnnounced bool // leaving, but the list does not show it yet
	inFlight         int
	cost             costModel
	prefillDoneAt    time.Duration // when the prompts granted so far are predicted to be computed
	parked           callHeap      // calls that wait for this endpoint's prefix
	generation       uint64
	cache            prefixList
	failures         int           // in a row
	breakerPause     time.Duration // length of the breaker's current pause; 0: closed
	openUntil        time.Duration
	removed          bool // removed from the configuration while calls were running
}

// hasCapacity tells whether the endpoint may be given a call now.
func (s *Scheduler) hasCapacity(e *endpoint) bool { return e.inFlight < s.limit(e) }

// limit is the number of calls that the endpoint may have now.
func (s *Scheduler) limit(e *endpoint) int {
	if e.Leaving || e.removed {
		return 0
	}
	if e.breakerPause > 0 {
		if s.now < e.openUntil {
			return 0
		}
		return min(1, e.MaxInFlight) // half open: one probe
	}
	if s.now < s.startedAt+halfLimitPeriod {
		return max(e.MaxInFlight/2, min(1, e.MaxInFlight))
	}
	return e.MaxInFlight
}

// updateBreaker moves the circuit breaker after a result.
func (s *Scheduler) updateBreaker(e *endpoint, r Result) {
	if s.opt.NoBreaker || r == ResultCanceled {
		return
	}
	if r == ResultOK {
		e.failures, e.breakerPause = 0, 0
		return
	}
	e.failures++
	switch {
	case e.breakerPause > 0 && s.now >= e.openUntil: // the probe failed
		e.breakerPause = min(2*e.breakerPause, breakerMaxPause)
	case e.breakerPause == 0 && e.failures >= breakerFailures:
		e.breakerPause = breakerMinPause
	default:
		return
	}
	e.openUntil = s.now + e.breakerPause
}

// canServe tells whether the endpoint takes calls at all, now or once it has a free place.
func (s *Scheduler) canServe(e *endpoint) bool {
	return !e.Leaving && !e.removed && e.MaxInFlight > 0 && (e.breakerPause == 0 || s.now >= e.openUntil)
}
