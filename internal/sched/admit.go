package sched

import "time"

// Admission constants.
const (
	admitCacheFraction  = 0.9             // part of the pool's prefix memory that started programs may need
	behindCacheFraction = 1.25            // the same for a duty behind its owed share
	owedCacheFactor     = 1.5             // its owed part of the memory, in parts of its share
	newProgramPenalty   = 5 * time.Second // a new program waits behind started ones that came up to 5 s later
	maxNewProgramWait   = 8 * time.Second // predicted wait above which a new program is refused
	startLearnRate      = 0.1
	backlogWait         = 50 * time.Millisecond
	minRetryAfter       = time.Second
	maxRetryAfter       = 60 * time.Second
	retriesPerSuccess   = 0.1  // retries earned by a successful call
	initialRetryBudget  = 20.0 // retries that a pool without successes allows
	teamQueueDivisor    = 4    // a duty and team may use this fraction (1/n) of the queue
)

// setWorkingSet sets the working set of a program.
func (s *Scheduler) setWorkingSet(p *program, tokens int64) {
	p.duty.workingSet += tokens - p.workingSet
	s.workingSet += tokens - p.workingSet
	p.workingSet = tokens
}

// admits tells whether a new program of the duty may start: the working set of the started programs
// with one more must fit the prefix memory. A duty that is behind its owed share holds the room against
// duties that are not. One that is far behind (as after a withdrawal of endpoints) may start programs
// even if others have filled the memory.
func (s *Scheduler) admits(d *duty) bool {
	if s.opt.NoAdmission || s.cacheBudget == 0 || s.idle() {
		return true
	}
	// Programs that have just started will grow to the mean size.
	reserved := max(s.workingSet, int64(float64(s.startedPrograms)*s.meanWorkingSet)) + int64(s.meanWorkingSet)
	if s.isBehind(d) {
		owed := int64(owedCacheFactor * d.Share * float64(s.cacheBudget))
		return reserved <= s.cacheBudget || (d.behind > farBehindThreshold*s.meanWork && d.workingSet+int64(s.meanWorkingSet) <= owed)
	}
	return (reserved <= s.cacheBudget || s.startedPrograms == 0) && !s.reservedForOther(d)
}

// idle tells whether no call of the pool is running. Waiting frees no memory then, and a program that
// is paused for hours must not keep all new ones out.
func (s *Scheduler) idle() bool {
	for _, e := range s.endpoints {
		if e.inFlight > 0 {
			return false
		}
	}
	return true
}

// isBehind tells whether a duty has received less than its owed share of the work.
func (s *Scheduler) isBehind(d *duty) bool {
	return !s.opt.NoShares && d.Share > 0 && d.behind > behindThreshold*s.meanWork
}

// reservedForOther tells whether another duty that is behind has new programs waiting.
func (s *Scheduler) reservedForOther(d *duty) bool {
	for _, o := range s.duties {
		if o != d && o.newProgram.len() > 0 && s.isBehind(o) {
			return true
		}
	}
	return false
}

// markStarted counts a program as started. The interval between a duty's starts is learned only from
// programs that had to wait: without a backlog it would measure the arrivals, not the capacity.
func (s *Scheduler) markStarted(c *call) {
	p, d := c.program, c.duty
	if p.started {
		return
	}
	p.started = true
	s.startedPrograms++
	if s.now-c.submitted > backlogWait {
		dt := min(s.now-d.lastStart, maxRetryAfter)
		d.startInterval += startLearnRate * (dt.Seconds() - d.startInterval)
	} else {
		d.startInterval *= 1 - startLearnRate
	}
	d.lastStart = s.now
}

// refusal returns the reason to refuse a call at submission and the time after which a retry makes
// sense, or an empty reason.
func (s *Scheduler) refusal(c *call) (Reason, time.Duration) {
	r := &c.req
	if s.cfg.QueueLimit > 0 {
		if s.waiting >= s.cfg.QueueLimit {
			return ReasonQueueFull, s.retryAfter(c.duty, s.waiting, r.ProgramAge)
		}
		if !s.opt.NoTeamFairness && c.team.waiting >= max(s.cfg.QueueLimit/teamQueueDivisor, 1) {
			return ReasonTeamQueue, s.retryAfter(c.duty, c.team.waiting, r.ProgramAge)
		}
	}
	if r.Retry > 0 && !s.opt.NoRetryBudget {
		if s.retryBudget < 1 {
			return ReasonRetryBudget, s.retryAfter(c.duty, s.waiting, r.ProgramAge)
		}
		s.retryBudget--
	}
	if s.opt.NoEarlyRefusal {
		return "", 0
	}
	return s.earlyRefusal(c)
}

// earlyRefusal refuses what cannot be served in time.
func (s *Scheduler) earlyRefusal(c *call) (Reason, time.Duration) {
	r := &c.req
	if !c.newProgram {
		if r.CallTimeLimit > 0 && r.CallTimeLimit < seconds(s.fastestTime(c)) {
			return ReasonTimeLimitTooNear, minRetryAfter
		}
		return "", 0
	}
	if r.Deadline > 0 && r.Deadline < seconds(c.duty.programTime)/2 {
		return ReasonDeadline, s.retryAfter(c.duty, s.waiting, r.ProgramAge)
	}
	wait := s.newProgramWait(c)
	limit := maxNewProgramWait
	if r.CallTimeLimit > 0 {
		limit = min(limit, r.CallTimeLimit/2)
	}
	if !s.opt.NoAdmission && wait > limit {
		return ReasonAdmission, s.retryAfter(c.duty, c.duty.newProgram.len(), r.ProgramAge)
	}
	return "", 0
}

// newProgramWait predicts how long a new program of the duty waits for its start. One program of each duty
// may always wait, so that a duty with demand has a call in the queue when it is owed a place.
func (s *Scheduler) newProgramWait(c *call) time.Duration {
	return seconds(float64(c.duty.newProgram.len()) * c.duty.startInterval)
}

// fastestTime is the shortest predicted time of the call over the pool, without any queue.
func (s *Scheduler) fastestTime(c *call) float64 {
	best := -1.0
	for _, ep := range s.endpoints {
		if !s.canServe(ep) {
			continue
		}
		t := c.units * ep.cost.unitTime(1) / 2
		if best < 0 || t < best {
			best = t
		}
	}
	return max(best, 0)
}

// retryAfter grows with the queue and with the time that the caller has tried, so that repeated
// refusals do not add load.
func (s *Scheduler) retryAfter(d *duty, ahead int, age time.Duration) time.Duration {
	t := seconds(float64(ahead+1) * max(d.startInterval, s.drainInterval))
	t = max(t, age/2, minRetryAfter)
	return min(t, maxRetryAfter)
}
