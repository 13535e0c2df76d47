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
	// maxSampleRatio bounds a sample, as a multiple of the estimate, while decisions are spread. It is how much slower
	// endpoints usually get for a while; one unusually long stream moves the estimate no further.
	maxSampleRatio = 2.5
	// slowMemory is the time constant with which an estimate returns to the long-term one without samples, while
	// decisions are spread: an endpoint that counts as slow gets no requests that would show that it has recovered.
	// Endpoints are usually slow for half of this time.
	slowMemory = 1200 * time.Millisecond
	// maxSlowMemory bounds the time constant, which doubles each time that the endpoint turns out to be still slow.
	maxSlowMemory = 20 * time.Second
	// stillSlow is how many times slower than in the long term an endpoint must seem for its estimate to return.
	stillSlow = 1.3
	// longTermTime is the time constant of the long-term estimate.
	longTermTime = 5 * time.Second
	// exploreInterval is how long an endpoint that seems slower than usual gets no request of an instance that owns
	// slots there, before it gets one as if it were not.
	exploreInterval = 30 * time.Second
)

// speed is what an instance knows of the time that an endpoint takes.
type speed struct {
	latency  float64 // moving average of the seconds that a request takes without queueing, as of sampled; 0: unknown
	longTerm float64 // the same over some seconds
	sampled  time.Time
	memory   time.Duration // time constant with which latency returns to longTerm
}

// learn adds a sample, in seconds. With few peers the estimate is a plain moving average.
func (s *speed) learn(sample float64, spreading bool, now time.Time) {
	if s.latency == 0 {
		s.latency, s.longTerm, s.sampled, s.memory = sample, sample, now, slowMemory
		return
	}
	estimate, bounded := s.latency, sample
	if spreading {
		estimate = s.seconds(now)
		bounded = min(sample, maxSampleRatio*estimate)
	}
	if sample < stillSlow*s.longTerm {
		s.memory = slowMemory
	} else if now.Sub(s.sampled) >= s.memory/2 {
		s.memory = min(2*s.memory, maxSlowMemory)
	}
	// The weight is bounded so that one unusually short request after a pause does not make the endpoint fast.
	s.longTerm += min(smoothing, 1-math.Exp(-now.Sub(s.sampled).Seconds()/longTermTime.Seconds())) * (sample - s.longTerm)
	s.latency = estimate + smoothing*(bounded-estimate)
	s.sampled = now
}

// seconds returns the estimate at a time.
func (s *speed) seconds(now time.Time) float64 {
	if s.latency < stillSlow*s.longTerm {
		return s.latency
	}
	return s.longTerm + (s.latency-s.longTerm)*math.Exp(-now.Sub(s.sampled).Seconds()/s.memory.Seconds())
}

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

// presentLatency returns the expected seconds of a request without queueing, while decisions are spread. With explore,
// an endpoint that has had no request of this instance for exploreInterval counts as no slower than usual.
func (s *endpointState) presentLatency(usual float64, explore bool, now time.Time) float64 {
	if s.latency == 0 {
		return usual
	}
	seconds := s.seconds(now)
	if explore && s.running == 0 && now.Sub(s.lastSent) >= exploreInterval {
		return min(seconds, usual)
	}
	return seconds
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
		s.learn(expected.Seconds(), b.spreading(), b.lastEvent)
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
