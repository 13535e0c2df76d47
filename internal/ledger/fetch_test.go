package ledger

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/id"
	"ragwortstile/internal/peer"
)

// Replays the end of an outage of the store on a site of 91 instances: each copy is at six peers and most are
// known already. Each missing copy is asked of one peer, of the own availability zone where possible, and
// of another one when it doesn't come.
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
		f.at(peer.Remote{Session: id.Session(fmt.Sprintf("i%d.1", i)), Zone: fmt.Sprintf("z%d", i%4)}, sums)
	}
	plan := f.plan()
	asked := map[uint64]id.Session{}
	for session, sums := range plan {
		must.LessEq(t, 8, len(sums), must.Sprint("one peer sends most of the copies"))
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
	f.have(got)
	must.Eq(t, 1, f.missing())
	again := f.plan()
	must.MapLen(t, 1, again)
	for session, sums := range again {
		must.Eq(t, []uint64{7}, sums)
		must.NotEq(t, asked[7], session)
	}
}

// A peer of the own zone is preferred also when it has more to send.
func TestCopiesComeFromTheOwnZone(t *testing.T) {
	f := newFetch("z0", func(uint64) bool { return false })
	f.at(peer.Remote{Session: "far.1", Zone: "z1"}, []uint64{1, 2, 3})
	f.at(peer.Remote{Session: "near.1", Zone: "z0"}, []uint64{1, 2, 3})
	must.MapLen(t, 1, f.plan())
}
