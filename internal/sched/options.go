package sched

// Options switches mechanisms of the policy off, so that the bench can measure the effect of each.
// The zero value is the full policy.
type Options struct {
	NoProgramOrder bool // serve calls first come, first served
	NoTeamFairness bool // do not set a team's later calls behind those of other teams
	NoShares       bool // ignore owed shares
	NoAdmission    bool // start new programs without regard to cache and load
	NoEarlyRefusal bool // refuse only when the queue is full or the caller's time is over
	NoCostModel    bool // take the last endpoint if it is free, otherwise the least loaded one
	NoWarmWait     bool // never wait for a busy endpoint that holds the prefix
	NoMove         bool // never move cache between endpoints
	NoSlowCheck    bool // do not compare an endpoint with its own past
	NoBreaker      bool // never close an endpoint after failures
	NoRetryBudget  bool // let every retry into the queue
	NoPauseRelease bool // leave the cache of paused programs to the engine's eviction
	NoEndRelease   bool // leave the cache of ended programs to the engine's eviction
}

// MinimalOptions returns the options of the first version: one FIFO queue, the last endpoint if it is free,
// otherwise the least loaded one.
func MinimalOptions() Options {
	return Options{
		NoProgramOrder: true, NoTeamFairness: true, NoShares: true, NoAdmission: true,
		NoEarlyRefusal: true, NoCostModel: true, NoWarmWait: true, NoMove: true, NoSlowCheck: true,
		NoBreaker: true, NoRetryBudget: true, NoPauseRelease: true, NoEndRelease: true,
	}
}
