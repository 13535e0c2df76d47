package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// With many peers, instances that know about the same choose the same endpoints, and what they know is older than the
// time in which an endpoint fills up. The decision is therefore spread over the endpoints that are about equally good:
//
//  1. Each instance owns a part of the slots (see ownership) and uses these first. Its own counts are exact, and no
//     other instance uses them first.
//  2. An instance whose own slots are in use chooses at random, weighted by the free slots that it estimates.
//
// While the load is low and the reports are fresh, the endpoint of least cost is chosen as with few peers.
//
// docs/design/even-load.md compares this with other policies.
const (
	// spreadPeers is the number of peers from which on decisions are spread. With fewer peers the counts of this
	// instance are a large part of the load, and the least cost is the better choice.
	spreadPeers = 8
	// similarQuality is how many times the cost without load of the best endpoint that of another one may be for the
	// decision to be spread over it. It covers crossZonePenalty and dialPenalty together and the noise of estimated
	// speeds: with 1.2, equal endpoints were left out because of the noise.
	similarQuality = 1.4
	// preferenceScale is the difference in cost without load, as a share, that makes a random choice e times less
	// likely: an endpoint that needs a new connection is chosen a seventh as often.
	preferenceScale = 0.05
	// ownSlotSlack is by how many requests the estimated load may exceed the slots of an endpoint for this instance to
	// use a slot of its own there: the estimate is older than its own count.
	ownSlotSlack = 1
	// loadSpread is the standard deviation of the error of an estimated load, in requests: about that of the arrivals
	// and ends at 6 slots within 200 ms.
	loadSpread = 1
	// Below calmLoad, as a share of the slots of the endpoints that are about as good as the best one, and while at least
	// freshShare of the reported requests are expected to be still there, the endpoint of least cost is chosen: there
	// is room for the error, and the cost compares speeds better.
	calmLoad   = 0.55
	freshShare = 0.7
	// maxExamined is the number of candidates that a decision examines, besides those with slots of its own and with
	// savings. It bounds the time of a decision.
	maxExamined = 56
	// maxOwnExamined bounds the candidates with slots of its own that a decision examines.
	maxOwnExamined = 16
	// maxAllExamined is the number of candidates up to which a decision examines all.
	maxAllExamined = maxExamined + maxOwnExamined
)

// candidate is an endpoint that a spread decision examines.
type candidate struct {
	index      int // in Query.Candidates
	state      *endpointState
	reports    peerLoad
	permission Permission
	full       bool // has reached Query.MaxLoad
	own, peers int  // requests of this instance, and reported ones
	load       float64
	quality    float64 // cost without load, in seconds
	cost       float64
}

// spreading reports whether there are so many peers that decisions are spread. Without a name the instance does not
// know which slots it owns.
func (b *Balancer) spreading() bool {
	return b.membership.name != "" && len(b.peers) >= spreadPeers
}

// pickSpread is Pick for many peers.
func (b *Balancer) pickSpread(q Query, now time.Time) (Endpoint, int, bool) {
	part := b.ownership(q.Candidates, now)
	found := b.examine(q, part, false, now)
	best, ask, leastCost := leastCosts(found)
	bounded := q.MaxLoad > 0 && !q.AnySpeed
	if len(q.Candidates) > maxAllExamined && (best < 0 || bounded && found[best].cost > maxCostRatio*leastCost) {
		// The examined candidates are full, closed to the request or too slow; others may not be.
		found = b.examine(q, part, true, now)
		best, ask, leastCost = leastCosts(found)
	}
	if ask >= 0 && (best < 0 || found[ask].cost < found[best].cost) && q.Ask != nil {
		q.Ask(q.Candidates[found[ask].index].ID)
	}
	if best < 0 {
		return Endpoint{}, 0, false
	}
	limit := math.Inf(1)
	if bounded {
		limit = maxCostRatio * leastCost
	}
	if found[best].cost > limit {
		return Endpoint{}, 0, false
	}
	c, rule := b.chooseAmong(q.Candidates, q.Savings, found, best, limit, part)
	e := q.Candidates[c.index]
	b.decision = Decision{Rule: rule, Reported: c.own + c.peers, Estimated: c.load, Slots: e.Slots, Age: b.reportAge(now), endpoint: e.ID}
	return e, c.own + c.peers, true
}

