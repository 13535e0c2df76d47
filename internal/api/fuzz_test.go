package api

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ragwortstile/internal/program"
)

// FuzzRequestBody guards against a body that makes the handler panic or hang, that is rejected without
// a readable problem document or with a wrong value of executed, or that reaches the backend although
// it was rejected.
func FuzzRequestBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"x"}]}`, `{"model":"m","messages":[{}],"stream":true,"n":2}`,
		`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":-1}`, `{"duty":"d","limits":{"tokens":5}}`,
		`{"executed":"yes"}`, `{"name":"sub","parent":"main"}`, `[`, `null`, `{"model":1e999}`, "{\"model\":\"\xff\"}", "",
	} {
		for path := range uint8(len(fuzzPaths)) {
			f.Add(path, []byte(seed))
		}
	}
	f.Fuzz(func(t *testing.T, path uint8, body []byte) {
		b := &fakeBackend{answer: func(_ program.Request, s Sink) {
			s.Reply(program.Reply{Status: http.StatusOK, Body: []byte(`{"program":"` + testProgram + `"}`)})
		}}
		r := httptest.NewRequest(http.MethodPost, fuzzPaths[int(path)%len(fuzzPaths)], strings.NewReader(string(body)))
		r.Header.Set("Authorization", "Bearer key")
		r.Header.Set("Idempotency-Key", "k")
		w := httptest.NewRecorder()
		done := make(chan struct{})
		go func() {
			defer close(done)
			New(b, KeyDigest("operator")).ServeHTTP(w, r)
		}()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatal("no answer within 5 s")
		}
		if w.Code < 400 {
			return
		}
		var problem struct {
			Type     string `json:"type"`
			Executed string `json:"executed"`
		}
		if err := json.Unmarshal(w.Body.Bytes(), &problem); err != nil || problem.Type == "" {
			t.Fatalf("status %d with body %q: %v", w.Code, w.Body.Bytes(), err)
		}
		if w.Code >= 500 || problem.Executed != "no" || len(b.seen()) > 0 {
			t.Fatalf("status %d, executed %q, %d requests reached the backend", w.Code, problem.Executed, len(b.seen()))
		}
	})
}

var fuzzPaths = []string{
	"/v1/programs", "/v1/chat/completions", "/v1/programs/" + testProgram + "/branches",
	"/v1/programs/" + testProgram + "/chat/completions", "/v1/programs/" + testProgram + "/services/m/op",
	"/v1/programs/" + testProgram + "/calls/k/settle",
}
