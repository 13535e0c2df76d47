package program

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

// P1 to P7 in the comments of these tests are the guarantees that are listed at type oracle.

// injectFaults makes each named draw return its value once.
func (w *world) injectFaults(f map[string]int) {
	w.pick = func(n int, what string) int {
		v := f[what]
		delete(f, what)
		return v
	}
}

// P1: a call that expects a later sequence number waits for the call before it.
func TestCallsTakeEffectInOrder(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	second := w.oracle.addRequest(request{owner: o, program: pid, branch: "main", key: "k2", kind: "service", body: "k2"})
	o.step(ServiceCall{Req: second, Team: "t", Program: pid, Key: "k2", Seq: 2, Digest: 9, Service: "s", Operation: "charge", Body: []byte("k2")})
	w.pump()
	must.False(t, w.oracle.reqs[second].done)
	must.Eq(t, 0, w.execCounts[callKey{pid, "k2"}])
	first := w.modelCall(o, pid, "main", "k1", false)
	w.advance(time.Second)
	must.True(t, first.ok)
	must.True(t, w.oracle.reqs[second].ok)
}

// P1: a call does not start while the previous call of its branch is under way, even if it expects no
// sequence number.
func TestCallWaitsForPreviousCall(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	first := w.modelCall(o, pid, "main", "k1", false)
	second := w.serviceCall(o, pid, "main", "k2", "look")
	third := w.serviceCall(o, pid, "main", "k3", "look")
	p := o.core.progs[pid]
	must.Eq(t, stateQueued, p.calls["k2"].state)
	must.Eq(t, stateQueued, p.calls["k3"].state)
	must.MapLen(t, 1, o.core.attempts)
	w.pump()
	must.True(t, first.ok && second.ok && third.ok)
	must.Eq(t, uint64(2), w.ref.Program(pid).Outcomes["k2"].Call.Seq)
	must.Eq(t, uint64(3), w.ref.Program(pid).Outcomes["k3"].Call.Seq)
}

// P2: an acknowledged turn of which only peers hold a copy, because the log was down, survives the death of
// its owner.
func TestCopiedTurnSurvivesOwner(t *testing.T) {
	w, a := startWorld(t, 3)
	pid := w.program(a, record.Limits{Tokens: 4000})
	w.log.down = true
	w.advance(time.Second)
	r1 := w.modelCall(a, pid, "main", "k1", true)
	w.advance(time.Second)
	r2 := w.modelCall(a, pid, "main", "k2", false)
	w.advance(time.Second)
	must.True(t, r1.ok && r2.ok)
	must.Eq(t, uint64(0), w.ref.Program(pid).Branches["main"].LastSeq)
	w.kill(a)
	w.log.down = false
	w.takeover(w.owners[1])
	w.oracle.checkDurable()
	must.Eq(t, uint64(2), w.ref.Program(pid).Branches["main"].LastSeq)
	again := w.modelCall(w.owners[1], pid, "main", "k1", true)
	w.pump()
	must.Eq(t, string(r1.got), string(again.got))
	must.SliceEmpty(t, w.copies)
}

// P2: messages that do not start with the recorded history are refused. Messages that are equal as JSON
// match, even if they are encoded differently.
func TestHistoryIsChecked(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	w.modelCall(o, pid, "main", "k1", false)
	w.pump()
	h := w.ref.Program(pid).Branches["main"].History
	user := record.Message{Raw: fmt.Appendf(nil, `{"role":"user","content":"k2 %s/main"}`, pid)}
	call := func(key string, ms ...record.Message) *request {
		req := w.oracle.addRequest(request{owner: o, program: pid, branch: "main", key: key, kind: "model"})
		o.step(ModelCall{Req: req, Team: "t", Program: pid, Key: key, Digest: 1, Model: "m", Messages: ms})
		w.pump()
		return w.oracle.reqs[req]
	}
	must.Eq(t, ProblemHistoryMismatch, call("k2", user).problem.Type)
	must.Eq(t, ProblemHistoryMismatch, call("k2", h[1], h[0], user).problem.Type)
	must.Eq(t, ProblemHistoryMismatch, call("k2", h[0], h[1]).problem.Type)
	spelled := record.Message{Raw: []byte(strings.Replace(string(h[1].Raw), `"role":`, ` "role" : `, 1))}
	must.True(t, call("k2", h[0], spelled, user).ok)
}

