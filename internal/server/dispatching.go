package server

import (
	"context"
	"errors"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
	"ragwortstile/internal/telemetry"
)

// controlTimeout bounds orders to endpoints that are not calls.
const controlTimeout = 3 * time.Second

// errLeaseOver tells that a non-idempotent request was held back.
var errLeaseOver = errors.New("the lease lapsed before the request was written")

// dispatchModel sends a model call to its engine and passes on its answer.
func (e *endpoints) dispatchModel(a program.DispatchModel) {
	e.start(a.Attempt, a.Timeout, func(ctx context.Context) program.Finished {
		e.inst.passGate()
		return e.engines.Complete(ctx, a, func(p program.Progress) {
			e.inst.passGate()
			e.inst.core.events.post(func() { e.inst.core.step(p) })
		})
	})
}

// dispatchService sends a service call. The lease is checked immediately before the request is
// written, because the process may have been paused since the decision.
func (e *endpoints) dispatchService(a program.DispatchService) {
	e.start(a.Attempt, a.Timeout, func(ctx context.Context) program.Finished {
		e.inst.passGate()
		// A paused process passes the gate before the check of the lease, as a stopped one would.
		return e.services.Call(ctx, a, func() error {
			e.inst.passGate()
			if !a.Idempotent && e.inst.now() >= min(a.NotAfter, time.Duration(e.inst.mayDispatch.Load())) {
				return errLeaseOver
			}
			return nil
		})
	})
}

// cancelAttempt stops an attempt here and at its engine. A service call that was written is only
// given up here; services have no cancel.
func (e *endpoints) cancelAttempt(a program.CancelAttempt) {
	e.stop(a.Attempt)
	if !e.isEngine(a.Endpoint) {
		return
	}
	e.spawn(func() {
		ctx, cancel := context.WithTimeout(e.inst.ctx, controlTimeout)
		defer cancel()
		if err := e.engines.Cancel(ctx, a.Endpoint, a.Attempt); err != nil {
			e.inst.log.Debug("attempt_not_cancelled", telemetry.Attempt(a.Attempt), telemetry.Endpoint(a.Endpoint), telemetry.Err(err))
		}
	})
}

// ask asks the servers of a service whether they ran an attempt. One that ran it decides; only when
// all of them answer that they did not is the attempt known as not run.
func (e *endpoints) ask(a program.AskOutcome) {
	servers := e.ofPool(a.Service)
	e.spawn(func() {
		e.inst.passGate()
		ctx, cancel := context.WithTimeout(e.inst.ctx, controlTimeout)
		defer cancel()
		answer := program.OutcomeReported{Attempt: a.Attempt, Executed: record.ExecutedNo}
		for _, ep := range servers {
			got, err := e.services.AskOutcome(ctx, ep.Name, a.Attempt)
			if err == nil && got.Executed == record.ExecutedYes {
				answer = got
				break
			}
			if err != nil || got.Executed == record.ExecutedUnknown {
				answer.Executed = record.ExecutedUnknown
			}
		}
		if len(servers) == 0 {
			answer.Executed = record.ExecutedUnknown
		}
		e.inst.passGate()
		e.inst.core.events.post(func() { e.inst.core.step(answer) })
	})
}

// release drops a program's cache at an engine, or that of one branch.
func (e *endpoints) release(endpoint string, p id.Program, branch string) {
	e.spawn(func() {
		e.inst.passGate()
		ctx, cancel := context.WithTimeout(e.inst.ctx, controlTimeout)
		defer cancel()
		if branch != "" {
			if err := e.engines.ReleaseBranch(ctx, endpoint, p, branch); err != nil {
				e.inst.log.Debug("cache_not_released", telemetry.Program(p), telemetry.Endpoint(endpoint), telemetry.Err(err))
			}
			return
		}
		released, err := e.engines.Release(ctx, program.ReleaseCache{Endpoint: endpoint, Program: p})
		if err != nil {
			e.inst.log.Debug("cache_not_released", telemetry.Program(p), telemetry.Endpoint(endpoint), telemetry.Err(err))
			return
		}
		e.inst.core.events.post(func() { e.inst.core.step(released) })
	})
}
