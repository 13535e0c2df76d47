package service_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/endpoint"
	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/service"
	"ragwortstile/internal/standin/servicestand"
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
			t.Errorf("goroutines: %d before, %d after", before, after)
		}
	})
}

type fixture struct {
	*service.Client
	clock   atomic.Int64 // monotonic time of the client in ns
	lastErr atomic.Pointer[error]
}

func newFixture(t *testing.T, cfg service.Config, handlers ...http.Handler) *fixture {
	t.Helper()
	f := &fixture{}
	urls := map[string]string{"nobody": "http://127.0.0.1:1"}
	cfg.HTTP = endpoint.New(endpoint.Options{})
	t.Cleanup(cfg.HTTP.Close)
	for i, h := range handlers {
		server := httptest.NewServer(h)
		t.Cleanup(func() {
			server.CloseClientConnections()
			server.Close()
		})
		urls[fmt.Sprintf("s%d", i+1)] = server.URL
	}
	cfg.URL = func(name string) (string, bool) { u, ok := urls[name]; return u, ok }
	cfg.Now = func() time.Duration { return time.Duration(f.clock.Load()) }
	cfg.Failed = func(_ id.Attempt, err error) { f.lastErr.Store(&err) }
	f.Client = service.New(cfg)
	return f
}

// dispatch returns the dispatch of a call that is not idempotent. Its effect is named after n.
func dispatch(n int) program.DispatchService {
	c := id.Call{Program: "p05-x", Branch: id.MainBranch, Seq: uint64(n)}
	return program.DispatchService{
		Attempt: id.NewAttempt(c, 3, 1), Endpoint: "s1", Operation: "confirm",
		Body: fmt.Appendf(nil, `{"effect":"order %d"}`, n), Epoch: 3, NotAfter: 3 * time.Second, Timeout: 5 * time.Second,
	}
}

func effect(n int) string { return fmt.Sprintf("order %d", n) }

// Guards against an answer that differs from what the service sent, and against requests without the
// headers by which a service refuses an old epoch or an expired lease.
func TestCall(t *testing.T) {
	checkGoroutines(t)
	s := servicestand.New(servicestand.Settings{ChecksFence: true, ChecksExpiry: true})
	f := newFixture(t, service.Config{}, s)
	fin := f.Call(t.Context(), dispatch(1), nil)
	must.Eq(t, sched.ResultOK, fin.Result)
	must.True(t, fin.Sent)
	must.Eq(t, http.StatusOK, fin.Status)
	must.Eq(t, `{"operation":"confirm","effect":"order 1","execution":1}`, string(fin.Body))
	must.Eq(t, 1, s.Executions(string(dispatch(1).Attempt)))

	stale := dispatch(2)
	stale.Epoch = 2 // of a previous holder of the slot
	fin = f.Call(t.Context(), stale, nil)
	must.Eq(t, sched.ResultRejected, fin.Result)
	late := dispatch(3)
	late.NotAfter = time.Second
	f.clock.Store(int64(900 * time.Millisecond))
	// The check of NotAfter passes; then the process pauses and the lease lapses before the write.
	pause := func() error { time.Sleep(200 * time.Millisecond); return nil }
	fin = f.Call(t.Context(), late, pause)
	must.Eq(t, sched.ResultRejected, fin.Result)
	must.Eq(t, 2, s.Refused())
	must.Eq(t, 0, s.EffectCount(effect(2))+s.EffectCount(effect(3)))
}

// Guards against a non-idempotent request that is written after the lease lapsed, including a lease that
// lapsed while the request waited for a connection.
func TestLeaseIsCheckedBeforeWrite(t *testing.T) {
	checkGoroutines(t)
	s := servicestand.New(servicestand.Settings{})
	f := newFixture(t, service.Config{}, s)
	f.clock.Store(int64(3 * time.Second))
	fin := f.Call(t.Context(), dispatch(1), nil)
	must.Eq(t, sched.ResultCanceled, fin.Result)
	must.False(t, fin.Sent)
	must.ErrorIs(t, *f.lastErr.Load(), service.ErrLeaseLapsed)

	f.clock.Store(int64(2999 * time.Millisecond))
	lost := errors.New("slot was lost")
	fin = f.Call(t.Context(), dispatch(2), func() error { return lost })
	must.Eq(t, sched.ResultCanceled, fin.Result)
	must.False(t, fin.Sent)
	must.ErrorIs(t, *f.lastErr.Load(), lost)
	must.Eq(t, 0, s.EffectCount(effect(1))+s.EffectCount(effect(2)))

	must.Eq(t, sched.ResultOK, f.Call(t.Context(), dispatch(3), nil).Result)
	f.clock.Store(int64(time.Hour))
	again := dispatch(4)
	again.Idempotent = true // no lease needed
	must.Eq(t, sched.ResultOK, f.Call(t.Context(), again, nil).Result)
}

