// Package discovery maintains an instance's local copy of the list of endpoints. It has no I/O.
//
// The list is in the store, where the entry of an endpoint expires when its heartbeats stop. Entries
// also expire while the store is unavailable, because no heartbeat reaches it. Therefore an entry that
// disappears during or shortly after an outage, and was not listed as draining before, is not dropped at
// once: List keeps it as suspect for a grace period after the list is available again.
//
// An endpoint that leaves may say so in its responses before the list does, or although the list never does. This holds
// for one start of the endpoint: what a later start says of itself in its entry is new.
package discovery

import (
	"maps"
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

// departure is what an endpoint has said of its leaving.
type departure struct {
	start int64     // StartUnixMs of the endpoint that said so
	until time.Time // until then it may be used if there is no other one
}

// departureMemory is how long a departure is remembered after the entry of the endpoint has gone.
const departureMemory = 10 * time.Minute

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
	departures     map[string]departure // by endpoint ID
	unavailable    bool
	availableAt    time.Time // end of the last outage
	wasUnavailable bool      // there has been an outage
}

// NewList returns an empty List with a grace period for suspect entries.
func NewList(suspectGrace time.Duration) *List {
	return &List{suspectGrace: suspectGrace, entries: make(map[string]*entry), departures: make(map[string]departure)}
}

// Put adds or replaces an entry, which is then no longer suspect. It reports whether anything but
// ColdRemaining changed.
func (l *List) Put(e Endpoint) bool {
	old := l.entries[e.ID]
	l.entries[e.ID] = &entry{Endpoint: e}
	returned := old == nil && e.StartUnixMs == 0 // entries that do not state a start
	if d, ok := l.departures[e.ID]; ok && (e.StartUnixMs > d.start || returned) {
		delete(l.departures, e.ID)
	}
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
	for id, d := range l.departures {
		if l.entries[id] == nil && now.After(d.until.Add(departureMemory)) {
			delete(l.departures, id)
		}
	}
	return dropped
}

// SetLeaving records that the start of an endpoint has said that it leaves. It is no longer used, or only until the given
// time if its service has no other endpoint. It reports whether that was not known; what is said of an earlier start than that in
// the list is not taken.
func (l *List) SetLeaving(id string, start int64, until time.Time) bool {
	if e := l.entries[id]; e != nil && e.StartUnixMs > start {
		return false
	}
	if d, ok := l.departures[id]; ok && d.start >= start {
		return false
	}
	l.departures[id] = departure{start: start, until: until}
	return true
}

// Usable returns, by service, the endpoints that may get new requests, and which others the list has that have said that
// they leave. The usable ones include suspect ones, and, where a service has no other, those that have said so a short time ago.
func (l *List) Usable(now time.Time) (byService map[string][]Endpoint, left map[string]bool) {
	byService, left = make(map[string][]Endpoint), make(map[string]bool)
	var leaving []Endpoint
	for _, e := range l.entries {
		if e.Draining {
			continue
		}
		if _, ok := l.departures[e.ID]; ok {
			leaving = append(leaving, e.Endpoint)
			left[e.ID] = true
			continue
		}
		byService[e.Service] = append(byService[e.Service], e.Endpoint)
	}
	lastResort := make(map[string][]Endpoint)
	for _, e := range leaving {
		if len(byService[e.Service]) == 0 && now.Before(l.departures[e.ID].until) {
			lastResort[e.Service] = append(lastResort[e.Service], e)
			delete(left, e.ID)
		}
	}
	maps.Copy(byService, lastResort)
	return byService, left
}

// Len returns the number of entries.
func (l *List) Len() int { return len(l.entries) }
