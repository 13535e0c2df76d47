// Package routing selects the route of a request from the operators' configuration. A Config is one
// version of that configuration; a Table indexes it and finds the Route of a request; a route selects a
// service by weight. The package has no I/O.
package routing

import (
	"sort"
	"strings"
	"time"

	"ragwortstile/internal/team"
)

// Kind determines whether requests of a route may be sent more than once.
type Kind uint8

// Kinds of routes. A request of any kind but Idempotent runs at most once for each attempt of a caller.
const (
	NonIdempotent Kind = iota
	Idempotent
	Streaming
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non_idempotent"
	}
}

// Route determines how requests of one host and path prefix are handled.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration // longest time that a caller waits for the answer
	TargetLatency time.Duration // time to the answer or first event up to which the answer has its full value
	TargetGap     time.Duration // pause between events up to which a stream has its full value
	Priority      int           // 0 is the highest priority
	MaxAttempts   int           // greatest number of endpoints that one request may be sent to
	Sticky        bool
	Public        bool          // callers need no API key
	History       bool          // complete turns are kept, so that a request carries only the new input of its turn
	Resumable     bool          // a stream that broke off may continue at another endpoint after its last event
	Retention     time.Duration // how long complete turns, and what programs have spent of their budgets, are kept
	Targets       []Target      // at least one
}

// Target is a service of a route. Its share of the requests is proportional to Weight.
type Target struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request of the route may run again after an attempt whose outcome is unknown.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Pick returns the service for a request with the given hash. As long as the weights do not change, the
// same hash selects the same service.
func (r *Route) Pick(hash uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	at := int(hash % uint64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // per endpoint, summed over all instances
	Engine         *Engine // nil if the endpoints are not model engines
}

// Engine is the configured capacity of the endpoints of a service of model engines.
type Engine struct {
	Slots          int
	CacheTokens    int
	TokensPerEvent int
}

// Limits bound what a caller may send and how long it may take to do so.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Teams    []team.Team // empty: callers need no API key
	Limits   Limits
}

// Table finds the routes of requests and the teams of their callers. It is immutable. Its Teams have no keys, which are
// kept as hashes only.
type Table struct {
	Config
	Findings []team.Finding // faults in the teams; the rest of the configuration is in force
	owners   *team.Index
	byHost   map[string][]*Route // longest prefix first
}

// NewTable indexes a configuration. The caller must not change c afterwards.
func NewTable(c Config) *Table {
	t := &Table{Config: c, byHost: make(map[string][]*Route)}
	t.owners, t.Findings = team.NewIndex(c.Teams)
	t.Teams = t.owners.Teams()
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t
}

// Match returns the route of the host with the longest matching path prefix, or nil if none matches.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[strings.ToLower(hostOnly(host))] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HasTeams reports whether callers need an API key on routes that are not public.
func (t *Table) HasTeams() bool { return len(t.Teams) > 0 }

// Owner returns the team that owns an API key, or nil if no team does.
func (t *Table) Owner(key string) *team.Team { return t.owners.Owner(key) }

// MaxRetention returns the longest retention of all routes.
func (t *Table) MaxRetention() time.Duration {
	var longest time.Duration
	for i := range t.Routes {
		longest = max(longest, t.Routes[i].Retention)
	}
	return longest
}

// hostOnly returns the host without its port.
func hostOnly(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.Contains(host[at:], "]") {
		return host[:at]
	}
	return host
}
