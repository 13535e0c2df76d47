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

// sizes returns the numbers of entries that Core and the replicated state machine hold in memory.
func (o *owner) sizes() map[string]int {
	c := o.core
	held := 0
	o.sm.Each(testSlot, func(*fsm.Program) { held++ })
	return map[string]int{
		"programs": len(c.progs), "attempts": len(c.attempts), "outcome queries": len(c.outcomeQueries), "requests": len(c.requests),
		"opening": len(c.opening), "pending": len(c.pending.list), "copies": len(c.pending.copies),
		"timers": c.timers.Len(), "state machine": held,
	}
}

// runSoak runs many programs with faults at endpoints and outages of the log, and waits until their
// tombstones have expired. It returns the sizes before and after. Callers settle no unknown outcome.
func runSoak(t *testing.T) (before, after map[string]int) {
	w, o := startWorld(t, 2)
	before = o.sizes()
	n := 0
	w.pick = func(limit int, _ string) int { n++; return n * 7919 % limit } // a fixed sequence of faults
	const programs = 200
	for i := range programs {
		pid := w.program(o, record.Limits{Tokens: 20000, ChargeCents: 300, WallTime: 5 * time.Minute})
		w.log.down = i%20 == 19
		for k := range 4 {
			w.modelCall(o, pid, "main", fmt.Sprintf("m%d", k), k%2 == 0)
			w.serviceCall(o, pid, "main", fmt.Sprintf("s%d", k), []string{"charge", "reserve", "look"}[k%3])
			w.advance(300 * time.Millisecond)
		}
		w.log.down = false
		w.advance(time.Second)
		if i%10 != 9 {
			w.endProgram(o, pid) // the others end at their limit of wall time
		}
	}
	must.Greater(t, programs/2, o.sizes()["state machine"]) // tombstones
	w.pick = func(int, string) int { return 0 }
	w.advance(5*time.Minute + 2*(fsm.TombstoneAge+2*time.Minute))
	w.oracle.checkReleased()
	return before, o.sizes()
}

// Guards against memory leaks: state of ended programs that stays in Core, in its timers or in the replicated
// state machine.
func TestCoreFreesEndedPrograms(t *testing.T) {
	before, after := runSoak(t)
	for what, size := range after {
		test.LessEq(t, before[what], size, test.Sprintf("%s: %d before, %d after", what, before[what], size))
	}
}

// Guards against outcome queries that are kept after their programs were removed. Each one keeps the complete
// state of its program in memory.
func TestOutcomeQueriesAreRemoved(t *testing.T) {
	before, after := runSoak(t)
	must.Eq(t, before["outcome queries"], after["outcome queries"])
}

// Guards against timers that are kept after their programs were removed, such as that of the idle limit
// (24 h). Each one keeps the complete state of its program in memory.
func TestTimersAreRemoved(t *testing.T) {
	before, after := runSoak(t)
	must.Eq(t, before["timers"], after["timers"])
}
