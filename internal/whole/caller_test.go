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

// call is one call of a caller's program.
type call struct {
	c       *caller
	branch  string
	kind    string // model, stream, charge, reserve, look
	key     string
	pause   time.Duration // of the tool, after the call
	refused bool          // the last answer was "not run"
	lost    bool          // a request broke, so it may still be on its way
	open    int           // requests without an answer
}

// callID finds a call from what an endpoint sees.
type callID struct {
	program id.Program
	key     string
}

// line is one branch of a program: its calls come one after the other.
type line struct {
	name   string
	calls  []*call
	opened bool
	said   [][]byte // messages that the caller has seen
	waits  bool     // a request is under way
	next   time.Duration
	tries  int
	settle bool // the outcome of the current call is unknown
}

// caller runs one program: it repeats a call under its key, at any instance, until the answer is certain.
type caller struct {
	w        *world
	pid      id.Program
	limits   record.Limits
	opened   bool
	opening  bool
	lines    []*line
	next     time.Duration
	ending   bool
	ended    bool
	stopped  bool // the program ended by itself: budget or wall time
	requests int
}

func (c *caller) slot() id.Slot {
	s, err := c.pid.Slot()
	if err != nil {
		c.w.fail("%v", err)
	}
	return s
}

func (c *caller) send(r *request) {
	w := c.w
	c.requests++
	r.caller = c
	if len(w.nodes) == 0 {
		w.after(time.Second, func() { r.end(w, result{broken: true}) })
		return
	}
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if r.call != nil {
		r.call.open++
	}
	w.after(w.delay(), func() {
		switch {
		case n.dead:
			r.end(w, result{broken: true})
		case n.paused:
			n.unserved = append(n.unserved, r)
			n.inbox = append(n.inbox, func() { n.take(r, c.slot()) })
		default:
			n.take(r, c.slot())
		}
	})
}

func (c *caller) tick() {
	w := c.w
	switch {
	case c.ended || w.now < c.next:
	case !c.opened:
		c.open()
	default:
		busy, left := false, false
		for _, l := range c.lines {
			busy = busy || l.waits
			if c.stopped || len(l.calls) == 0 {
				continue
			}
			left = true
			if !l.waits && w.now >= l.next {
				c.advance(l)
			}
		}
		if !left && !busy && !c.ending {
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
		return program.OpenProgram{Req: req, Program: c.pid, Team: "t", Duty: "d", Limits: c.limits, Now: c.w.wall(), Key: "open " + string(c.pid)}
	}, done: func(_ *request, res result) {
		c.opening = false
		c.next = c.w.now + 300*time.Millisecond
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
	}, done: func(_ *request, res result) {
		c.ending = false
		c.next = c.w.now + 300*time.Millisecond
		p := res.problem
		c.ended = !res.broken && (p == nil || p.Type == program.ProblemNotFound)
	}})
}

// advance makes the next step of a branch.
func (c *caller) advance(l *line) {
	l.waits = true
	if !l.opened {
		c.send(&request{what: "branch " + l.name, event: func(req program.ReqID) program.Request {
			return program.OpenBranch{Req: req, Team: "t", Program: c.pid, Name: l.name, Parent: id.MainBranch, Key: "branch " + l.name}
		}, done: func(_ *request, res result) {
			c.w.note("%s branch %s: broken %v, %+v", c.pid, l.name, res.broken, res.problem)
			l.waits = false
			l.next = c.w.now + 300*time.Millisecond
			l.opened = !res.broken && (res.problem == nil || res.problem.Type == program.ProblemRecordRejected && res.problem.Status == http.StatusConflict)
			c.checkStopped(res.problem)
		}})
		return
	}
	k := l.calls[0]
	if l.settle {
		c.settle(l, k)
		return
	}
	c.send(&request{call: k, what: k.key, event: k.event, done: func(r *request, res result) { c.done(l, k, r, res) }})
}

func (k *call) event(req program.ReqID) program.Request {
	c := k.c
	if k.kind == "model" || k.kind == "stream" {
		return program.ModelCall{Req: req, Team: "t", Program: c.pid, Branch: k.branch, Key: k.key, Digest: 7, Model: "m",
			Messages: []record.Message{{Raw: k.say()}}, History: program.HistoryAppend, MaxTokens: 20, Stream: k.kind == "stream"}
	}
	return program.ServiceCall{Req: req, Team: "t", Program: c.pid, Branch: k.branch, Key: k.key, Digest: 9, Service: "s",
		Operation: k.kind, Body: []byte(string(c.pid) + " " + k.key)}
}

func (k *call) say() []byte {
	return fmt.Appendf(nil, `{"role":"user","content":"%s %s/%s"}`, k.key, k.c.pid, k.branch)
}

func (c *caller) checkStopped(p *program.Problem) bool {
	if p != nil && (p.Type == program.ProblemEnded || p.Type == program.ProblemBudgetExhausted || p.Type == program.ProblemNotFound) {
		c.w.note("%s stops: %s", c.pid, p.Type)
		c.stopped = true
	}
	return c.stopped
}

func (c *caller) done(l *line, k *call, r *request, res result) {
	w := c.w
	l.waits = false
	l.tries++
	l.next = w.now + 300*time.Millisecond
	k.open--
	if res.broken {
		k.lost = true
		return
	}
	if p := res.problem; p != nil {
		w.oracle.refused(k, p)
		if c.checkStopped(p) {
			return
		}
		if p.Type == program.ProblemOutcomeUnknown && p.Executed == record.ExecutedUnknown {
			l.settle = true
			l.next = w.now + time.Second
		}
		return
	}
	w.oracle.answered(k, res.body)
	if l.tries == 1 && w.rng.IntN(8) == 0 {
		return // the caller repeats the key and must get the same answer
	}
	if k.kind == "model" || k.kind == "stream" {
		l.said = append(l.said, k.say(), w.oracle.answerOf(k))
	}
	c.finish(l, k)
}

func (c *caller) finish(l *line, k *call) {
	l.calls = l.calls[1:]
	l.tries, l.settle = 0, false
	l.next = c.w.now + k.pause
}

// settle tells truthfully whether the call was executed. Nothing of it can be under way any more.
func (c *caller) settle(l *line, k *call) {
	x := record.ExecutedNo
	if c.w.oracle.execs[callID{c.pid, k.key}] > 0 {
		x = record.ExecutedYes
	}
	c.send(&request{what: "settle " + k.key, event: func(req program.ReqID) program.Request {
		return program.SettleCall{Req: req, Team: "t", Program: c.pid, Key: k.key, Executed: x, Body: fmt.Appendf(nil, `{"done":%q}`, string(c.pid)+" "+k.key)}
	}, done: func(_ *request, res result) {
		l.waits = false
		l.next = c.w.now + 300*time.Millisecond
		p := res.problem
		switch {
		case res.broken:
		case p == nil, p.Type == program.ProblemOutcomeKnown:
			l.settle = false // the call is repeated: recorded as run, or it may run again
		case p.Type == program.ProblemCallNotFound:
			l.settle = false // the intent is still open
		default:
			c.checkStopped(p)
		}
	}})
}

// keyOf finds the key in the last message of a prompt.
func keyOf(ms []record.Message) string {
	_, rest, _ := bytes.Cut(ms[len(ms)-1].Raw, []byte(`"content":"`))
	key, _, _ := bytes.Cut(rest, []byte(" "))
	return string(key)
}
