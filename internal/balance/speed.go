package balance

import (
	"math"
	"time"
)

const (
	// smoothing is the weight of the newest sample in exponential moving averages.
	smoothing = 0.15
	// defaultSeconds is the assumed time of a request, in seconds, until one has been observed.
	defaultSeconds = 0.1
)

// usual returns the mean latency of the candidates for which one is known, in seconds.
func (b *Balancer) usual(candidates []Endpoint) float64 {
	sum, n := 0.0, 0
	for _, e := range candidates {
		if s := b.states[e.ID]; s != nil && s.latency > 0 {
			sum += s.latency
			n++
		}
	}
	if n == 0 {
		return defaultSeconds
	}
	return sum / float64(n)
}

// latency returns the expected seconds of a request at an endpoint without queueing.
func (b *Balancer) latency(id string, usual float64) float64 {
	if s := b.states[id]; s != nil && s.latency > 0 {
		return s.latency
	}
	return usual
}

// leastLatency returns the latency of the fastest candidate in seconds, or infinity if none is known. Endpoints that
// limit their requests count only if limited is set: requests can rarely use them in place of a slower one.
func (b *Balancer) leastLatency(candidates []Endpoint, limited bool) float64 {
	least := math.Inf(1)
	for _, e := range candidates {
		if s := b.states[e.ID]; s != nil && s.latency > 0 && (limited || !s.limited) {
			least = min(least, s.latency)
		}
	}
	return least
}

// Observe records the expected duration of a request that has not ended yet, so that an endpoint that turns slow is
// noticed before its first requests end.
func (b *Balancer) Observe(id string, expected time.Duration) {
	if s := b.endpointState(id); s.latency > 0 && expected > 0 {
		s.latency += smoothing * (expected.Seconds() - s.latency)
	}
}

// StreamTime returns the time that a stream of average length would take at the event rate of the given
// stream. Stream lengths differ far more than the speeds of endpoints, so the duration of a single stream
// says little about its endpoint. It returns 0 for streams of one event, which have no event rate.
func (b *Balancer) StreamTime(first, last time.Duration, events int64) time.Duration {
	if b.events == 0 {
		b.events = float64(events)
	}
	b.events += smoothing * (float64(events) - b.events)
	return b.ExpectedTime(first, last, events)
}

// ExpectedTime returns the time that a stream of average length takes at the event rate of a stream of which the
// given number of events have arrived. It returns 0 if the rate is not known.
func (b *Balancer) ExpectedTime(first, last time.Duration, events int64) time.Duration {
	if events < 2 {
		return 0
	}
	perEvent := float64(last-first) / float64(events-1)
	return first + time.Duration(perEvent*max(b.events-1, 0))
}
