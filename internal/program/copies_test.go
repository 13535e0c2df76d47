package program

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/record"
)

func (w *world) openSubBranch(o *owner, r record.Limits) *request {
	pid := w.program(o, r)
	req := w.oracle.ask(request{owner: o, program: pid, kind: "other"})
	o.step(OpenBranch{Req: req, Team: "t", Program: pid, Name: "sub"})
	w.pump()
	return w.oracle.reqs[req]
}

// P3: calls of two branches at once each fit the budget, but not both.
func TestBranchesShareOneBudget(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.openSubBranch(o, record.Limits{ChargeCents: 15}).program
	a := w.service(o, pid, "main", "k1", "charge")
	b := w.service(o, pid, "sub", "k2", "charge")
	w.advance(time.Second)
	must.True(t, a.ok)
	must.Eq(t, ProblemBudgetExhausted, b.problem.Type)
	must.Eq(t, record.ExecutedNo, b.problem.Executed)
	must.Eq(t, 0, w.execs[execKey{pid, "k2"}])
}

// P2: a copied record is acknowledged only after the earlier records of its program, without which a
// new holder cannot use it.
func TestCopiesAreAcknowledgedInOrder(t *testing.T) {
	w, o := startWorld(t, 3)
	pid := w.openSubBranch(o, record.Limits{}).program
	w.log.down = true
	a := w.model(o, pid, "main", "k1", false)
	w.deliverAll()
	o.step(LogState{Down: true})
	must.Len(t, 1, w.net) // the copies of the first turn are held back
	b := w.model(o, pid, "sub", "k2", false)
	for len(w.net) > 1 {
		w.deliver(1)
	}
	o.step(LogState{Down: true})
	for len(w.net) > 1 {
		w.deliver(1)
	}
	must.False(t, a.done || b.done)
	w.deliverAll()
	must.True(t, a.ok && b.ok)
}

// P2: copies acknowledge nothing once the lease has lapsed, because a claimant may have fetched the
// copies before this one was stored.
func TestCopiesNeedLease(t *testing.T) {
	w, o := startWorld(t, 3)
	pid := w.program(o, record.Limits{})
	w.log.down = true
	r := w.model(o, pid, "main", "k1", false)
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