// leastCosts returns the candidate of least cost that may get the request and the one that a permit can be asked for,
// or -1, and the least cost of all that need no permit.
func leastCosts(found []candidate) (best, ask int, leastCost float64) {
	best, ask, leastCost = -1, -1, math.Inf(1)
	for i := range found {
		c := &found[i]
		if c.permission == Allowed {
			leastCost = min(leastCost, c.cost)
		}
		switch {
		case c.full:
		case c.permission == Askable:
			if ask < 0 || c.cost < found[ask].cost {
				ask = i
			}
		case best < 0 || c.cost < found[best].cost:
			best = i
		}
	}
	return best, ask, leastCost
}

// chooseAmong chooses among the candidates that are about as good as the one with the least cost.
func (b *Balancer) chooseAmong(endpoints []Endpoint, savings map[string]float64, found []candidate, best int, limit float64, part share) (candidate, Rule) {
	worst := similarQuality * found[best].quality
	if savings[endpoints[found[best].index].ID] > 0 {
		worst = found[best].quality // a warm prefix is worth more than an even load
	}
	owned, least, load, slots := -1, worst, 0.0, 0
	calmest, calmCost := best, math.Inf(1)
	for i, c := range found {
		if !c.full && c.permission == Allowed && c.cost <= limit && c.quality <= worst {
			least = min(least, c.quality)
			e := endpoints[c.index]
			load, slots = load+c.load, slots+e.Slots
			if cost := c.cost * (1 + costJitter*b.rand.Float64()); cost < calmCost {
				calmest, calmCost = i, cost
			}
			if float64(c.own) < part.slots(c.index)-0.5 && c.load <= float64(e.Slots)+ownSlotSlack && (owned < 0 || c.cost < found[owned].cost) {
				owned = i
			}
		}
	}
	if b.kept >= freshShare && load < calmLoad*float64(slots) {
		return found[calmest], LeastCost
	}
	if owned >= 0 {
		return found[owned], OwnSlot
	}
	sum, chosen := 0.0, best
	for i, c := range found {
		if c.full || c.permission != Allowed || c.cost > limit || c.quality > worst {
			continue
		}
		weight := expectedExcess(float64(endpoints[c.index].Slots) - c.load)
		if c.quality > least {
			weight *= math.Exp((1 - c.quality/least) / preferenceScale)
		}
		sum += weight
		if b.rand.Float64()*sum < weight {
			chosen = i
		}
	}
	return found[chosen], FreeSlots
}

// examine returns the candidates that the decision considers. The result is valid until the next call.
func (b *Balancer) examine(q Query, part share, all bool, now time.Time) []candidate {
	b.found = b.found[:0]
	n := len(q.Candidates)
	if all || n <= maxAllExamined {
		for i := range n {
			b.addCandidate(q, i, now)
		}
	} else {
		for k := range part.len() {
			b.addCandidate(q, part.at(k), now)
		}
		for id := range q.Savings {
			if i, ok := part.group.index[id]; ok {
				b.addCandidate(q, i, now)
			}
		}
		for range maxExamined {
			b.addCandidate(q, b.rand.IntN(n), now)
		}
	}
	b.estimate(q, part, now)
	return b.found
}

// addCandidate adds a candidate that may get the request.
func (b *Balancer) addCandidate(q Query, i int, now time.Time) {
	e := &q.Candidates[i]
	if e.Slots <= 0 || len(q.Tried) > 0 && q.Tried[e.ID] {
		return
	}
	c := candidate{index: i}
	if q.Permission != nil {
		if c.permission = q.Permission(e.ID, now); c.permission == Denied {
			return
		}
	}
	c.state, c.reports = b.endpointState(e.ID), b.peerLoads[e.ID]
	c.own, c.peers = c.state.running, c.reports.running
	c.full = q.MaxLoad > 0 && float64(c.own+c.peers) >= q.MaxLoad*float64(e.Slots)
	b.found = append(b.found, c)
}

