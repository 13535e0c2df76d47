// Package weightstand is a stand-in for the rate-limited weight store in tests and the demo. Store is an HTTP
// handler that returns the weights of a model and limits the rate of fetches.
package weightstand

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"ragwortstile/internal/logservice"
	"ragwortstile/internal/standin"
)

// Store is the HTTP handler of the weight store. Its methods are safe for concurrent use.
type Store struct {
	scale    standin.Scale
	interval time.Duration // simulated time between allowed fetches
	limiter  *rate.Limiter
	mux      *http.ServeMux

	mu      sync.Mutex
	models  map[string]logservice.Weights
	outage  bool
	fetches map[string]int // successful fetches by model
}

// New returns a Store that allows one fetch per interval of simulated time, with bursts of up to burst
// fetches.
func New(scale standin.Scale, interval time.Duration, burst int) *Store {
	s := &Store{
		scale:    scale,
		interval: interval,
		limiter:  rate.NewLimiter(rate.Every(scale.Real(interval)), burst),
		mux:      http.NewServeMux(),
		models:   make(map[string]logservice.Weights),
		fetches:  make(map[string]int),
	}
	s.mux.HandleFunc("POST /weights/{model}/fetch", s.handle)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Put adds the weights of a model or replaces them.
func (s *Store) Put(w logservice.Weights) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.models[w.Model] = w
}

// SetOutage turns an outage on or off, in which the store responds to every fetch with status 503.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
}

// Fetches returns the number of successful fetches of a model.
func (s *Store) Fetches(model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fetches[model]
}

func (s *Store) handle(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	weights, ok := s.models[r.PathValue("model")]
	switch {
	case s.outage:
		standin.WriteError(w, http.StatusServiceUnavailable, "weight store is down")
	case !ok:
		standin.WriteError(w, http.StatusNotFound, "unknown model")
	case !s.limiter.Allow():
		standin.SetRetryAfter(w, s.scale.Real(s.interval))
		standin.WriteError(w, http.StatusTooManyRequests, "fetch rate exceeded")
	default:
		s.fetches[weights.Model]++
		standin.WriteJSON(w, http.StatusOK, weights)
	}
}
