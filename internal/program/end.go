package program

import (
	"slices"
	"time"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
)

const (
	releaseInterval    = 2 * time.Second // between the first two release orders; doubles each time
	releaseMaxInterval = time.Minute
)

// cacheRelease is the release of the cache of an ended program at an endpoint that has not confirmed it.
type cacheRelease struct {
	endpoint string
	orders   int // number of orders sent
}

func timedOutFinish(a *attempt) Finished {
	return Finished{Attempt: a.id, Result: sched.ResultTimeout, Sent: true}
}

func (c *Core) onEnd(e EndProgram) {
	p := c.admit(e.Req, e.Team, e.Program)
	if p == nil {
		return
	}
	body := mustJSON(struct {
		ID    id.Program `json:"id"`
		Ended bool       `json:"ended"`
	}{p.id, true})
	if c.readState(p).Ended() {
		c.replyWhenDurable(p, e.Req, body)
		return
	}
	c.endProgram(p, record.EndByCaller, nil, c.once(func(r commitResult) { c.replyCommitted(e.Req, r, 200, body) }))
}

// endProgram ends a program and cancels its calls under way, except non-idempotent ones that were
// dispatched: their outcome is recorded when it becomes known. If pr is not nil, its type and detail are
// reported to the callers.
func (c *Core) endProgram(p *prog, cause record.EndCause, pr *Problem, done func(commitResult)) {
	st := c.state(p)
	if st.Ended() {
		return
	}
	p.ending = true
	for _, key := range sortedKeys(p.calls) {
		if cl := p.calls[key]; cl != nil {
			c.cancelForEnd(cl, cause, pr)
		}
	}
	holding := slices.Clone(st.CacheEndpoints)
	for _, e := range sortedKeys(p.usedEndpoints) {
		if !slices.Contains(holding, e) {
			holding = append(holding, e)
		}
	}
	rec := record.End{Holder: c.holder(p.slot), Program: p.id, Cause: cause, Endpoints: holding}
	c.append(p, rec, done)
	c.stop(p.wallTimer, p.idleTimer)
	c.recordDecision(p, Decision{What: "end", Reason: reason(cause.String())})
	c.emit(NotifyEnded{Program: p.id, Pools: c.modelPools(st.Duty)})
	c.startRelease(p, holding)
}

func (c *Core) cancelForEnd(cl *call, cause record.EndCause, pr *Problem) {
	if cl.state == stateCommit || cl.nonIdempotent && (cl.state == stateRunning || cl.state == stateAsking) {
		return
	}
	fail := problem(ProblemEnded, 409, c.executedOf(cl), "the program ended: "+cause.String())
	if pr != nil {
		fail.Type = pr.Type
		fail.Detail = pr.Detail
	}
	undispatched := cl.nonIdempotent && (cl.state == stateIntent || cl.state == stateWaiting)
	c.abandonAttempt(cl)
	if undispatched {
		fail.Executed = record.ExecutedNo
		c.refuseIntent(cl, fail, 0)
		return
	}
	c.failCall(cl, fail, 0)
}

func (c *Core) modelPools(duty string) []string {
	var out []string
	for _, name := range c.pools.duties[duty].Pools {
		if c.pools.pools[name].Kind == manifest.PoolModel {
			out = append(out, name)
		}
	}
	return out
}

// startRelease orders endpoints to drop the cache of an ended program, repeatedly until each has confirmed.
func (c *Core) startRelease(p *prog, endpoints []string) {
	if p.releases == nil {
		p.releases = map[string]*cacheRelease{}
	}
	for _, e := range endpoints {
		if p.releases[e] == nil {
			r := &cacheRelease{endpoint: e}
			p.releases[e] = r
			c.sendRelease(p, r)
		}
	}
	c.removeAfterTombstone(p)
}

// sendRelease sends a release order and repeats it until it is confirmed. It sends none while attempts of
// the program run at the endpoint, because they would fill the cache again.
func (c *Core) sendRelease(p *prog, r *cacheRelease) {
	delay := releaseInterval
	if p.usedEndpoints[r.endpoint] == 0 {
		c.emit(ReleaseCache{Endpoint: r.endpoint, Program: p.id})
		delay = min(releaseInterval<<min(r.orders, 5), releaseMaxInterval)
		r.orders++
	}
	c.at(c.now+delay, func() {
		if c.progs[p.id] == p && p.releases[r.endpoint] == r {
			c.sendRelease(p, r)
		}
	})
}

