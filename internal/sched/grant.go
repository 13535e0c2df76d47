package sched

import "time"

// maxSkipped bounds the calls that one Step skips because only endpoints that they avoid have capacity.
const maxSkipped = 8

// grant grants waiting calls to endpoints with capacity until none of them can be matched. Skipped calls go
// back to the queues of their duties.
func (s *Scheduler) grant(out []Action) []Action {
	if s.waiting == 0 {
		return out
	}
	if s.parked > 0 {
		for _, ep := range s.endpoints {
			for ep.parked.len() > 0 && s.hasCapacity(ep) {
				out = s.grantParked(ep, out)
			}
		}
	}
	placed := true
	for s.anyHasCapacity() {
		c, owed := s.pickCall()
		if c == nil {
			break
		}
		if out, placed = s.placeCall(c, owed, out); !placed {
			break
		}
	}
	for _, c := range s.skipped {
		s.pushToDuty(c)
	}
	s.skipped = s.skipped[:0]
	return out
}

// anyHasCapacity reports whether an endpoint has capacity. Once none has, the answer is kept until an event
// that can free capacity, so that submissions to a full pool do not scan all endpoints.
func (s *Scheduler) anyHasCapacity() bool {
	if s.full {
		return false
	}
	for _, ep := range s.endpoints {
		if s.hasCapacity(ep) {
			return true
		}
	}
	s.full = s.now >= s.startedAt+halfLimitPeriod // before that, limits rise with time alone
	return false
}

// grantParked grants the free capacity of an endpoint to the first call that waits for its prefix. If another
// duty is behind its owed share, the next call of that duty chooses its endpoint first.
func (s *Scheduler) grantParked(ep *endpoint, out []Action) []Action {
	c := ep.parked.head()
	if d := s.mostOwedDuty(); d != nil && d != c.duty {
		if o := s.nextCall(d); o != nil {
			before := len(out)
			out, _ = s.placeCall(o, true, out)
			if len(out) > before {
				return out
			}
		}
	}
	if !s.hasCapacity(ep) {
		return out
	}
	cached := c.cachedAt(ep)
	if cached == 0 { // evicted while the call waited
		s.unpark(c)
		return out
	}
	out = s.commitGrant(c, placement{ep: ep, reason: ReasonWarmWaited, time: s.estimate(ep, c, cached)}, out)
	return append(out, s.newGrant(c, ReasonWarmWaited, nil))
}

// pickCall returns the call to serve next and whether it is served because its duty is behind its owed share.
func (s *Scheduler) pickCall() (*call, bool) {
	if d := s.mostOwedDuty(); d != nil {
		return s.nextCall(d), true
	}
	return s.nextOverall(), false
}

// placeCall grants a call, parks it at the busy endpoint that holds its prefix, or skips it until the end of
// the Step. It returns false if the call has no endpoint and too many calls were skipped already.
func (s *Scheduler) placeCall(c *call, owed bool, out []Action) ([]Action, bool) {
	c.bestPrefix = c.branch.largest()
	p := s.choose(c)
	switch {
	case p.ep == nil:
		if len(s.skipped) >= maxSkipped {
			return out, false
		}
		c.heap.remove(c)
		s.skipped = append(s.skipped, c)
		return out, true
	case p.wait:
		c.heap.remove(c)
		c.parkedAt = p.ep
		p.ep.parked.push(c)
		s.parked++
		s.timers.push(timer{at: s.now + c.parkLimit, call: c, park: true})
		return out, true
	}
	if owed && p.reason != ReasonProbe && p.reason != ReasonMove {
		p.reason = ReasonOwedShare
	}
	out = s.commitGrant(c, p, out)
	return append(out, s.newGrant(c, p.reason, p.moveFrom)), true
}

func (b *branch) largest() *prefix {
	var best *prefix
	for _, p := range b.prefixes {
		if best == nil || p.tokens > best.tokens {
			best = p
		}
	}
	return best
}

func (s *Scheduler) newGrant(c *call, r Reason, from *endpoint) Grant {
	g := Grant{Request: c.req, Endpoint: c.ep.Name, Reason: r, Waited: s.now - c.submitted}
	if from != nil {
		g.MoveFrom = from.Name
	}
	return g
}

