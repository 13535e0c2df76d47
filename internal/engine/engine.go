// Package engine is the client for model engines. Client.Complete runs one attempt of a chat completion
// or resumes its stream; StreamParser parses streamed answers. The other methods of Client send control
// requests: they cancel an attempt, read the load and the cache of an engine, release or move cache, and
// send orders.
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
	// defaultMaxAnswerBytes is the size limit of an answer, which must fit into one frame of the peer
	// protocol.
	defaultMaxAnswerBytes = 15 << 20
	// defaultStallTimeout ends a stream on which no byte arrives, so that a hanging engine is detected
	// before the timeout of the attempt. It exceeds the longest prefill: 640,000 tokens at 8,000 tokens
	// per second take 80 s.
	defaultStallTimeout = 2 * time.Minute
	// defaultControlTimeout bounds every request other than a completion or a move.
	defaultControlTimeout = 2 * time.Second
	// defaultMoveTimeout bounds the export and import of a cache together. After it the target engine
	// recomputes the prefix.
	defaultMoveTimeout = 5 * time.Second
	// maxPartialStreams bounds the number of broken streams whose parsed part is kept for a resume.
	maxPartialStreams = 256

	maxErrorBytes   = 16 << 10 // a longer body of an answer other than 200 is dropped
	maxControlBytes = 4 << 20  // size limit of the answer to a control request
)

// Errors of the Client, to be matched with errors.Is.
var (
	// ErrUnknownEndpoint means that the configuration has no URL for the endpoint.
	ErrUnknownEndpoint = errors.New("unknown endpoint")
	// ErrNotFound means that the engine does not know the request or cache asked for.
	ErrNotFound = errors.New("not found at the engine")
	// ErrUnavailable means that no usable answer arrived. An order may have taken effect.
	ErrUnavailable = errors.New("engine gave no answer")
	// ErrOverrun means that an engine sent more tokens than max_tokens allows.
	ErrOverrun = errors.New("engine exceeded max_tokens")
	// ErrStalled means that no byte of a stream arrived within the stall timeout.
	ErrStalled = errors.New("stream stalled")
)

// StatusError is an unexpected HTTP status of an engine. If it is 500 or above, an order may have taken
// effect.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("engine answered status %d", e.Status) }

// Config sets up a Client. Zero values take the defaults.
type Config struct {
	HTTP *endpoint.Client
	// URL returns the base URL of an endpoint.
	URL func(name string) (base string, ok bool)
	// Failed is called with the cause of each attempt that did not end with a complete answer, and
	// with errors that do not fail the attempt, such as that of a move. It may be nil. The errors
	// contain nothing of the conversation.
	Failed func(attempt id.Attempt, err error)

	MaxAnswerBytes int64         // default 15 MiB
	StallTimeout   time.Duration // default 2 min
	ControlTimeout time.Duration // default 2 s
	MoveTimeout    time.Duration // default 5 s
}

// Client sends requests to all engines. It never retries a request. It is safe for concurrent use.
type Client struct {
	cfg Config

	mu         sync.Mutex
	partial    map[id.Attempt]*StreamParser // parsed part of broken streams, for a resume
	partialIDs []id.Attempt                 // keys of partial, oldest first
}

// New returns a Client.
func New(cfg Config) *Client {
	if cfg.MaxAnswerBytes <= 0 {
		cfg.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	setDefault(&cfg.StallTimeout, defaultStallTimeout)
	setDefault(&cfg.ControlTimeout, defaultControlTimeout)
	setDefault(&cfg.MoveTimeout, defaultMoveTimeout)
	return &Client{cfg: cfg, partial: make(map[id.Attempt]*StreamParser)}
}

func setDefault(v *time.Duration, d time.Duration) {
	if *v <= 0 {
		*v = d
	}
}

// savePartial stores the parsed part of a broken stream. Above maxPartialStreams it drops the oldest one.
func (c *Client) savePartial(a id.Attempt, s *StreamParser) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.partial[a]; !ok {
		c.partialIDs = append(c.partialIDs, a)
	}
	c.partial[a] = s
	if len(c.partialIDs) > maxPartialStreams {
		delete(c.partial, c.partialIDs[0])
		c.partialIDs = c.partialIDs[1:]
	}
}

// takePartial removes the parsed part of a broken stream and returns it, or nil if there is none.
func (c *Client) takePartial(a id.Attempt) *StreamParser {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.partial[a]
	if s == nil {
		return nil
	}
	delete(c.partial, a)
	for i, o := range c.partialIDs {
		if o == a {
			c.partialIDs = append(c.partialIDs[:i], c.partialIDs[i+1:]...)
			break
		}
	}
	return s
}

func (c *Client) baseURL(name string) (string, error) {
	base, ok := c.cfg.URL(name)
	if !ok {
		return "", fmt.Errorf("%s: %w", name, ErrUnknownEndpoint)
	}
	return strings.TrimRight(base, "/"), nil
}

func requestURL(base string, a id.Attempt, action string) string {
	return base + "/v1/requests/" + url.PathEscape(string(a)) + "/" + action
}

// controlAnswer is the answer to a control request.
type controlAnswer struct {
	status int
	body   []byte
}

// control sends a control request to an engine and reads the answer. in is sent as JSON unless it is
// nil.
func (c *Client) control(ctx context.Context, method, name, path string, in any) (controlAnswer, error) {
	base, err := c.baseURL(name)
	if err != nil {
		return controlAnswer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ControlTimeout)
	defer cancel()
	return c.exchange(ctx, method, base+path, in)
}

func (c *Client) exchange(ctx context.Context, method, u string, in any) (controlAnswer, error) {
	var body []byte
	if in != nil {
		var err error
		if body, err = marshal(in); err != nil {
			return controlAnswer{}, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body)) // an empty reader sends no body
	if err != nil {
		return controlAnswer{}, err
	}
	if in != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, _, err := c.cfg.HTTP.Send(req, nil)
	if err != nil {
		return controlAnswer{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	data, err := endpoint.ReadBody(resp.Body, maxControlBytes)
	if err != nil {
		return controlAnswer{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return controlAnswer{status: resp.StatusCode, body: data}, nil
}

// decode checks the status and decodes the JSON body into out.
func (a controlAnswer) decode(out any) error {
	if err := a.checkStatus(); err != nil {
		return err
	}
	if err := json.Unmarshal(a.body, out); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

func (a controlAnswer) checkStatus() error {
	switch {
	case a.status == http.StatusOK || a.status == http.StatusNoContent:
		return nil
	case a.status == http.StatusNotFound:
		return ErrNotFound
	default:
		return &StatusError{Status: a.status}
	}
}

// Cancel stops an attempt at its engine. It succeeds if the engine does not know the attempt.
func (c *Client) Cancel(ctx context.Context, name string, a id.Attempt) error {
	c.takePartial(a)
	ans, err := c.control(ctx, http.MethodPost, name, requestURL("", a, "cancel"), nil)
	if err != nil {
		return fmt.Errorf("cancel at %s: %w", name, err)
	}
	if err := ans.checkStatus(); err != nil && !errors.Is(err, ErrNotFound) {
		return fmt.Errorf("cancel at %s: %w", name, err)
	}
	return nil
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
