package bench

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/sched"
)

// programState is the state of a simulated program.
type programState uint8

const (
	stateWaiting  programState = iota // no call has been granted yet
	stateRunning                      // at least one call has been granted
	stateFinished                     // the last turn of the main branch has finished
	stateRefused                      // the caller gave up before any call was granted
	stateGivenUp                      // the caller gave up after a grant
)

// program executes a programSpec: a closed loop in which each call, pause and sub-agent starts when the
// one before it has ended.
type program struct {
	sim      *sim
	spec     *programSpec
	owner    *owner
	epoch    id.Epoch
	state    programState
	attained time.Duration // total time of its finished calls
	calls    int64         // finished model calls
	output   int64         // tokens of the finished model calls
	endedAt  time.Duration
	branches []*branch
}

// branch is one conversation of a program: the main one or that of a sub-agent. It has at most one
// pending call.
type branch struct {
	program       *program
	name          string
	parent        *branch
	turns         []turn
	turnIndex     int    // index of the current turn
	contextTokens int64  // length of the conversation
	sharedTokens  int64  // length of the conversation before the current turn
	lastEndpoint  string // of the last successful model call
	subAgentsLeft int
	pending       *call
	ended         bool // set for a sub-agent that has finished
}

// call is one model or service call of a branch, with all its attempts.
type call struct {
	branch        *branch
	pool          *pool
	seq           uint64
	output        int64
	serviceTime   time.Duration // of a service call, on an idle server of time factor 1; 0: a model call
	patienceStart time.Duration // the caller gives up deployment.patience after it
	attempts      int
	failures      int
	avoid         []string
	current       *attempt
	granted       bool
}

// attempt is one submission of a call to the dispatcher of its pool.
type attempt struct {
	id         id.Attempt
	call       *call
	owner      *owner
	pool       *pool
	endpoint   string
	inFlight   bool // counted in pool.inFlight
	granted    bool
	wasRefused bool
	sentAt     time.Duration
	ended      bool
}

const (
	retryDelay          = 200 * time.Millisecond // before a caller tries again
	failureNoticeDelay  = time.Second            // until an owner sees that an endpoint has died or failed a call
	maxAvoidedEndpoints = 2                      // per call
	maxCallRetries      = 8                      // after failures; refusals do not count
)

func newProgram(s *sim, spec *programSpec) *program {
	slot, _ := spec.id.Slot()
	p := &program{sim: s, spec: spec, owner: s.owners[int(slot)%len(s.owners)], epoch: 1}
	p.branches = []*branch{{program: p, name: id.MainBranch, turns: spec.turns}}
	return p
}

// scheduleStart sends the caller's first call, which reaches the owner after the client delay and one hop
// between instances.
func (p *program) scheduleStart() {
	p.sim.after(p.sim.deploy.clientDelay+p.sim.deploy.zoneDelay, p.branches[0].startTurn)
}

func (p *program) open() bool { return p.state == stateWaiting || p.state == stateRunning }

// startTurn submits the model call of the branch's current turn.
func (b *branch) startTurn() {
	p := b.program
	if !p.open() {
		return
	}
	t := b.turns[b.turnIndex]
	b.sharedTokens = b.contextTokens
	b.contextTokens += t.addedTokens
	b.submit(p.sim.modelPool, t.output, 0)
}

// submit creates the next call of the branch and its first attempt. A service call has a
// serviceTime above 0.
func (b *branch) submit(pl *pool, output int64, serviceTime time.Duration) {
	c := &call{
		branch: b, pool: pl, seq: uint64(b.turnIndex)*2 + 1, output: output, serviceTime: serviceTime,
		patienceStart: b.program.sim.now,
	}
	if serviceTime > 0 {
		c.seq++
	}
	b.pending = c
	if pl == b.program.sim.modelPool {
		b.program.sim.meter.addWaiting(b.program.spec.duty, 1)
	}
	c.trySubmit()
}

// trySubmit submits the next attempt. It gives the program up if the caller's patience has ended or the
// call has failed more than maxCallRetries times.
func (c *call) trySubmit() {
	p := c.branch.program
	s := p.sim
	if !p.open() {
		return
	}
	left := c.patienceStart + s.deploy.patience - s.now
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
	if c.pool == s.modelPool {
		r.PromptTokens, r.SharedTokens, r.MaxTokens, r.LastEndpoint = b.contextTokens, b.sharedTokens, 2000, b.lastEndpoint
	}
	return r
}

// handleRefusal lets the caller try again after the delay that the refusal asks for, at least retryDelay.
func (at *attempt) handleRefusal(r sched.Refuse) {
	if at.ended || at.call.current != at {
		return
	}
	at.ended = true
	s := at.call.branch.program.sim
	s.after(max(r.RetryAfter, retryDelay)+2*s.deploy.clientDelay, at.call.trySubmit)
}

