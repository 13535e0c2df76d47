package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/sched"
)

// sim plays one trace with one policy in virtual time. It is a discrete-event simulation: the events run
// one after the other in the order of their times.
type sim struct {
	now          time.Duration
	events       eventHeap
	serial       uint64     // of the last event
	rng          *rand.Rand // loss and delay of cache events; seeded alike for every policy
	deploy       deployment
	scenario     scenario
	policy       string
	opt          sched.Options
	modelPool    *pool
	servicePool  *pool
	engines      map[string]*engine
	services     map[string]*service
	owners       []*owner
	programs     []*program
	byID         map[id.Program]*program
	attempts     map[id.Attempt]*attempt
	openPrograms int // number of programs that have not ended
	meter        meter
	violations   violations
}

// pool is a dispatcher with its endpoints as the platform's endpoint list shows them. Its counts are kept
// apart from the dispatcher's, so that they can check its decisions.
type pool struct {
	dispatcher dispatcher
	cfg        sched.Config
	inFlight   map[string]int           // granted attempts by endpoint
	leavingAt  map[string]time.Duration // when an endpoint began to leave
	steps      int
	stepTime   time.Duration  // real time spent in steps
	actions    []sched.Action // buffer, reused by each step
}

// owner is an instance that owns programs and sends their messages to the dispatchers.
type owner struct {
	index       int
	zone        int
	session     id.Session
	dead        bool
	pausedUntil time.Duration
}

// event is a function to run at a virtual time. Events of the same time run in the order of their creation.
type event struct {
	at     time.Duration
	serial uint64
	run    func()
}

// eventHeap is a min-heap of events by time and serial number.
type eventHeap []event

func (h eventHeap) less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].serial < h[j].serial)
}

func (h *eventHeap) push(e event) {
	*h = append(*h, e)
	q := *h
	for i := len(q) - 1; i > 0; {
		p := (i - 1) / 2
		if !q.less(i, p) {
			return
		}
		q[i], q[p] = q[p], q[i]
		i = p
	}
}

func (h *eventHeap) pop() event {
	q := *h
	e, last := q[0], len(q)-1
	q[0] = q[last]
	q[last] = event{}
	q = q[:last]
	*h = q
	for i := 0; ; {
		l := 2*i + 1
		if l >= last {
			return e
		}
		if r := l + 1; r < last && q.less(r, l) {
			l = r
		}
		if !q.less(l, i) {
			return e
		}
		q[i], q[l] = q[l], q[i]
		i = l
	}
}

// at schedules a function at time t, or now if t has passed.
func (s *sim) at(t time.Duration, run func()) {
	s.serial++
	s.events.push(event{at: max(t, s.now), serial: s.serial, run: run})
}

func (s *sim) after(d time.Duration, run func()) { s.at(s.now+d, run) }

// newSim prepares a run. The dispatchers of both pools are in zone 0.
func newSim(d deployment, sc scenario, policy string, opt sched.Options, seed uint64) *sim {
	s := &sim{
		deploy: d, scenario: sc, policy: policy, opt: opt,
		rng:     rand.New(rand.NewPCG(seed, 0x6e6f6973)),
		engines: map[string]*engine{}, services: map[string]*service{},
		byID: map[id.Program]*program{}, attempts: map[id.Attempt]*attempt{},
	}
	for _, spec := range d.engines {
		e := newEngine(s, spec)
		e.onEvict = s.publishEviction
		s.engines[spec.name] = e
	}
	for _, v := range d.services {
		s.services[v.name] = &service{name: v.name, zone: v.zone, limit: v.limit, timeFactor: v.timeFactor, sim: s, jobs: map[*job]bool{}}
	}
	for i := range d.instances {
		s.owners = append(s.owners, &owner{index: i, zone: i % d.zones, session: id.Session(fmt.Sprintf("instance-%d.1", i+1))})
	}
	s.modelPool = s.newPool(d.schedConfig(true, opt))
	s.servicePool = s.newPool(d.schedConfig(false, opt))
	s.meter = newMeter(d, sc)
	s.violations = newViolations()
	return s
}

func (s *sim) newPool(cfg sched.Config) *pool {
	return &pool{
		dispatcher: newDispatcher(s.policy, cfg), cfg: cfg,
		inFlight: map[string]int{}, leavingAt: map[string]time.Duration{},
	}
}

// delay returns the one-way network delay between two zones.
func (s *sim) delay(a, b int) time.Duration {
	if a == b {
		return 100 * time.Microsecond
	}
	return s.deploy.zoneDelay
}

// run plays the trace until every program has ended or the virtual time `limit` is reached.
func (s *sim) run(trace []*programSpec, limit time.Duration) {
	for _, spec := range trace {
		p := newProgram(s, spec)
		s.programs = append(s.programs, p)
		s.byID[spec.id] = p
		s.openPrograms++
		s.at(spec.arrival, p.scheduleStart)
	}
	s.scenario.faults(s)
	s.at(tickInterval, s.tick)
	s.at(reportInterval, s.reportLoad)
	for len(s.events) > 0 && s.openPrograms > 0 {
		e := s.events.pop()
		if e.at > limit {
			break
		}
		s.now = e.at
		e.run()
	}
}

const (
	tickInterval   = 100 * time.Millisecond
	reportInterval = time.Second
)

