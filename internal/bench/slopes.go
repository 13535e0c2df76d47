package bench

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"text/tabwriter"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/sched"
)

// slopeSize is a size of the system at which the cost of a decision is measured.
type slopeSize struct{ endpoints, programs, instances int }

// slopeSteps is the number of scheduler steps that are timed at each size.
const slopeSteps = 40_000

// writeSlopes measures how the cost of a decision grows with the number of endpoints, of programs and of
// instances, one at a time and then all together. For each size after the first of a series it prints the
// exponent of the growth from the first: 0 means that the cost does not grow, 1 that it grows in
// proportion to the size.
func writeSlopes(w io.Writer) error {
	series := []struct {
		name  string
		sizes []slopeSize
		value func(slopeSize) int
	}{
		{"endpoints", []slopeSize{{9, 6400, 13}, {90, 6400, 13}, {740, 6400, 13}}, func(s slopeSize) int { return s.endpoints }},
		{"programs", []slopeSize{{90, 100, 13}, {90, 6400, 13}, {90, 64000, 13}}, func(s slopeSize) int { return s.programs }},
		{"instances", []slopeSize{{90, 6400, 13}, {90, 6400, 410}}, func(s slopeSize) int { return s.instances }},
		{"all at once", []slopeSize{{9, 100, 13}, {740, 64000, 410}}, func(s slopeSize) int { return s.programs }},
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "against\tendpoints\tprograms\tinstances\tus/step\tus/decision\tallocs/step\tbytes/step\texponent")
	for _, se := range series {
		first := 0.0
		for i, size := range se.sizes {
			c := measureStep(size)
			exponent := "-"
			if i == 0 {
				first = c.decision
			} else {
				ratio := float64(se.value(size)) / float64(se.value(se.sizes[0]))
				exponent = fmt.Sprintf("%.2f", math.Log(c.decision/first)/math.Log(ratio))
			}
			fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.2f\t%.2f\t%.1f\t%.0f\t%s\n", se.name, size.endpoints, size.programs, size.instances,
				c.step, c.decision, c.allocs, c.bytes, exponent)
		}
	}
	return t.Flush()
}

// stepCost is the mean cost: microseconds per step and per decision, allocations and bytes per step.
type stepCost struct{ step, decision, allocs, bytes float64 }

// measureStep measures a saturated scheduler: calls are always queued, so that every Done lets the scheduler
// grant another call, and each Done is followed by the Submit of the next program. A decision is one Done
// and one Submit, which are two steps.
func measureStep(size slopeSize) stepCost {
	const limit = 8
	cfg := sched.Config{Pool: "m", Model: true, QueueLimit: size.programs * 2, WeightLatency: 0.5, WeightCache: 0.5}
	for i := range size.endpoints {
		cfg.Endpoints = append(cfg.Endpoints, sched.Endpoint{Name: fmt.Sprintf("e%03d", i), MaxInFlight: limit, CacheTokens: 1_000_000, CanExport: true})
	}
	for i := range 8 {
		cfg.Duties = append(cfg.Duties, sched.Duty{Name: fmt.Sprintf("d%d", i), Share: 0.1})
	}
	s := sched.New(cfg)
	now := time.Second
	programs := make([]sched.Request, size.programs)
	for i := range programs {
		programs[i] = sched.Request{
			Program: id.Program(fmt.Sprintf("p00-%d", i)), Branch: id.MainBranch, Calls: 1,
			Owner: id.Session(fmt.Sprintf("i%d.1", i%size.instances)),
			Team:  fmt.Sprintf("t%d", i%64), Duty: fmt.Sprintf("d%d", i%8), PromptTokens: 2000, MaxTokens: 300,
		}
	}
	var out []sched.Action
	var running []sched.Grant
	collect := func() {
		for _, a := range out {
			if g, ok := a.(sched.Grant); ok {
				running = append(running, g)
			}
		}
		out = out[:0]
	}
	attempts := make([]id.Attempt, size.programs+slopeSteps)
	for i := range attempts {
		attempts[i] = id.Attempt(fmt.Sprintf("p00-%d/main/%d/e1.1", i%size.programs, i))
	}
	next := 0
	submit := func() {
		r := programs[next%len(programs)]
		r.ID = attempts[next]
		next++
		out = s.Step(now, sched.Submit{Request: r}, out)
		collect()
	}
	// At least a tenth of the programs wait or run at any time; the others are between calls.
	out = s.Step(now, sched.Tick{}, out)
	now += 2 * time.Second
	for range max(size.programs/10, min(size.programs, 2*limit*min(size.endpoints, 8))) {
		submit()
	}
	for _, p := range programs[next:] {
		p.ID = id.Attempt(string(p.Program) + "/w")
		out = s.Step(now, sched.Running{Request: p, Endpoint: "e000"}, out)
		out = s.Step(now, sched.Done{ID: p.ID, Endpoint: "e000", Result: sched.ResultOK, PromptTokens: 2000, OutputTokens: 200, FirstToken: time.Second, Total: 5 * time.Second}, out)
		collect()
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	begin := time.Now()
	steps, decisions := 0, 0
	for next < len(attempts) && len(running) > 0 && steps < slopeSteps {
		g := running[0]
		running = running[1:]
		now += time.Millisecond
		out = s.Step(now, sched.Done{ID: g.Request.ID, Endpoint: g.Endpoint, Result: sched.ResultOK,
			PromptTokens: g.Request.PromptTokens, CachedTokens: 1500, OutputTokens: 200, FirstToken: 200 * time.Millisecond, Total: 5 * time.Second}, out)
		collect()
		submit()
		steps += 2
		decisions++
	}
	took := time.Since(begin)
	runtime.ReadMemStats(&after)
	us := float64(took.Nanoseconds()) / 1000
	n := float64(max(steps, 1))
	return stepCost{us / n, us / float64(max(decisions, 1)), float64(after.Mallocs-before.Mallocs) / n, float64(after.TotalAlloc-before.TotalAlloc) / n}
}
