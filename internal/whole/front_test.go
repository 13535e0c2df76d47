package whole

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/wire"
)

// request is one request of a caller at one front, which is the instance that the caller connected to. It ends
// exactly once.
type request struct {
	caller   *caller
	call     *call // nil for requests that open, branch, settle or end
	what     string
	event    func(program.ReqID) program.Request
	received []byte
	done     func(*request, requestResult)
	accepted bool // the front has begun to serve it
	ended    bool
}

// requestResult is how a request ended for its caller.
type requestResult struct {
	broken  bool // the connection broke, or the front knew no owner
	problem *program.Problem
	body    []byte
}

func (r *request) end(sim *simulation, res requestResult) {
	if r.ended {
		sim.fail("P5: request %s was answered twice", r.what)
	}
	r.ended = true
	r.done(r, res)
}

func (r *request) appendData(sim *simulation, d program.StreamData) {
	if r.ended || d.Offset != int64(len(r.received)) {
		sim.fail("P5: request %s (ended %v) got byte %d after %d", r.what, r.ended, d.Offset, len(r.received))
	}
	r.received = append(r.received, d.Data...)
}

// accept handles a request as the front: it serves the request if this node holds the slot and forwards it to the
// holder otherwise.
func (n *node) accept(r *request, s id.Slot) {
	r.accepted = true
	holder := n.programs.Slot(s).Holder
	switch {
	case n.manifestVersion == 0 || holder == "":
		n.answer(r, requestResult{broken: true})
	case holder == n.session:
		n.serveRequest(&replyTarget{request: r}, r.event)
	default:
		number := n.sim.exchangeID()
		n.exchange.forwards[number] = &forward{to: holder, req: r}
		m := n.encodeDecode(wire.Envelope{Exchange: number, Flags: wire.FlagRequest,
			Message: wire.NewForward(r.event(0))}).Message.(wire.Forward)
		lost := n.sim.rng.Float64() < n.sim.loss
		n.sim.after(n.sim.delay(), func() {
			owner := n.sim.node(holder)
			if owner == nil || lost {
				n.sim.deliver(n, 300*time.Millisecond, func() { n.breakForward(number) })
				return
			}
			n.sim.deliver(owner, 0, func() {
				owner.serveRequest(&replyTarget{from: n.session, exchange: number}, func(req program.ReqID) program.Request {
					return m.Request().WithReq(req)
				})
			})
		})
	}
}

func (n *node) answer(r *request, res requestResult) {
	n.sim.after(n.sim.delay(), func() { r.end(n.sim, res) })
}

func (n *node) serveRequest(s *replyTarget, event func(program.ReqID) program.Request) {
	n.exchange.nextReq++
	n.exchange.replyTargets[n.exchange.nextReq] = s
	n.step(event(n.exchange.nextReq))
}

func (n *node) breakForward(number uint64) {
	if f := n.exchange.forwards[number]; f != nil {
		delete(n.exchange.forwards, number)
		if f.answered && !n.dead {
			n.sim.fail("P9: the answer to request %s, sent by %s before it stopped, did not arrive", f.req.what, f.to)
		}
		f.req.end(n.sim, requestResult{broken: true})
	}
}

// peerDied ends the requests that were forwarded to a peer that has died.
func (n *node) peerDied(s id.Session) {
	for _, number := range sortedKeys(n.exchange.forwards) {
		if n.exchange.forwards[number].to == s {
			n.breakForward(number)
		}
	}
}

// breakAllConnections ends the requests of all callers of this front, which has died.
func (n *node) breakAllConnections() {
	for _, number := range sortedKeys(n.exchange.forwards) {
		n.breakForward(number)
	}
	for _, req := range sortedKeys(n.exchange.replyTargets) {
		if r := n.exchange.replyTargets[req].request; r != nil {
			r.end(n.sim, requestResult{broken: true})
		}
	}
	n.exchange.replyTargets = nil
	for _, r := range n.receivedWhilePaused {
		if !r.accepted {
			r.end(n.sim, requestResult{broken: true})
		}
	}
}

