// Package quarantine decides which requests are not run because endpoints crash when they run them. It does no I/O and
// reads no clock.
//
// The load pattern it answers: the same request comes again and again, in other programs and through all instances, and
// each endpoint that runs it ends, together with all other requests there. Instances report the requests that were in
// progress at endpoints that ended. A request that was in progress at several crashes, and was not run by an endpoint
// that goes on, is quarantined. Requests that were there by chance are not: they are served when they come again.
//
// Requests are the same if their paths and bodies are. Where a body repeats what came before in its program, the path
// alone is all that is common to them; a path counts for itself as long as it has never been served.
package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"
)

const (
	// crashLimit is the number of crashes with a request in progress from which on it is quarantined. The platform
	// allows a request no more.
	crashLimit = 3
	// memory is how long a crash counts.
	memory = 5 * time.Minute
	// sameCrash is the time within which reports about an endpoint are about the same crash. An endpoint takes longer
	// to start again.
	sameCrash = time.Second
	// sameMoment is the time within which crashes of several endpoints count once, unless a request was sent to one of
	// them since the other had ended with it. Endpoints that end together may have another cause in common, and some
	// requests are always in progress at several of them.
	sameMoment = 100 * time.Millisecond
	// minPeriod and maxPeriod bound how long a request is quarantined: twice as long each time.
	minPeriod = time.Minute
	maxPeriod = time.Hour
	// maxSuspects bounds what is remembered of crashes, and maxServedPaths the paths that are known to have been served.
	maxSuspects    = 8192
	maxServedPaths = 4096
)

// Digest identifies a request as its caller sent it.
type Digest struct {
	Path uint64 // hash of method, host and path
	Body uint64 // hash of these and the body
}

// String returns the digest for logs.
func (d Digest) String() string { return strconv.FormatUint(d.Body, 16) }

// Crash is the end of an endpoint with a request in progress.
type Crash struct {
	Digest     Digest
	PathServed bool // requests with the path have been served, so it says nothing about the request
	Endpoint   string
	Earlier    []string // endpoints that broke the connection off in earlier attempts at the same request
	At         time.Time
}

// follows reports whether the request was sent to the endpoint because another one had broken the connection off.
func (c Crash) follows(other Crash) bool { return slices.Contains(c.Earlier, other.Endpoint) }

// suspect is a request, or a path, that was in progress at crashes.
type suspect struct {
	crashes []Crash
	until   time.Time     // end of the quarantine
	period  time.Duration // of the last quarantine; 0 if there was none
}

// add records a crash, unless the same one is known.
func (s *suspect) add(c Crash, now time.Time) {
	for _, known := range s.crashes {
		gap := known.At.Sub(c.At).Abs()
		if gap < sameCrash && known.Endpoint == c.Endpoint || gap < sameMoment && !c.follows(known) && !known.follows(c) {
			return
		}
	}
	s.crashes = append(s.crashes, c)
	limit := crashLimit
	if s.period > 0 {
		limit = 1 // it has crashed an endpoint again after its quarantine
	}
	if len(s.crashes) >= limit && !s.until.After(now) {
		s.period = min(max(2*s.period, minPeriod), maxPeriod)
		s.until = c.At.Add(s.period)
	}
}

// List holds the requests that were in progress at crashes. It is not safe for concurrent use.
type List struct {
	suspects map[uint64]*suspect // by hash of a path or of a request
	served   [2]map[uint64]bool  // paths that have been served, the newer ones first
}

// NewList returns an empty List.
func NewList() *List {
	return &List{suspects: make(map[uint64]*suspect), served: [2]map[uint64]bool{make(map[uint64]bool), nil}}
}

// Until returns the end of the quarantine of a request, and false if it may be run.
func (l *List) Until(d Digest, now time.Time) (time.Time, bool) {
	var until time.Time
	for _, key := range [...]uint64{d.Path, d.Body} {
		if s := l.suspects[key]; s != nil && s.until.After(now) && s.until.After(until) {
			until = s.until
		}
	}
	return until, !until.IsZero()
}

// PathServed reports whether a request with the path of another one has been served.
func (l *List) PathServed(d Digest) bool { return l.served[0][d.Path] || l.served[1][d.Path] }

// Add records a crash. It reports whether the request is now quarantined and was not before.
func (l *List) Add(c Crash, now time.Time) bool {
	if now.Sub(c.At) > memory {
		return false
	}
	_, before := l.Until(c.Digest, now)
	l.suspect(c.Digest.Body).add(c, now)
	if c.PathServed {
		l.markServed(c.Digest.Path)
	} else if !l.PathServed(c.Digest) {
		l.suspect(c.Digest.Path).add(c, now)
	}
	l.bound()
	_, after := l.Until(c.Digest, now)
	return after && !before
}

func (l *List) suspect(key uint64) *suspect {
	s := l.suspects[key]
	if s == nil {
		s = &suspect{}
		l.suspects[key] = s
	}
	return s
}

// Served records that a request was run and its endpoint goes on. It reports whether it, or its path, was remembered.
func (l *List) Served(d Digest) bool {
	remembered := l.suspects[d.Body] != nil || l.suspects[d.Path] != nil
	delete(l.suspects, d.Body)
	l.markServed(d.Path)
	return remembered
}

func (l *List) markServed(path uint64) {
	delete(l.suspects, path)
	if l.served[0][path] {
		return
	}
	if len(l.served[0]) >= maxServedPaths/2 {
		l.served[0], l.served[1] = make(map[uint64]bool), l.served[0]
	}
	l.served[0][path] = true
}

// Evidence returns the crashes of what is quarantined, in the order of their times, for an instance that has not seen
// them.
func (l *List) Evidence(now time.Time) []Crash {
	var out []Crash
	for _, s := range l.suspects {
		if s.until.After(now) {
			out = append(out, s.crashes...)
		}
	}
	slices.SortFunc(out, func(a, b Crash) int { return a.At.Compare(b.At) })
	return out
}

// EvidenceOf returns the crashes of a request if it is quarantined.
func (l *List) EvidenceOf(d Digest, now time.Time) []Crash {
	var out []Crash
	for _, key := range [...]uint64{d.Path, d.Body} {
		if s := l.suspects[key]; s != nil && s.until.After(now) {
			out = append(out, s.crashes...)
		}
	}
	return out
}

// Quarantined returns how many requests and paths are quarantined.
func (l *List) Quarantined(now time.Time) int {
	n := 0
	for _, s := range l.suspects {
		if s.until.After(now) {
			n++
		}
	}
	return n
}

// Prune forgets crashes that no longer count, and what had its last quarantine longer ago than that took.
func (l *List) Prune(now time.Time) {
	for key, s := range l.suspects {
		s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return now.Sub(c.At) > memory && now.After(s.until) })
		if len(s.crashes) == 0 && now.After(s.until.Add(s.period)) {
			delete(l.suspects, key)
		}
	}
}

// bound forgets a part of what was never quarantined if too much is remembered: first what has the fewest crashes, and
// the oldest of those.
func (l *List) bound() {
	if len(l.suspects) <= maxSuspects {
		return
	}
	type entry struct {
		key     uint64
		crashes int
		last    time.Time
	}
	entries := make([]entry, 0, len(l.suspects))
	for key, s := range l.suspects {
		if n := len(s.crashes); s.period == 0 && n > 0 {
			entries = append(entries, entry{key, n, s.crashes[n-1].At})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), a.last.Compare(b.last))
	})
	for _, e := range entries[:min(len(entries), maxSuspects/4)] {
		delete(l.suspects, e.key)
	}
}
