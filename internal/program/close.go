package program

import (
	"time"

	"ragwortstile/internal/record"
)

// maxMaybeRun limits the keys of failed calls that are kept per program. Above it, a program is treated
// like one that was opened by another session: refusals no longer say that a key was not run.
const maxMaybeRun = 256

// failCall answers all callers of a call with a problem and closes the call.
func (c *Core) failCall(cl *call, pr *Problem, retryAfter time.Duration) {
	if cl.state == stateClosed {
		return
	}
	p := cl.prog
	pr = c.limitExecuted(p.slot, pr)
	for _, w := range cl.waiters {
		if w.begun {
			c.emit(StreamEnd{Req: w.req, Problem: pr})
			continue
		}
		c.emit(Reply{Req: w.req, Status: pr.Status, Problem: pr, RetryAfter: retryAfter, Call: cl.id()})
	}
	if cl.ran && !cl.nonIdempotent {
		if len(p.maybeRun) >= maxMaybeRun {
			p.inherited = true
			p.maybeRun = nil
		}
		if p.maybeRun == nil {
			p.maybeRun = map[string]struct{}{}
		}
		p.maybeRun[cl.key] = struct{}{}
	}
	c.recordDecision(p, Decision{Call: cl.id(), What: "fail", Reason: reason(pr.Type), Executed: pr.Executed})
	c.closeCall(cl)
}

// closeCall removes an answered call and starts calls of its program that waited for it.
func (c *Core) closeCall(cl *call) {
	p := cl.prog
	cl.state = stateClosed
	c.unreserve(cl)
	for _, w := range cl.waiters {
		delete(c.requests, w.req)
	}
	cl.waiters = nil
	if p.calls[cl.key] == cl {
		delete(p.calls, cl.key)
	}
	q := p.queues[cl.branch]
	for i, x := range q {
		if x == cl {
			q = append(q[:i:i], q[i+1:]...)
			break
		}
	}
	p.queues[cl.branch] = q
	if len(q) == 0 {
		delete(p.queues, cl.branch)
	}
	if c.progs[p.id] != p {
		return
	}
	c.startBranch(p, cl.branch)
	c.startBudgetWaiting(p)
	c.tryHandover(p.slot)
}

// callExpired handles the deadline of a call.
func (c *Core) callExpired(cl *call) {
	pr := problem(ProblemDeadline, 504, c.executedOf(cl), "the time of the call is over")
	switch cl.state {
	case stateClosed, stateCommit:
		return // answered, or the answer only waits to be durable
	case stateIntent:
		pr.Executed = record.ExecutedNo
		if c.logDown {
			pr = problem(ProblemLogDown, 503, record.ExecutedNo, "the log did not confirm the intent in time")
		}
		c.refuseIntent(cl, pr, time.Second)
	case stateWaiting:
		c.abandonAttempt(cl)
		if cl.nonIdempotent {
			pr.Executed = record.ExecutedNo
			c.refuseIntent(cl, pr, time.Second)
			return
		}
		c.failCall(cl, pr, time.Second)
	case stateRunning:
		c.runningExpired(cl, pr)
	case stateAsking:
		c.recordServiceOutcome(cl, outcome{executed: record.ExecutedUnknown, used: record.Spend{Calls: 1, ChargeCents: cl.charge}})
	default:
		c.failCall(cl, pr, time.Second)
	}
}

func (c *Core) runningExpired(cl *call, pr *Problem) {
	if !cl.nonIdempotent {
		c.abandonAttempt(cl)
		c.failCall(cl, pr, time.Second)
		return
	}
	a := cl.attempt
	c.emit(CancelAttempt{Attempt: a.id, Endpoint: a.endpoint})
	c.onFinished(timedOutFinish(a))
}

// onCallerGone removes a caller from its call. The call continues, so that a repeated key gets its answer.
func (c *Core) onCallerGone(e CallerGone) {
	cl := c.requests[e.Req]
	delete(c.requests, e.Req)
	if cl == nil {
		for _, o := range c.opening {
			o.waiters = without(o.waiters, e.Req)
		}
		return
	}
	for i, w := range cl.waiters {
		if w.req == e.Req {
			cl.waiters = append(cl.waiters[:i:i], cl.waiters[i+1:]...)
			return
		}
	}
}

func without(list []ReqID, r ReqID) []ReqID {
	out := list[:0:0]
	for _, x := range list {
		if x != r {
			out = append(out, x)
		}
	}
	return out
}
