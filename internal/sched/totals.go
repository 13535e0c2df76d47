package sched

// DutyWork is what a duty was owed and given in a pool since the scheduler started, in seconds of
// work. A duty is owed its share of the work that was granted while it had calls.
type DutyWork struct {
	Duty        string
	Owed, Given float64
}

// WorkByDuty returns the work of all duties of the manifest, and the pool's total.
func (s *Scheduler) WorkByDuty() (duties []DutyWork, total float64) {
	for _, d := range s.duties {
		duties = append(duties, DutyWork{Duty: d.Name, Owed: d.owedWork, Given: d.givenWork})
	}
	return duties, s.totalWork
}

// recordWork books work for Work. A correction after the end of a call can be negative.
func (s *Scheduler) recordWork(served *duty, work float64) {
	s.totalWork += work
	served.givenWork += work
	for _, d := range s.duties {
		if d.waiting > 0 || d == served {
			d.owedWork += d.Share * work
		}
	}
}

// TotalCacheUsage returns the account of all teams together.
func (s *Scheduler) TotalCacheUsage() CacheUsage {
	var sum CacheUsage
	for _, a := range s.cacheUsage {
		sum.Filled += a.Filled
		sum.Reused += a.Reused
		sum.Wasted += a.Wasted
	}
	return sum
}

// EndpointState is an endpoint as the scheduler sees it.
type EndpointState struct {
	Name     string
	Zone     string
	InFlight int
	Limit    int // calls that it may have now; 0 while it is leaving or its circuit breaker is open
	Leaving  bool
	Open     bool // the circuit breaker keeps calls away, apart from a probe
}

// Endpoints returns the endpoints of the configuration in its order.
func (s *Scheduler) Endpoints() []EndpointState {
	out := make([]EndpointState, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		out = append(out, EndpointState{Name: e.Name, Zone: e.Zone, InFlight: e.inFlight, Limit: s.limit(e),
			Leaving: e.Leaving, Open: e.breakerPause > 0})
	}
	return out
}
