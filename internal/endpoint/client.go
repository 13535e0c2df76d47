package endpoint

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"ragwortstile/internal/sched"
)

const (
	defaultDialTimeout = 2 * time.Second
	defaultMaxIdle     = 64
	// idleTimeout is below the 60 s after which servers commonly close an idle connection, so that
	// a request is seldom written to a connection that the server is just closing.
	idleTimeout    = 20 * time.Second
	maxHeaderBytes = 64 << 10
)

// ErrTooLarge means that an answer is above its bound.
var ErrTooLarge = errors.New("answer is too large")

// Options sets up a Client. Zero values take the defaults.
type Options struct {
	DialTimeout    time.Duration // default 2 s
	MaxIdlePerHost int           // idle connections kept per endpoint; default 64
	TLS            *tls.Config   // for https URLs; nil: the system's roots
}

// Client sends requests over HTTP/1.1 and reuses connections. It follows no redirects, uses no
// proxy and writes each request other than a GET at most once. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a Client.
func New(o Options) *Client {
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.MaxIdlePerHost <= 0 {
		o.MaxIdlePerHost = defaultMaxIdle
	}
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: nc}, nil
		},
		TLSClientConfig:        o.TLS,
		TLSHandshakeTimeout:    o.DialTimeout,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{}, // no HTTP/2: it retries by its own rules
		MaxIdleConnsPerHost:    o.MaxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true, // streams are relayed byte by byte
	}
	return &Client{http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Send writes a request once and returns the answer's head. A GET without a body may be written again
// when a reused connection turns out to be closed. The check, if not nil, runs immediately
// before the first byte is written; its error prevents the write and comes back in a
// NotAllowedError. sent is false only when it is certain that no byte reached the endpoint.
func (c *Client) Send(req *http.Request, check func() error) (resp *http.Response, sent bool, err error) {
	a := &attempt{check: check, safe: req.Method == http.MethodGet}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if gc := unwrap(info.Conn); gc != nil {
			gc.attempt.Store(a)
		}
	}}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err = c.http.Do(req)
	if err == nil {
		return resp, true, nil
	}
	sent = a.end()
	if denied := a.denial(); denied != nil {
		return nil, sent, denied
	}
	return nil, sent, err
}

// ReadBody reads a body of at most limit bytes. It fails with ErrTooLarge above it.
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("above %d bytes: %w", limit, ErrTooLarge)
	}
	return data, nil
}

// ResultOf maps an error of an attempt. A failed check counts as canceled by the owner, because it
// tells nothing about the endpoint.
func ResultOf(ctx context.Context, err error) sched.Result {
	var denied *NotAllowedError
	var timeout net.Error
	switch {
	case errors.As(err, &denied):
		return sched.ResultCanceled
	case errors.Is(context.Cause(ctx), context.Canceled):
		return sched.ResultCanceled
	case ctx.Err() != nil, errors.Is(err, context.DeadlineExceeded):
		return sched.ResultTimeout
	case errors.As(err, &timeout) && timeout.Timeout():
		return sched.ResultTimeout
	default:
		return sched.ResultFailed
	}
}

// ExecutedHeader is the header by which an endpoint says that it refused before it ran anything.
const ExecutedHeader = "X-Executed"

// NotExecuted reports whether an answer is a certain refusal: 429, or any status from 400 with
// X-Executed: no. A bare 503 is none, since it may come after a part of the work.
func NotExecuted(status int, h http.Header) bool {
	if status == http.StatusTooManyRequests {
		return true
	}
	return status >= http.StatusBadRequest && h.Get(ExecutedHeader) == "no"
}

// RequestIDHeader carries the attempt ID.
const RequestIDHeader = "X-Request-Id"

// ErrRequestIDMismatch means that an answer carries the request ID of another attempt.
var ErrRequestIDMismatch = errors.New("answer belongs to another request")

// CheckRequestID fails with ErrWrongAnswer when an answer names another request.
func CheckRequestID(h http.Header, want string) error {
	if got := h.Get(RequestIDHeader); got != "" && got != want {
		return fmt.Errorf("answer for %s to %s: %w", strconv.Quote(got), want, ErrRequestIDMismatch)
	}
	return nil
}
