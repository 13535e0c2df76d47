package whole

import (
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/program"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/wire"
)

// submission is a call that the owner core of this node submitted to a pool's dispatcher.
type submission struct {
	pool        string
	request     sched.Request
	dispatcher  id.Session
	submittedAt time.Duration
	endpoint    string // empty until the call is granted
}

// dispatchState holds both sides of the protocol between owner and dispatcher, modeled on package server: the
// owner's submissions, and the dispatcher's schedulers and grants.
type dispatchState struct {
	submissions map[id.Attempt]*submission
	schedulers  map[string]*sched.Scheduler
	grants      map[id.Attempt]sched.Grant
	grantedAt   map[id.Attempt]time.Duration
}

func newDispatchState() dispatchState {
	return dispatchState{
		submissions: map[id.Attempt]*submission{}, schedulers: map[string]*sched.Scheduler{},
		grants: map[id.Attempt]sched.Grant{}, grantedAt: map[id.Attempt]time.Duration{},
	}
}

func (n *node) poolConfig(pool string) sched.Config {
	m := testManifest()
	cfg := sched.Config{Pool: pool, QueueLimit: 50, WeightLatency: 0.5, WeightCache: 0.5,
		Duties: []sched.Duty{{Name: "d", Share: 1}}}
	for _, p := range m.Pools {
		cfg.Model = cfg.Model || p.Name == pool && p.Kind == manifest.PoolModel
	}
	for _, e := range m.Endpoints {
		if e.Pool == pool {
			cfg.Endpoints = append(cfg.Endpoints, sched.Endpoint{Name: e.Name, MaxInFlight: e.MaxInFlight,
				CacheTokens: e.CacheTokens, Leaving: n.members.EndpointIsLeaving(e.Name)})
		}
	}
	return cfg
}

// poolOf returns the pool of an endpoint.
func poolOf(endpoint string) string {
	for _, e := range testManifest().Endpoints {
		if e.Name == endpoint {
			return e.Pool
		}
	}
	return ""
}

// configure gives the schedulers of this node the manifest in force and the endpoints that are leaving.
func (n *node) configure() {
	for _, pool := range sortedKeys(n.dispatch.schedulers) {
		n.stepScheduler(pool, sched.Configure{Config: n.poolConfig(pool)})
	}
}

// stepScheduler passes an event to this node's scheduler of a pool, if there is one, and runs its actions.
func (n *node) stepScheduler(pool string, ev sched.Event) {
	s := n.dispatch.schedulers[pool]
	if s == nil {
		return
	}
	for _, a := range s.Step(n.now(), ev, nil) {
		switch a := a.(type) {
		case sched.Grant:
			n.dispatch.grants[a.Request.ID], n.dispatch.grantedAt[a.Request.ID] = a, n.now()
			n.sendGrant(pool, a)
		case sched.Refuse:
			n.sendTo(a.Request.Owner, wire.Refuse{Pool: pool, ID: a.Request.ID, Reason: a.Reason, RetryAfter: a.RetryAfter})
		case sched.Release:
			if a.Branch == "" { // the simulation does not track the cache of single branches
				n.releaseCache(a.Endpoint, a.Program)
			}
		}
	}
}

func (n *node) sendGrant(pool string, g sched.Grant) {
	n.sim.tracef("%s grants %s at %s to %s", n.session, g.Request.ID, g.Endpoint, g.Request.Owner)
	n.sendTo(g.Request.Owner, wire.Grant{Pool: pool, ID: g.Request.ID, Endpoint: g.Endpoint,
		Reason: g.Reason, MoveFrom: g.MoveFrom, Waited: g.Waited})
}

func (n *node) sendTo(owner id.Session, m wire.Message) {
	if owner == n.session {
		n.sim.deliver(n, 0, func() { n.receive(n.session, m) })
		return
	}
	n.send(owner, m)
}

func (n *node) toDispatcher(to id.Session, m wire.Message) { n.sendTo(to, m) }

