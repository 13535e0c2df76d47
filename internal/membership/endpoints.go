package membership

import (
	"slices"
	"strings"
	"time"

	"ragwortstile/internal/wire"
)

// returnGuard is how long after the return of an endpoint older marks of lagging peers are ignored.
const returnGuard = ListLagBound

const (
	// pauseGap is the time without any event after which the process is taken to have been paused. Ticks
	// come ten times as often.
	pauseGap = time.Second
	// resumeListAge is how much older than the end of a pause a list may be: one poll interval.
	resumeListAge = time.Second
	// resumeListWait is how long a resumed instance waits for the list before it goes on without: the
	// time that a poll takes at most (logservice), so a list service that is away holds nothing up.
	resumeListWait = 2 * time.Second
)

// endpointState keeps the marks of leaving endpoints.
type endpointState struct {
	marks    map[string]*leavingMark
	returned map[string]time.Duration // when the list said that a marked endpoint is back
	listed   map[string]bool          // leaving, by endpoint
}

type leavingMark struct {
	at       time.Duration // first observed by any instance, on the own clock
	agreed   bool          // the list has said leaving, or has dropped the endpoint, since
	agreedAt time.Duration
}

func newEndpointState() endpointState {
	return endpointState{
		marks:    make(map[string]*leavingMark),
		returned: make(map[string]time.Duration),
		listed:   make(map[string]bool),
	}
}

// mark notes that an endpoint was observed to leave. An observation from before the endpoint's
// return is ignored; otherwise peers with a lagging list would renew each other's marks for ever.
func (s *endpointState) mark(endpoint string, at time.Duration) {
	if back, ok := s.returned[endpoint]; ok && at < back {
		return
	}
	if m := s.marks[endpoint]; m != nil {
		m.at = min(m.at, at)
		return
	}
	s.marks[endpoint] = &leavingMark{at: at}
}

func (s *endpointState) applyList(now time.Duration, e ListAnswer) {
	listed := make(map[string]bool, len(e.Endpoints))
	for _, one := range e.Endpoints {
		listed[one.Name] = one.Leaving
	}
	s.listed = listed
	for name, m := range s.marks {
		leaving, present := listed[name]
		switch {
		case !present && m.agreed && now-m.agreedAt > forgetAfter:
			delete(s.marks, name) // the endpoint is gone
		case leaving || !present:
			if !m.agreed {
				m.agreed, m.agreedAt = true, now
			}
		case m.agreed:
			delete(s.marks, name)
			s.returned[name] = now
		}
	}
	for name, at := range s.returned {
		if now-at > returnGuard+forgetAfter {
			delete(s.returned, name)
		}
	}
}

// spread returns the marks for the next heartbeat. A mark that the own list agreed with for
// ListLagBound is in the lists of the others too.
func (s *endpointState) spread(now time.Duration) []wire.LeavingMark {
	var marks []wire.LeavingMark
	for name, m := range s.marks {
		if m.agreed && now-m.agreedAt > ListLagBound {
			continue
		}
		marks = append(marks, wire.LeavingMark{Endpoint: name, AgeMS: uint64((now - m.at) / time.Millisecond)})
	}
	slices.SortFunc(marks, func(a, b wire.LeavingMark) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return marks
}

// EndpointIsLeaving tells whether an endpoint gets no new work: the list says leaving, or any instance
// has observed it and the list has not yet agreed and taken it back.
func (m *Members) EndpointIsLeaving(name string) bool {
	return m.endpoints.marks[name] != nil || m.endpoints.listed[name]
}

// EndpointsCurrent tells whether what is known of leaving endpoints is recent enough to send work on it.
// After a pause of the process it is not until a list came that was true at its end.
func (m *Members) EndpointsCurrent(now time.Duration) bool {
	if now-m.steppedAt > pauseGap {
		return false // resumed, and no event has come yet
	}
	return m.list.contentAt >= m.resumedAt-resumeListAge || now-m.resumedAt >= resumeListWait
}

// LeavingEndpoints returns all of them in order.
func (m *Members) LeavingEndpoints() []string {
	var names []string
	for name := range m.endpoints.marks {
		names = append(names, name)
	}
	for name, leaving := range m.endpoints.listed {
		if leaving && m.endpoints.marks[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
