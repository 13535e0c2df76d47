package bench

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/sched"
)

// programState is the state of a program in the bench.
type programState uint8

const (
	stateWaiting  programState = iota // not yet started
	stateRunning                      // a call was granted
	stateFinished                     // the final answer was given
	stateRefused                      // the caller gave up before a start
	stateGivenUp                      // the caller gave up after the start
)

// program plays a programSpec: a closed loop of calls, pauses and sub-agents.
type program struct {
	sim      *sim
	spec     *programSpec
	owner    *owner
	epoch    id.Epoch
	state    programState
	attained time.Duration
	calls    int64
	output   int64
	ended    time.Duration
	branches []*branch
}

// branch is one conversation of a program.
type branch struct {
	program  *program
	name     string
	parent   *branch
	turns    []turn
	next     int // index of the current turn
	context  int64
	shared   int64
	last     string // endpoint of the last model call
	subsLeft int
	pending  *call
	ended    bool // a sub-agent that has finished
}

// call is a call of a branch over all its attempts.
type call struct {
	branch   *branch
	pool     *pool
	seq      uint64
	output   int64
	base     time.Duration // of a service call
	first    time.Duration // first submit
	attempts int
	failures int
	avoid    []string
	current  *attempt
	granted  bool
}

// attempt is one submission of a call.
type attempt struct {
	id       id.Attempt
	call     *call
	owner    *owner
	pool     *pool
	endpoint string
	counted  bool // counts in flight
	granted  bool
	refusedX bool
	sent     time.Duration
	over     bool
}

const (
	retryDelay     = 200 * time.Millisecond
	noticeDelay    = time.Second // until an owner sees that an endpoint is gone
	maxAvoid       = 2
	maxCallRetries = 8
)

func newProgram(s *sim, spec *programSpec) *program {
	slot, _ := spec.id.Slot()
	p := &program{sim: s, spec: spec, owner: s.owners[int(slot)%len(s.owners)], epoch: 1}
	p.branches = []*branch{{program: p, name: id.MainBranch, turns: spec.turns}}
	return p
}

// arrive is the caller's first call; it reaches the owner after the client delay and a hop.
func (p *program) arrive() {
	p.sim.after(p.sim.deploy.clientDelay+p.sim.deploy.zoneDelay, p.branches[0].step)
}

func (p *program) open() bool { return p.state == stateWaiting || p.state == stateRunning }

// step makes the branch's current turn.
func (b *branch) step() {
	p := b.program
	if !p.open() {
		return
	}
	t := b.turns[b.next]
	b.shared = b.context
	b.context += t.add
	b.submit(p.sim.model, t.output, 0)
}

func (b *branch) submit(pl *pool, output int64, base time.Duration) {
	c := &call{branch: b, pool: pl, seq: uint64(b.next)*2 + 1, output: output, base: base, first: b.program.sim.now}
	if base > 0 {
		c.seq++
	}
	b.pending = c
	if pl == b.program.sim.model {
		b.program.sim.meter.pending(b.program.spec.duty, 1)
	}
	c.try()
}

// try submits the next attempt, or gives the program up when the caller's patience has ended.
func (c *call) try() {
	p := c.branch.program
	s := p.sim
	if !p.open() {
		return
	}
	left := c.first + s.deploy.patience - s.now
	if left <= 0 || c.failures > maxCallRetries {
		p.giveUp()
		return
	}
	c.attempts++
	id := id.NewAttempt(id.Call{Program: p.spec.id, Branch: c.branch.name, Seq: c.seq}, p.epoch, c.attempts)
	at := &attempt{id: id, call: c, owner: p.owner, pool: c.pool}
	c.current = at
	s.attempts[id] = at
	s.toPool(c.pool, p.owner, sched.Submit{Request: c.request(at, left)})
}

func (c *call) request(at *attempt, left time.Duration) sched.Request {
	b, p := c.branch, c.branch.program
	s := p.sim
	r := sched.Request{
		ID: at.id, Owner: p.owner.session, Program: p.spec.id, Branch: b.name,
		Team: p.spec.team, Duty: p.spec.duty, Zone: zoneName(p.owner.zone),
		Attained: p.attained, Calls: p.calls, ProgramAge: s.now - p.spec.arrival,
		CallTimeLimit: left, Idempotent: true, Retry: c.failures, Avoid: c.avoid,
	}
	if p.spec.deadline > 0 {
		r.Deadline = max(p.spec.arrival+p.spec.deadline-s.now, time.Millisecond)
	}
	if b.parent != nil {
		r.WaitingBranches = 1
	}
	if c.pool == s.model {
		r.PromptTokens, r.SharedTokens, r.MaxTokens, r.LastEndpoint = b.context, b.shared, 2000, b.last
	}
	return r
}

// refused lets the caller wait for the retry delay and try again.
func (at *attempt) refused(r sched.Refuse) {
	if at.over || at.call.current != at {
		return
	}
	at.over = true
	s := at.call.branch.program.sim
	s.after(max(r.RetryAfter, retryDelay)+2*s.deploy.clientDelay, at.call.try)
}

