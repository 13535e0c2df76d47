package bench

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/sched"
)

// Names of the policies.
//
//   - policyScheduler: the scheduler with all its mechanisms
//   - policyRoundRobin: the next endpoint with room, in turn
//   - policyLeastInFlight: the endpoint that uses the smallest fraction of its in-flight limit
//   - policySticky: one endpoint per program, by hashing
//   - policyPrevious: the scheduler with sched.MinimalOptions
const (
	policyScheduler     = "ragwortstile"
	policyRoundRobin    = "round_robin"
	policyLeastInFlight = "least_in_flight"
	policySticky        = "sticky"
	policyPrevious      = "previous"
)

var policyNames = []string{policyScheduler, policyRoundRobin, policyLeastInFlight, policySticky, policyPrevious}

// dispatcher makes the decisions of a pool: the scheduler or a baseline.
type dispatcher interface {
	Step(now time.Duration, ev sched.Event, out []sched.Action) []sched.Action
}

func newDispatcher(name string, cfg sched.Config) dispatcher {
	switch name {
	case policyRoundRobin, policyLeastInFlight, policySticky:
		b := &baseline{policy: name, cfg: cfg, calls: map[id.Attempt]*baselineCall{}, inFlight: map[string]int{}}
		return b
	case policyPrevious:
		cfg.Options = sched.MinimalOptions()
		return sched.New(cfg)
	default:
		return sched.New(cfg)
	}
}

// baseline is a dispatcher with one first-come, first-served queue. It has the same in-flight limits and
// queue limit as the scheduler and gets the same notices of leaving endpoints.
type baseline struct {
	policy   string
	cfg      sched.Config
	calls    map[id.Attempt]*baselineCall
	queue    []*baselineCall
	inFlight map[string]int
	next     int // index of the endpoint at which round robin starts
}

// baselineCall is an attempt that waits or is in flight.
type baselineCall struct {
	req       sched.Request
	submitted time.Duration
	endpoint  string // empty while the call waits
}

// baselineRetryAfter is the delay that a baseline's refusals ask the caller to wait before a retry.
const baselineRetryAfter = 2 * time.Second

// Step implements dispatcher.
func (b *baseline) Step(now time.Duration, ev sched.Event, out []sched.Action) []sched.Action {
	switch e := ev.(type) {
	case sched.Configure:
		b.cfg = e.Config
	case sched.EndpointLeaving:
		for i := range b.cfg.Endpoints {
			if b.cfg.Endpoints[i].Name == e.Endpoint {
				b.cfg.Endpoints[i].Leaving = true
			}
		}
	case sched.Submit:
		if b.calls[e.Request.ID] != nil {
			return out
		}
		if b.cfg.QueueLimit > 0 && len(b.queue) >= b.cfg.QueueLimit {
			return append(out, sched.Refuse{Request: e.Request, Reason: sched.ReasonQueueFull, RetryAfter: baselineRetryAfter})
		}
		c := &baselineCall{req: e.Request, submitted: now}
		b.calls[e.Request.ID] = c
		b.queue = append(b.queue, c)
	case sched.Done:
		if c := b.calls[e.ID]; c != nil && c.endpoint != "" {
			b.inFlight[c.endpoint]--
			delete(b.calls, e.ID)
		}
	case sched.OwnerLost:
		b.dropOwner(e.Session)
	}
	out = b.expire(now, out)
	return b.grant(now, out)
}

// dropOwner forgets the waiting and running calls of a lost owner session.
func (b *baseline) dropOwner(session id.Session) {
	for a, c := range b.calls {
		if c.req.Owner == session {
			if c.endpoint != "" {
				b.inFlight[c.endpoint]--
			}
			delete(b.calls, a)
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(c *baselineCall) bool { return c.req.Owner == session })
}

// expire refuses the queued calls whose time limit has passed.
func (b *baseline) expire(now time.Duration, out []sched.Action) []sched.Action {
	kept := b.queue[:0]
	for _, c := range b.queue {
		if c.req.CallTimeLimit == 0 || now < c.submitted+c.req.CallTimeLimit {
			kept = append(kept, c)
			continue
		}
		delete(b.calls, c.req.ID)
		out = append(out, sched.Refuse{Request: c.req, Reason: sched.ReasonExpired, RetryAfter: baselineRetryAfter})
	}
	b.queue = kept
	return out
}

// grant grants queued calls in order until no endpoint has room. With policySticky a call whose endpoint
// is full stays in the queue, and later calls are granted before it.
func (b *baseline) grant(now time.Duration, out []sched.Action) []sched.Action {
	kept := b.queue[:0]
	full := false
	for i, c := range b.queue {
		if full {
			kept = append(kept, b.queue[i:]...)
			break
		}
		ep := b.choose(c)
		if ep == "" {
			kept = append(kept, c)
			full = b.policy != policySticky || !b.anyFree()
			continue
		}
		c.endpoint = ep
		b.inFlight[ep]++
		out = append(out, sched.Grant{Request: c.req, Endpoint: ep, Waited: now - c.submitted})
	}
	b.queue = kept
	return out
}

// free reports whether an endpoint can take another call.
func (b *baseline) free(e *sched.Endpoint) bool {
	return !e.Leaving && b.inFlight[e.Name] < e.MaxInFlight
}

func (b *baseline) anyFree() bool {
	for i := range b.cfg.Endpoints {
		if b.free(&b.cfg.Endpoints[i]) {
			return true
		}
	}
	return false
}

// choose returns the endpoint for a call, or "" if the call must wait.
func (b *baseline) choose(c *baselineCall) string {
	eps := b.cfg.Endpoints
	switch b.policy {
	case policyRoundRobin:
		for i := range eps {
			e := &eps[(b.next+i)%len(eps)]
			if b.free(e) && !slices.Contains(c.req.Avoid, e.Name) {
				b.next = (b.next + i + 1) % len(eps)
				return e.Name
			}
		}
	case policyLeastInFlight:
		var best *sched.Endpoint
		for i := range eps {
			e := &eps[i]
			if !b.free(e) || slices.Contains(c.req.Avoid, e.Name) {
				continue
			}
			if best == nil || b.inFlight[e.Name]*best.MaxInFlight < b.inFlight[best.Name]*e.MaxInFlight {
				best = e
			}
		}
		if best != nil {
			return best.Name
		}
	case policySticky:
		if e := b.hashedEndpoint(c); e != nil && b.free(e) {
			return e.Name
		}
	}
	return ""
}

// hashedEndpoint returns the endpoint that the call's program hashes to. It uses rendezvous hashing weighted
// by the in-flight limits, so that slow endpoints get fewer programs. Endpoints that are leaving or that
// have failed this call are skipped.
func (b *baseline) hashedEndpoint(c *baselineCall) *sched.Endpoint {
	var best *sched.Endpoint
	bestScore := 0.0
	for i := range b.cfg.Endpoints {
		e := &b.cfg.Endpoints[i]
		if e.Leaving || slices.Contains(c.req.Avoid, e.Name) {
			continue
		}
		h := fnv.New64a()
		h.Write([]byte(c.req.Program))
		h.Write([]byte(e.Name))
		u := (float64(mix64(h.Sum64())>>11) + 0.5) / (1 << 53)
		if score := float64(e.MaxInFlight) / -math.Log(u); best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// mix64 spreads the low bits of a hash over the whole word. It is the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
