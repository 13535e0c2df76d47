package program

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/record"
)

func (w *world) openSubBranch(o *owner, r record.Limits) *request {
	pid := w.program(o, r)
	req := w.oracle.addRequest(request{owner: o, program: pid, kind: "other"})
	o.step(OpenBranch{Req: req, Team: "t", Program: pid, Name: "sub"})
	w.pump()
	return w.oracle.reqs[req]
}

// P3: of two concurrent calls on different branches that fit the budget only one at a time, the second is
// refused.
func TestBranchesShareOneBudget(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.openSubBranch(o, record.Limits{ChargeCents: 15}).program
	a := w.serviceCall(o, pid, "main", "k1", "charge")
	b := w.serviceCall(o, pid, "sub", "k2", "charge")
	w.advance(time.Second)
	must.True(t, a.ok)
	must.Eq(t, ProblemBudgetExhausted, b.problem.Type)
	must.Eq(t, record.ExecutedNo, b.problem.Executed)
	must.Eq(t, 0, w.execCounts[callKey{pid, "k2"}])
}

// P2: a copied record is acknowledged only after the earlier records of its program. Without them it is
// invalid for a new holder, and the acknowledged answer would be lost.
func TestCopiesAreAcknowledgedInOrder(t *testing.T) {
	w, o := startWorld(t, 3)
	pid := w.openSubBranch(o, record.Limits{}).program
	w.log.down = true
	a := w.modelCall(o, pid, "main", "k1", false)
	w.deliverAll()
	o.step(LogState{Down: true})
	must.Len(t, 1, w.messages) // the message with the copies of the first turn is delayed
	b := w.modelCall(o, pid, "sub", "k2", false)
	for len(w.messages) > 1 {
		w.deliver(1)
	}
	o.step(LogState{Down: true})
	for len(w.messages) > 1 {
		w.deliver(1)
	}
	must.False(t, a.done || b.done)
	w.deliverAll()
	must.True(t, a.ok && b.ok)
}

// P2: copies that are confirmed after the lease has lapsed acknowledge no answer. Another session may have
// claimed the slot and fetched the copies before these were stored.
func TestCopiesNeedLease(t *testing.T) {
	w, o := startWorld(t, 3)
	pid := w.program(o, record.Limits{})
	w.log.down = true
	r := w.modelCall(o, pid, "main", "k1", false)
	w.deliverAll()
	o.step(LogState{Down: true})
	o.paused = true
	w.deliverAll() // peers store the copies and answer
	w.now += testLease + time.Second
	o.paused = false
	w.deliverAll()
	must.False(t, r.done)
	w.log.down = false
	w.advance(time.Second)
	must.True(t, r.ok)
}
