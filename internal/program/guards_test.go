package program

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"ragwortstile/internal/record"
)

// Guards P5 and P2 against a caller that is shown the end of a stream whose turn can still be lost: the
// log takes no append, and no peer holds a copy yet.
func TestStreamEndWaitsForTheLog(t *testing.T) {
	w, o := startWorld(t, 2)
	pid := w.program(o, record.Limits{})
	w.log.down = true
	r := w.model(o, pid, "main", "k", true)
	w.deliverAll()
	must.Positive(t, len(r.got))
	must.False(t, r.done)
	must.False(t, bytes.Contains(r.got, endMarker))
	w.log.down = false
	w.advance(time.Second)
	must.True(t, r.ok)
	must.True(t, bytes.HasSuffix(r.got, []byte("data: [DONE]\n\n")))
}

// Guards P5 against bytes that are lost, doubled or moved when the pieces of a stream overlap, repeat
// and overtake each other, as after a resume.
func TestStreamBufferTakesAnyPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := rapid.SliceOfN(rapid.Byte(), 1, 60).Draw(t, "stream")
		var s streamBuffer
		add := func(from, to int) {
			before := s.size()
			grew := s.add(int64(from), whole[from:to])
			if !bytes.HasPrefix(whole, s.data) {
				t.Fatalf("after [%d,%d): %v is no prefix of %v", from, to, s.data, whole)
			}
			if grew != (s.size() > before) {
				t.Fatalf("add [%d,%d) reports %v, size %d to %d", from, to, grew, before, s.size())
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "pieces") {
			from := rapid.IntRange(0, len(whole)-1).Draw(t, "from")
			add(from, rapid.IntRange(from, len(whole)).Draw(t, "to"))
		}
		add(0, len(whole))
		if !bytes.Equal(whole, s.data) {
			t.Fatalf("got %v, want %v", s.data, whole)
		}
	})
}

// Guards P3 against two branches that each fit into what is left of the budget, but not together. The
// oracle counts what the service charges.
func TestBranchesShareTheBudget(t *testing.T) {
	w, o := startWorld(t, 2)
	pid := w.program(o, record.Limits{ChargeCents: 15})
	w.to(o, OpenBranch{Req: w.oracle.ask(request{owner: o, program: pid, kind: "other"}), Team: "t", Program: pid, Name: "b", Key: "b"})
	w.pump()
	first := w.service(o, pid, "main", "k1", "charge")
	second := w.service(o, pid, "b", "k2", "charge")
	w.advance(15 * time.Second)
	// Which of the two gets the budget is not stated.
	won, lost := first, second
	if second.ok {
		won, lost = second, first
	}
	must.True(t, won.ok)
	must.False(t, lost.ok)
	must.Eq(t, ProblemBudgetExhausted, lost.problem.Type)
	must.Eq(t, record.ExecutedNo, lost.problem.Executed)
	must.Eq(t, int64(10), w.oracle.charge[pid])
}

// Guards P4 against a release that comes before the engine has stopped an attempt of the program, which
// would fill its memory again.
func TestReleaseWaitsForRunningAttempts(t *testing.T) {
	w, o := startWorld(t, 2)
	pid := w.program(o, record.Limits{})
	w.model(o, pid, "main", "k", true)
	w.deliver(0) // the grant
	w.deliver(0) // the dispatch
	must.MapLen(t, 1, w.runs)
	var cancelled bool
	for _, a := range o.core.Step(w.now, EndProgram{Req: w.oracle.ask(request{owner: o, program: pid, kind: "other"}), Team: "t", Program: pid}, nil) {
		_, release := a.(ReleaseCache)
		must.False(t, release)
		_, cancel := a.(CancelAttempt)
		cancelled = cancelled || cancel
		w.act(o, a)
	}
	must.True(t, cancelled)
	w.advance(10 * time.Second)
	w.oracle.checkReleased()
	must.MapEmpty(t, w.cache["m1"])
}
