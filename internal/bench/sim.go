package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/sched"
)

// sim runs one policy on one trace in virtual time.
type sim struct {
	now      time.Duration
	events   eventHeap
	serial   uint64
	rng      *rand.Rand // network and report noise; the same seed for every policy
	deploy   deployment
	scenario scenario
	policy   string
	opt      sched.Options
	model    *pool
	plain    *pool
	engines  map[string]*engine
	services map[string]*service
	owners   []*owner
	programs []*program
	byID     map[id.Program]*program
	attempts map[id.Attempt]*attempt
	open     int // programs not yet ended
	meter    meter
	promises promises
}

// pool is a dispatcher with its endpoints as the platform's list shows them.
type pool struct {
	disp      dispatcher
	cfg       sched.Config
	inFlight  map[string]int
	leavingAt map[string]time.Duration
	steps     int
	cpu       time.Duration
	actions   []sched.Action
}

// owner is an instance that owns programs and sends their messages.
type owner struct {
	index       int
	zone        int
	session     id.Session
	dead        bool
	pausedUntil time.Duration
}

// event is a function to run at a time. Events of the same time run in the order of their creation.
type event struct {
	at     time.Duration
	serial uint64
	run    func()
}

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

func (s *sim) at(t time.Duration, run func()) {
	s.serial++
	s.events.push(event{at: max(t, s.now), serial: s.serial, run: run})
}

func (s *sim) after(d time.Duration, run func()) { s.at(s.now+d, run) }

// newSim prepares a run. The dispatcher of each pool is in zone 0.
func newSim(d deployment, sc scenario, policy string, opt sched.Options, seed uint64) *sim {
	s := &sim{
		deploy: d, scenario: sc, policy: policy, opt: opt,
		rng:     rand.New(rand.NewPCG(seed, 0x6e6f6973)),
		engines: map[string]*engine{}, services: map[string]*service{},
		byID: map[id.Program]*program{}, attempts: map[id.Attempt]*attempt{},
	}
	for _, spec := range d.engines {
		e := newEngine(s, spec)
		e.onEvict = s.evicted
		s.engines[spec.name] = e
	}
	for _, v := range d.services {
		s.services[v.name] = &service{name: v.name, zone: v.zone, limit: v.limit, speed: v.speed, sim: s, jobs: map[*job]bool{}}
	}
	for i := range d.instances {
		s.owners = append(s.owners, &owner{index: i, zone: i % d.zones, session: id.Session(fmt.Sprintf("instance-%d.1", i+1))})
	}
	s.model = s.newPool(d.schedConfig(true, opt))
	s.plain = s.newPool(d.schedConfig(false, opt))
	s.meter = newMeter(d, sc)
	s.promises = newPromises()
	return s
}

func (s *sim) newPool(cfg sched.Config) *pool {
	return &pool{
		disp: newDispatcher(s.policy, cfg), cfg: cfg,
		inFlight: map[string]int{}, leavingAt: map[string]time.Duration{},
	}
}

// delay is the one-way network delay between two zones.
func (s *sim) delay(a, b int) time.Duration {
	if a == b {
		return 100 * time.Microsecond
	}
	return s.deploy.zoneDelay
}

// run plays the trace until every program has ended or `limit` has passed.
func (s *sim) run(trace []*programSpec, limit time.Duration) {
	for _, spec := range trace {
		p := newProgram(s, spec)
		s.programs = append(s.programs, p)
		s.byID[spec.id] = p
		s.open++
		s.at(spec.arrival, p.arrive)
	}
	s.scenario.faults(s)
	s.at(tickInterval, s.tick)
	s.at(reportInterval, s.reportLoad)
	for len(s.events) > 0 && s.open > 0 {
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

// tick advances both dispatchers and samples the demand of each duty.
func (s *sim) tick() {
	s.step(s.model, sched.Tick{})
	s.step(s.plain, sched.Tick{})
	s.meter.sample(s)
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
			CacheUsed: e.used, Generation: e.generation,
		}
		s.after(s.scenario.reportDelay, func() { s.step(s.model, r) })
	}
	s.after(reportInterval, s.reportLoad)
}

