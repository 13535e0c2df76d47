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

// endpoints carries out the owner's actions at engines and services, each in its own goroutine.
type endpoints struct {
	inst     *Instance
	http     *endpoint.Client
	engines  *engine.Client
	services *service.Client
	wg       sync.WaitGroup

	mu      sync.Mutex
	byName  map[string]manifest.Endpoint
	byPool  map[string][]manifest.Endpoint
	models  map[string]bool // model pools
	running map[id.Attempt]*runningAttempt
	closed  bool
}

// runningAttempt is an attempt at an endpoint.
type runningAttempt struct{ cancel context.CancelFunc }

func newEndpoints(i *Instance) *endpoints {
	e := &endpoints{inst: i, http: endpoint.New(endpoint.Options{}), running: map[id.Attempt]*runningAttempt{}}
	failed := func(attempt id.Attempt, err error) {
		i.log.Debug("attempt_failed", telemetry.Attempt(attempt), telemetry.Err(err))
	}
	e.engines = engine.New(engine.Config{HTTP: e.http, URL: e.url, Failed: failed})
	e.services = service.New(service.Config{HTTP: e.http, URL: e.url, Now: i.now, Failed: failed})
	return e
}

func (e *endpoints) url(name string) (string, bool) {
	ep, ok := e.find(name)
	return ep.URL, ok
}

// isEngine tells whether an endpoint belongs to a model pool.
func (e *endpoints) isEngine(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.models[e.byName[name].Pool]
}

// all returns the model engines.
func (e *endpoints) all() []manifest.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []manifest.Endpoint
	for _, ep := range e.byName {
		if e.models[ep.Pool] {
			out = append(out, ep)
		}
	}
	return out
}

// setManifest replaces the endpoints.
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
	e.byName, e.byPool, e.models = byName, byPool, models
}

func (e *endpoints) find(name string) (manifest.Endpoint, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep, ok := e.byName[name]
	return ep, ok
}

func (e *endpoints) ofPool(pool string) []manifest.Endpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byPool[pool]
}

// busy tells whether attempts are under way.
func (e *endpoints) busy() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) > 0
}

// wait returns when all work has ended. The instance's context has ended before.
func (e *endpoints) wait() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.wg.Wait()
	e.http.Close()
}

// spawn runs work that ends with the instance. It does nothing when the instance has stopped.
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

// start runs one attempt under a timeout. A second attempt with the same ID, as a resume, replaces
// the first one's entry.
func (e *endpoints) start(attempt id.Attempt, timeout time.Duration, f func(ctx context.Context) program.Finished) {
	ctx, cancel := context.WithTimeout(e.inst.ctx, timeout)
	r := &runningAttempt{cancel: cancel}
	e.mu.Lock()
	e.running[attempt] = r
	e.mu.Unlock()
	e.spawn(func() {
		defer cancel()
		finished := f(ctx)
		e.inst.passGate()
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

// stop ends an attempt that is under way here.
func (e *endpoints) stop(attempt id.Attempt) {
	e.mu.Lock()
	r := e.running[attempt]
	e.mu.Unlock()
	if r != nil {
		r.cancel()
	}
}
