package telemetry

import (
	"cmp"
	"slices"
	"sync"
)

// Limits of the selection of teams that get their own class.
const (
	maxCountedTeams    = 10_000 // teams whose calls are counted at a time
	incumbentWeightNum = 3      // a team replaces an incumbent if it has more than 3/2 of its calls
	incumbentWeightDen = 2
)

// callCounter counts calls per team, to select the teams that get their own class.
type callCounter struct {
	mu    sync.Mutex
	calls map[string]uint64
}

func newCallCounter() *callCounter { return &callCounter{calls: make(map[string]uint64)} }

func (t *callCounter) count(team string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.calls[team]; known || len(t.calls) < maxCountedTeams {
		t.calls[team]++
	}
}

// busiest returns up to limit teams with the most calls. incumbents are the teams that have their own class
// now. Their calls are weighted by 3/2, because the series of a replaced team are removed. Each
// selection halves all counts, so that recent calls weigh more.
func (t *callCounter) busiest(limit int, incumbents map[string]bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	weight := func(name string) uint64 {
		if incumbents[name] {
			return t.calls[name] * incumbentWeightNum / incumbentWeightDen
		}
		return t.calls[name]
	}
	names := make([]string, 0, len(t.calls))
	for name := range t.calls {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	for name := range t.calls {
		t.calls[name] /= 2
		if t.calls[name] == 0 {
			delete(t.calls, name)
		}
	}
	return names[:min(limit, len(names))]
}
