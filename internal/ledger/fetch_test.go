package ledger

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/id"
	"ragwortstile/internal/peer"
)

// Simulates the end of a store outage in a cluster of 91 instances, where six peers have each copy and most
// copies are known already. Each missing copy is requested from one peer only, in the same availability zone if
// possible, and from another peer if it does not arrive.
func TestEachCopyIsFetchedOnce(t *testing.T) {
	const peers, copies = 90, 300
	f := newFetch("z0", func(sum uint64) bool { return sum >= 100 })
	for i := range peers {
		var sums []uint64
		for sum := range uint64(copies) {
			if (int(sum)+i)%(peers/6) == 0 {
				sums = append(sums, sum)
			}
		}
		f.addSource(peer.Remote{Session: id.Session(fmt.Sprintf("i%d.1", i)), Zone: fmt.Sprintf("z%d", i%4)}, sums)
	}
	plan := f.plan()
	asked := map[uint64]id.Session{}
	for session, sums := range plan {
		must.LessEq(t, 8, len(sums), must.Sprint("a single peer sends too many of the copies"))
		for _, sum := range sums {
			must.Eq(t, "", asked[sum])
			must.Less(t, 100, sum)
			asked[sum] = session
		}
	}
	must.MapLen(t, 100, asked)
	var got []uint64
	for sum := range asked {
		if sum != 7 {
			got = append(got, sum)
		}
	}
	f.markFetched(got)
	must.Eq(t, 1, f.missing())
	again := f.plan()
	must.MapLen(t, 1, again)
	for session, sums := range again {
		must.Eq(t, []uint64{7}, sums)
		must.NotEq(t, asked[7], session)
	}
}

// A peer in the same zone is preferred even if it has more to send.
func TestCopiesComeFromTheOwnZone(t *testing.T) {
	f := newFetch("z0", func(uint64) bool { return false })
	f.addSource(peer.Remote{Session: "far.1", Zone: "z1"}, []uint64{1, 2, 3})
	f.addSource(peer.Remote{Session: "near.1", Zone: "z0"}, []uint64{1, 2, 3})
	must.MapLen(t, 1, f.plan())
}
