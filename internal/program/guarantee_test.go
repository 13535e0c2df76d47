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

// faults makes the named draws return a value once each.
func (w *world) injectFaults(f map[string]int) {
	w.pick = func(n int, what string) int {
		v := f[what]
		delete(f, what)
		return v
	}
}

// P1: a call that names a later sequence number waits for the one before it.
func TestCallsTakeEffectInOrder(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	second := w.oracle.ask(request{owner: o, program: pid, branch: "main", key: "k2", kind: "service", body: "k2"})
	o.step(ServiceCall{Req: second, Team: "t", Program: pid, Key: "k2", Seq: 2, Digest: 9, Service: "s", Operation: "charge", Body: []byte("k2")})
	w.pump()
	must.False(t, w.oracle.reqs[second].done)
	must.Eq(t, 0, w.execs[execKey{pid, "k2"}])
	first := w.model(o, pid, "main", "k1", false)
	w.advance(time.Second)
	must.True(t, first.ok)
	must.True(t, w.oracle.reqs[second].ok)
}

// P1: a call does not start while the one ahead of it on its branch is under way, even if it names no
// sequence number.
func TestCallWaitsForTheOneAhead(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	first := w.model(o, pid, "main", "k1", false)
	second := w.service(o, pid, "main", "k2", "look")
	third := w.service(o, pid, "main", "k3", "look")
	p := o.core.progs[pid]
	must.Eq(t, stateQueued, p.calls["k2"].state)
	must.Eq(t, stateQueued, p.calls["k3"].state)
	must.MapLen(t, 1, o.core.attempts)
	w.pump()
	must.True(t, first.ok && second.ok && third.ok)
	must.Eq(t, uint64(2), w.ref.Program(pid).Outcomes["k2"].Call.Seq)
	must.Eq(t, uint64(3), w.ref.Program(pid).Outcomes["k3"].Call.Seq)
}

// P2: a turn that only peers hold survives the death of its owner, although the log never had it.
func TestCopiedTurnSurvivesOwner(t *testing.T) {
	w, a := startWorld(t, 3)
	pid := w.program(a, record.Limits{Tokens: 4000})
	w.log.down = true
	w.advance(time.Second)
	r1 := w.model(a, pid, "main", "k1", true)
	w.advance(time.Second)
	r2 := w.model(a, pid, "main", "k2", false)
	w.advance(time.Second)
	must.True(t, r1.ok && r2.ok)
	must.Eq(t, uint64(0), w.ref.Program(pid).Branches["main"].Last)
	w.kill(a)
	w.log.down = false
	w.takeover(w.owners[1])
	w.oracle.checkDurable()
	must.Eq(t, uint64(2), w.ref.Program(pid).Branches["main"].Last)
	again := w.model(w.owners[1], pid, "main", "k1", true)
	w.pump()
	must.Eq(t, string(r1.got), string(again.got))
	must.SliceEmpty(t, w.copies)
}

