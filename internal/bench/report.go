package bench

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"text/tabwriter"
)

// writeJSON writes the rows as a JSON array.
func writeJSON(path string, rows []row) error {
	b, err := json.MarshalIndent(rows, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}

// group is the rows of one deployment, scenario and policy over all seeds.
type group struct {
	deployment, scenario, policy string
	rows                         []row
}

// groups collects rows in the order of their first appearance.
func groups(rows []row) []*group {
	var out []*group
	for _, r := range rows {
		var g *group
		for _, o := range out {
			if o.deployment == r.Deployment && o.scenario == r.Scenario && o.policy == r.Policy {
				g = o
			}
		}
		if g == nil {
			g = &group{r.Deployment, r.Scenario, r.Policy, nil}
			out = append(out, g)
		}
		g.rows = append(g.rows, r)
	}
	return out
}

// spread is the mean and the range of a figure over the seeds.
type spread struct{ mean, low, high float64 }

func (g *group) spread(f func(row) float64) spread {
	s := spread{low: math.Inf(1), high: math.Inf(-1)}
	for _, r := range g.rows {
		v := f(r)
		s.mean += v / float64(len(g.rows))
		s.low, s.high = min(s.low, v), max(s.high, v)
	}
	return s
}

func (s spread) String() string {
	if s.low == s.high {
		return fmt.Sprintf("%.4g", s.mean)
	}
	return fmt.Sprintf("%.4g [%.4g,%.4g]", s.mean, s.low, s.high)
}

// writeTable prints the mean and the range over the seeds of each figure.
func writeTable(w io.Writer, rows []row) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "deployment\tscenario\tpolicy\tp50 s\tp95 s\tp99 s\tp95 all s\twasted ktok\tgoodput tok/s\tfinished %\trefused\tgiven up\tlate\towed share kept\tbroken\tdecision us")
	for _, g := range groups(rows) {
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\n", g.deployment, g.scenario, g.policy,
			g.spread(func(r row) float64 { return r.P50 }), g.spread(func(r row) float64 { return r.P95 }),
			g.spread(func(r row) float64 { return r.P99 }), g.spread(func(r row) float64 { return r.P95All }),
			g.spread(func(r row) float64 { return float64(r.WastedTokens) / 1000 }),
			g.spread(func(r row) float64 { return r.Goodput }),
			g.spread(func(r row) float64 { return 100 * float64(r.Finished) / float64(max(r.Offered, 1)) }),
			g.spread(func(r row) float64 { return float64(r.Refused) }),
			g.spread(func(r row) float64 { return float64(r.GivenUp) }),
			g.spread(func(r row) float64 { return float64(r.DeadlineMissed) }),
			g.spread(func(r row) float64 { return r.OwedShareKept }),
			g.spread(func(r row) float64 { return float64(r.PromisesBroken) }),
			g.spread(func(r row) float64 { return r.DecisionMicros }))
	}
	t.Flush()
}

// writeTargets prints each target with the measured ratio: per seed against the best baseline for
// that figure on the same trace, then the mean and the range over the seeds.
func writeTargets(w io.Writer, rows []row) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "deployment\ttarget\tbound\tmeasured\tmet")
	p95 := func(r row) float64 { return r.P95 }
	p95All := func(r row) float64 { return r.P95All }
	waste := func(r row) float64 { return float64(r.WastedTokens) }
	for _, d := range deployments() {
		target(t, rows, d.name, "load_1.2 p95 / best baseline", 0.6, ratioToBest(rows, d.name, "load_1.2", p95))
		target(t, rows, d.name, "load_1.2 wasted / best baseline", 0.5, ratioToBest(rows, d.name, "load_1.2", waste))
		target(t, rows, d.name, "load_1.2 p95 of all programs / best baseline (no bound)", math.Inf(1), ratioToBest(rows, d.name, "load_1.2", p95All))
		target(t, rows, d.name, "load_0.7 p95 / best baseline", 1.05, ratioToBest(rows, d.name, "load_0.7", p95))
		target(t, rows, d.name, "load_0.7 wasted / best baseline", 1.05, ratioToBest(rows, d.name, "load_0.7", waste))
		target(t, rows, d.name, "withdrawal: 1 / owed share kept", 1/0.95, values(rows, d.name, "withdrawal", func(r row) float64 { return 1 / max(r.OwedShareKept, 1e-9) }))
		target(t, rows, d.name, "goodput load_1.0 / load_2.0", 1/0.95, ratioOf(rows, d.name, "load_1.0", "load_2.0", func(r row) float64 { return r.Goodput }))
		target(t, rows, d.name, "p95 faults / load_0.7", 2, ratioOf(rows, d.name, "faults", "load_0.7", p95))
		target(t, rows, d.name, "faults: promises broken", 0, values(rows, d.name, "faults", func(r row) float64 { return float64(r.PromisesBroken) }))
		target(t, rows, d.name, "decision, us (load_1.2)", 20, values(rows, d.name, "load_1.2", func(r row) float64 { return r.DecisionMicros }))
	}
	t.Flush()
}

func target(w io.Writer, rows []row, deployment, name string, bound float64, v []float64) {
	if len(v) == 0 {
		return
	}
	g := group{rows: make([]row, len(v))}
	i := -1
	s := g.spread(func(row) float64 { i++; return v[i] })
	met := "yes"
	switch {
	case math.IsInf(bound, 1):
		met = "-"
	case s.mean > bound:
		met = "NO"
	case s.high > bound:
		met = "not for every seed"
	}
	fmt.Fprintf(w, "%s\t%s\t%.4g\t%v\t%s\n", deployment, name, bound, s, met)
}

// ratioToBest returns, per seed, the figure of ragwortstile over the smallest one of the baselines.
func ratioToBest(rows []row, deployment, scenario string, f func(row) float64) []float64 {
	var out []float64
	for _, r := range rows {
		if r.Deployment != deployment || r.Scenario != scenario || r.Policy != policyOurs {
			continue
		}
		best := math.Inf(1)
		for _, o := range rows {
			if o.Deployment == deployment && o.Scenario == scenario && o.Seed == r.Seed && o.Policy != policyOurs {
				best = min(best, f(o))
			}
		}
		if !math.IsInf(best, 1) {
			out = append(out, f(r)/max(best, 1e-9))
		}
	}
	return out
}

// ratioOf returns, per seed, the figure of ragwortstile in one scenario over that in another.
func ratioOf(rows []row, deployment, a, b string, f func(row) float64) []float64 {
	var out []float64
	for _, r := range rows {
		if r.Deployment != deployment || r.Scenario != a || r.Policy != policyOurs {
			continue
		}
		for _, o := range rows {
			if o.Deployment == deployment && o.Scenario == b && o.Seed == r.Seed && o.Policy == policyOurs {
				out = append(out, f(r)/max(f(o), 1e-9))
			}
		}
	}
	return out
}

func values(rows []row, deployment, scenario string, f func(row) float64) []float64 {
	var out []float64
	for _, r := range rows {
		if r.Deployment == deployment && r.Scenario == scenario && r.Policy == policyOurs {
			out = append(out, f(r))
		}
	}
	return out
}

// saveSVG writes a drawn canvas to a file.
func saveSVG(path string, c io.WriterTo) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = c.WriteTo(f)
	return errors.Join(err, f.Close())
}
