package logservice

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	dialTimeout     = 2 * time.Second
	idleTimeout     = 30 * time.Second
	maxIdlePerHost  = 8
	maxErrorBytes   = 4 << 10
	maxHeaderBytes  = 64 << 10
	maxRetryAfter   = time.Minute
	maxAnswerFactor = 2 // base64 in JSON needs 4/3 of the data, the rest is for the fields around it
)

// NewHTTPClient returns an HTTP/1.1 client with bounded connections for the services of the
// platform. It follows no redirects. Requests are bounded by their context.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			MaxIdleConnsPerHost:    maxIdlePerHost,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// reply is the status, headers and whole body of an answer.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// do sends a request and reads the answer up to limit bytes. A dial failure is ErrOutage; any
// later failure is ErrUnknownResult, as the request may have been processed.
func do(client *http.Client, req *http.Request, limit int64) (reply, error) {
	resp, err := client.Do(req)
	if err != nil {
		return reply{}, transportError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return reply{}, transportError(err)
	}
	if int64(len(body)) > limit {
		return reply{}, fmt.Errorf("answer above %d bytes: %w", limit, ErrTooLarge)
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrOutage, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknownResult, err)
}

// statusError maps the statuses that all services of the platform share.
func statusError(r reply) error {
	switch r.status {
	case http.StatusTooManyRequests:
		return &RateLimitedError{RetryAfter: retryAfter(r.header)}
	case http.StatusServiceUnavailable:
		return ErrOutage
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	}
	if r.status >= http.StatusInternalServerError {
		return fmt.Errorf("%w: %w", ErrUnknownResult, &StatusError{Status: r.status})
	}
	return &StatusError{Status: r.status}
}

// retryAfter reads Retry-After in seconds. Decimals are accepted.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	if seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}

// sleep waits for d or until ctx ends. It reports whether the whole time passed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
