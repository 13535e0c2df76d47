package server

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/telemetry"
	"ragwortstile/internal/wire"
)

// submission is an attempt of a call that the owner here submitted to the dispatcher of a pool.
type submission struct {
	pool       string
	request    sched.Request
	dispatcher id.Session // where it was last submitted
	sentAt     time.Duration
	endpoint   string // empty until it is granted
}

// resubmitAfter is the time without an answer after which a submission is repeated, in case a message
// was lost. The dispatcher ignores a repeated ID or repeats its grant.
const resubmitAfter = 2 * time.Second

// regrantDelay is the time until a call whose grant was returned is submitted again. Meanwhile the
// dispatcher learns with the next heartbeat that the endpoint is leaving.
const regrantDelay = 200 * time.Millisecond

// submit submits a call to the dispatcher of its pool.
func (c *core) submit(pool string, r sched.Request) {
	s := &submission{pool: pool, request: r}
	c.inst.observer.observeSubmit(pool, r)
	c.submissions[r.ID] = s
	c.sendSubmit(s)
}

func (c *core) sendSubmit(s *submission) {
	s.dispatcher = c.dispatcherOf(s.pool)
	s.sentAt = c.inst.now()
	c.toDispatcher(s.dispatcher, s.pool, sched.Submit{Request: s.request})
}

// toDispatcher passes an event to the dispatcher of a pool, which runs here or at another instance.
// Resubmission and the reports of running calls correct the loss of a message.
func (c *core) toDispatcher(to id.Session, pool string, ev sched.Event) {
	if to == c.inst.session {
		c.dispatcher(pool).step(ev, c.inst.session)
		return
	}
	m := dispatcherMessage(pool, ev)
	if m == nil {
		return
	}
	if err := c.inst.node.Send(to, m); err != nil {
		c.inst.log.Debug("dispatcher_not_reached", telemetry.Peer(to), telemetry.Pool(pool), telemetry.Err(err))
	}
}

func dispatcherMessage(pool string, ev sched.Event) wire.Message {
	switch e := ev.(type) {
	case sched.Submit:
		return wire.Submit{Pool: pool, Request: e.Request}
	case sched.Withdraw:
		return wire.Withdraw{Pool: pool, ID: e.ID}
	case sched.Done:
		return wire.Done{Pool: pool, Done: e}
	case sched.ProgramPaused:
		return wire.ProgramPaused{Pool: pool, Paused: e}
	case sched.ProgramEnded:
		return wire.ProgramEnded{Pool: pool, Ended: e}
	default:
		return nil
	}
}

// handleGrant passes a dispatcher's grant to the owner. A grant is returned to its dispatcher if the
// call was withdrawn or has already been granted by another dispatcher or at another endpoint.
func (c *core) handleGrant(from id.Session, pool string, g sched.Grant) {
	s := c.submissions[g.Request.ID]
	if s == nil || (s.endpoint != "" && (s.endpoint != g.Endpoint || s.dispatcher != from)) {
		c.toDispatcher(from, pool, sched.Done{ID: g.Request.ID, Endpoint: g.Endpoint, Result: sched.ResultCanceled})
		return
	}
	if s.endpoint != "" {
		return // repeated grant
	}
	if !c.members.state.EndpointsCurrent(c.inst.now()) || c.members.state.EndpointIsLeaving(g.Endpoint) {
		// The endpoint started to leave while the grant was in transit or, if the endpoint states
		// here are not current, may have done so during a pause of this process.
		c.toDispatcher(from, pool, sched.Done{ID: g.Request.ID, Endpoint: g.Endpoint, Result: sched.ResultCanceled})
		s.sentAt = c.inst.now() - resubmitAfter + regrantDelay
		return
	}
	s.dispatcher = from
	s.endpoint = g.Endpoint
	g.Request = s.request
	c.inst.observer.observeGrant(g)
	c.step(program.Granted{Grant: g})
}

func (c *core) handleRefusal(from id.Session, r sched.Refuse) {
	s := c.submissions[r.Request.ID]
	if s == nil || s.endpoint != "" || s.dispatcher != from {
		return
	}
	delete(c.submissions, r.Request.ID)
	r.Request = s.request
	c.step(program.Refused{Refuse: r})
}

func (c *core) withdraw(attempt id.Attempt) {
	s := c.submissions[attempt]
	if s == nil {
		return
	}
	if s.endpoint == "" {
		delete(c.submissions, attempt)
	}
	c.toDispatcher(s.dispatcher, s.pool, sched.Withdraw{ID: attempt})
}

func (c *core) reportDone(pool string, d sched.Done) {
	s := c.submissions[d.ID]
	if s == nil {
		return
	}
	delete(c.submissions, d.ID)
	c.toDispatcher(s.dispatcher, pool, d)
}

