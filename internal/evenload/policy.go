package evenload

import (
	"fmt"
	"time"

	"ragwortstile/internal/balance"
)

// epoch is the time of day at which simulations begin.
var epoch = time.Unix(1_700_000_000, 0)

// gateway is the policy of the gateway.
type gateway struct {
	b     *balance.Balancer
	query balance.Query
	index map[string]int
}

// Gateway returns the policy that the gateway uses.
func Gateway(s Scenario, instance int) Policy {
	g := &gateway{b: balance.New("", s.Seed+uint64(instance)), index: make(map[string]int)}
	g.b.SetInstance(instanceName(instance))
	for i := range s.Endpoints {
		id := fmt.Sprint("e", i)
		g.query.Candidates = append(g.query.Candidates, balance.Endpoint{ID: id, Addr: id, Slots: s.Slots})
		g.index[id] = i
	}
	return g
}

// LeastCost returns the policy that the gateway uses with few peers.
func LeastCost(s Scenario, instance int) Policy {
	g := Gateway(s, instance).(*gateway)
	g.b.SetInstance("") // without a name decisions are not spread
	return g
}

func (g *gateway) Pick(now time.Duration) int {
	e, _, _ := g.b.Pick(g.query, epoch.Add(now))
	return g.index[e.ID]
}

func (g *gateway) id(endpoint int) string { return g.query.Candidates[endpoint].ID }

func (g *gateway) Sent(endpoint int, now time.Duration) int64 {
	return g.b.Sent(g.id(endpoint), epoch.Add(now))
}

func (g *gateway) Observe(endpoint int, number int64, expected time.Duration) {
	g.b.ResponseStarted(g.id(endpoint), number)
	g.b.Observe(g.id(endpoint), expected)
}

func (g *gateway) Ended(endpoint int, number int64, took, now time.Duration) {
	g.b.Ended(g.id(endpoint), number, balance.Served, took, epoch.Add(now))
}

// sharedReport is a report as the balancers of all receivers get it.
type sharedReport struct {
	from   string
	report balance.Report
}

func (g *gateway) Receive(r Report, now time.Duration) {
	if r.shared.from == "" {
		loads := make(map[string]balance.Load, len(r.Loads))
		for _, l := range r.Loads {
			loads[g.id(l.Endpoint)] = balance.Load{Running: l.Running}
		}
		*r.shared = sharedReport{from: instanceName(r.From), report: balance.Report{Loads: loads}}
	}
	g.b.SetPeerReport(r.shared.from, r.shared.report, epoch.Add(now))
}

func instanceName(instance int) string { return fmt.Sprint("i", instance) }
