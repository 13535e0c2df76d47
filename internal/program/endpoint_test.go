package program

import (
	"bytes"
	"fmt"

	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
)

// keyInMessages returns the key of a call, which the test puts into the last message of its request.
func keyInMessages(ms []record.Message) string {
	var key string
	last := string(ms[len(ms)-1].Raw)
	fmt.Sscanf(last, `{"role":"user","content":"%s`, &key)
	if i := bytes.IndexByte([]byte(key), '"'); i >= 0 {
		key = key[:i]
	}
	return key
}

func programOf(a id.Attempt) id.Program {
	return id.Program(bytes.SplitN([]byte(a), []byte("/"), 2)[0])
}

// runModel simulates an engine that runs an attempt or resumes its stream.
func (w *world) runModel(o *owner, x DispatchModel) {
	if x.Resume {
		w.resumeModel(o, x)
		return
	}
	fault := w.pick(8, "engine")
	if fault == 6 {
		w.finish(o, Finished{Attempt: x.Attempt, Result: sched.ResultFailed})
		return
	}
	if fault == 7 {
		w.finish(o, Finished{Attempt: x.Attempt, Result: sched.ResultRejected, Sent: true})
		return
	}
	key := keyInMessages(x.Messages)
	r := &endpointRun{program: programOf(x.Attempt), key: key, endpoint: x.Endpoint, active: true}
	if old := w.runs[x.Attempt]; old != nil {
		w.t.Fatalf("P5: attempt %s was dispatched twice", x.Attempt)
	}
	w.runs[x.Attempt] = r
	for _, m := range x.Messages {
		r.prompt += int64(len(m.Raw)) / 2
	}
	r.tokens = 1 + x.MaxTokens/int64(1+w.pick(3, "output"))
	r.tokens = min(r.tokens, x.MaxTokens)
	r.answer = fmt.Appendf(nil, `{"role":"assistant","content":"answer of %s to %s"}`, x.Attempt, key)
	r.stream = fmt.Appendf(nil, "data: first %s\n\ndata: %s\n\ndata: [DONE]\n\n", x.Attempt, r.answer)
	w.oracle.onModelRun(x, r)
	if w.cache[x.Endpoint] == nil {
		w.cache[x.Endpoint] = map[id.Program]bool{}
	}
	w.cache[x.Endpoint][r.program] = true
	r.lost = fault == 5
	w.answerModel(o, x, r, fault == 4 || fault == 5)
}

func (w *world) resumeModel(o *owner, x DispatchModel) {
	r := w.runs[x.Attempt]
	if r == nil || r.lost || r.endpoint != x.Endpoint {
		w.finish(o, Finished{Attempt: x.Attempt, Result: sched.ResultRejected, Sent: true})
		return
	}
	w.answerModel(o, x, r, w.pick(4, "resume breaks") == 3)
}

// answerModel sends the stream in chunks, from the requested byte on, or the whole answer. With breaks set
// the connection fails halfway.
func (w *world) answerModel(o *owner, x DispatchModel, r *endpointRun, breaks bool) {
	data := r.stream[min(int(x.FromByte), len(r.stream)):]
	if breaks {
		data = data[:len(data)/2]
	}
	if x.Stream {
		for off := 0; off < len(data); off += 20 {
			p := Progress{Attempt: x.Attempt, Offset: x.FromByte + int64(off), Data: data[off:min(off+20, len(data))]}
			w.send(o, func() { o.step(p) })
			if w.pick(10, "progress twice") == 9 {
				w.send(o, func() { o.step(p) })
			}
		}
	}
	f := Finished{Attempt: x.Attempt, Sent: true, Result: sched.ResultFailed}
	if !breaks {
		f = Finished{
			Attempt: x.Attempt, Sent: true, Result: sched.ResultOK, Status: 200, Answer: r.answer,
			PromptTokens: r.prompt, OutputTokens: r.tokens,
		}
		if x.Stream {
			f.Length = int64(len(r.stream))
		} else {
			f.Body = r.answer
		}
	}
	w.send(nil, func() {
		if !breaks && r.active {
			r.active = false
			w.cache[r.endpoint][r.program] = true // the engine caches the prefix when the attempt stops
		}
		w.finish(o, f)
	})
}

func (w *world) finish(o *owner, f Finished) {
	w.send(o, func() { o.step(f) })
	if w.pick(10, "finished twice") == 9 {
		w.send(o, func() { o.step(f) })
	}
}

// runService simulates the shell, which writes a service request, and the service.
func (w *world) runService(o *owner, x DispatchService) {
	if !x.Idempotent && w.now >= x.NotAfter {
		w.finish(o, Finished{Attempt: x.Attempt, Result: sched.ResultFailed})
		return
	}
	fault := w.pick(8, "service")
	switch fault {
	case 4:
		w.finish(o, Finished{Attempt: x.Attempt, Result: sched.ResultRejected, Sent: true})
		return
	case 5:
		w.finish(o, Finished{Attempt: x.Attempt, Result: sched.ResultFailed})
		return
	case 6:
		w.finish(o, Finished{Attempt: x.Attempt, Result: sched.ResultFailed, Sent: true}) // the request was lost in transit
		return
	}
	k := callKey{programOf(x.Attempt), string(x.Body)}
	w.oracle.onServiceRun(x, k)
	body := fmt.Appendf(nil, `{"done":%q}`, x.Body)
	w.runs[x.Attempt] = &endpointRun{program: k.program, key: k.key, answer: body}
	if fault == 7 {
		w.finish(o, Finished{Attempt: x.Attempt, Result: sched.ResultTimeout, Sent: true})
		return
	}
	w.finish(o, Finished{Attempt: x.Attempt, Result: sched.ResultOK, Status: 200, Sent: true, Body: body})
}

func (w *world) cancel(o *owner, x CancelAttempt) {
	if r := w.runs[x.Attempt]; r != nil && r.active {
		r.active = false
		w.cache[r.endpoint][r.program] = true // the engine caches the prefix when the attempt stops
		w.finish(o, Finished{Attempt: x.Attempt, Result: sched.ResultCanceled, Sent: true})
	}
}

func (w *world) ask(o *owner, x AskOutcome) {
	a := OutcomeReported{Attempt: x.Attempt, Executed: record.ExecutedNo}
	if r := w.runs[x.Attempt]; r != nil {
		a = OutcomeReported{Attempt: x.Attempt, Executed: record.ExecutedYes, Status: 200, Body: r.answer}
	}
	w.send(o, func() { o.step(a) })
}

func (w *world) release(o *owner, x ReleaseCache) {
	if w.pick(4, "release lost") == 3 {
		return
	}
	delete(w.cache[x.Endpoint], x.Program)
	w.send(o, func() { o.step(CacheReleased{Program: x.Program, Endpoint: x.Endpoint}) })
}

// reconcile passes the lists of cached programs of the engines to an owner.
func (w *world) reconcile(o *owner) {
	for _, e := range []string{"m1", "m2"} {
		held := sortedKeys(w.cache[e])
		o.step(CacheHeld{Endpoint: e, Programs: held})
	}
}
