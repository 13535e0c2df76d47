package endpoint

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/sched"
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

func newClient(t *testing.T) *Client {
	c := New(Options{})
	t.Cleanup(c.Close)
	return c
}

func post(t *testing.T, ctx context.Context, url string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(`{"a":1}`))
	must.NoError(t, err)
	req.Header.Set("Idempotency-Key", "k") // makes net/http treat the request as safe to retry
	return req
}

// answerThenDrop starts a server that answers the first request of each connection and closes the
// connection after it has read the second one. It returns the URL and counts the requests read.
func answerThenDrop(t *testing.T, count *atomic.Int64) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				r := bufio.NewReader(nc)
				for i := range 2 {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					count.Add(1)
					if i == 0 {
						_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// Guards against net/http writing a request a second time when a reused connection breaks after the
// first write. A plain http.Client proves that the setup triggers this: it does write twice.
func TestRequestIsWrittenOnce(t *testing.T) {
	checkGoroutines(t)
	var count atomic.Int64
	url := answerThenDrop(t, &count)

	plain := &http.Client{Transport: &http.Transport{}}
	defer plain.CloseIdleConnections()
	for range 2 {
		resp, err := plain.Do(post(t, t.Context(), url))
		must.NoError(t, err)
		resp.Body.Close()
	}
	must.Eq(t, 3, count.Load())

	count.Store(0)
	c := newClient(t)
	resp, sent, err := c.Send(post(t, t.Context(), url), nil)
	must.NoError(t, err)
	must.True(t, sent)
	resp.Body.Close()
	_, sent, err = c.Send(post(t, t.Context(), url), nil)
	must.Error(t, err)
	must.True(t, sent)
	must.Eq(t, 2, count.Load())
	must.Eq(t, sched.ResultFailed, ResultOf(t.Context(), err))

	count.Store(0)
	for range 2 { // a GET changes nothing, so it is retried on a new connection
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
		must.NoError(t, err)
		resp, _, err := c.Send(req, nil)
		must.NoError(t, err)
		resp.Body.Close()
	}
	must.Eq(t, 3, count.Load())
}

// Guards against a request that is written although the check failed, on a new or on a reused
// connection, and against a check that runs before the connection is established.
func TestCheckRunsBeforeWrite(t *testing.T) {
	checkGoroutines(t)
	var count, opened atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { count.Add(1) }))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	c := newClient(t)
	lapsed := errors.New("lease lapsed")
	deny := func() error { return lapsed }
	allow := func() error { return nil }

	_, sent, err := c.Send(post(t, t.Context(), server.URL), deny)
	must.ErrorIs(t, err, lapsed)
	must.False(t, sent)
	must.Eq(t, sched.ResultCanceled, ResultOf(t.Context(), err))
	for deadline := time.Now().Add(5 * time.Second); opened.Load() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond) // the server may accept the connection after Send has returned
	}
	must.Eq(t, 1, opened.Load())

	resp, sent, err := c.Send(post(t, t.Context(), server.URL), allow)
	must.NoError(t, err)
	must.True(t, sent)
	resp.Body.Close()
	_, sent, err = c.Send(post(t, t.Context(), server.URL), deny)
	must.ErrorIs(t, err, lapsed)
	must.False(t, sent)
	must.Eq(t, 1, count.Load())
}

// Guards against a failed dial that is reported as sent, and against a request without an answer that
// is reported as not sent.
func TestSentIsAccurate(t *testing.T) {
	checkGoroutines(t)
	c := newClient(t)
	_, sent, err := c.Send(post(t, t.Context(), "http://127.0.0.1:1"), nil)
	must.Error(t, err)
	must.False(t, sent)
	must.Eq(t, sched.ResultFailed, ResultOf(t.Context(), err))

	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(release) })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, sent, err = c.Send(post(t, ctx, server.URL), nil)
	must.Error(t, err)
	must.True(t, sent)
	must.Eq(t, sched.ResultTimeout, ResultOf(ctx, err))

	ctx, cancel = context.WithCancel(t.Context())
	cancel()
	_, sent, err = c.Send(post(t, ctx, server.URL), nil)
	must.False(t, sent)
	must.Eq(t, sched.ResultCanceled, ResultOf(ctx, err))
}

