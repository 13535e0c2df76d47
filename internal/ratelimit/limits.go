// Package ratelimit keeps the requests of all instances to an endpoint within the rate that the endpoint names. It does
// no I/O and reads no clock.
//
// An endpoint in trouble names in its responses the requests per second that it takes from all instances together, for
// as long as it says so. Limits holds what an instance knows of these limits.
package ratelimit

import "time"

// Statement is what a response of an endpoint says of its limit.
type Statement struct {
	Limited   bool
	PerSecond float64 // from all instances together; not negative
}

// Observation is a Statement with the time from which on it is known to hold. A later one replaces an earlier one.
type Observation struct {
	Statement
	At time.Time
}

// Limits holds the newest observation of each endpoint that has ever named a limit. It is not safe for concurrent use.
type Limits struct {
	known map[string]Observation // by endpoint ID
}

// NewLimits returns Limits without observations.
func NewLimits() *Limits { return &Limits{known: make(map[string]Observation)} }

// Observe records what the response to a request says. It reports whether the statement differs from what was known.
//
// Responses on different connections overtake each other. So a response ends a limit only if its request was sent after
// the limit was last observed.
func (l *Limits) Observe(endpoint string, s Statement, sent, received time.Time) bool {
	at := received
	if !s.Limited {
		at = sent
	}
	return l.Learn(endpoint, Observation{Statement: s, At: at})
}

// Learn records an observation, also of a peer, unless a later one is known. It reports whether the statement differs
// from what was known.
func (l *Limits) Learn(endpoint string, o Observation) bool {
	old, ok := l.known[endpoint]
	if !ok && !o.Limited || ok && !o.At.After(old.At) {
		return false
	}
	l.known[endpoint] = o
	return o.Statement != old.Statement
}

// Get returns what is known of an endpoint. The zero Observation says that it has named no limit.
func (l *Limits) Get(endpoint string) Observation { return l.known[endpoint] }

// Count returns how many endpoints limit their requests.
func (l *Limits) Count() int {
	n := 0
	for _, o := range l.known {
		if o.Limited {
			n++
		}
	}
	return n
}

// Prune forgets the endpoints that are not listed.
func (l *Limits) Prune(listed map[string]bool) {
	for id := range l.known {
		if !listed[id] {
			delete(l.known, id)
		}
	}
}
