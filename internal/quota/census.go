package quota

import (
	"slices"
	"time"
)

const (
	// ownShareAfter is the time for which an issuer doesn't answer until an instance issues its own share. It is longer
	// than the silence after which both ends close a connection between instances (1 s), so that the issuer has ceased
	// to grant that share before.
	ownShareAfter = 1250 * time.Millisecond
	// CensusMemory is the time for which the share of an instance that isn't reached is left to it.
	CensusMemory = 10 * time.Second
	// ownShareFor is the time since the loss of another instance for which an instance issues its own share. It ends
	// before the other one, which may have noticed the loss earlier and be the issuer, uses that share again.
	ownShareFor = CensusMemory - ownShareAfter
	// renewTime is the time in which a membership of the store's group is renewed, and lost partitions are given up.
	renewTime = time.Second
	// goneMemory is the time for which an instance that isn't reached and no longer counts is remembered: it may be the
	// issuer, and no longer count this one.
	goneMemory = 10 * time.Minute
)

// Census counts the instances. It is not safe for concurrent use.
type Census struct {
	own      string
	others   bool // there should be other instances
	started  time.Time
	seen     map[string]time.Time // when other instances were last connected
	gone     map[string]time.Time // the same of those that no longer count
	leaving  map[string]bool      // connected instances that have said that they stop
	stopping bool                 // this one stops
	reached  int                  // including this one
	proven   bool
	since    time.Time // when proven became false
	regained time.Time // when proven became true again
	updated  time.Time
	told     int // instances that a peer knows
	toldAt   time.Time
}

// NewCensus returns a Census of an instance that starts now and has reached no other. others tells whether there should
// be others.
func NewCensus(own string, others bool, now time.Time) *Census {
	return &Census{own: own, others: others, started: now, since: now, seen: make(map[string]time.Time), gone: make(map[string]time.Time), leaving: make(map[string]bool), reached: 1}
}

// Update records the instances that are connected now. proven tells whether the store has lately confirmed the
// partitions that this instance holds, so that no other issuer has the store's confirmation: only then instances that
// are not reached are forgotten after CensusMemory.
func (c *Census) Update(connected []string, proven bool, now time.Time) {
	for _, name := range connected {
		c.seen[name] = now
		delete(c.gone, name)
	}
	c.reached = 1 + len(connected)
	for name, at := range c.seen {
		if c.leaving[name] && at.Before(now) {
			delete(c.seen, name)
			delete(c.leaving, name)
		}
	}
	c.updated = now
	if c.proven && !proven {
		c.since = now
	}
	if !c.proven && proven {
		c.regained = now
	}
	c.proven = proven
	if c.confirmed(now) {
		for name, at := range c.seen {
			if now.Sub(at) > CensusMemory {
				delete(c.seen, name)
				c.gone[name] = at
			}
		}
	}
	for name, at := range c.gone {
		if now.Sub(at) > goneMemory {
			delete(c.gone, name)
		}
	}
}

// Connected records a new connection to an instance, which may have started again.
func (c *Census) Connected(name string) { delete(c.leaving, name) }

// Leaves records that an instance has said that it stops. It no longer counts once it isn't connected: an instance that
// stops issues no own share, and as an issuer grants almost nothing when it doesn't reach all others.
func (c *Census) Leaves(name string) { c.leaving[name] = true }

// Stop records that this instance stops.
func (c *Census) Stop() { c.stopping = true }

// MayIssueOwn reports whether the instance may issue its own share: no other one has been lost for so long that it may
// have ceased to count this one.
func (c *Census) MayIssueOwn(now time.Time) bool {
	for _, at := range c.seen {
		if now.Sub(at) > ownShareFor {
			return false
		}
	}
	return len(c.gone) == 0 && !c.stopping
}

// Told records how many instances a peer knows: an issuer that has just started doesn't know those that are cut off.
func (c *Census) Told(instances int, now time.Time) {
	if instances >= c.told || now.Sub(c.toldAt) > CensusMemory {
		c.told, c.toldAt = instances, now
	}
}

// Known returns how many instances this one knows itself. What peers have told doesn't count, so that instances don't
// go on telling each other of one that is gone.
func (c *Census) Known() int { return 1 + len(c.seen) }

// Count returns how many instances there are, including those that may be cut off.
func (c *Census) Count(now time.Time) int {
	n := c.Known()
	if now.Sub(c.toldAt) <= CensusMemory {
		n = max(n, c.told)
	}
	return n
}

// Rank returns the position of an instance in the order of all that are known.
func (c *Census) Rank(name string) int {
	names := make([]string, 0, len(c.seen))
	for other := range c.seen {
		names = append(names, other)
	}
	if _, ok := c.seen[c.own]; !ok {
		names = append(names, c.own)
	}
	slices.Sort(names)
	rank, _ := slices.BinarySearch(names, name)
	return rank
}

// Share returns the share of a limit that an issuer on this instance, which issues since some time, may grant. What it
// leaves is for the instances that it doesn't reach:
//   - Those that it lost since it issues have no other issuer while the store confirms this one. They may issue their own
//     share, as far as the terms allow.
//   - Among those that it lost before may be the former issuer, which grants the share of all that it reaches.
//
// Without the store's confirmation another issuer may have taken over. It grants almost nothing once that one may have
// forgotten the instances on this side.
func (c *Census) Share(terms Terms, since, now time.Time) float64 {
	n := c.Count(now)
	young := now.Sub(c.started) <= CensusMemory
	switch {
	case young && c.others && c.reached == 1:
		return terms.Headroom // it may be cut off from all others, and one of them issue
	case young && c.others && c.reached >= n:
		return 1 - ownRate // some that it has never reached may issue their own share
	case c.reached >= n:
		return 1
	case c.stopping:
		return terms.Headroom
	case !c.confirmed(now):
		reached := float64(c.reached) / float64(n)
		if now.Sub(c.since) > CensusMemory-ownShareAfter {
			return min(terms.Headroom, reached)
		}
		return reached
	}
	lost, before := 0, n-c.Known() // the age of what peers have told is not known
	for _, at := range c.seen {
		switch {
		case !at.Before(c.updated): // reached
		case since.Before(at):
			lost++
		default:
			before++
		}
	}
	own := float64(min(lost, terms.OwnShares)) * terms.ownShare(n)
	if young {
		own = ownRate
	}
	return min(1-own-float64(before)/float64(n)+terms.Headroom, 1)
}

// confirmed reports whether the store confirms what this instance holds. After it was lost that takes until the
// membership has been renewed.
func (c *Census) confirmed(now time.Time) bool { return c.proven && now.Sub(c.regained) >= renewTime }
