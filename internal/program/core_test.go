package program

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
)

func (w *world) program(o *owner, limits record.Limits) id.Program {
	w.nextID++
	pid := id.NewProgram(testSlot, fmt.Sprintf("%d", w.nextID))
	req := w.oracle.ask(request{owner: o, program: pid, kind: "open"})
	w.to(o, OpenProgram{Req: req, Program: pid, Team: "t", Duty: "d", Limits: limits, Now: w.wall()})
	w.pump()
	if !w.oracle.reqs[req].ok {
		w.t.Fatalf("open %s: %+v", pid, w.oracle.reqs[req].problem)
	}
	return pid
}

// to passes a caller's request to an instance; a paused one takes it later.
func (w *world) to(o *owner, ev Event) {
	if o.paused {
		w.send(o, func() { o.step(ev) })
		return
	}
	o.step(ev)
}

func (w *world) model(o *owner, pid id.Program, branch, key string, stream bool) *request {
	req := w.oracle.ask(request{owner: o, program: pid, branch: branch, key: key, kind: "model"})
	raw := fmt.Appendf(nil, `{"role":"user","content":"%s %s/%s"}`, key, pid, branch)
	w.to(o, ModelCall{
		Req: req, Team: "t", Program: pid, Branch: branch, Key: key, Digest: 7, Model: "m",
		Messages: []record.Message{{Raw: raw}}, History: HistoryAppend, MaxTokens: 20, Stream: stream,
	})
	return w.oracle.reqs[req]
}

func (w *world) service(o *owner, pid id.Program, branch, key, op string) *request {
	req := w.oracle.ask(request{owner: o, program: pid, branch: branch, key: key, kind: "service", body: key})
	w.to(o, ServiceCall{
		Req: req, Team: "t", Program: pid, Branch: branch, Key: key, Digest: 9, Service: "s", Operation: op,
		Body: []byte(key),
	})
	return w.oracle.reqs[req]
}

func (w *world) end(o *owner, pid id.Program) *request {
	req := w.oracle.ask(request{owner: o, program: pid, kind: "other"})
	w.to(o, EndProgram{Req: req, Team: "t", Program: pid})
	return w.oracle.reqs[req]
}

func startWorld(t fataler, owners int) (*world, *owner) {
	w := newWorld(t, owners)
	w.claim(w.owners[0], testSlot)
	w.pump()
	return w, w.owners[0]
}

// takeOver kills or pauses the holder and lets another owner claim the slot.
func (w *world) takeover(to *owner) {
	w.advance(testClaimAfter + time.Second)
	if !w.claim(to, testSlot) {
		w.t.Fatalf("claim by %s is not allowed", to.session)
	}
	w.advance(time.Second)
}

// Guards against a core that serves nothing: one program from its open to its end.
func TestProgramFromOpenToEnd(t *testing.T) {
	w, o := startWorld(t, 2)
	pid := w.program(o, record.Limits{Tokens: 4000, ChargeCents: 100, Calls: 10})
	a := w.model(o, pid, "main", "k1", false)
	w.pump()
	b := w.service(o, pid, "main", "k2", "charge")
	w.pump()
	c := w.model(o, pid, "main", "k3", true)
	w.pump()
	e := w.end(o, pid)
	w.pump()
	for _, r := range []*request{a, b, c, e} {
		must.True(t, r.ok, must.Sprintf("%s: %+v", r.key, r.problem))
	}
	must.Eq(t, uint64(3), w.ref.Program(pid).Branches["main"].Last)
	must.Len(t, 4, w.ref.Program(pid).Branches["main"].History)
	must.SliceEmpty(t, w.ref.Program(pid).Holding)
	w.oracle.checkDurable()
	w.oracle.checkReleased()
}
