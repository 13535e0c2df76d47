package sched

import "time"

// callHeap is a binary heap of waiting calls, smallest (key, serial) first. Each call stores its heap and
// index, so that it can be removed from the middle.
type callHeap struct{ items []*call }

func (h *callHeap) len() int { return len(h.items) }

func (h *callHeap) head() *call {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

func (h *callHeap) push(c *call) {
	c.heap, c.index = h, len(h.items)
	h.items = append(h.items, c)
	h.up(c.index)
}

// remove takes a call out of the heap that holds it.
func (h *callHeap) remove(c *call) {
	i, last := c.index, len(h.items)-1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
	c.heap = nil
}

func (h *callHeap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index, h.items[j].index = i, j
}

func (h *callHeap) up(i int) {
	for i > 0 {
		p := (i - 1) / 2
		if !before(h.items[i], h.items[p]) {
			return
		}
		h.swap(i, p)
		i = p
	}
}

func (h *callHeap) down(i int) {
	for {
		l := 2*i + 1
		if l >= len(h.items) {
			return
		}
		if r := l + 1; r < len(h.items) && before(h.items[r], h.items[l]) {
			l = r
		}
		if !before(h.items[l], h.items[i]) {
			return
		}
		h.swap(i, l)
		i = l
	}
}

// before reports whether a is served before b. Calls with equal keys are served in the order of submission.
func before(a, b *call) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.serial < b.serial
}

// timer is the time at which a waiting call expires or, if park is set, stops waiting for one endpoint.
// Timers of calls that no longer wait are ignored when they fire.
type timer struct {
	at   time.Duration
	call *call
	park bool
}

// timerHeap is a binary heap of timers, earliest first.
type timerHeap struct{ items []timer }

func (h *timerHeap) push(t timer) {
	h.items = append(h.items, t)
	i := len(h.items) - 1
	for i > 0 {
		p := (i - 1) / 2
		if h.items[p].at <= h.items[i].at {
			return
		}
		h.items[p], h.items[i] = h.items[i], h.items[p]
		i = p
	}
}

func (h *timerHeap) pop() timer {
	t, last := h.items[0], len(h.items)-1
	h.items[0] = h.items[last]
	h.items[last] = timer{}
	h.items = h.items[:last]
	i := 0
	for {
		l := 2*i + 1
		if l >= last {
			return t
		}
		if r := l + 1; r < last && h.items[r].at < h.items[l].at {
			l = r
		}
		if h.items[i].at <= h.items[l].at {
			return t
		}
		h.items[i], h.items[l] = h.items[l], h.items[i]
		i = l
	}
}
