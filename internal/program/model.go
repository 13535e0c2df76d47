package program

import (
	"time"

	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
)

func (c *Core) onProgress(e Progress) {
	a := c.attempts[e.Attempt]
	if a == nil || a.call == nil || a.call.model == nil || a.call.state != stateRunning {
		return
	}
	cl := a.call
	if !cl.stream.add(e.Offset, e.Data) {
		return
	}
	for _, w := range cl.waiters {
		c.flushTo(cl, w, false)
	}
	if a.finished != nil && cl.stream.size() >= a.finished.Length {
		c.modelFinished(a, *a.finished)
	}
}

// flushTo sends a caller the bytes of the stream that it lacks. The end marker waits until the turn is
// durable.
func (c *Core) flushTo(cl *call, w *waiter, whole bool) {
	if !w.stream {
		return
	}
	end := cl.stream.size()
	if !whole {
		end = cl.stream.beforeEnd()
	}
	if w.sent >= end {
		return
	}
	c.emit(StreamData{Req: w.req, Offset: w.sent, Data: cl.stream.data[w.sent:end:end]})
	w.sent = end
	w.begun = true
	cl.stream.shown = true
}

func (c *Core) modelFinished(a *attempt, e Finished) {
	cl := a.call
	switch {
	case e.Result == sched.ResultOK && e.Status < 400:
		c.modelAnswered(a, e)
	case e.Result == sched.ResultOK:
		c.closeAttempt(a, e.Result, e)
		c.wasteAttempt(cl, e)
		c.failCall(cl, problem(ProblemEndpointFailed, 502, c.executedOf(cl), "the engine refused the request"), 0)
	case !e.Sent || e.Result == sched.ResultRejected && cl.resumes == 0:
		c.closeAttempt(a, e.Result, e)
		c.retry(cl, a.endpoint, problem(ProblemEndpointFailed, 503, c.executedOf(cl), "the engines refused the call"))
	case e.Result == sched.ResultFailed && c.resume(a):
	default:
		c.modelBroken(a, e)
	}
}

// modelBroken gives up an attempt. Bytes that a caller has seen are never contradicted: the call runs
// again only if none were sent.
func (c *Core) modelBroken(a *attempt, e Finished) {
	cl := a.call
	c.closeAttempt(a, e.Result, e)
	c.wasteAttempt(cl, e)
	if cl.stream.shown {
		c.failCall(cl, problem(ProblemStreamLost, 502, record.ExecutedUnknown, "the stream broke and cannot be resumed; repeat the call from byte 0"), 0)
		return
	}
	cl.stream = streamBuffer{}
	cl.resumes = 0
	status := 502
	if e.Result == sched.ResultTimeout {
		status = 504
	}
	c.retry(cl, a.endpoint, problem(ProblemEndpointFailed, status, record.ExecutedUnknown, "the attempts at the engines failed"))
}

// wasteAttempt counts an attempt that left no turn: what the engine reported, or all that was
// reserved.
func (c *Core) wasteAttempt(cl *call, e Finished) {
	used := record.Spend{Tokens: e.PromptTokens + e.OutputTokens}
	if used.Tokens == 0 {
		used.Tokens = cl.reserved.Tokens
	}
	c.waste(cl.prog, used)
}

func (c *Core) modelAnswered(a *attempt, e Finished) {
	cl := a.call
	p := cl.prog
	if cl.model.Stream && cl.stream.size() < e.Length {
		if a.finished == nil {
			a.finished = &e
			c.at(c.now+gapWait, func() {
				if c.attempts[a.id] == a && a.call == cl && a.finished != nil && !c.resume(a) {
					c.modelBroken(a, Finished{Result: sched.ResultFailed})
				}
			})
		}
		return
	}
	if len(e.Answer) == 0 {
		e.Result = sched.ResultFailed
		c.modelBroken(a, e)
		return
	}
	c.closeAttempt(a, e.Result, e)
	used := record.Spend{Tokens: e.PromptTokens + e.OutputTokens, Calls: 1}
	if used.Tokens == 0 {
		used.Tokens = cl.reserved.Tokens
	}
	body := e.Body
	if cl.model.Stream {
		body = cl.stream.data
	}
	c.unreserve(cl)
	rec := record.Turn{
		Holder: c.holder(p.slot), Call: cl.id(), Key: cl.key, Digest: cl.digest, New: cl.added,
		Answer: record.Message{Raw: e.Answer}, Body: body, Stream: cl.model.Stream, Status: statusOr(e.Status, 200),
		Used: used, Mark: c.state(p).Mark, Endpoint: a.endpoint,
	}
	cl.state = stateCommit
	if !c.append(p, rec, c.once(func(r commitResult) { c.turnDone(cl, r, rec) })) {
		c.failCall(cl, problem(ProblemRecordRejected, 409, record.ExecutedUnknown, "the program changed while the call ran"), 0)
		return
	}
	c.decide(p, Decision{Call: cl.id(), Attempt: a.id, Endpoint: a.endpoint, What: "turn", Reason: "answered", Used: used})
}

// turnDone answers the callers once the turn is durable.
func (c *Core) turnDone(cl *call, r commitResult, rec record.Turn) {
	if cl.state == stateClosed {
		return
	}
	if r == rejected {
		c.failCall(cl, problem(ProblemOwnerChanged, 503, record.ExecutedUnknown, "the turn was not recorded; repeat the key"), RetryAfterSlot)
		return
	}
	for _, w := range cl.waiters {
		if w.stream {
			c.flushTo(cl, w, true)
			c.emit(StreamEnd{Req: w.req})
			continue
		}
		c.emit(Reply{Req: w.req, Status: rec.Status, Body: rec.Body, Call: rec.Call})
	}
	c.pauseBegins(cl)
	c.closeCall(cl)
}

// pauseBegins tells the dispatcher that the branch waits for a tool now.
func (c *Core) pauseBegins(cl *call) {
	p := cl.prog
	if c.state(p).Ended() {
		return
	}
	c.emit(ProgramPaused{Pool: cl.pool, Paused: sched.ProgramPaused{Program: p.id, Branch: cl.branch, Expected: p.pause}})
	if p.pausedAt == nil {
		p.pausedAt = map[string]time.Duration{}
	}
	p.pausedAt[cl.branch] = c.now
}

// pauseEnded learns the length of a tool pause as a moving average over about four pauses.
func (c *Core) pauseEnded(p *prog, branch string) {
	t, ok := p.pausedAt[branch]
	if !ok {
		return
	}
	delete(p.pausedAt, branch)
	if p.pause == 0 {
		p.pause = c.now - t
		return
	}
	p.pause += (c.now - t - p.pause) / 4
}
