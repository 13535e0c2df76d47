package server

import (
	"context"
	"time"

	"github.com/thejerf/suture/v4"
)

const (
	// taskQueueSize bounds the events that wait for the loop. Senders block while the queue is full.
	taskQueueSize = 4096
	// tickInterval is the interval of ticks: the resolution of deadlines, leases and claims.
	tickInterval = 100 * time.Millisecond
)

// events is the queue of the core loop. The goroutine that runs the loop owns the state of all cores;
// all other goroutines post functions to it.
type events struct {
	tasks    chan func()
	done     chan struct{} // closing it releases blocked senders
	deferred []func()      // added by the loop itself; run before the next task
}

func newEvents() *events {
	return &events{tasks: make(chan func(), taskQueueSize), done: make(chan struct{})}
}

// post adds a function to the loop's queue. It blocks while the queue is full and returns false once
// done is closed. The loop itself must use deferTask, since blocking on its own queue would deadlock
// it.
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

// deferTask runs a function on the loop after the current one. Only the loop may call it.
func (e *events) deferTask(f func()) { e.deferred = append(e.deferred, f) }

func (e *events) runDeferred() {
	for len(e.deferred) > 0 {
		f := e.deferred[0]
		e.deferred = e.deferred[1:]
		f()
	}
	e.deferred = nil
}

// coreLoop is the supervised service that runs the functions posted to a core.
type coreLoop struct{ c *core }

// Serve implements suture.Service. The loop is never restarted: after an early end its state cannot
// be trusted, so a panic in it ends the process (see newSupervisor).
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

// run executes one function and the tasks that it deferred, and adds the time taken to loopTime.
func (l coreLoop) run(f func()) {
	start := time.Now()
	f()
	l.c.events.runDeferred()
	l.c.inst.observer.loopTime.Add(int64(time.Since(start)))
}

// String returns the service's name for the supervisor's log.
func (l coreLoop) String() string { return "core loop" }
