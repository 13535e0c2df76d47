package whole

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/wire"
)

// request is one request of a caller at one front. It ends once.
type request struct {
	caller *caller
	call   *call // nil for open, branch, settle and end
	what   string
	event  func(program.ReqID) program.Request
	got    []byte
	done   func(*request, result)
	taken  bool // by a front
	ended  bool
}

// result is how a request ended for its caller.
type result struct {
	broken  bool // the connection broke
	problem *program.Problem
	body    []byte
}

func (r *request) end(w *world, res result) {
	if r.ended {
		w.fail("P5: request %s was answered twice", r.what)
	}
	r.ended = true
	r.done(r, res)
}

func (r *request) data(w *world, d program.StreamData) {
	if r.ended || d.Offset != int64(len(r.got)) {
		w.fail("P5: request %s (ended %v) got byte %d after %d", r.what, r.ended, d.Offset, len(r.got))
	}
	r.got = append(r.got, d.Data...)
}

// take is the front: it serves a request here or forwards it to the holder of the slot.
func (n *node) take(r *request, s id.Slot) {
	r.taken = true
	holder := n.fold.Slot(s).Holder
	switch {
	case n.version == 0 || holder == "":
		n.answer(r, result{broken: true})
	case holder == n.session:
		n.serveRequest(&sink{local: r}, r.event)
	default:
		number := n.w.exchangeID()
		n.exchange.forwards[number] = &forward{to: holder, req: r}
		m := n.frame(wire.Envelope{Exchange: number, Flags: wire.FlagRequest, Message: wire.NewForward(r.event(0))}).Message.(wire.Forward)
		lost := n.w.rng.Float64() < n.w.loss
		n.w.after(n.w.delay(), func() {
			owner := n.w.node(holder)
			if owner == nil || lost {
				n.w.to(n, 300*time.Millisecond, func() { n.breakForward(number) })
				return
			}
			n.w.to(owner, 0, func() {
				owner.serveRequest(&sink{from: n.session, exchange: number}, func(req program.ReqID) program.Request { return m.Request().WithReq(req) })
			})
		})
	}
}

func (n *node) answer(r *request, res result) { n.w.after(n.w.delay(), func() { r.end(n.w, res) }) }

func (n *node) serveRequest(s *sink, event func(program.ReqID) program.Request) {
	n.exchange.nextReq++
	n.exchange.sinks[n.exchange.nextReq] = s
	n.step(event(n.exchange.nextReq))
}

func (n *node) breakForward(number uint64) {
	if f := n.exchange.forwards[number]; f != nil {
		delete(n.exchange.forwards, number)
		if f.answered && !n.dead {
			n.w.fail("P9: the answer to request %s, sent by %s before it stopped, did not arrive", f.req.what, f.to)
		}
		f.req.end(n.w, result{broken: true})
	}
}

// lostPeer breaks the exchanges with a peer that died.
func (n *node) lostPeer(s id.Session) {
	for _, number := range sortedKeys(n.exchange.forwards) {
		if n.exchange.forwards[number].to == s {
			n.breakForward(number)
		}
	}
}

// cut breaks the connections of the callers of this front, which has died.
func (n *node) cut() {
	for _, number := range sortedKeys(n.exchange.forwards) {
		n.breakForward(number)
	}
	for _, req := range sortedKeys(n.exchange.sinks) {
		if r := n.exchange.sinks[req].local; r != nil {
			r.end(n.w, result{broken: true})
		}
	}
	n.exchange.sinks = nil
	for _, r := range n.unserved {
		if !r.taken {
			r.end(n.w, result{broken: true})
		}
	}
}

