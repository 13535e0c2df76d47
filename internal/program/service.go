package program

import (
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
)

const (
	askInterval    = time.Second // between the first two questions about an outcome; doubles each time
	askMaxInterval = time.Minute
	// takeoverAskTimeout is how long after a takeover the service is asked about an open intent before its
	// outcome is recorded as unknown.
	takeoverAskTimeout = 10 * time.Second
	// lateDeliveryMargin is how long after the end of the lease an answer "not run" is still ignored: a
	// request that was written before the end of the lease may arrive later.
	lateDeliveryMargin = 3 * time.Second
)

// SettleWait is how long after a takeover an open intent stays open. The last holder may dispatch the call
// until it has read the claim; package membership bounds that time. If the outcome were recorded as
// unknown earlier, a caller could settle it as not run before that dispatch. It must not be shorter than
// membership.SettleWait, the wait that the rules of package membership require; package server does not
// compile if it is.
const SettleWait = 3 * time.Second

// outcomeQuery is a dispatch of a non-idempotent call whose outcome is not known.
type outcomeQuery struct {
	slot          id.Slot
	prog          *prog
	intent        fsm.Intent
	askable       bool          // the service can report the outcome of an attempt
	notRunValidAt time.Duration // time from which an answer "not run" is valid
	asks          int
	call          *call // call that waits for the answer, or nil
}

// appendIntent appends the intent of a non-idempotent call. The call is dispatched only after the intent
// was read back as valid, so that every later holder knows that the call may have run.
func (c *Core) appendIntent(cl *call) {
	p := cl.prog
	p.attemptNo++
	n := p.attemptNo
	cl.state = stateIntent
	rec := record.Intent{
		Holder: c.holder(p.slot), Call: cl.id(), Key: cl.key, Digest: cl.digest, Service: cl.service.Service,
		Operation: cl.service.Operation, Cost: record.Spend{Calls: 1, ChargeCents: cl.charge}, Attempt: n,
	}
	ok := c.append(p, rec, func(r commitResult) {
		switch {
		case cl.state != stateIntent || r == copied:
			// The call was given up, or only peers hold the intent. Neither allows a dispatch.
		case r == committed:
			c.submit(cl, n)
		default:
			c.failCall(cl, problem(ProblemOwnerChanged, 503, record.ExecutedNo, "the intent was not recorded"), RetryAfterSlot)
		}
	})
	if !ok {
		c.failCall(cl, problem(ProblemRecordRejected, 409, record.ExecutedNo, "the program changed"), 0)
	}
}

// refuseIntent fails a call that was certainly not dispatched, and closes its intent.
func (c *Core) refuseIntent(cl *call, pr *Problem, retryAfter time.Duration) {
	c.unreserve(cl)
	c.recordOutcome(cl.prog, cl.id(), cl.key, cl.digest, outcome{executed: record.ExecutedNo}, nil)
	c.failCall(cl, pr, retryAfter)
}

// outcome is the result of a service call.
type outcome struct {
	executed record.Executed
	status   int
	body     []byte
	used     record.Spend
}

func (c *Core) recordOutcome(p *prog, id id.Call, key string, digest uint64, o outcome, done func(commitResult)) bool {
	return c.append(p, record.Outcome{
		Holder: c.holder(p.slot), Call: id, Key: key, Digest: digest, Executed: o.executed, Status: o.status,
		Body: o.body, Used: o.used, HighWater: c.state(p).HighWater,
	}, done)
}

func (c *Core) serviceFinished(a *attempt, e Finished) {
	cl := a.call
	c.closeAttempt(a, e.Result, e)
	if cl.nonIdempotent {
		c.nonIdempotentFinished(cl, a, e)
		return
	}
	switch {
	case e.Result == sched.ResultOK:
		c.recordServiceOutcome(cl, outcome{
			executed: record.ExecutedYes, status: e.Status, body: e.Body,
			used: record.Spend{Calls: 1, ChargeCents: cl.charge},
		})
	case !e.Sent || e.Result == sched.ResultRejected:
		c.retry(cl, a.endpoint, problem(ProblemEndpointFailed, 503, c.executedOf(cl), "the servers refused the call"))
	default:
		c.recordSpend(cl.prog, record.Spend{ChargeCents: cl.charge})
		status := 502
		if e.Result == sched.ResultTimeout {
			status = 504
		}
		c.retry(cl, a.endpoint, problem(ProblemEndpointFailed, status, record.ExecutedUnknown, "the attempts at the service failed"))
	}
}