// P3: the budget holds across takeovers, although each may follow a call that ran and was not recorded.
func TestBudgetHoldsAcrossTakeovers(t *testing.T) {
	w, o := startWorld(t, 2)
	pid := w.program(o, record.Limits{Tokens: 600})
	for i := range 12 {
		w.modelCall(o, pid, "main", fmt.Sprintf("k%d", i), false)
		w.pump()
		w.modelCall(o, pid, "main", fmt.Sprintf("lost%d", i), false)
		for range 2 { // delivers the grant and the dispatch, but not the answer of the engine
			if len(w.messages) > 0 {
				w.deliver(0)
			}
		}
		w.kill(o)
		o = w.join()
		w.takeover(o)
	}
	used := w.oracle.tokens[pid]
	must.True(t, used > 0 && used <= 600, must.Sprintf("used %d", used))
	last := w.modelCall(o, pid, "main", "over", false)
	w.advance(time.Second)
	must.False(t, last.ok)
}

// P4: the caches of an ended program are released although release orders are lost and the owner dies.
func TestCacheIsReleasedAfterTakeover(t *testing.T) {
	w, a := startWorld(t, 2)
	pid := w.program(a, record.Limits{})
	w.modelCall(a, pid, "main", "k1", false)
	w.pump()
	w.pick = func(n int, what string) int { return n - 1 } // every release order is lost
	w.endProgram(a, pid)
	w.advance(5 * time.Second)
	must.True(t, w.cache["m2"][pid] || w.cache["m1"][pid])
	w.kill(a)
	w.pick = func(int, string) int { return 0 }
	w.takeover(w.owners[1])
	w.advance(5 * time.Second)
	w.oracle.checkReleased()
	must.SliceEmpty(t, w.ref.Program(pid).CacheEndpoints)
}

// P4: a restart of the engine completes its pending releases.
func TestEngineRestartEndsReleases(t *testing.T) {
	w, a := startWorld(t, 1)
	pid := w.program(a, record.Limits{})
	w.modelCall(a, pid, "main", "k1", false)
	w.pump()
	w.pick = func(n int, what string) int { return n - 1 }
	w.endProgram(a, pid)
	w.advance(time.Second)
	must.SliceNotEmpty(t, w.ref.Program(pid).CacheEndpoints)
	a.step(EngineRestarted{Endpoint: w.ref.Program(pid).CacheEndpoints[0]})
	w.pump()
	must.SliceEmpty(t, w.ref.Program(pid).CacheEndpoints)
}

// P5: a broken stream is resumed at the engine after its last byte, without a second run, and a caller that
// joins at a byte offset gets the same bytes from there on.
func TestBrokenStreamIsResumed(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	w.injectFaults(map[string]int{"engine": 4})
	r := w.modelCall(o, pid, "main", "k1", true)
	w.pump()
	must.True(t, r.ok)
	must.Eq(t, 1, w.runCounts[callKey{pid, "k1"}])
	req := w.oracle.addRequest(request{owner: o, program: pid, key: "k1", kind: "model", from: 7})
	o.step(JoinCall{Req: req, Team: "t", Program: pid, Key: "k1", FromByte: 7})
	must.Eq(t, string(r.got[7:]), string(w.oracle.reqs[req].got))
}

// P5: a stream that breaks after the caller has received bytes and that cannot be resumed is not run again,
// because a second run would produce other bytes.
func TestDeliveredStreamIsNotRunAgain(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	w.injectFaults(map[string]int{"engine": 5})
	r := w.modelCall(o, pid, "main", "k1", true)
	w.advance(3 * time.Second)
	must.Eq(t, ProblemStreamLost, r.problem.Type)
	must.Eq(t, record.ExecutedUnknown, r.problem.Executed)
	must.Eq(t, 1, w.runCounts[callKey{pid, "k1"}])
}

// P6: a refusal reports a call as not run if nothing was sent, and as unknown where another holder may have
// run it.
func TestRefusalsReportExecution(t *testing.T) {
	w, o := startWorld(t, 2)
	pid := w.program(o, record.Limits{Tokens: 30})
	over := w.modelCall(o, pid, "main", "k1", false)
	w.pump()
	must.Eq(t, ProblemBudgetExhausted, over.problem.Type)
	must.Eq(t, record.ExecutedNo, over.problem.Executed)
	pid = w.program(o, record.Limits{})
	w.log.down = true
	w.advance(time.Second)
	charge := w.serviceCall(o, pid, "main", "k2", "charge")
	w.advance(12 * time.Second)
	must.Eq(t, ProblemLogDown, charge.problem.Type)
	must.Eq(t, record.ExecutedNo, charge.problem.Executed)
	w.log.down = false
	w.advance(time.Second)
	must.Eq(t, 0, w.execCounts[callKey{pid, "k2"}])
	again := w.serviceCall(o, pid, "main", "k2", "charge")
	w.pump()
	must.True(t, again.ok)
	other := w.serviceCall(w.owners[1], pid, "main", "k3", "charge")
	must.Eq(t, ProblemNotHolder, other.problem.Type)
	must.Eq(t, record.ExecutedUnknown, other.problem.Executed)
}