// chunk passes a part of an answer on, in order. last ends the request.
func (n *node) chunk(req program.ReqID, c wire.Chunk, last bool) {
	s := n.exchange.sinks[req]
	if s == nil {
		n.w.fail("P5: answer for request %d, which is not open at %s", req, n.session)
	}
	if last {
		delete(n.exchange.sinks, req)
	}
	if s.local != nil {
		s.local.chunk(n.w, c)
		return
	}
	front := n.w.node(s.from)
	if front == nil || n.exchange.broken[s.exchange] {
		return
	}
	c = n.frame(wire.Envelope{Exchange: s.exchange, Flags: wire.FlagReply, Message: c}).Message.(wire.Chunk)
	if n.w.rng.Float64() < n.w.loss/4 { // the connection breaks
		n.exchange.broken[s.exchange] = true
		n.w.to(front, 300*time.Millisecond, func() { front.breakForward(s.exchange) })
		return
	}
	at := max(n.w.now+n.w.delay(), n.exchange.lastSent[s.exchange])
	n.exchange.lastSent[s.exchange] = at
	if f := front.exchange.forwards[s.exchange]; f != nil && last {
		f.answered = true
	}
	n.w.to(front, at-n.w.now, func() {
		f := front.exchange.forwards[s.exchange]
		if f == nil {
			return
		}
		if last {
			delete(front.exchange.forwards, s.exchange)
		}
		f.req.chunk(n.w, c)
	})
}

func (r *request) chunk(w *world, c wire.Chunk) {
	switch {
	case c.Data != nil:
		r.data(w, *c.Data)
	case c.End != nil:
		r.end(w, result{problem: c.End.Problem, body: r.got})
	default:
		r.end(w, result{problem: c.Reply.Problem, body: c.Reply.Body})
	}
}

// act carries out an action of the owner core.
func (n *node) act(a program.Action) {
	w := n.w
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
				n.call(to, m, func(wire.Message) {})
			}
		}
	case program.FetchCopies:
		n.exchange.fetches = append(n.exchange.fetches, &fetch{slot: a.Slot, epoch: a.Epoch, answered: map[id.Session]bool{}})
	case program.Submit:
		n.submit(a)
	case program.Withdraw:
		n.withdraw(a)
	case program.ReportDone:
		n.reportDone(a)
	case program.DispatchModel:
		if !a.Resume {
			w.oracle.dispatched(n, a.Endpoint, string(a.Attempt))
		}
		w.after(w.delay(), func() { w.engines[a.Endpoint].take(n, a) })
	case program.DispatchService:
		if !a.Idempotent && n.now() >= a.NotAfter {
			w.to(n, 0, func() { n.step(program.Finished{Attempt: a.Attempt, Result: sched.ResultCanceled}) })
			return
		}
		w.oracle.dispatched(n, a.Endpoint, string(a.Attempt))
		w.after(w.delay(), func() { w.services[a.Endpoint].take(n, a) })
	case program.CancelAttempt:
		if e := w.engines[a.Endpoint]; e != nil {
			w.after(w.delay(), func() {
				if r := e.runs[a.Attempt]; r != nil {
					r.cancelled = true
				}
			})
		}
	case program.AskOutcome:
		w.after(w.delay(), func() { w.askServices(n, a) })
	case program.ReleaseCache:
		n.release(a.Endpoint, a.Program)
	case program.ProgramPaused:
		n.toDispatcher(n.members.Dispatcher(n.now(), a.Pool), wire.ProgramPaused{Pool: a.Pool, Paused: a.Paused})
	case program.NotifyEnded:
		for _, pool := range a.Pools {
			n.toDispatcher(n.members.Dispatcher(n.now(), pool), wire.ProgramEnded{Pool: pool, Ended: sched.ProgramEnded{Program: a.Program}})
		}
	case program.Reply:
		n.chunk(a.Req, wire.Chunk{Reply: &a}, true)
	case program.StreamData:
		n.chunk(a.Req, wire.Chunk{Data: &a}, false)
	case program.StreamEnd:
		n.chunk(a.Req, wire.Chunk{End: &a}, true)
	}
}

// release asks an engine to drop a program's cache. The order or its answer may be lost.
func (n *node) release(endpoint string, pid id.Program) {
	w := n.w
	e := w.engines[endpoint]
	if e == nil || w.rng.Float64() < w.loss {
		return
	}
	w.after(w.delay(), func() {
		delete(e.cache, pid)
		if w.rng.Float64() >= w.loss {
			w.to(n, w.delay(), func() { n.step(program.CacheReleased{Program: pid, Endpoint: endpoint}) })
		}
	})
}
