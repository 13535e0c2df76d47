// Package weightstand is a stand-in for the rate-limited weight store.
package weightstand

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"ragwortstile/internal/logservice"
	"ragwortstile/internal/standin"
)

// Store is the handler. Its methods are safe for concurrent use.
type Store struct {
	scale   standin.Scale
	every   time.Duration
	limiter *rate.Limiter
	mux     *http.ServeMux

	mu      sync.Mutex
	models  map[string]logservice.Weights
	outage  bool
	fetches map[string]int
}

// New returns a Store that allows one fetch each interval of model time, and burst at once.
func New(scale standin.Scale, every time.Duration, burst int) *Store {
	s := &Store{
		scale:   scale,
		every:   every,
		limiter: rate.NewLimiter(rate.Every(scale.Real(every)), burst),
		mux:     http.NewServeMux(),
		models:  make(map[string]logservice.Weights),
		fetches: make(map[string]int),
	}
	s.mux.HandleFunc("POST /weights/{model}/fetch", s.handle)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Put adds a model.
func (s *Store) Put(w logservice.Weights) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.models[w.Model] = w
}

// SetOutage makes the store answer 503, or ends that.
func (s *Store) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
}

// Fetches returns how often a model was fetched.
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
		standin.SetRetryAfter(w, s.scale.Real(s.every))
		standin.WriteError(w, http.StatusTooManyRequests, "fetch rate exceeded")
	default:
		s.fetches[weights.Model]++
		standin.WriteJSON(w, http.StatusOK, weights)
	}
}
