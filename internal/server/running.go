package server

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/wire"
)

const (
	// syncInterval is the time between an owner's reports of its running calls to the dispatchers. A
	// report makes good a lost Done, which would hold a place at an endpoint for ever.
	syncInterval = 5 * time.Second
	// grantGrace is the age below which a grant that a report lacks is taken as still on its way.
	grantGrace = 3 * time.Second
)

// syncRunning reports the running calls of each pool to its dispatcher at another instance.
func (c *core) syncRunning(now time.Duration) {
	if now < c.nextSync || c.manifest == nil {
		return
	}
	c.nextSync = now + syncInterval
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
			c.nextSync = 0 // again with the next tick
		}
	}
}

// running takes an owner's report of all its running calls of a pool. Grants that it lacks have ended.
func (c *core) running(from id.Session, m wire.Running) {
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
		if g.owner == from && !listed[attempt] && now-g.at > grantGrace {
			d.step(sched.Done{ID: attempt, Endpoint: g.Endpoint, Result: sched.ResultCanceled}, from)
		}
	}
}
