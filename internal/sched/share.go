package sched

import (
	"time"

	"ragwortstile/internal/id"
)

// Bounds of the owed-share account, in units of the mean work of a call.
const (
	behindThreshold    = 1.0  // a duty that is behind by more is served first
	farBehindThreshold = 2.0  // a duty that is behind by more starts programs beyond the cache budget
	maxBehind          = 40.0 // what a duty can be owed at most
	maxAhead           = 2.0  // what borrowing can be held against a duty
	// The account aims above the owed share, since a duty that falls behind catches up only as fast
	// as its new programs come to their calls.
	maxShareFactor = 1.15
)

// duty is the queue and the share account of one duty over all owners.
type duty struct {
	Duty
	started, newProgram callHeap // calls of started programs; first calls of new programs
	waiting             int      // in the heaps above and parked at endpoints
	owedWork            float64  // work in seconds that its share of the pool's work was while it had calls
	givenWork           float64  // work in seconds that it got
	behind              float64  // work in seconds that the duty is owed; negative: it has borrowed
	workingSet          int64    // tokens of its started programs
	outputTokens        float64  // recent mean answer length
	programTime         float64  // s, recent mean time of a program from first submit to end
	startInterval       float64  // s, recent mean time between program starts while programs waited
	lastStart           time.Duration
	teams               map[string]*team
}

// team is the part of a duty's queue that belongs to one team.
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

// charge books work of a duty and what the duties with waiting calls are owed of it. An idle duty is
// owed nothing, which lends its share to the others.
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

// owed returns the duty that is furthest behind its owed share and has a call that can run.
func (s *Scheduler) owed() *duty {
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

// runnable tells whether the duty has a call that may be granted, apart from calls parked at endpoints.
func (s *Scheduler) runnable(d *duty) bool {
	return d.started.len() > 0 || (d.newProgram.len() > 0 && s.admits(d))
}

// nextOf returns the duty's call that is served first.
func (s *Scheduler) nextOf(d *duty) *call {
	c := d.started.head()
	if f := d.newProgram.head(); f != nil && (c == nil || before(f, c)) && s.admits(d) {
		return f
	}
	return c
}

// nextOverall returns the call that is served first over all duties.
func (s *Scheduler) nextOverall() *call {
	var best *call
	for _, d := range s.duties {
		if d.waiting == 0 {
			continue
		}
		if c := s.nextOf(d); c != nil && (best == nil || before(c, best)) {
			best = c
		}
	}
	return best
}

// work is the charge of a call: the mean of its time at the endpoint and of its tokens at the pool's
// mean speed. Time alone would charge a duty for slow endpoints, tokens alone would not charge it
// for places it holds.
func (s *Scheduler) work(total float64, uncached, output int64) float64 {
	if !s.cfg.Model {
		return total
	}
	tokens := float64(uncached)/s.poolPrefillRate + float64(output)*s.poolUnitTime
	return (total + tokens) / 2
}

// CacheUsage sums the prefix tokens of one team in the pool.
type CacheUsage struct {
	Team   string
	Filled int64 // computed into a cache
	Reused int64 // found in a cache
	Wasted int64 // filled, then evicted or released before reuse, as the scheduler knows it
}

func (s *Scheduler) cacheUsageOf(name string) *CacheUsage {
	a := s.cacheUsage[name]
	if a == nil {
		a = &CacheUsage{Team: name}
		s.cacheUsage[name] = a
	}
	return a
}

// CacheUsage returns the account of a team.
func (s *Scheduler) CacheUsage(team string) CacheUsage {
	if a := s.cacheUsage[team]; a != nil {
		return *a
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

// Waiting returns the number of calls that wait.
func (s *Scheduler) Waiting() int { return s.waiting }

// State tells whether an attempt is known and whether it was granted.
func (s *Scheduler) State(a id.Attempt) (known, granted bool) {
	c := s.calls[a]
	return c != nil, c != nil && c.ep != nil
}
