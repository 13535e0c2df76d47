package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards P8 after a pause: a list that came before it, or waited in a queue during it, is not enough.
func TestEndpointsAreCurrentOnlyAfterAListFromAfterAPause(t *testing.T) {
	m := New(Config{Self: "a.1", Zone: "z", Start: 0})
	now := time.Duration(0)
	tick := func(until time.Duration) {
		for ; now < until; now += 100 * time.Millisecond {
			m.Step(now, Tick{})
		}
	}
	m.Step(now, ListAnswer{})
	tick(5 * time.Second)
	must.True(t, m.EndpointsCurrent(now))

	now += 5 * time.Second // a pause
	must.False(t, m.EndpointsCurrent(now), must.Sprint("before the first event"))
	m.Step(now, Tick{})
	must.False(t, m.EndpointsCurrent(now))
	m.Step(now, ListAnswer{Age: 4 * time.Second})
	must.False(t, m.EndpointsCurrent(now), must.Sprint("the answer is from the pause"))
	m.Step(now, ListAnswer{Age: 50 * time.Millisecond})
	must.True(t, m.EndpointsCurrent(now))

	now += 5 * time.Second // a pause during which the list service went away
	tick(now + 1900*time.Millisecond)
	must.False(t, m.EndpointsCurrent(now))
	tick(now + 200*time.Millisecond)
	must.True(t, m.EndpointsCurrent(now), must.Sprint("the list stays away"))
}
