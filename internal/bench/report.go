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

// group holds the rows of one deployment, scenario and policy, one per seed.
type group struct {
	deployment, scenario, policy string
	rows                         []row
}

// groups groups the rows, in the order in which the groups first appear.
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

// summary is the mean and the range of a figure over the seeds.
type summary struct{ mean, low, high float64 }

func (g *group) summarize(f func(row) float64) summary {
	s := summary{low: math.Inf(1), high: math.Inf(-1)}
	for _, r := range g.rows {
		v := f(r)
		s.mean += v / float64(len(g.rows))
		s.low, s.high = min(s.low, v), max(s.high, v)
	}
	return s
}

func (s summary) String() string {
	if s.low == s.high {
		return fmt.Sprintf("%.4g", s.mean)
	}
	return fmt.Sprintf("%.4g [%.4g,%.4g]", s.mean, s.low, s.high)
}

// writeTable prints one line per group with the mean and the range of each figure over the seeds.
func writeTable(w io.Writer, rows []row) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "deployment\tscenario\tpolicy\tp50 s\tp95 s\tp99 s\tp95 all s\twasted ktok\tgoodput tok/s\tfinished %\trefused\tgiven up\tlate\towed share kept\tbroken\tdecision us")
	for _, g := range groups(rows) {
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\t%v\n", g.deployment, g.scenario, g.policy,
			g.summarize(func(r row) float64 { return r.P50 }), g.summarize(func(r row) float64 { return r.P95 }),
			g.summarize(func(r row) float64 { return r.P99 }), g.summarize(func(r row) float64 { return r.P95All }),
			g.summarize(func(r row) float64 { return float64(r.WastedTokens) / 1000 }),
			g.summarize(func(r row) float64 { return r.Goodput }),
			g.summarize(func(r row) float64 { return 100 * float64(r.Finished) / float64(max(r.Offered, 1)) }),
			g.summarize(func(r row) float64 { return float64(r.Refused) }),
			g.summarize(func(r row) float64 { return float64(r.GivenUp) }),
			g.summarize(func(r row) float64 { return float64(r.DeadlineMissed) }),
			g.summarize(func(r row) float64 { return r.OwedShareKept }),
			g.summarize(func(r row) float64 { return float64(r.PromisesBroken) }),
			g.summarize(func(r row) float64 { return r.DecisionMicros }))
	}
	t.Flush()
}

// writeTargets prints each target with its bound and the mean and range of the measured values over the
// seeds. A ratio to the best baseline is taken per seed, against the baseline with the smallest value of
// that figure on the same trace.
func writeTargets(w io.Writer, rows []row) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "deployment\ttarget\tbound\tmeasured\tmet")
	p95 := func(r row) float64 { return r.P95 }
	p95All := func(r row) float64 { return r.P95All }
	waste := func(r row) float64 { return float64(r.WastedTokens) }
	for _, d := range deployments() {
		writeTarget(t, rows, d.name, "load_1.2 p95 / best baseline", 0.6, ratioToBestBaseline(rows, d.name, "load_1.2", p95))
		writeTarget(t, rows, d.name, "load_1.2 wasted / best baseline", 0.5, ratioToBestBaseline(rows, d.name, "load_1.2", waste))
		writeTarget(t, rows, d.name, "load_1.2 p95 of all programs / best baseline (no bound)", math.Inf(1), ratioToBestBaseline(rows, d.name, "load_1.2", p95All))
		writeTarget(t, rows, d.name, "load_0.7 p95 / best baseline", 1.05, ratioToBestBaseline(rows, d.name, "load_0.7", p95))
		writeTarget(t, rows, d.name, "load_0.7 wasted / best baseline", 1.05, ratioToBestBaseline(rows, d.name, "load_0.7", waste))
		writeTarget(t, rows, d.name, "withdrawal: 1 / owed share kept", 1/0.95, figuresOf(rows, d.name, "withdrawal", func(r row) float64 { return 1 / max(r.OwedShareKept, 1e-9) }))
		writeTarget(t, rows, d.name, "goodput load_1.0 / load_2.0", 1/0.95, ratioOfScenarios(rows, d.name, "load_1.0", "load_2.0", func(r row) float64 { return r.Goodput }))
		writeTarget(t, rows, d.name, "p95 faults / load_0.7", 2, ratioOfScenarios(rows, d.name, "faults", "load_0.7", p95))
		writeTarget(t, rows, d.name, "faults: promises broken", 0, figuresOf(rows, d.name, "faults", func(r row) float64 { return float64(r.PromisesBroken) }))
		writeTarget(t, rows, d.name, "decision, us (load_1.2)", 20, figuresOf(rows, d.name, "load_1.2", func(r row) float64 { return r.DecisionMicros }))
	}
	t.Flush()
}

// writeTarget prints one target. v holds one value per seed, and smaller is better; an infinite bound means
// that the figure is reported without a target.
func writeTarget(w io.Writer, rows []row, deployment, name string, bound float64, v []float64) {
	if len(v) == 0 {
		return
	}
	g := group{rows: make([]row, len(v))}
	i := -1
	s := g.summarize(func(row) float64 { i++; return v[i] })
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

// ratioToBestBaseline returns, per seed, the figure of ragwortstile divided by the smallest of the baselines.
func ratioToBestBaseline(rows []row, deployment, scenario string, f func(row) float64) []float64 {
	var out []float64
	for _, r := range rows {
		if r.Deployment != deployment || r.Scenario != scenario || r.Policy != policyScheduler {
			continue
		}
		best := math.Inf(1)
		for _, o := range rows {
			if o.Deployment == deployment && o.Scenario == scenario && o.Seed == r.Seed && o.Policy != policyScheduler {
				best = min(best, f(o))
			}
		}
		if !math.IsInf(best, 1) {
			out = append(out, f(r)/max(best, 1e-9))
		}
	}
	return out
}

// ratioOfScenarios returns, per seed, the figure of ragwortstile in scenario a divided by that in scenario b.
func ratioOfScenarios(rows []row, deployment, a, b string, f func(row) float64) []float64 {
	var out []float64
	for _, r := range rows {
		if r.Deployment != deployment || r.Scenario != a || r.Policy != policyScheduler {
			continue
		}
		for _, o := range rows {
			if o.Deployment == deployment && o.Scenario == b && o.Seed == r.Seed && o.Policy == policyScheduler {
				out = append(out, f(r)/max(f(o), 1e-9))
			}
		}
	}
	return out
}

// figuresOf returns, per seed, the figure of ragwortstile in a scenario.
func figuresOf(rows []row, deployment, scenario string, f func(row) float64) []float64 {
	var out []float64
	for _, r := range rows {
		if r.Deployment == deployment && r.Scenario == scenario && r.Policy == policyScheduler {
			out = append(out, f(r))
		}
	}
	return out
}

// saveSVG writes a canvas to a file.
func saveSVG(path string, c io.WriterTo) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = c.WriteTo(f)
	return errors.Join(err, f.Close())
}
