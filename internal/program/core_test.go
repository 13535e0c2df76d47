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
	req := w.oracle.addRequest(request{owner: o, program: pid, kind: "open"})
	w.sendRequest(o, OpenProgram{Req: req, Program: pid, Team: "t", Duty: "d", Limits: limits, Now: w.wall()})
	w.pump()
	if !w.oracle.reqs[req].ok {
		w.t.Fatalf("open %s: %+v", pid, w.oracle.reqs[req].problem)
	}
	return pid
}

// sendRequest passes a request of a caller to an instance. A paused instance handles it after the pause.
func (w *world) sendRequest(o *owner, ev Event) {
	if o.paused {
		w.send(o, func() { o.step(ev) })
		return
	}
	o.step(ev)
}

func (w *world) modelCall(o *owner, pid id.Program, branch, key string, stream bool) *request {
	req := w.oracle.addRequest(request{owner: o, program: pid, branch: branch, key: key, kind: "model"})
	raw := fmt.Appendf(nil, `{"role":"user","content":"%s %s/%s"}`, key, pid, branch)
	w.sendRequest(o, ModelCall{
		Req: req, Team: "t", Program: pid, Branch: branch, Key: key, Digest: 7, Model: "m",
		Messages: []record.Message{{Raw: raw}}, History: HistoryAppend, MaxTokens: 20, Stream: stream,
	})
	return w.oracle.reqs[req]
}

func (w *world) serviceCall(o *owner, pid id.Program, branch, key, op string) *request {
	req := w.oracle.addRequest(request{owner: o, program: pid, branch: branch, key: key, kind: "service", body: key})
	w.sendRequest(o, ServiceCall{
		Req: req, Team: "t", Program: pid, Branch: branch, Key: key, Digest: 9, Service: "s", Operation: op,
		Body: []byte(key),
	})
	return w.oracle.reqs[req]
}

func (w *world) endProgram(o *owner, pid id.Program) *request {
	req := w.oracle.addRequest(request{owner: o, program: pid, kind: "other"})
	w.sendRequest(o, EndProgram{Req: req, Team: "t", Program: pid})
	return w.oracle.reqs[req]
}

func startWorld(t fataler, owners int) (*world, *owner) {
	w := newWorld(t, owners)
	w.claim(w.owners[0], testSlot)
	w.pump()
	return w, w.owners[0]
}

// takeover lets another owner claim the slot of a holder that was killed or paused before.
func (w *world) takeover(to *owner) {
	w.advance(testClaimDelay + time.Second)
	if !w.claim(to, testSlot) {
		w.t.Fatalf("claim by %s is not allowed", to.session)
	}
	w.advance(time.Second)
}

// Runs one program from its open to its end, with model and service calls.
func TestProgramFromOpenToEnd(t *testing.T) {
	w, o := startWorld(t, 2)
	pid := w.program(o, record.Limits{Tokens: 4000, ChargeCents: 100, Calls: 10})
	a := w.modelCall(o, pid, "main", "k1", false)
	w.pump()
	b := w.serviceCall(o, pid, "main", "k2", "charge")
	w.pump()
	c := w.modelCall(o, pid, "main", "k3", true)
	w.pump()
	e := w.endProgram(o, pid)
	w.pump()
	for _, r := range []*request{a, b, c, e} {
		must.True(t, r.ok, must.Sprintf("%s: %+v", r.key, r.problem))
	}
	must.Eq(t, uint64(3), w.ref.Program(pid).Branches["main"].LastSeq)
	must.Len(t, 4, w.ref.Program(pid).Branches["main"].History)
	must.SliceEmpty(t, w.ref.Program(pid).CacheEndpoints)
	w.oracle.checkDurable()
	w.oracle.checkReleased()
}
