package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var now = time.Unix(1_700_000_000, 0)

func endpoints(ids ...string) []Endpoint {
	out := make([]Endpoint, 0, len(ids))
	for _, id := range ids {
		out = append(out, Endpoint{ID: id, Addr: id, Zone: "z", Slots: 4})
	}
	return out
}

func learn(b *Balancer, id string, took time.Duration) {
	for range 30 {
		b.Ended(id, b.Sent(id, now), Served, took, now)
	}
}

func counts(b *Balancer, q Query, n int) map[string]int {
	out := make(map[string]int)
	for range n {
		e, _, ok := b.Pick(q, now)
		if ok {
			out[e.ID]++
		}
	}
	return out
}

// The faster of two endpoints gets all requests until queueing there would take longer than a request at the
// slower one.
func TestFastEndpointsFirst(t *testing.T) {
	b := New("z", 1)
	q := Query{Candidates: endpoints("fast", "slow")}
	learn(b, "fast", 100*time.Millisecond)
	learn(b, "slow", 180*time.Millisecond)
	must.Eq(t, map[string]int{"fast": 100}, counts(b, q, 100))
	for range 4 {
		b.ResponseStarted("fast", b.Sent("fast", now))
	}
	must.Eq(t, map[string]int{"fast": 100}, counts(b, q, 100))
	for range 3 {
		b.ResponseStarted("fast", b.Sent("fast", now))
	}
	must.Eq(t, map[string]int{"slow": 100}, counts(b, q, 100))
}

// The load that a peer reports counts until the report is older than peerLoadTTL.
func TestLoadOfPeers(t *testing.T) {
	b := New("z", 1)
	q := Query{Candidates: endpoints("1", "2")}
	b.SetPeerReport("p", Report{Loads: map[string]Load{"1": {Running: 9}}, Turns: Turns{Waiting: 2}}, now)
	must.Eq(t, map[string]int{"2": 50}, counts(b, q, 50))
	e, load, ok := b.Pick(Query{Candidates: endpoints("1")}, now)
	must.True(t, ok)
	must.Eq(t, "1", e.ID)
	must.Eq(t, 9, load)
	must.Eq(t, 4, b.Room(q.Candidates, 1, now))
	must.Eq(t, Turns{Waiting: 2}, b.PeerTurns())
	b.SetPeerReport("p", Report{Loads: map[string]Load{"2": {Running: 1, Overdue: true}}}, now) // replaces the first one
	must.Eq(t, 7, b.Room(q.Candidates, 1, now))
	must.Eq(t, Turns{}, b.PeerTurns())
	_, load, _ = b.Pick(Query{Candidates: endpoints("2")}, now.Add(peerLoadTTL))
	must.Eq(t, 0, load)
	must.MapLen(t, 0, b.peers)
	must.MapLen(t, 0, b.peerLoads)
}

// With a bound on the load, a request goes to an endpoint with room that is not far slower than the best one.
func TestBoundOnTheLoad(t *testing.T) {
	b := New("z", 1)
	q := Query{Candidates: endpoints("fast", "usual", "slow"), MaxLoad: 1}
	learn(b, "fast", 50*time.Millisecond)
	learn(b, "usual", 100*time.Millisecond)
	learn(b, "slow", 500*time.Millisecond)
	for range 4 {
		b.Sent("fast", now)
	}
	must.Eq(t, map[string]int{"usual": 20}, counts(b, q, 20))
	for range 4 {
		b.Sent("usual", now)
	}
	must.MapLen(t, 0, counts(b, q, 20))
	q.MaxLoad = 0
	must.MapLen(t, 1, counts(b, q, 20))
}

func TestFailedAndRefusingEndpointsAreAvoided(t *testing.T) {
	for _, result := range []Result{Failed, Refused} {
		b := New("z", 1)
		q := Query{Candidates: endpoints("1", "2")}
		b.Ended("1", b.Sent("1", now), result, 0, now)
		must.Eq(t, map[string]int{"2": 50}, counts(b, q, 50))
		got := make(map[string]int)
		for range 50 {
			e, _, _ := b.Pick(q, now.Add(time.Minute))
			got[e.ID]++
		}
		must.MapLen(t, 2, got)
	}
}

func TestTriedEndpointsAreSkipped(t *testing.T) {
	b := New("z", 1)
	q := Query{Candidates: endpoints("1", "2"), Tried: map[string]bool{"1": true}}
	must.Eq(t, map[string]int{"2": 20}, counts(b, q, 20))
	q.Tried["2"] = true
	_, _, ok := b.Pick(q, now)
	must.False(t, ok)
}

// Among otherwise equal endpoints, one that saves part of the request's time, one with an open connection and
// one in the same availability zone are preferred.
func TestPreferencesAmongEquals(t *testing.T) {
	b := New("z", 1)
	q := Query{Candidates: endpoints("1", "2")}
	q.Savings = map[string]float64{"2": 0.25}
	must.Eq(t, map[string]int{"2": 50}, counts(b, q, 50))
	q.Savings = nil
	q.Connected = func(addr string) bool { return addr == "1" }
	must.Eq(t, map[string]int{"1": 50}, counts(b, q, 50))
	q.Connected = nil
	q.Candidates[1].Zone = "far"
	must.Greater(t, 35, counts(b, q, 50)["1"])
}

