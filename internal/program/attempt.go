package program

import (
	"slices"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
)

const (
	maxAttempts = 3 // per call
	maxResumes  = 2 // of the stream of one attempt
	// retryBudgetPerCall is what the first attempt of a call adds to the retry budget of its pool. A retry
	// takes 1. Retries therefore stay near a tenth of the load when a whole pool fails.
	retryBudgetPerCall = 0.1
	retryBudgetMax     = 10                     // retries per pool
	retryDelay         = 100 * time.Millisecond // before the second attempt; doubles each time
	// missingBytesWait is how long Core waits for missing bytes of a finished stream before it resumes it.
	missingBytesWait = time.Second
	// finishGrace is how long after the timeout of an attempt Core waits for its Finished.
	finishGrace = time.Second
)

// attempt is one try to run a call, from its Submit to its Finished.
type attempt struct {
	id         id.Attempt
	call       *call // nil after it was given up
	prog       *prog
	pool       string
	request    sched.Request
	endpoint   string        // empty until granted
	dispatched time.Duration // time of the dispatch; 0: not dispatched
	notAfter   time.Duration // DispatchService.NotAfter
	finished   *Finished     // set while bytes of the finished stream are missing
}

// firstAttempt starts the first attempt of a call; non-idempotent calls append their intent before it.
func (c *Core) firstAttempt(cl *call) {
	c.retryBudgets[cl.pool] = min(retryBudgetMax, c.retryBudget(cl.pool)+retryBudgetPerCall)
	if cl.nonIdempotent {
		c.appendIntent(cl)
		return
	}
	cl.prog.attemptNo++
	c.submit(cl, cl.prog.attemptNo)
}

func (c *Core) retryBudget(pool string) float64 {
	if n, ok := c.retryBudgets[pool]; ok {
		return n
	}
	return retryBudgetMax
}

// submit queues the next attempt of a call at its pool's dispatcher.
func (c *Core) submit(cl *call, n int) {
	p := cl.prog
	st := c.state(p)
	b := st.Branches[cl.branch]
	cl.attempts++
	cl.state = stateWaiting
	a := &attempt{id: id.NewAttempt(cl.id(), c.slots[p.slot].epoch, n), call: cl, prog: p, pool: cl.pool}
	a.request = sched.Request{
		ID: a.id, Owner: c.cfg.Session, Program: p.id, Branch: cl.branch, Team: st.Team, Duty: st.Duty,
		Zone: c.cfg.Zone, PromptTokens: promptBound(b, cl.added), SharedTokens: b.LastTokens,
		MaxTokens: cl.maxTokens, LastEndpoint: b.LastEndpoint, Attained: p.serviceTime, Calls: st.Spent.Calls,
		WaitingBranches: ancestors(st, b), ProgramAge: max(0, c.wallNow().Sub(st.OpenedAt)),
		CallTimeLimit: cl.deadline - c.now, Idempotent: !cl.nonIdempotent, Retry: cl.attempts - 1, Avoid: cl.avoid,
	}
	if cl.model == nil {
		a.request.PromptTokens = 0
		a.request.SharedTokens = 0
		a.request.LastEndpoint = ""
	}
	if !st.Deadline.IsZero() {
		a.request.Deadline = max(1, st.Deadline.Sub(c.wallNow()))
	}
	cl.attempt = a
	c.attempts[a.id] = a
	c.emit(Submit{Pool: cl.pool, Request: a.request})
}

// ancestors returns the number of branches that wait for b to finish.
func ancestors(st *fsm.Program, b *fsm.Branch) int {
	n := 0
	for b != nil && b.Parent != "" && n < len(st.Branches) {
		n++
		b = st.Branches[b.Parent]
	}
	return n
}

