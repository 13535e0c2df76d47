package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/id"
)

var start = time.Unix(1_700_000_000, 0)

const (
	endpoints   = 18
	perSecond   = 25 // requests of an instance
	dialTimeout = 400 * time.Millisecond
	probes      = 250 * time.Millisecond
)

// pattern is what happens to connections from a time on.
type pattern struct {
	from        time.Duration
	unreachable int           // endpoints that accept no connections, from the first one
	took        time.Duration // until a connection to one of these fails
	openAlive   bool          // responses arrive over open connections to all endpoints
}

// play runs requests through a Tracker, every second of them over a new connection, and returns for how long it said
// that the instance is cut off, and that open connections are of use then, up to the end of each pattern.
func play(t *testing.T, length time.Duration, patterns ...pattern) (cutOff, trusted []time.Duration) {
	t.Helper()
	tr, rng := NewTracker(), rand.New(rand.NewPCG(1, 2))
	cutOff, trusted = make([]time.Duration, len(patterns)), make([]time.Duration, len(patterns))
	type failure struct {
		at   time.Time
		addr string
	}
	var failing []failure
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < length; at += step {
		now, current := start.Add(at), 0
		for n, p := range patterns {
			if at >= p.from {
				current = n
			}
		}
		p := patterns[current]
		connect := func() {
			if e := rng.IntN(endpoints); e >= p.unreachable {
				tr.Connected(now)
				tr.Responded(now)
			} else {
				failing = append(failing, failure{now.Add(p.took), fmt.Sprint(e)})
			}
		}
		for len(failing) > 0 && !failing[0].at.After(now) {
			tr.NotConnected(failing[0].addr, failing[0].at)
			failing = failing[1:]
		}
		if tr.Suspects(now) && at%probes == 0 {
			connect()
		}
		if tr.CutOff(endpoints, now) {
			cutOff[current] += step
			if tr.TrustsOpen(endpoints, now) {
				trusted[current] += step
			}
			continue // requests go through peers
		}
		if at%(time.Second/perSecond) != 0 {
			continue
		}
		if p.openAlive && rng.IntN(2) == 0 {
			tr.Responded(now)
		} else {
			connect()
		}
	}
	return cutOff, trusted
}

func TestEndedEndpointIsNoCutOff(t *testing.T) {
	cutOff, _ := play(t, 10*time.Second, pattern{openAlive: true}, pattern{from: time.Second, unreachable: 1, took: dialTimeout, openAlive: true})
	must.Eq(t, []time.Duration{0, 0}, cutOff)
}

// All links are silent for ten seconds: the instance notices it within a second and does not use its open connections.
// When the links are back, the next probe ends it.
func TestSilentLinks(t *testing.T) {
	cutOff, trusted := play(t, 20*time.Second, pattern{openAlive: true}, pattern{from: 2 * time.Second, unreachable: endpoints, took: dialTimeout},
		pattern{from: 12 * time.Second, openAlive: true})
	must.Eq(t, 0, cutOff[0])
	must.GreaterEq(t, 9*time.Second, cutOff[1])
	must.Eq(t, 0, trusted[1])
	must.LessEq(t, probes+dialTimeout, cutOff[2])
}

// New connections are refused and open ones live on: they are used, everything else goes through peers.
func TestRefusedConnections(t *testing.T) {
	tr := NewTracker()
	now := start
	for n := range 100 {
		now = now.Add(50 * time.Millisecond)
		tr.Responded(now)
		tr.NotConnected(fmt.Sprint(n%endpoints), now)
		must.Eq(t, n >= minUnreached-1, tr.CutOff(endpoints, now))
		must.True(t, tr.TrustsOpen(endpoints, now))
	}
	must.False(t, tr.TrustsOpen(endpoints, now.Add(quietTime)))
	must.False(t, tr.CutOff(endpoints, now.Add(evidenceTTL+time.Millisecond)))
}

// A third of the endpoints is unreachable: the instance seldom takes itself for cut off, and then until the next probe.
func TestUnreachableEndpointsAreNoLastingCutOff(t *testing.T) {
	cutOff, _ := play(t, 20*time.Second, pattern{openAlive: true}, pattern{from: 0, unreachable: endpoints / 3, took: dialTimeout, openAlive: true})
	must.Less(t, 2*time.Second, cutOff[1])
}

func TestOnlyEndpointIsNotReached(t *testing.T) {
	tr := NewTracker()
	must.False(t, tr.CutOff(1, start))
	tr.NotConnected("1", start)
	must.True(t, tr.CutOff(1, start))
	must.False(t, tr.CutOff(2, start))
}

func TestRequestsAreSpreadOverPeers(t *testing.T) {
	p := NewPeers("z2")
	peers := []Peer{{"a.1", "z2"}, {"b.1", "z1"}, {"c.1", "z2"}}
	counts := make(map[id.Session]int)
	for range 9 {
		best, ok := p.Choose(peers, nil, start)
		must.True(t, ok)
		p.Begun(best.Session)
		counts[best.Session]++
	}
	must.Eq(t, map[id.Session]int{"a.1": 3, "b.1": 3, "c.1": 3}, counts)
	best, _ := p.Choose(peers, nil, start)
	must.Eq(t, "b.1", best.Session) // of another availability zone
	p.Refused("b.1", start)
	best, _ = p.Choose(peers, map[id.Session]bool{"a.1": true}, start.Add(refusedTime-1))
	must.Eq(t, "c.1", best.Session)
	_, ok := p.Choose(peers[1:2], nil, start.Add(refusedTime-1))
	must.False(t, ok)
	best, _ = p.Choose(peers, nil, start.Add(refusedTime))
	must.Eq(t, "b.1", best.Session)
	p.Ended("a.1")
	best, _ = p.Choose(peers, nil, start.Add(refusedTime))
	must.Eq(t, "a.1", best.Session)
	p.Refused("a.1", start.Add(refusedTime))
	p.Recovered("a.1")
	best, _ = p.Choose(peers, nil, start.Add(refusedTime))
	must.Eq(t, "a.1", best.Session)
}

// A zone is cut off as a whole, and its instances do not know of each other that they are: every request finds a peer
// of another zone with its first tries.
func TestZoneIsCutOff(t *testing.T) {
	const tries, requestTime, length = 3, 500 * time.Millisecond, 10 * time.Second
	for _, zone := range []int{6, 13, 40} {
		for _, rate := range []int{2, 10, 25} {
			p := NewPeers("z1")
			var peers []Peer
			for n := range zone - 1 {
				peers = append(peers, Peer{id.Session(fmt.Sprintf("off%d.1", n)), "z1"})
			}
			for n := range 3 * zone {
				peers = append(peers, Peer{id.Session(fmt.Sprintf("on%d.1", n)), "z2"})
			}
			var running []id.Session
			perRequest := time.Second / time.Duration(rate)
			for at := time.Duration(0); at < length; at += perRequest {
				now, tried, served := start.Add(at), make(map[id.Session]bool), false
				for range tries {
					c, ok := p.Choose(peers, tried, now)
					must.True(t, ok)
					tried[c.Session] = true
					if served = c.Zone == "z2"; served {
						p.Begun(c.Session)
						running = append(running, c.Session)
						break
					}
					p.Refused(c.Session, now)
				}
				must.True(t, served, must.Sprintf("zone of %d, %d requests/s, at %s", zone, rate, at))
				for len(running) > int(requestTime/perRequest) {
					p.Ended(running[0])
					running = running[1:]
				}
			}
		}
	}
}
