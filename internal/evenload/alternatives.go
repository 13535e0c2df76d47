package evenload

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// smallSubset is the number of endpoints in the subset of an instance.
	smallSubset = 8
	// manyChoices is the number of random choices of the policy with d choices.
	manyChoices = 4
	// estimateSpread smooths the number of free slots, so that endpoints that seem full get a few requests.
	estimateSpread = 1
	// assumedTransit is the assumed age of a report at its receipt.
	assumedTransit = 50 * time.Millisecond
)

// Policies are all policies by name. "gateway" is the one in use, "least_cost" the one that it uses with few
// peers. The others know the speeds of the endpoints exactly, except for times in which one is slow.
var Policies = map[string]NewPolicy{
	"gateway":      Gateway,
	"least_cost":   LeastCost,
	"least_loaded": counting(false, (*counts).leastOfAll),
	"extrapolated": counting(true, (*counts).leastOfAll),
	"two_choices":  counting(false, func(c *counts, loads []float64) int { return c.leastOfRandom(loads, 2) }),
	"d_choices":    counting(true, func(c *counts, loads []float64) int { return c.leastOfRandom(loads, manyChoices) }),
	"weighted":     counting(true, (*counts).weighted),
	"subset":       counting(true, (*counts).leastOfSubset),
}

// counts is a policy that knows the reported counts.
type counts struct {
	s           Scenario
	rand        *rand.Rand
	own, peers  []int
	reports     map[int]Report
	receipts    time.Duration // sum of the times of receipt of reports
	received    map[int]time.Duration
	inSubset    []bool
	extrapolate bool
	choose      func(*counts, []float64) int
}

func counting(extrapolate bool, choose func(*counts, []float64) int) NewPolicy {
	return func(s Scenario, instance int) Policy {
		c := &counts{
			s: s, rand: rand.New(rand.NewPCG(s.Seed, uint64(instance))), own: make([]int, s.Endpoints), peers: make([]int, s.Endpoints),
			reports: make(map[int]Report), received: make(map[int]time.Duration), inSubset: make([]bool, s.Endpoints),
			extrapolate: extrapolate, choose: choose,
		}
		for _, e := range c.rand.Perm(s.Endpoints)[:min(smallSubset, s.Endpoints)] {
			c.inSubset[e] = true
		}
		return c
	}
}

func (c *counts) usual(endpoint int) float64 {
	return c.s.MeanTime.Seconds() * c.s.Scales[endpoint%len(c.s.Scales)]
}

// Pick implements Policy.
func (c *counts) Pick(now time.Duration) int {
	kept := 1.0
	if n := len(c.reports); n > 0 && c.extrapolate {
		age := now - c.receipts/time.Duration(n) + assumedTransit
		kept = math.Exp(-age.Seconds() / c.s.MeanTime.Seconds())
	}
	sum := 0
	for _, n := range c.peers {
		sum += n
	}
	mean := float64(sum) / float64(len(c.peers))
	loads := make([]float64, len(c.own))
	for e := range loads {
		loads[e] = float64(c.own[e]) + kept*float64(c.peers[e]) + (1-kept)*mean
	}
	return c.choose(c, loads)
}

// cost returns the expected time of a request.
func (c *counts) cost(endpoint int, load float64) float64 {
	slots := float64(c.s.Slots)
	return c.usual(endpoint) * (1 + batchSlowdown*min(load, slots)/slots + max(load+1-slots, 0)/slots)
}

func (c *counts) leastOfAll(loads []float64) int {
	return c.least(loads, func(int) bool { return true })
}

func (c *counts) leastOfSubset(loads []float64) int {
	return c.least(loads, func(e int) bool { return c.inSubset[e] })
}

func (c *counts) least(loads []float64, eligible func(int) bool) int {
	best, least := 0, math.Inf(1)
	first := c.rand.IntN(len(loads)) // spreads ties
	for i := range loads {
		e := (first + i) % len(loads)
		if cost := c.cost(e, loads[e]); eligible(e) && cost < least {
			best, least = e, cost
		}
	}
	return best
}

func (c *counts) leastOfRandom(loads []float64, n int) int {
	best, least := 0, math.Inf(1)
	for range n {
		e := c.rand.IntN(len(loads))
		if cost := c.cost(e, loads[e]); cost < least {
			best, least = e, cost
		}
	}
	return best
}

// weighted chooses at random by the estimated number of free slots and the speed.
func (c *counts) weighted(loads []float64) int {
	best, sum := 0, 0.0
	for e, load := range loads {
		weight := estimateSpread * math.Log1p(math.Exp((float64(c.s.Slots)-load)/estimateSpread)) / c.usual(e)
		sum += weight
		if c.rand.Float64()*sum < weight {
			best = e
		}
	}
	return best
}

// Sent implements Policy.
func (c *counts) Sent(endpoint int, _ time.Duration) int64 { c.own[endpoint]++; return 0 }

// Observe implements Policy.
func (c *counts) Observe(int, int64, time.Duration) {}

// Ended implements Policy.
func (c *counts) Ended(endpoint int, _ int64, _, _ time.Duration) { c.own[endpoint]-- }

// Receive implements Policy.
func (c *counts) Receive(r Report, now time.Duration) {
	for _, l := range c.reports[r.From].Loads {
		c.peers[l.Endpoint] -= l.Running
	}
	for _, l := range r.Loads {
		c.peers[l.Endpoint] += l.Running
	}
	c.receipts += now - c.received[r.From]
	c.reports[r.From], c.received[r.From] = r, now
}
