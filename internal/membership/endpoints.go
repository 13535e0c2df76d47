package membership

import (
	"slices"
	"strings"
	"time"

	"ragwortstile/internal/wire"
)

// returnGuard is how long after the return of an endpoint a peer whose list lags may still send marks
// from before the return. Such marks are ignored.
const returnGuard = ListLagBound

const (
	// pauseThreshold is the time without any event after which the process is assumed to have been paused.
	// Ticks arrive ten times as often.
	pauseThreshold = time.Second
	// resumeListAge is how much older than the end of a pause the content of a list may be: one poll
	// interval.
	resumeListAge = time.Second
	// resumeListWait is how long an instance waits for a list after a pause before it proceeds with the
	// old one. It equals the longest time that a poll takes (package logservice), so that an unavailable
	// list service does not block dispatching.
	resumeListWait = 2 * time.Second
)

// endpointState tracks which endpoints are leaving. It merges the platform's list with marks: early
// observations, by any instance, that an endpoint is leaving, which peers exchange in heartbeats
// because the list lags.
type endpointState struct {
	marks    map[string]*leavingMark
	returned map[string]time.Duration // when the list reported that a marked endpoint is back
	listed   map[string]bool          // endpoints in the current list; true if leaving
}

type leavingMark struct {
	at          time.Duration // first observation by any instance, on the local clock
	confirmed   bool          // the list has since reported the endpoint as leaving or no longer contains it
	confirmedAt time.Duration
}

func newEndpointState() endpointState {
	return endpointState{
		marks:    make(map[string]*leavingMark),
		returned: make(map[string]time.Duration),
		listed:   make(map[string]bool),
	}
}

// mark records an observation that an endpoint is leaving. An observation from before the endpoint's
// return is ignored; otherwise peers with a lagging list would renew each other's marks forever.
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

// applyList takes a new list. A mark is confirmed when the list agrees with it, and removed when the
// list later reports the endpoint as not leaving, or has not contained it for forgetAfter.
func (s *endpointState) applyList(now time.Duration, e ListAnswer) {
	listed := make(map[string]bool, len(e.Endpoints))
	for _, one := range e.Endpoints {
		listed[one.Name] = one.Leaving
	}
	s.listed = listed
	for name, m := range s.marks {
		leaving, present := listed[name]
		switch {
		case !present && m.confirmed && now-m.confirmedAt > forgetAfter:
			delete(s.marks, name) // the endpoint has been removed for good
		case leaving || !present:
			if !m.confirmed {
				m.confirmed, m.confirmedAt = true, now
			}
		case m.confirmed:
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

// marksToSend returns the marks for the next heartbeat. It omits a mark that the local list confirmed
// more than ListLagBound ago, because the lists of all peers contain the change by then.
func (s *endpointState) marksToSend(now time.Duration) []wire.LeavingEndpoint {
	var marks []wire.LeavingEndpoint
	for name, m := range s.marks {
		if m.confirmed && now-m.confirmedAt > ListLagBound {
			continue
		}
		marks = append(marks, wire.LeavingEndpoint{Endpoint: name, AgeMS: uint64((now - m.at) / time.Millisecond)})
	}
	slices.SortFunc(marks, func(a, b wire.LeavingEndpoint) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return marks
}

// EndpointIsLeaving reports whether an endpoint must get no new work: the list reports it as leaving,
// or an instance has observed that it is leaving and the list has not since confirmed and then
// revoked that.
func (m *Members) EndpointIsLeaving(name string) bool {
	return m.endpoints.marks[name] != nil || m.endpoints.listed[name]
}

// EndpointsCurrent reports whether the state of leaving endpoints is recent enough to dispatch work.
// After a pause of the process it is false until a list arrives whose content is from the end of the
// pause (to within resumeListAge) or later, or until resumeListWait has passed.
func (m *Members) EndpointsCurrent(now time.Duration) bool {
	if now-m.lastEventAt > pauseThreshold {
		return false // resumed after a pause; no event has been processed yet
	}
	return m.list.contentAt >= m.resumedAt-resumeListAge || now-m.resumedAt >= resumeListWait
}

// LeavingEndpoints returns the names of all leaving endpoints, sorted.
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
