package service_test

import (
	"context"
	"errors"
	"fmt"
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

// checkGoroutines fails the test when goroutines are left after all other cleanups. Call it first.
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
	clock atomic.Int64 // monotonic time of the client
	errs  atomic.Pointer[error]
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
	cfg.Failed = func(_ id.Attempt, err error) { f.errs.Store(&err) }
	f.Client = service.New(cfg)
	return f
}

// order returns a dispatch of a call that may not be repeated. Its effect is named after n.
func order(n int) program.DispatchService {
	c := id.Call{Program: "p05-x", Branch: id.MainBranch, Seq: uint64(n)}
	return program.DispatchService{
		Attempt: id.NewAttempt(c, 3, 1), Endpoint: "s1", Operation: "confirm",
		Body: fmt.Appendf(nil, `{"effect":"order %d"}`, n), Epoch: 3, NotAfter: 3 * time.Second, Timeout: 5 * time.Second,
	}
}

func effect(n int) string { return fmt.Sprintf("order %d", n) }

// Guards against an answer that is not the service's own, and against missing headers.
func TestCall(t *testing.T) {
	checkGoroutines(t)
	s := servicestand.New(servicestand.Settings{ChecksFence: true, ChecksExpiry: true})
	f := newFixture(t, service.Config{}, s)
	fin := f.Call(t.Context(), order(1), nil)
	must.Eq(t, sched.ResultOK, fin.Result)
	must.True(t, fin.Sent)
	must.Eq(t, http.StatusOK, fin.Status)
	must.Eq(t, `{"operation":"confirm","effect":"order 1","execution":1}`, string(fin.Body))
	must.Eq(t, 1, s.Executions(string(order(1).Attempt)))

	old := order(2)
	old.Epoch = 2 // of a deposed holder
	fin = f.Call(t.Context(), old, nil)
	must.Eq(t, sched.ResultRejected, fin.Result)
	late := order(3)
	late.NotAfter = time.Second
	f.clock.Store(int64(900 * time.Millisecond))
	lapse := func() error { time.Sleep(200 * time.Millisecond); return nil } // a pause after the check
	fin = f.Call(t.Context(), late, lapse)
	must.Eq(t, sched.ResultRejected, fin.Result)
	must.Eq(t, 2, s.Refused())
	must.Eq(t, 0, s.Effect(effect(2))+s.Effect(effect(3)))
}

// Guards against a non-idempotent request that is written after the lease lapsed, also when it
// lapsed while the request waited for its connection.
func TestLeaseIsCheckedBeforeWrite(t *testing.T) {
	checkGoroutines(t)
	s := servicestand.New(servicestand.Settings{})
	f := newFixture(t, service.Config{}, s)
	f.clock.Store(int64(3 * time.Second))
	fin := f.Call(t.Context(), order(1), nil)
	must.Eq(t, sched.ResultCanceled, fin.Result)
	must.False(t, fin.Sent)
	must.ErrorIs(t, *f.errs.Load(), service.ErrLeaseLapsed)

	f.clock.Store(int64(2999 * time.Millisecond))
	lost := errors.New("slot was lost")
	fin = f.Call(t.Context(), order(2), func() error { return lost })
	must.Eq(t, sched.ResultCanceled, fin.Result)
	must.False(t, fin.Sent)
	must.ErrorIs(t, *f.errs.Load(), lost)
	must.Eq(t, 0, s.Effect(effect(1))+s.Effect(effect(2)))

	must.Eq(t, sched.ResultOK, f.Call(t.Context(), order(3), nil).Result)
	f.clock.Store(int64(time.Hour))
	again := order(4)
	again.Idempotent = true // no lease needed
	must.Eq(t, sched.ResultOK, f.Call(t.Context(), again, nil).Result)
}

// Guards against a doubled execution by any layer of the client, and against a result that hides
// that the service may have executed.
func TestFailuresRunAtMostOnce(t *testing.T) {
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
		{"hang after", func() { s.HangAfterNext(1) }, sched.ResultTimeout, 0, 1},
		{"drop", func() { s.DropNext(1) }, sched.ResultFailed, 0, 0},
		{"lose", func() { s.LoseAnswers(1) }, sched.ResultFailed, 0, 1},
		{"fail after", func() { s.FailAfterNext(1) }, sched.ResultFailed, 500, 1},
		{"refuse", func() { s.RefuseNext(1, 503) }, sched.ResultRejected, 503, 0},
		{"limit", func() { s.RefuseNext(1, 429) }, sched.ResultRejected, 429, 0},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			// A connection that was used before is the one on which net/http would repeat a request.
			must.Eq(t, sched.ResultOK, f.Call(t.Context(), order(100+i), nil).Result)
			c.fault()
			d := order(i)
			d.Timeout = 200 * time.Millisecond
			fin := f.Call(t.Context(), d, nil)
			must.Eq(t, c.result, fin.Result)
			must.Eq(t, c.status, fin.Status)
			must.True(t, fin.Sent)
			must.Eq(t, c.executed, s.Effect(effect(i)))
		})
	}
	must.Eq(t, 0, len(s.Doubled()))
}

