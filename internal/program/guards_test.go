package program

import (
	"bytes"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"ragwortstile/internal/record"
)

// P5, P2: the end of a stream is not sent while its turn can be lost, because the log is down and no peer
// holds a copy yet.
func TestStreamEndWaitsForTheLog(t *testing.T) {
	w, o := startWorld(t, 2)
	pid := w.program(o, record.Limits{})
	w.log.down = true
	r := w.modelCall(o, pid, "main", "k", true)
	w.deliverAll()
	must.Positive(t, len(r.got))
	must.False(t, r.done)
	must.False(t, bytes.Contains(r.got, endMarker))
	w.log.down = false
	w.advance(time.Second)
	must.True(t, r.ok)
	must.True(t, bytes.HasSuffix(r.got, []byte("data: [DONE]\n\n")))
}

// P5: no byte of a stream is lost, duplicated or misplaced when its chunks overlap, repeat or arrive out of
// order, as after a resume.
func TestStreamBufferReordersChunks(t *testing.T) {
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

// P3: calls of two branches that fit the rest of the budget only one at a time are not both run. The oracle
// counts the charges of the service.
func TestBranchesShareTheBudget(t *testing.T) {
	w, o := startWorld(t, 2)
	pid := w.program(o, record.Limits{ChargeCents: 15})
	w.sendRequest(o, OpenBranch{Req: w.oracle.addRequest(request{owner: o, program: pid, kind: "other"}), Team: "t", Program: pid, Name: "b", Key: "b"})
	w.pump()
	first := w.serviceCall(o, pid, "main", "k1", "charge")
	second := w.serviceCall(o, pid, "b", "k2", "charge")
	w.advance(15 * time.Second)
	// Either call may get the budget.
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

// P4: a release is not sent before the engine has stopped the attempts of the program, which would fill the
// cache again.
func TestReleaseWaitsForRunningAttempts(t *testing.T) {
	w, o := startWorld(t, 2)
	pid := w.program(o, record.Limits{})
	w.modelCall(o, pid, "main", "k", true)
	w.deliver(0) // the grant
	w.deliver(0) // the dispatch
	must.MapLen(t, 1, w.runs)
	var cancelled bool
	for _, a := range o.core.Step(w.now, EndProgram{Req: w.oracle.addRequest(request{owner: o, program: pid, kind: "other"}), Team: "t", Program: pid}, nil) {
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
