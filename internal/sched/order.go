package sched

import "time"

// Weights of the order of service, as the time by which a call is delayed or advanced in the queue. All
// of them are bounded, so only calls that arrive within a bounded time after a waiting call can overtake
// it, and no call starves.
const (
	attainedDivisor         = 8 // 8 s of service that the program has received delay a call by 1 s
	maxAttainedDelay        = 20 * time.Second
	waitingBranchAdvance    = 2 * time.Second // per branch that waits for the call's branch
	maxWaitingBranchAdvance = 6 * time.Second
	resumeAdvance           = time.Second      // the branch returns from a tool pause, and its prefix occupies cache memory
	maxDeadlineAdvance      = 30 * time.Second // for a deadline that is near or past
	maxTeamDelay            = 20 * time.Second // for the calls that the team already has waiting
)

// orderKey returns the time by which calls are ordered; the smallest is served first. The key stays fixed
// while the call waits, because ageing would shift all waiting calls by the same amount.
func (s *Scheduler) orderKey(c *call) time.Duration {
	key := s.now
	r := &c.req
	if !s.opt.NoTeamFairness {
		key += min(seconds(float64(c.team.waiting)*s.drainInterval), maxTeamDelay)
	}
	if s.opt.NoProgramOrder {
		return key
	}
	key += min(r.Attained/attainedDivisor, maxAttainedDelay)
	key -= min(time.Duration(r.WaitingBranches)*waitingBranchAdvance, maxWaitingBranchAdvance)
	if c.branch != nil && c.branch.paused {
		key -= resumeAdvance
	}
	if r.Deadline > 0 {
		due := s.now + r.Deadline - seconds(c.duty.programTime)
		key = max(min(key, due), s.now-maxDeadlineAdvance)
	}
	return key
}