// recordServiceOutcome records the outcome of a service call and answers its callers once the record is
// durable.
func (c *Core) recordServiceOutcome(cl *call, o outcome) {
	c.unreserve(cl)
	cl.state = stateCommit
	ok := c.recordOutcome(cl.prog, cl.id(), cl.key, cl.digest, o, c.once(func(r commitResult) {
		switch {
		case cl.state == stateClosed:
		case r == rejected:
			c.failCall(cl, problem(ProblemOwnerChanged, 503, record.ExecutedUnknown, "the outcome was not recorded; repeat the key"), RetryAfterSlot)
		case o.executed == record.ExecutedYes:
			for _, w := range cl.waiters {
				c.emit(Reply{Req: w.req, Status: statusOr(o.status, 200), Body: o.body, Call: cl.id()})
			}
			c.closeCall(cl)
		case o.executed == record.ExecutedNo:
			c.failCall(cl, problem(ProblemEndpointFailed, 503, record.ExecutedNo, "the service did not run the call"), time.Second)
		default:
			c.failCall(cl, unknownOutcome(), time.Second)
		}
	}))
	if !ok {
		c.failCall(cl, problem(ProblemRecordRejected, 409, record.ExecutedUnknown, "the program changed while the call ran"), 0)
		return
	}
	c.recordDecision(cl.prog, Decision{Call: cl.id(), What: "outcome", Reason: reason(o.executed.String()), Used: o.used, Executed: o.executed})
}

// nonIdempotentFinished handles the end of the only dispatch of a non-idempotent call.
func (c *Core) nonIdempotentFinished(cl *call, a *attempt, e Finished) {
	cost := record.Spend{Calls: 1, ChargeCents: cl.charge}
	switch {
	case e.Result == sched.ResultOK:
		c.recordServiceOutcome(cl, outcome{executed: record.ExecutedYes, status: e.Status, body: e.Body, used: cost})
		return
	case !e.Sent || e.Result == sched.ResultRejected:
		c.recordServiceOutcome(cl, outcome{executed: record.ExecutedNo})
		return
	}
	b := c.state(cl.prog).Branches[cl.branch]
	if b.Intent == nil {
		return
	}
	q := &outcomeQuery{
		slot: cl.prog.slot, prog: cl.prog, intent: *b.Intent, askable: cl.canBeAsked,
		notRunValidAt: a.notAfter + lateDeliveryMargin,
	}
	c.outcomeQueries[a.id] = q
	if cl.canBeAsked && c.now < cl.deadline {
		q.call = cl
		cl.state = stateAsking
		c.askOutcome(a.id, q)
		return
	}
	c.recordServiceOutcome(cl, outcome{executed: record.ExecutedUnknown, used: cost})
	c.askOutcome(a.id, q)
}

// askOutcome asks the service about an outcome, with a doubling interval until the answer is certain.
func (c *Core) askOutcome(aid id.Attempt, q *outcomeQuery) {
	if !q.askable {
		return
	}
	c.emit(AskOutcome{Attempt: aid, Service: q.intent.Service})
	delay := min(askInterval<<min(q.asks, 6), askMaxInterval)
	q.asks++
	c.at(c.now+delay, func() {
		if c.outcomeQueries[aid] == q {
			c.askOutcome(aid, q)
		}
	})
}

func (c *Core) onOutcomeReported(e OutcomeReported) {
	q := c.outcomeQueries[e.Attempt]
	if q == nil || e.Executed == record.ExecutedUnknown {
		return
	}
	if e.Executed == record.ExecutedNo && c.now < q.notRunValidAt {
		return // the request may still arrive; the service is asked again
	}
	c.resolveOutcome(e.Attempt, q, outcome{executed: e.Executed, status: e.Status, body: e.Body})
}

// onLateFinished handles the end of an attempt that Core has already given up.
func (c *Core) onLateFinished(e Finished) {
	q := c.outcomeQueries[e.Attempt]
	if q == nil {
		return
	}
	switch {
	case e.Result == sched.ResultOK:
		c.resolveOutcome(e.Attempt, q, outcome{executed: record.ExecutedYes, status: e.Status, body: e.Body})
	case !e.Sent || e.Result == sched.ResultRejected:
		c.resolveOutcome(e.Attempt, q, outcome{executed: record.ExecutedNo})
	}
}

