package sched

import "time"

// Weights of the order of service, as time by which a call is moved back or forward in the queue.
// All moves are bounded, so a waiting call is overtaken only by calls that come within a bounded
// time after it, and nothing starves.
const (
	attainedDivisor         = 8 // 8 s of attained service put a call back by 1 s
	maxAttainedDelay        = 20 * time.Second
	waitingBranchAdvance    = 2 * time.Second // per branch that waits for the call
	maxWaitingBranchAdvance = 6 * time.Second
	resumeAdvance           = time.Second // the program returns from a tool pause and holds cache
	maxDeadlineAdvance      = 30 * time.Second
	maxTeamDelay            = 20 * time.Second
)

// orderKey is the time that a call is ordered by; the smallest is served first. It does not change
// while the call waits, because ageing moves all waiting calls by the same amount.
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
