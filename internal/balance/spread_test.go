package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// crowd returns the balancers of many instances that have received reports of each other, with the given requests of
// peers that are all at the same endpoint.
func crowd(n int, loads map[string]Load) []*Balancer {
	out := make([]*Balancer, n)
	for i := range out {
		out[i] = New("z", uint64(i))
		out[i].SetInstance(fmt.Sprint("i", i))
		for j := range n {
			if i != j {
				out[i].SetPeerReport(fmt.Sprint("i", j), Report{Zone: "z", Loads: loads}, now)
			}
		}
	}
	return out
}

func numbered(n int) []Endpoint {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprint("e", i)
	}
	return endpoints(ids...)
}

// Load: many instances choose at the same moment with the same information. With the least cost, all would choose the
// same few endpoints; each uses its own part, so no endpoint gets more than its slots.
func TestInstancesUseTheirOwnSlotsFirst(t *testing.T) {
	got := make(map[string]int)
	for _, b := range crowd(12, nil) {
		q := Query{Candidates: numbered(6)}
		for range 2 { // 24 requests at 24 slots
			e, _, ok := b.Pick(q, now)
			must.True(t, ok)
			must.Eq(t, OwnSlot, b.LastDecision().Rule)
			b.Sent(e.ID, now)
			got[e.ID]++
		}
	}
	must.MapLen(t, 6, got)
	for id, n := range got {
		must.Eq(t, 4, n, must.Sprint(id))
	}
}

// Load: an instance has more requests than slots of its own. The rest is spread over the endpoints by their free slots,
// not sent to the one that seems the least loaded.
func TestFurtherRequestsSpreadOverFreeSlots(t *testing.T) {
	b := crowd(12, map[string]Load{"e1": {Running: 1}})[0] // e1 is far over its 4 slots
	q := Query{Candidates: numbered(6)}
	for range 2 {
		b.Sent("e0", now) // its own slots
	}
	got := counts(b, q, 300)
	must.Eq(t, FreeSlots, b.LastDecision().Rule)
	must.Less(t, 10, got["e1"])
	for _, id := range []string{"e2", "e3", "e4", "e5"} {
		must.Between(t, 30, got[id], 120, must.Sprint(id))
	}
}

// With few peers, or without a name, the endpoint of least cost is chosen as before.
func TestFewPeersUseTheLeastCost(t *testing.T) {
	unnamed := crowd(12, nil)[0]
	unnamed.SetInstance("")
	for _, b := range []*Balancer{crowd(spreadPeers, nil)[0], unnamed} {
		_, _, ok := b.Pick(Query{Candidates: numbered(3)}, now)
		must.True(t, ok)
		must.Eq(t, LeastCost, b.LastDecision().Rule)
	}
}

// Load: calm, with fresh reports. The faster of two endpoints is chosen as with few peers, and an instance whose own
// slots are at a slow endpoint learns that there is a faster one.
func TestCalmLoadUsesTheLeastCost(t *testing.T) {
	b := crowd(12, nil)[0]
	q := Query{Candidates: numbered(3)}
	learn(b, "e0", 1200*time.Millisecond)
	learn(b, "e1", time.Second)
	learn(b, "e2", time.Second)
	e, _, ok := b.Pick(q, now)
	must.True(t, ok)
	must.NotEq(t, "e0", e.ID) // of which it owns a slot
	must.Eq(t, LeastCost, b.LastDecision().Rule)
	b = crowd(12, map[string]Load{"e1": {Running: 1}})[0] // 11 of 12 slots
	learn(b, "e0", time.Second)
	_, _, ok = b.Pick(q, now)
	must.True(t, ok)
	must.NotEq(t, LeastCost, b.LastDecision().Rule)
}

