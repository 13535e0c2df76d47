package program

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/record"
)

// Guards against a team that exceeds its limit of open programs, and against ended programs that count.
func TestOpenProgramLimitPerTeam(t *testing.T) {
	w, o := startWorld(t, 1)
	m := testManifest()
	m.Teams = []manifest.Team{{Name: "t", MaxPrograms: 2}}
	o.step(SetManifest{Version: 2, Manifest: m})
	first := w.program(o, record.Limits{})
	w.program(o, record.Limits{})
	open := func(suffix string) *request {
		pid := id.NewProgram(testSlot, suffix)
		req := w.oracle.addRequest(request{owner: o, program: pid, kind: "open"})
		o.step(OpenProgram{Req: req, Program: pid, Team: "t", Duty: "d", Now: w.wall()})
		w.pump()
		return w.oracle.reqs[req]
	}
	refused := open("third")
	must.Eq(t, ProblemTooManyPrograms, refused.problem.Type)
	must.Eq(t, record.ExecutedNo, refused.problem.Executed)
	w.endProgram(o, first)
	w.pump()
	must.True(t, open("fourth").ok)
}

// P7: after a takeover, an open intent is not recorded as unknown while the last holder may still dispatch the
// call because it has not read the claim. Otherwise a caller could settle it as not run.
func TestOpenIntentWaitsForTheLastHolder(t *testing.T) {
	w, a := startWorld(t, 2)
	pid := w.program(a, record.Limits{})
	req := w.oracle.addRequest(request{owner: a, program: pid, branch: "main", key: "k1", kind: "service", body: "k1"})
	a.step(ServiceCall{
		Req: req, Team: "t", Program: pid, Key: "k1", Digest: 9, Service: "s", Operation: "charge",
		Body: []byte("k1"), TimeLimit: time.Minute,
	})
	a.appendBatch()
	a.readLog()
	a.paused = true
	b := w.owners[1]
	w.advance(testClaimDelay + time.Second)
	must.True(t, w.claim(b, testSlot))
	w.advance(SettleWait - 500*time.Millisecond)
	must.NotNil(t, b.sm.Program(pid).Branches["main"].Intent)
	w.advance(time.Second)
	must.Nil(t, b.sm.Program(pid).Branches["main"].Intent)
	must.Eq(t, "k1", b.sm.Program(pid).Branches["main"].UnknownOutcome)
}