// refreshSubmissions handles changed and silent dispatchers: it submits waiting calls again and
// reports granted ones if the dispatcher of their pool has changed, and repeats a submission without
// an answer after resubmitAfter.
func (c *core) refreshSubmissions() {
	now := c.inst.now()
	for attempt, s := range c.submissions {
		current := c.dispatcherOf(s.pool)
		switch {
		case s.dispatcher != current && s.endpoint == "":
			c.toDispatcher(s.dispatcher, s.pool, sched.Withdraw{ID: attempt})
			c.sendSubmit(s)
		case s.dispatcher != current:
			s.dispatcher = current
			if current == c.inst.session {
				c.toDispatcher(current, s.pool, sched.Running{Request: s.request, Endpoint: s.endpoint})
			} else {
				c.nextRunningReport = 0
			}
		case s.endpoint == "" && now-s.sentAt > resubmitAfter:
			c.sendSubmit(s)
		}
	}
}

// dispatcher runs the scheduler of one pool at this instance.
type dispatcher struct {
	c      *core
	pool   string
	sched  *sched.Scheduler
	out    []sched.Action
	grants map[id.Attempt]grant
	owners map[id.Session]bool
}

// grant is a granted attempt that its owner has not reported as done.
type grant struct {
	sched.Grant
	owner     id.Session
	grantedAt time.Duration
}

// dispatcher returns the dispatcher of a pool. It creates one if there is none, as when an owner
// elsewhere already considers this instance the pool's dispatcher.
func (c *core) dispatcher(pool string) *dispatcher {
	d := c.dispatchers[pool]
	if d == nil {
		d = &dispatcher{c: c, pool: pool, sched: sched.New(c.poolConfig(pool)), grants: map[id.Attempt]grant{}, owners: map[id.Session]bool{}}
		c.dispatchers[pool] = d
	}
	return d
}

// step passes an event of the session from (empty for local events) to the scheduler and executes the
// scheduler's actions.
func (d *dispatcher) step(ev sched.Event, from id.Session) {
	switch e := ev.(type) {
	case sched.Submit:
		d.owners[from] = true
		if g, ok := d.grants[e.Request.ID]; ok {
			if !d.c.members.state.EndpointIsLeaving(g.Endpoint) {
				d.sendGrant(g)
				return
			}
			// The owner did not receive the grant, and its endpoint has started to leave since: it
			// must get no new work.
			d.step(sched.Done{ID: e.Request.ID, Endpoint: g.Endpoint, Result: sched.ResultCanceled}, from)
		}
	case sched.Running:
		d.owners[from] = true
		d.grants[e.Request.ID] = grant{Grant: sched.Grant{Request: e.Request, Endpoint: e.Endpoint}, owner: from, grantedAt: d.c.inst.now()}
	case sched.Done:
		delete(d.grants, e.ID)
	case sched.OwnerLost:
		delete(d.owners, e.Session)
		for attempt, g := range d.grants {
			if g.owner == e.Session {
				delete(d.grants, attempt)
			}
		}
	}
	d.out = d.sched.Step(d.c.inst.now(), ev, d.out[:0])
	for _, a := range d.out {
		d.act(a)
	}
}

func (d *dispatcher) act(a sched.Action) {
	switch a := a.(type) {
	case sched.Grant:
		g := grant{Grant: a, owner: a.Request.Owner, grantedAt: d.c.inst.now()}
		d.grants[a.Request.ID] = g
		d.sendGrant(g)
	case sched.Refuse:
		if a.Request.Owner == d.c.inst.session {
			d.c.events.deferTask(func() { d.c.handleRefusal(d.c.inst.session, a) })
			return
		}
		d.sendToOwner(a.Request.Owner, wire.Refuse{Pool: d.pool, ID: a.Request.ID, Reason: a.Reason, RetryAfter: a.RetryAfter})
	case sched.Release:
		d.c.releaseCache(a)
	}
}

func (d *dispatcher) sendGrant(g grant) {
	if g.owner == d.c.inst.session {
		d.c.events.deferTask(func() { d.c.handleGrant(d.c.inst.session, d.pool, g.Grant) })
		return
	}
	d.sendToOwner(g.owner, wire.Grant{Pool: d.pool, ID: g.Request.ID, Endpoint: g.Endpoint, Reason: g.Reason,
		MoveFrom: g.MoveFrom, Waited: g.Waited})
}

func (d *dispatcher) sendToOwner(owner id.Session, m wire.Message) {
	if err := d.c.inst.node.Send(owner, m); err != nil {
		d.c.inst.log.Debug("owner_not_reached", telemetry.Peer(owner), telemetry.Pool(d.pool), telemetry.Err(err))
	}
}
