package api

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
)

// MaxPendingBytes limits the bytes of an answer that are buffered for a slow caller. Above it, the
// connection is closed; the caller can resume from the last byte that it has received. The call itself
// continues.
const MaxPendingBytes = 16 << 20

// WriteTimeout limits one write to a caller. Without it, a caller that doesn't read would tie up
// memory.
const WriteTimeout = 30 * time.Second

var doneEvent = []byte("data: [DONE]")

// answerPart is one part of the answer to a request. Exactly one field is set.
type answerPart struct {
	reply *program.Reply
	data  *program.StreamData
	end   *program.StreamEnd
}

// answerQueue is a Sink that buffers the parts of an answer until the HTTP handler reads them.
type answerQueue struct {
	mu           sync.Mutex
	parts        []answerPart
	pendingBytes int
	overflow     bool
	wake         chan struct{} // has one element if a part was put since the last receive
}

func newAnswerQueue() *answerQueue { return &answerQueue{wake: make(chan struct{}, 1)} }

func (q *answerQueue) put(a answerPart) {
	q.mu.Lock()
	if a.data != nil {
		q.pendingBytes += len(a.data.Data)
		q.overflow = q.overflow || q.pendingBytes > MaxPendingBytes
	}
	if !q.overflow {
		q.parts = append(q.parts, a)
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Reply implements Sink.
func (q *answerQueue) Reply(r program.Reply) { q.put(answerPart{reply: &r}) }

// StreamData implements Sink.
func (q *answerQueue) StreamData(d program.StreamData) { q.put(answerPart{data: &d}) }

// StreamEnd implements Sink.
func (q *answerQueue) StreamEnd(e program.StreamEnd) { q.put(answerPart{end: &e}) }

// next waits for the next part. It returns false when ctx has ended or when more than MaxPendingBytes
// had to be buffered.
func (q *answerQueue) next(ctx context.Context) (answerPart, bool) {
	for {
		q.mu.Lock()
		if q.overflow {
			q.mu.Unlock()
			return answerPart{}, false
		}
		if len(q.parts) > 0 {
			a := q.parts[0]
			q.parts = q.parts[1:]
			if a.data != nil {
				q.pendingBytes -= len(a.data.Data)
			}
			q.mu.Unlock()
			return a, true
		}
		q.mu.Unlock()
		select {
		case <-q.wake:
		case <-ctx.Done():
			return answerPart{}, false
		}
	}
}

// submitAndWait submits a request that is not streamed and waits for its reply. It returns false if
// ctx ends first.
func (f *Frontend) submitAndWait(ctx context.Context, ev program.Request) (program.Reply, bool) {
	answers := newAnswerQueue()
	callerGone := f.backend.Submit(ev, answers)
	a, ok := answers.next(ctx)
	if !ok {
		callerGone()
		return program.Reply{}, false
	}
	switch {
	case a.reply != nil:
		return *a.reply, true
	case a.end != nil && a.end.Problem != nil:
		return program.Reply{Req: a.end.Req, Problem: a.end.Problem}, true
	default:
		callerGone()
		return program.Reply{Problem: &program.Problem{Type: "internal", Status: http.StatusInternalServerError,
			Detail: "a stream came where one reply was expected"}}, true
	}
}

// submitAndWrite submits a request to the backend and writes the answer: JSON, an event stream or a problem
// document.
func (f *Frontend) submitAndWrite(w http.ResponseWriter, r *http.Request, ev program.Request, key string) {
	answers := newAnswerQueue()
	callerGone := f.backend.Submit(ev, answers)
	if !writeAnswer(r.Context(), w, answers, key) {
		callerGone()
		abort()
	}
}

// abort closes the connection of a request whose answer is incomplete. If the handler returned
// normally, the answer would look complete to the caller.
func abort() { panic(http.ErrAbortHandler) }

// writeAnswer writes the parts of an answer as they arrive. It returns false if the answer was not
// written to its end, because the caller disconnected or was too slow.
func writeAnswer(ctx context.Context, w http.ResponseWriter, answers *answerQueue, key string) bool {
	if key != "" {
		w.Header().Set("Idempotency-Key", key)
	}
	s := streamWriter{w: w, ctrl: http.NewResponseController(w)}
	for {
		a, ok := answers.next(ctx)
		if !ok {
			return false
		}
		switch {
		case a.reply != nil && s.started:
			s.finish(a.reply.Problem)
			return true
		case a.reply != nil:
			writeReply(w, *a.reply)
			return true
		case a.data != nil:
			if !s.writeData(a.data.Data) {
				return false
			}
		case a.end != nil && !s.started && a.end.Problem != nil:
			writeProblem(w, *a.end.Problem, 0)
			return true
		case a.end != nil:
			s.finish(a.end.Problem)
			return true
		}
	}
}

// writeReply writes an answer that is not an event stream.
func writeReply(w http.ResponseWriter, r program.Reply) {
	if r.Problem != nil {
		writeProblem(w, *r.Problem, r.RetryAfter)
		return
	}
	if r.Call.Program != "" {
		w.Header().Set("X-Program", string(r.Call.Program))
		w.Header().Set("X-Call", r.Call.String())
	}
	w.Header().Set("Content-Type", "application/json")
	status := r.Status
	if status < 200 || status > 599 {
		status = http.StatusOK
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(WriteTimeout))
	w.WriteHeader(status)
	_, _ = w.Write(r.Body)
}

// streamWriter writes the bytes of an event stream as they arrive. It withholds the [DONE] event until
// the StreamEnd of the answer arrives. The owner sends it after the turn is recorded, so a caller that has
// read the event knows that the turn is recorded.
type streamWriter struct {
	w        http.ResponseWriter
	ctrl     *http.ResponseController
	started  bool
	withheld []byte // bytes from the [DONE] event on, or an incomplete line that may become this event
}

func (s *streamWriter) start() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamWriter) writeData(b []byte) bool {
	s.start()
	s.withheld = append(s.withheld, b...)
	n := sendablePrefix(s.withheld)
	if n == 0 {
		return true
	}
	ok := s.write(s.withheld[:n])
	s.withheld = append([]byte(nil), s.withheld[n:]...)
	return ok
}

// sendablePrefix returns the number of bytes before the [DONE] event, or before an incomplete last
// line that may become this event.
func sendablePrefix(b []byte) int {
	if i := bytes.Index(b, doneEvent); i >= 0 {
		return i
	}
	lineStart := bytes.LastIndexByte(b, '\n') + 1
	if tail := b[lineStart:]; len(tail) < len(doneEvent) && bytes.HasPrefix(doneEvent, tail) {
		return lineStart
	}
	return len(b)
}

func (s *streamWriter) write(b []byte) bool {
	_ = s.ctrl.SetWriteDeadline(time.Now().Add(WriteTimeout))
	if _, err := s.w.Write(b); err != nil {
		return false
	}
	return s.ctrl.Flush() == nil
}

func (s *streamWriter) finish(p *program.Problem) {
	s.start()
	if p != nil {
		s.write(problemEvent(*p))
		return
	}
	if !bytes.Contains(s.withheld, doneEvent) {
		s.withheld = append(s.withheld, "data: [DONE]\n\n"...)
	}
	s.write(s.withheld)
}

// executedOf reports whether a is the last part of an answer and, if so, whether the call was executed.
func executedOf(a answerPart) (last bool, executed record.Executed) {
	var p *program.Problem
	switch {
	case a.reply != nil:
		p = a.reply.Problem
	case a.end != nil:
		p = a.end.Problem
	default:
		return false, record.ExecutedUnknown
	}
	if p == nil {
		return true, record.ExecutedYes
	}
	return true, p.Executed
}
