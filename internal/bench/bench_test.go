package bench

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/sched"
)

// shortDeployment returns the named deployment with a run of 15 s of virtual time, which a test can play
// in well under a second of real time.
func shortDeployment(name string) deployment {
	for _, d := range deployments() {
		if d.name == name {
			d.length = 15 * time.Second
			d.patience = 5 * time.Second
			return d
		}
	}
	panic("unknown deployment " + name)
}

// Two runs with the same seed must give the same figures; otherwise the ratios between policies in one
// report would compare different random draws.
func TestSameSeedSameRow(t *testing.T) {
	d, sc := shortDeployment("raintank"), scenarios()[2]
	trace := newGenerator(d, 7).drawTrace(3000, d.length)
	for _, p := range policyNames {
		a := runTrace(d, sc, p, sched.Options{}, 7, trace)
		b := runTrace(d, sc, p, sched.Options{}, 7, trace)
		a.DecisionMicros, b.DecisionMicros = 0, 0
		must.Eq(t, a, b)
	}
}

// Under each scenario and policy no scheduler guarantee may be violated, every program must end, and the
// counts of calls in flight must not become negative.
func TestScenariosKeepGuarantees(t *testing.T) {
	d := shortDeployment("raintank")
	for _, sc := range scenarios() {
		trace := newGenerator(d, 3).drawTrace(3000*sc.load, d.length)
		for _, p := range policyNames {
			s := newSim(d, sc, p, sched.Options{}, 3)
			s.run(trace, d.length+maxDrain)
			must.Eq(t, violations{}, s.violations, must.Sprintf("%s %s", sc.name, p))
			must.Eq(t, 0, s.openPrograms, must.Sprintf("%s %s: programs left open", sc.name, p))
			for _, pl := range []*pool{s.modelPool, s.servicePool} {
				for name, n := range pl.inFlight {
					must.GreaterEq(t, 0, n, must.Sprintf("%s %s: in flight at %s", sc.name, p, name))
				}
			}
		}
	}
}

// On a cache hit the engine must compute only the missing tokens. It must evict the least recently used
// prefix first and count a prefix that is evicted before it is read again as wasted.
func TestEngineCache(t *testing.T) {
	d := shortDeployment("raintank")
	s := newSim(d, scenarios()[0], policyScheduler, sched.Options{}, 1)
	e := newEngine(s, engineSpec{name: "e", limit: 4, cacheTokens: 2500, prefillRate: 1000, tokenBase: 0.01, tokenSlope: 0})
	for _, k := range []string{"a", "b"} {
		spec := &programSpec{id: "p00-x", turns: []turn{{}}}
		s.byID["p00-x"] = newProgram(s, spec)
		e.arrive(&job{key: cacheKey{"p00-x", k}, prompt: 1000, output: 100, done: func(*job, bool) {}})
		s.drain()
	}
	must.Eq(t, 2200, e.usedTokens)
	var hit int64
	var took time.Duration
	start := s.now
	e.arrive(&job{key: cacheKey{"p00-x", "b"}, prompt: 1200, output: 100, done: func(j *job, ok bool) { hit, took = j.cachedTokens, s.now-start }})
	s.drain()
	must.Eq(t, 1100, hit)
	must.Eq(t, 1100*time.Millisecond, took.Round(10*time.Millisecond))
	e.arrive(&job{key: cacheKey{"p00-x", "c"}, prompt: 900, output: 100, done: func(*job, bool) {}})
	s.drain()
	must.MapNotContainsKey(t, e.entries, cacheKey{"p00-x", "a"})
	must.Eq(t, 1100, e.wasted)
}

// drain runs pending events until none is left.
func (s *sim) drain() {
	for len(s.events) > 0 {
		e := s.events.pop()
		s.now = e.at
		e.run()
	}
}

// With continuous batching, the decode time per token must grow with the number of running calls.
func TestEngineBatching(t *testing.T) {
	d := shortDeployment("raintank")
	took := func(n int) time.Duration {
		s := newSim(d, scenarios()[0], policyScheduler, sched.Options{}, 1)
		e := newEngine(s, engineSpec{name: "e", cacheTokens: 1 << 30, prefillRate: 1e9, tokenBase: 0.01, tokenSlope: 0.01})
		var end time.Duration
		for i := range n {
			e.arrive(&job{key: cacheKey{"p00-x", subAgentName(i, 0)}, prompt: 10, output: 100, done: func(*job, bool) { end = s.now }})
		}
		s.drain()
		return end.Round(10 * time.Millisecond)
	}
	must.Eq(t, 2*time.Second, took(1))
	must.Eq(t, 5*time.Second, took(4))
}

// A window in which a duty with demand throughout got half of its owed share must count as 0.5. A window
// in which the duty had a second without demand must not count.
func TestOwedShareKept(t *testing.T) {
	d := shortDeployment("raintank")
	m := newMeter(d, scenarios()[0])
	m.to = 60 * time.Second
	m.demand = map[string][]bool{}
	for _, n := range m.duties {
		m.work[n], m.demand[n] = make([]float64, 60), make([]bool, 60)
	}
	for i := range 60 {
		m.work["field"][i], m.work["routes"][i], m.work["orders"][i] = 0.25, 0.5, 0.5 // field is owed 0.4, gets 0.2
		m.demand["field"][i], m.demand["routes"][i] = true, true
	}
	must.InDelta(t, 0.5, m.owedShareKept(10*time.Second), 1e-9)
	m.demand["field"][12], m.demand["field"][40] = false, false
	must.Eq(t, 1.0, m.owedShareKept(11*time.Second))
}

// The command must write the documented JSON fields and a plot, and reject unknown scenarios and a number
// of seeds below 1.
func TestRunCommand(t *testing.T) {
	var out, errs bytes.Buffer
	must.Eq(t, 2, Run([]string{"--scenario", "nope"}, &out, &errs))
	must.Eq(t, 2, Run([]string{"--seeds", "0"}, &out, &errs))
	must.Eq(t, 0, Run([]string{"--help"}, &out, &errs))
	if testing.Short() {
		t.Skip("runs a whole scenario")
	}
	dir := t.TempDir()
	file, svg := filepath.Join(dir, "r.json"), filepath.Join(dir, "r.svg")
	must.Eq(t, 0, Run([]string{"--deployment", "raintank", "--scenario", "load_0.7", "--policy", "ragwortstile", "--json", file, "--plot", svg}, &out, &errs))
	b, err := os.ReadFile(file)
	must.NoError(t, err)
	var rows []map[string]any
	must.NoError(t, json.Unmarshal(b, &rows))
	must.Len(t, 1, rows)
	for _, f := range []string{"scenario", "deployment", "policy", "seed", "p50_s", "p95_s", "p99_s", "wasted_tokens",
		"goodput_tokens_per_s", "refused", "deadline_missed", "owed_share_kept", "promises_broken"} {
		must.MapContainsKey(t, rows[0], f)
	}
	pic, err := os.ReadFile(svg)
	must.NoError(t, err)
	must.StrContains(t, string(pic), "<svg")
}
