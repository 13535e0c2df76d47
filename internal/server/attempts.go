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

// controlTimeout bounds requests other than calls: cancellations, queries for outcomes, cache
// releases and weight fetches.
const controlTimeout = 3 * time.Second

// errLeaseLapsed reports that a non-idempotent request was not written because the lease had lapsed. The
// service client checks NotAfter of the dispatch first and returns service.ErrLeaseLapsed; this error comes
// from the check that follows, which compares NotAfter and the current dispatchUntil with the clock.
var errLeaseLapsed = errors.New("the lease lapsed before the request was written")

// dispatchModel sends a model call to its engine and passes progress and the result to the owner
// core.
func (e *endpoints) dispatchModel(a program.DispatchModel) {
	e.startAttempt(a.Attempt, a.Timeout, func(ctx context.Context) program.Finished {
		e.inst.waitWhilePaused()
		return e.engineClient.Complete(ctx, a, func(p program.Progress) {
			e.inst.waitWhilePaused()
			e.inst.core.events.post(func() { e.inst.core.step(p) })
		})
	})
}

// dispatchService sends a service call. For a non-idempotent request the lease is checked immediately
// before the request is written, because the process may have been paused since the decision.
func (e *endpoints) dispatchService(a program.DispatchService) {
	e.startAttempt(a.Attempt, a.Timeout, func(ctx context.Context) program.Finished {
		e.inst.waitWhilePaused()
		return e.serviceClient.Call(ctx, a, func() error {
			// The wait comes before the check of the lease, so that a test's Pause acts like a stopped
			// process, which resumes before the check.
			e.inst.waitWhilePaused()
			if !a.Idempotent && e.inst.now() >= min(a.NotAfter, time.Duration(e.inst.dispatchUntil.Load())) {
				return errLeaseLapsed
			}
			return nil
		})
	})
}

// cancelAttempt cancels an attempt here and at its engine. Services have no cancel operation: a
// service call that was written is only abandoned here.
func (e *endpoints) cancelAttempt(a program.CancelAttempt) {
	e.stopAttempt(a.Attempt)
	if !e.isEngine(a.Endpoint) {
		return
	}
	e.spawn(func() {
		ctx, cancel := context.WithTimeout(e.inst.ctx, controlTimeout)
		defer cancel()
		if err := e.engineClient.Cancel(ctx, a.Endpoint, a.Attempt); err != nil {
			e.inst.log.Debug("attempt_not_cancelled", telemetry.Attempt(a.Attempt), telemetry.Endpoint(a.Endpoint), telemetry.Err(err))
		}
	})
}

// askOutcome asks the endpoints of a service, one after the other, whether they executed an attempt. One
// endpoint that executed it decides. The attempt counts as not executed only if all endpoints answer
// that they did not execute it; otherwise the outcome is unknown.
func (e *endpoints) askOutcome(a program.AskOutcome) {
	asked := e.inPool(a.Service)
	e.spawn(func() {
		e.inst.waitWhilePaused()
		ctx, cancel := context.WithTimeout(e.inst.ctx, controlTimeout)
		defer cancel()
		answer := program.OutcomeReported{Attempt: a.Attempt, Executed: record.ExecutedNo}
		for _, ep := range asked {
			report, err := e.serviceClient.AskOutcome(ctx, ep.Name, a.Attempt)
			if err == nil && report.Executed == record.ExecutedYes {
				answer = report
				break
			}
			if err != nil || report.Executed == record.ExecutedUnknown {
				answer.Executed = record.ExecutedUnknown
			}
		}
		if len(asked) == 0 {
			answer.Executed = record.ExecutedUnknown
		}
		e.inst.waitWhilePaused()
		e.inst.core.events.post(func() { e.inst.core.step(answer) })
	})
}

// releaseCache releases the cache of a program at an engine, or that of one branch if branch is not
// empty.
func (e *endpoints) releaseCache(endpoint string, p id.Program, branch string) {
	e.spawn(func() {
		e.inst.waitWhilePaused()
		ctx, cancel := context.WithTimeout(e.inst.ctx, controlTimeout)
		defer cancel()
		if branch != "" {
			if err := e.engineClient.ReleaseBranch(ctx, endpoint, p, branch); err != nil {
				e.inst.log.Debug("cache_not_released", telemetry.Program(p), telemetry.Endpoint(endpoint), telemetry.Err(err))
			}
			return
		}
		released, err := e.engineClient.Release(ctx, program.ReleaseCache{Endpoint: endpoint, Program: p})
		if err != nil {
			e.inst.log.Debug("cache_not_released", telemetry.Program(p), telemetry.Endpoint(endpoint), telemetry.Err(err))
			return
		}
		e.inst.core.events.post(func() { e.inst.core.step(released) })
	})
}
