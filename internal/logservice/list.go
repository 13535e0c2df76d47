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
	maxListBytes        = 4 << 20 // response body
	defaultPollInterval = time.Second
	listTimeout         = 2 * time.Second // of one request
)

// State tells whether the platform keeps an instance or endpoint running or is about to stop it.
type State string

// Values of State.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is the list entry of an instance of this software.
type Instance struct {
	Name     string `json:"name"`
	Zone     string `json:"zone"`      // availability zone
	PeerAddr string `json:"peer_addr"` // host:port for the peer protocol
	HTTPAddr string `json:"http_addr"` // host:port for requests of callers
	State    State  `json:"state"`
}

// Endpoint is the list entry of a model engine or service server.
type Endpoint struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	URL   string `json:"url"`
	State State  `json:"state"`
}

// List is the platform's list of instances and endpoints. It may lag behind the actual state.
type List struct {
	Instances []Instance `json:"instances"`
	Endpoints []Endpoint `json:"endpoints"`
}

// ListConfig configures a ListClient.
type ListConfig struct {
	BaseURL  string
	Client   *http.Client
	Interval time.Duration // between polls; default 1 s
	// Polled is called on the goroutine of Serve after each successful poll, with the time at which the
	// poll started. It may be nil.
	Polled func(l List, sent time.Time)
	// Failed is called on the goroutine of Serve after each failed poll. It may be nil.
	Failed func(err error)
}

// ListClient polls the list of instances and endpoints and keeps the last one received.
type ListClient struct {
	cfg ListConfig

	mu       sync.Mutex
	latest   List
	latestAt time.Time // start of the poll that returned latest; zero before the first list
}

// NewListClient returns a ListClient that polls while Serve runs.
func NewListClient(cfg ListConfig) *ListClient {
	setDefault(&cfg.Interval, defaultPollInterval)
	cfg.BaseURL = strings.TrimRight(cfg.BaseURL, "/")
	return &ListClient{cfg: cfg}
}

// Fetch requests the list once, without a retry. Errors: RateLimitedError, ErrOutage, ErrMalformed, ErrUnknownResult.
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

// parseList rejects the whole list if a state is unknown or a name is empty or repeated: acting on part
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
		return fmt.Errorf("%w: %s has unknown state %q", ErrMalformed, name, state)
	}
	return nil
}

// Latest returns the last list received and its age since the start of its poll. ok is false before the
// first list.
func (c *ListClient) Latest() (list List, age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latestAt.IsZero() {
		return List{}, 0, false
	}
	return c.latest, time.Since(c.latestAt), true
}

// Serve polls until ctx is done.
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

// String returns the name for the supervisor's log.
func (c *ListClient) String() string { return "list client" }

func (c *ListClient) store(list List, at time.Time) {
	c.mu.Lock()
	c.latest = list
	c.latestAt = at
	c.mu.Unlock()
	if c.cfg.Polled != nil {
		c.cfg.Polled(list, at)
	}
}
