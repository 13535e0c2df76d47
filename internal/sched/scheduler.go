package sched

import (
	"time"

	"ragwortstile/internal/id"
)

// Scheduler holds the waiting and running calls of one pool. It is not safe for concurrent use.
type Scheduler struct {
	cfg       Config
	now       time.Duration
	calls     map[id.Attempt]*call
	queue     []*call
	endpoints []*endpoint
	byName    map[string]*endpoint
}

// call is a waiting or running call.
type call struct {
	req       Request
	submitted time.Duration
	expires   time.Duration // 0: never
	ep        *endpoint     // nil while the call waits
}

// endpoint is the scheduler's view of one endpoint.
type endpoint struct {
	Endpoint
	inFlight int
}

// New returns a scheduler without calls.
func New(cfg Config) *Scheduler {
	s := &Scheduler{calls: map[id.Attempt]*call{}, byName: map[string]*endpoint{}}
	s.configure(cfg)
	return s
}

// Step applies an event and appends the resulting actions to out.
func (s *Scheduler) Step(now time.Duration, ev Event, out []Action) []Action {
	s.now = now
	switch e := ev.(type) {
	case Configure:
		s.configure(e.Config)
	case Submit:
		out = s.submit(e.Request, out)
	case Withdraw:
		s.withdraw(e.ID)
	case Done:
		s.finish(e.ID)
	case Running:
		s.restore(e)
	case OwnerLost:
		s.dropOwner(e.Session)
	case EndpointLeaving:
		if ep := s.byName[e.Endpoint]; ep != nil {
			ep.Leaving = true
		}
	}
	out = s.expire(out)
	return s.grant(out)
}

func (s *Scheduler) configure(cfg Config) {
	old := s.byName
	s.cfg = cfg
	s.endpoints = s.endpoints[:0]
	s.byName = make(map[string]*endpoint, len(cfg.Endpoints))
	for _, c := range cfg.Endpoints {
		ep := old[c.Name]
		if ep == nil {
			ep = &endpoint{}
		}
		ep.Endpoint = c
		s.endpoints = append(s.endpoints, ep)
		s.byName[c.Name] = ep
	}
}

func (s *Scheduler) submit(r Request, out []Action) []Action {
	if _, known := s.calls[r.ID]; known {
		return out
	}
	if s.cfg.QueueLimit > 0 && len(s.queue) >= s.cfg.QueueLimit {
		return append(out, Refuse{Request: r, Reason: ReasonQueueFull, RetryAfter: time.Second})
	}
	c := &call{req: r, submitted: s.now}
	if r.CallTimeLimit > 0 {
		c.expires = s.now + r.CallTimeLimit
	}
	s.calls[r.ID] = c
	s.queue = append(s.queue, c)
	return out
}

func (s *Scheduler) withdraw(a id.Attempt) {
	c := s.calls[a]
	if c == nil || c.ep != nil {
		return
	}
	s.dequeue(c)
	delete(s.calls, a)
}

func (s *Scheduler) dequeue(c *call) {
	for i, q := range s.queue {
		if q == c {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

func (s *Scheduler) finish(a id.Attempt) {
	c := s.calls[a]
	if c == nil || c.ep == nil {
		return
	}
	c.ep.inFlight--
	delete(s.calls, a)
}

func (s *Scheduler) restore(e Running) {
	if _, known := s.calls[e.Request.ID]; known {
		return
	}
	ep := s.byName[e.Endpoint]
	if ep == nil {
		return
	}
	ep.inFlight++
	s.calls[e.Request.ID] = &call{req: e.Request, submitted: s.now, ep: ep}
}

func (s *Scheduler) dropOwner(session id.Session) {
	for a, c := range s.calls {
		if c.req.Owner != session {
			continue
		}
		if c.ep == nil {
			s.dequeue(c)
		} else {
			c.ep.inFlight--
		}
		delete(s.calls, a)
	}
}

func (s *Scheduler) expire(out []Action) []Action {
	kept := s.queue[:0]
	for _, c := range s.queue {
		if c.expires == 0 || s.now < c.expires {
			kept = append(kept, c)
			continue
		}
		delete(s.calls, c.req.ID)
		out = append(out, Refuse{Request: c.req, Reason: ReasonExpired, RetryAfter: time.Second})
	}
	s.queue = kept
	return out
}

func (s *Scheduler) grant(out []Action) []Action {
	for len(s.queue) > 0 {
		c := s.queue[0]
		ep, reason := s.choose(c)
		if ep == nil {
			return out
		}
		s.queue = s.queue[1:]
		ep.inFlight++
		c.ep = ep
		out = append(out, Grant{Request: c.req, Endpoint: ep.Name, Reason: reason, Waited: s.now - c.submitted})
	}
	return out
}

func (s *Scheduler) choose(c *call) (*endpoint, Reason) {
	if ep := s.byName[c.req.LastEndpoint]; ep != nil && ep.free() {
		return ep, ReasonWarm
	}
	var best *endpoint
	for _, ep := range s.endpoints {
		if ep.free() && (best == nil || ep.inFlight*best.MaxInFlight < best.inFlight*ep.MaxInFlight) {
			best = ep
		}
	}
	return best, ReasonLeastLoaded
}

func (e *endpoint) free() bool {
	return !e.Leaving && e.inFlight < e.MaxInFlight
}
