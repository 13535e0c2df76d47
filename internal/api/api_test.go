package api

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
)

// fakeBackend records the submitted requests. If answer is nil, it replies with an empty JSON object.
type fakeBackend struct {
	mu       sync.Mutex
	events   []program.Request
	answer   func(ev program.Request, sink Sink)
	draining bool
}

func (b *fakeBackend) Submit(ev program.Request, sink Sink) func() {
	b.mu.Lock()
	b.events = append(b.events, ev)
	b.mu.Unlock()
	if b.answer != nil {
		b.answer(ev, sink)
	} else {
		sink.Reply(program.Reply{Status: http.StatusOK, Body: []byte(`{}`)})
	}
	return func() {}
}

func (b *fakeBackend) seen() []program.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]program.Request(nil), b.events...)
}

func (b *fakeBackend) LocalSlot() (id.Slot, bool)   { return 5, true }
func (b *fakeBackend) AcceptsPrograms() bool        { return !b.draining }
func (b *fakeBackend) Ready() error                 { return errors.New("starting") }
func (b *fakeBackend) Status(string) any            { return struct{}{} }
func (b *fakeBackend) WriteMetrics(io.Writer)       {}
func (b *fakeBackend) Manifest() *manifest.Manifest { return testManifest }

var testManifest = &manifest.Manifest{
	Teams:  []manifest.Team{{Name: "t", KeyDigests: []string{KeyDigest("key")}, DefaultDuty: "d"}},
	Duties: []manifest.Duty{{Name: "d", Teams: []string{"t"}, Pools: []string{"m"}}, {Name: "other", Teams: []string{"u"}}},
	Pools:  []manifest.Pool{{Name: "m", Kind: manifest.PoolModel}},
}

func serveFake(t *testing.T, b *fakeBackend) string {
	t.Helper()
	s := httptest.NewServer(New(b, KeyDigest("operator")))
	t.Cleanup(s.Close)
	return s.URL
}

func send(t *testing.T, method, url, key, body string, header ...string) (*http.Response, []byte) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	must.NoError(t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return resp, data
}

const testProgram = "p05-abc"

