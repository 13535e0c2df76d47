// Package bench compares the scheduling decisions of package sched with four baseline policies in
// virtual time.
//
// A generator draws a seeded trace of programs for a deployment. A sim then plays that trace with one
// policy: a discrete-event loop with a model pool and a service pool, each with its dispatcher, and with
// simple models of the engines, the service servers and the owners. All policies get the same trace. A
// meter collects the figures, and each run gives one row of the result.
//
// The bench does not simulate a cluster: owners are message senders with fixed network delays, and there
// is no log. All figures are in virtual time but the time per decision, which is real time, as is the cost
// that --slopes measures.
package bench

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"sync"

	"ragwortstile/internal/sched"
)

// parallelRuns is the number of traces that are played at the same time.
const parallelRuns = 4

// settings are the values of the command-line flags.
type settings struct {
	seed       uint64
	seeds      int
	scenario   string
	deployment string
	policy     string
	json       string
	plot       string
	ablation   bool
	slopes     bool
}

// Run executes the bench command and returns its exit code: 0 on success, 1 on a failure, 2 on wrong
// arguments.
func Run(args []string, stdout, stderr io.Writer) int {
	var c settings
	fs := flag.NewFlagSet("bench", flag.ContinueOnError)
	fs.SetOutput(stderr)
	fs.Uint64Var(&c.seed, "seed", 1, "first seed")
	fs.IntVar(&c.seeds, "seeds", 1, "number of seeds")
	fs.StringVar(&c.scenario, "scenario", "", "run only this scenario")
	fs.StringVar(&c.deployment, "deployment", "", "run only this deployment")
	fs.StringVar(&c.policy, "policy", "", "run only this policy")
	fs.StringVar(&c.json, "json", "", "write the rows to this file as JSON")
	fs.StringVar(&c.plot, "plot", "", "write a plot to this file as SVG")
	fs.BoolVar(&c.ablation, "ablation", false, "switch each mechanism off in turn")
	fs.BoolVar(&c.slopes, "slopes", false, "measure the cost of a decision against the size")
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return 2
	}
	if err := c.check(fs.Args()); err != nil {
		fmt.Fprintln(stderr, "bench:", err)
		return 2
	}
	if err := c.run(stdout); err != nil {
		fmt.Fprintln(stderr, "bench:", err)
		return 1
	}
	return 0
}

func (c *settings) check(rest []string) error {
	if len(rest) > 0 {
		return fmt.Errorf("unexpected argument %q", rest[0])
	}
	if c.seeds < 1 {
		return fmt.Errorf("--seeds %d: want at least 1", c.seeds)
	}
	if c.scenario != "" && !slices.ContainsFunc(scenarios(), func(s scenario) bool { return s.name == c.scenario }) {
		return fmt.Errorf("unknown scenario %q", c.scenario)
	}
	if c.deployment != "" && !slices.ContainsFunc(deployments(), func(d deployment) bool { return d.name == c.deployment }) {
		return fmt.Errorf("unknown deployment %q", c.deployment)
	}
	if c.policy != "" && !slices.Contains(policyNames, c.policy) {
		return fmt.Errorf("unknown policy %q", c.policy)
	}
	return nil
}

func (c *settings) run(stdout io.Writer) error {
	if c.slopes {
		return writeSlopes(stdout)
	}
	if c.ablation {
		return c.runAblation(stdout)
	}
	rows := c.runVariants(stdout, c.variants())
	writeTable(stdout, rows)
	if c.policy == "" {
		fmt.Fprintln(stdout)
		writeTargets(stdout, rows)
	}
	if c.json != "" {
		if err := writeJSON(c.json, rows); err != nil {
			return err
		}
	}
	if c.plot != "" {
		return writePlot(c.plot, rows)
	}
	return nil
}

// variant is a policy with its options. Its rows carry name as the policy.
type variant struct {
	name    string
	policy  string
	options sched.Options
}

// variants returns the selected policies with all mechanisms on.
func (c *settings) variants() []variant {
	var out []variant
	for _, p := range policyNames {
		if c.policy == "" || c.policy == p {
			out = append(out, variant{name: p, policy: p})
		}
	}
	return out
}

// runVariants plays every selected trace with every variant and returns the rows in the order of the
// traces. All variants of one trace get the same programs.
func (c *settings) runVariants(stdout io.Writer, variants []variant) []row {
	type task struct {
		deploy   deployment
		scenario scenario
		seed     uint64
		capacity float64 // output tokens/s at load 1.0
	}
	var tasks []task
	for _, d := range deployments() {
		if c.deployment != "" && c.deployment != d.name {
			continue
		}
		fullLoad := measureCapacity(d)
		fmt.Fprintf(stdout, "%s: load 1.0 is %.0f output tokens/s\n", d.name, fullLoad)
		for _, sc := range scenarios() {
			for i := range c.seeds {
				if (c.scenario == "" && !sc.onlyByName) || c.scenario == sc.name {
					tasks = append(tasks, task{d, sc, c.seed + uint64(i), fullLoad})
				}
			}
		}
	}
	results := make([][]row, len(tasks))
	var wg sync.WaitGroup
	limiter := make(chan struct{}, parallelRuns)
	for i, t := range tasks {
		wg.Add(1)
		limiter <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-limiter }()
			g := newGenerator(t.deploy, t.seed)
			trace := g.drawTrace(t.scenario.load*t.capacity, t.deploy.length)
			if t.scenario.flood {
				trace = g.addFlood(trace, t.capacity, t.deploy.length)
			}
			for _, v := range variants {
				r := runTrace(t.deploy, t.scenario, v.policy, v.options, t.seed, trace)
				r.Policy = v.name
				results[i] = append(results[i], r)
			}
		}()
	}
	wg.Wait()
	return slices.Concat(results...)
}
