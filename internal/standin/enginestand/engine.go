// Package enginestand is a stand-in for a model engine in tests and the demo. Engine is an HTTP handler that simulates
// continuous batching, a prefix cache of limited size, cache events that are delayed and incomplete, and load
// reports that lag. It supports resuming and canceling of requests, export and import of cache entries, and orders
// with fencing tokens. Its methods inject faults and return counts. The text of an answer depends only on the
// messages of the request, see Answer.
package enginestand

import (
	"context"
	"net/http"
	"sync"
	"time"

	"ragwortstile/internal/logservice"
	"ragwortstile/internal/standin"
)

// Settings of an Engine. They do not change while it runs. Durations are simulated time.
type Settings struct {
	Scale          standin.Scale
	MaxRunning     int           // maximum number of calls that run at the same time; default 8
	PrefillRate    float64       // prompt tokens per second of simulated time; default 8000
	DecodeBase     time.Duration // decode time of a token with one running call; default 20 ms
	DecodePerCall  time.Duration // added to the decode time of a token for each further running call; default 1 ms
	OutputTokens   int           // number of tokens of an answer unless the request has want_tokens; default 16
	CacheTokens    int64         // capacity of the prefix cache in tokens; default 100000
	EventDelay     time.Duration // time until a cache event can be read
	DropEventEvery int           // every n-th cache event cannot be read; 0: none
	LoadLag        time.Duration // age of the load report
	IgnoresFence   bool          // accepts orders with a stale fencing token
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

// Engine is the HTTP handler of the engine. Its methods are safe for concurrent use. Close ends its goroutines.
type Engine struct {
	settings Settings
	mux      *http.ServeMux
	client   *http.Client   // fetches exported cache entries from other engines
	work     sync.WaitGroup // goroutines that generate answers

	mu         sync.Mutex
	closed     bool
	generation uint64              // incremented by each restart
	requests   map[string]*request // by ID; finished ones can be resumed
	running    int                 // number of requests in the batch
	queue      []*request          // waiting for a place in the batch, oldest first
	cache      prefixCache
	tickets    map[string]cacheEntry // exported and not fetched yet
	ticketSeq  int
	fence      uint64       // highest fencing token of an accepted order since the last restart
	orders     []string     // JSON of the accepted orders
	loads      []loadSample // oldest first
	faults     faults
	stats      Stats
}

// Stats counts requests, tokens and orders.
type Stats struct {
	Requests            int   // accepted completions
	Finished            int   // completions whose answer was generated to the end
	Canceled            int   // completions that were canceled or ended by a restart
	Refused             int   // completions refused because of RefuseNext
	PromptTokens        int64 // of finished completions
	CachedTokens        int64 // prompt tokens of finished completions that were in the cache
	OutputTokens        int64 // of finished completions
	WastedTokens        int64 // tokens evicted from the cache before they were reused
	StaleOrdersRefused  int   // orders refused because of a stale fencing token
	StaleOrdersAccepted int   // orders with a stale fencing token accepted because of IgnoresFence
}

// New returns an Engine of generation 1 with the given settings.
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

// reset clears the state that an engine loses in a restart. The caller holds the lock if other goroutines use the
// engine.
func (e *Engine) reset() {
	e.requests = make(map[string]*request)
	e.queue = nil
	e.running = 0
	e.cache = newPrefixCache(e.settings.CacheTokens)
	e.tickets = make(map[string]cacheEntry)
	e.fence = 0
	e.loads = nil
}

// Restart simulates a restart of the engine process: it ends all requests, clears the cache and increments the
// generation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelAll()
	e.generation++
	e.reset()
}

// Close ends all requests and waits for their goroutines.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.cancelAll()
	e.mu.Unlock()
	e.work.Wait()
	e.client.CloseIdleConnections()
}

// cancelAll cancels all requests. The caller holds the lock.
func (e *Engine) cancelAll() {
	for _, q := range e.requests {
		q.cancel()
	}
}

// Generation returns the number of the current generation.
func (e *Engine) Generation() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generation
}

// Stats returns the current counts.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Orders returns the JSON of the accepted orders.
func (e *Engine) Orders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.orders...)
}

// TokensByTag returns the number of cached tokens of each tag.
func (e *Engine) TokensByTag() map[string]int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.tokensByTag()
}

// admit adds a request to the queue, from which it starts when the batch has a free place. The caller holds the
// lock.
func (e *Engine) admit(q *request) {
	e.queue = append(e.queue, q)
	e.startQueued()
	e.recordLoad()
}

// startQueued starts queued requests in the order of arrival while the batch has free places. The caller holds the
// lock.
func (e *Engine) startQueued() {
	for e.running < e.settings.MaxRunning && len(e.queue) > 0 {
		q := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		close(q.admitted)
	}
}

// release removes a request from the queue, or from the batch, where its place becomes free. Requests of an earlier
// generation are in neither.
func (e *Engine) release(q *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q.generation != e.generation {
		return
	}
	for i, o := range e.queue {
		if o == q {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			e.recordLoad()
			return
		}
	}
	e.running--
	e.startQueued()
	e.recordLoad()
}

// decodeTime returns the simulated time for decoding a token with the present number of running calls.
func (e *Engine) decodeTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.settings.DecodeBase + time.Duration(max(0, e.running-1))*e.settings.DecodePerCall
	return time.Duration(float64(d) * e.faults.slowdown())
}

// sleep waits for a duration of simulated time and reports whether the whole time passed.
func (e *Engine) sleep(ctx context.Context, d time.Duration) bool {
	return e.settings.Scale.Sleep(ctx, d)
}