// dispatch sends a granted call to its endpoint. If the call is no longer needed, it reports the attempt to
// the dispatcher as canceled.
func (at *attempt) dispatch(g sched.Grant) {
	c := at.call
	p := c.branch.program
	s := p.sim
	if !p.open() || c.current != at || at.ended {
		s.toPool(at.pool, at.owner, sched.Done{ID: at.id, Endpoint: g.Endpoint, Result: sched.ResultCanceled})
		return
	}
	if !c.granted {
		c.granted = true
		if c.pool == s.modelPool {
			s.meter.addWaiting(p.spec.duty, -1)
		}
	}
	if p.state == stateWaiting {
		p.state = stateRunning
	}
	at.sentAt = s.now
	j := &job{attempt: at.id, duty: p.spec.duty, prompt: c.branch.contextTokens, output: c.output,
		key: cacheKey{p.spec.id, c.branch.name}, done: at.jobDone}
	if v := s.services[g.Endpoint]; v != nil && at.pool == s.servicePool {
		at.send(v.zone, v.dead, j, func() { v.arrive(j, c.serviceTime) })
		return
	}
	e := s.engines[g.Endpoint]
	at.send(e.zone, e.dead, j, func() { s.deliver(e, j, g.MoveFrom) })
}

// send lets a job arrive at an endpoint after the network delay. A dead endpoint fails the attempt after
// failureNoticeDelay.
func (at *attempt) send(zone int, dead bool, j *job, arrive func()) {
	s := at.call.branch.program.sim
	if dead {
		s.after(failureNoticeDelay, func() { at.handleFailure() })
		return
	}
	s.after(s.delay(at.owner.zone, zone), arrive)
}

// deliver hands a call to an engine. If the grant asks to move the cached prefix from another
// engine, the call arrives when the transfer has ended.
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

// Duration of a cache transfer between engines: a fixed part and a part per token.
const (
	transferSetup = 30 * time.Millisecond
	transferRate  = 40000.0 // tokens/s
)

// jobDone is called by the endpoint when the job ends. The owner learns of a success after the delay
// between zones and of a failure after failureNoticeDelay.
func (at *attempt) jobDone(j *job, ok bool) {
	s := at.call.branch.program.sim
	s.meter.recordWork(s, at, j)
	if !ok {
		s.after(failureNoticeDelay, at.handleFailure)
		return
	}
	s.after(s.deploy.zoneDelay, func() { s.whenUp(at.owner, func() { at.handleSuccess(j) }) })
}

// handleFailure reports a failed attempt to the dispatcher and schedules a retry that avoids the last
// maxAvoidedEndpoints endpoints that failed the call.
func (at *attempt) handleFailure() {
	s := at.call.branch.program.sim
	s.whenUp(at.owner, func() {
		s.toPool(at.pool, at.owner, sched.Done{ID: at.id, Endpoint: at.endpoint, Result: sched.ResultFailed})
		c := at.call
		if at.ended || c.current != at {
			return
		}
		at.ended = true
		c.failures++
		c.avoid = append(c.avoid, at.endpoint)
		if len(c.avoid) > maxAvoidedEndpoints {
			c.avoid = append([]string(nil), c.avoid[1:]...)
		}
		// The caller's patience starts again because it has seen that the call was accepted.
		c.patienceStart = s.now
		s.after(retryDelay, c.trySubmit)
	})
}

// handleSuccess reports a finished attempt to the dispatcher and goes on with the branch.
func (at *attempt) handleSuccess(j *job) {
	c := at.call
	b, p := c.branch, c.branch.program
	s := p.sim
	d := sched.Done{ID: at.id, Endpoint: at.endpoint, Result: sched.ResultOK, Total: s.now - at.sentAt}
	if c.pool == s.modelPool {
		d.PromptTokens, d.CachedTokens, d.OutputTokens, d.FirstToken =
			j.prompt, j.cachedTokens, j.output, j.firstTokenAt-at.sentAt
	}
	s.toPool(at.pool, at.owner, d)
	if at.ended || c.current != at || !p.open() {
		return
	}
	at.ended = true
	b.pending = nil
	p.attained += d.Total
	if c.pool != s.modelPool {
		b.afterService()
		return
	}
	p.calls++
	p.output += j.output
	b.lastEndpoint = at.endpoint
	b.contextTokens += j.output
	b.afterTurn()
}

// afterTurn starts the turn's sub-agents, or its service call or pause if it has none. After the last turn
// it ends the branch.
func (b *branch) afterTurn() {
	p := b.program
	t := b.turns[b.turnIndex]
	if b.turnIndex == len(b.turns)-1 {
		b.end()
		return
	}
	if len(t.subAgents) > 0 {
		b.subAgentsLeft = len(t.subAgents)
		for i, turns := range t.subAgents {
			sub := &branch{program: p, name: subAgentName(b.turnIndex, i), parent: b, turns: turns}
			p.branches = append(p.branches, sub)
			sub.startTurn()
		}
		return
	}
	b.serviceOrPause()
}

func (b *branch) serviceOrPause() {
	t := b.turns[b.turnIndex]
	if t.service > 0 {
		b.submit(b.program.sim.servicePool, 0, t.service)
		return
	}
	b.afterService()
}

// afterService announces the pause after a turn to the scheduler and schedules the next turn.
func (b *branch) afterService() {
	p := b.program
	t := b.turns[b.turnIndex]
	p.sim.toPool(p.sim.modelPool, p.owner,
		sched.ProgramPaused{Program: p.spec.id, Branch: b.name, Expected: t.expectedPause})
	b.turnIndex++
	p.sim.after(t.pause+2*p.sim.deploy.clientDelay, b.startTurn)
}

// end ends the branch: the main branch finishes the program; the last sub-agent of a turn lets its parent
// go on.
func (b *branch) end() {
	if b.parent == nil {
		b.program.finish()
		return
	}
	b.ended = true
	b.program.sim.branchEnded(b)
	b.parent.subAgentsLeft--
	if b.parent.subAgentsLeft == 0 {
		b.parent.serviceOrPause()
	}
}