// What takes precedence over an even load: a warm prefix, a faster endpoint, one that neither fails nor refuses, one
// that was not tried and needs no permit.
func TestPrecedenceOverEvenLoad(t *testing.T) {
	for name, set := range map[string]func(*Balancer, *Query){
		"warm prefix": func(_ *Balancer, q *Query) { q.Savings = map[string]float64{"e5": 0.25} },
		"failing": func(b *Balancer, q *Query) {
			eachBut(q, "e5", func(id string) { b.Ended(id, b.Sent(id, now), Failed, 0, now) })
		},
		"refusing": func(b *Balancer, q *Query) {
			eachBut(q, "e5", func(id string) { b.Ended(id, b.Sent(id, now), Refused, 0, now) })
		},
		"slow": func(b *Balancer, q *Query) { eachBut(q, "e5", func(id string) { learn(b, id, 300*time.Millisecond) }) },
		"tried": func(_ *Balancer, q *Query) {
			q.Tried = make(map[string]bool)
			eachBut(q, "e5", func(id string) { q.Tried[id] = true })
		},
		"without permit": func(_ *Balancer, q *Query) { q.Permission = allowOnly("e5") },
	} {
		t.Run(name, func(t *testing.T) {
			b := crowd(12, nil)[0]
			q := Query{Candidates: numbered(6)}
			learn(b, "e5", 100*time.Millisecond)
			set(b, &q)
			must.Eq(t, map[string]int{"e5": 50}, counts(b, q, 50))
		})
	}
}

func eachBut(q *Query, but string, do func(id string)) {
	for _, e := range q.Candidates {
		if e.ID != but {
			do(e.ID)
		}
	}
}

func allowOnly(allowed string) func(string, time.Time) Permission {
	return func(id string, _ time.Time) Permission {
		if id == allowed {
			return Allowed
		}
		return Denied
	}
}

// Bounds of admission hold for spread decisions, and the better of the endpoints that need a permit is asked for one.
func TestAdmissionBoundsHoldWhenSpread(t *testing.T) {
	b := crowd(12, map[string]Load{"e0": {Running: 1}})[0]
	learn(b, "e1", 100*time.Millisecond)
	learn(b, "e2", 500*time.Millisecond)
	q := Query{Candidates: numbered(3), MaxLoad: 1}
	must.Eq(t, map[string]int{"e1": 20}, counts(b, q, 20))
	for range 4 {
		b.Sent("e1", now)
	}
	must.MapEmpty(t, counts(b, q, 20)) // e2 is too slow
	q.AnySpeed = true
	must.Eq(t, map[string]int{"e2": 20}, counts(b, q, 20))
	asked := make(map[string]int)
	q = Query{Candidates: numbered(3)[1:], Ask: func(id string) { asked[id]++ }, Permission: func(id string, _ time.Time) Permission {
		if id == "e1" {
			return Askable
		}
		return Allowed
	}}
	must.Eq(t, map[string]int{"e2": 5}, counts(b, q, 5))
	must.Eq(t, map[string]int{"e1": 5}, asked)
}

// Load: the largest fleet. A decision finds the only endpoint that may get the request, and allocates nothing.
func TestManyEndpoints(t *testing.T) {
	b, q := fleet(740, 410)
	must.Eq(t, 0, testing.AllocsPerRun(100, func() { b.Pick(q, now) }))
	q.Permission = allowOnly("endpoint-600")
	e, _, ok := b.Pick(q, now)
	must.True(t, ok)
	must.Eq(t, "endpoint-600", e.ID)
	q.Permission = allowOnly("")
	_, _, ok = b.Pick(q, now)
	must.False(t, ok)
	q.Permission, q.MaxLoad = nil, 1
	for _, e := range q.Candidates { // one of them has room
		for range 6 {
			if e.ID != "endpoint-650" {
				b.Sent(e.ID, now)
			}
		}
	}
	must.Eq(t, map[string]int{"endpoint-650": 20}, counts(b, q, 20))
	b, q = fleet(740, 410)
	q.Savings = map[string]float64{"endpoint-700": 0.5}
	must.Eq(t, map[string]int{"endpoint-700": 20}, counts(b, q, 20))
}

