package enginestand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"time"

	"ragwortstile/internal/engine"
	"ragwortstile/internal/standin"
)

const (
	maxControlBytes = 1 << 20         // maximum size of the body of a control request and of an exported cache entry
	transferTimeout = 5 * time.Second // time limit for fetching an exported cache entry from another engine
)

// loadSample is the load of the engine at a point in time.
type loadSample struct {
	at        time.Time
	running   int
	waiting   int
	cacheUsed int64 // tokens
}

// recordLoad records the present load for later load reports, and deletes the samples that no later
// report needs. The caller holds the lock.
func (e *Engine) recordLoad() {
	now := time.Now()
	e.loads = append(e.loads, loadSample{at: now, running: e.running, waiting: len(e.queue), cacheUsed: e.cache.tokens})
	cutoff := now.Add(-e.settings.Scale.Real(e.settings.LoadLag))
	n := 0
	for n+1 < len(e.loads) && !e.loads[n+1].at.After(cutoff) {
		n++
	}
	e.loads = e.loads[n:]
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, e.loadReport())
}

// loadReport returns the load of the engine LoadLag ago.
func (e *Engine) loadReport() engine.LoadResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	lag := e.settings.Scale.Real(e.settings.LoadLag)
	cutoff := time.Now().Add(-lag)
	var s loadSample
	for _, l := range e.loads {
		if l.at.After(cutoff) {
			break
		}
		s = l
	}
	return engine.LoadResponse{Running: s.running, Waiting: s.waiting, MaxRunning: e.settings.MaxRunning, CacheUsed: s.cacheUsed,
		CacheTokens: e.settings.CacheTokens, Generation: e.generation, AgeMS: lag.Milliseconds()}
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "from is no offset")
		return
	}
	standin.WriteJSON(w, http.StatusOK, e.eventsFrom(from))
}

// eventsFrom returns the cache events from an offset on that are at least EventDelay old. Dropped events are
// missing: Next is beyond the offset of a dropped event only if a later event is returned.
func (e *Engine) eventsFrom(from uint64) engine.CacheEventsResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	cutoff := time.Now().Add(-e.settings.Scale.Real(e.settings.EventDelay))
	a := engine.CacheEventsResponse{Generation: e.generation, Next: min(from, e.cache.next)}
	for _, s := range e.cache.events {
		if s.at.After(cutoff) {
			break
		}
		if s.event.Offset >= from {
			a.Events = append(a.Events, s.event)
			a.Next = s.event.Offset + 1
		}
	}
	return a
}

func (e *Engine) handleCache(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := engine.CacheResponse{Generation: e.generation}
	for tag, tokens := range e.cache.tokensByTag() {
		a.Entries = append(a.Entries, engine.WireCacheEntry{Tag: tag, Tokens: tokens})
	}
	sort.Slice(a.Entries, func(i, j int) bool { return a.Entries[i].Tag < a.Entries[j].Tag })
	standin.WriteJSON(w, http.StatusOK, a)
}

// handleRelease removes the cache entries of a program, or of one of its branches.
func (e *Engine) handleRelease(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	tags := e.cache.tagsOf(r.PathValue("program"), r.URL.Query().Get("branch"))
	if len(tags) == 0 {
		standin.WriteError(w, http.StatusNotFound, "no cache of the program")
		return
	}
	for _, tag := range tags {
		tokens := e.cache.entries[tag].Tokens
		e.cache.remove(tag)
		e.addCacheEvent(engine.KindEvicted, tag, tokens)
	}
	e.recordLoad()
	w.WriteHeader(http.StatusNoContent)
}

// handleExport creates a ticket with which another engine can fetch a cache entry.
func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	var in engine.ExportRequest
	if !readJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := e.cache.entries[in.Tag]
	if entry == nil {
		standin.WriteError(w, http.StatusNotFound, "no cache of the tag")
		return
	}
	entry.reused = true
	e.ticketSeq++
	ticket := fmt.Sprintf("t%d-%d", e.generation, e.ticketSeq)
	e.tickets[ticket] = *entry
	standin.WriteJSON(w, http.StatusOK, engine.ExportResponse{Ticket: ticket, Tokens: entry.Tokens})
}

// handleTicket returns the exported cache entry of a ticket to another engine. A ticket can be used once.
func (e *Engine) handleTicket(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ticket := r.PathValue("ticket")
	entry, ok := e.tickets[ticket]
	if !ok {
		standin.WriteError(w, http.StatusNotFound, "unknown ticket")
		return
	}
	delete(e.tickets, ticket)
	standin.WriteJSON(w, http.StatusOK, entry)
}

// handleImport fetches an exported cache entry from another engine and stores it.
func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var in engine.ImportRequest
	if !readJSON(w, r, &in) {
		return
	}
	entry, err := e.fetchTicket(r.Context(), in)
	if err != nil {
		standin.WriteError(w, http.StatusBadGateway, "import: %v", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.WastedTokens += e.cache.put(in.Tag, entry, e.addCacheEvent)
	e.recordLoad()
	w.WriteHeader(http.StatusNoContent)
}

// fetchTicket fetches the cache entry of a ticket from the engine that issued it.
func (e *Engine) fetchTicket(ctx context.Context, in engine.ImportRequest) (cacheEntry, error) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	u := in.Source + "/v1/cache/tickets/" + url.PathEscape(in.Ticket)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return cacheEntry{}, err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return cacheEntry{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return cacheEntry{}, fmt.Errorf("source answered status %d", resp.StatusCode)
	}
	var entry cacheEntry
	err = json.NewDecoder(io.LimitReader(resp.Body, maxControlBytes)).Decode(&entry)
	return entry, err
}

// handleOrder accepts an order. It refuses an order with a fencing token below the highest one of an accepted order,
// unless Settings.IgnoresFence is set.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var in engine.OrderRequest
	if !readJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := in.Fence < e.fence
	if stale && !e.settings.IgnoresFence {
		e.stats.StaleOrdersRefused++
		standin.WriteJSON(w, http.StatusConflict, engine.StaleFenceResponse{Fence: e.fence})
		return
	}
	if stale {
		e.stats.StaleOrdersAccepted++
	}
	e.fence = max(e.fence, in.Fence)
	e.orders = append(e.orders, string(in.Order))
	w.WriteHeader(http.StatusNoContent)
}

// readJSON decodes the body of a request. If that fails, it sends an error response and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(out); err != nil {
		standin.WriteError(w, http.StatusBadRequest, "body: %v", err)
		return false
	}
	return true
}
