package telemetry

import (
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// OtherLabel is the label value of everything that has no series of its own.
const OtherLabel = "other"

// labelSet maps names to a bounded number of label values. It remembers the series of each value and
// removes them from the set of metrics when the value is withdrawn.
type labelSet struct {
	mu     sync.Mutex
	max    int
	open   bool // names are admitted as they come, until max; otherwise only by set
	values map[string]bool
	series map[string][]string // metric names by label value
	from   *metrics.Set
}

func newLabelSet(from *metrics.Set, most int, open bool) *labelSet {
	return &labelSet{
		max:    most,
		open:   open,
		values: make(map[string]bool),
		series: make(map[string][]string),
		from:   from,
	}
}

// label returns the value under which a name is counted.
func (s *labelSet) label(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[name] {
		return name
	}
	if s.open && len(s.values) < s.max {
		s.values[name] = true
		return name
	}
	return OtherLabel
}

// set replaces the names that have a value of their own. Above max, the first in order have one.
func (s *labelSet) set(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names = slices.Clone(names)
	slices.Sort(names)
	names = slices.Compact(names)
	next := make(map[string]bool)
	for _, n := range names[:min(len(names), s.max)] {
		next[n] = true
	}
	// A series can be noted just after its value was withdrawn, so this goes by the series.
	for old := range s.series {
		if !next[old] && old != OtherLabel {
			s.drop(old)
		}
	}
	s.values = next
}

func (s *labelSet) drop(value string) {
	for _, name := range s.series[value] {
		s.from.UnregisterMetric(name)
	}
	delete(s.series, value)
}

// remember notes a series of a label value.
func (s *labelSet) remember(value, series string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.series[value], series) {
		s.series[value] = append(s.series[value], series)
	}
}
