package server

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/wire"
)

const (
	// runningReportInterval is the time between an owner's reports of its running calls to the
	// dispatchers. A report corrects the loss of a Done message, which would otherwise occupy
	// capacity of an endpoint forever.
	runningReportInterval = 5 * time.Second
	// grantGrace is the age up to which a grant that is missing from a report counts as still in
	// transit to its owner.
	grantGrace = 3 * time.Second
)

// reportRunning sends the running calls of each pool to its dispatcher, if that is another instance.
func (c *core) reportRunning(now time.Duration) {
	if now < c.nextRunningReport || c.manifest == nil {
		return
	}
	c.nextRunningReport = now + runningReportInterval
	for _, p := range c.manifest.Pools {
		to := c.dispatcherOf(p.Name)
		if to == c.inst.session {
			continue
		}
		report := wire.Running{Pool: p.Name}
		for _, s := range c.submissions {
			if s.pool == p.Name && s.endpoint != "" && s.dispatcher == to {
				report.Calls = append(report.Calls, wire.RunningCall{Request: s.request, Endpoint: s.endpoint})
			}
		}
		if err := c.inst.node.Send(to, report); err != nil {
			c.nextRunningReport = 0 // retried at the next tick
		}
	}
}

// handleRunningReport handles an owner's report of all its running calls of a pool. Grants that the
// report lacks have ended, unless they may still be in transit.
func (c *core) handleRunningReport(from id.Session, m wire.Running) {
	if c.dispatchers[m.Pool] == nil && len(m.Calls) == 0 {
		return
	}
	d := c.dispatcher(m.Pool)
	listed := map[id.Attempt]bool{}
	for _, call := range m.Calls {
		listed[call.Request.ID] = true
		if _, known := d.grants[call.Request.ID]; !known {
			d.step(sched.Running{Request: call.Request, Endpoint: call.Endpoint}, from)
		}
	}
	now := c.inst.now()
	for attempt, g := range d.grants {
		if g.owner == from && !listed[attempt] && now-g.grantedAt > grantGrace {
			d.step(sched.Done{ID: attempt, Endpoint: g.Endpoint, Result: sched.ResultCanceled}, from)
		}
	}
}
