package sched

// Reasons of grants.
const (
	ReasonWarm        Reason = "warm_prefix"       // the endpoint holds the prefix and was free
	ReasonWarmWaited  Reason = "waited_for_prefix" // the call waited for the endpoint that holds the prefix
	ReasonRecompute   Reason = "recompute_prefix"  // computing the prefix again ends sooner than waiting
	ReasonMove        Reason = "move_prefix"       // moving the cache ends sooner than waiting or recomputing
	ReasonFastest     Reason = "fastest_estimate"  // no cached prefix; the endpoint has the lowest cost
	ReasonLeastLoaded Reason = "least_loaded"      // the cost model is off
	ReasonProbe       Reason = "half_open_probe"   // first call after the circuit breaker's pause
	ReasonOwedShare   Reason = "owed_share"        // the duty was behind its owed share
	ReasonOnlyAvoided Reason = "only_avoided_left" // all endpoints have failed the call before
)

// Reasons of refusals.
const (
	ReasonQueueFull        Reason = "queue_full"          // the pool's queue is full
	ReasonTeamQueue        Reason = "tenant_queue_full"   // the queue of the duty and team is full
	ReasonExpired          Reason = "caller_time_limit"   // the caller's time ended in the queue
	ReasonTimeLimitTooNear Reason = "time_limit_too_near" // the call cannot finish before the caller's limit
	ReasonDeadline         Reason = "deadline_too_near"   // the program cannot finish before its deadline
	ReasonAdmission        Reason = "admission_wait"      // a new program would wait too long for its start
	ReasonRetryBudget      Reason = "retry_budget"        // too many retries for the successes of the pool
	ReasonNoEndpoint       Reason = "no_endpoint"         // the pool has no endpoint that takes work
)

// Reasons of releases.
const (
	ReasonProgramEnd Reason = "program_ended"
	ReasonLongPause  Reason = "long_pause" // the prefix would be evicted before the program returns
)