// commitGrant moves a call from waiting to running at the chosen endpoint and charges the predicted work to its duty.
func (s *Scheduler) commitGrant(c *call, p placement, out []Action) []Action {
	ep := p.ep
	s.dequeue(c)
	c.predicted = p.time
	if s.cfg.Model {
		out = s.reserve(c, p, out)
	}
	s.startRunning(c, ep)
	c.charged = s.work(c.predicted, c.req.PromptTokens-c.cachedAt(ep), int64(c.units))
	s.charge(c.duty, c.charged)
	return out
}

// reserve accounts for the prefill time and the cache memory of a granted call at its endpoint.
func (s *Scheduler) reserve(c *call, p placement, out []Action) []Action {
	ep := p.ep
	if p.moveFrom != nil {
		// Make room before the move, because the moved prefix takes its memory at once.
		out = s.makeRoom(ep, c.req.PromptTokens+int64(c.units), out)
		if src := c.branch.prefixAt(p.moveFrom); src != nil {
			s.recordPrefix(c.branch, ep, src.tokens, src.tokens-src.unreused)
			s.dropPrefix(src, false) // the source drops its prefix on export
		}
	}
	out = s.makeRoom(ep, c.req.PromptTokens-c.cachedAt(ep)+int64(c.units), out)
	c.prefillQueue = ep.prefillQueue(s.now)
	uncached := c.req.PromptTokens - c.cachedAt(ep)
	ep.prefillDoneAt = max(ep.prefillDoneAt, s.now) + seconds(float64(uncached)/ep.cost.prefillRate)
	s.recordPrefix(c.branch, ep, c.req.PromptTokens, c.cachedAt(ep))
	c.pinned = c.branch.prefixAt(ep)
	if c.pinned != nil {
		c.pinned.pinned++
	}
	s.setWorkingSet(c.program, c.program.setContext(c.branch, c.req.PromptTokens))
	return out
}

// setContext sets the context length of a branch and returns the sum over all branches of the program.
func (p *program) setContext(b *branch, tokens int64) int64 {
	b.tokens = tokens
	sum := int64(0)
	for _, o := range p.branches {
		sum += o.tokens
	}
	return sum
}

// finish handles the result of a running call. A repeated report or one for an unknown call has no effect.
func (s *Scheduler) finish(d Done) {
	c := s.calls[d.ID]
	if c == nil || c.ep == nil {
		return
	}
	ep := c.ep
	s.learn(c, d)
	s.stopRunning(c)
	s.updateBreaker(ep, d.Result)
	if d.Result == ResultOK {
		s.retryBudget = min(s.retryBudget+retriesPerSuccess, 2*initialRetryBudget)
		s.recordCompletion()
		s.correctEstimates(c, d)
	} else if p := c.branch.prefixAt(ep); p != nil && p.pinned == 0 && d.Result != ResultCanceled {
		s.dropPrefix(p, true)
	}
	s.forgetCall(c)
}

// correctEstimates replaces the work, tokens and cache predicted for a call by those of its result and
// updates the means of its duty and of the pool.
func (s *Scheduler) correctEstimates(c *call, d Done) {
	uncached := d.PromptTokens - d.CachedTokens
	work := s.work(d.Total.Seconds(), uncached, d.OutputTokens)
	s.charge(c.duty, work-c.charged)
	s.meanWork += 0.05 * (work - s.meanWork)
	if !s.cfg.Model {
		return
	}
	c.duty.outputTokens += 0.05 * (float64(d.OutputTokens) - c.duty.outputTokens)
	s.poolPrefillRate += 0.02 * (c.ep.cost.prefillRate - s.poolPrefillRate)
	s.poolUnitTime += 0.02 * (c.ep.cost.unitTime(float64(c.runningAtGrant)) - s.poolUnitTime)
	u := c.team.usage
	u.Filled += uncached + d.OutputTokens
	u.Reused += d.CachedTokens
	tokens := d.PromptTokens + d.OutputTokens
	if c.program.started {
		s.recordPrefix(c.branch, c.ep, tokens, d.CachedTokens)
		s.setWorkingSet(c.program, c.program.setContext(c.branch, tokens))
	}
}

// recordCompletion learns the mean interval between the ends of calls.
func (s *Scheduler) recordCompletion() {
	dt := min(s.now-s.lastCompletion, 5*time.Second)
	s.drainInterval += 0.05 * (dt.Seconds() - s.drainInterval)
	s.lastCompletion = s.now
}
