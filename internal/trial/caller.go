package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"ragwortstile/internal/id"
)

const (
	// retryDelay is the time before a retry if the response has no Retry-After header.
	retryDelay = 100 * time.Millisecond
	// maxRetryDelay is the longest time that a Retry-After header can delay a retry.
	maxRetryDelay = time.Second
)

// Problem is the body of an error response (application/problem+json).
type Problem struct {
	Type     string `json:"type"`
	Status   int    `json:"status"`
	Detail   string `json:"detail"`
	Executed string `json:"executed"`
	Place    string `json:"place"` // path of the invalid value in the request; empty: none

	RetryAfter time.Duration `json:"-"` // from the Retry-After header; 0: none
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("status %d %s, executed %s: %s", p.Status, p.Code(), p.Executed, p.Detail)
}

// Code returns the short code of the problem: the part of Type after the last colon.
func (p *Problem) Code() string { return p.Type[strings.LastIndexByte(p.Type, ':')+1:] }

// Caller makes calls with the bearer key of a team. It retries a call with the same idempotency key at
// the next instance until it gets an answer or an error that a retry cannot change.
type Caller struct {
	Key      string
	BaseURLs func() []string // base URLs of the instances behind the load balancer; called before each request

	client  *http.Client
	next    atomic.Uint64
	retries atomic.Int64
}

// NewCaller returns a Caller for a bearer key and a function that lists the instances.
func NewCaller(key string, baseURLs func() []string) *Caller {
	return &Caller{Key: key, BaseURLs: baseURLs, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// Retries returns how many retries the caller has sent.
func (c *Caller) Retries() int64 { return c.retries.Load() }

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Answer is the answer to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Once sends one request to one instance, without retries. An error response is returned as a *Problem.
func (c *Caller) Once(ctx context.Context, base, method, path, key string, body []byte, header http.Header) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{Status: resp.StatusCode, Header: resp.Header, Body: data}, err
	}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		return Answer{}, readProblem(resp, data)
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: data}, nil
}

func readProblem(resp *http.Response, data []byte) error {
	p := &Problem{Status: resp.StatusCode}
	if err := json.Unmarshal(data, p); err != nil {
		return fmt.Errorf("status %d with an unreadable problem: %w", resp.StatusCode, err)
	}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		p.RetryAfter = time.Duration(s * float64(time.Second))
	}
	return p
}

// ErrStreamCut means that an event stream ended without its closing [DONE] event.
var ErrStreamCut = errors.New("the stream ended before its closing event")

// Do sends a request with an idempotency key until it gets an answer, to the next instance each time. It
// returns at once on an error that a retry cannot change.
func (c *Caller) Do(ctx context.Context, method, path, key string, body []byte, header http.Header) (Answer, error) {
	for try := 0; ; try++ {
		baseURLs := c.BaseURLs()
		if len(baseURLs) == 0 {
			return Answer{}, errors.New("no instance is running")
		}
		a, err := c.Once(ctx, baseURLs[int(c.next.Add(1))%len(baseURLs)], method, path, key, body, header)
		if err == nil && isStream(a) && !bytes.Contains(a.Body, []byte("data: [DONE]")) {
			err = ErrStreamCut
		}
		if err == nil || !retryable(err) {
			return a, err
		}
		if ctx.Err() != nil {
			return a, fmt.Errorf("after %d retries: %w", try, err)
		}
		c.retries.Add(1)
		waitBeforeRetry(ctx, err)
	}
}

func isStream(a Answer) bool { return a.Header.Get("Content-Type") == "text/event-stream" }

