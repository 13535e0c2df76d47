// Package service is the client for the services that programs call beside model engines. Client.Call
// sends a request at most once and, if the operation is not idempotent, only while the lease of the
// slot is valid. Client.AskOutcome asks a service whether it executed an earlier request.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"ragwortstile/internal/endpoint"
	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/sched"
)

const (
	// defaultMaxAnswerBytes is the size limit of an answer. An Outcome record with an answer of this size
	// still fits into one append to the log.
	defaultMaxAnswerBytes = 512 << 10
	defaultAskTimeout     = 2 * time.Second
	// outcomeSizeFactor times MaxAnswerBytes is the size limit of an OutcomeResponse, which carries the
	// body of an answer in base64 and a few other fields.
	outcomeSizeFactor = 2

	fenceHeader   = "X-Fence"
	expiresHeader = "X-Expires"
)

// Errors of the client.
var (
	// ErrLeaseLapsed means that the lease expired before the request was written: NotAfter of the dispatch
	// had passed. It does not cover the checkLease function of Call, which returns errors of its own, such
	// as errLeaseLapsed of package server.
	ErrLeaseLapsed = errors.New("lease has lapsed")
	// ErrUnknownEndpoint means that the configuration has no URL for the endpoint.
	ErrUnknownEndpoint = errors.New("unknown endpoint")
	// ErrNoAnswer means that the service did not report the outcome. The caller may ask again.
	ErrNoAnswer = errors.New("service gave no usable answer")
)

// StatusError is an HTTP status that does not count as an answer: a refusal, a redirect, 408, or 500
// and above.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("service answered status %d", e.Status) }

// Config sets up a Client. Zero values take the defaults.
type Config struct {
	HTTP *endpoint.Client
	// URL returns the base URL of an endpoint.
	URL func(name string) (base string, ok bool)
	// Now returns the monotonic time on whose scale DispatchService.NotAfter is.
	Now func() time.Duration
	// Failed is called with the cause of each attempt that got no answer. It may be nil. The errors
	// contain nothing of the content of requests.
	Failed func(attempt id.Attempt, err error)

	MaxAnswerBytes int64         // default 512 KiB
	AskTimeout     time.Duration // default 2 s
}

// Client calls services. It never retries a call. It is safe for concurrent use.
type Client struct {
	cfg Config
}

// New returns a Client.
func New(cfg Config) *Client {
	if cfg.MaxAnswerBytes <= 0 {
		cfg.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if cfg.AskTimeout <= 0 {
		cfg.AskTimeout = defaultAskTimeout
	}
	return &Client{cfg: cfg}
}

// Call sends the request of a DispatchService and blocks until the attempt has ended. For an operation
// that is not idempotent, d.NotAfter is checked immediately before the first byte is written.
// checkLease is an additional check at that moment, for example of the current lease; it may be nil.
//
// Results:
//   - ResultOK: the service answered below 500, also with a 4xx that is not a refusal. Status and Body are set.
//   - ResultRejected: the service certainly executed nothing.
//   - ResultCanceled: ctx was canceled, or the lease had lapsed. In the second case Sent is false.
//   - ResultTimeout, ResultFailed: if Sent is true, it is unknown whether the service executed the
//     request.
func (c *Client) Call(ctx context.Context, d program.DispatchService, checkLease func() error) program.Finished {
	start := time.Now()
	fin := program.Finished{Attempt: d.Attempt}
	if d.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Timeout)
		defer cancel()
	}
	err := c.call(ctx, d, c.writeCheck(d, checkLease), &fin)
	fin.Total = time.Since(start)
	fin.FirstToken = fin.Total
	if err == nil {
		fin.Result = sched.ResultOK
		return fin
	}
	if fin.Result == 0 {
		fin.Result = endpoint.ResultOf(ctx, err)
	}
	if c.cfg.Failed != nil {
		c.cfg.Failed(d.Attempt, err)
	}
	return fin
}

// writeCheck returns the check that runs immediately before the first byte is written, or nil.
func (c *Client) writeCheck(d program.DispatchService, checkLease func() error) func() error {
	if d.Idempotent {
		return checkLease
	}
	return func() error {
		if now := c.cfg.Now(); now >= d.NotAfter {
			return fmt.Errorf("%w: %s ago", ErrLeaseLapsed, now-d.NotAfter)
		}
		if checkLease == nil {
			return nil
		}
		return checkLease()
	}
}

func (c *Client) call(ctx context.Context, d program.DispatchService, check func() error, fin *program.Finished) error {
	req, err := c.newRequest(ctx, d)
	if err != nil {
		fin.Result = sched.ResultRejected
		return err
	}
	resp, sent, err := c.cfg.HTTP.Send(req, check)
	fin.Sent = sent
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := endpoint.CheckRequestID(resp.Header, string(d.Attempt)); err != nil {
		return err
	}
	fin.Status = resp.StatusCode
	body, err := endpoint.ReadBody(resp.Body, c.cfg.MaxAnswerBytes)
	if err != nil {
		return err
	}
	fin.Body = body
	return checkStatus(resp, fin)
}

// checkStatus returns nil for an answer of the service. For a refusal or a failure it sets the result
// and returns a StatusError.
func checkStatus(resp *http.Response, fin *program.Finished) error {
	status := resp.StatusCode
	switch {
	case endpoint.NotExecuted(status, resp.Header):
		fin.Result = sched.ResultRejected
	case status >= 300 && status < 400, status == http.StatusRequestTimeout, status >= 500:
		fin.Result = sched.ResultFailed
	default:
		return nil
	}
	return &StatusError{Status: status}
}

func (c *Client) newRequest(ctx context.Context, d program.DispatchService) (*http.Request, error) {
	base, ok := c.cfg.URL(d.Endpoint)
	if !ok {
		return nil, fmt.Errorf("%s: %w", d.Endpoint, ErrUnknownEndpoint)
	}
	u := strings.TrimRight(base, "/") + "/" + url.PathEscape(d.Operation)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, bytes.NewReader(d.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(endpoint.RequestIDHeader, string(d.Attempt))
	req.Header.Set(fenceHeader, strconv.FormatUint(uint64(d.Epoch), 10))
	if !d.Idempotent {
		req.Header.Set(expiresHeader, strconv.FormatInt(c.leaseExpiry(d).UnixMilli(), 10))
	}
	return req, nil
}

// leaseExpiry returns the wall-clock time at which the lease expires, for services that check it. A
// step of the wall clock shifts it; the check before the write uses the monotonic clock instead.
func (c *Client) leaseExpiry(d program.DispatchService) time.Time {
	return time.Now().Add(d.NotAfter - c.cfg.Now())
}