// Guards against invalid requests that reach the backend, and against problem documents that a client
// can't read or that don't say whether the request was executed.
func TestFaultyRequestsAreRefusedWithPlace(t *testing.T) {
	b := &fakeBackend{}
	url := serveFake(t, b)
	chat := "/v1/programs/" + testProgram + "/chat/completions"
	hello := `{"model":"m","messages":[{"role":"user","content":"x"}]}`
	long := strings.Repeat("k", MaxIdempotencyKeyBytes+1)
	cases := []struct {
		name, method, path, key, body string
		status                        int
		place                         string
		header                        []string
	}{
		{"no key", "POST", chat, "", hello, 401, "header Authorization", nil},
		{"wrong key", "POST", chat, "wrong", hello, 401, "header Authorization", nil},
		{"operator key on a team's path", "POST", chat, "operator", hello, 403, "header Authorization", nil},
		{"not JSON", "POST", chat, "key", `{"model":`, 400, "body", nil},
		{"data after the object", "POST", chat, "key", hello + hello, 400, "body byte 57", nil},
		{"array", "POST", chat, "key", `[]`, 400, "body byte 1", nil},
		{"null", "POST", chat, "key", `null`, 400, "body", nil},
		{"no model", "POST", chat, "key", `{"messages":[{"role":"user","content":"x"}]}`, 400, "body.model", nil},
		{"no messages", "POST", chat, "key", `{"model":"m"}`, 400, "body.messages", nil},
		{"unknown role", "POST", chat, "key", `{"model":"m","messages":[{"role":"king"}]}`, 400, "body.messages[0].role", nil},
		{"two choices", "POST", chat, "key", `{"model":"m","n":2,"messages":[{"role":"user"}]}`, 400, "body.n", nil},
		{"no tokens", "POST", chat, "key", `{"model":"m","max_tokens":0,"messages":[{"role":"user"}]}`, 400, "body.max_tokens", nil},
		{"text as stream", "POST", chat, "key", `{"model":"m","stream":"yes","messages":[{"role":"user"}]}`, 400, "body.stream", nil},
		{"too large", "POST", chat, "key", strings.Repeat(" ", MaxBodyBytes+1), 413, "body", nil},
		{"long key", "POST", chat, "key", hello, 400, "header Idempotency-Key", []string{"Idempotency-Key", long}},
		{"unknown history mode", "POST", chat, "key", hello, 400, "header X-History", []string{"X-History", "some"}},
		{"bad sequence", "POST", chat, "key", hello, 400, "header X-Seq", []string{"X-Seq", "0"}},
		{"bad program", "POST", "/v1/programs/x/chat/completions", "key", hello, 404, "path id", nil},
		{"slot out of range", "POST", "/v1/programs/pff-abc/chat/completions", "key", hello, 404, "path id", nil},
		{"branch without program", "POST", "/v1/chat/completions", "key", hello, 400, "header X-Branch", []string{"X-Branch", "b"}},
		{"unknown member", "POST", "/v1/programs", "key", `{"dutty":"d"}`, 400, "body", nil},
		{"unknown duty", "POST", "/v1/programs", "key", `{"duty":"x"}`, 400, "body.duty", nil},
		{"duty of others", "POST", "/v1/programs", "key", `{"duty":"other"}`, 403, "body.duty", nil},
		{"negative limit", "POST", "/v1/programs", "key", `{"limits":{"tokens":-1}}`, 400, "body.limits.tokens", nil},
		{"branch name with slash", "POST", "/v1/programs/" + testProgram + "/branches", "key", `{"name":"a/b"}`, 400, "body.name", nil},
		{"service body", "POST", "/v1/programs/" + testProgram + "/services/s/op", "key", `{`, 400, "body", nil},
		{"settle", "POST", "/v1/programs/" + testProgram + "/calls/k/settle", "key", `{"executed":"maybe"}`, 400, "body.executed", nil},
		{"from_byte", "GET", "/v1/programs/" + testProgram + "/calls/k?from_byte=-1", "key", "", 400, "query from_byte", nil},
		{"no such path", "GET", "/v2", "key", "", 404, "path", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp, body := send(t, c.method, url+c.path, c.key, c.body, c.header...)
			must.Eq(t, c.status, resp.StatusCode, must.Sprint(string(body)))
			must.Eq(t, "application/problem+json", resp.Header.Get("Content-Type"))
			var d problemDocument
			must.NoError(t, json.Unmarshal(body, &d))
			must.Eq(t, "no", d.Executed)
			must.Eq(t, c.status, d.Status)
			must.StrHasPrefix(t, c.place, d.Place)
			must.NotEq(t, "", d.Error.Message)
		})
	}
	must.SliceEmpty(t, b.seen())
}