// P7: a holder that is paused after its intent was committed and that loses its slot does not dispatch the
// call when it continues, whether it first handles the grant, a renewed lease or the log.
func TestPausedHolderDoesNotDispatch(t *testing.T) {
	for _, op := range []string{"charge", "reserve"} {
		w, a := startWorld(t, 2)
		pid := w.program(a, record.Limits{})
		first := w.oracle.addRequest(request{owner: a, program: pid, branch: "main", key: "k1", kind: "service", body: "k1"})
		a.step(ServiceCall{
			Req: first, Team: "t", Program: pid, Key: "k1", Digest: 9, Service: "s", Operation: op,
			Body: []byte("k1"), TimeLimit: time.Minute,
		})
		a.appendBatch()
		a.readLog() // the intent is committed and the grant is in transit
		a.paused = true
		b := w.owners[1]
		w.takeover(b)
		w.advance(15 * time.Second)
		r := w.serviceCall(b, pid, "main", "k1", op)
		w.advance(time.Second)
		a.paused = false
		a.step(LeaseChanged{Until: w.now + testLease})
		w.deliverAll() // the grant arrives before the claim is read
		w.advance(5 * time.Second)
		must.True(t, r.done)
		if op == "reserve" {
			must.True(t, r.ok) // the service reports "not run", so the call runs once at the new holder
			must.Eq(t, 1, w.execCounts[callKey{pid, "k1"}])
			continue
		}
		must.Eq(t, ProblemOutcomeUnknown, r.problem.Type)
		must.Eq(t, 0, w.execCounts[callKey{pid, "k1"}])
	}
}

// P6: a key with a recorded outcome "not run" is repeated, and the holder dies after the intent of the repeat
// was committed. The next holder must not report the key as not run. Found by the fault test of package
// whole with seed 555.
func TestRepeatedKeyWithOpenIntentIsUnknown(t *testing.T) {
	w, a := startWorld(t, 2)
	pid := w.program(a, record.Limits{})
	w.injectFaults(map[string]int{"service": 7})
	w.serviceCall(a, pid, "main", "k1", "charge")
	w.pump()
	a.step(SettleCall{Req: w.oracle.addRequest(request{owner: a, program: pid, kind: "other"}), Team: "t", Program: pid, Key: "k1", Executed: record.ExecutedNo})
	w.pump()
	a.step(ServiceCall{
		Req: w.oracle.addRequest(request{owner: a, program: pid, branch: "main", key: "k1", kind: "service", body: "k1"}), Team: "t",
		Program: pid, Key: "k1", Digest: 9, Service: "s", Operation: "charge", Body: []byte("k1"), TimeLimit: time.Minute,
	})
	a.appendBatch()
	a.readLog() // the intent is committed
	a.paused = true
	b := w.owners[1]
	w.takeover(b)
	r := w.serviceCall(b, pid, "main", "k1", "charge") // before the new holder resolves the open intent
	w.advance(time.Second)
	must.True(t, r.done)
	must.Eq(t, ProblemOutcomeUnknown, r.problem.Type)
	must.Eq(t, record.ExecutedUnknown, r.problem.Executed)
}

