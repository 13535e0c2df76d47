package server

import (
	"context"
	"errors"
	"net/http"
	"time"

	"ragwortstile/internal/api"
	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
	"ragwortstile/internal/wire"
)

const (
	// parkTime is how long a request waits for its slot to get a holder. It exceeds the time of a
	// takeover after an instance's death, so that most callers see a delay instead of a refusal.
	parkTime = 12 * time.Second
	// openParkTime is the same for requests that open a program.
	openParkTime = 5 * time.Second
	// maxHops bounds how often a request is forwarded because its slot has changed its holder.
	maxHops = 4
	// retryAfterTakeover is the Retry-After value of a refusal because the owner is missing or lost.
	retryAfterTakeover = 2 * time.Second
)

// request is one request of a caller, queued for or being handled by the owner of its program.
type request struct {
	ev        program.Request
	prog      id.Program
	slot      id.Slot
	key       string
	sink      api.Sink
	arrived   time.Duration
	hops      int
	wasParked bool // it has been parked at least once
	remote    bool // it was forwarded by another instance and must not be forwarded again
	reqID     program.ReqID
	ctx       context.Context // canceled when the caller is gone or the request is answered
	cancel    context.CancelFunc
}

// Submit implements api.Backend.
func (i *Instance) Submit(ev program.Request, sink api.Sink) func() {
	r := i.newRequest(ev, sink)
	if r == nil {
		refuseRequest(sink, program.Problem{Type: "unknown_program", Status: http.StatusNotFound,
			Detail: "no such program", Executed: record.ExecutedNo}, 0)
		return func() {}
	}
	if !i.core.events.post(func() { i.core.route(r) }) {
		refuseRequest(sink, program.Problem{Type: "stopping", Status: http.StatusServiceUnavailable,
			Detail: "the instance has stopped", Executed: record.ExecutedNo}, time.Second)
		return func() {}
	}
	return func() {
		r.cancel()
		i.core.events.post(func() { i.core.callerGone(r) })
	}
}

func (i *Instance) newRequest(ev program.Request, sink api.Sink) *request {
	prog, key := ev.Target()
	slot, err := prog.Slot()
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(i.ctx)
	return &request{ev: ev, prog: prog, slot: slot, key: key, sink: sink, arrived: i.now(), ctx: ctx, cancel: cancel}
}

func refuseRequest(sink api.Sink, p program.Problem, retryAfter time.Duration) {
	sink.Reply(program.Reply{Status: p.Status, Problem: &p, RetryAfter: retryAfter})
}

// route passes a request to the owner of its slot, here or at another instance, or parks it while the
// slot has no live holder. A forwarded request whose slot is held elsewhere is sent back.
func (c *core) route(r *request) {
	if r.ctx.Err() != nil {
		return
	}
	switch holder := c.holder(r.slot); {
	case holder == c.inst.session:
		c.passToOwner(r)
	case r.remote:
		r.sink.(*remoteSink).notHolder(holder)
	case holder == "" || !c.reachable(holder):
		c.park(r)
	case r.hops >= maxHops:
		c.refuseParked(r)
	default:
		r.hops++
		c.inst.metrics.forwarded.Inc()
		go c.inst.forward(r, holder)
	}
}

func (c *core) passToOwner(r *request) {
	c.lastReq++
	r.reqID = c.lastReq
	c.requests[r.reqID] = r
	c.step(r.ev.WithReq(r.reqID))
}

// routeParked routes the parked requests again and refuses those that have waited too long.
func (c *core) routeParked() {
	waiting := c.parked
	c.parked = nil
	now := c.inst.now()
	for _, r := range waiting {
		limit := parkTime
		if _, opens := r.ev.(program.OpenProgram); opens {
			limit = openParkTime
		}
		if now-r.arrived > limit {
			c.refuseParked(r)
			continue
		}
		c.route(r)
	}
}

