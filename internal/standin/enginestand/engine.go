// Package enginestand is a stand-in for a model engine: continuous batching, a prefix cache with
// limited memory, late and incomplete cache events, a lagging load report, resume, cancel, cache
// export and import, fenced orders, and faults that can be switched.
package enginestand

import (
	"context"
	"net/http"
	"sync"
	"time"

	"ragwortstile/internal/logservice"
	"ragwortstile/internal/standin"
)

// Settings of an Engine. They do not change while it runs. Durations are model time.
type Settings struct {
	Scale          standin.Scale
	MaxRunning     int           // calls that are decoded together; default 8
	PrefillRate    float64       // prompt tokens per second; default 8000
	DecodeBase     time.Duration // per token with one running call; default 20 ms
	DecodePerCall  time.Duration // added per token for each further running call; default 1 ms
	OutputTokens   int           // tokens of an answer, unless the request has want_tokens; default 16
	CacheTokens    int64         // prefix memory; default 100000
	EventDelay     time.Duration // until a cache event can be read
	DropEventEvery int           // each n-th cache event is lost; 0: none
	LoadLag        time.Duration // age of the load report
	IgnoresFence   bool          // orders with an old fencing number are accepted
}

func (s *Settings) setDefaults() {
	if s.MaxRunning <= 0 {
		s.MaxRunning = 8
	}
	if s.PrefillRate <= 0 {
		s.PrefillRate = 8000
	}
	if s.DecodeBase <= 0 {
		s.DecodeBase = 20 * time.Millisecond
	}
	if s.DecodePerCall <= 0 {
		s.DecodePerCall = time.Millisecond
	}
	if s.OutputTokens <= 0 {
		s.OutputTokens = 16
	}
	if s.CacheTokens <= 0 {
		s.CacheTokens = 100000
	}
}

// Engine is the handler. Its methods are safe for concurrent use. Close ends its goroutines.
type Engine struct {
	settings Settings
	mux      *http.ServeMux
	client   *http.Client // fetches exported caches from other engines
	work     sync.WaitGroup

	mu         sync.Mutex
	closed     bool
	generation uint64
	requests   map[string]*request
	running    int
	queue      []*request // oldest first
	cache      prefixCache
	tickets    map[string]cacheEntry
	ticketSeq  int
	fence      uint64
	orders     []string
	loads      []loadSample // oldest first
	faults     faults
	stats      Stats
}

// Stats counts what the engine did.
type Stats struct {
	Requests            int   // completions that were accepted
	Finished            int   // completions that were generated to the end
	Canceled            int   // completions that were cancelled
	Refused             int   // completions that were refused by a fault
	PromptTokens        int64 // of accepted completions
	CachedTokens        int64 // prompt tokens found in the cache
	OutputTokens        int64
	WastedTokens        int64 // cache tokens evicted before they were reused
	StaleOrdersRefused  int   // orders with an old fencing number that were refused
	StaleOrdersAccepted int   // orders with an old fencing number that were accepted
}

// New returns an Engine with generation 1.
func New(s Settings) *Engine {
	s.setDefaults()
	e := &Engine{settings: s, mux: http.NewServeMux(), client: logservice.NewHTTPClient(), generation: 1}
	e.reset()
	e.mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	e.mux.HandleFunc("GET /v1/requests/{id}/stream", e.handleResume)
	e.mux.HandleFunc("POST /v1/requests/{id}/cancel", e.handleCancel)
	e.mux.HandleFunc("GET /v1/load", e.handleLoad)
	e.mux.HandleFunc("GET /v1/cache/events", e.handleEvents)
	e.mux.HandleFunc("GET /v1/cache", e.handleCache)
	e.mux.HandleFunc("DELETE /v1/cache/{program}", e.handleRelease)
	e.mux.HandleFunc("POST /v1/cache/export", e.handleExport)
	e.mux.HandleFunc("POST /v1/cache/import", e.handleImport)
	e.mux.HandleFunc("GET /v1/cache/tickets/{ticket}", e.handleTicket)
	e.mux.HandleFunc("POST /v1/orders", e.handleOrder)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.down() {
		standin.BreakConnection()
	}
	e.mux.ServeHTTP(w, r)
}

// reset forgets everything that an engine keeps in memory. The caller holds the lock, if shared.
func (e *Engine) reset() {
	e.requests = make(map[string]*request)
	e.queue = nil
	e.running = 0
	e.cache = newPrefixCache(e.settings.CacheTokens)
	e.tickets = make(map[string]cacheEntry)
	e.fence = 0
	e.loads = nil
}

// Restart ends all requests, empties the cache and raises the generation, as a new process does.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopAll()
	e.generation++
	e.reset()
}

// Close ends all requests and waits for their goroutines.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.stopAll()
	e.mu.Unlock()
	e.work.Wait()
	e.client.CloseIdleConnections()
}

func (e *Engine) stopAll() {
	for _, q := range e.requests {
		q.cancel()
	}
}

// Generation returns the generation number.
func (e *Engine) Generation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generation
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Orders returns the JSON of the orders that took effect.
func (e *Engine) Orders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.orders...)
}

// TokensByTag returns the tokens that the cache holds per tag.
func (e *Engine) TokensByTag() map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.held()
}

// admit queues a request and starts it when a place is free. The caller holds the lock.
func (e *Engine) admit(q *request) {
	e.queue = append(e.queue, q)
	e.startQueued()
	e.sample()
}

// startQueued starts requests in the order of arrival. The caller holds the lock.
func (e *Engine) startQueued() {
	for e.running < e.settings.MaxRunning && len(e.queue) > 0 {
		q := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		close(q.admitted)
	}
}

// leave frees the place of a request.
func (e *Engine) leave(q *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q.generation != e.generation {
		return
	}
	for i, o := range e.queue {
		if o == q {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			e.sample()
			return
		}
	}
	e.running--
	e.startQueued()
	e.sample()
}

// decodeTime returns the model time of one token for the present number of running calls.
func (e *Engine) decodeTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.settings.DecodeBase + time.Duration(max(0, e.running-1))*e.settings.DecodePerCall
	return time.Duration(float64(d) * e.faults.slowdown())
}

func (e *Engine) sleep(ctx context.Context, d time.Duration) bool {
	return e.settings.Scale.Sleep(ctx, d)
}
