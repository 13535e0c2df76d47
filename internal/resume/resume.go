// Package resume decides how a stream of events goes on when its endpoint breaks off, stalls or leaves. It does
// no I/O and reads no clock.
//
// A stream on a resumable route may continue at another endpoint after the last event that its caller got. The
// load patterns it answers: endpoints that crash or reset their connections in the middle of streams, endpoints
// that stop sending without closing, and endpoints that are slow but sound, whose streams must be left alone.
package resume

import (
	"strconv"
	"time"
)

const (
	// minStall is the minimum pause after which a resumable stream counts as stalled. Callers abandon a stream
	// after two seconds; half of that leaves time for another endpoint to send its first event.
	minStall = time.Second
	// stallFactor times the longest pause between events so far, or the route's target for it, is the pause
	// after which a stream counts as stalled, if that is more than minStall. A slow stream thus has the pauses
	// that it has had all along.
	stallFactor = 4
	// minRemaining is the time that another endpoint needs at least to send an event.
	minRemaining = 50 * time.Millisecond
)

// Policy is what the route of a stream allows.
type Policy struct {
	Resumable   bool
	MaxAttempts int           // endpoints that one request may be sent to
	TargetGap   time.Duration // pause between events up to which a stream has its full value; 0 if not stated
}

// Verdict is what to do with an event that an endpoint sent.
type Verdict uint8

// Verdicts on events.
const (
	Forward Verdict = iota + 1 // the caller has not got the event yet
	Skip                       // the caller already has it
	Missing                    // events before it are missing, so that the stream cannot continue with it
)

// Stream is the progress of a stream over all endpoints that contribute to it.
type Stream struct {
	policy     Policy
	lastID     string // ID of the last event that the caller has; empty before the first event
	step       int64  // largest difference between the IDs of consecutive events; 0 while unknown
	longestGap time.Duration
	lastAt     time.Time
	resumed    bool // the next event is the first one of another endpoint
}

// New returns a stream whose caller already has the events up to lastID; empty if it has none.
func New(p Policy, lastID string) *Stream { return &Stream{policy: p, lastID: lastID} }

// LastID returns the ID of the last event that the caller has, or an empty string.
func (s *Stream) LastID() string { return s.lastID }

// Event decides on an event with an ID, received at the given time. IDs that are not integers cannot be compared,
// so such events are forwarded as they come, except directly after a change of the endpoint.
func (s *Stream) Event(id string, now time.Time) Verdict {
	resumed := s.resumed
	s.resumed = false
	if !s.lastAt.IsZero() && !resumed {
		s.longestGap = max(s.longestGap, now.Sub(s.lastAt))
	}
	s.lastAt = now
	number, err := strconv.ParseInt(id, 10, 64)
	last, lastErr := strconv.ParseInt(s.lastID, 10, 64)
	if err != nil || lastErr != nil {
		if resumed && s.lastID != "" {
			return Missing
		}
		s.lastID = id
		return Forward
	}
	switch {
	case number <= last:
		s.resumed = resumed
		return Skip
	case resumed && s.step > 0 && number-last > s.step:
		return Missing
	}
	s.step = max(s.step, number-last)
	s.lastID = id
	return Forward
}

// Stall returns the pause after which the stream counts as stalled, or 0 if it never does. A stream that cannot
// continue elsewhere does not: its endpoint may still send the rest before the deadline.
func (s *Stream) Stall(sends int) time.Duration {
	if s.lastAt.IsZero() || !s.allowed(sends) {
		return 0
	}
	return max(minStall, stallFactor*max(s.longestGap, s.policy.TargetGap))
}

// Resume reports whether the stream continues at another endpoint after its endpoint has failed. sends is the
// number of endpoints that it has been sent to, and remaining the time until its deadline. It also prepares the
// Stream for the events of that endpoint.
func (s *Stream) Resume(sends int, remaining time.Duration) bool {
	s.resumed = s.allowed(sends) && remaining >= minRemaining
	return s.resumed
}

func (s *Stream) allowed(sends int) bool {
	return s.policy.Resumable && sends < s.policy.MaxAttempts
}
