package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/admission"
	"ragwortstile/internal/balance"
	"ragwortstile/internal/ratelimit"
	"ragwortstile/internal/wire"
)

// permitTimeout bounds a request for a permit.
const permitTimeout = 150 * time.Millisecond

// observeLimit records what the response to a request, sent at the given time, says of the limit of its endpoint.
func (g *Gateway) observeLimit(endpoint string, s ratelimit.Statement, sent time.Time) {
	now := time.Now()
	g.mu.Lock()
	changed := g.limits.Observe(endpoint, s, sent, now)
	if changed {
		g.newLimits[endpoint] = true
		g.limitChanged(endpoint, s, now)
	}
	g.mu.Unlock()
	if changed {
		g.logLimit(endpoint, s, "")
	}
}

// learnLimit records what a peer knows of the limit of an endpoint.
func (g *Gateway) learnLimit(m wire.EndpointLimit) {
	now := time.Now()
	o := ratelimit.Observation{
		Statement: ratelimit.Statement{Limited: m.Limited, PerSecond: m.PerSecond}, At: now.Add(-m.Age),
	}
	g.mu.Lock()
	changed := g.limits.Learn(m.ID, o)
	if changed {
		g.limitChanged(m.ID, o.Statement, now)
	}
	g.mu.Unlock()
	if changed {
		g.logLimit(m.ID, o.Statement, "peer")
	}
}

// limitChanged applies a change of what is known. The caller holds the lock.
func (g *Gateway) limitChanged(endpoint string, s ratelimit.Statement, now time.Time) {
	g.balancer.SetLimit(endpoint, s.Limited, s.PerSecond)
	if !s.Limited {
		g.planTurns(now)
	}
}

// limitOf returns what is known of the limit of an endpoint.
func (g *Gateway) limitOf(endpoint string) ratelimit.Statement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits.Get(endpoint).Statement
}

// logLimit logs what has become known, and from whom unless a response said so.
func (g *Gateway) logLimit(endpoint string, s ratelimit.Statement, source string) {
	log := g.log.WithField("endpoint", endpoint)
	if source != "" {
		log = log.WithField("reason", source)
	}
	if s.Limited {
		log.WithFields(logrus.Fields{"limit": s.PerSecond}).Info("endpoint limits its requests")
	} else {
		log.Info("endpoint no longer limits its requests")
	}
}

// wireLimit returns what is known of an endpoint for a message to a peer. The caller holds the lock.
func (g *Gateway) wireLimit(endpoint string, now time.Time) wire.EndpointLimit {
	o := g.limits.Get(endpoint)
	m := wire.EndpointLimit{ID: endpoint, Limited: o.Limited, PerSecond: o.PerSecond}
	if !o.At.IsZero() {
		m.Age = now.Sub(o.At)
	}
	return m
}

// takeNewLimits returns the limits that were observed here since its last call. The caller holds the lock.
func (g *Gateway) takeNewLimits(now time.Time) []wire.EndpointLimit {
	var limits []wire.EndpointLimit
	for endpoint := range g.newLimits {
		// An endpoint that has left the list is no longer known, which says nothing of its limit.
		if !g.limits.Get(endpoint).At.IsZero() {
			limits = append(limits, g.wireLimit(endpoint, now))
		}
		delete(g.newLimits, endpoint)
	}
	return limits
}

// permission implements balance.Query.Permission. The caller holds the lock.
func (g *Gateway) permission(endpoint string, now time.Time) balance.Permission {
	switch {
	case g.view.hasLeft(endpoint): // it was a candidate when the request began to wait
		return balance.Denied
	case !g.limits.Get(endpoint).Limited || g.permits.Has(endpoint, now):
		return balance.Allowed
	case g.permits.MayAsk(endpoint, now):
		return balance.Askable
	default:
		return balance.Denied
	}
}

// onlyByPermit is permission for turns that only endpoints with spare permits can take, since the others are full.
func (g *Gateway) onlyByPermit(endpoint string, now time.Time) balance.Permission {
	if !g.limits.Get(endpoint).Limited {
		return balance.Denied
	}
	return g.permission(endpoint, now)
}

// sparePermit reports whether there is a permit for one of the endpoints, which nobody that waits has used. Otherwise it
// asks for one, for the next turn. The caller holds the lock.
func (g *Gateway) sparePermit(candidates []balance.Endpoint, now time.Time) bool {
	if g.limits.Count() == 0 {
		return false
	}
	query := balance.Query{Candidates: candidates, MaxLoad: 1, Permission: g.onlyByPermit, Ask: g.askPermit}
	_, _, ok := g.balancer.Pick(query, now)
	return ok
}

