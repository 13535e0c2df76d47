// Package discovery keeps what an instance believes of the endpoints. It has no I/O.
//
// The list of endpoints lives in the store and forgets those whose heartbeat stops, also while the
// store itself is away. Such an entry that vanishes without a word of leaving is therefore kept for
// a while after the list was out of reach.
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
	Leaving       bool
	ColdRemaining time.Duration // how much longer it is slow after its start
	StartUnixMs   int64         // Unix milliseconds of its start
}

type entry struct {
	Endpoint
	lapsed bool
	until  time.Time // with lapsed: when it is given up
}

// List holds the endpoints. It is not safe for concurrent use.
type List struct {
	// lapseGrace is how long an entry that lapsed in an outage stays usable once the list is back.
	lapseGrace time.Duration
	entries    map[string]*entry
	away       bool
	backAt     time.Time
	wasAway    bool
}

// NewList returns an empty List.
func NewList(lapseGrace time.Duration) *List {
	return &List{lapseGrace: lapseGrace, entries: make(map[string]*entry)}
}

// Put takes an entry. It tells whether the belief changed in more than the remaining cold time.
func (l *List) Put(e Endpoint) bool {
	old := l.entries[e.ID]
	l.entries[e.ID] = &entry{Endpoint: e}
	if old == nil {
		return true
	}
	previous := old.Endpoint
	previous.ColdRemaining = e.ColdRemaining
	return previous != e || old.lapsed
}

// Remove takes the removal of an entry. It tells whether an entry was dropped or began to lapse.
func (l *List) Remove(id string, now time.Time) bool {
	e := l.entries[id]
	if e == nil || e.lapsed {
		return false
	}
	if !e.Leaving && l.doubtful(now) {
		e.lapsed = true
		e.until = now.Add(l.lapseGrace)
		if !l.away && l.backAt.Add(l.lapseGrace).Before(e.until) {
			e.until = l.backAt.Add(l.lapseGrace)
		}
		return true
	}
	delete(l.entries, id)
	return true
}

// Retain removes all entries that are not in the whole list given.
func (l *List) Retain(ids map[string]bool, now time.Time) (removed []string) {
	for id := range l.entries {
		if !ids[id] && l.Remove(id, now) {
			removed = append(removed, id)
		}
	}
	return removed
}

// SetUnavailable tells that the list is out of reach.
func (l *List) SetUnavailable() { l.away, l.wasAway = true, true }

// SetAvailable tells that the list was read.
func (l *List) SetAvailable(now time.Time) {
	if l.away {
		l.away = false
		l.backAt = now
	}
}

func (l *List) doubtful(now time.Time) bool {
	return l.away || (l.wasAway && now.Before(l.backAt.Add(l.lapseGrace)))
}

// Expire drops lapsed entries whose time is over.
func (l *List) Expire(now time.Time) (dropped []string) {
	if l.away {
		return nil
	}
	for id, e := range l.entries {
		if e.lapsed && !now.Before(e.until) {
			delete(l.entries, id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// Usable returns the endpoints of each service that may get new requests.
func (l *List) Usable() map[string][]Endpoint {
	byService := make(map[string][]Endpoint)
	for _, e := range l.entries {
		if !e.Leaving {
			byService[e.Service] = append(byService[e.Service], e.Endpoint)
		}
	}
	return byService
}

// Len returns the number of entries.
func (l *List) Len() int { return len(l.entries) }
