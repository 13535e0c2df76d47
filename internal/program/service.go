package program

import (
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
)

const (
	askFirst   = time.Second      // between the first questions about an outcome; doubles
	askAtMost  = time.Minute      // between later questions
	askRecover = 10 * time.Second // after a take-over, until an unanswered question makes the outcome unknown
	// lateGuard is added to the end of the lease before an answer "not run" counts: a request that
	// was written before it may still be on its way.
	lateGuard = 3 * time.Second
)

// SettleWait is how long after a take-over an open intent stays open. The last holder may dispatch
// until it has read the claim; package membership bounds that time. An outcome that is recorded as
// unknown earlier could be settled as not run before the dispatch.
const SettleWait = 3 * time.Second

// question is a dispatch of a non-idempotent call whose outcome is not certain.
type question struct {
	slot     id.Slot
	prog     *prog
	intent   fsm.Intent
	ask      bool          // the service can be asked
	notAfter time.Duration // an answer "not run" counts from then on
	tries    int
	call     *call // waits for the answer; nil: nobody does
}

// announce appends the intent of a non-idempotent call. Its dispatch waits until the intent was read
// back as valid, so that every later holder knows of it.
func (c *Core) announce(cl *call) {
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
			// The call was given up, or only peers know of the intent: no dispatch.
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

// refuseIntent closes the intent of a call that was certainly not dispatched and refuses the call.
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
		Body: o.body, Used: o.used, Mark: c.state(p).Mark,
	}, done)
}

func (c *Core) serviceFinished(a *attempt, e Finished) {
	cl := a.call
	c.closeAttempt(a, e.Result, e)
	if cl.nonIdempotent {
		c.oneDispatchFinished(cl, a, e)
		return
	}
	switch {
	case e.Result == sched.ResultOK:
		c.answerService(cl, outcome{
			executed: record.ExecutedYes, status: e.Status, body: e.Body,
			used: record.Spend{Calls: 1, ChargeCents: cl.charge},
		})
	case !e.Sent || e.Result == sched.ResultRejected:
		c.retry(cl, a.endpoint, problem(ProblemEndpointFailed, 503, c.executedOf(cl), "the servers refused the call"))
	default:
		c.waste(cl.prog, record.Spend{ChargeCents: cl.charge})
		status := 502
		if e.Result == sched.ResultTimeout {
			status = 504
		}
		c.retry(cl, a.endpoint, problem(ProblemEndpointFailed, status, record.ExecutedUnknown, "the attempts at the service failed"))
	}
}

// answerService records the answer of a service and passes it on once it is durable.
func (c *Core) answerService(cl *call, o outcome) {
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
	c.decide(cl.prog, Decision{Call: cl.id(), What: "outcome", Reason: reason(o.executed.String()), Used: o.used, Executed: o.executed})
}

// oneDispatchFinished takes the end of the only dispatch of a non-idempotent call.
func (c *Core) oneDispatchFinished(cl *call, a *attempt, e Finished) {
	cost := record.Spend{Calls: 1, ChargeCents: cl.charge}
	switch {
	case e.Result == sched.ResultOK:
		c.answerService(cl, outcome{executed: record.ExecutedYes, status: e.Status, body: e.Body, used: cost})
		return
	case !e.Sent || e.Result == sched.ResultRejected:
		c.answerService(cl, outcome{executed: record.ExecutedNo})
		return
	}
	b := c.state(cl.prog).Branches[cl.branch]
	if b.Intent == nil {
		return
	}
	q := &question{
		slot: cl.prog.slot, prog: cl.prog, intent: *b.Intent, ask: cl.canBeAsked,
		notAfter: a.notAfter + lateGuard,
	}
	c.asked[a.id] = q
	if cl.canBeAsked && c.now < cl.deadline {
		q.call = cl
		cl.state = stateAsking
		c.askNow(a.id, q)
		return
	}
	c.answerService(cl, outcome{executed: record.ExecutedUnknown, used: cost})
	c.askNow(a.id, q)
}

// askNow asks the service, and again until the answer is certain.
func (c *Core) askNow(aid id.Attempt, q *question) {
	if !q.ask {
		return
	}
	c.emit(AskOutcome{Attempt: aid, Service: q.intent.Service})
	delay := min(askFirst<<min(q.tries, 6), askAtMost)
	q.tries++
	c.at(c.now+delay, func() {
		if c.asked[aid] == q {
			c.askNow(aid, q)
		}
	})
}