// Guards against a request that is written after Send reported it as not sent: http.Client.Do
// returns on a cancellation before the transport has written the request.
func TestNotSentMeansNeverSent(t *testing.T) {
	checkGoroutines(t)
	var mu sync.Mutex
	arrived := make(map[string]bool)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		arrived[r.URL.Path] = true
	}))
	t.Cleanup(server.Close)
	c := newClient(t)
	var notSent []string
	for i := range 3000 {
		ctx, cancel := context.WithCancel(t.Context())
		timer := time.AfterFunc(time.Duration(i%150)*time.Microsecond, cancel)
		path := "/" + strconv.Itoa(i)
		resp, sent, err := c.Send(post(t, ctx, server.URL+path), nil)
		if err == nil {
			resp.Body.Close()
		}
		if !sent {
			notSent = append(notSent, path)
		}
		timer.Stop()
		cancel()
	}
	time.Sleep(50 * time.Millisecond)
	mu.Lock()
	defer mu.Unlock()
	must.Positive(t, len(notSent))
	must.Less(t, 3000, len(notSent))
	for _, path := range notSent {
		must.False(t, arrived[path])
	}
}

// Guards against writes after Send has reported "not sent", and against second writes, in an order of
// events that rarely occurs in a test with sockets.
func TestWritePermit(t *testing.T) {
	first, second := &conn{}, &conn{}
	p := &writePermit{}
	must.False(t, p.close())
	must.ErrorIs(t, p.beginWrite(first), errAbandoned)

	p = &writePermit{}
	must.NoError(t, p.beginWrite(first))
	must.True(t, p.close()) // the write is in progress
	must.ErrorIs(t, p.beginWrite(second), ErrSecondWrite)

	checks := 0
	p = &writePermit{check: func() error { checks++; return nil }}
	must.NoError(t, p.beginWrite(first))
	p.endWrite(0) // the reused connection was closed already
	must.NoError(t, p.beginWrite(second))
	p.endWrite(3)
	must.NoError(t, p.beginWrite(second))
	p.endWrite(3)
	must.Eq(t, 2, checks)
	must.ErrorIs(t, p.beginWrite(first), ErrSecondWrite)
	must.True(t, p.close())
}

// Guards against a check that is bypassed over TLS, where net/http passes a *tls.Conn instead of the
// conn that holds the permit.
func TestCheckOverTLS(t *testing.T) {
	checkGoroutines(t)
	var count atomic.Int64
	server := httptest.NewTLSServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { count.Add(1) }))
	t.Cleanup(server.Close)
	roots := x509.NewCertPool()
	roots.AddCert(server.Certificate())
	c := New(Options{TLS: &tls.Config{RootCAs: roots}})
	t.Cleanup(c.Close)
	lapsed := errors.New("lease lapsed")
	for range 2 {
		_, sent, err := c.Send(post(t, t.Context(), server.URL), func() error { return lapsed })
		must.ErrorIs(t, err, lapsed)
		must.False(t, sent)
		must.Eq(t, 0, count.Load())
	}
	for range 2 {
		resp, sent, err := c.Send(post(t, t.Context(), server.URL), func() error { return nil })
		must.NoError(t, err)
		must.True(t, sent)
		must.Eq(t, 1, resp.ProtoMajor)
		resp.Body.Close()
	}
	_, sent, err := c.Send(post(t, t.Context(), server.URL), func() error { return lapsed })
	must.ErrorIs(t, err, lapsed)
	must.False(t, sent)
	must.Eq(t, 2, count.Load())
}

// Guards against connections that are not reused, and against a redirect that sends a request to
// another endpoint.
func TestReuseAndRedirect(t *testing.T) {
	checkGoroutines(t)
	var opened atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	c := newClient(t)
	for range 10 {
		resp, _, err := c.Send(post(t, t.Context(), server.URL), nil)
		must.NoError(t, err)
		must.Eq(t, http.StatusTemporaryRedirect, resp.StatusCode)
		_, err = ReadBody(resp.Body, 1<<10)
		must.NoError(t, err)
		resp.Body.Close()
	}
	must.Eq(t, 1, opened.Load())
}

// Guards against unbounded memory use on an endless answer.
func TestReadBodyIsBounded(t *testing.T) {
	_, err := ReadBody(strings.NewReader("12345"), 4)
	must.ErrorIs(t, err, ErrTooLarge)
	data, err := ReadBody(strings.NewReader("1234"), 4)
	must.NoError(t, err)
	must.Eq(t, 4, len(data))
}

// Guards against a request that counts as not executed although its answer does not guarantee that.
func TestNotExecuted(t *testing.T) {
	no := http.Header{ExecutedHeader: {"no"}}
	must.True(t, NotExecuted(http.StatusTooManyRequests, http.Header{}))
	must.True(t, NotExecuted(http.StatusServiceUnavailable, no))
	must.False(t, NotExecuted(http.StatusServiceUnavailable, http.Header{}))
	must.False(t, NotExecuted(http.StatusOK, no))
	must.ErrorIs(t, CheckRequestID(http.Header{RequestIDHeader: {"b"}}, "a"), ErrRequestIDMismatch)
	must.NoError(t, CheckRequestID(http.Header{RequestIDHeader: {"a"}}, "a"))
	must.NoError(t, CheckRequestID(http.Header{}, "a"))
}
