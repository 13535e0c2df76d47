package server

import (
	"context"
	"sync"
	"time"

	"ragwortstile/internal/manifest"
	"ragwortstile/internal/program"
	"ragwortstile/internal/sched"
)

const (
	// pollInterval is the time between polls of the engines whose pools are dispatched here.
	pollInterval = 500 * time.Millisecond
	// DefaultReconcileInterval is the time between comparisons of the cache that engines hold with
	// what they may hold.
	DefaultReconcileInterval = 30 * time.Second
	// maxParallelPolls bounds the number of concurrent polls of engines.
	maxParallelPolls = 16
)

// releaseCache releases cache at an engine for the dispatcher.
func (c *core) releaseCache(r sched.Release) {
	c.inst.endpoints.releaseCache(r.Endpoint, r.Program, r.Branch)
}

// pollers polls the engines for load, cache events and the contents of their caches.
type pollers struct {
	i             *Instance
	nextEvent     map[string]uint64 // position of the next cache event, by engine
	generations   map[string]uint64 // last known generation, by engine; it changes when the engine restarts
	lastReconcile time.Time         // time of the last comparison of all caches
}

// pollResult is the result of polling one engine.
type pollResult struct {
	load       *sched.LoadReport
	events     []sched.CacheEvent
	nextEvent  uint64
	held       *program.CacheHeld
	generation uint64
}

// Serve implements suture.Service.
func (p *pollers) Serve(ctx context.Context) error {
	if p.nextEvent == nil {
		p.nextEvent, p.generations = map[string]uint64{}, map[string]uint64{}
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			p.i.waitWhilePaused()
			p.pollAll(ctx)
		}
	}
}

// String returns the service's name for the supervisor's log.
func (p *pollers) String() string { return "pollers" }

// pollAll polls the engines of the pools dispatched here, and the caches of all engines when a
// comparison is due.
func (p *pollers) pollAll(ctx context.Context) {
	reconcile := p.i.reconcileNow.Swap(false) || time.Since(p.lastReconcile) >= p.i.cfg.ReconcileInterval
	if reconcile {
		p.lastReconcile = time.Now()
	}
	dispatched := p.i.dispatchedPools()
	var wg sync.WaitGroup
	limit := make(chan struct{}, maxParallelPolls)
	var mu sync.Mutex
	for _, ep := range p.i.endpoints.engineEndpoints() {
		poolHere := dispatched[ep.Pool]
		if !poolHere && !reconcile {
			continue
		}
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			mu.Lock()
			from := p.nextEvent[ep.Name]
			mu.Unlock()
			s := p.poll(ctx, ep, poolHere, reconcile, from)
			mu.Lock()
			p.deliver(ep, s)
			mu.Unlock()
		})
	}
	wg.Wait()
}

func (p *pollers) poll(ctx context.Context, ep manifest.Endpoint, poolHere, reconcile bool, from uint64) pollResult {
	s := pollResult{nextEvent: from}
	client := p.i.endpoints.engineClient
	if poolHere {
		if load, err := client.Load(ctx, ep.Name); err == nil {
			s.load, s.generation = &load.Report, load.Report.Generation
		}
		if events, err := client.CacheEvents(ctx, ep.Name, from); err == nil {
			s.events, s.nextEvent = events.Events, events.Next
			reconcile = reconcile || events.Lost
		}
	}
	if reconcile {
		if list, err := client.ListCache(ctx, ep.Name); err == nil {
			held := list.Held()
			s.held, s.generation = &held, list.Generation
		}
	}
	return s
}

// deliver passes the result of a poll to the core loop. The caller holds the mutex of pollAll.
func (p *pollers) deliver(ep manifest.Endpoint, s pollResult) {
	p.nextEvent[ep.Name] = s.nextEvent
	restarted := s.generation != 0 && p.generations[ep.Name] != 0 && p.generations[ep.Name] != s.generation
	if s.generation != 0 {
		p.generations[ep.Name] = s.generation
	}
	c := p.i.core
	c.events.post(func() {
		if restarted {
			c.orders.engineRestarted(ep.Name)
			c.step(program.EngineRestarted{Endpoint: ep.Name})
		}
		if s.held != nil {
			c.step(*s.held)
		}
		d := c.dispatchers[ep.Pool]
		if d == nil {
			return
		}
		if s.load != nil {
			d.step(*s.load, "")
		}
		for _, ev := range s.events {
			d.step(ev, "")
		}
	})
}

// dispatchedPools returns the set of pools that this instance dispatches.
func (i *Instance) dispatchedPools() map[string]bool {
	v := i.view.Load()
	out := map[string]bool{}
	if v == nil {
		return out
	}
	for _, p := range v.status.Pools {
		out[p.Pool] = true
	}
	return out
}
