// Package service is the client for plain services. A request is written at most once, and only
// while the lease holds if the operation may not be repeated.
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
	// defaultMaxAnswer leaves room for the other fields of an Outcome in one append.
	defaultMaxAnswer = 512 << 10
	defaultAsk       = 2 * time.Second
	// maxAskFactor times the bound of an answer is the bound of a question's answer, which holds
	// the recorded body in base64 and a few fields.
	maxAskFactor = 2

	fenceHeader   = "X-Fence"
	expiresHeader = "X-Expires"
)

// Errors of the client.
var (
	// ErrLeaseLapsed means that the lease ended before the request was written.
	ErrLeaseLapsed = errors.New("lease has lapsed")
	// ErrUnknownEndpoint means that the configuration has no URL for the endpoint.
	ErrUnknownEndpoint = errors.New("unknown endpoint")
	// ErrNoAnswer means that the service did not tell the outcome. Ask again.
	ErrNoAnswer = errors.New("service gave no usable answer")
)

// StatusError is a status from 500 or one that refuses the request.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("service answered status %d", e.Status) }

// Config sets up a Client. Zero values take the defaults.
type Config struct {
	HTTP *endpoint.Client
	// URL returns the base URL of an endpoint.
	URL func(name string) (base string, ok bool)
	// Now returns the monotonic time that NotAfter of a dispatch counts in.
	Now func() time.Duration
	// Failed is called with the cause of each attempt without an answer. It may be nil. The errors
	// carry nothing of the request's content.
	Failed func(attempt id.Attempt, err error)

	MaxAnswerBytes int64         // default 512 KiB
	AskTimeout     time.Duration // default 2 s
}

// Client calls services. It never repeats a request. It is safe for concurrent use.
type Client struct {
	cfg Config
}

// New returns a Client.
func New(cfg Config) *Client {
	if cfg.MaxAnswerBytes <= 0 {
		cfg.MaxAnswerBytes = defaultMaxAnswer
	}
	if cfg.AskTimeout <= 0 {
		cfg.AskTimeout = defaultAsk
	}
	return &Client{cfg: cfg}
}

// Call carries out a DispatchService and blocks until the attempt has ended. For an operation that
// is not idempotent, the lease is checked immediately before the first byte is written. lease is an
// additional check at that moment, for example of the present lease; it may be nil.
//
// Results: an answer below 500 that is not a refusal is ResultOK with its status and body, also a
// 4xx that the service decided on. ResultRejected: the service certainly ran nothing.
// ResultCanceled: ctx ended, or the lease had lapsed and Sent is false. ResultTimeout, ResultFailed:
// unknown if Sent.
func (c *Client) Call(ctx context.Context, d program.DispatchService, lease func() error) program.Finished {
	start := time.Now()
	fin := program.Finished{Attempt: d.Attempt}
	if d.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Timeout)
		defer cancel()
	}
	err := c.call(ctx, d, c.check(d, lease), &fin)
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

// check returns the check that runs before the first byte is written, or nil.
func (c *Client) check(d program.DispatchService, lease func() error) func() error {
	if d.Idempotent {
		return lease
	}
	return func() error {
		if now := c.cfg.Now(); now >= d.NotAfter {
			return fmt.Errorf("%w: %s ago", ErrLeaseLapsed, now-d.NotAfter)
		}
		if lease == nil {
			return nil
		}
		return lease()
	}
}

func (c *Client) call(ctx context.Context, d program.DispatchService, check func() error, fin *program.Finished) error {
	req, err := c.request(ctx, d)
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
	return judge(resp, fin)
}

// judge tells an answer of the service from a refusal and from a failure.
func judge(resp *http.Response, fin *program.Finished) error {
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

func (c *Client) request(ctx context.Context, d program.DispatchService) (*http.Request, error) {
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
		req.Header.Set(expiresHeader, strconv.FormatInt(c.expires(d).UnixMilli(), 10))
	}
	return req, nil
}

// expires returns the wall time at which the lease ends, for services that check it. A step of the
// wall clock shifts it; the check before the write does not depend on it.
func (c *Client) expires(d program.DispatchService) time.Time {
	return time.Now().Add(d.NotAfter - c.cfg.Now())
}