func (c *Core) onGranted(g sched.Grant) {
	a := c.attempts[g.Request.ID]
	if a == nil || a.call == nil {
		if g.Request.Owner == c.cfg.Session {
			c.emit(ReportDone{Pool: c.poolOfGrant(g), Done: sched.Done{ID: g.Request.ID, Endpoint: g.Endpoint, Result: sched.ResultCanceled}})
		}
		return
	}
	if a.endpoint != "" {
		return // repeated grant
	}
	cl := a.call
	if cl.nonIdempotent && !c.leased(a.prog.slot) {
		a.endpoint = g.Endpoint
		c.closeAttempt(a, sched.ResultCanceled, Finished{})
		c.refuseIntent(cl, problem(ProblemLeaseLapsed, 503, record.ExecutedNo, "the instance's lease lapsed before the dispatch"), time.Second)
		return
	}
	a.endpoint = g.Endpoint
	a.dispatched = c.now
	cl.state = stateRunning
	if cl.prog.usedEndpoints == nil {
		cl.prog.usedEndpoints = map[string]int{}
	}
	if cl.model != nil {
		cl.prog.usedEndpoints[g.Endpoint]++
	}
	c.recordDecision(cl.prog, Decision{Call: cl.id(), Attempt: a.id, Endpoint: g.Endpoint, What: "dispatch", Reason: g.Reason, Waited: g.Waited})
	c.dispatch(a, g.MoveFrom)
}

func (c *Core) poolOfGrant(g sched.Grant) string { return c.pools.endpoints[g.Endpoint].Pool }

func (c *Core) dispatch(a *attempt, moveFrom string) {
	cl := a.call
	timeout := min(timeoutOr(c.pools.pools[a.pool].Timeout, 0), cl.deadline-c.now)
	if cl.model != nil {
		c.emit(c.modelDispatch(a, moveFrom, timeout))
	} else {
		a.notAfter = c.leaseUntil
		c.emit(DispatchService{
			Attempt: a.id, Endpoint: a.endpoint, Operation: cl.service.Operation, Body: cl.service.Body,
			Epoch: c.slots[a.prog.slot].epoch, NotAfter: c.leaseUntil, Idempotent: !cl.nonIdempotent, Timeout: timeout,
		})
	}
	c.at(c.now+timeout+finishGrace, func() {
		if c.attempts[a.id] == a && a.call == cl && cl.state == stateRunning {
			c.emit(CancelAttempt{Attempt: a.id, Endpoint: a.endpoint})
			c.onFinished(Finished{Attempt: a.id, Result: sched.ResultTimeout, Sent: true})
		}
	})
}

func (c *Core) modelDispatch(a *attempt, moveFrom string, timeout time.Duration) DispatchModel {
	cl := a.call
	history := c.state(a.prog).Branches[cl.branch].History
	messages := make([]record.Message, 0, len(history)+len(cl.added))
	messages = append(append(messages, history...), cl.added...)
	return DispatchModel{
		Attempt: a.id, Endpoint: a.endpoint, Model: cl.pool, CacheTag: string(a.prog.id) + "/" + cl.branch,
		Messages: messages, MaxTokens: cl.maxTokens, Params: cl.model.Params, Stream: cl.model.Stream,
		MoveFrom: moveFrom, Timeout: timeout,
	}
}

// resume requests the rest of a broken stream from the engine. It returns false if the attempt must be
// given up instead.
func (c *Core) resume(a *attempt) bool {
	cl := a.call
	if cl.resumes >= maxResumes || c.now >= cl.deadline {
		return false
	}
	cl.resumes++
	a.finished = nil
	d := c.modelDispatch(a, "", cl.deadline-c.now)
	d.Resume = true
	d.FromByte = cl.stream.size()
	c.recordDecision(a.prog, Decision{Call: cl.id(), Attempt: a.id, Endpoint: a.endpoint, What: "resume", Reason: "stream_broken"})
	c.emit(d)
	return true
}

func (c *Core) onRefused(r sched.Refuse) {
	a := c.attempts[r.Request.ID]
	if a == nil || a.call == nil || a.endpoint != "" {
		return
	}
	cl := a.call
	delete(c.attempts, a.id)
	cl.attempt = nil
	c.recordDecision(a.prog, Decision{Call: cl.id(), Attempt: a.id, What: "refuse", Reason: r.Reason})
	pr := problem(ProblemRefused, 503, c.executedOf(cl), "the pool refused the call: "+string(r.Reason))
	if cl.nonIdempotent {
		pr.Executed = record.ExecutedNo
		c.refuseIntent(cl, pr, r.RetryAfter)
		return
	}
	c.failCall(cl, pr, r.RetryAfter)
}

// executedOf returns what is certain about the execution of a call that fails now and has no record.
func (c *Core) executedOf(cl *call) record.Executed {
	if cl.ran || cl.attempt != nil && cl.attempt.endpoint != "" {
		return record.ExecutedUnknown
	}
	return c.executedOnRefusal(cl.prog, cl.key, cl.nonIdempotent)
}

