package bench

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/sched"
)

// scenario is a load and the faults that are injected.
type scenario struct {
	name        string
	load        float64       // fraction of the capacity that measureCapacity returns
	reportDelay time.Duration // of the engines' load reports
	eventLoss   float64       // fraction of the cache events that are lost
	faults      func(*sim)    // schedules the faults
	flood       bool          // one team sends many programs, which are not counted in the figures of programs
	onlyByName  bool          // runs only when --scenario names it
}

const (
	normalReportDelay = 500 * time.Millisecond
	normalEventLoss   = 0.02
	sessionLostDelay  = 6 * time.Second  // from the last heartbeat until a session counts as lost
	takeoverDelay     = 7 * time.Second  // from the last heartbeat until another owner takes the programs over
	listUpdateDelay   = 10 * time.Second // until the platform's endpoint list drops dead endpoints
)

func noFaults(*sim) {}

// scenarios returns all scenarios in the order of the report.
func scenarios() []scenario {
	plain := func(name string, load float64) scenario {
		return scenario{name: name, load: load, reportDelay: normalReportDelay, eventLoss: normalEventLoss, faults: noFaults}
	}
	return []scenario{
		plain("load_0.7", 0.7), plain("load_1.0", 1.0), plain("load_1.2", 1.2), plain("load_2.0", 2.0),
		{name: "withdrawal", load: 1.0, reportDelay: normalReportDelay, eventLoss: normalEventLoss, faults: withdrawThird},
		{name: "faults", load: 0.7, reportDelay: 5 * time.Second, eventLoss: 0.2, faults: failZoneAndPauseOwner},
		{name: "bad_endpoints", load: 0.7, reportDelay: normalReportDelay, eventLoss: normalEventLoss, faults: degradeEngines, onlyByName: true},
		{name: "flood", load: 0.7, reportDelay: normalReportDelay, eventLoss: normalEventLoss, faults: noFaults, flood: true, onlyByName: true},
	}
}

// faultTime is the time at which the faults begin: halfway through the arrivals.
func faultTime(d deployment) time.Duration { return d.length / 2 }

// withdrawThird withdraws a third of the endpoints of both pools at faultTime. They finish their running
// calls.
func withdrawThird(s *sim) {
	s.at(faultTime(s.deploy), func() {
		for i, spec := range s.deploy.engines {
			if i%3 == 0 {
				s.markLeaving(s.modelPool, spec.name)
			}
		}
		for i, spec := range s.deploy.services {
			if i%3 == 0 {
				s.markLeaving(s.servicePool, spec.name)
			}
		}
	})
}

// markLeaving tells the pool's dispatcher that an endpoint is leaving.
func (s *sim) markLeaving(p *pool, name string) {
	p.leavingAt[name] = s.now
	s.step(p, sched.EndpointLeaving{Endpoint: name})
}

// failZoneAndPauseOwner kills the instances and endpoints of one zone and pauses an instance of another
// zone for 20 s. Its scenario also delays load reports and loses cache events.
func failZoneAndPauseOwner(s *sim) {
	t := faultTime(s.deploy)
	lostZone := s.deploy.zones - 1
	s.at(t, func() {
		s.pauseOwner(s.owners[0], 20*time.Second)
		for _, o := range s.owners {
			if o.zone == lostZone {
				s.killOwner(o)
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
	s.at(t+listUpdateDelay, func() { s.removeZoneEndpoints(lostZone) })
}

// pauseOwner stops an owner for d. The dispatchers learn that its session is lost, and its programs are
// taken over; it comes back with a new session.
func (s *sim) pauseOwner(o *owner, d time.Duration) {
	o.pausedUntil = s.now + d
	s.after(sessionLostDelay, func() { s.reportOwnerLost(o) })
	s.after(takeoverDelay, func() { s.takeOver(o) })
	s.after(d, func() { o.session = id.Session(o.session.Instance() + ".2") })
}

// killOwner stops an owner for good. Its programs are taken over.
func (s *sim) killOwner(o *owner) {
	o.dead = true
	s.after(sessionLostDelay, func() { s.reportOwnerLost(o) })
	s.after(takeoverDelay, func() { s.takeOver(o) })
}

// killService stops a service server; its calls fail when their owners notice.
func (s *sim) killService(v *service) {
	v.dead = true
	for _, a := range s.attemptsAt(s.servicePool, v.name) {
		s.after(failureNoticeDelay, a.handleFailure)
	}
}

// attemptsAt returns the attempts in flight at an endpoint, sorted by ID, so that runs with the same seed
// are the same.
func (s *sim) attemptsAt(p *pool, name string) []*attempt {
	var out []*attempt
	for _, a := range s.attempts {
		if a.pool == p && a.endpoint == name && a.inFlight && !a.ended {
			out = append(out, a)
		}
	}
	sortAttempts(out)
	return out
}

// removeZoneEndpoints configures both pools without the endpoints of a failed zone.
func (s *sim) removeZoneEndpoints(zone int) {
	for _, p := range []*pool{s.modelPool, s.servicePool} {
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

// degradeEngines makes one engine five times slower and lets another fail every call on arrival, both for
// a quarter of the run. The platform's endpoint list does not change, so the scheduler gets no notice.
func degradeEngines(s *sim) {
	t := faultTime(s.deploy)
	slow, broken := s.engines[s.deploy.engines[2].name], s.engines[s.deploy.engines[4].name]
	set := func(factor float64, failing bool) func() {
		return func() {
			slow.advance()
			slow.slowdown, broken.failing = factor, failing
			slow.schedule()
		}
	}
	s.at(t, set(5, true))
	s.at(t+s.deploy.length/4, set(1, false))
}
