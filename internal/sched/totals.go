package sched

// DutyWork is the work in seconds that a duty was owed and given in a pool since the scheduler started. A
// duty is owed its share of the work that was charged while it had waiting calls or was served.
type DutyWork struct {
	Duty        string
	Owed, Given float64
}

// WorkByDuty returns the work of every duty that the scheduler has seen, and the pool's total in seconds.
func (s *Scheduler) WorkByDuty() (duties []DutyWork, total float64) {
	for _, d := range s.duties {
		duties = append(duties, DutyWork{Duty: d.Name, Owed: d.owedWork, Given: d.givenWork})
	}
	return duties, s.totalWork
}

// recordWork adds to the sums that WorkByDuty returns. The correction at the end of a call can be negative.
func (s *Scheduler) recordWork(served *duty, work float64) {
	s.totalWork += work
	served.givenWork += work
	for _, d := range s.duties {
		if d.waiting > 0 || d == served {
			d.owedWork += d.Share * work
		}
	}
}

// TotalCacheUsage returns the sum of the cache usage of all teams.
func (s *Scheduler) TotalCacheUsage() CacheUsage {
	var sum CacheUsage
	for _, u := range s.cacheUsage {
		sum.Filled += u.Filled
		sum.Reused += u.Reused
		sum.Wasted += u.Wasted
	}
	return sum
}

// EndpointState is the scheduler's state of an endpoint.
type EndpointState struct {
	Name     string
	Zone     string
	InFlight int
	Limit    int // calls that it may have in flight now; 0 while it is leaving or its circuit breaker is open
	Leaving  bool
	Open     bool // the circuit breaker lets no calls through, apart from a probe
}

// Endpoints returns the state of the configured endpoints, in the order of the configuration.
func (s *Scheduler) Endpoints() []EndpointState {
	out := make([]EndpointState, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		out = append(out, EndpointState{Name: e.Name, Zone: e.Zone, InFlight: e.inFlight, Limit: s.limit(e),
			Leaving: e.Leaving, Open: e.breakerPause > 0})
	}
	return out
}
