package server

import (
	"context"
	"sync"
	"time"

	"ragwortstile/internal/endpoint"
	"ragwortstile/internal/engine"
	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/program"
	"ragwortstile/internal/service"
	"ragwortstile/internal/telemetry"
)

// endpoints executes the owner's actions at engines and services, each in a goroutine of its own.
type endpoints struct {
	inst          *Instance
	http          *endpoint.Client
	engineClient  *engine.Client
	serviceClient *service.Client
	wg            sync.WaitGroup

	mu         sync.Mutex
	byName     map[string]manifest.Endpoint
	byPool     map[string][]manifest.Endpoint
	modelPools map[string]bool // whether a pool is a model pool
	running    map[id.Attempt]*runningAttempt
	closed     bool
}

// runningAttempt is an attempt in progress at an endpoint.
type runningAttempt struct{ cancel context.CancelFunc }

func newEndpoints(i *Instance) *endpoints {
	e := &endpoints{inst: i, http: endpoint.New(endpoint.Options{}), running: map[id.Attempt]*runningAttempt{}}
	failed := func(attempt id.Attempt, err error) {
		i.log.Debug("attempt_failed", telemetry.Attempt(attempt), telemetry.Err(err))
	}
	e.engineClient = engine.New(engine.Config{HTTP: e.http, URL: e.url, Failed: failed})
	e.serviceClient = service.New(service.Config{HTTP: e.http, URL: e.url, Now: i.now, Failed: failed})
	return e
}

func (e *endpoints) url(name string) (string, bool) {
	ep, ok := e.find(name)
	return ep.URL, ok
}

// isEngine reports whether an endpoint belongs to a model pool.
func (e *endpoints) isEngine(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.modelPools[e.byName[name].Pool]
}

// engineEndpoints returns the endpoints of all model pools.
func (e *endpoints) engineEndpoints() []manifest.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []manifest.Endpoint
	for _, ep := range e.byName {
		if e.modelPools[ep.Pool] {
			out = append(out, ep)
		}
	}
	return out
}

// setManifest replaces the known endpoints and pools by those of a manifest.
func (e *endpoints) setManifest(m *manifest.Manifest) {
	byName := make(map[string]manifest.Endpoint, len(m.Endpoints))
	byPool := map[string][]manifest.Endpoint{}
	for _, ep := range m.Endpoints {
		byName[ep.Name] = ep
		byPool[ep.Pool] = append(byPool[ep.Pool], ep)
	}
	models := map[string]bool{}
	for _, p := range m.Pools {
		models[p.Name] = p.Kind == manifest.PoolModel
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.byName, e.byPool, e.modelPools = byName, byPool, models
}

func (e *endpoints) find(name string) (manifest.Endpoint, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep, ok := e.byName[name]
	return ep, ok
}

func (e *endpoints) inPool(pool string) []manifest.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byPool[pool]
}

// busy reports whether attempts are in progress.
func (e *endpoints) busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) > 0
}

// close prevents new work, waits for all goroutines and closes the connections. The instance's
// context must have been canceled before.
func (e *endpoints) close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.wg.Wait()
	e.http.Close()
}

// spawn runs f in a goroutine that close waits for. It does nothing once the instance has stopped.
func (e *endpoints) spawn(f func()) {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.wg.Add(1)
	e.mu.Unlock()
	go func() {
		defer e.wg.Done()
		f()
	}()
}

// startAttempt runs one attempt with a timeout and passes its result to the owner core. A second
// attempt with the same ID, such as a resumption, replaces the entry of the first.
func (e *endpoints) startAttempt(attempt id.Attempt, timeout time.Duration, f func(ctx context.Context) program.Finished) {
	ctx, cancel := context.WithTimeout(e.inst.ctx, timeout)
	r := &runningAttempt{cancel: cancel}
	e.mu.Lock()
	e.running[attempt] = r
	e.mu.Unlock()
	e.spawn(func() {
		defer cancel()
		finished := f(ctx)
		e.inst.waitWhilePaused()
		e.mu.Lock()
		if e.running[attempt] == r {
			delete(e.running, attempt)
		}
		e.mu.Unlock()
		if e.inst.ctx.Err() == nil {
			e.inst.core.events.post(func() { e.inst.core.step(finished) })
		}
	})
}

// stopAttempt cancels an attempt that is in progress here.
func (e *endpoints) stopAttempt(attempt id.Attempt) {
	e.mu.Lock()
	r := e.running[attempt]
	e.mu.Unlock()
	if r != nil {
		r.cancel()
	}
}