// Guards against any layer of the client repeating a request after a failure, so that the service
// executes it twice, and against a result that excludes an execution that may have happened.
func TestFailedCallExecutesAtMostOnce(t *testing.T) {
	checkGoroutines(t)
	s := servicestand.New(servicestand.Settings{})
	f := newFixture(t, service.Config{}, s)
	cases := []struct {
		name     string
		fault    func()
		result   sched.Result
		status   int
		executed int
	}{
		{"hang", func() { s.HangNext(1) }, sched.ResultTimeout, 0, 0},
		{"hang after", func() { s.HangAfterExecution(1) }, sched.ResultTimeout, 0, 1},
		{"drop", func() { s.DropNext(1) }, sched.ResultFailed, 0, 0},
		{"lose", func() { s.LoseAnswers(1) }, sched.ResultFailed, 0, 1},
		{"fail after", func() { s.FailAfterExecution(1) }, sched.ResultFailed, 500, 1},
		{"refuse", func() { s.RefuseNext(1, 503) }, sched.ResultRejected, 503, 0},
		{"limit", func() { s.RefuseNext(1, 429) }, sched.ResultRejected, 429, 0},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			// net/http retries requests only on a connection that was used before.
			must.Eq(t, sched.ResultOK, f.Call(t.Context(), dispatch(100+i), nil).Result)
			c.fault()
			d := dispatch(i)
			d.Timeout = 200 * time.Millisecond
			fin := f.Call(t.Context(), d, nil)
			must.Eq(t, c.result, fin.Result)
			must.Eq(t, c.status, fin.Status)
			must.True(t, fin.Sent)
			must.Eq(t, c.executed, s.EffectCount(effect(i)))
		})
	}
	must.Eq(t, 0, len(s.DuplicateEffects()))
}