func (c *Core) onFinished(e Finished) {
	a := c.attempts[e.Attempt]
	if a == nil {
		c.onLateFinished(e)
		return
	}
	if a.endpoint == "" {
		return
	}
	if a.call == nil {
		c.closeAttempt(a, sched.ResultCanceled, e)
		return
	}
	if e.Sent && e.Result != sched.ResultRejected {
		a.call.ran = true
	}
	if a.call.model != nil {
		c.modelFinished(a, e)
		return
	}
	c.serviceFinished(a, e)
}

// closeAttempt removes a granted attempt. It reports the end to the dispatcher, unless the attempt was given
// up, which has reported it.
func (c *Core) closeAttempt(a *attempt, r sched.Result, e Finished) {
	delete(c.attempts, a.id)
	if n := a.prog.usedEndpoints[a.endpoint]; n > 0 {
		a.prog.usedEndpoints[a.endpoint] = n - 1
	}
	if a.call != nil {
		a.call.attempt = nil
		if a.dispatched > 0 {
			a.prog.serviceTime += c.now - a.dispatched
		}
		c.emit(ReportDone{Pool: a.pool, Done: sched.Done{
			ID: a.id, Endpoint: a.endpoint, Result: r, PromptTokens: e.PromptTokens, CachedTokens: e.CachedTokens,
			OutputTokens: e.OutputTokens, FirstToken: e.FirstToken, Total: e.Total,
		}})
	}
}

// abandonAttempt gives up the attempt of a call. A running attempt is kept until its Finished, so that the
// cache is released only after the engine has stopped.
func (c *Core) abandonAttempt(cl *call) {
	a := cl.attempt
	if a == nil {
		return
	}
	cl.attempt = nil
	cl.ran = cl.ran || a.endpoint != ""
	if a.endpoint == "" {
		a.call = nil
		delete(c.attempts, a.id)
		c.emit(Withdraw{Pool: a.pool, Attempt: a.id})
		return
	}
	c.emit(CancelAttempt{Attempt: a.id, Endpoint: a.endpoint})
	c.emit(ReportDone{Pool: a.pool, Done: sched.Done{ID: a.id, Endpoint: a.endpoint, Result: sched.ResultCanceled}})
	a.call = nil
	if cl.model != nil || !cl.nonIdempotent {
		c.recordSpend(cl.prog, record.Spend{Tokens: cl.reserved.Tokens, ChargeCents: cl.reserved.ChargeCents})
	}
	c.at(c.now+10*finishGrace, func() {
		if c.attempts[a.id] == a {
			c.closeAttempt(a, sched.ResultCanceled, Finished{})
		}
	})
}

// retry runs an idempotent call again after a delay. It fails the call if it has had all its attempts, if
// the retry budget of the pool is spent or if the deadline of the call would pass.
func (c *Core) retry(cl *call, failed string, pr *Problem) {
	p := cl.prog
	delay := retryDelay << (cl.attempts - 1)
	if cl.attempts >= maxAttempts || c.retryBudget(cl.pool) < 1 || c.now+delay >= cl.deadline || c.state(p).Ended() {
		c.failCall(cl, pr, time.Second)
		return
	}
	c.retryBudgets[cl.pool] = c.retryBudget(cl.pool) - 1
	if failed != "" && !slices.Contains(cl.avoid, failed) {
		cl.avoid = append(cl.avoid[:len(cl.avoid):len(cl.avoid)], failed)
	}
	cl.state = stateRetry
	c.recordDecision(p, Decision{Call: cl.id(), Endpoint: failed, What: "retry", Reason: reason(pr.Type)})
	c.at(c.now+delay, func() {
		if cl.state != stateRetry {
			return
		}
		// The failed attempt may have spent up to its reservation, so the budget is checked again.
		cost := cl.reserved
		c.unreserve(cl)
		if s := c.checkBudget(p, cost); s != budgetOK {
			if s == budgetWait && !c.logDown {
				cl.state = stateBudget
				return
			}
			c.failCall(cl, problem(ProblemBudgetExhausted, 402, c.executedOf(cl), "the budget does not allow another attempt"), 0)
			return
		}
		c.reserve(cl, cost)
		p.attemptNo++
		c.submit(cl, p.attemptNo)
	})
}