// P2: messages that do not start with the recorded history are refused, and two spellings of the same
// message are not told apart.
func TestHistoryIsChecked(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	w.model(o, pid, "main", "k1", false)
	w.pump()
	h := w.ref.Program(pid).Branches["main"].History
	user := record.Message{Raw: fmt.Appendf(nil, `{"role":"user","content":"k2 %s/main"}`, pid)}
	call := func(key string, ms ...record.Message) *request {
		req := w.oracle.ask(request{owner: o, program: pid, branch: "main", key: key, kind: "model"})
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

// P3: a budget holds over take-overs, each of which may have hidden a call that ran.
func TestBudgetHoldsOverTakeOvers(t *testing.T) {
	w, o := startWorld(t, 2)
	pid := w.program(o, record.Limits{Tokens: 600})
	for i := range 12 {
		w.model(o, pid, "main", fmt.Sprintf("k%d", i), false)
		w.pump()
		w.model(o, pid, "main", fmt.Sprintf("lost%d", i), false)
		for range 2 { // the grant and the run at the engine, but not its answer
			if len(w.net) > 0 {
				w.deliver(0)
			}
		}
		w.kill(o)
		o = w.join()
		w.takeover(o)
	}
	used := w.oracle.tokens[pid]
	must.True(t, used > 0 && used <= 600, must.Sprintf("used %d", used))
	last := w.model(o, pid, "main", "over", false)
	w.advance(time.Second)
	must.False(t, last.ok)
}

// P4: caches of ended programs are released although orders are lost and the owner dies.
func TestCacheIsReleasedAfterTakeOver(t *testing.T) {
	w, a := startWorld(t, 2)
	pid := w.program(a, record.Limits{})
	w.model(a, pid, "main", "k1", false)
	w.pump()
	w.pick = func(n int, what string) int { return n - 1 } // every release order is lost
	w.end(a, pid)
	w.advance(5 * time.Second)
	must.True(t, w.cache["m2"][pid] || w.cache["m1"][pid])
	w.kill(a)
	w.pick = func(int, string) int { return 0 }
	w.takeover(w.owners[1])
	w.advance(5 * time.Second)
	w.oracle.checkReleased()
	must.SliceEmpty(t, w.ref.Program(pid).Holding)
}

// P4: an engine that restarted owes nothing any more.
func TestEngineRestartEndsDebt(t *testing.T) {
	w, a := startWorld(t, 1)
	pid := w.program(a, record.Limits{})
	w.model(a, pid, "main", "k1", false)
	w.pump()
	w.pick = func(n int, what string) int { return n - 1 }
	w.end(a, pid)
	w.advance(time.Second)
	must.SliceNotEmpty(t, w.ref.Program(pid).Holding)
	a.step(EngineRestarted{Endpoint: w.ref.Program(pid).Holding[0]})
	w.pump()
	must.SliceEmpty(t, w.ref.Program(pid).Holding)
}

// P5: a stream that breaks is resumed at the engine from the last byte; a caller that joins from a byte
// on gets the rest; bytes sent are never contradicted.
func TestBrokenStreamIsResumed(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	w.injectFaults(map[string]int{"engine": 4})
	r := w.model(o, pid, "main", "k1", true)
	w.pump()
	must.True(t, r.ok)
	must.Eq(t, 1, w.ran[execKey{pid, "k1"}])
	req := w.oracle.ask(request{owner: o, program: pid, key: "k1", kind: "model", from: 7})
	o.step(JoinCall{Req: req, Team: "t", Program: pid, Key: "k1", FromByte: 7})
	must.Eq(t, string(r.got[7:]), string(w.oracle.reqs[req].got))
}

// P5: a stream that broke after bytes reached the caller and cannot be resumed is not run again.
func TestShownStreamIsNotRunAgain(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	w.injectFaults(map[string]int{"engine": 5})
	r := w.model(o, pid, "main", "k1", true)
	w.advance(3 * time.Second)
	must.Eq(t, ProblemStreamLost, r.problem.Type)
	must.Eq(t, record.ExecutedUnknown, r.problem.Executed)
	must.Eq(t, 1, w.ran[execKey{pid, "k1"}])
}

// P6: what was not sent is refused as not run; a call that ran and failed is not.
func TestRefusalsSayWhatIsCertain(t *testing.T) {
	w, o := startWorld(t, 2)
	pid := w.program(o, record.Limits{Tokens: 30})
	over := w.model(o, pid, "main", "k1", false)
	w.pump()
	must.Eq(t, ProblemBudgetExhausted, over.problem.Type)
	must.Eq(t, record.ExecutedNo, over.problem.Executed)
	pid = w.program(o, record.Limits{})
	w.log.down = true
	w.advance(time.Second)
	charge := w.service(o, pid, "main", "k2", "charge")
	w.advance(12 * time.Second)
	must.Eq(t, ProblemLogDown, charge.problem.Type)
	must.Eq(t, record.ExecutedNo, charge.problem.Executed)
	w.log.down = false
	w.advance(time.Second)
	must.Eq(t, 0, w.execs[execKey{pid, "k2"}])
	again := w.service(o, pid, "main", "k2", "charge")
	w.pump()
	must.True(t, again.ok)
	other := w.service(w.owners[1], pid, "main", "k3", "charge")
	must.Eq(t, ProblemNotHolder, other.problem.Type)
	must.Eq(t, record.ExecutedUnknown, other.problem.Executed)
}

// P7: a holder that is paused between its committed intent and the dispatch does not dispatch after it
// resumes, whatever comes first then: the grant, a renewed lease or the log.
func TestPausedHolderDoesNotDispatch(t *testing.T) {
	for _, op := range []string{"charge", "reserve"} {
		w, a := startWorld(t, 2)
		pid := w.program(a, record.Limits{})
		first := w.oracle.ask(request{owner: a, program: pid, branch: "main", key: "k1", kind: "service", body: "k1"})
		a.step(ServiceCall{
			Req: first, Team: "t", Program: pid, Key: "k1", Digest: 9, Service: "s", Operation: op,
			Body: []byte("k1"), TimeLimit: time.Minute,
		})
		a.flush()
		a.read() // the intent is committed; the grant is under way
		a.paused = true
		b := w.owners[1]
		w.takeover(b)
		w.advance(15 * time.Second)
		r := w.service(b, pid, "main", "k1", op)
		w.advance(time.Second)
		a.paused = false
		a.step(LeaseChanged{Until: w.now + testLease})
		w.deliverAll() // the grant comes before the log
		w.advance(5 * time.Second)
		must.True(t, r.done)
		if op == "reserve" {
			must.True(t, r.ok) // asked: not run, so that the key runs once under the new holder
			must.Eq(t, 1, w.execs[execKey{pid, "k1"}])
			continue
		}
		must.Eq(t, ProblemOutcomeUnknown, r.problem.Type)
		must.Eq(t, 0, w.execs[execKey{pid, "k1"}])
	}
}

// P6: a key that was not run at first and was made again under a holder that died has an open intent; the
// next holder must not say of it that it was not run. Found by TestInstancesUnderFaults of package whole at
// seed 555.
func TestRepeatedKeyWithOpenIntentIsNotCalledNotRun(t *testing.T) {
	w, a := startWorld(t, 2)
	pid := w.program(a, record.Limits{})
	w.injectFaults(map[string]int{"service": 7})
	w.service(a, pid, "main", "k1", "charge")
	w.pump()
	a.step(SettleCall{Req: w.oracle.ask(request{owner: a, program: pid, kind: "other"}), Team: "t", Program: pid, Key: "k1", Executed: record.ExecutedNo})
	w.pump()
	a.step(ServiceCall{
		Req: w.oracle.ask(request{owner: a, program: pid, branch: "main", key: "k1", kind: "service", body: "k1"}), Team: "t",
		Program: pid, Key: "k1", Digest: 9, Service: "s", Operation: "charge", Body: []byte("k1"), TimeLimit: time.Minute,
	})
	a.flush()
	a.read() // the intent is committed
	a.paused = true
	b := w.owners[1]
	w.takeover(b)
	r := w.service(b, pid, "main", "k1", "charge") // before the new holder settles what is open
	w.advance(time.Second)
	must.True(t, r.done)
	must.Eq(t, ProblemOutcomeUnknown, r.problem.Type)
	must.Eq(t, record.ExecutedUnknown, r.problem.Executed)
}

// P7: an unknown outcome blocks its branch until it is settled, and other branches go on.
func TestUnknownOutcomeBlocksBranch(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	o.step(OpenBranch{Req: w.oracle.ask(request{owner: o, program: pid, kind: "other"}), Team: "t", Program: pid, Name: "sub"})
	w.pump()
	w.injectFaults(map[string]int{"service": 7})
	r := w.service(o, pid, "main", "k1", "charge")
	w.pump()
	must.Eq(t, ProblemOutcomeUnknown, r.problem.Type)
	blocked := w.service(o, pid, "main", "k2", "charge")
	free := w.service(o, pid, "sub", "k3", "charge")
	w.pump()
	must.Eq(t, ProblemOutcomeUnknown, blocked.problem.Type)
	must.True(t, free.ok)
	req := w.oracle.ask(request{owner: o, program: pid, kind: "other"})
	o.step(SettleCall{Req: req, Team: "t", Program: pid, Key: "k1", Executed: record.ExecutedYes, Body: []byte(`{"done":"k1"}`)})
	again := w.service(o, pid, "main", "k1", "charge")
	must.False(t, again.done) // the Settle was not read back
	next := w.service(o, pid, "main", "k2", "charge")
	w.pump()
	must.True(t, again.ok && next.ok)
	must.Eq(t, 1, w.execs[execKey{pid, "k1"}])
}

// Guards against a key that answers for another body, and a program that another team can see.
func TestKeysAndTeams(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	w.service(o, pid, "main", "k1", "charge")
	w.pump()
	ask := func(ev func(ReqID) Event) *request {
		req := w.oracle.ask(request{owner: o, program: pid, kind: "other"})
		o.step(ev(req))
		return w.oracle.reqs[req]
	}
	r := ask(func(q ReqID) Event {
		return ServiceCall{Req: q, Team: "t", Program: pid, Key: "k1", Digest: 8, Service: "s", Operation: "charge"}
	})
	must.Eq(t, 422, r.status)
	foreign := ask(func(q ReqID) Event { return ReadProgram{Req: q, Team: "u", Program: pid} })
	unknown := ask(func(q ReqID) Event { return ReadProgram{Req: q, Team: "u", Program: id.NewProgram(testSlot, "none")} })
	must.Eq(t, unknown.problem, foreign.problem)
	must.True(t, ask(func(q ReqID) Event { return ExplainProgram{Req: q, Team: "t", Program: pid} }).ok)
}

// Guards against a hand-over that cuts off a call or leaves the target without the state.
func TestHandOverWaitsForCalls(t *testing.T) {
	w, a := startWorld(t, 2)
	b := w.owners[1]
	pid := w.program(a, record.Limits{})
	r := w.model(a, pid, "main", "k1", true)
	a.step(Handover{Slot: testSlot, To: b.session})
	late := w.model(a, pid, "main", "k2", false)
	must.Eq(t, ProblemSlotMoving, late.problem.Type)
	w.advance(time.Second)
	must.True(t, r.ok)
	must.Eq(t, b.session, w.ref.Slot(testSlot).Holder)
	next := w.model(b, pid, "main", "k2", false)
	w.pump()
	must.True(t, next.ok)
}

// Guards against retries without end: a pool that fails is tried a bounded number of times.
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
		r := w.service(o, pid, "main", fmt.Sprintf("k%d", i), "look")
		w.advance(2 * time.Second)
		must.Eq(t, ProblemEndpointFailed, r.problem.Type)
	}
	must.True(t, n <= 20+retryBudgetMax+2, must.Sprintf("%d attempts for 20 calls", n))
}