// Guards against a [DONE] event that is sent before the turn is recorded. A caller that has read it
// never repeats the call, so a turn that isn't recorded then would be lost.
func TestDoneEventWaitsForStreamEnd(t *testing.T) {
	end := make(chan struct{})
	b := &fakeBackend{answer: func(_ program.Request, sink Sink) {
		go func() {
			sink.StreamData(program.StreamData{Data: []byte("data: {\"a\":1}\n\nda")})
			sink.StreamData(program.StreamData{Offset: 17, Data: []byte("ta: [DONE]\n\n")})
			<-end
			sink.StreamEnd(program.StreamEnd{})
		}()
	}}
	url := serveFake(t, b)
	req, err := http.NewRequest("POST", url+"/v1/programs/"+testProgram+"/chat/completions",
		strings.NewReader(`{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultClient.Do(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	first := make([]byte, 15)
	_, err = io.ReadFull(resp.Body, first)
	must.NoError(t, err)
	must.Eq(t, "data: {\"a\":1}\n\n", string(first))
	more := make(chan string, 1)
	go func() {
		rest, _ := io.ReadAll(resp.Body)
		more <- string(rest)
	}()
	select {
	case got := <-more:
		t.Fatalf("read %q before the end of the stream", got)
	case <-time.After(100 * time.Millisecond):
	}
	close(end)
	must.Eq(t, "data: [DONE]\n\n", <-more)
}

// Guards against a failed stream that looks complete to the caller because it ends with [DONE].
func TestFailedStreamHasNoDoneEvent(t *testing.T) {
	b := &fakeBackend{answer: func(_ program.Request, sink Sink) {
		sink.StreamData(program.StreamData{Data: []byte("data: {}\n\ndata: [DONE]\n\n")})
		sink.StreamEnd(program.StreamEnd{Problem: &program.Problem{Type: "owner_changed", Status: 503}})
	}}
	_, body := send(t, "POST", serveFake(t, b)+"/v1/programs/"+testProgram+"/chat/completions", "key",
		`{"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]}`)
	must.StrNotContains(t, string(body), "[DONE]")
	must.StrContains(t, string(body), `"executed":"unknown"`)
	must.StrContains(t, string(body), `"error":{"message"`)
}

// Guards against an implicit program that stays open after its call, and against one that is ended
// although the call was not executed and its caller may still repeat it.
func TestImplicitProgramEndsWhenAnswered(t *testing.T) {
	var problem *program.Problem
	ended := make(chan id.Program, 1)
	b := &fakeBackend{}
	b.answer = func(ev program.Request, sink Sink) {
		switch e := ev.(type) {
		case program.OpenProgram:
			sink.Reply(program.Reply{Status: 201, Body: []byte(`{"id":"p07-first"}`)})
		case program.ModelCall:
			sink.Reply(program.Reply{Status: 200, Body: []byte(`{"ok":true}`), Problem: problem})
		case program.EndProgram:
			ended <- e.Program
		}
	}
	url := serveFake(t, b)
	body := `{"model":"m","messages":[{"role":"user","content":"x"}],"temperature":0.5}`
	resp, _ := send(t, "POST", url+"/v1/chat/completions", "key", body, "Idempotency-Key", "k1")
	must.Eq(t, "p07-first", resp.Header.Get("X-Program"))
	must.Eq(t, id.Program("p07-first"), <-ended)
	open := b.seen()[0].(program.OpenProgram)
	slot, err := open.Program.Slot()
	must.NoError(t, err)
	must.Eq(t, SlotForKey("t", "implicit:k1"), slot)
	must.Eq(t, `{"temperature":0.5}`, string(b.seen()[1].(program.ModelCall).Params))
	problem = &program.Problem{Type: "refused", Status: 503, Executed: record.ExecutedNo}
	resp, _ = send(t, "POST", url+"/v1/chat/completions", "key", body, "Idempotency-Key", "k2")
	must.Eq(t, 503, resp.StatusCode)
	select {
	case p := <-ended:
		t.Fatalf("program %s was ended although its call can be repeated", p)
	case <-time.After(50 * time.Millisecond):
	}
}

// Guards against an answer that looks complete to the caller although it was cut off because the
// instance stopped.
func TestInterruptedAnswerBreaksTheConnection(t *testing.T) {
	b := &fakeBackend{answer: func(program.Request, Sink) {}}
	stop, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := httptest.NewUnstartedServer(New(b, ""))
	s.Config.BaseContext = func(net.Listener) context.Context { return stop }
	s.Start()
	t.Cleanup(s.Close)
	for _, path := range []string{"/v1/chat/completions", "/v1/programs/" + testProgram + "/chat/completions"} {
		req, err := http.NewRequest("POST", s.URL+path, strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
		must.NoError(t, err)
		req.Header.Set("Authorization", "Bearer key")
		time.AfterFunc(50*time.Millisecond, cancel)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			t.Fatalf("%s: status %d without an answer", path, resp.StatusCode)
		}
	}
}