func waitBeforeRetry(ctx context.Context, err error) {
	delay := retryDelay
	var p *Problem
	if errors.As(err, &p) && p.RetryAfter > 0 {
		delay = min(p.RetryAfter, maxRetryDelay)
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// retryable reports whether the same request can succeed later.
func retryable(err error) bool {
	var p *Problem
	if !errors.As(err, &p) {
		return true // transport error, truncated stream or unreadable problem
	}
	if p.Code() == "outcome_unknown" {
		return false // the caller must look up and report whether the call was executed
	}
	return p.Status == http.StatusServiceUnavailable || p.Status == http.StatusTooManyRequests ||
		p.Status == http.StatusBadGateway || p.Status == http.StatusGatewayTimeout
}

// Open starts a program and returns its ID.
func (c *Caller) Open(ctx context.Context, duty, key string) (id.Program, error) {
	return c.OpenWith(ctx, key, map[string]any{"duty": duty})
}

// OpenWith starts a program with a request body.
func (c *Caller) OpenWith(ctx context.Context, key string, body any) (id.Program, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return "", err
	}
	a, err := c.Do(ctx, http.MethodPost, "/v1/programs", key, data, nil)
	if err != nil {
		return "", err
	}
	var opened struct {
		ID id.Program `json:"id"`
	}
	if err := json.Unmarshal(a.Body, &opened); err != nil {
		return "", err
	}
	return opened.ID, nil
}

// Branch starts a branch of a program, which holds the calls of a sub-agent.
func (c *Caller) Branch(ctx context.Context, p id.Program, name, key string) error {
	body := fmt.Sprintf(`{"name":%q}`, name)
	_, err := c.Do(ctx, http.MethodPost, "/v1/programs/"+string(p)+"/branches", key, []byte(body), nil)
	return err
}

// ModelCall is a chat completion whose message is appended to the recorded history of its branch.
type ModelCall struct {
	Program   id.Program
	Branch    string // empty: main
	Key       string // idempotency key
	Model     string
	Message   string // content of the user message
	MaxTokens int64
	Stream    bool
}

// Path returns the URL path of the request.
func (m ModelCall) Path() string { return callPath(m.Program, m.Branch) + "/chat/completions" }

// Body returns the JSON body of the request.
func (m ModelCall) Body() []byte {
	data, err := json.Marshal(map[string]any{
		"model": m.Model, "stream": m.Stream, "max_tokens": m.MaxTokens,
		"messages": []map[string]string{{"role": "user", "content": m.Message}},
	})
	if err != nil {
		panic(err) // strings, numbers and booleans always encode
	}
	return data
}

// AppendHistory returns the header of a call whose messages are appended to the recorded history.
func AppendHistory() http.Header { return http.Header{"X-History": {"append"}} }

// Model makes a chat completion.
func (c *Caller) Model(ctx context.Context, m ModelCall) (Answer, error) {
	return c.Do(ctx, http.MethodPost, m.Path(), m.Key, m.Body(), AppendHistory())
}

// Service calls an operation of a service.
func (c *Caller) Service(ctx context.Context, p id.Program, branch, key, service, operation string, body []byte) (Answer, error) {
	return c.Do(ctx, http.MethodPost, callPath(p, branch)+"/services/"+service+"/"+operation, key, body, nil)
}

// End ends a program.
func (c *Caller) End(ctx context.Context, p id.Program) error {
	_, err := c.Do(ctx, http.MethodDelete, "/v1/programs/"+string(p), "", nil, nil)
	return err
}

// History returns the recorded messages of a branch.
func (c *Caller) History(ctx context.Context, p id.Program, branch string) ([]json.RawMessage, error) {
	if branch == "" {
		branch = id.MainBranch
	}
	a, err := c.Do(ctx, http.MethodGet, "/v1/programs/"+string(p)+"/history?branch="+branch, "", nil, nil)
	if err != nil {
		return nil, err
	}
	var h struct {
		Messages []json.RawMessage `json:"messages"`
	}
	return h.Messages, json.Unmarshal(a.Body, &h)
}

// Settle reports whether a call with an unknown outcome was executed: "yes" or "no".
func (c *Caller) Settle(ctx context.Context, p id.Program, key, executed string) error {
	_, err := c.Do(ctx, http.MethodPost, "/v1/programs/"+string(p)+"/calls/"+key+"/settle", "",
		[]byte(`{"executed":"`+executed+`"}`), nil)
	return err
}

func callPath(p id.Program, branch string) string {
	if branch == "" {
		return "/v1/programs/" + string(p)
	}
	return "/v1/programs/" + string(p) + "/branches/" + branch
}
