package sched

// Reasons of grants.
const (
	ReasonWarm        Reason = "warm_prefix"       // the endpoint has the prefix in its cache and had capacity
	ReasonWarmWaited  Reason = "waited_for_prefix" // the call waited for the endpoint with the prefix
	ReasonRecompute   Reason = "recompute_prefix"  // computing the prefix again costs less than waiting for it
	ReasonMove        Reason = "move_prefix"       // moving the prefix costs less than waiting or computing it again
	ReasonFastest     Reason = "fastest_estimate"  // no endpoint has a cached prefix; this one has the lowest cost
	ReasonLeastLoaded Reason = "least_loaded"      // the cost model is off; the endpoint has the lowest load
	ReasonProbe       Reason = "half_open_probe"   // first call after the pause of the circuit breaker
	ReasonOwedShare   Reason = "owed_share"        // the duty was behind its owed share
	ReasonOnlyAvoided Reason = "only_avoided_left" // earlier attempts failed at every endpoint that accepts calls
)

// Reasons of refusals.
const (
	ReasonQueueFull        Reason = "queue_full"          // the pool's queue is full
	ReasonTeamQueue        Reason = "tenant_queue_full"   // the team has too many calls waiting in the duty
	ReasonExpired          Reason = "caller_time_limit"   // the caller's time limit passed while the call was waiting
	ReasonTimeLimitTooNear Reason = "time_limit_too_near" // the call cannot finish within the caller's time limit
	ReasonDeadline         Reason = "deadline_too_near"   // the program cannot finish before its deadline
	ReasonAdmission        Reason = "admission_wait"      // a new program would wait too long for admission
	ReasonRetryBudget      Reason = "retry_budget"        // too many retries compared with the successful calls of the pool
	ReasonNoEndpoint       Reason = "no_endpoint"         // the pool has no endpoint that accepts calls
)

// Reasons of releases.
const (
	ReasonProgramEnd Reason = "program_ended" // the program or the branch has ended
	ReasonLongPause  Reason = "long_pause"    // the prefix would be evicted before the paused branch returns
)