func (n *node) submit(a program.Submit) {
	s := &submission{pool: a.Pool, request: a.Request}
	n.dispatch.submissions[a.Request.ID] = s
	n.sendSubmit(s)
}

func (n *node) sendSubmit(s *submission) {
	s.dispatcher, s.submittedAt = n.members.Dispatcher(n.now(), s.pool), n.now()
	n.toDispatcher(s.dispatcher, wire.Submit{Pool: s.pool, Request: s.request})
}

// dispatchTick moves submissions to the current dispatcher of their pool, repeats submissions that got no reply
// for 2 s, and drops the grants of owners that are no longer live.
func (n *node) dispatchTick() {
	for _, attempt := range sortedKeys(n.dispatch.submissions) {
		s := n.dispatch.submissions[attempt]
		current := n.members.Dispatcher(n.now(), s.pool)
		switch {
		case s.dispatcher != current && s.endpoint == "":
			n.toDispatcher(s.dispatcher, wire.Withdraw{Pool: s.pool, ID: attempt})
			n.sendSubmit(s)
		case s.dispatcher != current:
			s.dispatcher = current
			n.nextDue["sync"] = 0
			if current == n.session {
				n.toDispatcher(current, wire.Running{Pool: s.pool,
					Calls: []wire.RunningCall{{Request: s.request, Endpoint: s.endpoint}}})
			}
		case s.endpoint == "" && n.now()-s.submittedAt > 2*time.Second:
			n.sendSubmit(s)
		}
	}
	n.reportRunning()
	live := map[id.Session]bool{}
	for _, s := range n.members.Live(n.now()) {
		live[s] = true
	}
	lost := map[id.Session]bool{}
	for attempt, g := range n.dispatch.grants {
		if !live[g.Request.Owner] {
			lost[g.Request.Owner] = true
			delete(n.dispatch.grants, attempt)
		}
	}
	for _, pool := range sortedKeys(n.dispatch.schedulers) {
		for _, owner := range sortedKeys(lost) {
			n.stepScheduler(pool, sched.OwnerLost{Session: owner})
		}
		n.stepScheduler(pool, sched.Tick{})
	}
}

// handleOwnerMessage handles a message of an owner as the dispatcher of a pool. It starts the scheduler when the
// first message arrives, and ignores messages until it has a manifest.
func (n *node) handleOwnerMessage(from id.Session, pool string, ev sched.Event) {
	if n.dispatch.schedulers[pool] == nil {
		if n.manifestVersion == 0 {
			return
		}
		n.dispatch.schedulers[pool] = sched.New(n.poolConfig(pool))
	}
	switch e := ev.(type) {
	case sched.Submit:
		g, ok := n.dispatch.grants[e.Request.ID]
		if ok && !n.members.EndpointIsLeaving(g.Endpoint) {
			n.sendGrant(pool, g)
			return
		}
		if ok { // the grant did not reach the owner, and its endpoint is now leaving: schedule again
			delete(n.dispatch.grants, e.Request.ID)
			n.stepScheduler(pool, sched.Done{ID: e.Request.ID, Endpoint: g.Endpoint, Result: sched.ResultCanceled})
		}
	case sched.Running:
		n.dispatch.grants[e.Request.ID], n.dispatch.grantedAt[e.Request.ID] = sched.Grant{Request: e.Request, Endpoint: e.Endpoint}, n.now()
	case sched.Done:
		delete(n.dispatch.grants, e.ID)
	}
	n.stepScheduler(pool, ev)
}

// reportRunning sends the running calls of each pool to its dispatcher, as package server does. The report lets
// the dispatcher end the grant of a call whose Done message was lost.
func (n *node) reportRunning() {
	if n.manifestVersion == 0 || !n.due("sync", 5*time.Second) {
		return
	}
	for _, p := range testManifest().Pools {
		to := n.members.Dispatcher(n.now(), p.Name)
		if to == n.session {
			continue
		}
		report := wire.Running{Pool: p.Name}
		for _, attempt := range sortedKeys(n.dispatch.submissions) {
			if s := n.dispatch.submissions[attempt]; s.pool == p.Name && s.endpoint != "" && s.dispatcher == to {
				report.Calls = append(report.Calls, wire.RunningCall{Request: s.request, Endpoint: s.endpoint})
			}
		}
		n.send(to, report)
	}
}