// Each slot has one owner among instances that know each other; zones are matched where the shares are equal.
func TestEachSlotHasOneOwner(t *testing.T) {
	candidates := numbered(30)
	for i := range candidates {
		candidates[i].Zone = fmt.Sprint("z", i%3)
	}
	owned, sameZone := make([]float64, len(candidates)), 0.0
	for i := range 12 {
		b := New(fmt.Sprint("z", i%3), 1)
		b.SetInstance(fmt.Sprint("i", i))
		for j := range 12 {
			if i != j {
				b.SetPeerReport(fmt.Sprint("i", j), Report{Zone: fmt.Sprint("z", j%3)}, now)
			}
		}
		part := b.ownership(candidates, now)
		for k, e := range candidates {
			owned[k] += part.slots(k)
			if e.Zone == b.zone {
				sameZone += part.slots(k)
			}
		}
	}
	for k := range owned {
		must.InDelta(t, 4, owned[k], 1e-9)
	}
	must.InDelta(t, 120, sameZone, 1e-9)
}

// A peer that has left owns nothing after memberTTL, and one that was idle for a moment keeps its slots.
func TestOwnersThatLeave(t *testing.T) {
	b := crowd(12, nil)[0]
	_, count := b.rank(now.Add(memberTTL - time.Millisecond))
	must.Eq(t, 12, count)
	_, count = b.rank(now.Add(memberTTL + rankInterval))
	must.Eq(t, 1, count)
}

// Old reports count less: what they name has ended since, and others have arrived anywhere.
func TestEstimatesByAge(t *testing.T) {
	b := crowd(9, map[string]Load{"e0": {Running: 1}})[0]
	learn(b, "e0", 200*time.Millisecond)
	b.Sent("e1", now)
	loads := func(at time.Time) (float64, float64) {
		q := Query{Candidates: numbered(2)}
		found := b.examine(q, b.ownership(q.Candidates, at), false, at)
		return found[0].load, found[1].load
	}
	fresh0, fresh1 := loads(now)
	old0, old1 := loads(now.Add(500 * time.Millisecond))
	must.Greater(t, 7, fresh0+0.8) // of the 8 reported ones
	must.Less(t, fresh0, old0)
	must.Greater(t, fresh1, old1)
	must.InDelta(t, fresh0+fresh1, old0+old1, 1e-9)
	must.GreaterEq(t, 1, fresh1) // the own request is exact
}

// Decisions are counted when a request follows, and an endpoint that turns out to be overloaded is counted once.
func TestDecisionsAreCounted(t *testing.T) {
	b := crowd(12, nil)[0]
	q := Query{Candidates: numbered(1)}
	b.Pick(q, now)
	must.Eq(t, [3]int64{}, b.Stats().ByRule)
	b.Pick(q, now)
	b.Sent("e0", now)
	must.Eq(t, [3]int64{OwnSlot: 0, FreeSlots: 1}, b.Stats().ByRule)
	b.LocalLoads(now)
	must.Eq(t, 0, b.Stats().Overloaded)
	b.SetPeerReport("i1", Report{Loads: map[string]Load{"e0": {Running: 4}}}, now)
	for range 2 {
		b.LocalLoads(now)
	}
	must.Eq(t, 1, b.Stats().Overloaded)
}

// Names of peers are not kept after memberTTL: restarted instances have new names, and with few peers, or while
// decisions are never spread, the rank is not computed.
func TestMembersAreBounded(t *testing.T) {
	for _, name := range []string{"", "i0"} {
		b := New("z", 1)
		b.SetInstance(name)
		for i := range 100 {
			b.SetPeerReport(fmt.Sprint("p", i), Report{}, now.Add(time.Duration(i)*time.Second))
		}
		must.LessEq(t, 4, len(b.membership.members))
	}
}

// Load: most fast endpoints are full, and one that a decision rarely examines at first has room.
func TestFastEndpointIsFoundAmongMany(t *testing.T) {
	b, q := fleet(740, 410)
	q.MaxLoad = 1
	for i, e := range q.Candidates {
		seconds := 0.5
		if i%10 == 0 {
			seconds = 0.05
		}
		b.endpointState(e.ID).speed = speed{latency: seconds, longTerm: seconds, sampled: now, memory: slowMemory}
		if i%10 == 0 && i != 650 {
			for range 6 {
				b.Sent(e.ID, now)
			}
		}
	}
	must.Eq(t, map[string]int{"endpoint-650": 20}, counts(b, q, 20))
}
