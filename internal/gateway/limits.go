package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"ragwortstile/internal/ratelimit"
)

// observeLimit records what the response to a request, sent at the given time, says of the limit of its endpoint.
func (g *Gateway) observeLimit(endpoint string, s ratelimit.Statement, sent time.Time) {
	now := time.Now()
	g.mu.Lock()
	changed := g.limits.Observe(endpoint, s, sent, now)
	g.mu.Unlock()
	if changed {
		g.logLimit(endpoint, s)
	}
}

// limitOf returns what is known of the limit of an endpoint.
func (g *Gateway) limitOf(endpoint string) ratelimit.Statement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limits.Get(endpoint).Statement
}

func (g *Gateway) logLimit(endpoint string, s ratelimit.Statement) {
	log := g.log.WithField("endpoint", endpoint)
	if s.Limited {
		log.WithFields(logrus.Fields{"limit": s.PerSecond}).Info("endpoint limits its requests")
	} else {
		log.Info("endpoint no longer limits its requests")
	}
}
