package logservice

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	maxListBytes        = 4 << 20
	defaultPollInterval = time.Second
	listTimeout         = 2 * time.Second
)

// State tells whether the platform is about to stop an instance or endpoint.
type State string

// States.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one of our instances as the platform lists it.
type Instance struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`      // availability zone
	PeerAddr string `json:"peer_addr"` // host:port of the peer protocol
	HTTPAddr string `json:"http_addr"` // host:port of the front
	State    State  `json:"state"`
}

// Endpoint is a model engine or service server as the platform lists it.
type Endpoint struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	URL   string `json:"url"`
	State State  `json:"state"`
}

// List is the platform's list. It may lag behind.
type List struct {
	Instances []Instance `json:"instances"`
	Endpoints []Endpoint `json:"endpoints"`
}

// ListConfig sets up a ListClient.
type ListConfig struct {
	BaseURL  string
	Client   *http.Client
	Interval time.Duration // between polls; default 1 s
	// Polled is called on the goroutine of Serve after each answer, with the start of its poll. It may be nil.
	Polled func(l List, sent time.Time)
	// Failed is called on the goroutine of Serve for each poll that failed. It may be nil.
	Failed func(err error)
}

// ListClient polls the list of instances and endpoints and keeps the last answer.
type ListClient struct {
	cfg ListConfig

	mu     sync.Mutex
	latest List
	at     time.Time // start of the poll that brought latest; zero: none yet
}

// NewListClient returns a ListClient. Serve polls.
func NewListClient(cfg ListConfig) *ListClient {
	setDefault(&cfg.Interval, defaultPollInterval)
	cfg.BaseURL = strings.TrimRight(cfg.BaseURL, "/")
	return &ListClient{cfg: cfg}
}

// Fetch asks for the list once. Errors: RateLimitedError, ErrOutage, ErrMalformed, ErrUnknownResult.
func (c *ListClient) Fetch(ctx context.Context) (List, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.cfg.BaseURL+"/instances", nil)
	if err != nil {
		return List{}, err
	}
	r, err := do(c.cfg.Client, req, maxListBytes)
	if err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	if r.status != http.StatusOK {
		return List{}, fmt.Errorf("list: %w", statusError(r))
	}
	list, err := parseList(r.body)
	if err != nil {
		return List{}, fmt.Errorf("list: %w", err)
	}
	return list, nil
}

// parseList refuses a list with unknown states or names that are empty or repeated: acting on half
// of a faulty list could drain the wrong endpoints.
func parseList(body []byte) (List, error) {
	var l List
	if err := json.Unmarshal(body, &l); err != nil {
		return List{}, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	seen := make(map[string]bool, len(l.Instances))
	for _, i := range l.Instances {
		if err := checkEntry(seen, i.Name, i.State); err != nil {
			return List{}, fmt.Errorf("instance: %w", err)
		}
	}
	seen = make(map[string]bool, len(l.Endpoints))
	for _, e := range l.Endpoints {
		if err := checkEntry(seen, e.Name, e.State); err != nil {
			return List{}, fmt.Errorf("endpoint: %w", err)
		}
	}
	return l, nil
}

func checkEntry(seen map[string]bool, name string, state State) error {
	if name == "" || seen[name] {
		return fmt.Errorf("%w: name %q is empty or repeated", ErrMalformed, name)
	}
	seen[name] = true
	if state != StateLive && state != StateLeaving {
		return fmt.Errorf("%w: %s has state %q", ErrMalformed, name, state)
	}
	return nil
}

// Latest returns the last answer and its age, counted from the start of its poll. ok is false before
// the first answer.
func (c *ListClient) Latest() (list List, age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() {
		return List{}, 0, false
	}
	return c.latest, time.Since(c.at), true
}

// Serve polls until ctx ends.
func (c *ListClient) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		start := time.Now()
		list, err := c.Fetch(ctx)
		switch {
		case err == nil:
			c.store(list, start)
		case ctx.Err() == nil && c.cfg.Failed != nil:
			c.cfg.Failed(err)
		}
		sleep(ctx, c.cfg.Interval-time.Since(start))
	}
	return ctx.Err()
}

// String names the client in the supervisor's log.
func (c *ListClient) String() string { return "list client" }

func (c *ListClient) store(list List, at time.Time) {
	c.mu.Lock()
	c.latest = list
	c.at = at
	c.mu.Unlock()
	if c.cfg.Polled != nil {
		c.cfg.Polled(list, at)
	}
}
