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
	"ragwortstile/internal/upstream"
)

const (
	defaultDialTimeout    = 2 * time.Second
	defaultMaxIdlePerHost = 64 // connections
	// idleTimeout is below the 60 s after which servers commonly close an idle connection, so
	// that requests are rarely written to a connection that the server is closing.
	idleTimeout    = 20 * time.Second
	maxHeaderBytes = 64 << 10
)

// ErrStatusLine means that the status line of an answer is not one of HTTP/1.x.
var ErrStatusLine = errors.New("answer has no valid status line")

// ErrTooLarge means that an answer exceeds its size limit.
var ErrTooLarge = errors.New("answer is too large")

// Options sets up a Client. Zero values take the defaults.
type Options struct {
	DialTimeout    time.Duration // default 2 s
	MaxIdlePerHost int           // idle connections kept per endpoint; default 64
	TLS            *tls.Config   // for https URLs; nil: the system's roots
}

// Client sends requests over HTTP/1.1 and reuses connections. It follows no redirects, uses no proxy
// and writes each request other than a GET at most once. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a Client.
func New(o Options) *Client {
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.MaxIdlePerHost <= 0 {
		o.MaxIdlePerHost = defaultMaxIdlePerHost
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
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{}, // disables HTTP/2, which has its own retries
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

// Send writes a request once and returns the response when its header has arrived. A GET without a
// body may be written again when a reused connection turns out to be closed. The check, if not nil,
// runs immediately before the first byte is written; its error prevents the write and is returned in
// a NotAllowedError. sent is false only when it is certain that no byte reached the endpoint. An answer without a valid
// status line is an ErrStatusLine.
func (c *Client) Send(req *http.Request, check func() error) (resp *http.Response, sent bool, err error) {
	permit := &writePermit{check: check, mayRewrite: req.Method == http.MethodGet}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if nc := trackedConn(info.Conn); nc != nil {
			nc.permit.Store(permit)
		}
	}}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err = c.http.Do(req)
	if err == nil {
		if resp.ProtoMajor != 1 || !upstream.ValidStatus(resp.StatusCode) {
			_ = resp.Body.Close() // the answer is not used
			return nil, true, fmt.Errorf("%w: HTTP/%d.%d, status %d", ErrStatusLine, resp.ProtoMajor, resp.ProtoMinor, resp.StatusCode)
		}
		return resp, true, nil
	}
	sent = permit.close()
	if denied := permit.checkError(); denied != nil {
		return nil, sent, denied
	}
	return nil, sent, err
}

// ReadBody reads a whole body. It fails with ErrTooLarge if the body is longer than limit bytes.
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

// ResultOf maps the error of an attempt to its result. A failed check maps to ResultCanceled, because
// it says nothing about the health of the endpoint.
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

// ExecutedHeader is the response header whose value "no" says that the endpoint refused the request
// before it executed any part of it.
const ExecutedHeader = "X-Executed"

// NotExecuted reports whether an answer guarantees that the endpoint executed nothing: 429, or any
// status from 400 with X-Executed: no. A 503 without the header gives no such guarantee, since it may
// be sent after a part of the work.
func NotExecuted(status int, h http.Header) bool {
	if status == http.StatusTooManyRequests {
		return true
	}
	return status >= http.StatusBadRequest && h.Get(ExecutedHeader) == "no"
}

// RequestIDHeader carries the attempt ID in requests. Endpoints may repeat it in their answers.
const RequestIDHeader = "X-Request-Id"

// ErrRequestIDMismatch means that an answer carries the request ID of another attempt.
var ErrRequestIDMismatch = errors.New("answer carries the ID of another request")

// CheckRequestID fails with ErrRequestIDMismatch if an answer has a request ID other than want.
func CheckRequestID(h http.Header, want string) error {
	if got := h.Get(RequestIDHeader); got != "" && got != want {
		return fmt.Errorf("answer with request ID %s to request %s: %w", strconv.Quote(got), want, ErrRequestIDMismatch)
	}
	return nil
}
