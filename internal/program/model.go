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
		c.sendStream(cl, w, false)
	}
	if a.finished != nil && cl.stream.size() >= a.finished.Length {
		c.modelFinished(a, *a.finished)
	}
}

// sendStream sends a caller the bytes of the stream that it does not have yet. The end marker is sent only
// if durable is set, which means that the turn is recorded.
func (c *Core) sendStream(cl *call, w *waiter, durable bool) {
	if !w.stream {
		return
	}
	end := cl.stream.size()
	if !durable {
		end = cl.stream.sizeBeforeEnd()
	}
	if w.sent >= end {
		return
	}
	c.emit(StreamData{Req: w.req, Offset: w.sent, Data: cl.stream.data[w.sent:end:end]})
	w.sent = end
	w.begun = true
	cl.stream.delivered = true
}

func (c *Core) modelFinished(a *attempt, e Finished) {
	cl := a.call
	switch {
	case e.Result == sched.ResultOK && e.Status < 400:
		c.modelAnswered(a, e)
	case e.Result == sched.ResultOK:
		c.closeAttempt(a, e.Result, e)
		c.recordAttemptSpend(cl, e)
		c.failCall(cl, problem(ProblemEndpointFailed, 502, c.executedOf(cl), "the engine refused the request"), 0)
	case !e.Sent || e.Result == sched.ResultRejected && cl.resumes == 0:
		c.closeAttempt(a, e.Result, e)
		c.retry(cl, a.endpoint, problem(ProblemEndpointFailed, 503, c.executedOf(cl), "the engines refused the call"))
	case e.Result == sched.ResultFailed && c.resume(a):
	default:
		c.modelFailed(a, e)
	}
}

// modelFailed closes a failed attempt. The call is retried only if no bytes of its stream were sent to a
// caller, because another run would produce a different stream.
func (c *Core) modelFailed(a *attempt, e Finished) {
	cl := a.call
	c.closeAttempt(a, e.Result, e)
	c.recordAttemptSpend(cl, e)
	if cl.stream.delivered {
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

// recordAttemptSpend records the tokens of an attempt without a turn: those that the engine reported, or
// else all that were reserved.
func (c *Core) recordAttemptSpend(cl *call, e Finished) {
	used := record.Spend{Tokens: e.PromptTokens + e.OutputTokens}
	if used.Tokens == 0 {
		used.Tokens = cl.reserved.Tokens
	}
	c.recordSpend(cl.prog, used)
}

func (c *Core) modelAnswered(a *attempt, e Finished) {
	cl := a.call
	p := cl.prog
	if cl.model.Stream && cl.stream.size() < e.Length {
		if a.finished == nil {
			a.finished = &e
			c.at(c.now+missingBytesWait, func() {
				if c.attempts[a.id] == a && a.call == cl && a.finished != nil && !c.resume(a) {
					c.modelFailed(a, Finished{Result: sched.ResultFailed})
				}
			})
		}
		return
	}
	if len(e.Answer) == 0 {
		e.Result = sched.ResultFailed
		c.modelFailed(a, e)
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
		Used: used, HighWater: c.state(p).HighWater, Endpoint: a.endpoint,
	}
	cl.state = stateCommit
	if !c.append(p, rec, c.once(func(r commitResult) { c.onTurnDurable(cl, r, rec) })) {
		c.failCall(cl, problem(ProblemRecordRejected, 409, record.ExecutedUnknown, "the program changed while the call ran"), 0)
		return
	}
	c.recordDecision(p, Decision{Call: cl.id(), Attempt: a.id, Endpoint: a.endpoint, What: "turn", Reason: "answered", Used: used})
}

// onTurnDurable answers the callers after the record of the turn is durable, or was rejected.
func (c *Core) onTurnDurable(cl *call, r commitResult, rec record.Turn) {
	if cl.state == stateClosed {
		return
	}
	if r == rejected {
		c.failCall(cl, problem(ProblemOwnerChanged, 503, record.ExecutedUnknown, "the turn was not recorded; repeat the key"), RetryAfterSlot)
		return
	}
	for _, w := range cl.waiters {
		if w.stream {
			c.sendStream(cl, w, true)
			c.emit(StreamEnd{Req: w.req})
			continue
		}
		c.emit(Reply{Req: w.req, Status: rec.Status, Body: rec.Body, Call: rec.Call})
	}
	c.startToolPause(cl)
	c.closeCall(cl)
}

// startToolPause informs the dispatcher that the branch is expected to run a tool before its next call.
func (c *Core) startToolPause(cl *call) {
	p := cl.prog
	if c.state(p).Ended() {
		return
	}
	c.emit(ProgramPaused{Pool: cl.pool, Paused: sched.ProgramPaused{Program: p.id, Branch: cl.branch, Expected: p.toolPause}})
	if p.pausedAt == nil {
		p.pausedAt = map[string]time.Duration{}
	}
	p.pausedAt[cl.branch] = c.now
}

// endToolPause updates the expected tool pause: a moving average in which the latest pause has weight 1/4.
func (c *Core) endToolPause(p *prog, branch string) {
	t, ok := p.pausedAt[branch]
	if !ok {
		return
	}
	delete(p.pausedAt, branch)
	if p.toolPause == 0 {
		p.toolPause = c.now - t
		return
	}
	p.toolPause += (c.now - t - p.toolPause) / 4
}
