package gateway

import "sync"

// otherName stands for names beyond the bound of a nameSet.
const otherName = "other"

// nameSet bounds the values of a label.
type nameSet struct {
	mu    sync.Mutex
	bound int
	names map[string]bool
}

func newNameSet(bound int) *nameSet { return &nameSet{bound: bound, names: make(map[string]bool)} }

func (n *nameSet) name(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.names[name] {
		return name
	}
	if len(n.names) >= n.bound {
		return otherName
	}
	n.names[name] = true
	return name
}
