package engine_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/endpoint"
	"ragwortstile/internal/engine"
	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
	"ragwortstile/internal/standin/enginestand"
)

const (
	model = "m1"
	prog  = id.Program("p00-x")
	tag   = "p00-x/main"
)

// checkGoroutines fails the test if goroutines leak. Call it first, so that it runs after all other
// cleanups.
func checkGoroutines(t *testing.T) {
	t.Helper()
	before := runtime.NumGoroutine()
	t.Cleanup(func() {
		deadline := time.Now().Add(5 * time.Second)
		for runtime.NumGoroutine() > before && time.Now().Before(deadline) {
			time.Sleep(5 * time.Millisecond)
		}
		if after := runtime.NumGoroutine(); after > before {
			buf := make([]byte, 1<<16)
			t.Errorf("goroutines: %d before, %d after\n%s", before, after, buf[:runtime.Stack(buf, true)])
		}
	})
}

// fleet is a client with the engines e1, e2 and so on. Nothing listens at the URL of "nobody".
type fleet struct {
	*engine.Client
	http *endpoint.Client
	urls map[string]string
	errs errorList
}

type errorList struct {
	mu  sync.Mutex
	all []error
}

func (l *errorList) add(_ id.Attempt, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, err)
}

func (l *errorList) last() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.all) == 0 {
		return nil
	}
	return l.all[len(l.all)-1]
}

func newFleet(t *testing.T, cfg engine.Config, handlers ...http.Handler) *fleet {
	t.Helper()
	f := &fleet{http: endpoint.New(endpoint.Options{}), urls: make(map[string]string)}
	t.Cleanup(f.http.Close)
	for i, h := range handlers {
		server := httptest.NewServer(h)
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		f.urls[fmt.Sprintf("e%d", i+1)] = server.URL
	}
	f.urls["nobody"] = "http://127.0.0.1:1"
	cfg.HTTP = f.http
	cfg.URL = func(name string) (string, bool) { u, ok := f.urls[name]; return u, ok }
	cfg.Failed = f.errs.add
	f.Client = engine.New(cfg)
	return f
}

func newEngine(t *testing.T, s enginestand.Settings) *enginestand.Engine {
	t.Helper()
	if s.Scale == 0 {
		s.Scale = 50
	}
	e := enginestand.New(s)
	t.Cleanup(e.Close)
	return e
}

func messages(texts ...string) []record.Message {
	all := make([]record.Message, len(texts))
	for i, text := range texts {
		all[i].Raw = fmt.Appendf(nil, `{"role":"user","content":%q}`, text)
	}
	return all
}

func raws(all []record.Message) []json.RawMessage {
	out := make([]json.RawMessage, len(all))
	for i, m := range all {
		out[i] = m.Raw
	}
	return out
}

// call returns the dispatch of the n-th call of a branch.
func call(n uint64, stream bool, msgs []record.Message) program.DispatchModel {
	return program.DispatchModel{
		Attempt:   id.NewAttempt(id.Call{Program: prog, Branch: id.MainBranch, Seq: n}, 1, 1),
		Endpoint:  "e1",
		Model:     model,
		CacheTag:  tag,
		Messages:  msgs,
		MaxTokens: 64,
		Stream:    stream,
		Timeout:   10 * time.Second,
	}
}

// collector concatenates the progress of an attempt. It fails the test if bytes are missing or if bytes
// that arrive again differ.
type collector struct {
	t    *testing.T
	data []byte
}

func (c *collector) add(p program.Progress) {
	if p.Offset > int64(len(c.data)) {
		c.t.Errorf("progress at %d after %d bytes", p.Offset, len(c.data))
		return
	}
	old := min(len(p.Data), len(c.data)-int(p.Offset))
	if string(c.data[p.Offset:int(p.Offset)+old]) != string(p.Data[:old]) {
		c.t.Errorf("progress at %d differs from the bytes before", p.Offset)
	}
	c.data = append(c.data, p.Data[old:]...)
}

// text returns the content of an assistant message.
func text(t *testing.T, message []byte) string {
	t.Helper()
	var m struct{ Role, Content string }
	must.NoError(t, json.Unmarshal(message, &m))
	must.Eq(t, "assistant", m.Role)
	return m.Content
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("not seen within 10 s: %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func long(n int) string { return strings.Repeat("abcd", n) }
