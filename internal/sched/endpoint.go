package sched

import "time"

// Circuit breaker and start of a scheduler.
const (
	breakerFailures = 3 // consecutive failures that open the breaker
	breakerMinPause = time.Second
	breakerMaxPause = 30 * time.Second // the pause doubles with each failed probe up to this
	// halfLimitPeriod is how long a new dispatcher grants only up to half of each endpoint's limit. It does
	// not know yet which calls are running: owners report them with their next heartbeat, within 500 ms.
	halfLimitPeriod = time.Second
)

// endpoint is the scheduler's state of one endpoint.
type endpoint struct {
	Endpoint
	leavingAnnounced bool // announced as leaving, but the platform's list does not show it yet
	inFlight         int
	cost             costModel
	prefillDoneAt    time.Duration // when the prompts granted so far are predicted to be computed
	parked           callHeap      // calls that wait for this endpoint's prefix
	generation       uint64        // of the engine process, from the last load report; 0: none yet
	cache            prefixList    // prefixes that the endpoint is expected to hold
	failures         int           // consecutive
	breakerPause     time.Duration // length of the breaker's current pause; 0: the breaker is closed
	openUntil        time.Duration // end of that pause
	removed          bool          // removed from the configuration while calls were running
}

// hasCapacity reports whether the endpoint may be given a call now.
func (s *Scheduler) hasCapacity(e *endpoint) bool { return e.inFlight < s.limit(e) }

// limit returns the number of calls that the endpoint may have in flight now.
func (s *Scheduler) limit(e *endpoint) int {
	if e.Leaving || e.removed {
		return 0
	}
	if e.breakerPause > 0 {
		if s.now < e.openUntil {
			return 0
		}
		return min(1, e.MaxInFlight) // half open: one probe call
	}
	if s.now < s.startedAt+halfLimitPeriod {
		return max(e.MaxInFlight/2, min(1, e.MaxInFlight))
	}
	return e.MaxInFlight
}

// updateBreaker updates the circuit breaker from the result of a call.
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

// canServe reports whether the endpoint accepts calls, now or once it is below its in-flight limit.
func (s *Scheduler) canServe(e *endpoint) bool {
	return !e.Leaving && !e.removed && e.MaxInFlight > 0 && (e.breakerPause == 0 || s.now >= e.openUntil)
}
