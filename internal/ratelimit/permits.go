package ratelimit

import "time"

const (
	// permitTTL is how long a permit can be used. Permits that are used late add to those of the next seconds, so it is
	// short; an instance with waiting requests uses a permit at once.
	permitTTL = 300 * time.Millisecond
	// unansweredRetry is how long an instance waits before it asks again when the issuer did not answer.
	unansweredRetry = 100 * time.Millisecond
	// issuerLostAfter is how long an issuer does not answer until the instance issues its own part.
	issuerLostAfter = time.Second
)

// Permits holds the permits of an instance and decides when it may ask for more. It is not safe for concurrent use.
type Permits struct {
	stocks map[string]*stock // by endpoint ID
}

type stock struct {
	expires         []time.Time // of the permits
	asking          bool
	retryAt         time.Time // not to ask before
	unansweredSince time.Time // since when the issuer has not answered; zero if it has
}

// NewPermits returns Permits without any.
func NewPermits() *Permits { return &Permits{stocks: make(map[string]*stock)} }

// OwnShare returns the share of a limit that an instance issues to itself while the issuer is lost; 0 for none. Only
// instances that hold partitions issue any: they are at most as many as there are partitions, and each is connected to
// all others, while the rest cannot tell how many they are.
func OwnShare(held, partitions, peers int) float64 {
	if held == 0 {
		return 0
	}
	return 1 / float64(max(min(partitions, 1+peers), 1))
}

func (p *Permits) stock(endpoint string) *stock {
	s := p.stocks[endpoint]
	if s == nil {
		s = &stock{}
		p.stocks[endpoint] = s
	}
	return s
}

// usable returns how many permits can be used, and drops the expired ones.
func (s *stock) usable(now time.Time) int {
	for len(s.expires) > 0 && !s.expires[0].After(now) {
		s.expires = s.expires[1:]
	}
	return len(s.expires)
}

// Has reports whether there is a permit for an endpoint.
func (p *Permits) Has(endpoint string, now time.Time) bool {
	s := p.stocks[endpoint]
	return s != nil && s.usable(now) > 0
}

// Use takes a permit for an endpoint out of the stock, if there is one.
func (p *Permits) Use(endpoint string, now time.Time) {
	if p.Has(endpoint, now) {
		s := p.stocks[endpoint]
		s.expires = s.expires[1:]
	}
}

// MayAsk reports whether the instance may ask for a permit.
func (p *Permits) MayAsk(endpoint string, now time.Time) bool {
	s := p.stocks[endpoint]
	return s == nil || !s.asking && !s.retryAt.After(now)
}

// Outstanding returns how many permits for an endpoint the instance has or has asked for.
func (p *Permits) Outstanding(endpoint string, now time.Time) int {
	s := p.stocks[endpoint]
	if s == nil {
		return 0
	}
	n := s.usable(now)
	if s.asking {
		n++
	}
	return n
}

// Asked records that the instance asks for a permit. Exactly one call of Granted, Denied or Unanswered follows.
func (p *Permits) Asked(endpoint string) { p.stock(endpoint).asking = true }

// Answered records that the issuer answered, so it does not count as lost.
func (p *Permits) Answered(endpoint string) { p.stock(endpoint).unansweredSince = time.Time{} }

// Granted adds a permit, of the issuer or of the instance itself.
func (p *Permits) Granted(endpoint string, now time.Time) {
	s := p.stock(endpoint)
	s.asking = false
	s.expires = append(s.expires, now.Add(permitTTL))
}

// Denied records that the issuer has no permit yet.
func (p *Permits) Denied(endpoint string, retryAfter time.Duration, now time.Time) {
	s := p.stock(endpoint)
	s.asking = false
	s.retryAt = now.Add(retryAfter)
}

// Unanswered records that the issuer did not answer. It reports whether the issuer counts as lost.
func (p *Permits) Unanswered(endpoint string, now time.Time) bool {
	s := p.stock(endpoint)
	s.asking = false
	s.retryAt = now.Add(unansweredRetry)
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
	return now.Sub(s.unansweredSince) >= issuerLostAfter
}

// NextAsk returns the first time after now at which an endpoint that denied a permit may be asked for again, and zero
// if there is none.
func (p *Permits) NextAsk(now time.Time) time.Time {
	var first time.Time
	for _, s := range p.stocks {
		if s.retryAt.After(now) && (first.IsZero() || s.retryAt.Before(first)) {
			first = s.retryAt
		}
	}
	return first
}

// Prune forgets the endpoints that are not listed.
func (p *Permits) Prune(listed map[string]bool) {
	for id, s := range p.stocks {
		if !listed[id] && !s.asking {
			delete(p.stocks, id)
		}
	}
}
