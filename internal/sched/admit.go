package sched

import "time"

// Admission of new programs, refusals and the retry budget.
const (
	admitCacheFraction  = 0.9                   // fraction of the pool's prefix cache that started programs may fill
	behindCacheFraction = 1.25                  // the same for a duty that is behind its owed share; not used
	owedCacheFactor     = 1.5                   // multiple of its cache share that a duty far behind may fill
	newProgramPenalty   = 5 * time.Second       // calls of started programs up to 5 s later go first
	maxNewProgramWait   = 8 * time.Second       // predicted wait above which a new program is refused
	startLearnRate      = 0.1                   // weight of a new sample in the mean start interval
	backlogWait         = 50 * time.Millisecond // a longer wait before a start means a backlog
	minRetryAfter       = time.Second
	maxRetryAfter       = 60 * time.Second
	retriesPerSuccess   = 0.1  // retries that a successful call adds to the budget
	initialRetryBudget  = 20.0 // retries that a pool without any success allows; the budget is capped at twice this
	teamQueueDivisor    = 4    // one team may fill 1/4 of the pool's queue with its waiting calls in one duty
)

// setWorkingSet sets the working set of a program and updates the sums of its duty and of the pool.
func (s *Scheduler) setWorkingSet(p *program, tokens int64) {
	p.duty.workingSet += tokens - p.workingSet
	s.workingSet += tokens - p.workingSet
	p.workingSet = tokens
}

// admits reports whether a new program of the duty may start: the working sets of the started programs
// plus one more must fit the prefix cache budget. While a duty that is behind its owed share has new
// programs waiting, duties that are not behind start none. A duty that is far behind, for example after
// endpoints were withdrawn, may start programs even if other duties have filled the cache.
func (s *Scheduler) admits(d *duty) bool {
	if s.opt.NoAdmission || s.cacheBudget == 0 || s.idle() {
		return true
	}
	// Programs that have just started are assumed to grow to the mean working set.
	reserved := max(s.workingSet, int64(float64(s.startedPrograms)*s.meanWorkingSet)) + int64(s.meanWorkingSet)
	if s.isBehind(d) {
		owed := int64(owedCacheFactor * d.Share * float64(s.cacheBudget))
		return reserved <= s.cacheBudget || (d.behind > farBehindThreshold*s.meanWork && d.workingSet+int64(s.meanWorkingSet) <= owed)
	}
	return (reserved <= s.cacheBudget || s.startedPrograms == 0) && !s.reservedForOther(d)
}

// idle reports whether no call of the pool is running. In that case waiting frees no cache memory, and a
// program that is paused for hours would keep all new programs out, so admission is not limited.
func (s *Scheduler) idle() bool {
	for _, e := range s.endpoints {
		if e.inFlight > 0 {
			return false
		}
	}
	return true
}

// isBehind reports whether a duty has received less than its owed share of the work.
func (s *Scheduler) isBehind(d *duty) bool {
	return !s.opt.NoShares && d.Share > 0 && d.behind > behindThreshold*s.meanWork
}

// reservedForOther reports whether another duty that is behind its owed share has new programs waiting.
func (s *Scheduler) reservedForOther(d *duty) bool {
	for _, o := range s.duties {
		if o != d && o.newProgram.len() > 0 && s.isBehind(o) {
			return true
		}
	}
	return false
}

// markStarted counts a program as started. The interval between a duty's starts is learned only from
// programs that had to wait: without a backlog it would measure the arrival rate, not the capacity. A
// program that did not wait lets the learned interval decay.
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

// refusal returns the reason to refuse a call at submission and the time after which the caller should
// retry. The reason is empty if the call is accepted.
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

// earlyRefusal refuses a call that is predicted not to be served within its time limit or deadline, and a
// new program that would wait too long for admission.
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

// newProgramWait predicts how long a new program of the duty waits for its start. It is 0 for the first
// program in the queue, so one program of each duty can always wait, and a duty with demand has a call
// in the queue when it is owed capacity.
func (s *Scheduler) newProgramWait(c *call) time.Duration {
	return seconds(float64(c.duty.newProgram.len()) * c.duty.startInterval)
}

// fastestTime returns a lower bound in seconds for the time of the call: half of the shortest predicted
// unit time in the pool for all its units, without prefill or queueing.
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

// retryAfter returns the delay to advise with a refusal. It grows with the queue and with the age of the
// program, so that callers that are refused again and again do not add load.
func (s *Scheduler) retryAfter(d *duty, ahead int, age time.Duration) time.Duration {
	t := seconds(float64(ahead+1) * max(d.startInterval, s.drainInterval))
	t = max(t, age/2, minRetryAfter)
	return min(t, maxRetryAfter)
}
