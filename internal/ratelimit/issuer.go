package ratelimit

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstSpan is the time over which permits that nobody asked for accumulate. It is short, so that an endpoint gets no
	// surge after a pause.
	burstSpan = 250 * time.Millisecond
	// minPerSecond replaces lower limits, also 0: without any request nobody would learn that the limit has ended.
	minPerSecond = 0.25
	// maxRetryAfter bounds how long an instance is told to wait before it asks again.
	maxRetryAfter = time.Second
)

// Issuer issues permits to send one request each to limited endpoints, at the rate of their limits. For each endpoint
// one instance issues them for all: limits kept by each instance alone would add up, and equal shares of a limit would
// leave most of it unused where few of many instances use an endpoint. It is not safe for concurrent use.
type Issuer struct {
	buckets map[string]*bucket // by endpoint ID
}

type bucket struct {
	limiter  *rate.Limiter
	promised time.Time // up to when the instances that were denied have been told to come back
}

// NewIssuer returns an Issuer.
func NewIssuer() *Issuer { return &Issuer{buckets: make(map[string]*bucket)} }

// Issue issues a permit for an endpoint, at a share of its limit, or returns after which time the instance may ask again. Instances that are
// denied get different times, so that they do not all ask for the same permit.
//
// An Issuer that has not issued permits for the endpoint before begins with none, since another one may just have
// issued those of the last moment.
func (i *Issuer) Issue(endpoint string, perSecond, share float64, now time.Time) (ok bool, retryAfter time.Duration) {
	perSecond = share * max(perSecond, minPerSecond)
	limit, burst := rate.Limit(perSecond), max(1, int(perSecond*burstSpan.Seconds()))
	b := i.buckets[endpoint]
	switch {
	case b == nil:
		b = &bucket{limiter: rate.NewLimiter(limit, burst)}
		b.limiter.AllowN(now, burst)
		i.buckets[endpoint] = b
	case b.limiter.Limit() != limit:
		b.limiter.SetLimitAt(now, limit)
		b.limiter.SetBurstAt(now, burst)
	}
	if b.limiter.AllowN(now, 1) {
		return true, 0
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	next := now.Add(time.Duration((1 - b.limiter.TokensAt(now)) * float64(interval)))
	if b.promised.After(next) {
		next = b.promised
	}
	b.promised = next.Add(interval)
	if latest := now.Add(maxRetryAfter); b.promised.After(latest) {
		b.promised = latest
	}
	return false, min(next.Sub(now), maxRetryAfter)
}

// Prune forgets the endpoints that are not listed.
func (i *Issuer) Prune(listed map[string]bool) {
	for id := range i.buckets {
		if !listed[id] {
			delete(i.buckets, id)
		}
	}
}