// refuseParked refuses a request whose slot has no reachable holder. The request itself was not
// executed, but a key that the caller chose may belong to a call that the previous holder had in
// progress; its outcome is then unknown.
func (c *core) refuseParked(r *request) {
	executed := record.ExecutedNo
	if r.key != "" && !generatedKey(r.key) {
		if _, opens := r.ev.(program.OpenProgram); !opens {
			executed = record.ExecutedUnknown
		}
	}
	r.cancel()
	c.inst.observer.metrics.Refused("no_owner")
	refuseRequest(r.sink, program.Problem{Type: "no_owner", Status: http.StatusServiceUnavailable,
		Detail: "the program's slot has no live owner yet; repeat the request with the same key", Executed: executed},
		retryAfterTakeover)
}

func generatedKey(key string) bool { return len(key) > 5 && key[:5] == "auto-" }

// callerGone tells the owner here that the caller has disconnected. A forwarded request ends with its
// exchange between the instances.
func (c *core) callerGone(r *request) {
	if r.reqID == 0 {
		return
	}
	if _, ok := c.requests[r.reqID]; ok {
		delete(c.requests, r.reqID)
		c.step(program.CallerGone{Req: r.reqID})
	}
}

// forward sends a request to the instance that holds its slot and relays the answer to the caller.
func (i *Instance) forward(r *request, holder id.Session) {
	x, err := i.node.OpenExchange(r.ctx, holder, wire.NewForward(r.ev))
	if err != nil {
		// The request was not sent.
		i.core.events.post(func() { i.core.park(r) })
		return
	}
	defer x.Close()
	started := false
	for {
		m, err := x.Recv(r.ctx)
		if err != nil {
			i.forwardFailed(r, err, started)
			return
		}
		chunk, ok := m.(wire.Chunk)
		if !ok {
			i.forwardFailed(r, errUnexpectedReply, started)
			return
		}
		switch {
		case chunk.Data != nil:
			started = true
			r.sink.StreamData(*chunk.Data)
		case chunk.Reply != nil:
			r.cancel()
			r.sink.Reply(*chunk.Reply)
			return
		case chunk.End != nil:
			r.cancel()
			r.sink.StreamEnd(*chunk.End)
			return
		}
	}
}

var errUnexpectedReply = errors.New("peer sent a reply of an unexpected kind")

// forwardFailed ends a request whose forwarding failed, or parks it for another try if the first
// owner did not accept it. If the owner was lost after it may have accepted the request, the outcome
// is unknown.
func (i *Instance) forwardFailed(r *request, err error, started bool) {
	if r.ctx.Err() != nil {
		r.cancel()
		return
	}
	var refused wire.Error
	if errors.As(err, &refused) && !started && notAccepted(refused.Code) {
		i.core.events.post(func() { i.core.park(r) })
		return
	}
	// A read changes no state and can be repeated at the next holder.
	if _, read := r.ev.(program.ReadProgram); read && !started {
		i.core.events.post(func() { i.core.park(r) })
		return
	}
	r.cancel()
	i.observer.metrics.Refused("owner_lost")
	p := program.Problem{Type: "owner_lost", Status: http.StatusServiceUnavailable,
		Detail:   "the connection to the program's owner broke; repeat the request with the same key",
		Executed: record.ExecutedUnknown}
	if started {
		r.sink.StreamEnd(program.StreamEnd{Problem: &p})
		return
	}
	refuseRequest(r.sink, p, retryAfterTakeover)
}

// notAccepted reports whether an error code means that the owner did nothing with the request.
func notAccepted(code wire.ErrorCode) bool {
	return code == wire.CodeNotHolder || code == wire.CodeWrongSession || code == wire.CodeBusy || code == wire.CodeDraining
}

// park queues a request, which is routed again at the next tick.
func (c *core) park(r *request) {
	if !r.wasParked {
		r.wasParked = true
		c.inst.metrics.parked.Inc()
	}
	c.parked = append(c.parked, r)
}

// remoteSink is the sink of a request that another instance forwarded.
type remoteSink struct {
	*chunkSink
	refused chan id.Session // receives the slot's holder if it is another instance
}

func (s *remoteSink) notHolder(holder id.Session) { s.refused <- holder }
