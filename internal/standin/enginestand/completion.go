package enginestand

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"ragwortstile/internal/endpoint"
	"ragwortstile/internal/standin"
)

const maxRequestBytes = 16 << 20 // maximum size of the body of a completion request

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		standin.WriteError(w, http.StatusRequestEntityTooLarge, "request: %v", err)
		return
	}
	f := e.takeFaults()
	switch {
	case f.hang > 0:
		standin.Hang(r)
		return
	case f.refuse > 0:
		w.Header().Set(endpoint.ExecutedHeader, "no")
		standin.WriteError(w, f.refuseStatus, "refused")
		return
	}
	q, status := e.accept(r.Header.Get(endpoint.RequestIDHeader), r.Header.Get("X-Cache-Tag"), body)
	if status != http.StatusOK {
		standin.WriteError(w, status, "request refused")
		return
	}
	breakAfter := -1
	if f.disconnect > 0 {
		breakAfter = f.disconnectAfter
	}
	sendAnswer(w, r, q, 0, breakAfter)
}

// accept checks a completion request and starts to process it. The status is 200 if it was accepted.
func (e *Engine) accept(id, tag string, data []byte) (*request, int) {
	var body completionBody
	if err := json.Unmarshal(data, &body); err != nil || len(body.Messages) == 0 || id == "" {
		return nil, http.StatusBadRequest
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil, http.StatusServiceUnavailable
	}
	if _, known := e.requests[id]; known {
		return nil, http.StatusConflict
	}
	q := newRequest(e, id, tag, body)
	e.requests[id] = q
	e.stats.Requests++
	e.admit(q)
	e.work.Go(q.generate)
	return q, http.StatusOK
}

// request returns the request with the given ID, or nil.
func (e *Engine) request(id string) *request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[id]
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	q := e.request(r.PathValue("id"))
	if q == nil {
		standin.WriteError(w, http.StatusNotFound, "unknown request")
		return
	}
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		standin.WriteError(w, http.StatusBadRequest, "from is no offset")
		return
	}
	sendAnswer(w, r, q, from, -1)
}

// sendAnswer sends the answer of a request from a byte offset on, as it is generated. It closes the connection
// after breakAfter bytes unless that is negative, and when the request was canceled or ended by a restart.
func sendAnswer(w http.ResponseWriter, r *http.Request, q *request, from, breakAfter int) {
	w.Header().Set(endpoint.RequestIDHeader, q.id)
	w.Header().Set("Content-Type", "application/json")
	if q.body.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
	}
	sent := 0
	for {
		p, done, failed, changed := q.read(from + sent)
		if breakAfter >= 0 && sent+len(p) >= breakAfter && len(p) > 0 {
			_, _ = w.Write(p[:breakAfter-sent])
			flush(w)
			standin.BreakConnection()
		}
		if failed {
			standin.BreakConnection()
		}
		if len(p) > 0 {
			if _, err := w.Write(p); err != nil {
				return
			}
			sent += len(p)
		}
		if done {
			return
		}
		flush(w)
		if !wait(r.Context(), changed) {
			return
		}
	}
}

// wait waits for changed to be closed. It reports false if ctx ends first.
func wait(ctx context.Context, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	q := e.request(r.PathValue("id"))
	if q == nil {
		standin.WriteError(w, http.StatusNotFound, "unknown request")
		return
	}
	q.cancel()
	w.WriteHeader(http.StatusNoContent)
}
