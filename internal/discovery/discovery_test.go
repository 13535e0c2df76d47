package discovery

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var now = time.Unix(1_700_000_000, 0)

const grace = 2 * time.Second

func usable(l *List) int { return len(l.Usable()["s"]) }

func TestDrainingAndRemovedEndpointsAreNotUsed(t *testing.T) {
	l := NewList(grace)
	must.True(t, l.Put(Endpoint{ID: "1", Service: "s"}))
	must.False(t, l.Put(Endpoint{ID: "1", Service: "s", ColdRemaining: time.Second}))
	must.Eq(t, 1, usable(l))
	must.True(t, l.Put(Endpoint{ID: "1", Service: "s", Draining: true}))
	must.Eq(t, 0, usable(l))
	l.Put(Endpoint{ID: "2", Service: "s"})
	must.True(t, l.Remove("2", now))
	must.False(t, l.Remove("2", now))
	must.Eq(t, 0, usable(l))
}

// Guards against dropping endpoints that are still running when their entries expired during an outage
// of the store. Such an entry returns within about two seconds after the outage, or the endpoint is gone.
func TestEntriesThatExpiredInAnOutage(t *testing.T) {
	l := NewList(grace)
	for _, id := range []string{"back", "gone", "draining"} {
		l.Put(Endpoint{ID: id, Service: "s", Draining: id == "draining"})
	}
	l.SetUnavailable()
	l.SetAvailable(now)
	for _, id := range []string{"back", "gone", "draining"} {
		l.Remove(id, now.Add(100*time.Millisecond))
	}
	must.Eq(t, 2, usable(l))
	must.Eq(t, 2, l.Len())
	l.Put(Endpoint{ID: "back", Service: "s"})
	must.SliceEmpty(t, l.Expire(now.Add(grace-time.Millisecond)))
	must.Eq(t, []string{"gone"}, l.Expire(now.Add(grace)))
	must.Eq(t, 1, usable(l))
	// After the grace period a removal takes effect immediately.
	l.Remove("back", now.Add(grace+time.Second))
	must.Eq(t, 0, usable(l))
}

func TestNothingIsDroppedWhileTheListIsUnavailable(t *testing.T) {
	l := NewList(grace)
	l.Put(Endpoint{ID: "1", Service: "s"})
	l.SetUnavailable()
	l.SetAvailable(now)
	l.Remove("1", now)
	l.SetUnavailable()
	must.SliceEmpty(t, l.Expire(now.Add(time.Minute)))
	must.Eq(t, 1, usable(l))
}
