package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// frozenAfter is the time without a call of Tick after which the issuer may have been frozen. Another one may have
	// taken over in the meantime, so all buckets are emptied.
	frozenAfter = 500 * time.Millisecond
	// freshFor is the time after the start of a bucket in which requests may wait for longer, since it started empty.
	freshFor = 2 * time.Second
	// freshUntil is the content of the bucket, in seconds of the rate, at which it is no longer fresh.
	freshUntil = 0.1
	// Largest reserve for the requests of begun programs before which first turns come, and that before which requests
	// of looping programs come, as parts of the bucket.
	maxReserve  = 0.5
	loopReserve = 0.75
	// extraAbove is the part of the bucket above which requests are granted that an instance only expects.
	extraAbove = 0.5
	// maxLeases bounds the leases of a bucket of which unused requests may be credited back.
	maxLeases = 1024
	// maxExtra bounds the expected requests of a lease.
	maxExtra = 64
)

// Want is what an instance asks for.
type Want struct {
	Need     [Classes]int // requests that wait
	Extra    int          // further requests of class Begun that are expected within the life of the lease
	Credits  []Credit
	Served   []uint64 // hashes of programs for each request that was sent since the last Want
	Unknown  []uint64 // hashes of programs of waiting requests of class First
	OwnShare bool     // the instance issues its own share, as earlier answers did not arrive
}

// Credit gives back unused requests of a lease.
type Credit struct {
	Lease uint64
	N     int
}

// Answer is the issuer's answer to a Want.
type Answer struct {
	Lease      uint64 // of the granted requests; 0 if there are none
	Granted    [Classes]int
	RetryAfter [Classes]time.Duration // when a request that wasn't granted may be; 0 if all were
	Fresh      bool                   // the issuer has just started with an empty bucket
	Begun      []uint64               // programs of Unknown that have begun
	Loops      []uint64               // programs of Served and Unknown that loop without end
}

// Issuer grants leases of requests for all instances. It is not safe for concurrent use.
type Issuer struct {
	buckets map[string]*bucket // by team
	lease   uint64             // last one
	ticked  time.Time
}

type bucket struct {
	limit    Limit
	tokens   float64
	at       time.Time // up to when tokens were added
	started  time.Time
	fresh    bool
	denied   [Classes][]denial // that were told to ask again later
	leases   map[uint64]lease
	programs *Programs
}

// denial is a number of requests that an instance asks for again at a time.
type denial struct {
	n     int
	until time.Time
}

type lease struct {
	n  int
	at time.Time
}

// NewIssuer returns an Issuer. firstLease separates its leases from those of earlier issuers, which must not be credited
// to it.
func NewIssuer(firstLease uint64) *Issuer {
	return &Issuer{buckets: make(map[string]*bucket), lease: firstLease}
}

// Tick is called at regular intervals well below frozenAfter. It reports whether the buckets were emptied.
func (i *Issuer) Tick(now time.Time) bool {
	frozen := !i.ticked.IsZero() && now.Sub(i.ticked) > frozenAfter
	i.ticked = now
	if frozen {
		clear(i.buckets)
	}
	return frozen
}

// Begin starts to issue for a team, with no more than the start allowance: another issuer may have granted leases until
// now.
func (i *Issuer) Begin(team string, l Limit, terms Terms, now time.Time) {
	if i.buckets[team] == nil {
		i.start(team, l, now).tokens = terms.Start
	}
}

func (i *Issuer) start(team string, l Limit, now time.Time) *bucket {
	b := &bucket{limit: l, at: now, started: now, fresh: true, leases: make(map[uint64]lease), programs: NewPrograms()}
	i.buckets[team] = b
	return b
}

// Since returns since when the issuer has issued for a team without a break, and the present if it doesn't.
func (i *Issuer) Since(team string, now time.Time) time.Time {
	if b := i.buckets[team]; b != nil {
		return b.started
	}
	return now
}

// End ceases to issue for a team.
func (i *Issuer) End(team string) { delete(i.buckets, team) }

// Retain ceases to issue for the teams for which keep returns false.
func (i *Issuer) Retain(keep func(team string) bool) {
	for team := range i.buckets {
		if !keep(team) {
			delete(i.buckets, team)
		}
	}
}

