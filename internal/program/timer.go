package program

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/sched"
)

// timer runs a function at a time. The function checks by itself whether it is still needed.
type timer struct {
	at  time.Duration
	seq uint64 // order of timers with the same time
	run func()
	pos int // index in the heap; negative after the timer has run or was stopped
}

type timerHeap struct {
	list []*timer
	seq  uint64
}

func (h *timerHeap) Len() int { return len(h.list) }
func (h *timerHeap) Less(i, j int) bool {
	if h.list[i].at != h.list[j].at {
		return h.list[i].at < h.list[j].at
	}
	return h.list[i].seq < h.list[j].seq
}
func (h *timerHeap) Swap(i, j int) {
	h.list[i], h.list[j] = h.list[j], h.list[i]
	h.list[i].pos, h.list[j].pos = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.pos = len(h.list)
	h.list = append(h.list, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	n := len(h.list) - 1
	t := h.list[n]
	h.list[n] = nil
	h.list = h.list[:n]
	t.pos = -1
	return t
}

// at runs f during the first Tick at or after t.
func (c *Core) at(t time.Duration, f func()) *timer {
	c.timers.seq++
	tm := &timer{at: t, seq: c.timers.seq, run: f}
	heap.Push(&c.timers, tm)
	return tm
}

// stop cancels timers that have not run.
func (c *Core) stop(timers ...*timer) {
	for _, t := range timers {
		if t != nil && t.pos >= 0 {
			heap.Remove(&c.timers, t.pos)
		}
	}
}

const (
	rewriteInterval = time.Second // between searches for state to rewrite
	rewriteBatch    = 64          // programs that are rewritten per search
)

func (c *Core) onTick(e Tick) {
	if !e.Now.IsZero() {
		c.setWall(e.Now)
	}
	for c.timers.Len() > 0 && c.timers.list[0].at <= c.now {
		t := heap.Pop(&c.timers).(*timer)
		t.run()
	}
	if len(c.pending.list) > 0 {
		c.copyOverdue()
	}
	if c.now >= c.nextRewrite && !c.logDown {
		c.nextRewrite = c.now + rewriteInterval
		c.rewriteDue()
	}
	for s := range id.Slot(id.Slots) {
		if c.slots[s].handoverTo != "" {
			c.tryHandover(s)
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func sortIDs(ids []id.Program) { slices.Sort(ids) }

func reason(s string) sched.Reason { return sched.Reason(s) }
