package engine_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/endpoint"
	"ragwortstile/internal/engine"
	"ragwortstile/internal/id"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/standin/enginestand"
)

// Guards against an answer, stream bytes or a usage that do not match the messages sent, and against a
// second turn that does not find the cached prefix of the first one.
func TestCompleteTwoTurns(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprintf("stream=%v", stream), func(t *testing.T) {
			checkGoroutines(t)
			f := newFleet(t, engine.Config{}, newEngine(t, enginestand.Settings{}))
			history := messages(long(500))
			got := &collector{t: t}
			fin := f.Complete(t.Context(), call(1, stream, history), got.add)
			must.Eq(t, sched.ResultOK, fin.Result)
			must.True(t, fin.Sent)
			must.Eq(t, http.StatusOK, fin.Status)
			must.Eq(t, enginestand.Answer(raws(history), 16), text(t, fin.Answer))
			must.Eq(t, 16, fin.OutputTokens)
			must.Eq(t, 0, fin.CachedTokens)
			must.Less(t, fin.Total, fin.FirstToken)
			must.Eq(t, stream, strings.HasSuffix(string(got.data), "data: [DONE]\n\n"))
			must.Eq(t, stream, len(fin.Body) == 0)

			history = append(history, record.Message{Raw: fin.Answer})
			history = append(history, messages("more")...)
			first := fin
			fin = f.Complete(t.Context(), call(2, stream, history), nil)
			must.Eq(t, sched.ResultOK, fin.Result)
			must.Eq(t, enginestand.Answer(raws(history), 16), text(t, fin.Answer))
			must.Eq(t, first.PromptTokens+first.OutputTokens, fin.CachedTokens)
		})
	}
}

// Guards against a broken stream that counts as complete, and against a resume that loses, repeats or
// mixes up bytes: in the same process, and in one that has not received the first part.
func TestResume(t *testing.T) {
	checkGoroutines(t)
	e := newEngine(t, enginestand.Settings{})
	f := newFleet(t, engine.Config{}, e)
	other := newFleet(t, engine.Config{}, e)
	for i, after := range []int{0, 1, 150, 700, 1500} {
		e.BreakNext(1, after)
		d := call(uint64(i+1), true, messages(fmt.Sprint("q", i)))
		got := &collector{t: t}
		fin := f.Complete(t.Context(), d, got.add)
		must.Eq(t, sched.ResultFailed, fin.Result)
		must.True(t, fin.Sent)
		must.Eq(t, 0, len(fin.Answer))
		must.Eq(t, after, len(got.data))

		d.Resume = true
		d.FromByte = int64(len(got.data))
		fin = f.Complete(t.Context(), d, got.add)
		must.Eq(t, sched.ResultOK, fin.Result)
		want := enginestand.Answer(raws(d.Messages), 16)
		must.Eq(t, want, text(t, fin.Answer))

		again := &collector{t: t}
		fin = other.Complete(t.Context(), d, again.add)
		must.Eq(t, sched.ResultOK, fin.Result)
		must.Eq(t, want, text(t, fin.Answer))
		must.Eq(t, string(got.data), string(again.data))
	}
	must.Eq(t, 5, e.Stats().Requests)
}

// Guards against a 404 to a resume, after a restart of the engine, that counts as a refusal: the
// completion was sent, so the engine may have executed it.
func TestResumeAfterRestart(t *testing.T) {
	checkGoroutines(t)
	e := newEngine(t, enginestand.Settings{Scale: 1})
	f := newFleet(t, engine.Config{}, e)
	d := call(1, true, messages("q"))
	restart := time.AfterFunc(100*time.Millisecond, e.Restart)
	defer restart.Stop()
	fin := f.Complete(t.Context(), d, nil)
	must.Eq(t, sched.ResultFailed, fin.Result)
	d.Resume = true
	fin = f.Complete(t.Context(), d, nil)
	must.Eq(t, sched.ResultFailed, fin.Result)
	must.Eq(t, http.StatusNotFound, fin.Status)
	must.True(t, fin.Sent)
	d.Endpoint = "nobody"
	must.True(t, f.Complete(t.Context(), d, nil).Sent)
}

// Guards against a failure that is reported with the wrong result or a wrong value of Sent.
func TestCompleteFailures(t *testing.T) {
	checkGoroutines(t)
	e := newEngine(t, enginestand.Settings{})
	status := func(code int, header ...string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for i := 0; i+1 < len(header); i += 2 {
				w.Header().Set(header[i], header[i+1])
			}
			w.WriteHeader(code)
			_, _ = w.Write([]byte(`{"choices":[{"message":{"role":"assistant","content":"x"}}]}`))
		})
	}
	f := newFleet(t, engine.Config{}, e, status(500), status(429), status(503), status(400),
		status(503, endpoint.ExecutedHeader, "no"), status(200, endpoint.RequestIDHeader, "another", "Content-Type", "application/json"),
		status(200), status(307, "Location", "/elsewhere"))
	cases := []struct {
		endpoint string
		result   sched.Result
		sent     bool
		status   int
	}{
		{"nobody", sched.ResultFailed, false, 0},
		{"unlisted", sched.ResultRejected, false, 0},
		{"e2", sched.ResultFailed, true, 500},
		{"e3", sched.ResultRejected, true, 429},
		{"e4", sched.ResultFailed, true, 503},
		{"e5", sched.ResultRejected, true, 400},
		{"e6", sched.ResultRejected, true, 503},
		{"e7", sched.ResultFailed, true, 200}, // answer to another attempt
		{"e8", sched.ResultFailed, true, 200}, // neither JSON nor a stream
		{"e9", sched.ResultFailed, true, 307},
	}
	for _, c := range cases {
		t.Run(c.endpoint, func(t *testing.T) {
			d := call(1, false, messages("q"))
			d.Endpoint = c.endpoint
			fin := f.Complete(t.Context(), d, nil)
			must.Eq(t, c.result, fin.Result)
			must.Eq(t, c.sent, fin.Sent)
			must.Eq(t, c.status, fin.Status)
			must.Eq(t, 0, len(fin.Answer))
			must.Error(t, f.errs.last())
		})
	}
	d := call(1, false, messages("q"))
	d.Params = []byte(`[1]`)
	fin := f.Complete(t.Context(), d, nil)
	must.Eq(t, sched.ResultRejected, fin.Result)
	must.False(t, fin.Sent)
	must.Eq(t, 0, e.Stats().Requests)
}

