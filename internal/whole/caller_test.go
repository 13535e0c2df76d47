package whole

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
)

// call is one model or service call of a caller's program. Repeats of it carry the same key.
type call struct {
	caller          *caller
	branch          string
	kind            string // model, stream, or a service operation: charge, reserve, look
	key             string
	pauseAfter      time.Duration // time that the caller's tool runs between this call and the next
	refusedAsNotRun bool          // the last reply said that the call was not executed
	mayBeInFlight   bool          // the connection of a request broke, so the request may still arrive at an owner
	unanswered      int           // requests that have not ended yet
}

// callID identifies a call by the data that an endpoint receives.
type callID struct {
	program id.Program
	key     string
}

// callerBranch is the caller's side of one branch of a program. It makes its calls one at a time.
type callerBranch struct {
	name           string
	calls          []*call
	opened         bool
	messages       [][]byte      // history as the caller knows it: its own messages and the answers it received
	waiting        bool          // a request has not ended yet
	nextAt         time.Duration // earliest time of the next request
	requests       int           // finished requests for the current call
	outcomeUnknown bool          // the caller must settle the current call before it repeats it
}

// caller is the client of one program. It repeats each call under the same key, at a random instance, until it
// has the answer or the program takes no more calls.
type caller struct {
	sim            *simulation
	pid            id.Program
	limits         record.Limits
	opened         bool
	opening        bool
	branches       []*callerBranch
	nextAt         time.Duration // earliest time of the next step
	ending         bool
	ended          bool
	programStopped bool // the program takes no more calls: its budget or wall time is used up, or it has ended
	requests       int
}

func (c *caller) slot() id.Slot {
	s, err := c.pid.Slot()
	if err != nil {
		c.sim.fail("%v", err)
	}
	return s
}

func (c *caller) send(r *request) {
	sim := c.sim
	c.requests++
	r.caller = c
	if len(sim.nodes) == 0 {
		sim.after(time.Second, func() { r.end(sim, requestResult{broken: true}) })
		return
	}
	n := sim.nodes[sim.rng.IntN(len(sim.nodes))]
	if r.call != nil {
		r.call.unanswered++
	}
	sim.after(sim.delay(), func() {
		switch {
		case n.dead:
			r.end(sim, requestResult{broken: true})
		case n.paused:
			n.receivedWhilePaused = append(n.receivedWhilePaused, r)
			n.inbox = append(n.inbox, func() { n.accept(r, c.slot()) })
		default:
			n.accept(r, c.slot())
		}
	})
}

func (c *caller) tick() {
	sim := c.sim
	switch {
	case c.ended || sim.now < c.nextAt:
	case !c.opened:
		c.open()
	default:
		busy, unfinished := false, false
		for _, l := range c.branches {
			busy = busy || l.waiting
			if c.programStopped || len(l.calls) == 0 {
				continue
			}
			unfinished = true
			if !l.waiting && sim.now >= l.nextAt {
				c.advance(l)
			}
		}
		if !unfinished && !busy && !c.ending {
			c.end()
		}
	}
}

func (c *caller) open() {
	if c.opening {
		return
	}
	c.opening = true
	c.send(&request{what: "open " + string(c.pid), event: func(req program.ReqID) program.Request {
		return program.OpenProgram{Req: req, Program: c.pid, Team: "t", Duty: "d", Limits: c.limits,
			Now: c.sim.wallTime(), Key: "open " + string(c.pid)}
	}, done: func(_ *request, res requestResult) {
		c.opening = false
		c.nextAt = c.sim.now + 300*time.Millisecond
		c.opened = !res.broken && res.problem == nil
		if p := res.problem; p != nil && p.Type == program.ProblemRecordRejected && p.Status == http.StatusConflict {
			c.opened = true // an earlier request opened it
		}
	}})
}

func (c *caller) end() {
	c.ending = true
	c.send(&request{what: "end " + string(c.pid), event: func(req program.ReqID) program.Request {
		return program.EndProgram{Req: req, Team: "t", Program: c.pid}
	}, done: func(_ *request, res requestResult) {
		c.ending = false
		c.nextAt = c.sim.now + 300*time.Millisecond
		p := res.problem
		c.ended = !res.broken && (p == nil || p.Type == program.ProblemNotFound)
	}})
}

