package logservice_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"ragwortstile/internal/logservice"
	"ragwortstile/internal/standin/logstand"
)

// checkGoroutines fails the test when goroutines are left after all other cleanups. It must be called first,
// as cleanups run in reverse order.
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

// serve starts a server for h on the loopback interface and returns its URL and a client.
func serve(t *testing.T, h http.Handler) (string, *http.Client) {
	t.Helper()
	server := httptest.NewServer(h)
	client := logservice.NewHTTPClient()
	t.Cleanup(func() {
		client.CloseIdleConnections()
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL, client
}

func startLog(t *testing.T, s logstand.Settings) (*logstand.Log, *logservice.LogClient) {
	t.Helper()
	l := logstand.New(s)
	t.Cleanup(l.Close)
	base, client := serve(t, l)
	return l, logservice.NewLogClient(base, client)
}

// run runs f, a Serve method, and returns a function that stops it. It is also stopped when the test ends.
func run(t *testing.T, f func(context.Context) error) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}

// eventually waits for a condition and fails the test when it does not hold within 10 s.
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

// collector collects values from several goroutines.
type collector[T any] struct {
	mu  sync.Mutex
	all []T
}

func (l *collector[T]) add(v T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, v)
}

func (l *collector[T]) get() []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]T(nil), l.all...)
}
