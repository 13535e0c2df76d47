package ledger

import (
	"slices"

	"ragwortstile/internal/id"
	"ragwortstile/internal/peer"
)

// fetchRounds is how many peers are asked for a copy, one after the other.
const fetchRounds = 3

// fetch plans from which peer to get each copy, so that none is sent twice and peers of the own
// availability zone are preferred. It has no I/O.
type fetch struct {
	zone    string
	known   func(sum uint64) bool
	holders map[uint64][]peer.Remote // by copy: peers that have it and were not asked for it
	got     map[uint64]bool
}

func newFetch(zone string, known func(sum uint64) bool) *fetch {
	return &fetch{zone: zone, known: known, holders: make(map[uint64][]peer.Remote), got: make(map[uint64]bool)}
}

// at notes which copies a peer has.
func (f *fetch) at(r peer.Remote, sums []uint64) {
	for _, sum := range sums {
		if !f.known(sum) {
			f.holders[sum] = append(f.holders[sum], r)
		}
	}
}

// have notes copies that are here.
func (f *fetch) have(sums []uint64) {
	for _, sum := range sums {
		f.got[sum] = true
	}
}

// plan returns which copies to ask of each peer next: each missing copy of one peer, the one with the least
// to send among those of the own zone, or else of all.
func (f *fetch) plan() map[id.Session][]uint64 {
	plan := make(map[id.Session][]uint64)
	for sum, holders := range f.holders {
		if f.got[sum] || len(holders) == 0 {
			continue
		}
		best := 0
		for i, r := range holders {
			b := holders[best]
			if near, bestNear := r.Zone == f.zone, b.Zone == f.zone; near != bestNear {
				if near {
					best = i
				}
			} else if len(plan[r.Session]) < len(plan[b.Session]) {
				best = i
			}
		}
		session := holders[best].Session
		plan[session] = append(plan[session], sum)
		f.holders[sum] = slices.Delete(holders, best, best+1)
	}
	return plan
}

// missing returns the number of copies that some peer has and that did not come.
func (f *fetch) missing() int {
	n := 0
	for sum := range f.holders {
		if !f.got[sum] {
			n++
		}
	}
	return n
}