// P7: an unknown outcome blocks its branch until it is settled, but no other branch.
func TestUnknownOutcomeBlocksBranch(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	o.step(OpenBranch{Req: w.oracle.addRequest(request{owner: o, program: pid, kind: "other"}), Team: "t", Program: pid, Name: "sub"})
	w.pump()
	w.injectFaults(map[string]int{"service": 7})
	r := w.serviceCall(o, pid, "main", "k1", "charge")
	w.pump()
	must.Eq(t, ProblemOutcomeUnknown, r.problem.Type)
	blocked := w.serviceCall(o, pid, "main", "k2", "charge")
	free := w.serviceCall(o, pid, "sub", "k3", "charge")
	w.pump()
	must.Eq(t, ProblemOutcomeUnknown, blocked.problem.Type)
	must.True(t, free.ok)
	req := w.oracle.addRequest(request{owner: o, program: pid, kind: "other"})
	o.step(SettleCall{Req: req, Team: "t", Program: pid, Key: "k1", Executed: record.ExecutedYes, Body: []byte(`{"done":"k1"}`)})
	again := w.serviceCall(o, pid, "main", "k1", "charge")
	must.False(t, again.done) // the Settle record was not read back yet
	next := w.serviceCall(o, pid, "main", "k2", "charge")
	w.pump()
	must.True(t, again.ok && next.ok)
	must.Eq(t, 1, w.execCounts[callKey{pid, "k1"}])
}

// Guards against a key that is reused for another request, and against programs that are visible to another
// team.
func TestKeyReuseAndTeamIsolation(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	w.serviceCall(o, pid, "main", "k1", "charge")
	w.pump()
	addRequest := func(ev func(ReqID) Event) *request {
		req := w.oracle.addRequest(request{owner: o, program: pid, kind: "other"})
		o.step(ev(req))
		return w.oracle.reqs[req]
	}
	r := addRequest(func(q ReqID) Event {
		return ServiceCall{Req: q, Team: "t", Program: pid, Key: "k1", Digest: 8, Service: "s", Operation: "charge"}
	})
	must.Eq(t, 422, r.status)
	foreign := addRequest(func(q ReqID) Event { return ReadProgram{Req: q, Team: "u", Program: pid} })
	unknown := addRequest(func(q ReqID) Event { return ReadProgram{Req: q, Team: "u", Program: id.NewProgram(testSlot, "none")} })
	must.Eq(t, unknown.problem, foreign.problem)
	must.True(t, addRequest(func(q ReqID) Event { return ExplainProgram{Req: q, Team: "t", Program: pid} }).ok)
}

// Guards against a hand-over that interrupts a call or after which the new holder lacks state.
func TestHandoverWaitsForCalls(t *testing.T) {
	w, a := startWorld(t, 2)
	b := w.owners[1]
	pid := w.program(a, record.Limits{})
	r := w.modelCall(a, pid, "main", "k1", true)
	a.step(Handover{Slot: testSlot, To: b.session})
	late := w.modelCall(a, pid, "main", "k2", false)
	must.Eq(t, ProblemSlotMoving, late.problem.Type)
	w.advance(time.Second)
	must.True(t, r.ok)
	must.Eq(t, b.session, w.ref.Slot(testSlot).Holder)
	next := w.modelCall(b, pid, "main", "k2", false)
	w.pump()
	must.True(t, next.ok)
}

// Guards against retry storms: the retries at a failing pool stay within its retry budget.
func TestRetriesAreBounded(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	n := 0
	w.pick = func(_ int, what string) int {
		if what != "service" {
			return 0
		}
		n++
		return 6
	}
	for i := range 20 {
		r := w.serviceCall(o, pid, "main", fmt.Sprintf("k%d", i), "look")
		w.advance(2 * time.Second)
		must.Eq(t, ProblemEndpointFailed, r.problem.Type)
	}
	must.True(t, n <= 20+retryBudgetMax+2, must.Sprintf("%d attempts for 20 calls", n))
}

// Guards against a program that continues after its limit of wall time.
func TestWallTimeEndsProgram(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{WallTime: 5 * time.Second})
	w.log.down = false
	r := w.modelCall(o, pid, "main", "k1", true)
	w.messages = nil // the grant is lost
	w.advance(6 * time.Second)
	must.Eq(t, ProblemWallTime, r.problem.Type)
	must.Eq(t, record.EndWallTime, w.ref.Program(pid).EndCause)
}

// Guards against state that is lost when its records expire: after more than the retention time a new
// instance has the same state as a reader of the whole log, and can take over the slot.
func TestStateOutlivesRetention(t *testing.T) {
	w, a := startWorld(t, 2)
	pid := w.program(a, record.Limits{Tokens: 100000})
	for i := range 5 {
		w.modelCall(a, pid, "main", fmt.Sprintf("k%d", i), false)
		w.advance(testRetention / 2)
	}
	must.True(t, w.log.earliest > 2)
	cold := w.join()
	must.Eq(t, w.ref.Slot(testSlot), cold.sm.Slot(testSlot))
	must.Eq(t, w.ref.Program(pid).Branches["main"].Digest, cold.sm.Program(pid).Branches["main"].Digest)
	must.Eq(t, w.ref.Program(pid).Counted(), cold.sm.Program(pid).Counted())
	w.kill(a)
	w.takeover(cold)
	r := w.modelCall(cold, pid, "main", "k9", false)
	w.pump()
	must.True(t, r.ok, must.Sprintf("%+v", r.problem))
}

