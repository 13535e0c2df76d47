package server

import (
	"ragwortstile/internal/program"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/telemetry"
)

// act executes one action of the owner core.
func (c *core) act(a program.Action) {
	switch a := a.(type) {
	case program.Append:
		c.append(a.Records)
	case program.PutCopies:
		c.putCopies(a)
	case program.DropCopies:
		c.dropCopies(a)
	case program.FetchCopies:
		c.fetchCopies(a)
	case program.Submit:
		c.submit(a.Pool, a.Request)
	case program.Withdraw:
		c.withdraw(a.Attempt)
	case program.ReportDone:
		c.reportDone(a.Pool, a.Done)
	case program.DispatchModel:
		c.inst.endpoints.dispatchModel(a)
	case program.DispatchService:
		c.inst.endpoints.dispatchService(a)
	case program.CancelAttempt:
		c.inst.endpoints.cancelAttempt(a)
	case program.AskOutcome:
		c.inst.endpoints.askOutcome(a)
	case program.ReleaseCache:
		c.inst.endpoints.releaseCache(a.Endpoint, a.Program, "")
	case program.ProgramPaused:
		c.toDispatcher(c.dispatcherOf(a.Pool), a.Pool, a.Paused)
	case program.NotifyEnded:
		for _, pool := range a.Pools {
			c.toDispatcher(c.dispatcherOf(pool), pool, sched.ProgramEnded{Program: a.Program})
		}
	case program.Reply:
		c.reply(a)
	case program.StreamData:
		if r := c.requests[a.Req]; r != nil {
			r.sink.StreamData(a)
		}
	case program.StreamEnd:
		c.inst.observer.countRefusal(a.Problem)
		if r := c.removeRequest(a.Req); r != nil {
			r.sink.StreamEnd(a)
		}
	case program.HandoverReady:
		c.handoverDone(a.Slot)
	case program.Log:
		c.logDecision(a.Decision)
	}
}

// removeRequest removes a request that gets its last answer and returns it, or nil if it is gone.
func (c *core) removeRequest(req program.ReqID) *request {
	r := c.requests[req]
	if r == nil {
		return nil
	}
	delete(c.requests, req)
	r.cancel()
	return r
}

// reply answers a request. A refusal because the slot is changing its holder is not shown to the
// caller: the request waits for the new holder.
func (c *core) reply(a program.Reply) {
	r := c.requests[a.Req]
	if r == nil {
		return
	}
	if a.Problem != nil && isSlotUnavailable(a.Problem.Type) {
		delete(c.requests, a.Req)
		r.reqID = 0
		c.events.deferTask(func() { c.routeLater(r) })
		return
	}
	c.inst.observer.countRefusal(a.Problem)
	c.removeRequest(a.Req)
	r.sink.Reply(a)
}

// routeLater parks a request until the next tick. A request that another instance forwarded is sent
// back to it instead.
func (c *core) routeLater(r *request) {
	if r.remote {
		r.sink.(*remoteSink).notHolder(c.holder(r.slot))
		return
	}
	c.park(r)
}

func isSlotUnavailable(problem string) bool {
	return problem == program.ProblemNotHolder || problem == program.ProblemSlotNotReady || problem == program.ProblemSlotMoving
}

func (c *core) logDecision(d program.Decision) {
	c.inst.observer.observeDecision(d)
	c.inst.log.Debug(telemetry.Event(d.What), telemetry.Program(d.Call.Program), telemetry.Call(d.Call), telemetry.Epoch(d.Epoch),
		telemetry.Endpoint(d.Endpoint), telemetry.Reason(d.Reason))
}
