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
	dialTimeout       = 2 * time.Second
	idleTimeout       = 30 * time.Second
	maxIdlePerHost    = 8           // connections
	maxErrorBytes     = 4 << 10     // response body where only a short one is expected
	maxHeaderBytes    = 64 << 10    // response headers
	maxRetryAfter     = time.Minute // upper bound for Retry-After of a service
	maxResponseFactor = 2           // base64 in JSON needs 4/3 of the data; the rest is for the other JSON fields
)

// NewHTTPClient returns an HTTP/1.1 client for the services of the platform. It bounds idle connections
// and response headers and follows no redirects. It has no timeout for a whole request: callers set
// one in the context.
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

// response is the status, headers and complete body of an HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// do sends a request and reads the response. A body above limit bytes is ErrTooLarge. A dial failure
// is ErrOutage; any later failure is ErrUnknownResult, as the service may have processed the request.
func do(client *http.Client, req *http.Request, limit int64) (response, error) {
	resp, err := client.Do(req)
	if err != nil {
		return response{}, transportError(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return response{}, transportError(err)
	}
	if int64(len(body)) > limit {
		return response{}, fmt.Errorf("response body exceeds %d bytes: %w", limit, ErrTooLarge)
	}
	return response{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrOutage, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknownResult, err)
}

// statusError maps the statuses that all services of the platform share to errors. A status of 500 or
// above other than 503 is ErrUnknownResult, as the service may have processed the request.
func statusError(r response) error {
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

// retryAfter returns the delay of the Retry-After header, at most maxRetryAfter. The value is in
// seconds and may have decimals. It returns 0 when the header is missing or not a positive number.
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

// sleep waits for d or until ctx is done. It reports whether all of d has passed.
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
