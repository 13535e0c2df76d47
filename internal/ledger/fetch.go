package ledger

import (
	"slices"

	"ragwortstile/internal/id"
	"ragwortstile/internal/peer"
)

// fetchRounds is how often a missing copy is requested, each time from the next peer that has it, if several do.
const fetchRounds = 3

// fetch plans from which peer to fetch each copy, so that each is sent only once and peers in the same
// availability zone are preferred. It does no I/O.
type fetch struct {
	zone    string
	known   func(sum uint64) bool
	sources map[uint64][]peer.Remote // by copy: peers that have it and were not asked for it
	fetched map[uint64]bool
}

func newFetch(zone string, known func(sum uint64) bool) *fetch {
	return &fetch{zone: zone, known: known, sources: make(map[uint64][]peer.Remote), fetched: make(map[uint64]bool)}
}

// addSource records which copies a peer has. Copies that are known are ignored.
func (f *fetch) addSource(r peer.Remote, sums []uint64) {
	for _, sum := range sums {
		if !f.known(sum) {
			f.sources[sum] = append(f.sources[sum], r)
		}
	}
}

// markFetched records copies that were fetched or are already here.
func (f *fetch) markFetched(sums []uint64) {
	for _, sum := range sums {
		f.fetched[sum] = true
	}
}

// plan returns the copies to fetch from each peer next. Each missing copy is fetched from one peer: the one
// with the fewest copies in the plan among those in the same zone, or among all if none is.
func (f *fetch) plan() map[id.Session][]uint64 {
	plan := make(map[id.Session][]uint64)
	for sum, sources := range f.sources {
		if f.fetched[sum] || len(sources) == 0 {
			continue
		}
		best := 0
		for i, r := range sources {
			b := sources[best]
			if near, bestNear := r.Zone == f.zone, b.Zone == f.zone; near != bestNear {
				if near {
					best = i
				}
			} else if len(plan[r.Session]) < len(plan[b.Session]) {
				best = i
			}
		}
		session := sources[best].Session
		plan[session] = append(plan[session], sum)
		f.sources[sum] = slices.Delete(sources, best, best+1)
	}
	return plan
}

// missing returns the number of copies that some peer has and that were not fetched.
func (f *fetch) missing() int {
	n := 0
	for sum := range f.sources {
		if !f.fetched[sum] {
			n++
		}
	}
	return n
}
