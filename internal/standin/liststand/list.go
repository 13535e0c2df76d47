// Package liststand is a stand-in for the platform's list of instances and endpoints. What it shows
// lags behind what was set.
package liststand

import (
	"net/http"
	"sync"
	"time"

	"ragwortstile/internal/logservice"
	"ragwortstile/internal/standin"
)

// List is the handler. Its methods are safe for concurrent use.
type List struct {
	scale standin.Scale
	mux   *http.ServeMux

	mu      sync.Mutex
	lag     time.Duration
	outage  bool
	shown   bool      // an answer showed history[0]
	history []version // oldest first
}

type version struct {
	at   time.Time
	list logservice.List
}

// New returns a List whose answers show the state of lag ago. Model time.
func New(scale standin.Scale, lag time.Duration) *List {
	l := &List{scale: scale, lag: lag, mux: http.NewServeMux()}
	l.mux.HandleFunc("GET /instances", l.handle)
	return l
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// SetLag sets the lag in model time.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetOutage makes the list answer 503, or ends that.
func (l *List) SetOutage(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = on
}

// PutInstance adds an instance or replaces the one with its name.
func (l *List) PutInstance(in logservice.Instance) {
	l.change(func(v *logservice.List) {
		v.Instances = put(v.Instances, in, func(e logservice.Instance) bool { return e.Name == in.Name })
	})
}

// PutEndpoint adds an endpoint or replaces the one with its name.
func (l *List) PutEndpoint(ep logservice.Endpoint) {
	l.change(func(v *logservice.List) {
		v.Endpoints = put(v.Endpoints, ep, func(e logservice.Endpoint) bool { return e.Name == ep.Name })
	})
}

// Remove removes the instance and the endpoint with a name.
func (l *List) Remove(name string) {
	l.change(func(v *logservice.List) {
		v.Instances = without(v.Instances, func(e logservice.Instance) bool { return e.Name == name })
		v.Endpoints = without(v.Endpoints, func(e logservice.Endpoint) bool { return e.Name == name })
	})
}

// SetState sets the state of the instance and the endpoint with a name.
func (l *List) SetState(name string, state logservice.State) {
	l.change(func(v *logservice.List) {
		for i := range v.Instances {
			if v.Instances[i].Name == name {
				v.Instances[i].State = state
			}
		}
		for i := range v.Endpoints {
			if v.Endpoints[i].Name == name {
				v.Endpoints[i].State = state
			}
		}
	})
}

func put[T any](all []T, item T, same func(T) bool) []T {
	return append(without(all, same), item)
}

func without[T any](all []T, match func(T) bool) []T {
	var rest []T
	for _, e := range all {
		if !match(e) {
			rest = append(rest, e)
		}
	}
	return rest
}

// change adds a version that is made from a copy of the newest one.
func (l *List) change(f func(*logservice.List)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var v logservice.List
	if n := len(l.history); n > 0 {
		newest := l.history[n-1].list
		v.Instances = append([]logservice.Instance(nil), newest.Instances...)
		v.Endpoints = append([]logservice.Endpoint(nil), newest.Endpoints...)
	}
	f(&v)
	l.history = append(l.history, version{at: time.Now(), list: v})
}

func (l *List) handle(w http.ResponseWriter, _ *http.Request) {
	list, up := l.visible()
	if !up {
		standin.WriteError(w, http.StatusServiceUnavailable, "list is down")
		return
	}
	standin.WriteJSON(w, http.StatusOK, list)
}

// visible returns the newest version that is older than the lag, and forgets those before it.
func (l *List) visible() (logservice.List, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return logservice.List{}, false
	}
	limit := time.Now().Add(-l.scale.Real(l.lag))
	n := 0
	for n < len(l.history) && !l.history[n].at.After(limit) {
		n++
	}
	if n == 0 && !l.shown {
		return logservice.List{}, true
	}
	l.history = l.history[max(n, 1)-1:] // a longer lag never takes back what was shown
	l.shown = true
	return l.history[0].list, true
}
