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

// timer runs a function at a time. The function checks itself whether there is still need.
type timer struct {
	at  time.Duration
	seq uint64 // order of timers of the same time
	run func()
}

type timerHeap struct {
	list []timer
	seq  uint64
}

func (h *timerHeap) Len() int { return len(h.list) }
func (h *timerHeap) Less(i, j int) bool {
	if h.list[i].at != h.list[j].at {
		return h.list[i].at < h.list[j].at
	}
	return h.list[i].seq < h.list[j].seq
}
func (h *timerHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { h.list = append(h.list, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	n := len(h.list) - 1
	t := h.list[n]
	h.list[n] = timer{}
	h.list = h.list[:n]
	return t
}

// at runs f with the first Tick at or after t.
func (c *Core) at(t time.Duration, f func()) {
	c.timers.seq++
	heap.Push(&c.timers, timer{at: t, seq: c.timers.seq, run: f})
}

const (
	dueEvery = time.Second // between looks at what has to be written again
	dueBatch = 64          // programs written again per look
)

func (c *Core) onTick(e Tick) {
	if !e.Now.IsZero() {
		c.setWall(e.Now)
	}
	for c.timers.Len() > 0 && c.timers.list[0].at <= c.now {
		t := heap.Pop(&c.timers).(timer)
		t.run()
	}
	if len(c.pending.list) > 0 {
		c.copyOverdue()
	}
	if c.now >= c.nextDue && !c.logDown {
		c.nextDue = c.now + dueEvery
		c.writeDue()
	}
	for s := range id.Slot(id.Slots) {
		if c.slots[s].moveTo != "" {
			c.tryHandOver(s)
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func sortIDs(ids []id.Program) { slices.Sort(ids) }

func reason(s string) sched.Reason { return sched.Reason(s) }