// evicted publishes a cache event, late and sometimes not at all.
func (s *sim) evicted(e *engine, en *entry) {
	if s.rng.Float64() < s.scenario.eventLoss {
		return
	}
	ev := sched.CacheEvent{Endpoint: e.name, Kind: sched.CacheEvicted, Program: en.key.program, Branch: en.key.branch, Tokens: en.tokens}
	s.after(seconds(0.2+1.3*s.rng.Float64()), func() { s.step(s.model, ev) })
}

// step passes an event to a pool's dispatcher and carries out its actions. Steps are not nested.
func (s *sim) step(p *pool, ev sched.Event) {
	begin := time.Now()
	p.actions = p.disp.Step(s.now, ev, p.actions[:0])
	p.cpu += time.Since(begin)
	p.steps++
	for _, a := range p.actions {
		switch a := a.(type) {
		case sched.Grant:
			s.granted(p, a)
		case sched.Refuse:
			s.refused(p, a)
		case sched.Release:
			s.released(a)
		}
	}
}

func (s *sim) granted(p *pool, g sched.Grant) {
	at := s.attempts[g.Request.ID]
	p.inFlight[g.Endpoint]++
	s.promises.grant(s, p, g, at)
	if at == nil {
		return
	}
	at.counted, at.endpoint = true, g.Endpoint
	s.toOwner(at.owner, func() { at.dispatch(g) })
}

func (s *sim) refused(p *pool, r sched.Refuse) {
	at := s.attempts[r.Request.ID]
	s.promises.refuse(at)
	s.meter.refusals++
	if at != nil {
		s.toOwner(at.owner, func() { at.refused(r) })
	}
}

func (s *sim) released(r sched.Release) {
	e := s.engines[r.Endpoint]
	if e == nil {
		return
	}
	s.after(s.delay(0, e.zone), func() {
		e.release(cacheKey{r.Program, r.Branch})
	})
}

// toOwner delivers a message from a dispatcher to an owner. A paused owner reads it when it resumes;
// a dead one never does.
func (s *sim) toOwner(o *owner, run func()) {
	s.after(s.delay(0, o.zone), func() { s.whenUp(o, run) })
}

func (s *sim) whenUp(o *owner, run func()) {
	switch {
	case o.dead:
	case s.now < o.pausedUntil:
		s.at(o.pausedUntil, func() { s.whenUp(o, run) })
	default:
		run()
	}
}

// toPool delivers a message from an owner to a dispatcher.
func (s *sim) toPool(p *pool, o *owner, ev sched.Event) {
	s.whenUp(o, func() {
		s.after(s.delay(o.zone, 0), func() {
			if d, ok := ev.(sched.Done); ok {
				s.uncount(p, d.ID)
			}
			s.step(p, ev)
		})
	})
}

// uncount takes an attempt off the bench's own count of calls in flight.
func (s *sim) uncount(p *pool, a id.Attempt) {
	if at := s.attempts[a]; at != nil && at.counted {
		at.counted = false
		p.inFlight[at.endpoint]--
	}
}

// dropOwner tells both dispatchers that a session is lost.
func (s *sim) dropOwner(o *owner) {
	for _, at := range s.attempts {
		if at.owner == o && at.counted {
			at.counted = false
			at.pool.inFlight[at.endpoint]--
		}
	}
	s.step(s.model, sched.OwnerLost{Session: o.session})
	s.step(s.plain, sched.OwnerLost{Session: o.session})
}

// countWaste adds the unread tokens of a dropped copy. The last copy of a branch is no waste when the
// branch or its program has finished: nothing could have read it.
func (s *sim) countWaste(e *engine, en *entry) {
	p := s.byID[en.key.program]
	for _, b := range p.branches {
		if b.name == en.key.branch && (p.state == stateFinished || b.ended) && b.last == e.name {
			return
		}
	}
	e.wasted += en.unreused
}
