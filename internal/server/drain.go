package server

import (
	"context"
	"time"

	"ragwortstile/internal/membership"
	"ragwortstile/internal/program"
	"ragwortstile/internal/telemetry"
)

// drainPoll is the interval of the checks whether draining is complete.
const drainPoll = 50 * time.Millisecond

// Drain stops the instance without interrupting a request in flight. First the readiness check fails,
// and for DrainWait the load balancer can notice it. Slots are handed over once their calls are
// finished, and streams to callers run to their end, for at most DrainTimeout. Drain returns nil if
// no request was cut off and all records were flushed to the log.
func (i *Instance) Drain(ctx context.Context) error {
	if !i.started.Load() {
		i.Kill()
		return nil
	}
	i.log.Info("drain_started")
	i.core.events.post(i.core.startDrain)
	sleep(ctx, i.cfg.DrainWait)
	drainCtx, cancel := context.WithTimeout(ctx, i.cfg.DrainTimeout)
	defer cancel()
	i.awaitDrained(drainCtx)
	// Shutdown closes the listener and waits for the requests in flight.
	err := i.apiServer.Shutdown(drainCtx)
	if flushErr := i.programAppender.Flush(drainCtx); err == nil {
		err = flushErr
	}
	i.log.Info("drain_finished", telemetry.Err(err))
	i.cancel()
	<-i.stopped
	return err
}

// startDrain makes the readiness check fail and refuses new programs. It runs on the core loop.
func (c *core) startDrain() {
	if c.draining {
		return
	}
	c.draining = true
	c.members.state.Step(c.inst.now(), membership.Drain{})
	c.members.nextHeartbeat = 0 // tell the peers at once
	c.step(program.Draining{})
	c.publishView()
}

// awaitDrained waits until drained reports true, the instance stops or ctx ends.
func (i *Instance) awaitDrained(ctx context.Context) {
	for ctx.Err() == nil && i.ctx.Err() == nil {
		answer := make(chan bool, 1)
		i.core.events.post(func() { answer <- i.core.drained() })
		select {
		case drained := <-answer:
			if drained {
				return
			}
		case <-i.ctx.Done():
			return
		}
		sleep(ctx, drainPoll)
	}
}

// drained reports whether nothing is left to finish: no request of a caller here is unanswered, no
// call of this owner is in progress and no slot is held. If no other instance can take the slots,
// they are kept until the end; their programs are in the log.
func (c *core) drained() bool {
	if len(c.requests) > 0 || len(c.submissions) > 0 || c.inst.endpoints.busy() {
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
