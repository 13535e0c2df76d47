// Package routing selects the route of a request from the operators' configuration. It has no I/O.
package routing

import (
	"sort"
	"strings"
	"time"
)

// Kind tells what may be repeated.
type Kind uint8

// Kinds of routes. Everything that is not Idempotent runs at most once for each attempt of a caller.
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

// Route is a rule for requests of a host and a path prefix.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           Kind
	Timeout        time.Duration // longest time a caller waits
	TargetLatency  time.Duration // time to the answer, or to the first event, for full worth
	TargetEventGap time.Duration // longest pause between events for full worth
	Priority       int           // 0 goes first
	MaxAttempts    int           // endpoints that one request may be sent to
	Sticky         bool
	Retention      time.Duration // how long whole turns are kept; 0 on routes without history
	Targets        []Target      // at least one
}

// Target is a service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// KeepsHistory tells whether turns of the route carry only their new input.
func (r *Route) KeepsHistory() bool { return r.Retention > 0 }

// Pick returns the service for a request. The same hash gives the same service while the weights stay.
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
	MaxConnections int
	Engine         *Engine // nil for plain services
}

// Engine holds what the operators declare of a service of model engines.
type Engine struct {
	Slots          int
	CacheTokens    int
	TokensPerEvent int
}

// Limits bound what a caller may send.
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
	Limits   Limits
}

// Table finds routes. It is immutable.
type Table struct {
	Config
	byHost map[string][]*Route // longest prefix first
}

// NewTable indexes a configuration, which must not be changed afterwards.
func NewTable(c Config) *Table {
	t := &Table{Config: c, byHost: make(map[string][]*Route)}
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

// Match returns the route with the longest prefix of the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[strings.ToLower(hostOnly(host))] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// MaxRetention returns the longest time for which any route keeps turns.
func (t *Table) MaxRetention() time.Duration {
	var keep time.Duration
	for i := range t.Routes {
		keep = max(keep, t.Routes[i].Retention)
	}
	return keep
}

func hostOnly(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.Contains(host[at:], "]") {
		return host[:at]
	}
	return host
}
