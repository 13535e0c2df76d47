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
const (
	policyOurs       = "ragwortstile"
	policyRoundRobin = "round_robin"
	policyLeast      = "least_in_flight"
	policySticky     = "sticky"
	policyPrevious   = "previous"
)

var policyNames = []string{policyOurs, policyRoundRobin, policyLeast, policySticky, policyPrevious}

// dispatcher is a policy under test: the scheduler or a baseline.
type dispatcher interface {
	Step(now time.Duration, ev sched.Event, out []sched.Action) []sched.Action
}

func newDispatcher(name string, cfg sched.Config) dispatcher {
	switch name {
	case policyRoundRobin, policyLeast, policySticky:
		b := &baseline{kind: name, cfg: cfg, calls: map[id.Attempt]*baseCall{}, inFlight: map[string]int{}}
		return b
	case policyPrevious:
		cfg.Options = sched.MinimalOptions()
		return sched.New(cfg)
	default:
		return sched.New(cfg)
	}
}

// baseline is a dispatcher with one first-come, first-served queue and the same in-flight limits,
// queue limit and knowledge of leaving endpoints as the scheduler.
type baseline struct {
	kind     string
	cfg      sched.Config
	calls    map[id.Attempt]*baseCall
	queue    []*baseCall
	inFlight map[string]int
	next     int
}

type baseCall struct {
	req       sched.Request
	submitted time.Duration
	endpoint  string // empty while the call waits
}

// baselineRetryAfter is the retry delay of a baseline's refusals.
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
		c := &baseCall{req: e.Request, submitted: now}
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

func (b *baseline) dropOwner(session id.Session) {
	for a, c := range b.calls {
		if c.req.Owner == session {
			if c.endpoint != "" {
				b.inFlight[c.endpoint]--
			}
			delete(b.calls, a)
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(c *baseCall) bool { return c.req.Owner == session })
}

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

// grant serves the queue in order. A sticky call whose endpoint is full lets later calls pass.
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
			full = b.kind != policySticky || !b.anyFree()
			continue
		}
		c.endpoint = ep
		b.inFlight[ep]++
		out = append(out, sched.Grant{Request: c.req, Endpoint: ep, Waited: now - c.submitted})
	}
	b.queue = kept
	return out
}

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

func (b *baseline) choose(c *baseCall) string {
	eps := b.cfg.Endpoints
	switch b.kind {
	case policyRoundRobin:
		for i := range eps {
			e := &eps[(b.next+i)%len(eps)]
			if b.free(e) && !slices.Contains(c.req.Avoid, e.Name) {
				b.next = (b.next + i + 1) % len(eps)
				return e.Name
			}
		}
	case policyLeast:
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
		if e := b.home(c); e != nil && b.free(e) {
			return e.Name
		}
	}
	return ""
}

// home is the endpoint that the program hashes to (rendezvous hashing weighted by the in-flight
// limits, so that slow endpoints get fewer programs). Endpoints that are leaving or failed the call
// are passed over.
func (b *baseline) home(c *baseCall) *sched.Endpoint {
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

// mix64 spreads the low bits of a hash over the word (the finaliser of splitmix64).
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