// Guards against a program that runs on after its wall time.
func TestWallTimeEndsProgram(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{WallTime: 5 * time.Second})
	w.log.down = false
	r := w.model(o, pid, "main", "k1", true)
	w.net = nil // the grant never comes
	w.advance(6 * time.Second)
	must.Eq(t, ProblemWallTime, r.problem.Type)
	must.Eq(t, record.EndWallTime, w.ref.Program(pid).Cause)
}

// Guards against state that is lost with old records: after more than the retention a new instance
// knows the same as one that has read everything, and can take over.
func TestStateOutlivesRetention(t *testing.T) {
	w, a := startWorld(t, 2)
	pid := w.program(a, record.Limits{Tokens: 100000})
	for i := range 5 {
		w.model(a, pid, "main", fmt.Sprintf("k%d", i), false)
		w.advance(testRetention / 2)
	}
	must.True(t, w.log.earliest > 2)
	cold := w.join()
	must.Eq(t, w.ref.Slot(testSlot), cold.fsm.Slot(testSlot))
	must.Eq(t, w.ref.Program(pid).Branches["main"].Digest, cold.fsm.Program(pid).Branches["main"].Digest)
	must.Eq(t, w.ref.Program(pid).Counted(), cold.fsm.Program(pid).Counted())
	w.kill(a)
	w.takeover(cold)
	r := w.model(cold, pid, "main", "k9", false)
	w.pump()
	must.True(t, r.ok, must.Sprintf("%+v", r.problem))
}

