package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the platform. They share a prefix, except for those of news.md.
const prefix = "X-Ragwortstile"

const (
	headerID        = prefix + "-Request-Id"
	headerDeadline  = prefix + "-Deadline-Ms"
	headerTokens    = prefix + "-Token-Count"
	headerHint      = prefix + "-Length-Hint"
	headerProgram   = prefix + "-Program-Id"
	headerSession   = prefix + "-Session-Id"
	headerDue       = prefix + "-Program-Deadline-Ms"
	headerBudget    = prefix + "-Token-Budget"
	headerPrevious  = prefix + "-Previous-Turn"
	headerModel     = prefix + "-Model"
	headerStamp     = prefix + "-Server-Stamp"
	headerInstance  = prefix + "-Instance-Id"
	headerExpected  = prefix + "-Expect-Instance"
	headerNotRun    = prefix + "-Not-Executed"
	headerLimit     = "Server-Limit"
	headerLeaving   = "Server-Leaving"
	headerEventStop = "text/event-stream"
)

// server is a stand-in of a server: it runs one request at a time on a connection, as many at once as come, and stops at the
// deadline that it is given.
type server struct {
	r       *rig
	id      string
	service string
	addr    string
	born    int64
	behave  func(s *server, q received) behaviour

	leaving atomic.Bool // its answers say so

	mu     sync.Mutex
	http   *http.Server
	seq    int
	runs   []received
	closed bool
}

// received is a request that the server has begun to run.
type received struct {
	id, path, body string
	at             time.Time
	tokens         int // most tokens out
	crashed        bool
}

// behaviour is how the server runs a request.
type behaviour struct {
	work   time.Duration // of a plain answer
	events int           // of a stream; 0: a plain answer
	pause  time.Duration // before each event
	limit  string        // requests a second that the server names; empty for none
	crash  time.Duration // the server ends while it runs the request, and is back after this time
}

// server starts a server and writes its entry.
func (r *rig) server(id, service string, behave func(s *server, q received) behaviour) *server {
	s := &server{r: r, id: id, service: service, behave: behave, addr: "127.0.0.1:0", born: time.Now().UnixMilli()}
	s.listen()
	s.list("ready")
	r.servers = append(r.servers, s)
	return s
}

// list writes the server's entry with a state.
func (s *server) list(state string) {
	s.mu.Lock()
	s.seq++
	seq := s.seq
	s.mu.Unlock()
	s.r.store.PutEndpoint(s.id, map[string]any{
		"service": s.service, "address": s.addr, "zone": "cartago-a", "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
		"sequence": seq, "born": s.born,
	})
	s.r.note("server %s is listed as %s", s.id, state)
}

// unlist removes the server's entry.
func (s *server) unlist() {
	s.r.store.PutEndpoint(s.id, nil)
	s.r.note("the entry of server %s is removed", s.id)
}

func (s *server) listen() {
	l, err := net.Listen("tcp", s.addr)
	for try := 0; err != nil && try < 100; try++ {
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp", s.addr)
	}
	if err != nil {
		s.r.note("server %s does not listen: %v", s.id, err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = l.Close()
		return
	}
	s.addr = l.Addr().String()
	s.http = &http.Server{Handler: s}
	go func(h *http.Server) { _ = h.Serve(l) }(s.http) // ends with crash or close
}

// crash ends the server and all its connections, and starts it again after some time, as a new incarnation under its ID.
func (s *server) crash(downtime time.Duration) {
	s.mu.Lock()
	h := s.http
	s.mu.Unlock()
	_ = h.Close()
	time.AfterFunc(downtime, func() {
		s.born = time.Now().UnixMilli()
		s.listen()
		s.list("ready")
	})
}

func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.http != nil {
		_ = s.http.Close()
	}
}

// ran returns what the server has begun to run.
func (s *server) ran() []received {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]received(nil), s.runs...)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	h.Set(headerInstance, s.id)
	if r.URL.Path == "/healthz" {
		return
	}
	h.Set(headerID, r.Header.Get(headerID))
	if want := r.Header.Get(headerExpected); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	q := received{id: r.Header.Get(headerID), path: r.URL.Path, body: string(body), at: time.Now()}
	if _, out, ok := strings.Cut(r.Header.Get(headerTokens), ","); ok {
		q.tokens, _ = strconv.Atoi(out)
	}
	b := s.behave(s, q)
	q.crashed = b.crash > 0
	s.mu.Lock()
	s.runs = append(s.runs, q)
	s.mu.Unlock()
	s.r.note("server %s runs %s %s", s.id, q.id, q.path)
	if b.limit != "" {
		h.Set(headerLimit, b.limit)
	}
	sayLeaving := func() {
		if s.leaving.Load() {
			h.Set(headerLeaving, "1")
		}
	}
	ctx := r.Context()
	if left, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(left)*time.Millisecond)
		defer cancel()
	}
	h.Set(headerStamp, "3e1b."+s.id+"."+q.id)
	if b.crash > 0 {
		sleep(ctx, b.work)
		s.r.note("server %s crashes with %s", s.id, q.id)
		s.crash(b.crash)
		panic(http.ErrAbortHandler)
	}
	if b.events == 0 {
		if !sleep(ctx, b.work) {
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		sayLeaving()
		fmt.Fprintf(w, "done %s", q.id)
		return
	}
	sayLeaving()
	h.Set("Content-Type", headerEventStop)
	for n := 1; n <= b.events; n++ {
		if !sleep(ctx, b.pause) {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, q.id, n)
		if http.NewResponseController(w).Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// sleep waits and reports whether ctx is not done.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