// dispatch sends a granted call to its endpoint.
func (at *attempt) dispatch(g sched.Grant) {
	c := at.call
	p := c.branch.program
	s := p.sim
	if !p.open() || c.current != at || at.over {
		s.toPool(at.pool, at.owner, sched.Done{ID: at.id, Endpoint: g.Endpoint, Result: sched.ResultCanceled})
		return
	}
	if !c.granted {
		c.granted = true
		if c.pool == s.model {
			s.meter.pending(p.spec.duty, -1)
		}
	}
	if p.state == stateWaiting {
		p.state = stateRunning
	}
	at.sent = s.now
	j := &job{attempt: at.id, duty: p.spec.duty, prompt: c.branch.context, output: c.output,
		key: cacheKey{p.spec.id, c.branch.name}, done: at.done}
	if v := s.services[g.Endpoint]; v != nil && at.pool == s.plain {
		at.send(v.zone, v.dead, j, func() { v.arrive(j, c.base) })
		return
	}
	e := s.engines[g.Endpoint]
	at.send(e.zone, e.dead, j, func() { s.deliver(e, j, g.MoveFrom) })
}

func (at *attempt) send(zone int, dead bool, j *job, arrive func()) {
	s := at.call.branch.program.sim
	if dead {
		s.after(noticeDelay, func() { at.failed() })
		return
	}
	s.after(s.delay(at.owner.zone, zone), arrive)
}

// deliver hands a call to an engine, after its cache was moved when the grant says so.
func (s *sim) deliver(e *engine, j *job, from string) {
	src := s.engines[from]
	if src == nil || src.dead {
		s.arriveOrFail(e, j)
		return
	}
	tokens := int64(0)
	if en := src.entries[j.key]; en != nil {
		tokens = en.tokens
	}
	s.after(transferSetup+seconds(float64(tokens)/transferRate), func() {
		e.importFrom(src, j.key)
		s.arriveOrFail(e, j)
	})
}

func (s *sim) arriveOrFail(e *engine, j *job) {
	if e.dead {
		j.done(j, false)
		return
	}
	e.arrive(j)
}

// Speed of a cache export and import between engines.
const (
	transferSetup = 30 * time.Millisecond
	transferRate  = 40000.0 // tokens/s
)

// done is called by the endpoint when the job ends; the owner sees it one hop later.
func (at *attempt) done(j *job, ok bool) {
	s := at.call.branch.program.sim
	s.meter.worked(s, at, j)
	if !ok {
		s.after(noticeDelay, at.failed)
		return
	}
	s.after(s.deploy.zoneDelay, func() { s.whenUp(at.owner, func() { at.finished(j) }) })
}

func (at *attempt) failed() {
	s := at.call.branch.program.sim
	s.whenUp(at.owner, func() {
		s.toPool(at.pool, at.owner, sched.Done{ID: at.id, Endpoint: at.endpoint, Result: sched.ResultFailed})
		c := at.call
		if at.over || c.current != at {
			return
		}
		at.over = true
		c.failures++
		c.avoid = append(c.avoid, at.endpoint)
		if len(c.avoid) > maxAvoid {
			c.avoid = append([]string(nil), c.avoid[1:]...)
		}
		// The caller's patience for a turn starts again: it has seen that the call was accepted.
		c.first = s.now
		s.after(retryDelay, c.try)
	})
}

func (at *attempt) finished(j *job) {
	c := at.call
	b, p := c.branch, c.branch.program
	s := p.sim
	d := sched.Done{ID: at.id, Endpoint: at.endpoint, Result: sched.ResultOK, Total: s.now - at.sent}
	if c.pool == s.model {
		d.PromptTokens, d.CachedTokens, d.OutputTokens, d.FirstToken = j.prompt, j.hit, j.output, j.first-at.sent
	}
	s.toPool(at.pool, at.owner, d)
	if at.over || c.current != at || !p.open() {
		return
	}
	at.over = true
	b.pending = nil
	p.attained += d.Total
	if c.pool != s.model {
		b.afterService()
		return
	}
	p.calls++
	p.output += j.output
	b.last = at.endpoint
	b.context += j.output
	b.afterTurn()
}

// afterTurn starts the turn's sub-agents, its service call or its pause.
func (b *branch) afterTurn() {
	p := b.program
	t := b.turns[b.next]
	if b.next == len(b.turns)-1 {
		b.end()
		return
	}
	if len(t.subs) > 0 {
		b.subsLeft = len(t.subs)
		for i, turns := range t.subs {
			sub := &branch{program: p, name: subName(b.next, i), parent: b, turns: turns}
			p.branches = append(p.branches, sub)
			sub.step()
		}
		return
	}
	b.serviceOrPause()
}

func (b *branch) serviceOrPause() {
	t := b.turns[b.next]
	if t.service > 0 {
		b.submit(b.program.sim.plain, 0, t.service)
		return
	}
	b.afterService()
}

func (b *branch) afterService() {
	p := b.program
	t := b.turns[b.next]
	p.sim.toPool(p.sim.model, p.owner, sched.ProgramPaused{Program: p.spec.id, Branch: b.name, Expected: t.guess})
	b.next++
	p.sim.after(t.pause+2*p.sim.deploy.clientDelay, b.step)
}

func (b *branch) end() {
	if b.parent == nil {
		b.program.finish()
		return
	}
	b.ended = true
	b.program.sim.branchEnded(b)
	b.parent.subsLeft--
	if b.parent.subsLeft == 0 {
		b.parent.serviceOrPause()
	}
}