// Guards against "not sent" for a request that went out, and against "sent" for one that did not.
func TestSentIsHonest(t *testing.T) {
	checkGoroutines(t)
	s := servicestand.New(servicestand.Settings{Latency: 2 * time.Millisecond})
	f := newFixture(t, service.Config{}, s)
	for _, name := range []string{"nobody", "unlisted"} {
		d := order(1)
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
				fin := f.Call(ctx, order(n), nil)
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
	time.Sleep(100 * time.Millisecond) // a request that was written late would be executed by now
	must.Positive(t, len(notSent))
	must.Less(t, 8*150, len(notSent))
	for _, n := range notSent {
		must.Eq(t, 0, s.Effect(effect(n)))
	}
	must.Eq(t, 0, len(s.Doubled()))
}

// Guards against a business answer that is taken for a failure, a bare 503 that is taken for a
// refusal, answers of another request and answers above the bound.
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
		{200, string(order(1).Attempt), "ok", sched.ResultOK},
		{200, "", strings.Repeat("x", 11), sched.ResultFailed},
	} {
		status, header, body = c.status, c.header, c.body
		fin := f.Call(t.Context(), order(1), nil)
		must.Eq(t, c.want, fin.Result)
		must.True(t, fin.Sent)
	}
}

// Guards against a "no" for a request that was executed or that can still arrive.
func TestAsk(t *testing.T) {
	checkGoroutines(t)
	fences := servicestand.New(servicestand.Settings{CanBeAsked: true, AskFences: true})
	plain := servicestand.New(servicestand.Settings{CanBeAsked: true})
	f := newFixture(t, service.Config{}, fences, plain)
	fences.LoseAnswers(1)
	must.Eq(t, sched.ResultFailed, f.Call(t.Context(), order(1), nil).Result)
	asked, err := f.AskOutcome(t.Context(), "s1", order(1).Attempt)
	must.NoError(t, err)
	must.Eq(t, record.ExecutedYes, asked.Executed)
	must.Eq(t, `{"operation":"confirm","effect":"order 1","execution":1}`, string(asked.Body))

	asked, err = f.AskOutcome(t.Context(), "s1", order(2).Attempt)
	must.NoError(t, err)
	must.Eq(t, record.ExecutedNo, asked.Executed)
	must.Eq(t, sched.ResultRejected, f.Call(t.Context(), order(2), nil).Result) // arrives late
	must.Eq(t, 0, fences.Effect(effect(2)))

	asked, err = f.AskOutcome(t.Context(), "s2", order(3).Attempt)
	must.NoError(t, err)
	must.Eq(t, record.ExecutedUnknown, asked.Executed)
	_, err = f.AskOutcome(t.Context(), "nobody", order(3).Attempt)
	must.ErrorIs(t, err, service.ErrNoAnswer)

	asked, err = f.AskAllEndpoints(t.Context(), []string{"s2", "nobody", "s1"}, order(1).Attempt)
	must.NoError(t, err)
	must.Eq(t, record.ExecutedYes, asked.Executed)
	asked, err = f.AskAllEndpoints(t.Context(), []string{"s1", "nobody"}, order(4).Attempt)
	must.ErrorIs(t, err, service.ErrNoAnswer)
	must.Eq(t, record.ExecutedUnknown, asked.Executed)
	asked, err = f.AskAllEndpoints(t.Context(), []string{"s1"}, order(4).Attempt)
	must.NoError(t, err)
	must.Eq(t, record.ExecutedNo, asked.Executed)
}

// Guards against a faulty answer to a question that passes for an outcome.
func TestAskFaultyAnswers(t *testing.T) {
	checkGoroutines(t)
	body := ""
	f := newFixture(t, service.Config{}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, body) }))
	for _, body = range []string{"", "{}", `{"executed":"perhaps"}`, `{"executed":true}`} {
		asked, err := f.AskOutcome(t.Context(), "s1", order(1).Attempt)
		must.ErrorIs(t, err, service.ErrNoAnswer)
		must.Eq(t, record.ExecutedUnknown, asked.Executed)
	}
}
