package server

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/program"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/telemetry"
	"ragwortstile/internal/wire"
)

// submission is a call that this instance's owner submitted to the dispatcher of a pool.
type submission struct {
	pool       string
	request    sched.Request
	dispatcher id.Session // that it was last submitted to
	at         time.Duration
	endpoint   string // not empty: granted
}

// resubmitAfter repeats a submission that got no answer, in case a message was lost. The dispatcher
// ignores a repeated ID or repeats its grant.
const resubmitAfter = 2 * time.Second

// regrantPause is the time until a call is submitted again whose grant was given back. The
// dispatcher hears of the endpoint with the next heartbeat.
const regrantPause = 200 * time.Millisecond

// submit queues a call at the dispatcher of its pool.
func (c *core) submit(pool string, r sched.Request) {
	s := &submission{pool: pool, request: r}
	c.inst.observer.submitted(pool, r)
	c.submissions[r.ID] = s
	c.sendSubmit(s)
}

func (c *core) sendSubmit(s *submission) {
	s.dispatcher = c.dispatcherOf(s.pool)
	s.at = c.inst.now()
	c.toDispatcher(s.dispatcher, s.pool, sched.Submit{Request: s.request})
}

// toDispatcher hands an event to the dispatcher of a pool, here or at another instance. A message
// that is lost is made good by resubmission.
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

// granted takes a grant of a dispatcher to the owner. A grant for a call that was withdrawn or that
// another dispatcher has granted is given back.
func (c *core) granted(from id.Session, pool string, g sched.Grant) {
	s := c.submissions[g.Request.ID]
	if s == nil || (s.endpoint != "" && (s.endpoint != g.Endpoint || s.dispatcher != from)) {
		c.toDispatcher(from, pool, sched.Done{ID: g.Request.ID, Endpoint: g.Endpoint, Result: sched.ResultCanceled})
		return
	}
	if s.endpoint != "" {
		return // the same grant again
	}
	if !c.members.core.EndpointsCurrent(c.inst.now()) || c.members.core.EndpointIsLeaving(g.Endpoint) {
		// The endpoint began to leave while the grant was on its way, or may have during a pause of this process.
		c.toDispatcher(from, pool, sched.Done{ID: g.Request.ID, Endpoint: g.Endpoint, Result: sched.ResultCanceled})
		s.at = c.inst.now() - resubmitAfter + regrantPause
		return
	}
	s.dispatcher = from
	s.endpoint = g.Endpoint
	g.Request = s.request
	c.inst.observer.granted(g)
	c.step(program.Granted{Grant: g})
}

func (c *core) refused(from id.Session, r sched.Refuse) {
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

// followDispatchers submits waiting calls again, and reports running ones, where the dispatcher of
// their pool has changed or has not answered for long.
func (c *core) followDispatchers() {
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
				c.nextSync = 0
			}
		case s.endpoint == "" && now-s.at > resubmitAfter:
			c.sendSubmit(s)
		}
	}
}

// dispatcher is the scheduler of one pool at this instance.
type dispatcher struct {
	c      *core
	pool   string
	sched  *sched.Scheduler
	out    []sched.Action
	grants map[id.Attempt]grant
	owners map[id.Session]bool
}

// grant is a granted call that its owner has not reported as done.
type grant struct {
	sched.Grant
	owner id.Session
	at    time.Duration
}

// dispatcher returns the scheduler of a pool and starts it if an owner takes this instance for the
// pool's dispatcher.
func (c *core) dispatcher(pool string) *dispatcher {
	d := c.dispatchers[pool]
	if d == nil {
		d = &dispatcher{c: c, pool: pool, sched: sched.New(c.poolConfig(pool)), grants: map[id.Attempt]grant{}, owners: map[id.Session]bool{}}
		c.dispatchers[pool] = d
	}
	return d
}

// step gives an event of an owner to the scheduler and carries out what it decides.
func (d *dispatcher) step(ev sched.Event, from id.Session) {
	switch e := ev.(type) {
	case sched.Submit:
		d.owners[from] = true
		if g, ok := d.grants[e.Request.ID]; ok {
			if !d.c.members.core.EndpointIsLeaving(g.Endpoint) {
				d.send(g)
				return
			}
			// The grant was lost on its way and its endpoint gets no new work any more.
			d.step(sched.Done{ID: e.Request.ID, Endpoint: g.Endpoint, Result: sched.ResultCanceled}, from)
		}
	case sched.Running:
		d.owners[from] = true
		d.grants[e.Request.ID] = grant{Grant: sched.Grant{Request: e.Request, Endpoint: e.Endpoint}, owner: from, at: d.c.inst.now()}
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
		g := grant{Grant: a, owner: a.Request.Owner, at: d.c.inst.now()}
		d.grants[a.Request.ID] = g
		d.send(g)
	case sched.Refuse:
		if a.Request.Owner == d.c.inst.session {
			d.c.events.later(func() { d.c.refused(d.c.inst.session, a) })
			return
		}
		d.sendTo(a.Request.Owner, wire.Refuse{Pool: d.pool, ID: a.Request.ID, Reason: a.Reason, RetryAfter: a.RetryAfter})
	case sched.Release:
		d.c.releaseCache(a)
	}
}

func (d *dispatcher) send(g grant) {
	if g.owner == d.c.inst.session {
		d.c.events.later(func() { d.c.granted(d.c.inst.session, d.pool, g.Grant) })
		return
	}
	d.sendTo(g.owner, wire.Grant{Pool: d.pool, ID: g.Request.ID, Endpoint: g.Endpoint, Reason: g.Reason,
		MoveFrom: g.MoveFrom, Waited: g.Waited})
}

func (d *dispatcher) sendTo(owner id.Session, m wire.Message) {
	if err := d.c.inst.node.Send(owner, m); err != nil {
		d.c.inst.log.Debug("owner_not_reached", telemetry.Peer(owner), telemetry.Pool(d.pool), telemetry.Err(err))
	}
}
