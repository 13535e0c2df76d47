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
	// pollInterval is the time between load reports of the engines whose pool is dispatched here.
	pollInterval = 500 * time.Millisecond
	// DefaultReconcileInterval is the time between comparisons of what engines hold with what they may hold.
	DefaultReconcileInterval = 30 * time.Second
	// pollParallel bounds the polls of engines at the same time.
	pollParallel = 16
)

// releaseCache drops cache at an engine for the dispatcher.
func (c *core) releaseCache(r sched.Release) { c.inst.engines.release(r.Endpoint, r.Program, r.Branch) }

// pollers reads load, cache events and cache lists of the engines.
type pollers struct {
	i       *Instance
	offsets map[string]uint64 // next cache event of each engine
	restart map[string]uint64 // generation of each engine
	held    time.Time         // last comparison
}

// engineState is what one poll of an engine brought.
type engineState struct {
	load   *sched.LoadReport
	events []sched.CacheEvent
	next   uint64
	held   *program.CacheHeld
	gen    uint64
}

// Serve implements suture.Service.
func (p *pollers) Serve(ctx context.Context) error {
	if p.offsets == nil {
		p.offsets, p.restart = map[string]uint64{}, map[string]uint64{}
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			p.i.passGate()
			p.round(ctx)
		}
	}
}

// String names the service in the supervisor's log.
func (p *pollers) String() string { return "pollers" }

// round polls the engines of the pools dispatched here, and all engines when a comparison is due.
func (p *pollers) round(ctx context.Context) {
	all := p.i.reconcileNow.Swap(false) || time.Since(p.held) >= p.i.cfg.ReconcileInterval
	if all {
		p.held = time.Now()
	}
	dispatched := p.i.dispatchedPools()
	var wg sync.WaitGroup
	limit := make(chan struct{}, pollParallel)
	var mu sync.Mutex
	for _, ep := range p.i.engines.all() {
		mine := dispatched[ep.Pool]
		if !mine && !all {
			continue
		}
		limit <- struct{}{}
		wg.Go(func() {
			defer func() { <-limit }()
			mu.Lock()
			from := p.offsets[ep.Name]
			mu.Unlock()
			s := p.poll(ctx, ep, mine, all, from)
			mu.Lock()
			p.deliver(ep, s)
			mu.Unlock()
		})
	}
	wg.Wait()
}

func (p *pollers) poll(ctx context.Context, ep manifest.Endpoint, mine, all bool, from uint64) engineState {
	s := engineState{next: from}
	client := p.i.engines.engines
	if mine {
		if load, err := client.Load(ctx, ep.Name); err == nil {
			s.load, s.gen = &load.Report, load.Report.Generation
		}
		if events, err := client.CacheEvents(ctx, ep.Name, from); err == nil {
			s.events, s.next = events.Events, events.Next
			all = all || events.Lost
		}
	}
	if all {
		if list, err := client.Cache(ctx, ep.Name); err == nil {
			held := list.Held()
			s.held, s.gen = &held, list.Generation
		}
	}
	return s
}

// deliver hands what a poll brought to the loop. The caller holds the lock of the round.
func (p *pollers) deliver(ep manifest.Endpoint, s engineState) {
	p.offsets[ep.Name] = s.next
	restarted := s.gen != 0 && p.restart[ep.Name] != 0 && p.restart[ep.Name] != s.gen
	if s.gen != 0 {
		p.restart[ep.Name] = s.gen
	}
	c := p.i.core
	c.events.post(func() {
		if restarted {
			c.orders.restarted(ep.Name)
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

// dispatchedPools returns the pools that this instance dispatches.
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
