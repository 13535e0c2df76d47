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
	maxControlBytes = 1 << 20
	transferTimeout = 5 * time.Second
)

// loadSample is the state of the engine at a time.
type loadSample struct {
	at        time.Time
	running   int
	waiting   int
	cacheUsed int64
}

// sample notes the present state for later load reports. The caller holds the lock.
func (e *Engine) sample() {
	now := time.Now()
	e.loads = append(e.loads, loadSample{at: now, running: e.running, waiting: len(e.queue), cacheUsed: e.cache.tokens})
	limit := now.Add(-e.settings.Scale.Real(e.settings.LoadLag))
	n := 0
	for n+1 < len(e.loads) && !e.loads[n+1].at.After(limit) {
		n++
	}
	e.loads = e.loads[n:]
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, e.loadReport())
}

func (e *Engine) loadReport() engine.LoadResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	lag := e.settings.Scale.Real(e.settings.LoadLag)
	limit := time.Now().Add(-lag)
	var s loadSample
	for _, l := range e.loads {
		if l.at.After(limit) {
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

// eventsFrom returns the events that are old enough to be read. A lost event is skipped: Next goes
// past it only when a later one can be read.
func (e *Engine) eventsFrom(from uint64) engine.CacheEventsResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := time.Now().Add(-e.settings.Scale.Real(e.settings.EventDelay))
	a := engine.CacheEventsResponse{Generation: e.generation, Next: min(from, e.cache.next)}
	for _, s := range e.cache.events {
		if s.at.After(limit) {
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
	for tag, tokens := range e.cache.held() {
		a.Entries = append(a.Entries, engine.WireCacheEntry{Tag: tag, Tokens: tokens})
	}
	sort.Slice(a.Entries, func(i, j int) bool { return a.Entries[i].Tag < a.Entries[j].Tag })
	standin.WriteJSON(w, http.StatusOK, a)
}

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
		e.cacheEvent(engine.KindEvicted, tag, tokens)
	}
	e.sample()
	w.WriteHeader(http.StatusNoContent)
}

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

// handleTicket hands the cache of a ticket to another engine, once.
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
	e.stats.WastedTokens += e.cache.put(in.Tag, entry, e.cacheEvent)
	e.sample()
	w.WriteHeader(http.StatusNoContent)
}

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

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var in engine.OrderRequest
	if !readJSON(w, r, &in) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	old := in.Fence < e.fence
	if old && !e.settings.IgnoresFence {
		e.stats.StaleOrdersRefused++
		standin.WriteJSON(w, http.StatusConflict, engine.StaleFenceResponse{Fence: e.fence})
		return
	}
	if old {
		e.stats.StaleOrdersAccepted++
	}
	e.fence = max(e.fence, in.Fence)
	e.orders = append(e.orders, string(in.Order))
	w.WriteHeader(http.StatusNoContent)
}

func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(out); err != nil {
		standin.WriteError(w, http.StatusBadRequest, "body: %v", err)
		return false
	}
	return true
}
