package bench

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/sched"
)

// scenario is a load and a plan of faults.
type scenario struct {
	name        string
	load        float64 // in parts of the measured capacity
	reportDelay time.Duration
	eventLoss   float64
	faults      func(*sim)
	flood       bool // one team sends many programs; they are not in the latencies
	extra       bool // runs only when it is named
}

const (
	normalReportDelay = 500 * time.Millisecond
	normalEventLoss   = 0.02
	lostAfter         = 6 * time.Second // without heartbeats until a session counts as lost
	takeOverAfter     = 7 * time.Second
	listDelay         = 10 * time.Second // until the platform's list drops dead endpoints
)

func noFaults(*sim) {}

func scenarios() []scenario {
	plain := func(name string, load float64) scenario {
		return scenario{name: name, load: load, reportDelay: normalReportDelay, eventLoss: normalEventLoss, faults: noFaults}
	}
	return []scenario{
		plain("load_0.7", 0.7), plain("load_1.0", 1.0), plain("load_1.2", 1.2), plain("load_2.0", 2.0),
		{name: "withdrawal", load: 1.0, reportDelay: normalReportDelay, eventLoss: normalEventLoss, faults: withdrawThird},
		{name: "faults", load: 0.7, reportDelay: 5 * time.Second, eventLoss: 0.2, faults: allFaults},
		{name: "bad_endpoints", load: 0.7, reportDelay: normalReportDelay, eventLoss: normalEventLoss, faults: badEndpoints, extra: true},
		{name: "flood", load: 0.7, reportDelay: normalReportDelay, eventLoss: normalEventLoss, faults: noFaults, flood: true, extra: true},
	}
}

// faultTime is when the faults of a run begin: at the middle of the arrivals.
func faultTime(d deployment) time.Duration { return d.length / 2 }

// withdrawThird takes a third of the endpoints away at the middle of the run. They finish what they run.
func withdrawThird(s *sim) {
	s.at(faultTime(s.deploy), func() {
		for i, spec := range s.deploy.engines {
			if i%3 == 0 {
				s.leave(s.model, spec.name)
			}
		}
		for i, spec := range s.deploy.services {
			if i%3 == 0 {
				s.leave(s.plain, spec.name)
			}
		}
	})
}

func (s *sim) leave(p *pool, name string) {
	p.leavingAt[name] = s.now
	s.step(p, sched.EndpointLeaving{Endpoint: name})
}

// allFaults stops one zone with its instances and endpoints and pauses one other instance for 20 s,
// while load reports are late and cache events are lost.
func allFaults(s *sim) {
	t := faultTime(s.deploy)
	lostZone := s.deploy.zones - 1
	s.at(t, func() {
		s.pause(s.owners[0], 20*time.Second)
		for _, o := range s.owners {
			if o.zone == lostZone {
				s.loseOwner(o)
			}
		}
		for _, spec := range s.deploy.engines {
			if spec.zone == lostZone {
				s.engines[spec.name].kill()
			}
		}
		for _, spec := range s.deploy.services {
			if spec.zone == lostZone {
				s.killService(s.services[spec.name])
			}
		}
	})
	s.at(t+listDelay, func() { s.dropDead(lostZone) })
}

func (s *sim) pause(o *owner, d time.Duration) {
	o.pausedUntil = s.now + d
	s.after(lostAfter, func() { s.dropOwner(o) })
	s.after(takeOverAfter, func() { s.takeOver(o) })
	s.after(d, func() { o.session = id.Session(o.session.Instance() + ".2") })
}

func (s *sim) loseOwner(o *owner) {
	o.dead = true
	s.after(lostAfter, func() { s.dropOwner(o) })
	s.after(takeOverAfter, func() { s.takeOver(o) })
}

func (s *sim) killService(v *service) {
	v.dead = true
	for _, a := range s.attemptsAt(s.plain, v.name) {
		s.after(noticeDelay, a.failed)
	}
}

// attemptsAt returns the attempts in flight at an endpoint in the order of their IDs.
func (s *sim) attemptsAt(p *pool, name string) []*attempt {
	var out []*attempt
	for _, a := range s.attempts {
		if a.pool == p && a.endpoint == name && a.counted && !a.over {
			out = append(out, a)
		}
	}
	sortAttempts(out)
	return out
}

// dropDead configures both pools without the endpoints of a lost zone.
func (s *sim) dropDead(zone int) {
	for _, p := range []*pool{s.model, s.plain} {
		cfg := p.cfg
		cfg.Endpoints = nil
		for _, e := range p.cfg.Endpoints {
			if e.Zone == zoneName(zone) {
				p.leavingAt[e.Name] = s.now
				continue
			}
			cfg.Endpoints = append(cfg.Endpoints, e)
		}
		p.cfg = cfg
		s.step(p, sched.Configure{Config: cfg})
	}
}

// badEndpoints makes one engine five times slower and lets another fail every call at once, both for
// a quarter of the run and without a word from the platform's list.
func badEndpoints(s *sim) {
	t := faultTime(s.deploy)
	slow, broken := s.engines[s.deploy.engines[2].name], s.engines[s.deploy.engines[4].name]
	set := func(factor float64, failing bool) func() {
		return func() {
			slow.advance()
			slow.slow, broken.failing = factor, failing
			slow.schedule()
		}
	}
	s.at(t, set(5, true))
	s.at(t+s.deploy.length/4, set(1, false))
}
