package gateway

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"ragwortstile/internal/balance"
)

// target is the endpoint of an attempt.
type target struct {
	balance.Endpoint
	number   int64 // ID of the attempt in the balancer
	decision balance.Decision
}

// query returns the query to the balancer for an endpoint of a service. savings is by endpoint the fraction of its
// time that the request is expected to save there.
func (q *request) query(service string, savings map[string]float64) balance.Query {
	return balance.Query{
		Candidates: q.g.view.candidates(service), Tried: q.tried, Savings: savings, Connected: q.g.pool.HasIdle,
		Permission: q.g.permission, Ask: q.g.askPermit,
	}
}

// pick chooses an endpoint of a service and registers an attempt at it with the balancer.
func (q *request) pick(service string, savings map[string]float64) (target, bool) {
	query := q.query(service, savings)
	now := time.Now()
	q.g.mu.Lock()
	e, load, ok := q.g.balancer.Pick(query, now)
	var t target
	if ok {
		t = q.g.register(e, now)
	}
	q.g.mu.Unlock()
	if ok {
		q.logChosen(t, load, nil)
	}
	return t, ok
}

// register registers an attempt at an endpoint, for which it uses a permit if the endpoint limits its requests. The
// caller holds the lock.
func (g *Gateway) register(e balance.Endpoint, now time.Time) target {
	if g.limits.Get(e.ID).Limited {
		g.permits.Use(e.ID, now)
	}
	decision := g.balancer.LastDecision()
	return target{Endpoint: e, number: g.balancer.Sent(e.ID, now), decision: decision}
}

// placeCall chooses an endpoint for an attempt of a call. While endpoints of the service limit their requests, the call
// may wait for a permit; it is rejected if that would take too long.
func (q *request) placeCall(ctx context.Context, service string) (target, *rejection) {
	if !q.g.queued(queueKey{service: service, calls: true}) {
		if e, ok := q.pick(service, nil); ok {
			return e, nil
		}
		if !q.g.mayWaitForPermit(service, q.tried) {
			return target{}, unavailable(reasonNoEndpoint, minRetryAfter)
		}
	}
	slot, rejected := q.admitCall(ctx, service)
	if slot == nil {
		return target{}, rejected
	}
	return slot.target, nil
}

// logChosen logs the endpoint of an attempt. load is the number of requests there, and more are fields of the
// decision.
func (q *request) logChosen(e target, load int, more logrus.Fields) {
	log := q.log
	if limit := q.g.limitOf(e.ID); limit.Limited {
		log = log.WithField("limit", limit.PerSecond)
	}
	if d := e.decision; d.Age > 0 {
		log = log.WithFields(logrus.Fields{"rule": d.Rule.String(), "estimated": math.Round(10*d.Estimated) / 10, "report_age": d.Age.Milliseconds()})
	}
	log.WithFields(logrus.Fields{"endpoint": e.ID, "zone": e.Zone, "load": load, "config": q.configVersion, "attempt": q.sends + 1, "age": time.Since(q.start).Milliseconds()}).
		WithFields(more).Info("endpoint chosen")
}

// pickService returns the service that handles the request. All requests of a session get the same one, since
// its ID is the hash key.
func (q *request) pickService() string {
	key := q.meta.Session
	if key == "" {
		key = q.meta.ID
	}
	return q.route.Pick(xxhash.Sum64String(key))
}
