package server

import (
	"context"
	"time"

	"ragwortstile/internal/membership"
	"ragwortstile/internal/program"
	"ragwortstile/internal/telemetry"
)

// drainPoll is the time between checks whether a drain step is complete.
const drainPoll = 50 * time.Millisecond

// Drain stops the instance without interrupting a request in flight (design section 8): readiness
// fails, the balancer gets time to see it, slots are handed over when their calls are finished, and
// the streams of this front end by themselves. It returns nil when nothing was cut off.
func (i *Instance) Drain(ctx context.Context) error {
	if !i.started.Load() {
		i.Kill()
		return nil
	}
	i.log.Info("drain_started")
	i.core.events.post(i.core.startDrain)
	sleep(ctx, i.cfg.DrainWait)
	dctx, cancel := context.WithTimeout(ctx, i.cfg.DrainTimeout)
	defer cancel()
	i.awaitDrained(dctx)
	// The listener closes; requests that are under way finish.
	err := i.front.Shutdown(dctx)
	if ferr := i.programs.Flush(dctx); err == nil {
		err = ferr
	}
	i.log.Info("drain_finished", telemetry.Err(err))
	i.cancel()
	<-i.stopped
	return err
}

// startDrain makes the readiness check fail and refuses new programs. It runs on the loop.
func (c *core) startDrain() {
	if c.draining {
		return
	}
	c.draining = true
	c.members.core.Step(c.inst.now(), membership.Drain{})
	c.members.next = 0 // tell the peers at once
	c.step(program.Draining{})
	c.publishView()
}

// awaitDrained waits until no slot is held, no call that this instance owns is under way and no
// request of its front is unanswered.
func (i *Instance) awaitDrained(ctx context.Context) {
	for ctx.Err() == nil && i.ctx.Err() == nil {
		idle := make(chan bool, 1)
		i.core.events.post(func() { idle <- i.core.drained() })
		select {
		case ok := <-idle:
			if ok {
				return
			}
		case <-i.ctx.Done():
			return
		}
		sleep(ctx, drainPoll)
	}
}

// drained tells whether nothing is left to finish. Slots that no other instance can take are kept
// until the end: their programs are in the log.
func (c *core) drained() bool {
	if len(c.requests) > 0 || len(c.submissions) > 0 || c.inst.engines.busy() {
		return false
	}
	if len(c.members.candidates()) == 0 {
		return true
	}
	for range c.heldSlots() {
		return false
	}
	return true
}
