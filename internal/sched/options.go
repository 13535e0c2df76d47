package sched

// Options disables mechanisms of the scheduling policy, so that a benchmark can measure the effect of each.
// The zero value is the full policy.
type Options struct {
	NoProgramOrder bool // serve calls first come, first served
	NoTeamFairness bool // neither order calls by what their team has waiting nor limit a team's part of the queue
	NoShares       bool // ignore the owed shares of duties
	NoAdmission    bool // start new programs regardless of cache and load
	NoEarlyRefusal bool // refuse only if a queue is full, the retry budget is spent or the caller's time limit has passed
	NoCostModel    bool // choose the branch's last endpoint if it has capacity, otherwise the least loaded one
	NoWarmWait     bool // never wait for a busy endpoint that holds the prefix
	NoMove         bool // never move cached prefixes between endpoints
	NoSlowCheck    bool // do not avoid an endpoint that has become slower than its own past
	NoBreaker      bool // never stop grants to an endpoint after failures
	NoRetryBudget  bool // do not limit the retries that enter the queue
	NoPauseRelease bool // leave the cache of paused programs to the engine's eviction
	NoEndRelease   bool // leave the cache of ended programs to the engine's eviction
}

// MinimalOptions returns the options with every mechanism off. What remains is one FIFO queue and the branch's
// last endpoint if it has capacity, otherwise the least loaded one.
func MinimalOptions() Options {
	return Options{
		NoProgramOrder: true, NoTeamFairness: true, NoShares: true, NoAdmission: true,
		NoEarlyRefusal: true, NoCostModel: true, NoWarmWait: true, NoMove: true, NoSlowCheck: true,
		NoBreaker: true, NoRetryBudget: true, NoPauseRelease: true, NoEndRelease: true,
	}
}
