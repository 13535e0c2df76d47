package membership

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against new work at a leaving endpoint after a pause of the process: a list that arrived before
// the pause, or was queued during it, does not make the endpoints current.
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

	now += 5 * time.Second // a pause of the process
	must.False(t, m.EndpointsCurrent(now), must.Sprint("before the first event"))
	m.Step(now, Tick{})
	must.False(t, m.EndpointsCurrent(now))
	m.Step(now, ListAnswer{Age: 4 * time.Second})
	must.False(t, m.EndpointsCurrent(now), must.Sprint("the content of the list is from the time of the pause"))
	m.Step(now, ListAnswer{Age: 50 * time.Millisecond})
	must.True(t, m.EndpointsCurrent(now))

	now += 5 * time.Second // a pause, after which the list service is unavailable
	tick(now + 1900*time.Millisecond)
	must.False(t, m.EndpointsCurrent(now))
	tick(now + 200*time.Millisecond)
	must.True(t, m.EndpointsCurrent(now), must.Sprint("the list stays unavailable"))
}
