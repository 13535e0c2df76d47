package telemetry

import (
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// OtherLabel is the label value shared by all names without their own series.
const OtherLabel = "other"

// labelSet maps names to a bounded number of label values. It tracks the series of each value and
// unregisters them when the value is no longer in the set.
type labelSet struct {
	mu       sync.Mutex
	max      int
	admitNew bool // a new name gets a value on first use, up to max; otherwise only replaceValues adds values
	values   map[string]bool
	series   map[string][]string // metric names by label value
	registry *metrics.Set
}

func newLabelSet(registry *metrics.Set, limit int, admitNew bool) *labelSet {
	return &labelSet{
		max:      limit,
		admitNew: admitNew,
		values:   make(map[string]bool),
		series:   make(map[string][]string),
		registry: registry,
	}
}

// label returns the label value for a name: the name itself or OtherLabel.
func (s *labelSet) label(name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[name] {
		return name
	}
	if s.admitNew && len(s.values) < s.max {
		s.values[name] = true
		return name
	}
	return OtherLabel
}

// replaceValues sets the names that have their own value. If there are more than max, the alphabetically
// first ones have.
func (s *labelSet) replaceValues(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names = slices.Clone(names)
	slices.Sort(names)
	names = slices.Compact(names)
	next := make(map[string]bool)
	for _, n := range names[:min(len(names), s.max)] {
		next[n] = true
	}
	// This iterates over series, not over values, because addSeries may run after the value was removed.
	for value := range s.series {
		if !next[value] && value != OtherLabel {
			s.removeSeries(value)
		}
	}
	s.values = next
}

func (s *labelSet) removeSeries(value string) {
	for _, name := range s.series[value] {
		s.registry.UnregisterMetric(name)
	}
	delete(s.series, value)
}

// addSeries records a series of a label value, so that it can be unregistered with the value.
func (s *labelSet) addSeries(value, series string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.series[value], series) {
		s.series[value] = append(s.series[value], series)
	}
}
