package sched

// Reasons of grants.
const (
	ReasonWarm        Reason = "warm_prefix"
	ReasonLeastLoaded Reason = "least_loaded"
)

// Reasons of refusals.
const (
	ReasonQueueFull  Reason = "queue_full"
	ReasonExpired    Reason = "caller_time_limit"
	ReasonNoEndpoint Reason = "no_endpoint"
)