// sendChunk sends a part of an answer from the owner to the caller, through the front if that is another instance.
// Chunks arrive in order; last ends the request.
func (n *node) sendChunk(req program.ReqID, c wire.Chunk, last bool) {
	s := n.exchange.replyTargets[req]
	if s == nil {
		n.sim.fail("P5: answer for request %d, which is not open at %s", req, n.session)
	}
	if last {
		delete(n.exchange.replyTargets, req)
	}
	if s.request != nil {
		s.request.handleChunk(n.sim, c)
		return
	}
	front := n.sim.node(s.from)
	if front == nil || n.exchange.broken[s.exchange] {
		return
	}
	c = n.encodeDecode(wire.Envelope{Exchange: s.exchange, Flags: wire.FlagReply, Message: c}).Message.(wire.Chunk)
	if n.sim.rng.Float64() < n.sim.loss/4 { // the connection between owner and front breaks
		n.exchange.broken[s.exchange] = true
		n.sim.deliver(front, 300*time.Millisecond, func() { front.breakForward(s.exchange) })
		return
	}
	at := max(n.sim.now+n.sim.delay(), n.exchange.lastArrival[s.exchange])
	n.exchange.lastArrival[s.exchange] = at
	if f := front.exchange.forwards[s.exchange]; f != nil && last {
		f.answered = true
	}
	n.sim.deliver(front, at-n.sim.now, func() {
		f := front.exchange.forwards[s.exchange]
		if f == nil {
			return
		}
		if last {
			delete(front.exchange.forwards, s.exchange)
		}
		f.req.handleChunk(n.sim, c)
	})
}

func (r *request) handleChunk(sim *simulation, c wire.Chunk) {
	switch {
	case c.Data != nil:
		r.appendData(sim, *c.Data)
	case c.End != nil:
		r.end(sim, requestResult{problem: c.End.Problem, body: r.received})
	default:
		r.end(sim, requestResult{problem: c.Reply.Problem, body: c.Reply.Body})
	}
}

// runAction carries out an action of the owner core.
func (n *node) runAction(a program.Action) {
	sim := n.sim
	switch a := a.(type) {
	case program.Append:
		n.append(streamProgram, a.Records...)
	case program.PutCopies:
		n.putCopies(a)
	case program.DropCopies:
		m := wire.CopyDrop{Slot: a.Slot, Session: n.session, Refs: a.Refs, Below: a.Below}
		n.dropCopies(m)
		for _, to := range n.members.Live(n.now()) {
			if to != n.session {
				n.request(to, m, func(wire.Message) {})
			}
		}
	case program.FetchCopies:
		n.exchange.copyFetches = append(n.exchange.copyFetches, &copyFetch{slot: a.Slot, epoch: a.Epoch,
			answered: map[id.Session]bool{}})
	case program.Submit:
		n.submit(a)
	case program.Withdraw:
		n.withdraw(a)
	case program.ReportDone:
		n.reportDone(a)
	case program.DispatchModel:
		if !a.Resume {
			sim.oracle.dispatched(n, a.Endpoint, string(a.Attempt))
		}
		sim.after(sim.delay(), func() { sim.engines[a.Endpoint].accept(n, a) })
	case program.DispatchService:
		if !a.Idempotent && n.now() >= a.NotAfter {
			sim.deliver(n, 0, func() { n.step(program.Finished{Attempt: a.Attempt, Result: sched.ResultCanceled}) })
			return
		}
		sim.oracle.dispatched(n, a.Endpoint, string(a.Attempt))
		sim.after(sim.delay(), func() { sim.services[a.Endpoint].accept(n, a) })
	case program.CancelAttempt:
		if e := sim.engines[a.Endpoint]; e != nil {
			sim.after(sim.delay(), func() {
				if r := e.runs[a.Attempt]; r != nil {
					r.canceled = true
				}
			})
		}
	case program.AskOutcome:
		sim.after(sim.delay(), func() { sim.askServices(n, a) })
	case program.ReleaseCache:
		n.releaseCache(a.Endpoint, a.Program)
	case program.ProgramPaused:
		n.toDispatcher(n.members.Dispatcher(n.now(), a.Pool), wire.ProgramPaused{Pool: a.Pool, Paused: a.Paused})
	case program.NotifyEnded:
		for _, pool := range a.Pools {
			n.toDispatcher(n.members.Dispatcher(n.now(), pool), wire.ProgramEnded{Pool: pool,
				Ended: sched.ProgramEnded{Program: a.Program}})
		}
	case program.Reply:
		n.sendChunk(a.Req, wire.Chunk{Reply: &a}, true)
	case program.StreamData:
		n.sendChunk(a.Req, wire.Chunk{Data: &a}, false)
	case program.StreamEnd:
		n.sendChunk(a.Req, wire.Chunk{End: &a}, true)
	}
}

// releaseCache asks an engine to drop a program's cache. The request or its answer may be lost.
func (n *node) releaseCache(endpoint string, pid id.Program) {
	sim := n.sim
	e := sim.engines[endpoint]
	if e == nil || sim.rng.Float64() < sim.loss {
		return
	}
	sim.after(sim.delay(), func() {
		delete(e.cache, pid)
		if sim.rng.Float64() >= sim.loss {
			sim.deliver(n, sim.delay(), func() { n.step(program.CacheReleased{Program: pid, Endpoint: endpoint}) })
		}
	})
}
