package sched

import (
	"time"

	"ragwortstile/internal/id"
)

// Scheduler holds the waiting and running calls of one pool. It is not safe for concurrent use.
//
// Invariants: a submitted call gets exactly one Grant or Refuse unless it is withdrawn or its owner is
// lost first; no grant takes an endpoint above its limit; a refused call was never granted.
type Scheduler struct {
	cfg            Config
	opt            Options
	now            time.Duration
	begun          bool          // startedAt is set
	startedAt      time.Duration // time of the first Step
	serial         uint64        // of the newest call
	calls          map[id.Attempt]*call
	waiting        int
	parked         int  // waiting calls that are parked at an endpoint
	full           bool // no endpoint had capacity at the last scan
	timers         timerHeap
	endpoints      []*endpoint
	endpointByName map[string]*endpoint
	duties         []*duty
	dutyByName     map[string]*duty
	programs       map[id.Program]*program
	cacheUsage     map[string]*CacheUsage
	skipped        []*call // calls that the current Step has skipped; used by grant only
	nextIdleSweep  time.Duration

	startedPrograms int
	workingSet      int64   // tokens of the started programs
	cacheBudget     int64   // tokens that their working sets may reach; 0: no limit
	meanWorkingSet  float64 // recent mean working set of ended programs, tokens
	drainInterval   float64 // s, recent mean time between ends of calls
	lastCompletion  time.Duration
	meanWork        float64 // s, recent mean work of a call
	poolPrefillRate float64 // tokens/s, mean over the pool
	poolUnitTime    float64 // s per output token, mean over the pool
	retryBudget     float64 // retries that may enter the queue now
	totalWork       float64 // s, of all duties since the first Step
	shareFactor     float64 // factor on the shares that duties are owed
}

// call is a waiting or running call. A waiting call is in the heap of its duty, in that of the endpoint at
// which it is parked, or among the skipped calls of the current Step.
type call struct {
	req        Request
	serial     uint64
	submitted  time.Duration
	expires    time.Duration // 0: never
	key        time.Duration // order of service, see orderKey
	duty       *duty
	team       *team
	program    *program
	branch     *branch
	newProgram bool          // first call of a new program
	units      float64       // expected output tokens; 1 for a service call
	heap       *callHeap     // holds the call while it waits
	index      int           // in the heap
	parkedAt   *endpoint     // the call waits for this endpoint, which has its prefix
	parkLimit  time.Duration // how long it may be parked
	noPark     bool          // it was parked before and is not parked again
	bestPrefix *prefix       // largest cached prefix of the branch, set while an endpoint is chosen

	ep             *endpoint // nil while the call waits
	pinned         *prefix   // prefix that the call uses while it runs
	runningAtGrant int       // calls in flight at the endpoint, this one included
	prefillQueue   float64   // s, prefill queue of the endpoint at the grant
	predicted      float64   // s, predicted time of the call
	charged        float64   // s, work charged to the duty at the grant
}

// New returns a scheduler that has no calls.
func New(cfg Config) *Scheduler {
	s := &Scheduler{
		calls:          map[id.Attempt]*call{},
		endpointByName: map[string]*endpoint{},
		dutyByName:     map[string]*duty{},
		programs:       map[id.Program]*program{},
		cacheUsage:     map[string]*CacheUsage{},
		meanWork:       5, drainInterval: 0.1,
		poolPrefillRate: priorPrefillRate, poolUnitTime: priorTokenBase, retryBudget: initialRetryBudget,
	}
	s.configure(cfg)
	return s
}

