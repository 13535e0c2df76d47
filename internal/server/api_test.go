package server_test

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/shoenig/test/must"

	"ragwortstile/internal/server"
	"ragwortstile/internal/standin/enginestand"
	"ragwortstile/internal/trial"
)

func openaiClient(i *server.Instance, key string, opts ...option.RequestOption) openai.Client {
	return openai.NewClient(append([]option.RequestOption{option.WithBaseURL(base(i) + "/v1"), option.WithAPIKey(key)}, opts...)...)
}

func completion(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "m",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
		MaxTokens: openai.Int(12),
	}
}

// Guards against an API that a common client library cannot use: calls with and without streaming, with
// and without a program, and the history as the client sends it back.
func TestClientLibrary(t *testing.T) {
	t.Parallel()
	d := cluster(t, 2, nil)
	ctx := waitContext(t)
	one := openaiClient(d.Instance("a"), teamKey)
	got, err := one.Chat.Completions.New(ctx, completion("hello"))
	must.NoError(t, err)
	must.NotEq(t, "", got.Choices[0].Message.Content)
	must.Positive(t, got.Usage.CompletionTokens)

	stream := one.Chat.Completions.NewStreaming(ctx, completion("hello"))
	acc := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	must.NoError(t, stream.Err())
	must.NotEq(t, "", acc.Choices[0].Message.Content)

	prog, err := caller(t, d).Open(ctx, "work", "o")
	must.NoError(t, err)
	in := completion("first")
	for n, i := range []string{"a", "b", "a"} {
		client := openaiClient(d.Instance(i), teamKey, option.WithHeader("X-Program", string(prog)), option.WithHeader("Idempotency-Key", fmt.Sprintf("k%d", n)))
		got, err := client.Chat.Completions.New(ctx, in)
		must.NoError(t, err)
		in.Messages = append(in.Messages, got.Choices[0].Message.ToParam(), openai.UserMessage("next"))
	}
	must.Len(t, 6, texts(t, caller(t, d), ctx, prog, ""))
	models, err := one.Models.List(ctx)
	must.NoError(t, err)
	must.Eq(t, "m", models.Data[0].ID)
	await(t, "implicit programs released", func() bool {
		for _, e := range d.Engines {
			for tag := range e.TokensByTag() {
				if !strings.HasPrefix(tag, string(prog)) {
					return false
				}
			}
		}
		return true
	})
}

// Guards against errors whose cause the client library does not report, both before and during a
// stream.
func TestClientLibraryReadsErrors(t *testing.T) {
	t.Parallel()
	d := cluster(t, 2, func(s *trial.Settings) {
		s.Engine = func(string) enginestand.Settings { return enginestand.Settings{MaxRunning: 4} }
	})
	ctx := waitContext(t)
	wrong := openaiClient(d.Instance("a"), "wrong", option.WithMaxRetries(0))
	_, err := wrong.Chat.Completions.New(ctx, completion("x"))
	var apiErr *openai.Error
	must.True(t, errors.As(err, &apiErr))
	must.Eq(t, http.StatusUnauthorized, apiErr.StatusCode)
	must.Eq(t, "unknown_key", apiErr.Code)
	must.Eq(t, "authentication_error", apiErr.Type)
	in := completion("x")
	in.Model = "none"
	right := openaiClient(d.Instance("a"), teamKey, option.WithMaxRetries(0))
	_, err = right.Chat.Completions.New(ctx, in)
	must.True(t, errors.As(err, &apiErr))
	must.Eq(t, "pool_not_found", apiErr.Code)
	// The program's wall time limit is reached in the middle of the stream.
	prog, err := caller(t, d).OpenWith(ctx, "o", map[string]any{"limits": map[string]string{"wall_time": "600ms"}})
	must.NoError(t, err)
	client := openaiClient(d.Instance("b"), teamKey, option.WithHeader("X-Program", string(prog)), option.WithJSONSet("want_tokens", 150))
	long := completion("x")
	long.MaxTokens = openai.Int(150)
	stream := client.Chat.Completions.NewStreaming(ctx, long)
	chunks := 0
	for stream.Next() {
		chunks++
	}
	must.Positive(t, chunks)
	must.ErrorContains(t, stream.Err(), "wall_time_exceeded")
}