// resolveOutcome records an outcome that was not known before.
func (c *Core) resolveOutcome(aid id.Attempt, q *outcomeQuery, o outcome) {
	delete(c.outcomeQueries, aid)
	p := q.prog
	if c.prog(p.id) != p {
		return
	}
	b := c.state(p).Branches[q.intent.Call.Branch]
	if b == nil || (b.Intent == nil && b.UnknownOutcome != q.intent.Key) {
		return // a caller has settled it
	}
	if b.Intent != nil && o.executed == record.ExecutedYes {
		o.used = q.intent.Cost // a recorded unknown outcome already includes the cost
	}
	if cl := q.call; cl != nil && cl.state == stateAsking {
		c.recordServiceOutcome(cl, o)
		return
	}
	c.recordOutcome(p, q.intent.Call, q.intent.Key, q.intent.Digest, o, nil)
	c.recordDecision(p, Decision{Call: q.intent.Call, Attempt: aid, What: "outcome", Reason: "certain_late", Executed: o.executed})
}

// resumeIntents starts outcome queries for the intents that the last holder left open and for unknown
// outcomes.
func (c *Core) resumeIntents(p *prog) {
	st := c.readState(p)
	for _, name := range sortedKeys(st.Branches) {
		b := st.Branches[name]
		switch {
		case b.Intent != nil:
			c.resumeIntent(p, *b.Intent)
		case b.UnknownOutcome != "":
			if in := st.Outcomes[b.UnknownOutcome].Intent; in != nil {
				c.startOutcomeQuery(p, *in)
			}
		}
	}
}

// startOutcomeQuery starts an outcome query for a dispatch of the last holder, whose lease lapsed before the
// claim.
func (c *Core) startOutcomeQuery(p *prog, in fsm.Intent) *outcomeQuery {
	op := c.pools.operations[opKey{in.Service, in.Operation}]
	q := &outcomeQuery{slot: p.slot, prog: p, intent: in, askable: op.CanBeAsked, notRunValidAt: c.now + lateDeliveryMargin}
	aid := in.ID()
	c.outcomeQueries[aid] = q
	c.askOutcome(aid, q)
	return q
}

func (c *Core) resumeIntent(p *prog, in fsm.Intent) {
	q := c.startOutcomeQuery(p, in)
	recordUnknown := func() {
		b := c.state(p).Branches[in.Call.Branch]
		if b.Intent != nil && b.Intent.Call == in.Call {
			c.recordOutcome(p, in.Call, in.Key, in.Digest, outcome{executed: record.ExecutedUnknown, used: in.Cost}, nil)
			c.recordDecision(p, Decision{Call: in.Call, Attempt: in.ID(), What: "outcome", Reason: "unknown_after_take_over"})
		}
	}
	wait := SettleWait
	if q.askable {
		wait = takeoverAskTimeout
	}
	c.at(c.now+wait, func() {
		if c.outcomeQueries[in.ID()] == q && c.progs[p.id] == p {
			recordUnknown()
		}
	})
}

// onSettle resolves an unknown outcome with what the caller found out.
func (c *Core) onSettle(e SettleCall) {
	p := c.admit(e.Req, e.Team, e.Program)
	if p == nil {
		return
	}
	st := c.state(p)
	body := mustJSON(struct {
		Key      string `json:"key"`
		Executed string `json:"executed"`
	}{e.Key, e.Executed.String()})
	o := st.Outcomes[e.Key]
	switch {
	case o == nil:
		c.refuse(e.Req, problem(ProblemCallNotFound, 404, record.ExecutedUnknown, "no recorded call has this key"), 0)
		return
	case e.Executed == record.ExecutedUnknown:
		c.refuse(e.Req, &Problem{Type: ProblemOutcomeKnown, Status: 422, Detail: "executed must be yes or no", Place: "executed", Executed: o.Executed}, 0)
		return
	case o.Executed == e.Executed:
		c.replyWhenDurable(p, e.Req, body) // settled earlier
		return
	case o.Executed != record.ExecutedUnknown:
		c.refuse(e.Req, problem(ProblemOutcomeKnown, 409, o.Executed, "the outcome is known"), 0)
		return
	}
	rec := record.Settle{Holder: c.holder(p.slot), Call: o.Call, Executed: e.Executed, Body: e.Body}
	c.append(p, rec, c.once(func(r commitResult) { c.replyCommitted(e.Req, r, 200, body) }))
	for _, aid := range sortedKeys(c.outcomeQueries) {
		if q := c.outcomeQueries[aid]; q.prog == p && q.intent.Call == o.Call {
			delete(c.outcomeQueries, aid)
		}
	}
	c.startBranch(p, o.Call.Branch)
}