// Step applies an event, fires the timers that are due, grants waiting calls and appends the resulting actions
// to out.
func (s *Scheduler) Step(now time.Duration, ev Event, out []Action) []Action {
	s.now = max(s.now, now)
	if !s.begun {
		s.begun, s.startedAt = true, s.now
	}
	switch ev.(type) {
	case Submit, ProgramPaused, LoadReport, CacheEvent:
	default:
		s.full = false
	}
	switch e := ev.(type) {
	case Configure:
		s.configure(e.Config)
	case Submit:
		out = s.submit(e.Request, out)
	case Withdraw:
		s.withdraw(e.ID)
	case Done:
		s.finish(e)
	case Running:
		s.restoreRunning(e)
	case OwnerLost:
		s.dropOwner(e.Session)
	case LoadReport:
		s.applyLoadReport(e)
	case CacheEvent:
		s.applyCacheEvent(e)
	case ProgramPaused:
		s.pauseBranch(e)
	case ProgramEnded:
		out = s.endProgram(e.Program, out)
	case BranchEnded:
		out = s.endBranch(e, out)
	case EndpointLeaving:
		if ep := s.endpointByName[e.Endpoint]; ep != nil {
			ep.leavingAnnounced = ep.leavingAnnounced || !ep.Leaving
			ep.Leaving = true
			s.unparkAll(ep)
			s.updateCacheBudget()
		}
	case Tick:
		out = s.forgetIdlePrograms(out)
	}
	out = s.fireTimers(out)
	return s.grant(out)
}

func (s *Scheduler) configure(cfg Config) {
	old := s.endpointByName
	s.cfg, s.opt = cfg, cfg.Options
	if cfg.WeightLatency == 0 && cfg.WeightCache == 0 {
		s.cfg.WeightLatency, s.cfg.WeightCache = 0.5, 0.5
	}
	s.endpoints = s.endpoints[:0]
	s.endpointByName = make(map[string]*endpoint, len(cfg.Endpoints))
	for _, c := range cfg.Endpoints {
		ep := old[c.Name]
		if ep == nil {
			ep = &endpoint{cost: newCostModel(cfg.Model)}
		}
		ep.Endpoint, ep.removed = c, false
		// An endpoint that was announced as leaving before the platform's list shows it stays leaving
		// until the list shows it too.
		ep.leavingAnnounced = ep.leavingAnnounced && !c.Leaving
		ep.Leaving = c.Leaving || ep.leavingAnnounced
		s.endpoints = append(s.endpoints, ep)
		s.endpointByName[c.Name] = ep
		if ep.Leaving {
			s.unparkAll(ep)
		}
	}
	for name, ep := range old {
		if s.endpointByName[name] == nil {
			ep.removed = true
			s.unparkAll(ep)
			s.dropPrefixes(ep)
		}
	}
	for _, d := range s.duties {
		d.Share = 0
	}
	sum := 0.0
	for _, d := range cfg.Duties {
		s.dutyOf(d.Name).Duty = d
		sum += d.Share
	}
	s.shareFactor = 1
	if sum > 0 {
		s.shareFactor = min(max(1/sum, 1), maxShareFactor)
	}
	s.updateCacheBudget()
}

// updateCacheBudget computes how many tokens the working sets of started programs may reach. If the cache size
// of one endpoint is unknown, there is no limit.
func (s *Scheduler) updateCacheBudget() {
	s.cacheBudget = 0
	if !s.cfg.Model {
		return
	}
	total := int64(0)
	for _, ep := range s.endpoints {
		if ep.Leaving {
			continue
		}
		if ep.CacheTokens == 0 {
			return
		}
		total += ep.CacheTokens
	}
	s.cacheBudget = int64(admitCacheFraction * float64(total))
}

func (s *Scheduler) submit(r Request, out []Action) []Action {
	if _, known := s.calls[r.ID]; known {
		return out
	}
	c := s.newCall(r)
	if reason, after := s.refusal(c); reason != "" {
		return append(out, Refuse{Request: r, Reason: reason, RetryAfter: after})
	}
	if r.CallTimeLimit > 0 {
		c.expires = s.now + r.CallTimeLimit
		s.timers.push(timer{at: c.expires, call: c})
	}
	c.program = s.programOf(&r)
	c.program.calls++
	c.branch = c.program.ensureBranch(r.Branch)
	s.calls[r.ID] = c
	c.key = s.orderKey(c)
	c.branch.paused = false
	if c.newProgram && !s.opt.NoProgramOrder {
		c.key += newProgramPenalty
	}
	s.enqueue(c)
	return out
}

func (s *Scheduler) newCall(r Request) *call {
	s.serial++
	c := &call{req: r, serial: s.serial, submitted: s.now, duty: s.dutyOf(r.Duty), units: 1}
	c.team = s.teamOf(c.duty, r.Team)
	prog := s.programs[r.Program]
	c.newProgram = !s.opt.NoAdmission && r.Calls == 0 && r.Retry == 0 && (prog == nil || !prog.started)
	if s.cfg.Model {
		c.units = c.duty.outputTokens
		if r.MaxTokens > 0 {
			c.units = min(c.units, float64(r.MaxTokens))
		}
	}
	return c
}