// estimate sets the estimated loads and the costs of the examined candidates.
func (b *Balancer) estimate(q Query, part share, now time.Time) {
	peers, slots, known, seconds := 0, 0, 0, 0.0
	for _, c := range b.found {
		e := &q.Candidates[c.index]
		peers, slots = peers+c.peers, slots+e.Slots
		if c.state.latency > 0 {
			known, seconds = known+1, seconds+c.state.latency
		}
	}
	usual := defaultSeconds
	if known > 0 {
		usual = seconds / float64(known)
	}
	b.kept = b.keptShare(usual, now)
	mean := float64(peers) / float64(max(slots, 1))
	for i := range b.found {
		c := &b.found[i]
		e := &q.Candidates[c.index]
		c.load = float64(c.own) + b.kept*float64(c.peers) + (1-b.kept)*mean*float64(e.Slots)
		latency := c.state.presentLatency(usual, part.slots(c.index) > 0, now)
		saved := 0.0
		if len(q.Savings) > 0 {
			saved = q.Savings[e.ID]
		}
		c.quality = b.quality(e, c.state, c.reports.overdue, latency, usual, saved, now)
		if q.Connected != nil && !q.Connected(e.Addr) {
			c.quality += usual * dialPenalty
		}
		queued := expectedExcess(c.load + 1 - float64(e.Slots))
		c.cost = c.quality + latency*(concurrencySlowdown*min(c.load/float64(e.Slots), 1)+queueFactor*queued/float64(e.Slots))
	}
}

// expectedExcess returns by how much a load exceeds a bound on average, if its estimate exceeds it by x and has an
// error of loadSpread.
func expectedExcess(x float64) float64 {
	switch x /= loadSpread; {
	case x > 5:
		return x * loadSpread
	case x < -5:
		return loadSpread * math.Exp(x)
	default:
		return loadSpread * math.Log1p(math.Exp(x))
	}
}

// group is a list of candidates in the order in which their slots are shared out.
type group struct {
	order []int          // indices by zone and ID
	place []int          // of each index in order
	first []int          // slots before each place; one more than places
	index map[string]int // by endpoint ID
}

// maxGroups bounds the lists of candidates that are kept. Lists change with the configuration and the endpoints.
const maxGroups = 1024

// group returns the group of a list of candidates, which is built when the list is first used.
func (b *Balancer) group(candidates []Endpoint) *group {
	key := groupKey{&candidates[0], len(candidates)}
	if g := b.groups[key]; g != nil {
		return g
	}
	if b.groups == nil || len(b.groups) >= maxGroups {
		b.groups = make(map[groupKey]*group)
	}
	n := len(candidates)
	g := &group{order: make([]int, n), place: make([]int, n), first: make([]int, n+1), index: make(map[string]int, n)}
	for i, e := range candidates {
		g.order[i], g.index[e.ID] = i, i
	}
	slices.SortFunc(g.order, func(i, j int) int {
		return cmp.Or(cmp.Compare(candidates[i].Zone, candidates[j].Zone), cmp.Compare(candidates[i].ID, candidates[j].ID))
	})
	for place, i := range g.order {
		g.place[i] = place
		g.first[place+1] = g.first[place] + candidates[i].Slots
	}
	b.groups[key] = g
	return g
}

// groupKey identifies a list of candidates. The list is kept, so no other one gets its address.
type groupKey struct {
	first *Endpoint
	n     int
}

// share is the part of the slots of a group that this instance owns, from and before to in the order of the group.
type share struct {
	group    *group
	from, to float64
}

// slots returns how many slots of a candidate the instance owns.
func (s share) slots(index int) float64 {
	place := s.group.place[index]
	return max(0, min(float64(s.group.first[place+1]), s.to)-max(float64(s.group.first[place]), s.from))
}

// placeOf returns the place in the order of the group that a slot belongs to.
func (s share) placeOf(slot float64) int {
	place, _ := slices.BinarySearchFunc(s.group.first, slot, func(first int, slot float64) int {
		if float64(first) <= slot {
			return -1
		}
		return 1
	})
	return min(max(place-1, 0), len(s.group.order)-1)
}

// len returns the number of candidates that the instance owns slots of, at most maxOwnExamined.
func (s share) len() int { return min(s.placeOf(s.to)-s.placeOf(s.from)+1, maxOwnExamined) }

// at returns the index of the k-th of these candidates.
func (s share) at(k int) int { return s.group.order[s.placeOf(s.from)+k] }

// ownership returns the part of the slots that this instance owns. All instances in the order of zone and name get
// parts of equal size of all slots in the order of zone and ID of their endpoints, so no two instances with the same
// view own the same slot, and most slots are in the zone of their owner. Views that differ shift the parts slightly.
func (b *Balancer) ownership(candidates []Endpoint, now time.Time) share {
	if len(candidates) == 0 {
		return share{group: &group{}}
	}
	g := b.group(candidates)
	rank, n := b.rank(now)
	width := float64(g.first[len(candidates)]) / float64(n)
	return share{group: g, from: float64(rank) * width, to: float64(rank+1) * width}
}
