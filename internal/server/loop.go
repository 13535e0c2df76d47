package server

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"
)

const (
	// taskQueue bounds the events that wait for the loop. Senders wait beyond it.
	taskQueue = 4096
	// tickInterval is the resolution of deadlines, leases and claims.
	tickInterval = 100 * time.Millisecond
)

// events is the queue of the core loop. The goroutine that runs the loop owns the state of all
// cores; everybody else posts functions to it.
type events struct {
	tasks chan func()
	done  chan struct{} // closed when the instance has stopped
	own   []func()      // posted by the loop itself; run before the next task
}

func newEvents() *events {
	return &events{tasks: make(chan func(), taskQueue), done: make(chan struct{})}
}

// post hands a function to the loop. It waits while the queue is full and returns false when the
// instance has stopped. The loop itself must use later.
func (e *events) post(f func()) bool {
	select {
	case <-e.done:
		return false
	default:
	}
	select {
	case e.tasks <- f:
		return true
	case <-e.done:
		return false
	}
}

// later runs a function on the loop after the present one. Only the loop may call it.
func (e *events) later(f func()) { e.own = append(e.own, f) }

func (e *events) drainOwn() {
	for len(e.own) > 0 {
		f := e.own[0]
		e.own = e.own[1:]
		f()
	}
	e.own = nil
}

// coreLoop is the supervised service that runs the events of a core.
type coreLoop struct{ c *core }

// Serve implements suture.Service. A loop that ends early leaves state that cannot be trusted, so
// it takes the whole instance down with it.
func (l coreLoop) Serve(ctx context.Context) error {
	defer l.c.publishView()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return suture.ErrDoNotRestart
		case f := <-l.c.events.tasks:
			l.run(f)
		case <-ticker.C:
			l.run(l.c.tick)
		}
	}
}

// run handles one event and what follows from it, and counts the time that it takes.
func (l coreLoop) run(f func()) {
	start := time.Now()
	f()
	l.c.events.drainOwn()
	l.c.inst.observer.loopTime.Add(int64(time.Since(start)))
}

// String names the loop in the supervisor's log.
func (l coreLoop) String() string { return "core loop" }