// enqueue puts a waiting call into the queue of its duty.
func (s *Scheduler) enqueue(c *call) {
	s.waiting++
	c.duty.waiting++
	c.team.waiting++
	s.pushToDuty(c)
}

func (s *Scheduler) pushToDuty(c *call) {
	if c.newProgram && !c.program.started {
		c.duty.newProgram.push(c)
		return
	}
	c.duty.started.push(c)
}

// dequeue removes a waiting call from the heap that holds it.
func (s *Scheduler) dequeue(c *call) {
	s.clearParked(c)
	c.heap.remove(c)
	s.waiting--
	c.duty.waiting--
	c.team.waiting--
}

// unparkAll moves the calls that are parked at an endpoint back to the queues of their duties.
func (s *Scheduler) unparkAll(ep *endpoint) {
	for ep.parked.len() > 0 {
		s.unpark(ep.parked.head())
	}
}

func (s *Scheduler) unpark(c *call) {
	s.clearParked(c)
	c.heap.remove(c)
	c.noPark = true
	s.pushToDuty(c)
}

func (s *Scheduler) clearParked(c *call) {
	if c.parkedAt != nil {
		c.parkedAt = nil
		s.parked--
	}
}

func (s *Scheduler) withdraw(a id.Attempt) {
	c := s.calls[a]
	if c == nil || c.ep != nil {
		return // a running call counts until its owner reports Done
	}
	s.dequeue(c)
	s.forgetCall(c)
}

// forgetCall forgets a call that neither waits nor runs. It also forgets the call's program if that has no
// other call, has not started and has at most one branch.
func (s *Scheduler) forgetCall(c *call) {
	delete(s.calls, c.req.ID)
	c.program.calls--
	if c.program.calls == 0 && !c.program.started && len(c.program.branches) <= 1 {
		delete(s.programs, c.program.id)
	}
}

func (s *Scheduler) restoreRunning(e Running) {
	ep := s.endpointByName[e.Endpoint]
	if ep == nil {
		return
	}
	if c, known := s.calls[e.Request.ID]; known {
		if c.ep != nil {
			return
		}
		s.dequeue(c)
		s.forgetCall(c)
	}
	c := s.newCall(e.Request)
	c.program = s.programOf(&e.Request)
	c.program.calls++
	c.branch = c.program.ensureBranch(e.Request.Branch)
	s.calls[c.req.ID] = c
	c.predicted = s.estimate(ep, c, 0)
	s.startRunning(c, ep)
}

// startRunning counts a call as in flight at an endpoint and its program as started.
func (s *Scheduler) startRunning(c *call, ep *endpoint) {
	c.ep = ep
	ep.inFlight++
	c.runningAtGrant = ep.inFlight
	s.markStarted(c)
}

func (s *Scheduler) dropOwner(session id.Session) {
	for _, c := range s.calls {
		if c.req.Owner != session {
			continue
		}
		if c.ep == nil {
			s.dequeue(c)
		} else {
			s.stopRunning(c)
		}
		s.forgetCall(c)
	}
}

// stopRunning takes a running call out of the endpoint's count and unpins its prefix.
func (s *Scheduler) stopRunning(c *call) {
	c.ep.inFlight--
	if c.pinned != nil {
		c.pinned.pinned--
		c.pinned = nil
	}
}

func (s *Scheduler) fireTimers(out []Action) []Action {
	for len(s.timers.items) > 0 && s.timers.items[0].at <= s.now {
		t := s.timers.pop()
		c := t.call
		if s.calls[c.req.ID] != c || c.ep != nil {
			continue
		}
		if t.park {
			if c.parkedAt != nil {
				s.unpark(c)
			}
			continue
		}
		s.dequeue(c)
		s.forgetCall(c)
		out = append(out, Refuse{Request: c.req, Reason: ReasonExpired, RetryAfter: s.retryAfter(c.duty, s.waiting, c.req.ProgramAge)})
	}
	return out
}