// Guards against a call that blocks forever because the engine hangs before or within an answer.
func TestHangAndCancel(t *testing.T) {
	checkGoroutines(t)
	e := newEngine(t, enginestand.Settings{Scale: 1, DecodeBase: time.Hour})
	f := newFleet(t, engine.Config{StallTimeout: 100 * time.Millisecond}, e)
	e.HangNext(1)
	d := call(1, false, messages("q"))
	d.Timeout = 50 * time.Millisecond
	fin := f.Complete(t.Context(), d, nil)
	must.Eq(t, sched.ResultTimeout, fin.Result)
	must.True(t, fin.Sent)

	fin = f.Complete(t.Context(), call(2, true, messages("q")), nil)
	must.Eq(t, sched.ResultTimeout, fin.Result)
	must.ErrorIs(t, f.errs.last(), engine.ErrStalled)

	ctx, cancel := context.WithCancel(t.Context())
	stop := time.AfterFunc(30*time.Millisecond, cancel)
	defer stop.Stop()
	d = call(3, true, messages("q"))
	fin = f.Complete(ctx, d, nil)
	must.Eq(t, sched.ResultCanceled, fin.Result)
	must.True(t, fin.Sent)
	must.NoError(t, f.Cancel(t.Context(), "e1", d.Attempt))
	eventually(t, "the cancellation", func() bool { return e.Stats().Canceled == 1 })
	must.NoError(t, f.Cancel(t.Context(), "e1", "unknown/main/1/e1.1"))
	must.Error(t, f.Cancel(t.Context(), "nobody", d.Attempt))
}

// Guards against spending beyond the reserved budget when an engine ignores max_tokens.
func TestOverrunIsCanceled(t *testing.T) {
	checkGoroutines(t)
	e := newEngine(t, enginestand.Settings{OutputTokens: 4000, Scale: 100})
	f := newFleet(t, engine.Config{}, e)
	d := call(1, true, messages("q"))
	d.MaxTokens = 5
	d.Params = []byte(`{"max_tokens":1000,"max_completion_tokens":1000,"stream":false,"messages":[]}`)
	fin := f.Complete(t.Context(), d, nil)
	must.Eq(t, sched.ResultOK, fin.Result) // the parameters do not raise the limit
	must.Eq(t, 5, fin.OutputTokens)
	e.SetIgnoreMaxTokens(true)
	d = call(2, true, messages("q"))
	d.MaxTokens = 5
	fin = f.Complete(t.Context(), d, nil)
	must.Eq(t, sched.ResultFailed, fin.Result)
	must.ErrorIs(t, f.errs.last(), engine.ErrOverrun)
	eventually(t, "the cancellation", func() bool { return e.Stats().Canceled == 1 })
}

// Guards against unbounded memory use on a long answer of a faulty engine.
func TestAnswersAreBounded(t *testing.T) {
	checkGoroutines(t)
	e := newEngine(t, enginestand.Settings{OutputTokens: 60, Scale: 1000})
	f := newFleet(t, engine.Config{MaxAnswerBytes: 400}, e)
	for i, stream := range []bool{true, false} {
		d := call(uint64(i+1), stream, messages("q"))
		fin := f.Complete(t.Context(), d, nil)
		must.Eq(t, sched.ResultFailed, fin.Result)
		must.ErrorIs(t, f.errs.last(), endpoint.ErrTooLarge)
	}
}

// Guards against answers that are assigned to calls in the order of their arrival. 64 calls share
// connections.
func TestAnswersAreNotMixed(t *testing.T) {
	checkGoroutines(t)
	e := newEngine(t, enginestand.Settings{MaxRunning: 16, Scale: 20, CacheTokens: 200})
	f := newFleet(t, engine.Config{}, e)
	var wg sync.WaitGroup
	for i := range 64 {
		wg.Go(func() {
			d := call(1, i%2 == 0, messages(fmt.Sprint("question ", i)))
			d.Attempt = id.Attempt(fmt.Sprintf("p00-%d/main/1/e1.1", i))
			d.CacheTag = fmt.Sprintf("p00-%d/main", i)
			fin := f.Complete(t.Context(), d, nil)
			if fin.Result != sched.ResultOK || fin.Attempt != d.Attempt {
				t.Errorf("call %d: result %d", i, fin.Result)
				return
			}
			if got, want := text(t, fin.Answer), enginestand.Answer(raws(d.Messages), 16); got != want {
				t.Errorf("call %d: got %q, want %q", i, got, want)
			}
		})
	}
	wg.Wait()
	must.Positive(t, e.Stats().WastedTokens)
}
