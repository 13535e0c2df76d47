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

// MaxPendingBytes bounds the bytes of an answer that wait for a slow caller. Beyond it the caller is
// cut off and resumes from the byte it has; the call itself goes on.
const MaxPendingBytes = 16 << 20

// WriteTimeout bounds one write to a caller, so that a caller that reads nothing holds no memory.
const WriteTimeout = 30 * time.Second

var doneEvent = []byte("data: [DONE]")

// answer is one step of the reply to a request. Exactly one field is set.
type answer struct {
	reply *program.Reply
	data  *program.StreamData
	end   *program.StreamEnd
}

// mailbox is a Sink that a handler reads from.
type mailbox struct {
	mu       sync.Mutex
	queue    []answer
	pending  int
	overflow bool
	wake     chan struct{} // holds one token when the queue is not empty
}

func newMailbox() *mailbox { return &mailbox{wake: make(chan struct{}, 1)} }

func (m *mailbox) put(a answer) {
	m.mu.Lock()
	if a.data != nil {
		m.pending += len(a.data.Data)
		m.overflow = m.overflow || m.pending > MaxPendingBytes
	}
	if !m.overflow {
		m.queue = append(m.queue, a)
	}
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Reply implements Sink.
func (m *mailbox) Reply(r program.Reply) { m.put(answer{reply: &r}) }

// StreamData implements Sink.
func (m *mailbox) StreamData(d program.StreamData) { m.put(answer{data: &d}) }

// StreamEnd implements Sink.
func (m *mailbox) StreamEnd(e program.StreamEnd) { m.put(answer{end: &e}) }

// next returns the next answer. It returns false when the caller is gone or too slow.
func (m *mailbox) next(ctx context.Context) (answer, bool) {
	for {
		m.mu.Lock()
		if m.overflow {
			m.mu.Unlock()
			return answer{}, false
		}
		if len(m.queue) > 0 {
			a := m.queue[0]
			m.queue = m.queue[1:]
			if a.data != nil {
				m.pending -= len(a.data.Data)
			}
			m.mu.Unlock()
			return a, true
		}
		m.mu.Unlock()
		select {
		case <-m.wake:
		case <-ctx.Done():
			return answer{}, false
		}
	}
}

// ask submits an event and waits for its only reply.
func (f *Frontend) ask(ctx context.Context, ev program.Request) (program.Reply, bool) {
	box := newMailbox()
	gone := f.backend.Submit(ev, box)
	a, ok := box.next(ctx)
	if !ok {
		gone()
		return program.Reply{}, false
	}
	switch {
	case a.reply != nil:
		return *a.reply, true
	case a.end != nil && a.end.Problem != nil:
		return program.Reply{Req: a.end.Req, Problem: a.end.Problem}, true
	default:
		gone()
		return program.Reply{Problem: &program.Problem{Type: "internal", Status: http.StatusInternalServerError,
			Detail: "a stream came where one reply was expected"}}, true
	}
}

// answer submits a call and writes its answer: JSON, an event stream or a problem document.
func (f *Frontend) answer(w http.ResponseWriter, r *http.Request, ev program.Request, key string) {
	box := newMailbox()
	gone := f.backend.Submit(ev, box)
	if !copyAnswer(r.Context(), w, box, key) {
		gone()
		abort()
	}
}

// abort ends the connection of a request whose answer is not whole. A handler that just returned
// would end the answer as if it were.
func abort() { panic(http.ErrAbortHandler) }

// copyAnswer writes the answers of a mailbox. It returns false when the caller left before the end.
func copyAnswer(ctx context.Context, w http.ResponseWriter, box *mailbox, key string) bool {
	if key != "" {
		w.Header().Set("Idempotency-Key", key)
	}
	s := streamWriter{w: w, ctrl: http.NewResponseController(w)}
	for {
		a, ok := box.next(ctx)
		if !ok {
			return false
		}
		switch {
		case a.reply != nil && s.started:
			s.end(a.reply.Problem)
			return true
		case a.reply != nil:
			writeReply(w, *a.reply)
			return true
		case a.data != nil:
			if !s.data(a.data.Data) {
				return false
			}
		case a.end != nil && !s.started && a.end.Problem != nil:
			writeProblem(w, *a.end.Problem, 0)
			return true
		case a.end != nil:
			s.end(a.end.Problem)
			return true
		}
	}
}

// writeReply writes an answer that is not streamed.
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

// streamWriter writes the bytes of an event stream as they come. It holds back the closing event
// until the answer is acknowledged, so a caller that has read it knows that the turn is recorded.
type streamWriter struct {
	w       http.ResponseWriter
	ctrl    *http.ResponseController
	started bool
	held    []byte // from the closing event on, or a line that may become it
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

func (s *streamWriter) data(b []byte) bool {
	s.start()
	s.held = append(s.held, b...)
	n := releasable(s.held)
	if n == 0 {
		return true
	}
	ok := s.write(s.held[:n])
	s.held = append([]byte(nil), s.held[n:]...)
	return ok
}

// releasable returns how many bytes come before the closing event, or before an incomplete last
// line that may become it.
func releasable(b []byte) int {
	if i := bytes.Index(b, doneEvent); i >= 0 {
		return i
	}
	line := bytes.LastIndexByte(b, '\n') + 1
	if tail := b[line:]; len(tail) < len(doneEvent) && bytes.HasPrefix(doneEvent, tail) {
		return line
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

func (s *streamWriter) end(p *program.Problem) {
	s.start()
	if p != nil {
		s.write(problemEvent(*p))
		return
	}
	if !bytes.Contains(s.held, doneEvent) {
		s.held = append(s.held, "data: [DONE]\n\n"...)
	}
	s.write(s.held)
}

// executedOf tells what is known about the call after its last answer.
func executedOf(a answer) (last bool, executed record.Executed) {
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
