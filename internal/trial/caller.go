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
	// retryPause is the time between repeats of a call when the refusal names none.
	retryPause = 100 * time.Millisecond
	// maxRetryPause bounds how long a caller waits because a refusal says so.
	maxRetryPause = time.Second
)

// Problem is a refusal as callers see it.
type Problem struct {
	Type     string `json:"type"`
	Status   int    `json:"status"`
	Detail   string `json:"detail"`
	Executed string `json:"executed"`
	Place    string `json:"place"`

	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("status %d %s, executed %s: %s", p.Status, p.Code(), p.Executed, p.Detail)
}

// Code returns the short code of the problem.
func (p *Problem) Code() string { return p.Type[strings.LastIndexByte(p.Type, ':')+1:] }

// Caller makes calls with a team's key. It repeats a call under its key at the next instance until
// it has a certain answer.
type Caller struct {
	Key      string
	BaseURLs func() []string // base URLs of the instances behind the balancer

	client  *http.Client
	next    atomic.Uint64
	repeats atomic.Int64
}

// NewCaller returns a caller.
func NewCaller(key string, bases func() []string) *Caller {
	return &Caller{Key: key, BaseURLs: bases, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// Retries returns how many times a call was sent again.
func (c *Caller) Retries() int64 { return c.repeats.Load() }

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Answer is the answer to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Once sends one request to one instance. A refusal is returned as a *Problem.
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

// ErrStreamCut means that a stream ended without its closing event.
var ErrStreamCut = errors.New("the stream ended before its closing event")

// Do sends a request under a key until it gets an answer, at another instance each time. It stops
// at refusals that a repeat does not change.
func (c *Caller) Do(ctx context.Context, method, path, key string, body []byte, header http.Header) (Answer, error) {
	for try := 0; ; try++ {
		bases := c.BaseURLs()
		if len(bases) == 0 {
			return Answer{}, errors.New("no instance is known")
		}
		a, err := c.Once(ctx, bases[int(c.next.Add(1))%len(bases)], method, path, key, body, header)
		if err == nil && isStream(a) && !bytes.Contains(a.Body, []byte("data: [DONE]")) {
			err = ErrStreamCut
		}
		if err == nil || !repeatable(err) {
			return a, err
		}
		if ctx.Err() != nil {
			return a, fmt.Errorf("after %d repeats: %w", try, err)
		}
		c.repeats.Add(1)
		wait(ctx, err)
	}
}

func isStream(a Answer) bool { return a.Header.Get("Content-Type") == "text/event-stream" }

func wait(ctx context.Context, err error) {
	pause := retryPause
	var p *Problem
	if errors.As(err, &p) && p.RetryAfter > 0 {
		pause = min(p.RetryAfter, maxRetryPause)
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// repeatable tells whether the same request can succeed later.
func repeatable(err error) bool {
	var p *Problem
	if !errors.As(err, &p) {
		return true // the connection broke
	}
	if p.Code() == "outcome_unknown" {
		return false // the caller has to find out what happened
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

// Branch starts a sub-agent.
func (c *Caller) Branch(ctx context.Context, p id.Program, name, key string) error {
	body := fmt.Sprintf(`{"name":%q}`, name)
	_, err := c.Do(ctx, http.MethodPost, "/v1/programs/"+string(p)+"/branches", key, []byte(body), nil)
	return err
}

// ModelCall is a chat completion that follows the recorded history of its branch.
type ModelCall struct {
	Program   id.Program
	Branch    string // empty: main
	Key       string
	Model     string
	Message   string
	MaxTokens int64
	Stream    bool
}

// Path returns the path of a chat completion.
func (m ModelCall) Path() string { return callPath(m.Program, m.Branch) + "/chat/completions" }

// Body returns the body of a chat completion.
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

// AppendHistory is the header of a call whose messages follow the recorded history.
func AppendHistory() http.Header { return http.Header{"X-History": {"append"}} }

// Model makes a chat completion.
func (c *Caller) Model(ctx context.Context, m ModelCall) (Answer, error) {
	return c.Do(ctx, http.MethodPost, m.Path(), m.Key, m.Body(), AppendHistory())
}

// Service calls an operation of a plain service.
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

// Settle closes an unknown outcome.
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