// reconcileGrants compares the grants of this dispatcher with an owner's report of all its running calls of a
// pool. Grants that are missing from the report have ended.
func (n *node) reconcileGrants(from id.Session, m wire.Running) {
	listed := map[id.Attempt]bool{}
	for _, c := range m.Calls {
		listed[c.Request.ID] = true
		if _, known := n.dispatch.grants[c.Request.ID]; !known {
			n.handleOwnerMessage(from, m.Pool, sched.Running{Request: c.Request, Endpoint: c.Endpoint})
		}
	}
	if from == n.session {
		return // the owner on this node reports a single call, so calls missing from the report may still run
	}
	for _, attempt := range sortedKeys(n.dispatch.grants) {
		g := n.dispatch.grants[attempt]
		// A grant that is less than 3 s old may not have reached its owner yet.
		if poolOf(g.Endpoint) == m.Pool && g.Request.Owner == from && !listed[attempt] &&
			n.now()-n.dispatch.grantedAt[attempt] > 3*time.Second {
			n.handleOwnerMessage(from, m.Pool, sched.Done{ID: attempt, Endpoint: g.Endpoint, Result: sched.ResultCanceled})
		}
	}
}

// granted handles a grant at the owner. The owner returns a grant that it does not need, and one at an endpoint
// that is leaving or may be, because the owner's list of endpoints is out of date.
func (n *node) granted(from id.Session, m wire.Grant) {
	s := n.dispatch.submissions[m.ID]
	if s == nil || s.endpoint != "" && (s.endpoint != m.Endpoint || s.dispatcher != from) {
		n.toDispatcher(from, wire.Done{Pool: m.Pool, Done: sched.Done{ID: m.ID, Endpoint: m.Endpoint, Result: sched.ResultCanceled}})
		return
	}
	if s.endpoint != "" {
		return
	}
	if !n.members.EndpointsCurrent(n.now()) || n.members.EndpointIsLeaving(m.Endpoint) {
		n.toDispatcher(from, wire.Done{Pool: m.Pool, Done: sched.Done{ID: m.ID, Endpoint: m.Endpoint, Result: sched.ResultCanceled}})
		// dispatchTick submits again 2 s after this time, which is in 200 ms, as in package server.
		s.submittedAt = n.now() - 1800*time.Millisecond
		return
	}
	s.dispatcher, s.endpoint = from, m.Endpoint
	n.step(program.Granted{Grant: sched.Grant{Request: s.request, Endpoint: m.Endpoint,
		Reason: m.Reason, MoveFrom: m.MoveFrom}})
}

func (n *node) refused(from id.Session, m wire.Refuse) {
	s := n.dispatch.submissions[m.ID]
	if s == nil || s.endpoint != "" || s.dispatcher != from {
		return
	}
	delete(n.dispatch.submissions, m.ID)
	n.step(program.Refused{Refuse: sched.Refuse{Request: s.request, Reason: m.Reason, RetryAfter: m.RetryAfter}})
}

func (n *node) withdraw(a program.Withdraw) {
	if s := n.dispatch.submissions[a.Attempt]; s != nil {
		if s.endpoint == "" {
			delete(n.dispatch.submissions, a.Attempt)
		}
		n.toDispatcher(s.dispatcher, wire.Withdraw{Pool: s.pool, ID: a.Attempt})
	}
}

func (n *node) reportDone(a program.ReportDone) {
	if s := n.dispatch.submissions[a.Done.ID]; s != nil {
		delete(n.dispatch.submissions, a.Done.ID)
		n.toDispatcher(s.dispatcher, wire.Done{Pool: a.Pool, Done: a.Done})
	}
}
