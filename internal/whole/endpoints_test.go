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

// engine runs model calls, holds the cache of programs and forgets all when it restarts.
type engine struct {
	w          *world
	name       string
	generation uint64
	runs       map[id.Attempt]*engineRun
	cache      map[id.Program]bool
}

type engineRun struct {
	stream, answer []byte
	prompt, output int64
	cancelled      bool
}

func newEngine(w *world, name string) *engine {
	return &engine{w: w, name: name, generation: 1, runs: map[id.Attempt]*engineRun{}, cache: map[id.Program]bool{}}
}

func (e *engine) restart() {
	e.w.note("engine %s restarts", e.name)
	e.generation++
	e.runs = map[id.Attempt]*engineRun{}
	e.cache = map[id.Program]bool{}
}

// parts returns program and branch of an attempt.
func parts(a id.Attempt) (id.Program, string) {
	p := strings.Split(string(a), "/")
	return id.Program(p[0]), p[1]
}

// take is the arrival of a request.
func (e *engine) take(n *node, d program.DispatchModel) {
	w := e.w
	fin := program.Finished{Attempt: d.Attempt, Sent: true, Result: sched.ResultFailed}
	r := e.runs[d.Attempt]
	switch {
	case d.Resume && r == nil:
		fin.Result = sched.ResultRejected
		w.to(n, w.delay(), func() { n.step(fin) })
		return
	case d.Resume:
		e.send(n, d, r)
		return
	case r != nil:
		w.fail("P5: attempt %s arrived twice at engine %s", d.Attempt, e.name)
	}
	if w.loss > 0 && w.rng.IntN(15) == 0 {
		fin.Result = sched.ResultRejected
		w.to(n, w.delay(), func() { n.step(fin) })
		return
	}
	r = &engineRun{}
	e.runs[d.Attempt] = r
	key := w.oracle.modelRuns(e, d, r)
	pid, _ := parts(d.Attempt)
	e.cache[pid] = true
	r.answer = fmt.Appendf(nil, `{"role":"assistant","content":"answer of %s to %s"}`, d.Attempt, key)
	w.oracle.answerTokens[string(r.answer)] = r.output
	r.stream = fmt.Appendf(nil, "data: first %s\n\ndata: %s\n\ndata: [DONE]\n\n", d.Attempt, r.answer)
	generation := e.generation
	w.after(time.Duration(w.rng.Int64N(int64(600*time.Millisecond))), func() {
		if e.generation != generation {
			w.to(n, w.delay(), func() { n.step(fin) })
			return
		}
		e.send(n, d, r)
	})
}

// send streams the rest of an answer. Pieces overtake each other and may come twice.
func (e *engine) send(n *node, d program.DispatchModel, r *engineRun) {
	w := e.w
	data := r.stream[min(int(d.FromByte), len(r.stream)):]
	broken := w.loss > 0 && w.rng.IntN(8) == 0
	if broken {
		data = data[:len(data)/2]
	}
	if d.Stream {
		for off := 0; off < len(data); off += 25 {
			p := program.Progress{Attempt: d.Attempt, Offset: d.FromByte + int64(off), Data: bytes.Clone(data[off:min(off+25, len(data))])}
			w.to(n, w.delay(), func() { n.step(p) })
			if w.loss > 0 && w.rng.IntN(10) == 0 {
				w.to(n, w.delay(), func() { n.step(p) })
			}
		}
	}
	fin := program.Finished{Attempt: d.Attempt, Sent: true, Result: sched.ResultFailed}
	if r.cancelled {
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
	w.to(n, w.delay(), func() { n.step(fin) })
}

func (e *engine) held() []id.Program { return sortedKeys(e.cache) }

// service executes operations. It checks neither fence nor expiry, so that only the scheduler prevents
// a second execution.
type service struct {
	w    *world
	name string
	done map[id.Attempt][]byte
}

func newService(w *world, name string) *service {
	return &service{w: w, name: name, done: map[id.Attempt][]byte{}}
}

func (s *service) take(n *node, d program.DispatchService) {
	w := s.w
	fin := program.Finished{Attempt: d.Attempt, Sent: true, Result: sched.ResultFailed}
	fault := 9
	if w.loss > 0 {
		fault = w.rng.IntN(10)
	}
	switch fault {
	case 0: // refused, certainly not run
		fin.Result = sched.ResultRejected
	case 1: // the connection broke before the service ran it
	default:
		w.oracle.serviceRuns(s, d)
		body := fmt.Appendf(nil, `{"done":%q}`, d.Body)
		s.done[d.Attempt] = body
		if fault == 2 { // the answer is lost
			fin.Result = sched.ResultTimeout
			w.to(n, 2*time.Second, func() { n.step(fin) })
			return
		}
		fin = program.Finished{Attempt: d.Attempt, Sent: true, Result: sched.ResultOK, Status: 200, Body: body}
	}
	w.to(n, w.delay()+time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), func() { n.step(fin) })
}

// ask answers a question about an attempt as all servers of the pool together do.
func (w *world) askServices(n *node, a program.AskOutcome) {
	got := program.OutcomeReported{Attempt: a.Attempt, Executed: record.ExecutedNo}
	for _, name := range sortedKeys(w.services) {
		if body, ok := w.services[name].done[a.Attempt]; ok {
			got = program.OutcomeReported{Attempt: a.Attempt, Executed: record.ExecutedYes, Status: 200, Body: body}
		}
	}
	w.to(n, w.delay(), func() { n.step(got) })
}
