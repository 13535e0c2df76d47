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

// check returns an error for each violated guarantee, as observed by the callers and at the stand-ins.
func (x *demo) check(ctx context.Context) []error {
	var violations []error
	for _, r := range x.runs {
		if r.Err != nil {
			violations = append(violations, fmt.Errorf("program %s did not finish: %w", r.Program, r.Err))
			continue
		}
		c := x.callers[r.Team]
		if err := trial.CheckHistory(ctx, c, r); err != nil {
			violations = append(violations, err)
		}
		if err := x.checkBudget(ctx, c, r); err != nil {
			violations = append(violations, err)
		}
	}
	violations = append(violations, x.checkExecutions()...)
	if x.lateCalls > 0 {
		violations = append(violations, fmt.Errorf("%s got %d calls later than %s after it began to leave", demoLeavingEndpoint, x.lateCalls, leavingBound))
	}
	if err := x.checkReleased(ctx); err != nil {
		violations = append(violations, err)
	}
	return violations
}

// checkExecutions compares the executions at the service stand-ins with the calls: an operation that is
// not idempotent must have been executed exactly once, and an idempotent one at least once if its
// program finished.
func (x *demo) checkExecutions() []error {
	idempotent := map[string]bool{}
	for _, s := range x.d.Manifest.Services {
		for _, op := range s.Operations {
			idempotent[s.Pool+"/"+op.Name] = op.Idempotent
		}
	}
	var violations []error
	for _, r := range x.runs {
		for _, e := range r.Effects {
			n := x.d.Executions(e.Name)
			name := e.Service + "/" + e.Operation
			if (n != 1 && !idempotent[name]) || (n == 0 && r.Err == nil) {
				violations = append(violations, fmt.Errorf("%s of %s was executed %d times", name, e.Name, n))
			}
		}
	}
	return violations
}

// checkBudget checks that what a program has spent is within the limits of its duty.
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

// checkReleased waits until engines have released the cached prefixes of ended programs, at most for
// demoReleaseWait.
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

// programStats is a row of the table: the totals of all programs of one kind.
type programStats struct {
	kind      string
	programs  int
	calls     int
	retries   int64
	settled   int
	latencies []time.Duration
}

func (x *demo) printTable() {
	rows := map[string]*programStats{}
	var kinds []string
	for _, r := range x.runs {
		kind := r.Team + " " + r.Kind
		if rows[kind] == nil {
			rows[kind] = &programStats{kind: kind}
			kinds = append(kinds, kind)
		}
		w := rows[kind]
		w.programs++
		w.calls += r.Calls
		w.retries += r.Retries
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
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%s\t\n", r.kind, r.programs, r.calls, r.retries, r.settled,
			r.latencies[len(r.latencies)/2].Seconds(), r.latencies[len(r.latencies)-1].Seconds(), "")
	}
	fmt.Fprintf(w, "all\t%d\t%d\t%d\t%d\t\t\t%d of %d tokens\t\n", len(x.runs), sum(rows, func(r *programStats) int { return r.calls }),
		sum(rows, func(r *programStats) int { return int(r.retries) }), sum(rows, func(r *programStats) int { return r.settled }), wasted, filled)
	_ = w.Flush()
}

func sum(rows map[string]*programStats, f func(*programStats) int) int {
	total := 0
	for _, r := range rows {
		total += f(r)
	}
	return total
}

// wastedCache returns how many prefix tokens the engines evicted before reuse, and how many they computed.
func (x *demo) wastedCache() (wasted, filled int64) {
	for _, e := range x.d.Engines {
		s := e.Stats()
		wasted += s.WastedTokens
		filled += s.PromptTokens - s.CachedTokens + s.OutputTokens
	}
	return wasted, filled
}
