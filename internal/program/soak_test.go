package program

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/record"
)

// sizes counts what a core and its fold keep per program, call and timer.
func (o *owner) sizes() map[string]int {
	c := o.core
	held := 0
	o.fsm.Each(testSlot, func(*fsm.Program) { held++ })
	return map[string]int{
		"programs": len(c.progs), "attempts": len(c.attempts), "asked": len(c.outcomeQueries), "requests": len(c.requests),
		"opening": len(c.opening), "pending": len(c.pending.list), "copies": len(c.pending.copies),
		"timers": c.timers.Len(), "fold": held,
	}
}

// soak runs many programs with faults at endpoints and outages of the log, and lets their tombstones
// expire. It returns the sizes before and after. Callers settle no unknown outcome.
func soak(t *testing.T) (before, after map[string]int) {
	w, o := startWorld(t, 2)
	before = o.sizes()
	n := 0
	w.pick = func(limit int, _ string) int { n++; return n * 7919 % limit } // a fixed mixture of faults
	const programs = 200
	for i := range programs {
		pid := w.program(o, record.Limits{Tokens: 20000, ChargeCents: 300, WallTime: 5 * time.Minute})
		w.log.down = i%20 == 19
		for k := range 4 {
			w.model(o, pid, "main", fmt.Sprintf("m%d", k), k%2 == 0)
			w.service(o, pid, "main", fmt.Sprintf("s%d", k), []string{"charge", "reserve", "look"}[k%3])
			w.advance(300 * time.Millisecond)
		}
		w.log.down = false
		w.advance(time.Second)
		if i%10 != 9 {
			w.end(o, pid) // the others end by their wall time
		}
	}
	must.Greater(t, programs/2, o.sizes()["fold"]) // tombstones
	w.pick = func(int, string) int { return 0 }
	w.advance(5*time.Minute + 2*(fsm.TombstoneAge+2*time.Minute))
	w.oracle.checkReleased()
	return before, o.sizes()
}

// Guards against state of ended programs that stays in the owner core, its timers or the fold.
func TestCoreReturnsToItsStart(t *testing.T) {
	before, after := soak(t)
	for what, size := range after {
		test.LessEq(t, before[what], size, test.Sprintf("%s: %d before, %d after", what, before[what], size))
	}
}

// Guards against questions about unknown outcomes that outlive their programs. Each keeps the whole
// state of its program in memory.
func TestUnknownOutcomesAreForgotten(t *testing.T) {
	before, after := soak(t)
	must.Eq(t, before["asked"], after["asked"])
}

// Guards against timers that outlive their programs, such as the one of the idle limit (24 h). Each keeps
// the whole state of its program in memory.
func TestTimersAreForgotten(t *testing.T) {
	before, after := soak(t)
	must.Eq(t, before["timers"], after["timers"])
}
