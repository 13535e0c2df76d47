package telemetry

import (
	"cmp"
	"slices"
	"sync"
)

// Bounds of the choice of teams with a class of their own.
const (
	maxCounted   = 10_000 // teams that are counted between two choices
	challengeNum = 3      // a team takes another's place with more than 3/2 of its calls
	challengeDen = 2
)

// traffic counts calls per team, to choose those with a class of their own.
type traffic struct {
	mu    sync.Mutex
	calls map[string]uint64
}

func newTraffic() *traffic { return &traffic{calls: make(map[string]uint64)} }

func (t *traffic) count(team string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.calls[team]; known || len(t.calls) < maxCounted {
		t.calls[team]++
	}
}

// choose returns the teams with the most calls. A present one keeps its place unless another one
// has clearly more, because a change ends its series. Older calls count half at each choice.
func (t *traffic) choose(most int, present map[string]bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	weight := func(name string) uint64 {
		if present[name] {
			return t.calls[name] * challengeNum / challengeDen
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
	return names[:min(most, len(names))]
}