// Guards against access to another team's programs, and against answers that reveal whether another
// team's program exists.
func TestTeamsAreIsolated(t *testing.T) {
	t.Parallel()
	d := cluster(t, 2, nil)
	ctx := waitContext(t)
	c := caller(t, d)
	other := trial.NewCaller(otherKey, d.BaseURLs)
	t.Cleanup(other.Close)
	prog, err := c.Open(ctx, "work", "same key")
	must.NoError(t, err)
	theirs, err := other.Open(ctx, "work", "same key")
	must.NoError(t, err)
	must.NotEq(t, prog, theirs)
	path := "/v1/programs/" + string(prog)
	_, err = c.Model(ctx, trial.ModelCall{Program: prog, Key: "k", Model: "m", Message: "secret", MaxTokens: 4})
	must.NoError(t, err)
	for _, r := range []struct{ method, path, body string }{
		{"GET", "", ""}, {"GET", "/history", ""}, {"GET", "/explain", ""}, {"GET", "/calls/k", ""}, {"DELETE", "", ""},
		{"POST", "/branches", `{"name":"b"}`},
		{"POST", "/chat/completions", `{"model":"m","messages":[{"role":"user","content":"x"}]}`},
		{"POST", "/services/s/look", `{}`},
		{"POST", "/calls/k/settle", `{"executed":"yes"}`},
	} {
		for _, at := range d.BaseURLs() {
			_, err := other.Once(ctx, at, r.method, path+r.path, "other", []byte(r.body), nil)
			must.Eq(t, "program_not_found", problemOf(t, err).Code(), must.Sprint(r.method+" "+r.path))
			must.Eq(t, http.StatusNotFound, problemOf(t, err).Status)
		}
	}
	must.Len(t, 2, texts(t, c, ctx, prog, ""))
	_, err = c.Once(ctx, d.BaseURLs()[0], "GET", "/v1/programs/p01-unknown", "", nil, nil)
	must.Eq(t, http.StatusNotFound, problemOf(t, err).Status)
	_, err = c.Once(ctx, d.BaseURLs()[0], "DELETE", "/v1/programs/p01-unknown", "", nil, nil)
	must.Eq(t, http.StatusNotFound, problemOf(t, err).Status)
}

// Guards against a second execution when a key is repeated at another instance while the first
// request is in progress, and against a key that is reused with another body.
func TestRepeatedKeyAtAnotherInstance(t *testing.T) {
	t.Parallel()
	d := cluster(t, 3, nil)
	ctx := waitContext(t)
	c := caller(t, d)
	prog, err := c.Open(ctx, "work", "o")
	must.NoError(t, err)
	m, body := longCall(prog, "k", "x", 50)
	first := openStream(ctx, t, d.BaseURLs()[0], m, body)
	seen := readSome(t, first.Body, 300)
	joined := make(chan string, 2)
	for _, at := range d.BaseURLs()[1:] {
		go func() {
			a, err := c.Once(ctx, at, http.MethodPost, m.Path(), m.Key, body, trial.AppendHistory())
			if err != nil {
				t.Errorf("join: %v", err)
			}
			joined <- string(a.Body)
		}()
	}
	one, two := <-joined, <-joined
	must.Eq(t, one, two)
	must.StrHasPrefix(t, string(seen), one)
	must.StrHasSuffix(t, "data: [DONE]\n\n", one)
	must.Eq(t, 1, requests(d))
	_, other := longCall(prog, "k", "y", 50)
	_, err = c.Do(ctx, http.MethodPost, m.Path(), m.Key, other, trial.AppendHistory())
	must.Eq(t, "key_reused", problemOf(t, err).Code())
	must.Eq(t, http.StatusUnprocessableEntity, problemOf(t, err).Status)
	// The last bytes of a recorded answer, requested by byte offset in both forms.
	tail, err := c.Do(ctx, http.MethodGet, fmt.Sprintf("/v1/programs/%s/calls/k?from_byte=%d", prog, len(one)-20), "", nil, nil)
	must.NoError(t, err)
	must.Eq(t, one[len(one)-20:], string(tail.Body))
	tail, err = c.Do(ctx, http.MethodGet, fmt.Sprintf("/v1/programs/%s/calls/k", prog), "", nil, http.Header{"Last-Event-Id": {fmt.Sprint(len(one) - 20)}})
	must.NoError(t, err)
	must.Eq(t, one[len(one)-20:], string(tail.Body))
	// A history that does not continue the recorded one is refused, and nothing is executed.
	_, err = c.Do(ctx, http.MethodPost, m.Path(), "k2", []byte(`{"model":"m","messages":[{"role":"user","content":"forged"}]}`), nil)
	must.Eq(t, "history_mismatch", problemOf(t, err).Code())
	must.Eq(t, 1, requests(d))
}

// Guards against status and explain endpoints that work only at some of the instances.
func TestStatusAndExplainAnywhere(t *testing.T) {
	t.Parallel()
	d := cluster(t, 3, nil)
	ctx := waitContext(t)
	c := caller(t, d)
	prog, err := c.Open(ctx, "work", "o")
	must.NoError(t, err)
	_, err = c.Model(ctx, trial.ModelCall{Program: prog, Key: "k", Model: "m", Message: "x", MaxTokens: 4})
	must.NoError(t, err)
	operator := trial.NewCaller(trial.OperatorKey, d.BaseURLs)
	t.Cleanup(operator.Close)
	for _, at := range d.BaseURLs() {
		a, err := operator.Once(ctx, at, "GET", "/v1/status", "", nil, nil)
		must.NoError(t, err)
		must.Eq(t, 3, strings.Count(string(a.Body), `"ready":true`))
		a, err = operator.Once(ctx, at, "GET", "/v1/programs/"+string(prog)+"/explain", "", nil, nil)
		must.NoError(t, err)
		must.StrContains(t, string(a.Body), `"what":"dispatch"`)
		resp, err := http.Get(at + "/metrics")
		must.NoError(t, err)
		_ = resp.Body.Close()
		must.Eq(t, 200, resp.StatusCode)
	}
}
