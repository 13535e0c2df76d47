package balance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// turn records a stream of an endpoint: its speed is seen at its second event and at its end.
func turn(b *Balancer, id string, took time.Duration, at time.Time) {
	number := b.Sent(id, at)
	b.ResponseStarted(id, number)
	b.Observe(id, took)
	b.Ended(id, number, Served, took, at)
}

// Load: an endpoint is 2.5 times slower for 600 ms. Within 300 ms most requests of a group of equal endpoints avoid
// it, and after it the endpoint is used again although nothing was sent to it meanwhile.
func TestSpeedFollowsAChange(t *testing.T) {
	b := crowd(12, nil)[0]
	for at := now; at.Before(now.Add(10 * time.Second)); at = at.Add(50 * time.Millisecond) {
		turn(b, "e0", 100*time.Millisecond, at)
	}
	slowAt := now.Add(10 * time.Second)
	at := slowAt
	for ; at.Before(slowAt.Add(300 * time.Millisecond)); at = at.Add(50 * time.Millisecond) {
		turn(b, "e0", 250*time.Millisecond, at)
	}
	must.Greater(t, similarQuality*0.1, b.states["e0"].presentLatency(1, false, at))
	must.Less(t, similarQuality*0.1, b.states["e0"].presentLatency(1, false, slowAt.Add(2*time.Second)))
}

// One stream that is unusually slow does not keep requests off its endpoint.
func TestOneLongStreamDoesNotMislead(t *testing.T) {
	b := crowd(12, nil)[0]
	at := now
	for range 40 {
		turn(b, "e0", 100*time.Millisecond, at)
		at = at.Add(50 * time.Millisecond)
	}
	number := b.Sent("e0", at)
	b.Ended("e0", number, Served, 3*time.Second, at)
	must.Less(t, similarQuality*0.1, b.states["e0"].presentLatency(1, false, at))
}

// An endpoint that stays slow is tried less and less often, and one that has had no request for exploreInterval gets
// one of an owner, so that a lasting recovery is noticed at a bounded rate.
func TestExplorationIsBounded(t *testing.T) {
	b := crowd(12, nil)[0]
	at := now
	for range 20 {
		turn(b, "e0", 100*time.Millisecond, at)
	}
	tries := 0
	for ; at.Before(now.Add(30 * time.Second)); at = at.Add(100 * time.Millisecond) {
		if b.states["e0"].presentLatency(0.1, false, at) < similarQuality*0.1 {
			tries++
			for range 6 { // until it counts as slow again
				turn(b, "e0", 300*time.Millisecond, at)
			}
		}
	}
	must.Between(t, 1, tries, 20)
	for range 200 { // it is slow in the long term, too
		turn(b, "e0", 300*time.Millisecond, at)
		at = at.Add(100 * time.Millisecond)
	}
	must.Greater(t, 0.2, b.states["e0"].presentLatency(0.1, true, at.Add(exploreInterval/2)))
	at = at.Add(exploreInterval)
	must.Eq(t, 0.1, b.states["e0"].presentLatency(0.1, true, at))
	must.Greater(t, 0.2, b.states["e0"].presentLatency(0.1, false, at)) // not an owner
	b.Sent("e0", at)
	must.Greater(t, 0.2, b.states["e0"].presentLatency(0.1, true, at))
}

// One unusually short request after a pause does not make an endpoint seem far faster.
func TestOneShortRequestDoesNotMislead(t *testing.T) {
	b := crowd(12, nil)[0]
	at := now
	for range 40 {
		turn(b, "e0", time.Second, at)
		at = at.Add(50 * time.Millisecond)
	}
	at = at.Add(15 * time.Second)
	b.Ended("e0", b.Sent("e0", at), Served, 100*time.Millisecond, at)
	must.Greater(t, 0.8, b.states["e0"].presentLatency(1, false, at.Add(2*time.Second)))
}