// P3: only a mark that was read back allows spending, so nothing goes beyond it while the log is down.
func TestLogDownKeepsMark(t *testing.T) {
	w, o := startWorld(t, 3)
	pid := w.program(o, record.Limits{Tokens: 4000})
	w.log.down = true
	for i := range 60 {
		w.model(o, pid, "main", fmt.Sprintf("k%d", i), false)
		w.advance(200 * time.Millisecond)
	}
	must.True(t, w.oracle.tokens[pid] > 0 && w.oracle.tokens[pid] <= w.ref.Program(pid).Mark.Tokens)
}

// P3: attempts that failed after the engine ran them count.
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
		w.model(o, pid, "main", fmt.Sprintf("k%d", i), false)
		w.advance(time.Second)
	}
	must.True(t, w.oracle.tokens[pid] > 0)
}

// P4: a release waits for an attempt that still runs at the engine, which would fill the cache again.
func TestReleaseWaitsForRunningAttempt(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	w.model(o, pid, "main", "k1", true)
	w.deliver(0)
	w.deliver(0)
	w.net = nil // the engine goes on, its answer is lost
	w.end(o, pid)
	for len(w.net) > 0 {
		w.deliver(len(w.net) - 1)
	}
	w.advance(30 * time.Second)
	w.oracle.checkReleased()
	must.SliceEmpty(t, w.ref.Program(pid).Holding)
}