// queued reports whether requests wait in a queue.
func (g *Gateway) queued(key queueKey) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	queue := g.admission.queues[key]
	return queue != nil && queue.Len() > 0
}

// mayWaitForPermit reports whether an endpoint of a service that was not tried yet limits its requests.
func (g *Gateway) mayWaitForPermit(service string, tried map[string]bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.view.candidates(service) {
		if !tried[e.ID] && g.limits.Get(e.ID).Limited {
			return true
		}
	}
	return false
}

// askForWaiting asks for permits until there is one for each waiting request of a queue. The caller holds the lock.
func (g *Gateway) askForWaiting(key queueKey, queue *admission.Queue, now time.Time) {
	if queue.Len() == 0 || g.limits.Count() == 0 {
		return
	}
	candidates := g.view.candidates(key.service)
	outstanding := 0
	for _, e := range candidates {
		outstanding += g.permits.Outstanding(e.ID, now)
	}
	asked := ""
	query := balance.Query{
		Candidates: candidates, Ask: func(id string) { asked = id },
		Permission: func(id string, now time.Time) balance.Permission {
			if p := g.permission(id, now); p == balance.Askable {
				return p
			}
			return balance.Denied
		},
	}
	if !key.calls {
		query.MaxLoad = admission.MaxLimit
	}
	for ; outstanding < queue.Len(); outstanding++ {
		asked = ""
		g.balancer.Pick(query, now)
		if asked == "" {
			return
		}
		g.askPermit(asked)
	}
}

// askPermit asks the issuer of an endpoint's permits for one. The caller holds the lock.
func (g *Gateway) askPermit(endpoint string) {
	g.permits.Asked(endpoint)
	get := wire.SendPermitGet{Limit: g.wireLimit(endpoint, time.Now())}
	go g.requestPermit(get)
}

// requestPermit sends a request for a permit to its issuer, and applies the answer.
func (g *Gateway) requestPermit(get wire.SendPermitGet) {
	ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
	defer cancel()
	var permit wire.SendPermit
	err := g.ledger.AskHolder(ctx, get.Limit.ID, func() error {
		permit = g.issue(get)
		return nil
	}, get, func(m wire.Message) error {
		var ok bool
		if permit, ok = m.(wire.SendPermit); !ok {
			return fmt.Errorf("unexpected reply of kind %s", m.Kind())
		}
		return nil
	})
	if err == nil {
		g.learnLimit(permit.Limit)
	}
	partitions, _ := g.ledger.HeldCounts()
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		g.permits.Answered(get.Limit.ID)
	} else if g.permits.Unanswered(get.Limit.ID, now) {
		g.log.WithFields(logrus.Fields{"endpoint": get.Limit.ID, "reason": err.Error()}).Debug("issuer of permits does not answer")
		if share := ratelimit.OwnShare(partitions, g.settings.StoreParts, len(g.node.Connected())); share > 0 {
			permit = g.issueLocked(get, g.ownIssuer, share, now)
		}
	}
	switch {
	case permit.Granted:
		g.permits.Granted(get.Limit.ID, now)
		for key, queue := range g.admission.queues {
			if queue.Len() > 0 && g.view.serves(get.Limit.ID, key.service) {
				queue.AddCredit(1)
			}
		}
	case err == nil:
		g.permits.Denied(get.Limit.ID, permit.RetryAfter, now)
	}
	g.planTurns(now)
}

var errNotIssuer = errors.New("this instance does not issue the permits of the endpoint")

// issuePermit answers the request of a peer for a permit.
func (g *Gateway) issuePermit(get wire.SendPermitGet) (wire.SendPermit, error) {
	if !g.ledger.Holds(get.Limit.ID) {
		return wire.SendPermit{}, wire.Error{Code: wire.CodeNotHolder, Detail: errNotIssuer.Error()}
	}
	g.learnLimit(get.Limit)
	return g.issue(get), nil
}

// issue decides on a permit as the issuer for all instances.
func (g *Gateway) issue(get wire.SendPermitGet) wire.SendPermit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.issueLocked(get, g.issuer, 1, time.Now())
}

// issueLocked decides on a permit with an issuer that issues a share of the limit. The caller holds the lock.
func (g *Gateway) issueLocked(get wire.SendPermitGet, issuer *ratelimit.Issuer, share float64, now time.Time) wire.SendPermit {
	known := g.wireLimit(get.Limit.ID, now)
	if !known.Limited {
		return wire.SendPermit{Granted: true, Limit: known}
	}
	granted, retryAfter := issuer.Issue(get.Limit.ID, known.PerSecond, share, now)
	return wire.SendPermit{Granted: granted, RetryAfter: retryAfter, Limit: known}
}