// Guards against Sent being false for a request that was written, and true for one that was not.
func TestSentIsAccurate(t *testing.T) {
	checkGoroutines(t)
	s := servicestand.New(servicestand.Settings{Latency: 2 * time.Millisecond})
	f := newFixture(t, service.Config{}, s)
	for _, name := range []string{"nobody", "unlisted"} {
		d := dispatch(1)
		d.Endpoint = name
		fin := f.Call(t.Context(), d, nil)
		must.False(t, fin.Sent)
		must.NotEq(t, sched.ResultOK, fin.Result)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var notSent []int
	for worker := range 8 {
		wg.Go(func() {
			for i := range 150 {
				n := 1000*(worker+1) + i
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%50)*100*time.Microsecond)
				fin := f.Call(ctx, dispatch(n), nil)
				cancel()
				if !fin.Sent {
					mu.Lock()
					notSent = append(notSent, n)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	time.Sleep(100 * time.Millisecond) // long enough for a late request to be executed
	must.Positive(t, len(notSent))
	must.Less(t, 8*150, len(notSent))
	for _, n := range notSent {
		must.Eq(t, 0, s.EffectCount(effect(n)))
	}
	must.Eq(t, 0, len(s.DuplicateEffects()))
}

// Guards against a 4xx of the operation that counts as a failure, a 503 without X-Executed that counts
// as a refusal, answers to another request, and answers above the size limit.
func TestAnswers(t *testing.T) {
	checkGoroutines(t)
	status, header, body := 0, "", ""
	f := newFixture(t, service.Config{MaxAnswerBytes: 10}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if header != "" {
			w.Header().Set(endpoint.RequestIDHeader, header)
		}
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}))
	for _, c := range []struct {
		status int
		header string
		body   string
		want   sched.Result
	}{
		{409, "", "sold out", sched.ResultOK},
		{503, "", "", sched.ResultFailed},
		{408, "", "", sched.ResultFailed},
		{302, "", "", sched.ResultFailed},
		{200, "p05-x/main/9/e3.1", "ok", sched.ResultFailed},
		{200, string(dispatch(1).Attempt), "ok", sched.ResultOK},
		{200, "", strings.Repeat("x", 11), sched.ResultFailed},
	} {
		status, header, body = c.status, c.header, c.body
		fin := f.Call(t.Context(), dispatch(1), nil)
		must.Eq(t, c.want, fin.Result)
		must.True(t, fin.Sent)
	}
}

// Guards against the outcome "no" for a request that was executed or may still be.
func TestAsk(t *testing.T) {
	checkGoroutines(t)
	refusesLate := servicestand.New(servicestand.Settings{CanBeAsked: true, RefusesAfterQuery: true})
	plain := servicestand.New(servicestand.Settings{CanBeAsked: true})
	f := newFixture(t, service.Config{}, refusesLate, plain)
	refusesLate.LoseAnswers(1)
	must.Eq(t, sched.ResultFailed, f.Call(t.Context(), dispatch(1), nil).Result)
	outcome, err := f.AskOutcome(t.Context(), "s1", dispatch(1).Attempt)
	must.NoError(t, err)
	must.Eq(t, record.ExecutedYes, outcome.Executed)
	must.Eq(t, `{"operation":"confirm","effect":"order 1","execution":1}`, string(outcome.Body))

	outcome, err = f.AskOutcome(t.Context(), "s1", dispatch(2).Attempt)
	must.NoError(t, err)
	must.Eq(t, record.ExecutedNo, outcome.Executed)
	must.Eq(t, sched.ResultRejected, f.Call(t.Context(), dispatch(2), nil).Result) // arrives after the question
	must.Eq(t, 0, refusesLate.EffectCount(effect(2)))

	outcome, err = f.AskOutcome(t.Context(), "s2", dispatch(3).Attempt)
	must.NoError(t, err)
	must.Eq(t, record.ExecutedUnknown, outcome.Executed)
	_, err = f.AskOutcome(t.Context(), "nobody", dispatch(3).Attempt)
	must.ErrorIs(t, err, service.ErrNoAnswer)

	outcome, err = f.AskAllEndpoints(t.Context(), []string{"s2", "nobody", "s1"}, dispatch(1).Attempt)
	must.NoError(t, err)
	must.Eq(t, record.ExecutedYes, outcome.Executed)
	outcome, err = f.AskAllEndpoints(t.Context(), []string{"s1", "nobody"}, dispatch(4).Attempt)
	must.ErrorIs(t, err, service.ErrNoAnswer)
	must.Eq(t, record.ExecutedUnknown, outcome.Executed)
	outcome, err = f.AskAllEndpoints(t.Context(), []string{"s1"}, dispatch(4).Attempt)
	must.NoError(t, err)
	must.Eq(t, record.ExecutedNo, outcome.Executed)
}

// Guards against a malformed answer of the service that counts as an outcome.
func TestAskFaultyAnswers(t *testing.T) {
	checkGoroutines(t)
	body := ""
	f := newFixture(t, service.Config{}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, body) }))
	for _, body = range []string{"", "{}", `{"executed":"perhaps"}`, `{"executed":true}`} {
		outcome, err := f.AskOutcome(t.Context(), "s1", dispatch(1).Attempt)
		must.ErrorIs(t, err, service.ErrNoAnswer)
		must.Eq(t, record.ExecutedUnknown, outcome.Executed)
	}
}

// Guards against an answer with an impossible status that passes for the result of a call.
func TestBadStatusLineIsNoAnswer(t *testing.T) {
	checkGoroutines(t)
	for _, line := range []string{"HTTP/1.1 000 ", "HTTP/1.1 099 Odd", "HTTP/1.1 +20 Odd", "HTTP/1.1 101 Odd", "HTTP/1.1 600 Odd", "HTTP/2.0 200 OK", "ICY 200 OK"} {
		t.Run(line, func(t *testing.T) {
			f := newFixture(t, service.Config{MaxAnswerBytes: 1 << 10}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				must.NoError(t, err)
				_, _ = io.WriteString(c, line+"\r\nContent-Length: 2\r\n\r\n{}")
				_ = c.Close()
			}))
			fin := f.Call(t.Context(), dispatch(1), nil)
			must.Eq(t, sched.ResultFailed, fin.Result)
			must.True(t, fin.Sent)
			must.Eq(t, "", string(fin.Body))
		})
	}
}
