// Package liststand is a stand-in for the platform's list of instances and endpoints in tests and the demo.
// List is an HTTP handler that returns the list with a configurable lag behind the changes made by its methods.
package liststand

import (
	"net/http"
	"sync"
	"time"

	"ragwortstile/internal/logservice"
	"ragwortstile/internal/standin"
)

// List is the HTTP handler of the list. Its methods are safe for concurrent use.
type List struct {
	scale standin.Scale
	mux   *http.ServeMux

	mu      sync.Mutex
	lag     time.Duration // simulated time
	outage  bool
	served  bool      // history[0] has been returned to a client
	history []version // versions of the list that are or will be visible, oldest first
}

// version is a version of the list and the time of the change that created it.
type version struct {
	at   time.Time
	list logservice.List
}

// New returns an empty List whose responses lag behind its changes by lag in simulated time.
func New(scale standin.Scale, lag time.Duration) *List {
	l := &List{scale: scale, lag: lag, mux: http.NewServeMux()}
	l.mux.HandleFunc("GET /instances", l.handle)
	return l
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

// SetLag sets the lag of the responses in simulated time.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetOutage turns an outage on or off, in which the list responds to every request with status 503.
func (l *List) SetOutage(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = on
}

// PutInstance adds an instance or replaces the one of the same name.
func (l *List) PutInstance(in logservice.Instance) {
	l.addVersion(func(v *logservice.List) {
		v.Instances = put(v.Instances, in, func(e logservice.Instance) bool { return e.Name == in.Name })
	})
}

// PutEndpoint adds an endpoint or replaces the one of the same name.
func (l *List) PutEndpoint(ep logservice.Endpoint) {
	l.addVersion(func(v *logservice.List) {
		v.Endpoints = put(v.Endpoints, ep, func(e logservice.Endpoint) bool { return e.Name == ep.Name })
	})
}

// Remove removes the instance and the endpoint with the given name.
func (l *List) Remove(name string) {
	l.addVersion(func(v *logservice.List) {
		v.Instances = without(v.Instances, func(e logservice.Instance) bool { return e.Name == name })
		v.Endpoints = without(v.Endpoints, func(e logservice.Endpoint) bool { return e.Name == name })
	})
}

// SetState sets the state of the instance and the endpoint with the given name.
func (l *List) SetState(name string, state logservice.State) {
	l.addVersion(func(v *logservice.List) {
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

// addVersion applies change to a copy of the newest version and appends the result to the history.
func (l *List) addVersion(change func(*logservice.List)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var v logservice.List
	if n := len(l.history); n > 0 {
		newest := l.history[n-1].list
		v.Instances = append([]logservice.Instance(nil), newest.Instances...)
		v.Endpoints = append([]logservice.Endpoint(nil), newest.Endpoints...)
	}
	change(&v)
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

// visible returns the newest version that is at least as old as the lag, and deletes the versions before it.
// If no version has become visible yet, the list is empty. During an outage visible returns false.
func (l *List) visible() (logservice.List, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return logservice.List{}, false
	}
	cutoff := time.Now().Add(-l.scale.Real(l.lag))
	n := 0
	for n < len(l.history) && !l.history[n].at.After(cutoff) {
		n++
	}
	if n == 0 && !l.served {
		return logservice.List{}, true
	}
	l.history = l.history[max(n, 1)-1:] // if the lag grows, a version that has been served stays visible
	l.served = true
	return l.history[0].list, true
}
