package balance

import (
	"fmt"
	"testing"
	"time"
)

// fleet returns a balancer with reports of many peers and a query with many candidates.
func fleet(endpoints, peers int) (*Balancer, Query) {
	b := New("z0", 1)
	b.SetInstance("peer")
	var q Query
	for i := range endpoints {
		id := fmt.Sprint("endpoint-", i)
		q.Candidates = append(q.Candidates, Endpoint{ID: id, Addr: id, Zone: fmt.Sprint("z", i%3), Slots: 6})
		b.Ended(id, b.Sent(id, now), Served, 100*time.Millisecond, now)
	}
	for p := range peers {
		loads := make(map[string]Load)
		for i := range 8 {
			loads[fmt.Sprint("endpoint-", (p*8+i)%endpoints)] = Load{Running: 1}
		}
		b.SetPeerReport(fmt.Sprint("peer-", p), Report{Loads: loads}, now)
	}
	return b, q
}

func BenchmarkPick(b *testing.B) {
	balancer, q := fleet(740, 410)
	at := now
	b.ReportAllocs()
	for b.Loop() {
		at = at.Add(time.Microsecond)
		balancer.Pick(q, at)
	}
}