// advance sends the next request of a branch: open it, settle its current call, or make that call.
func (c *caller) advance(l *callerBranch) {
	l.waiting = true
	if !l.opened {
		c.send(&request{what: "branch " + l.name, event: func(req program.ReqID) program.Request {
			return program.OpenBranch{Req: req, Team: "t", Program: c.pid, Name: l.name,
				Parent: id.MainBranch, Key: "branch " + l.name}
		}, done: func(_ *request, res requestResult) {
			c.sim.tracef("%s branch %s: broken %v, %+v", c.pid, l.name, res.broken, res.problem)
			l.waiting = false
			l.nextAt = c.sim.now + 300*time.Millisecond
			l.opened = !res.broken && (res.problem == nil ||
				res.problem.Type == program.ProblemRecordRejected && res.problem.Status == http.StatusConflict)
			c.checkStopped(res.problem)
		}})
		return
	}
	k := l.calls[0]
	if l.outcomeUnknown {
		c.settle(l, k)
		return
	}
	c.send(&request{call: k, what: k.key, event: k.event, done: func(r *request, res requestResult) {
		c.done(l, k, r, res)
	}})
}

func (k *call) event(req program.ReqID) program.Request {
	c := k.caller
	if k.kind == "model" || k.kind == "stream" {
		return program.ModelCall{Req: req, Team: "t", Program: c.pid, Branch: k.branch, Key: k.key, Digest: 7, Model: "m",
			Messages: []record.Message{{Raw: k.userMessage()}}, History: program.HistoryAppend, MaxTokens: 20,
			Stream: k.kind == "stream"}
	}
	return program.ServiceCall{Req: req, Team: "t", Program: c.pid, Branch: k.branch, Key: k.key, Digest: 9, Service: "s",
		Operation: k.kind, Body: []byte(string(c.pid) + " " + k.key)}
}

func (k *call) userMessage() []byte {
	return fmt.Appendf(nil, `{"role":"user","content":"%s %s/%s"}`, k.key, k.caller.pid, k.branch)
}

func (c *caller) checkStopped(p *program.Problem) bool {
	if p != nil && (p.Type == program.ProblemEnded || p.Type == program.ProblemBudgetExhausted ||
		p.Type == program.ProblemNotFound) {
		c.sim.tracef("%s takes no more calls: %s", c.pid, p.Type)
		c.programStopped = true
	}
	return c.programStopped
}

func (c *caller) done(l *callerBranch, k *call, r *request, res requestResult) {
	sim := c.sim
	l.waiting = false
	l.requests++
	l.nextAt = sim.now + 300*time.Millisecond
	k.unanswered--
	if res.broken {
		k.mayBeInFlight = true
		return
	}
	if p := res.problem; p != nil {
		sim.oracle.refused(k, p)
		if c.checkStopped(p) {
			return
		}
		if p.Type == program.ProblemOutcomeUnknown && p.Executed == record.ExecutedUnknown {
			l.outcomeUnknown = true
			l.nextAt = sim.now + time.Second
		}
		return
	}
	sim.oracle.answered(k, res.body)
	if l.requests == 1 && sim.rng.IntN(8) == 0 {
		return // the caller repeats the key and must get the same answer
	}
	if k.kind == "model" || k.kind == "stream" {
		l.messages = append(l.messages, k.userMessage(), sim.oracle.answerMessage(k))
	}
	c.finish(l, k)
}

func (c *caller) finish(l *callerBranch, k *call) {
	l.calls = l.calls[1:]
	l.requests, l.outcomeUnknown = 0, false
	l.nextAt = c.sim.now + k.pauseAfter
}

// settle reports whether a service executed the call whose outcome is unknown, as the oracle knows it. At this
// point no attempt of the call can still be running.
func (c *caller) settle(l *callerBranch, k *call) {
	executed := record.ExecutedNo
	if c.sim.oracle.executions[callID{c.pid, k.key}] > 0 {
		executed = record.ExecutedYes
	}
	c.send(&request{what: "settle " + k.key, event: func(req program.ReqID) program.Request {
		return program.SettleCall{Req: req, Team: "t", Program: c.pid, Key: k.key, Executed: executed,
			Body: fmt.Appendf(nil, `{"done":%q}`, string(c.pid)+" "+k.key)}
	}, done: func(_ *request, res requestResult) {
		l.waiting = false
		l.nextAt = c.sim.now + 300*time.Millisecond
		p := res.problem
		switch {
		case res.broken:
		case p == nil, p.Type == program.ProblemOutcomeKnown:
			l.outcomeUnknown = false // repeat the call: it returns the recorded outcome or may run again
		case p.Type == program.ProblemCallNotFound:
			l.outcomeUnknown = false // the intent is still open
		default:
			c.checkStopped(p)
		}
	}})
}

// keyOf returns the key of the call, which is in the last message of its prompt.
func keyOf(ms []record.Message) string {
	_, rest, _ := bytes.Cut(ms[len(ms)-1].Raw, []byte(`"content":"`))
	key, _, _ := bytes.Cut(rest, []byte(" "))
	return string(key)
}