// P3: spending stays within the last committed high-water mark while the log is down and the mark cannot be
// raised.
func TestLogDownLimitsSpendingToHighWater(t *testing.T) {
	w, o := startWorld(t, 3)
	pid := w.program(o, record.Limits{Tokens: 4000})
	w.log.down = true
	for i := range 60 {
		w.modelCall(o, pid, "main", fmt.Sprintf("k%d", i), false)
		w.advance(200 * time.Millisecond)
	}
	must.True(t, w.oracle.tokens[pid] > 0 && w.oracle.tokens[pid] <= w.ref.Program(pid).HighWater.Tokens)
}

// P3: attempts that fail after the engine has run them count against the budget, which the oracle checks.
func TestFailedAttemptsCount(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{Tokens: 600})
	w.pick = func(_ int, what string) int {
		if what == "engine" {
			return 5
		}
		return 0
	}
	for i := range 30 {
		w.modelCall(o, pid, "main", fmt.Sprintf("k%d", i), false)
		w.advance(time.Second)
	}
	must.True(t, w.oracle.tokens[pid] > 0)
}

// P4: a release is not sent while an attempt runs at the engine, because the attempt would fill the cache
// again.
func TestReleaseWaitsForRunningAttempt(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	w.modelCall(o, pid, "main", "k1", true)
	w.deliver(0)
	w.deliver(0)
	w.messages = nil // the engine continues, but its answer is lost
	w.endProgram(o, pid)
	for len(w.messages) > 0 {
		w.deliver(len(w.messages) - 1)
	}
	w.advance(30 * time.Second)
	w.oracle.checkReleased()
	must.SliceEmpty(t, w.ref.Program(pid).CacheEndpoints)
}

// P5: the end marker of a stream is sent only after its turn is durable.
func TestStreamEndsAfterCommit(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	r := w.modelCall(o, pid, "main", "k1", true)
	w.deliverAll()
	must.True(t, r.begun && !r.done)
	must.StrNotContains(t, string(r.got), "[DONE]")
	w.pump()
	must.True(t, r.ok)
}

// P6, P7: a report "not run" of the service is ignored as long as the request may still arrive.
func TestEarlyNotRunReportIsIgnored(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	w.injectFaults(map[string]int{"service": 6})
	r := w.serviceCall(o, pid, "main", "k1", "reserve")
	w.advance(testLease)
	must.False(t, r.done)
	w.advance(2 * testLease)
	must.Eq(t, record.ExecutedNo, r.problem.Executed)
}

// P6: an open that the log does not confirm in time is refused as not run and leaves no open program.
func TestOpenWhileLogIsDown(t *testing.T) {
	w, o := startWorld(t, 1)
	w.log.down = true
	pid := id.NewProgram(testSlot, "x")
	req := w.oracle.addRequest(request{owner: o, program: pid, kind: "open"})
	o.step(OpenProgram{Req: req, Program: pid, Team: "t", Duty: "d", Now: w.wall()})
	w.advance(openTimeout + time.Second)
	must.Eq(t, record.ExecutedNo, w.oracle.reqs[req].problem.Executed)
	w.log.down = false
	w.advance(time.Second)
	must.True(t, w.ref.Program(pid).Ended())
}

// Guards against a panic on a program whose tombstone was removed from the replicated state machine while Core
// still has its entry.
func TestRequestAfterTombstone(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	w.modelCall(o, pid, "main", "k1", false)
	w.pump()
	w.endProgram(o, pid)
	w.advance(time.Second)
	w.now += 11*time.Minute - time.Second
	w.log.append(mustEncode(t, record.Batch{Session: "x.1", Seq: 1, At: w.wall()}), w.now)
	o.readLog()
	must.Nil(t, o.sm.Program(pid))
	r := w.endProgram(o, pid)
	must.Eq(t, ProblemNotFound, r.problem.Type)
	w.reconcile(o)
}

func mustEncode(t *testing.T, b record.Batch) []byte {
	data, err := record.Encode(b)
	must.NoError(t, err)
	return data
}
