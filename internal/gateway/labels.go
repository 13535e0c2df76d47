package gateway

import "sync"

// otherLabel replaces the values that a full labelSet does not admit.
const otherLabel = "other"

// labelSet bounds the distinct values of a metric label. It is safe for concurrent use.
type labelSet struct {
	mu     sync.Mutex
	limit  int
	values map[string]bool
}

func newLabelSet(limit int) *labelSet { return &labelSet{limit: limit, values: make(map[string]bool)} }

// label returns value, or otherLabel if the set is full and does not contain it.
func (n *labelSet) label(value string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.values[value] {
		return value
	}
	if len(n.values) >= n.limit {
		return otherLabel
	}
	n.values[value] = true
	return value
}
