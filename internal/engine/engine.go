// Package engine is the client for model engines: chat completions, resume and cancel, load, cache
// and orders.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"ragwortstile/internal/endpoint"
	"ragwortstile/internal/id"
)

// Defaults of Config.
const (
	// defaultMaxAnswer bounds an answer; it fits one frame of the peer protocol.
	defaultMaxAnswer = 15 << 20
	// defaultStall ends a stream that brings no byte, so that a hanging engine is noticed before the
	// timeout of the attempt. It covers the longest prefill: 640,000 tokens at 8,000 per second take
	// 80 s.
	defaultStall = 2 * time.Minute
	// defaultControl bounds every exchange other than a completion.
	defaultControl = 2 * time.Second
	// defaultMove bounds the export and import of a cache; after it the prefix is recomputed.
	defaultMove = 5 * time.Second
	// maxKept bounds the broken streams whose parsed part is kept for a resume.
	maxKept = 256

	maxErrorBytes   = 16 << 10
	maxControlBytes = 4 << 20
)

// Errors of the control exchanges. They are matched with errors.Is.
var (
	// ErrUnknownEndpoint means that the configuration has no URL for the endpoint.
	ErrUnknownEndpoint = errors.New("unknown endpoint")
	// ErrNotFound means that the engine does not know the request or cache asked for.
	ErrNotFound = errors.New("not found at the engine")
	// ErrUnavailable means that no usable answer came. An order may have taken effect.
	ErrUnavailable = errors.New("engine gave no answer")
	// ErrOverrun means that an engine sent more tokens than were asked for.
	ErrOverrun = errors.New("engine exceeded max_tokens")
	// ErrStalled means that a stream brought no byte for the stall timeout.
	ErrStalled = errors.New("stream stalled")
)

// StatusError is a status that the protocol does not provide for. An order may have taken effect
// when it is 500 or above.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("engine answered status %d", e.Status) }

// Config sets up a Client. Zero values take the defaults.
type Config struct {
	HTTP *endpoint.Client
	// URL returns the base URL of an endpoint.
	URL func(name string) (base string, ok bool)
	// Failed is called with the cause of each attempt that did not end with a whole answer. It may
	// be nil. The errors carry nothing of the conversation.
	Failed func(attempt id.Attempt, err error)

	MaxAnswerBytes int64         // default 15 MiB
	StallTimeout   time.Duration // default 2 min
	ControlTimeout time.Duration // default 2 s
	MoveTimeout    time.Duration // default 5 s
}

// Client talks to all engines. It never repeats a request. It is safe for concurrent use.
type Client struct {
	cfg Config

	mu    sync.Mutex
	kept  map[id.Attempt]*StreamParser // parsed part of broken streams
	order []id.Attempt                 // of kept, oldest first
}

// New returns a Client.
func New(cfg Config) *Client {
	if cfg.MaxAnswerBytes <= 0 {
		cfg.MaxAnswerBytes = defaultMaxAnswer
	}
	setDefault(&cfg.StallTimeout, defaultStall)
	setDefault(&cfg.ControlTimeout, defaultControl)
	setDefault(&cfg.MoveTimeout, defaultMove)
	return &Client{cfg: cfg, kept: make(map[id.Attempt]*StreamParser)}
}

func setDefault(v *time.Duration, d time.Duration) {
	if *v <= 0 {
		*v = d
	}
}

// keep remembers the parsed part of a broken stream.
func (c *Client) keep(a id.Attempt, s *StreamParser) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.kept[a]; !ok {
		c.order = append(c.order, a)
	}
	c.kept[a] = s
	if len(c.order) > maxKept {
		delete(c.kept, c.order[0])
		c.order = c.order[1:]
	}
}

// takeKept returns the parsed part of a broken stream and forgets it.
func (c *Client) takeKept(a id.Attempt) *StreamParser {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.kept[a]
	if s == nil {
		return nil
	}
	delete(c.kept, a)
	for i, o := range c.order {
		if o == a {
			c.order = append(c.order[:i], c.order[i+1:]...)
			break
		}
	}
	return s
}

func (c *Client) base(name string) (string, error) {
	base, ok := c.cfg.URL(name)
	if !ok {
		return "", fmt.Errorf("%s: %w", name, ErrUnknownEndpoint)
	}
	return strings.TrimRight(base, "/"), nil
}

func requestURL(base string, a id.Attempt, action string) string {
	return base + "/v1/requests/" + url.PathEscape(string(a)) + "/" + action
}

// answer is the whole answer of a control exchange.
type answer struct {
	status int
	body   []byte
}

// control makes one exchange other than a completion. in is sent as JSON unless it is nil.
func (c *Client) control(ctx context.Context, method, name, path string, in any) (answer, error) {
	base, err := c.base(name)
	if err != nil {
		return answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ControlTimeout)
	defer cancel()
	return c.exchange(ctx, method, base+path, in)
}

func (c *Client) exchange(ctx context.Context, method, u string, in any) (answer, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = marshal(in); err != nil {
			return answer{}, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body)) // no bytes: no body
	if err != nil {
		return answer{}, err
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, _, err := c.cfg.HTTP.Send(req, nil)
	if err != nil {
		return answer{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	data, err := endpoint.ReadBody(resp.Body, maxControlBytes)
	if err != nil {
		return answer{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return answer{status: resp.StatusCode, body: data}, nil
}

// decode reads the JSON of a 200 answer.
func (a answer) decode(out any) error {
	if err := a.check(); err != nil {
		return err
	}
	if err := json.Unmarshal(a.body, out); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

func (a answer) check() error {
	switch {
	case a.status == http.StatusOK || a.status == http.StatusNoContent:
		return nil
	case a.status == http.StatusNotFound:
		return ErrNotFound
	default:
		return &StatusError{Status: a.status}
	}
}

// Cancel stops an attempt at its engine. An unknown attempt counts as stopped.
func (c *Client) Cancel(ctx context.Context, name string, a id.Attempt) error {
	c.takeKept(a)
	ans, err := c.control(ctx, http.MethodPost, name, requestURL("", a, "cancel"), nil)
	if err != nil {
		return fmt.Errorf("cancel at %s: %w", name, err)
	}
	if err := ans.check(); err != nil && !errors.Is(err, ErrNotFound) {
		return fmt.Errorf("cancel at %s: %w", name, err)
	}
	return nil
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