func (c *Core) onAsked(e OutcomeReported) {
	q := c.asked[e.Attempt]
	if q == nil || e.Executed == record.ExecutedUnknown {
		return
	}
	if e.Executed == record.ExecutedNo && c.now < q.notAfter {
		return // the request may still arrive; it is asked again
	}
	c.certain(e.Attempt, q, outcome{executed: e.Executed, status: e.Status, body: e.Body})
}

// lateAnswer takes an answer that came after its attempt was given up.
func (c *Core) lateAnswer(e Finished) {
	q := c.asked[e.Attempt]
	if q == nil {
		return
	}
	switch {
	case e.Result == sched.ResultOK:
		c.certain(e.Attempt, q, outcome{executed: record.ExecutedYes, status: e.Status, body: e.Body})
	case !e.Sent || e.Result == sched.ResultRejected:
		c.certain(e.Attempt, q, outcome{executed: record.ExecutedNo})
	}
}

// certain records what became known about a dispatch.
func (c *Core) certain(aid id.Attempt, q *question, o outcome) {
	delete(c.asked, aid)
	p := q.prog
	if c.prog(p.id) != p {
		return
	}
	b := c.state(p).Branches[q.intent.Call.Branch]
	if b == nil || (b.Intent == nil && b.UnknownOutcome != q.intent.Key) {
		return // settled by the caller
	}
	if b.Intent != nil && o.executed == record.ExecutedYes {
		o.used = q.intent.Cost // an unknown outcome has counted it already
	}
	if cl := q.call; cl != nil && cl.state == stateAsking {
		c.answerService(cl, o)
		return
	}
	c.recordOutcome(p, q.intent.Call, q.intent.Key, q.intent.Digest, o, nil)
	c.decide(p, Decision{Call: q.intent.Call, Attempt: aid, What: "outcome", Reason: "certain_late", Executed: o.executed})
}

// resumeIntents takes up the intents that the last holder left open and the outcomes that are unknown.
func (c *Core) resumeIntents(p *prog) {
	st := c.stateOf(p)
	for _, name := range sortedKeys(st.Branches) {
		b := st.Branches[name]
		switch {
		case b.Intent != nil:
			c.resumeIntent(p, *b.Intent)
		case b.UnknownOutcome != "":
			if in := st.Outcomes[b.UnknownOutcome].Intent; in != nil {
				c.question(p, *in)
			}
		}
	}
}

// question registers a dispatch of the last holder. Its lease lapsed before the claim.
func (c *Core) question(p *prog, in fsm.Intent) *question {
	op := c.pools.operations[opKey{in.Service, in.Operation}]
	q := &question{slot: p.slot, prog: p, intent: in, ask: op.CanBeAsked, notAfter: c.now + lateGuard}
	aid := in.ID()
	c.asked[aid] = q
	c.askNow(aid, q)
	return q
}

func (c *Core) resumeIntent(p *prog, in fsm.Intent) {
	q := c.question(p, in)
	unknown := func() {
		b := c.state(p).Branches[in.Call.Branch]
		if b.Intent != nil && b.Intent.Call == in.Call {
			c.recordOutcome(p, in.Call, in.Key, in.Digest, outcome{executed: record.ExecutedUnknown, used: in.Cost}, nil)
			c.decide(p, Decision{Call: in.Call, Attempt: in.ID(), What: "outcome", Reason: "unknown_after_take_over"})
		}
	}
	wait := SettleWait
	if q.ask {
		wait = askRecover
	}
	c.at(c.now+wait, func() {
		if c.asked[in.ID()] == q && c.progs[p.id] == p {
			unknown()
		}
	})
}

// onSettle closes an unknown outcome with what the caller found out.
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
		c.replyWhenSettled(p, e.Req, body) // settled before
		return
	case o.Executed != record.ExecutedUnknown:
		c.refuse(e.Req, problem(ProblemOutcomeKnown, 409, o.Executed, "the outcome is known"), 0)
		return
	}
	rec := record.Settle{Holder: c.holder(p.slot), Call: o.Call, Executed: e.Executed, Body: e.Body}
	c.append(p, rec, c.once(func(r commitResult) { c.replyCommitted(e.Req, r, 200, body) }))
	for _, aid := range sortedKeys(c.asked) {
		if q := c.asked[aid]; q.prog == p && q.intent.Call == o.Call {
			delete(c.asked, aid)
		}
	}
	c.startBranch(p, o.Call.Branch)
}
