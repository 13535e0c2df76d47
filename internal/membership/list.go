package membership

import (
	"slices"
	"time"
)

// listState keeps the current list of instances and those that were replaced within ListLagBound.
type listState struct {
	current   []string // sorted names
	leaving   map[string]bool
	contentAt time.Duration // local time at which the content of the list was true
	known     bool
	past      []pastList
}

type pastList struct {
	names []string
	until time.Duration // when this instance replaced it
}

// apply takes a new list. It ignores one whose content is older than that of the current list, and
// returns false for it: the list service can answer from a replica that lags more.
func (l *listState) apply(now time.Duration, e ListAnswer) bool {
	contentAt := now - e.Age
	if l.known && contentAt < l.contentAt {
		return false
	}
	names := make([]string, 0, len(e.Instances))
	leaving := make(map[string]bool)
	for _, i := range e.Instances {
		names = append(names, i.Name)
		leaving[i.Name] = i.Leaving
	}
	slices.Sort(names)
	names = slices.Compact(names)
	// An empty list is not kept as a past one: no instance can have had a majority of it, and it would
	// prevent every majority until it expires.
	if l.known && len(l.current) > 0 && !slices.Equal(names, l.current) {
		l.past = append(l.past, pastList{names: l.current, until: now})
	}
	l.current, l.leaving, l.contentAt, l.known = names, leaving, contentAt, true
	return true
}

func (l *listState) expire(now time.Duration) {
	l.past = slices.DeleteFunc(l.past, func(p pastList) bool { return now-p.until > ListLagBound })
}

// majority reports whether the instances for which has returns true are a majority of the current list
// and of each list that was current within ListLagBound. Without a list there is no majority.
func (l *listState) majority(has func(string) bool) bool {
	if !l.known || !majorityOf(l.current, has) {
		return false
	}
	for _, p := range l.past {
		if !majorityOf(p.names, has) {
			return false
		}
	}
	return true
}

func majorityOf(names []string, has func(string) bool) bool {
	n := 0
	for _, name := range names {
		if has(name) {
			n++
		}
	}
	return 2*n > len(names)
}

// fresh reports whether the list is recent enough to base a claim on it.
func (l *listState) fresh(now time.Duration) bool {
	return l.known && now-l.contentAt <= ListLagBound
}
