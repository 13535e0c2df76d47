// Package discovery maintains an instance's local copy of the list of endpoints. It has no I/O.
//
// The list is in the store, where the entry of an endpoint expires when its heartbeats stop. Entries
// also expire while the store is unavailable, because no heartbeat reaches it. Therefore an entry that
// disappears during or shortly after an outage, and was not listed as draining before, is not dropped at
// once: List keeps it as suspect for a grace period after the list is available again.
package discovery

import (
	"time"
)

// Endpoint is an entry of the list.
type Endpoint struct {
	ID            string
	Service       string
	Addr          string // IP address and port
	Zone          string
	Slots         int
	Draining      bool
	ColdRemaining time.Duration // remaining time for which it is slow after its start
	StartUnixMs   int64         // time of its start, in Unix milliseconds
}

// entry is an endpoint with its state in the list.
type entry struct {
	Endpoint
	suspect      bool      // removed from the store, possibly only because of an outage
	suspectUntil time.Time // if suspect, when it is dropped
}

// List is the local list of endpoints. It is not safe for concurrent use.
type List struct {
	// suspectGrace is how long an entry that was removed during or shortly after an outage stays
	// usable after the list is available again.
	suspectGrace   time.Duration
	entries        map[string]*entry
	unavailable    bool
	availableAt    time.Time // end of the last outage
	wasUnavailable bool      // there has been an outage
}

// NewList returns an empty List with a grace period for suspect entries.
func NewList(suspectGrace time.Duration) *List {
	return &List{suspectGrace: suspectGrace, entries: make(map[string]*entry)}
}

// Put adds or replaces an entry, which is then no longer suspect. It reports whether anything but
// ColdRemaining changed.
func (l *List) Put(e Endpoint) bool {
	old := l.entries[e.ID]
	l.entries[e.ID] = &entry{Endpoint: e}
	if old == nil {
		return true
	}
	previous := old.Endpoint
	previous.ColdRemaining = e.ColdRemaining
	return previous != e || old.suspect
}

// Remove applies the removal of an entry from the list in the store. It reports whether the entry was
// dropped or became suspect.
func (l *List) Remove(id string, now time.Time) bool {
	e := l.entries[id]
	if e == nil || e.suspect {
		return false
	}
	if !e.Draining && l.mayBeIncomplete(now) {
		e.suspect = true
		e.suspectUntil = now.Add(l.suspectGrace)
		if !l.unavailable && l.availableAt.Add(l.suspectGrace).Before(e.suspectUntil) {
			e.suspectUntil = l.availableAt.Add(l.suspectGrace)
		}
		return true
	}
	delete(l.entries, id)
	return true
}

// Drop removes an entry at once, also shortly after an outage. It reports whether there was one.
func (l *List) Drop(id string) bool {
	_, ok := l.entries[id]
	delete(l.entries, id)
	return ok
}

// Retain applies a complete list: it removes all entries whose IDs are not in ids, as Remove does, and
// returns the IDs that were dropped or became suspect.
func (l *List) Retain(ids map[string]bool, now time.Time) (removed []string) {
	for id := range l.entries {
		if !ids[id] && l.Remove(id, now) {
			removed = append(removed, id)
		}
	}
	return removed
}

// SetUnavailable records that the list cannot be read.
func (l *List) SetUnavailable() { l.unavailable, l.wasUnavailable = true, true }

// SetAvailable records that the list was read. The grace period of entries that became suspect during the outage
// begins now, however long the outage was.
func (l *List) SetAvailable(now time.Time) {
	if !l.unavailable {
		return
	}
	l.unavailable = false
	l.availableAt = now
	for _, e := range l.entries {
		if e.suspect {
			e.suspectUntil = now.Add(l.suspectGrace)
		}
	}
}

// mayBeIncomplete reports whether entries may be missing from the list because of an outage.
func (l *List) mayBeIncomplete(now time.Time) bool {
	return l.unavailable || (l.wasUnavailable && now.Before(l.availableAt.Add(l.suspectGrace)))
}

// Expire drops suspect entries whose grace period has ended, and returns their IDs. It drops none while
// the list is unavailable.
func (l *List) Expire(now time.Time) (dropped []string) {
	if l.unavailable {
		return nil
	}
	for id, e := range l.entries {
		if e.suspect && !now.Before(e.suspectUntil) {
			delete(l.entries, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// Usable returns, by service, the endpoints that may get new requests. They include suspect ones.
func (l *List) Usable() map[string][]Endpoint {
	byService := make(map[string][]Endpoint)
	for _, e := range l.entries {
		if !e.Draining {
			byService[e.Service] = append(byService[e.Service], e.Endpoint)
		}
	}
	return byService
}

// Len returns the number of entries.
func (l *List) Len() int { return len(l.entries) }
