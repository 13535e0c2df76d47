package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"ragwortstile/internal/record"
	"ragwortstile/internal/trial"
)

// check returns the guarantees that were broken, as seen at the stand-ins and by the callers.
func (x *demo) check(ctx context.Context) []error {
	var broken []error
	for _, r := range x.runs {
		if r.Err != nil {
			broken = append(broken, fmt.Errorf("program %s did not finish: %w", r.Program, r.Err))
			continue
		}
		c := x.callers[r.Team]
		if err := trial.CheckHistory(ctx, c, r); err != nil {
			broken = append(broken, err)
		}
		if err := x.checkBudget(ctx, c, r); err != nil {
			broken = append(broken, err)
		}
	}
	broken = append(broken, x.checkExecutions()...)
	if x.late > 0 {
		broken = append(broken, fmt.Errorf("%s got %d calls later than %s after it began to leave", demoWithdrawn, x.late, leavingBound))
	}
	if err := x.checkReleased(ctx); err != nil {
		broken = append(broken, err)
	}
	return broken
}

// checkExecutions compares the executions at the service stand-ins with the calls: one that may not
// be repeated was run exactly once, any other at least once.
func (x *demo) checkExecutions() []error {
	repeatable := map[string]bool{}
	for _, s := range x.d.Manifest.Services {
		for _, op := range s.Operations {
			repeatable[s.Pool+"/"+op.Name] = op.Idempotent
		}
	}
	var broken []error
	for _, r := range x.runs {
		for _, e := range r.Effects {
			n := x.d.Executed(e.Name)
			name := e.Service + "/" + e.Operation
			if (n != 1 && !repeatable[name]) || (n == 0 && r.Err == nil) {
				broken = append(broken, fmt.Errorf("%s of %s was executed %d times", name, e.Name, n))
			}
		}
	}
	return broken
}

// checkBudget compares what a program has spent with its duty's limits.
func (x *demo) checkBudget(ctx context.Context, c *trial.Caller, r trial.Run) error {
	a, err := c.Do(ctx, http.MethodGet, "/v1/programs/"+string(r.Program), "", nil, nil)
	if err != nil {
		return fmt.Errorf("program %s: %w", r.Program, err)
	}
	var state struct {
		Limits record.Limits `json:"limits"`
		Spent  record.Spend  `json:"spent"`
	}
	if err := json.Unmarshal(a.Body, &state); err != nil {
		return fmt.Errorf("program %s: %w", r.Program, err)
	}
	s, l := state.Spent, state.Limits
	if s.Tokens > l.Tokens || s.Calls > l.Calls || s.ChargeCents > l.ChargeCents {
		return fmt.Errorf("program %s spent %+v of %+v", r.Program, s, l)
	}
	return nil
}

// checkReleased waits until no engine holds memory of the ended programs.
func (x *demo) checkReleased(ctx context.Context) error {
	deadline := time.Now().Add(demoReleaseWait)
	for {
		held := map[string]int{}
		for name, e := range x.d.Engines {
			if n := len(e.TokensByTag()); n > 0 {
				held[name] = n
			}
		}
		if len(held) == 0 {
			return nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return fmt.Errorf("engines hold prefixes of ended programs: %v", held)
		}
		pause(ctx, 50*time.Millisecond)
	}
}

// row is one line of the table: all programs of one kind.
type row struct {
	kind      string
	programs  int
	calls     int
	repeats   int64
	settled   int
	latencies []time.Duration
}

func (x *demo) printTable() {
	rows := map[string]*row{}
	var kinds []string
	for _, r := range x.runs {
		kind := r.Team + " " + r.Kind
		if rows[kind] == nil {
			rows[kind] = &row{kind: kind}
			kinds = append(kinds, kind)
		}
		w := rows[kind]
		w.programs++
		w.calls += r.Calls
		w.repeats += r.Repeats
		w.settled += r.Settled
		w.latencies = append(w.latencies, r.Latency)
	}
	slices.Sort(kinds)
	wasted, filled := x.wastedCache()
	w := tabwriter.NewWriter(x.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "programs of\tprograms\tcalls\trepeats\tsettled\tmedian s\tslowest s\twasted cache\t")
	for _, kind := range kinds {
		r := rows[kind]
		slices.Sort(r.latencies)
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%s\t\n", r.kind, r.programs, r.calls, r.repeats, r.settled,
			r.latencies[len(r.latencies)/2].Seconds(), r.latencies[len(r.latencies)-1].Seconds(), "")
	}
	fmt.Fprintf(w, "all\t%d\t%d\t%d\t%d\t\t\t%d of %d tokens\t\n", len(x.runs), sum(rows, func(r *row) int { return r.calls }),
		sum(rows, func(r *row) int { return int(r.repeats) }), sum(rows, func(r *row) int { return r.settled }), wasted, filled)
	_ = w.Flush()
}

func sum(rows map[string]*row, f func(*row) int) int {
	total := 0
	for _, r := range rows {
		total += f(r)
	}
	return total
}

// wastedCache returns the prefix tokens that engines evicted before reuse, and those they computed.
func (x *demo) wastedCache() (wasted, filled int64) {
	for _, e := range x.d.Engines {
		s := e.Stats()
		wasted += s.WastedTokens
		filled += s.PromptTokens - s.CachedTokens + s.OutputTokens
	}
	return wasted, filled
}