// tick sends a Tick to both dispatchers and samples the demand of each duty.
func (s *sim) tick() {
	s.step(s.modelPool, sched.Tick{})
	s.step(s.servicePool, sched.Tick{})
	s.meter.sampleDemand(s)
	s.after(tickInterval, s.tick)
}

// reportLoad sends the engines' load reports; they arrive with the scenario's delay.
func (s *sim) reportLoad() {
	for _, spec := range s.deploy.engines {
		e := s.engines[spec.name]
		if e.dead {
			continue
		}
		r := sched.LoadReport{
			Endpoint: e.name, Age: s.scenario.reportDelay, Running: e.running(), Waiting: len(e.queue),
			CacheUsed: e.usedTokens, Generation: e.generation,
		}
		s.after(s.scenario.reportDelay, func() { s.step(s.modelPool, r) })
	}
	s.after(reportInterval, s.reportLoad)
}

// publishEviction sends a cache event to the model pool, 0.2 s to 1.5 s late. A fraction eventLoss of the
// events is lost.
func (s *sim) publishEviction(e *engine, en *entry) {
	if s.rng.Float64() < s.scenario.eventLoss {
		return
	}
	ev := sched.CacheEvent{Endpoint: e.name, Kind: sched.CacheEvicted, Program: en.key.program, Branch: en.key.branch, Tokens: en.tokens}
	s.after(seconds(0.2+1.3*s.rng.Float64()), func() { s.step(s.modelPool, ev) })
}

// step passes an event to a pool's dispatcher and carries out its actions. An action must not call step
// for the same pool directly, because the buffer of actions is reused.
func (s *sim) step(p *pool, ev sched.Event) {
	begin := time.Now()
	p.actions = p.dispatcher.Step(s.now, ev, p.actions[:0])
	p.stepTime += time.Since(begin)
	p.steps++
	for _, a := range p.actions {
		switch a := a.(type) {
		case sched.Grant:
			s.handleGrant(p, a)
		case sched.Refuse:
			s.handleRefuse(p, a)
		case sched.Release:
			s.handleRelease(a)
		}
	}
}

// handleGrant counts and checks a grant and sends it to the owner of the attempt.
func (s *sim) handleGrant(p *pool, g sched.Grant) {
	at := s.attempts[g.Request.ID]
	p.inFlight[g.Endpoint]++
	s.violations.checkGrant(s, p, g, at)
	if at == nil {
		return
	}
	at.inFlight, at.endpoint = true, g.Endpoint
	s.toOwner(at.owner, func() { at.dispatch(g) })
}

// handleRefuse checks a refusal and sends it to the owner of the attempt.
func (s *sim) handleRefuse(p *pool, r sched.Refuse) {
	at := s.attempts[r.Request.ID]
	s.violations.checkRefusal(at)
	s.meter.refusals++
	if at != nil {
		s.toOwner(at.owner, func() { at.handleRefusal(r) })
	}
}

// handleRelease sends the scheduler's order to drop a prefix to the engine.
func (s *sim) handleRelease(r sched.Release) {
	e := s.engines[r.Endpoint]
	if e == nil {
		return
	}
	s.after(s.delay(0, e.zone), func() {
		e.release(cacheKey{r.Program, r.Branch})
	})
}

// toOwner delivers a message from a dispatcher to an owner.
func (s *sim) toOwner(o *owner, run func()) {
	s.after(s.delay(0, o.zone), func() { s.whenUp(o, run) })
}

// whenUp runs a function of an owner: at once, when a paused owner resumes, or never for a dead one.
func (s *sim) whenUp(o *owner, run func()) {
	switch {
	case o.dead:
	case s.now < o.pausedUntil:
		s.at(o.pausedUntil, func() { s.whenUp(o, run) })
	default:
		run()
	}
}

// toPool delivers a message from an owner to the dispatcher of a pool.
func (s *sim) toPool(p *pool, o *owner, ev sched.Event) {
	s.whenUp(o, func() {
		s.after(s.delay(o.zone, 0), func() {
			if d, ok := ev.(sched.Done); ok {
				s.removeInFlight(p, d.ID)
			}
			s.step(p, ev)
		})
	})
}

// removeInFlight removes an attempt from the pool's count of calls in flight.
func (s *sim) removeInFlight(p *pool, a id.Attempt) {
	if at := s.attempts[a]; at != nil && at.inFlight {
		at.inFlight = false
		p.inFlight[at.endpoint]--
	}
}

// reportOwnerLost tells both dispatchers that the owner's session is lost and stops counting its attempts
// as in flight.
func (s *sim) reportOwnerLost(o *owner) {
	for _, at := range s.attempts {
		if at.owner == o && at.inFlight {
			at.inFlight = false
			at.pool.inFlight[at.endpoint]--
		}
	}
	s.step(s.modelPool, sched.OwnerLost{Session: o.session})
	s.step(s.servicePool, sched.OwnerLost{Session: o.session})
}

// countWaste adds the unread tokens of a dropped entry to the engine's wasted tokens. When the branch or its
// program has finished, the entry at the branch's last endpoint is not wasted: no later call could have
// read it.
func (s *sim) countWaste(e *engine, en *entry) {
	p := s.byID[en.key.program]
	for _, b := range p.branches {
		if b.name == en.key.branch && (p.state == stateFinished || b.ended) && b.lastEndpoint == e.name {
			return
		}
	}
	e.wasted += en.unread
}