// Grant decides on a Want. share is the part of the limit that this issuer may grant.
func (i *Issuer) Grant(team string, l Limit, terms Terms, share float64, w Want, now time.Time) Answer {
	if now.Sub(i.ticked) > frozenAfter {
		i.Tick(now)
	}
	b := i.buckets[team]
	if b == nil {
		b = i.start(team, l, now)
	}
	terms.Rate *= share
	// Two issuers, each with a part of the instances, must not fill a bucket each; one that never holds a whole request
	// would grant nothing.
	terms.Bucket = max(terms.Bucket*share, min(terms.Bucket, 1))
	b.refill(l, terms, now)
	b.credit(w.Credits, terms, now)
	var a Answer
	b.notePrograms(w, &a, now)
	granted := 0
	for class := range Classes {
		a.Granted[class] = min(max(w.Need[class], 0), b.above(b.reserve(class, terms)))
		b.tokens -= float64(a.Granted[class])
		granted += a.Granted[class]
		if missing := w.Need[class] - a.Granted[class]; missing > 0 {
			a.RetryAfter[class] = b.retryAfter(class, missing, b.reserve(class, terms), terms.Rate, now)
		}
	}
	b.programs.Begin(a.Granted[First])
	if granted == total(w.Need) {
		extra := min(max(w.Extra, 0), maxExtra, b.above(extraAbove*terms.Bucket))
		b.tokens -= float64(extra)
		a.Granted[Begun] += extra
		granted += extra
	}
	a.Fresh = b.fresh
	if granted > 0 {
		i.lease++
		a.Lease = i.lease
		b.remember(a.Lease, lease{n: granted, at: now}, terms, now)
	}
	return a
}

func total(counts [Classes]int) int {
	n := 0
	for _, c := range counts {
		n += max(c, 0)
	}
	return n
}

// refill adds the tokens since the last call. The tokens of a higher limit don't count for a lower one.
func (b *bucket) refill(l Limit, terms Terms, now time.Time) {
	if l.PerSecond < b.limit.PerSecond || l.Burst < b.limit.Burst {
		b.tokens, b.at = 0, now
	}
	b.limit = l
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.tokens += terms.Rate * elapsed
		b.at = now
	}
	b.tokens = min(b.tokens, terms.Bucket)
	if b.fresh && (now.Sub(b.started) > freshFor || b.tokens >= min(freshUntil*terms.Rate+1, terms.Bucket)) {
		b.fresh = false
	}
}

// credit adds unused requests of leases that were granted a short time ago. Later ones would add to those of the windows
// after.
func (b *bucket) credit(credits []Credit, terms Terms, now time.Time) {
	for _, c := range credits {
		l, ok := b.leases[c.Lease]
		if !ok || c.N <= 0 || now.Sub(l.at) > terms.Credit {
			continue
		}
		n := min(c.N, l.n)
		b.leases[c.Lease] = lease{n: l.n - n, at: l.at}
		b.tokens = min(b.tokens+float64(n), terms.Bucket)
	}
}

// remember keeps a lease while its unused requests may be credited back.
func (b *bucket) remember(id uint64, l lease, terms Terms, now time.Time) {
	if len(b.leases) >= maxLeases {
		for old, l := range b.leases {
			if now.Sub(l.at) > terms.Credit {
				delete(b.leases, old)
			}
		}
	}
	if len(b.leases) < maxLeases {
		b.leases[id] = l
	}
}

func (b *bucket) notePrograms(w Want, a *Answer, now time.Time) {
	b.programs.Prune(now)
	for _, program := range w.Served {
		b.programs.Note(program, now)
		if b.programs.Loops(program) {
			a.Loops = append(a.Loops, program)
		}
	}
	for _, program := range w.Unknown {
		switch {
		case b.programs.Loops(program):
			a.Loops = append(a.Loops, program)
		case b.programs.Known(program):
			a.Begun = append(a.Begun, program)
		}
	}
}

// reserve returns the content of the bucket above which requests of a class are granted. First turns leave what the
// programs that have begun are expected to need beyond the rate.
func (b *bucket) reserve(class Class, terms Terms) float64 {
	switch class {
	case Begun:
		return 0
	case First:
		expected, within := b.programs.Expected()
		return min(max(expected-terms.Rate*within.Seconds(), 0), maxReserve*terms.Bucket, max(terms.Bucket-1, 0))
	default:
		return min(loopReserve*terms.Bucket, max(terms.Bucket-1, 0))
	}
}

// above returns the whole tokens above a level.
func (b *bucket) above(level float64) int { return int(max(math.Floor(b.tokens-level), 0)) }

// retryAfter returns when the first of some requests of a class that were not granted may be, after those that other
// instances were not granted and will ask for again.
func (b *bucket) retryAfter(class Class, missing int, level, rate float64, now time.Time) time.Duration {
	b.denied[class] = slices.DeleteFunc(b.denied[class], func(d denial) bool { return !d.until.After(now) })
	ahead := 0
	for _, d := range b.denied[class] {
		ahead += d.n
	}
	retry := maxRetryAfter
	if seconds := (max(level+1-b.tokens, 0) + float64(ahead)) / rate; seconds < maxRetryAfter.Seconds() {
		retry = max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
	}
	b.denied[class] = append(b.denied[class], denial{n: missing, until: now.Add(min(retry, maxQuiet))})
	return retry
}

const (
	// maxRetryAfter bounds how long the caller of a refused request is told to wait, and minRetryAfter is the least.
	maxRetryAfter = 5 * time.Second
	minRetryAfter = time.Millisecond
)