// P5: the end of a stream is not sent before its turn is durable.
func TestStreamEndsAfterCommit(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	r := w.model(o, pid, "main", "k1", true)
	w.deliverAll()
	must.True(t, r.begun && !r.done)
	must.StrNotContains(t, string(r.got), "[DONE]")
	w.pump()
	must.True(t, r.ok)
}

// P6, P7: an answer "not run" counts only when a request that is still on its way would be too late.
func TestAskedTooEarly(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	w.injectFaults(map[string]int{"service": 6})
	r := w.service(o, pid, "main", "k1", "reserve")
	w.advance(testLease)
	must.False(t, r.done)
	w.advance(2 * testLease)
	must.Eq(t, record.ExecutedNo, r.problem.Executed)
}

// P6: an open that the log does not confirm is refused as not run and leaves no program.
func TestOpenWhileLogIsDown(t *testing.T) {
	w, o := startWorld(t, 1)
	w.log.down = true
	pid := id.NewProgram(testSlot, "x")
	req := w.oracle.ask(request{owner: o, program: pid, kind: "open"})
	o.step(OpenProgram{Req: req, Program: pid, Team: "t", Duty: "d", Now: w.wall()})
	w.advance(openTimeout + time.Second)
	must.Eq(t, record.ExecutedNo, w.oracle.reqs[req].problem.Executed)
	w.log.down = false
	w.advance(time.Second)
	must.True(t, w.ref.Program(pid).Ended())
}

// Guards against a crash on a program whose tombstone has gone from the fold but not from the core.
func TestRequestAfterTombstone(t *testing.T) {
	w, o := startWorld(t, 1)
	pid := w.program(o, record.Limits{})
	w.model(o, pid, "main", "k1", false)
	w.pump()
	w.end(o, pid)
	w.advance(time.Second)
	w.now += 11*time.Minute - time.Second
	w.log.append(mustEncode(t, record.Batch{Session: "x.1", Seq: 1, At: w.wall()}), w.now)
	o.read()
	must.Nil(t, o.fsm.Program(pid))
	r := w.end(o, pid)
	must.Eq(t, ProblemNotFound, r.problem.Type)
	w.reconcile(o)
}

func mustEncode(t *testing.T, b record.Batch) []byte {
	data, err := record.Encode(b)
	must.NoError(t, err)
	return data
}
