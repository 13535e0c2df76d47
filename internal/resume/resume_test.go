package resume

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1_700_000_000, 0)

func newStream() *Stream {
	return New(Policy{Resumable: true, MaxAttempts: 2, TargetGap: 150 * time.Millisecond}, "")
}

// events plays the events 1 to n with a constant pause, and returns the time of the last one.
func events(s *Stream, n int, pause time.Duration) time.Time {
	now := start
	for i := 1; i <= n; i++ {
		s.Event(fmt.Sprint(i), now)
		now = now.Add(pause)
	}
	return now.Add(-pause)
}

// An endpoint that continues a stream may send events again that the caller has, and must not leave any out.
func TestEventsAfterAChangeOfEndpoint(t *testing.T) {
	s := newStream()
	now := events(s, 3, 10*time.Millisecond)
	must.Eq(t, "3", s.LastID())
	must.True(t, s.Resume(1, time.Second))
	must.Eq(t, Skip, s.Event("2", now))
	must.Eq(t, Skip, s.Event("3", now))
	must.Eq(t, Forward, s.Event("4", now))
	must.True(t, s.Resume(1, time.Second))
	must.Eq(t, Missing, s.Event("6", now))

	s = newStream()
	s.Event("first", now)
	must.True(t, s.Resume(1, time.Second))
	must.Eq(t, Missing, s.Event("second", now)) // nothing shows that no event is missing
}

func TestIDsMayIncreaseBySteps(t *testing.T) {
	s := newStream()
	for _, id := range []string{"10", "15", "25"} {
		must.Eq(t, Forward, s.Event(id, start))
	}
	s.Resume(1, time.Second)
	must.Eq(t, Missing, s.Event("45", start))
}

// A caller that comes back with its last event gets no event twice.
func TestCallerResumes(t *testing.T) {
	s := New(Policy{Resumable: true, MaxAttempts: 2}, "5")
	must.Eq(t, Skip, s.Event("5", start))
	must.Eq(t, Forward, s.Event("6", start))
}

// Load pattern: endpoints slow down to a fifth of their speed while they send. Their streams stay where they are.
func TestSlowStreamIsNotStalled(t *testing.T) {
	s := newStream()
	now := events(s, 5, 40*time.Millisecond)
	s.Event("6", now.Add(900*time.Millisecond))
	must.Greater(t, 3*time.Second, s.Stall(1))
}

// Load pattern: an endpoint stops sending events, or sends bytes now and then that complete none.
func TestStall(t *testing.T) {
	s := newStream()
	must.Eq(t, 0, s.Stall(1)) // the first event may wait in the endpoint's queue
	events(s, 5, 40*time.Millisecond)
	must.Eq(t, minStall, s.Stall(1))
	must.Eq(t, 0, s.Stall(2)) // no endpoint is left
	fixed := New(Policy{MaxAttempts: 2}, "")
	events(fixed, 5, 40*time.Millisecond)
	must.Eq(t, 0, fixed.Stall(1)) // the rest may still come before the deadline
}

func TestResumeIsBounded(t *testing.T) {
	must.False(t, newStream().Resume(2, time.Second))
	must.False(t, newStream().Resume(1, time.Millisecond))
	must.False(t, New(Policy{MaxAttempts: 2}, "").Resume(1, time.Second))
}
