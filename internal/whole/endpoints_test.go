package whole

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
)

// engine is a model endpoint. It runs model calls and keeps the cache of programs; a restart loses both.
type engine struct {
	sim        *simulation
	name       string
	generation uint64
	runs       map[id.Attempt]*engineRun
	cache      map[id.Program]bool
}

type engineRun struct {
	stream, answer []byte
	prompt, output int64 // tokens
	canceled       bool
}

func newEngine(sim *simulation, name string) *engine {
	return &engine{sim: sim, name: name, generation: 1, runs: map[id.Attempt]*engineRun{}, cache: map[id.Program]bool{}}
}

func (e *engine) restart() {
	e.sim.tracef("engine %s restarts", e.name)
	e.generation++
	e.runs = map[id.Attempt]*engineRun{}
	e.cache = map[id.Program]bool{}
}

// splitAttempt returns the program and the branch of an attempt.
func splitAttempt(a id.Attempt) (id.Program, string) {
	p := strings.Split(string(a), "/")
	return id.Program(p[0]), p[1]
}

// accept handles an attempt that arrives from n, or a request to resume the stream of an earlier attempt.
func (e *engine) accept(n *node, d program.DispatchModel) {
	sim := e.sim
	fin := program.Finished{Attempt: d.Attempt, Sent: true, Result: sched.ResultFailed}
	r := e.runs[d.Attempt]
	switch {
	case d.Resume && r == nil:
		fin.Result = sched.ResultRejected
		sim.deliver(n, sim.delay(), func() { n.step(fin) })
		return
	case d.Resume:
		e.sendAnswer(n, d, r)
		return
	case r != nil:
		sim.fail("P5: attempt %s arrived twice at engine %s", d.Attempt, e.name)
	}
	if sim.loss > 0 && sim.rng.IntN(15) == 0 {
		fin.Result = sched.ResultRejected
		sim.deliver(n, sim.delay(), func() { n.step(fin) })
		return
	}
	r = &engineRun{}
	e.runs[d.Attempt] = r
	key := sim.oracle.modelStarted(e, d, r)
	pid, _ := splitAttempt(d.Attempt)
	e.cache[pid] = true
	r.answer = fmt.Appendf(nil, `{"role":"assistant","content":"answer of %s to %s"}`, d.Attempt, key)
	sim.oracle.answerTokens[string(r.answer)] = r.output
	r.stream = fmt.Appendf(nil, "data: first %s\n\ndata: %s\n\ndata: [DONE]\n\n", d.Attempt, r.answer)
	generation := e.generation
	sim.after(time.Duration(sim.rng.Int64N(int64(600*time.Millisecond))), func() {
		if e.generation != generation {
			sim.deliver(n, sim.delay(), func() { n.step(fin) })
			return
		}
		e.sendAnswer(n, d, r)
	})
}

// sendAnswer sends the answer from byte d.FromByte on. Pieces of a stream may arrive out of order or twice, and
// the connection may break in the middle.
func (e *engine) sendAnswer(n *node, d program.DispatchModel, r *engineRun) {
	sim := e.sim
	data := r.stream[min(int(d.FromByte), len(r.stream)):]
	broken := sim.loss > 0 && sim.rng.IntN(8) == 0
	if broken {
		data = data[:len(data)/2]
	}
	if d.Stream {
		for off := 0; off < len(data); off += 25 {
			p := program.Progress{Attempt: d.Attempt, Offset: d.FromByte + int64(off),
				Data: bytes.Clone(data[off:min(off+25, len(data))])}
			sim.deliver(n, sim.delay(), func() { n.step(p) })
			if sim.loss > 0 && sim.rng.IntN(10) == 0 {
				sim.deliver(n, sim.delay(), func() { n.step(p) })
			}
		}
	}
	fin := program.Finished{Attempt: d.Attempt, Sent: true, Result: sched.ResultFailed}
	if r.canceled {
		fin.Result = sched.ResultCanceled
	} else if !broken {
		fin = program.Finished{Attempt: d.Attempt, Sent: true, Result: sched.ResultOK, Status: 200, Answer: r.answer,
			PromptTokens: r.prompt, OutputTokens: r.output, FirstToken: 50 * time.Millisecond, Total: 300 * time.Millisecond}
		if d.Stream {
			fin.Length = int64(len(r.stream))
		} else {
			fin.Body = r.answer
		}
	}
	sim.deliver(n, sim.delay(), func() { n.step(fin) })
}

func (e *engine) cachedPrograms() []id.Program { return sortedKeys(e.cache) }

// service is a service endpoint that executes operations. It checks neither fence nor expiry, so that the
// owners and the scheduler alone must prevent a second execution.
type service struct {
	sim      *simulation
	name     string
	executed map[id.Attempt][]byte
}

func newService(sim *simulation, name string) *service {
	return &service{sim: sim, name: name, executed: map[id.Attempt][]byte{}}
}

func (s *service) accept(n *node, d program.DispatchService) {
	sim := s.sim
	fin := program.Finished{Attempt: d.Attempt, Sent: true, Result: sched.ResultFailed}
	fault := 9
	if sim.loss > 0 {
		fault = sim.rng.IntN(10)
	}
	switch fault {
	case 0: // the service refuses the call without executing it
		fin.Result = sched.ResultRejected
	case 1: // the connection breaks before the service executes the call
	default:
		sim.oracle.serviceExecuted(s, d)
		body := fmt.Appendf(nil, `{"done":%q}`, d.Body)
		s.executed[d.Attempt] = body
		if fault == 2 { // the answer is lost
			fin.Result = sched.ResultTimeout
			sim.deliver(n, 2*time.Second, func() { n.step(fin) })
			return
		}
		fin = program.Finished{Attempt: d.Attempt, Sent: true, Result: sched.ResultOK, Status: 200, Body: body}
	}
	sim.deliver(n, sim.delay()+time.Duration(sim.rng.Int64N(int64(300*time.Millisecond))), func() { n.step(fin) })
}

// askServices answers AskOutcome: an attempt was executed if any service endpoint has executed it.
func (sim *simulation) askServices(n *node, a program.AskOutcome) {
	got := program.OutcomeReported{Attempt: a.Attempt, Executed: record.ExecutedNo}
	for _, name := range sortedKeys(sim.services) {
		if body, ok := sim.services[name].executed[a.Attempt]; ok {
			got = program.OutcomeReported{Attempt: a.Attempt, Executed: record.ExecutedYes, Status: 200, Body: body}
		}
	}
	sim.deliver(n, sim.delay(), func() { n.step(got) })
}
