package sched

import (
	"time"

	"ragwortstile/internal/id"
)

// Thresholds and bounds of duty.behind, in units of the mean work of a call. Each duty has a share of the pool's
// work, which the manifest sets. While a duty has waiting calls or is served, its share of all work of the
// pool is added to duty.behind, and the work that it receives is subtracted.
const (
	behindThreshold    = 1.0  // a duty that is behind by more is served first
	farBehindThreshold = 2.0  // a duty that is behind by more may start programs beyond the cache budget
	maxBehind          = 40.0 // upper bound of the work that a duty is owed
	maxAhead           = 2.0  // upper bound of the work received beyond its share that counts against a duty
	// maxShareFactor is the upper bound of the factor on owed shares, see Scheduler.shareFactor. The scheduler
	// aims above the owed share, because a duty that falls behind catches up only as fast as its new programs
	// submit calls.
	maxShareFactor = 1.15
)

// duty holds the waiting calls of one duty, from all owners, and the work that it was owed and received.
type duty struct {
	Duty
	started, newProgram callHeap // calls of started programs; first calls of new programs
	waiting             int      // calls in the heaps above and calls parked at endpoints
	owedWork            float64  // s, its share of the pool's work while it had waiting calls or was served
	givenWork           float64  // s, work that it received
	behind              float64  // s, work that it is owed now; negative: it has received more than its share
	workingSet          int64    // tokens of its started programs
	outputTokens        float64  // tokens, recent mean output of a call
	programTime         float64  // s, recent mean time of a program from its opening to its end
	startInterval       float64  // s, recent mean time between program starts while programs waited
	lastStart           time.Duration
	teams               map[string]*team
}

// team holds what one team has waiting in a duty, and the cache usage of the team in the pool.
type team struct {
	name    string
	waiting int
	usage   *CacheUsage
}

func (s *Scheduler) dutyOf(name string) *duty {
	d := s.dutyByName[name]
	if d == nil {
		d = &duty{Duty: Duty{Name: name}, teams: map[string]*team{}, outputTokens: 300}
		s.dutyByName[name] = d
		s.duties = append(s.duties, d)
	}
	return d
}

func (s *Scheduler) teamOf(d *duty, name string) *team {
	t := d.teams[name]
	if t == nil {
		t = &team{name: name, usage: s.cacheUsageOf(name)}
		d.teams[name] = t
	}
	return t
}

// charge accounts for work that a duty received and for the shares of it that duties with waiting calls are
// owed. A duty without waiting calls is owed nothing, and what it was owed before is forgotten, so that the
// others can use its share. work is negative if it corrects an estimate that was too high.
func (s *Scheduler) charge(served *duty, work float64) {
	s.recordWork(served, work)
	if s.opt.NoShares || work == 0 {
		return
	}
	unit := s.meanWork
	for _, d := range s.duties {
		if d.waiting > 0 || d == served {
			d.behind += s.shareFactor * d.Share * work
		} else if d.behind > 0 {
			d.behind = 0
		}
		if d == served {
			d.behind -= work
		}
		d.behind = min(max(d.behind, -maxAhead*unit), maxBehind*unit)
	}
}

// mostOwedDuty returns the duty that is furthest behind relative to its share and has a call that may be
// granted, or nil if no duty is behind.
func (s *Scheduler) mostOwedDuty() *duty {
	if s.opt.NoShares {
		return nil
	}
	var best *duty
	for _, d := range s.duties {
		if d.Share <= 0 || d.behind <= behindThreshold*s.meanWork || !s.runnable(d) {
			continue
		}
		if best == nil || d.behind*best.Share > best.behind*d.Share {
			best = d
		}
	}
	return best
}

// runnable reports whether the duty has a call that may be granted, not counting calls parked at endpoints.
func (s *Scheduler) runnable(d *duty) bool {
	return d.started.len() > 0 || (d.newProgram.len() > 0 && s.admits(d))
}

// nextCall returns the call of the duty that is served first.
func (s *Scheduler) nextCall(d *duty) *call {
	c := d.started.head()
	if f := d.newProgram.head(); f != nil && (c == nil || before(f, c)) && s.admits(d) {
		return f
	}
	return c
}

// nextOverall returns the call that is served first among all duties.
func (s *Scheduler) nextOverall() *call {
	var best *call
	for _, d := range s.duties {
		if d.waiting == 0 {
			continue
		}
		if c := s.nextCall(d); c != nil && (best == nil || before(c, best)) {
			best = c
		}
	}
	return best
}

// work returns the work in seconds to charge for a call: the mean of its time at the endpoint and of the time
// that its tokens take at the pool's mean speed. Time alone would charge a duty for slow endpoints, tokens
// alone would not charge it for the capacity that it occupies. In pools without model engines it is the time
// at the endpoint.
func (s *Scheduler) work(total float64, uncached, output int64) float64 {
	if !s.cfg.Model {
		return total
	}
	tokens := float64(uncached)/s.poolPrefillRate + float64(output)*s.poolUnitTime
	return (total + tokens) / 2
}

// CacheUsage counts the prefix tokens of one team in the pool.
type CacheUsage struct {
	Team   string
	Filled int64 // computed and put into a cache
	Reused int64 // read from a cache
	Wasted int64 // computed, then evicted or released before reuse, as far as the scheduler knows
}

func (s *Scheduler) cacheUsageOf(name string) *CacheUsage {
	u := s.cacheUsage[name]
	if u == nil {
		u = &CacheUsage{Team: name}
		s.cacheUsage[name] = u
	}
	return u
}

// CacheUsage returns the cache usage of a team.
func (s *Scheduler) CacheUsage(team string) CacheUsage {
	if u := s.cacheUsage[team]; u != nil {
		return *u
	}
	return CacheUsage{Team: team}
}

// InFlight returns the number of calls that count against an endpoint's limit.
func (s *Scheduler) InFlight(endpoint string) int {
	if e := s.endpointByName[endpoint]; e != nil {
		return e.inFlight
	}
	return 0
}

// Waiting returns the number of waiting calls.
func (s *Scheduler) Waiting() int { return s.waiting }

// State reports whether an attempt is waiting or running here, and whether it was granted.
func (s *Scheduler) State(a id.Attempt) (known, granted bool) {
	c := s.calls[a]
	return c != nil, c != nil && c.ep != nil
}