func (c *Core) onCacheReleased(e CacheReleased) {
	if p := c.prog(e.Program); p != nil && p.usedEndpoints[e.Endpoint] == 0 {
		c.recordReleased(p, e.Endpoint)
	}
}

func (c *Core) recordReleased(p *prog, endpoint string) {
	r := p.releases[endpoint]
	if r == nil || r.orders == 0 {
		return
	}
	delete(p.releases, endpoint)
	rec := record.Released{Holder: c.holder(p.slot), Program: p.id, Endpoint: endpoint}
	c.append(p, rec, nil)
	c.recordDecision(p, Decision{Endpoint: endpoint, What: "release", Reason: "confirmed"})
}

// onCacheHeld reconciles the caches that an engine holds with the state of the programs. It orders the
// release of programs that are unknown, or that have ended and have no pending release there. It treats a
// pending release as confirmed if the engine no longer holds the program.
func (c *Core) onCacheHeld(e CacheHeld) {
	held := map[id.Program]bool{}
	for _, pid := range e.Programs {
		held[pid] = true
		s, err := pid.Slot()
		if err != nil || !c.slots[s].held || !c.slots[s].ready || c.isOpening(pid) {
			continue
		}
		st := c.sm.Program(pid)
		p := c.prog(pid)
		switch {
		case p != nil && p.usedEndpoints[e.Endpoint] > 0:
		case st == nil && p == nil:
			c.emit(ReleaseCache{Endpoint: e.Endpoint, Program: pid})
		case p != nil && c.readState(p).Ended() && p.releases[e.Endpoint] == nil:
			c.emit(ReleaseCache{Endpoint: e.Endpoint, Program: pid})
		}
	}
	for _, pid := range sortedKeys(c.progs) {
		if p := c.prog(pid); p != nil && p.releases[e.Endpoint] != nil && !held[pid] && p.usedEndpoints[e.Endpoint] == 0 {
			c.recordReleased(p, e.Endpoint)
		}
	}
}

func (c *Core) isOpening(pid id.Program) bool {
	for _, o := range c.opening {
		if o.program == pid {
			return true
		}
	}
	return false
}

// onEngineRestarted completes the pending releases at an endpoint, because a restart empties its cache.
func (c *Core) onEngineRestarted(e EngineRestarted) { c.endReleases(e.Endpoint) }

// endReleases completes the pending releases at an endpoint without its confirmation, except those of
// programs with attempts that run there.
func (c *Core) endReleases(endpoint string) {
	for _, pid := range sortedKeys(c.progs) {
		p := c.prog(pid)
		if p == nil {
			continue
		}
		if r := p.releases[endpoint]; r != nil && p.usedEndpoints[endpoint] == 0 {
			r.orders = max(r.orders, 1)
			c.recordReleased(p, endpoint)
		}
	}
}

// endReleasesAtRemovedEndpoints completes the pending releases at endpoints that are no longer in the manifest.
func (c *Core) endReleasesAtRemovedEndpoints() {
	removed := map[string]bool{}
	for _, p := range c.progs {
		for e := range p.releases {
			if _, ok := c.pools.endpoints[e]; !ok {
				removed[e] = true
			}
		}
	}
	for _, e := range sortedKeys(removed) {
		c.endReleases(e)
	}
}

// removeProgram removes a program from memory, with its timers and with its outcome queries, whose answers
// are no longer needed.
func (c *Core) removeProgram(p *prog) {
	delete(c.progs, p.id)
	c.stop(p.wallTimer, p.idleTimer)
	for aid, q := range c.outcomeQueries {
		if q.prog == p {
			delete(c.outcomeQueries, aid)
		}
	}
}

// removeAfterTombstone removes an ended program from memory once its tombstone was removed.
func (c *Core) removeAfterTombstone(p *prog) {
	c.at(c.now+fsm.TombstoneAge+time.Minute, func() {
		if c.progs[p.id] != p {
			return
		}
		if c.sm.Program(p.id) == nil && p.unconfirmed == 0 {
			c.removeProgram(p)
			return
		}
		c.removeAfterTombstone(p)
	})
}
