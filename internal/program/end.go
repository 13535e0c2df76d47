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
	releaseFirst  = 2 * time.Second // between the first release orders; doubles
	releaseAtMost = time.Minute
)

// releasing is a release order that the endpoint has not confirmed.
type releasing struct {
	endpoint string
	tries    int
}

func timedOut(a *attempt) Finished {
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
	if c.stateOf(p).Ended() {
		c.replyWhenSettled(p, e.Req, body)
		return
	}
	c.endProgram(p, record.EndByCaller, nil, c.once(func(r commitResult) { c.replyCommitted(e.Req, r, 200, body) }))
}

// endProgram closes a program. Calls under way are cancelled, except non-idempotent ones that were
// dispatched: their outcome is recorded when it comes.
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
	for _, e := range sortedKeys(p.touched) {
		if !slices.Contains(holding, e) {
			holding = append(holding, e)
		}
	}
	rec := record.End{Holder: c.holder(p.slot), Program: p.id, Cause: cause, Endpoints: holding}
	c.append(p, rec, done)
	c.stop(p.wallTimer, p.idleTimer)
	c.decide(p, Decision{What: "end", Reason: reason(cause.String())})
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

// startRelease orders endpoints to drop the cache of an ended program until each has confirmed.
func (c *Core) startRelease(p *prog, endpoints []string) {
	if p.release == nil {
		p.release = map[string]*releasing{}
	}
	for _, e := range endpoints {
		if p.release[e] == nil {
			r := &releasing{endpoint: e}
			p.release[e] = r
			c.sendRelease(p, r)
		}
	}
	c.forgetLater(p)
}

// sendRelease waits for attempts of the program that still run at the endpoint, because they would
// fill the cache again.
func (c *Core) sendRelease(p *prog, r *releasing) {
	delay := releaseFirst
	if p.touched[r.endpoint] == 0 {
		c.emit(ReleaseCache{Endpoint: r.endpoint, Program: p.id})
		delay = min(releaseFirst<<min(r.tries, 5), releaseAtMost)
		r.tries++
	}
	c.at(c.now+delay, func() {
		if c.progs[p.id] == p && p.release[r.endpoint] == r {
			c.sendRelease(p, r)
		}
	})
}

func (c *Core) onCacheReleased(e CacheReleased) {
	if p := c.prog(e.Program); p != nil && p.touched[e.Endpoint] == 0 {
		c.released(p, e.Endpoint)
	}
}

func (c *Core) released(p *prog, endpoint string) {
	r := p.release[endpoint]
	if r == nil || r.tries == 0 {
		return
	}
	delete(p.release, endpoint)
	rec := record.Released{Holder: c.holder(p.slot), Program: p.id, Endpoint: endpoint}
	c.append(p, rec, nil)
	c.decide(p, Decision{Endpoint: endpoint, What: "release", Reason: "confirmed"})
}

// onCacheHeld compares what an engine holds with what it may hold. Programs that ended or that are not
// known any more are released; a release that the list shows as done is settled.
func (c *Core) onCacheHeld(e CacheHeld) {
	held := map[id.Program]bool{}
	for _, pid := range e.Programs {
		held[pid] = true
		s, err := pid.Slot()
		if err != nil || !c.slots[s].held || !c.slots[s].ready || c.isOpening(pid) {
			continue
		}
		st := c.fold.Program(pid)
		p := c.prog(pid)
		switch {
		case p != nil && p.touched[e.Endpoint] > 0:
		case st == nil && p == nil:
			c.emit(ReleaseCache{Endpoint: e.Endpoint, Program: pid})
		case p != nil && c.stateOf(p).Ended() && p.release[e.Endpoint] == nil:
			c.emit(ReleaseCache{Endpoint: e.Endpoint, Program: pid})
		}
	}
	for _, pid := range sortedKeys(c.progs) {
		if p := c.prog(pid); p != nil && p.release[e.Endpoint] != nil && !held[pid] && p.touched[e.Endpoint] == 0 {
			c.released(p, e.Endpoint)
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

// onEngineRestarted ends the debt of an endpoint: its memory is empty.
func (c *Core) onEngineRestarted(e EngineRestarted) { c.endDebt(e.Endpoint) }

func (c *Core) endDebt(endpoint string) {
	for _, pid := range sortedKeys(c.progs) {
		p := c.prog(pid)
		if p == nil {
			continue
		}
		if r := p.release[endpoint]; r != nil && p.touched[endpoint] == 0 {
			r.tries = max(r.tries, 1)
			c.released(p, endpoint)
		}
	}
}

// forgetRemovedEndpoints ends the debt of endpoints that the manifest no longer has.
func (c *Core) forgetRemovedEndpoints() {
	gone := map[string]bool{}
	for _, p := range c.progs {
		for e := range p.release {
			if _, ok := c.pools.endpoints[e]; !ok {
				gone[e] = true
			}
		}
	}
	for _, e := range sortedKeys(gone) {
		c.endDebt(e)
	}
}

// forget drops all that is kept for a program. What is asked about its outcomes has no use any more.
func (c *Core) forget(p *prog) {
	delete(c.progs, p.id)
	c.stop(p.wallTimer, p.idleTimer)
	for aid, q := range c.asked {
		if q.prog == p {
			delete(c.asked, aid)
		}
	}
}

// forgetLater drops an ended program from memory once its tombstone has gone.
func (c *Core) forgetLater(p *prog) {
	c.at(c.now+fsm.TombstoneAge+time.Minute, func() {
		if c.progs[p.id] != p {
			return
		}
		if c.fold.Program(p.id) == nil && p.unsettled == 0 {
			c.forget(p)
			return
		}
		c.forgetLater(p)
	})
}