// The estimated time of an endpoint follows its event rate, although its streams differ widely in length.
func TestStreamTimeFollowsTheEventRate(t *testing.T) {
	b := New("z", 1)
	r := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		events := 2 + r.Int64N(10)
		first := 20 * time.Millisecond
		latency := b.StreamTime(first, first+time.Duration(events-1)*30*time.Millisecond, events)
		b.Ended("1", b.Sent("1", now), Served, latency, now)
	}
	want := (20 + 30*(b.events-1)) / 1000
	must.InDelta(t, want, b.states["1"].latency, 0.05)
	must.Eq(t, time.Duration(0), b.StreamTime(1, 2, 1))
}

func TestPrune(t *testing.T) {
	b := New("z", 1)
	learn(b, "1", time.Second)
	b.Sent("2", now)
	b.SetPeerReport("p", Report{}, now)
	b.Prune(map[string]bool{})
	must.MapLen(t, 1, b.states) // endpoint 2 still has a request
	b.Room(nil, 1, now.Add(time.Second))
	must.MapLen(t, 0, b.peers)
	must.Eq(t, map[string]Load{"2": {Running: 1}}, b.LocalLoads(now))
}

// An endpoint that does not begin its response in time is avoided, by this instance and by peers that receive
// its load report.
func TestHangingEndpoints(t *testing.T) {
	b := New("z", 1)
	q := Query{Candidates: endpoints("1", "2")}
	learn(b, "1", 50*time.Millisecond)
	learn(b, "2", 100*time.Millisecond)
	number := b.Sent("1", now)
	late := now.Add(1500 * time.Millisecond)
	for range 50 {
		e, _, _ := b.Pick(q, late)
		must.Eq(t, "2", e.ID)
	}
	loads := b.LocalLoads(late)
	must.True(t, loads["1"].Overdue)
	peer := New("z", 1)
	peer.SetPeerReport("p", Report{Loads: loads}, late)
	for range 50 {
		e, _, _ := peer.Pick(q, late)
		must.Eq(t, "2", e.ID)
	}
	b.Ended("1", number, Abandoned, 0, late)
	must.Greater(t, 0.1, b.states["1"].failureRate(late))
}

// An endpoint that fails some of its requests is avoided although it is faster, and is used again once its
// failure rate has decayed.
func TestPartlyFailingEndpoint(t *testing.T) {
	b := New("z", 1)
	q := Query{Candidates: endpoints("1", "2")}
	learn(b, "1", 50*time.Millisecond)
	learn(b, "2", 70*time.Millisecond)
	for i := range 20 {
		result := Served
		if i%3 == 0 {
			result = Failed
		}
		b.Ended("1", b.Sent("1", now), result, 50*time.Millisecond, now)
	}
	must.Eq(t, map[string]int{"2": 50}, counts(b, q, 50))
	e, _, _ := b.Pick(q, now.Add(time.Minute))
	must.Eq(t, "1", e.ID)
}

// A limited endpoint without a permit gets no request; a permit is asked for if it is better than the chosen one.
func TestPermissions(t *testing.T) {
	b := New("z", 1)
	learn(b, "fast", 50*time.Millisecond)
	learn(b, "usual", 100*time.Millisecond)
	learn(b, "slow", 200*time.Millisecond)
	asked := make(map[string]int)
	permissions := map[string]Permission{"fast": Askable, "slow": Askable}
	q := Query{
		Candidates: endpoints("fast", "usual", "slow"), Ask: func(id string) { asked[id]++ },
		Permission: func(id string, _ time.Time) Permission { return permissions[id] },
	}
	must.Eq(t, map[string]int{"usual": 10}, counts(b, q, 10))
	must.Eq(t, map[string]int{"fast": 10}, asked)
	permissions["fast"] = Denied
	must.Eq(t, map[string]int{"usual": 10}, counts(b, q, 10))
	must.Eq(t, map[string]int{"fast": 10}, asked)
	permissions["usual"] = Denied
	must.MapEmpty(t, counts(b, q, 10))
	must.Eq(t, map[string]int{"fast": 10, "slow": 10}, asked)
	permissions["slow"] = Allowed // the fast one does not make it too slow
	q.MaxLoad = 1
	must.Eq(t, map[string]int{"slow": 10}, counts(b, q, 10))
}

// A limited endpoint has no more slots than its limit can fill, and is no measure for the speed of others.
func TestOccupancyOfLimitedEndpoints(t *testing.T) {
	b := New("z", 1)
	learn(b, "fast", 20*time.Millisecond)
	learn(b, "slow", 100*time.Millisecond)
	candidates := endpoints("fast", "slow")
	b.Sent("slow", now)
	b.Sent("slow", now)
	must.Eq(t, 0, b.Occupancy(candidates, 0, now)) // the slow one is left out
	b.SetLimit("fast", true, 10)
	must.InDelta(t, 2/4.2, b.Occupancy(candidates, 0, now), 0.01)
	must.InDelta(t, 2.2, b.Room(candidates, 1, now), 0.01)
	b.SetLimit("fast", false, 0)
	must.InDelta(t, 6, b.Room(candidates, 1, now), 0.01)
}
