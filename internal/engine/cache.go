package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/sched"
)

// Load is the load report of an engine with its limits.
type Load struct {
	Report sched.LoadReport
	// MaxRunning is the number of calls that the engine can run at once; 0: not reported.
	MaxRunning  int
	CacheTokens int64 // size of the prefix cache
}

// Load reads the load report of an engine. Report.Age says how old it is.
func (c *Client) Load(ctx context.Context, name string) (Load, error) {
	ans, err := c.control(ctx, http.MethodGet, name, "/v1/load", nil)
	if err != nil {
		return Load{}, fmt.Errorf("load of %s: %w", name, err)
	}
	var w LoadResponse
	if err := ans.decode(&w); err != nil {
		return Load{}, fmt.Errorf("load of %s: %w", name, err)
	}
	return Load{
		Report: sched.LoadReport{
			Endpoint:   name,
			Age:        milliseconds(w.AgeMS),
			Running:    max(0, w.Running),
			Waiting:    max(0, w.Waiting),
			CacheUsed:  max(0, w.CacheUsed),
			Generation: w.Generation,
		},
		MaxRunning:  max(0, w.MaxRunning),
		CacheTokens: max(0, w.CacheTokens),
	}, nil
}

// CacheEvents is a range of the cache events of an engine.
type CacheEvents struct {
	Events     []sched.CacheEvent
	Next       uint64 // offset from which to ask next
	Generation uint64
	// Lost is true if events are missing before, between or after these. The caller must read the
	// cache list then, since the events no longer give the state of the cache.
	Lost bool
}

// CacheEvents reads the cache events of an engine from an offset on. After a restart of the engine the
// offsets start at 0 again, and Lost is true.
func (c *Client) CacheEvents(ctx context.Context, name string, from uint64) (CacheEvents, error) {
	ans, err := c.control(ctx, http.MethodGet, name, "/v1/cache/events?from="+formatUint(from), nil)
	if err != nil {
		return CacheEvents{}, fmt.Errorf("cache events of %s: %w", name, err)
	}
	var w CacheEventsResponse
	if err := ans.decode(&w); err != nil {
		return CacheEvents{}, fmt.Errorf("cache events of %s: %w", name, err)
	}
	events, err := convertEvents(name, from, w)
	if err != nil {
		return CacheEvents{}, fmt.Errorf("cache events of %s: %w", name, err)
	}
	return events, nil
}

func convertEvents(name string, from uint64, w CacheEventsResponse) (CacheEvents, error) {
	out := CacheEvents{Next: w.Next, Generation: w.Generation}
	want := from
	for _, e := range w.Events {
		if e.Offset != want {
			out.Lost = true
		}
		want = e.Offset + 1
		kind, err := eventKind(e.Kind)
		if err != nil {
			return CacheEvents{}, err
		}
		prog, branch := splitTag(e.Tag)
		out.Events = append(out.Events, sched.CacheEvent{
			Endpoint: name, Kind: kind, Program: prog, Branch: branch, Tokens: max(0, e.Tokens),
		})
	}
	if w.Next != want {
		out.Lost = true
	}
	return out, nil
}

func eventKind(kind string) (sched.CacheEventKind, error) {
	switch kind {
	case KindStored:
		return sched.CacheStored, nil
	case KindEvicted:
		return sched.CacheEvicted, nil
	default:
		return 0, fmt.Errorf("%w: unknown kind of cache event", ErrMalformed)
	}
}

// splitTag splits a cache tag, "<program>/<branch>".
func splitTag(tag string) (id.Program, string) {
	prog, branch, _ := strings.Cut(tag, "/")
	return id.Program(prog), branch
}

// CacheEntry is the prefix that an engine caches for a branch.
type CacheEntry struct {
	Program id.Program
	Branch  string
	Tokens  int64
}

// CacheList is the current content of the cache of an engine.
type CacheList struct {
	Endpoint   string
	Generation uint64
	Entries    []CacheEntry
}

// Held returns the list as an event for program.Core. Each program occurs once.
func (l CacheList) Held() program.CacheHeld {
	held := program.CacheHeld{Endpoint: l.Endpoint}
	seen := make(map[id.Program]bool, len(l.Entries))
	for _, e := range l.Entries {
		if seen[e.Program] {
			continue
		}
		seen[e.Program] = true
		held.Programs = append(held.Programs, e.Program)
	}
	return held
}

// ListCache returns the prefixes that an engine caches.
func (c *Client) ListCache(ctx context.Context, name string) (CacheList, error) {
	ans, err := c.control(ctx, http.MethodGet, name, "/v1/cache", nil)
	if err != nil {
		return CacheList{}, fmt.Errorf("cache of %s: %w", name, err)
	}
	var w CacheResponse
	if err := ans.decode(&w); err != nil {
		return CacheList{}, fmt.Errorf("cache of %s: %w", name, err)
	}
	list := CacheList{Endpoint: name, Generation: w.Generation}
	for _, e := range w.Entries {
		prog, branch := splitTag(e.Tag)
		list.Entries = append(list.Entries, CacheEntry{Program: prog, Branch: branch, Tokens: max(0, e.Tokens)})
	}
	return list, nil
}

// Release drops all cache of a program at an engine. It succeeds if the engine has none.
func (c *Client) Release(ctx context.Context, r program.ReleaseCache) (program.CacheReleased, error) {
	return c.release(ctx, r.Endpoint, r.Program, "")
}

// ReleaseBranch drops the cache of one branch at an engine.
func (c *Client) ReleaseBranch(ctx context.Context, name string, p id.Program, branch string) error {
	_, err := c.release(ctx, name, p, "?branch="+url.QueryEscape(branch))
	return err
}

func (c *Client) release(ctx context.Context, name string, p id.Program, query string) (program.CacheReleased, error) {
	ans, err := c.control(ctx, http.MethodDelete, name, "/v1/cache/"+url.PathEscape(string(p))+query, nil)
	if err != nil {
		return program.CacheReleased{}, fmt.Errorf("release cache at %s: %w", name, err)
	}
	if err := ans.checkStatus(); err != nil && !errors.Is(err, ErrNotFound) {
		return program.CacheReleased{}, fmt.Errorf("release cache at %s: %w", name, err)
	}
	return program.CacheReleased{Program: p, Endpoint: name}, nil
}

// MoveCache exports the cache of a branch at one engine and imports it at another. The engines transfer
// the content between themselves; only a ticket passes through this process.
func (c *Client) MoveCache(ctx context.Context, from, to, tag string) error {
	source, err := c.baseURL(from)
	if err != nil {
		return err
	}
	target, err := c.baseURL(to)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.MoveTimeout)
	defer cancel()
	ans, err := c.exchange(ctx, http.MethodPost, source+"/v1/cache/export", ExportRequest{Tag: tag})
	if err != nil {
		return fmt.Errorf("export at %s: %w", from, err)
	}
	var ticket ExportResponse
	if err := ans.decode(&ticket); err != nil {
		return fmt.Errorf("export at %s: %w", from, err)
	}
	in := ImportRequest{Tag: tag, Ticket: ticket.Ticket, Source: source}
	ans, err = c.exchange(ctx, http.MethodPost, target+"/v1/cache/import", in)
	if err != nil {
		return fmt.Errorf("import at %s: %w", to, err)
	}
	if err := ans.checkStatus(); err != nil {
		return fmt.Errorf("import at %s: %w", to, err)
	}
	return nil
}
