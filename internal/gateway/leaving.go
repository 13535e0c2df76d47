package gateway

import (
	"slices"
	"time"

	"ragwortstile/internal/wire"
)

// toldLeaving is an endpoint that has said to this instance that it leaves.
type toldLeaving struct {
	wire.EndpointLeaving
	at time.Time
}

// observeLeaving records that the response of an endpoint says that it leaves. Peers are told with the next load reports.
func (g *Gateway) observeLeaving(endpoint string, startUnixMs int64) {
	m := wire.EndpointLeaving{ID: endpoint, StartUnixMs: startUnixMs}
	if !g.learnLeaving(m, "response") {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.newLeaving = append(g.newLeaving, toldLeaving{m, time.Now()})
}

// recentLeaving returns what load reports say of leaving endpoints. It is repeated for the drain time, for peers that connect
// meanwhile. The caller holds the lock.
func (g *Gateway) recentLeaving(now time.Time) []wire.EndpointLeaving {
	g.newLeaving = slices.DeleteFunc(g.newLeaving, func(t toldLeaving) bool { return now.Sub(t.at) > g.settings.EndpointDrainTimeout })
	var out []wire.EndpointLeaving
	for _, t := range g.newLeaving {
		out = append(out, t.EndpointLeaving)
	}
	return out
}

// learnLeaving records that an endpoint leaves, and reports whether that was not known.
func (g *Gateway) learnLeaving(m wire.EndpointLeaving, source string) bool {
	if !g.view.setLeaving(m.ID, m.StartUnixMs, g.settings.EndpointDrainTimeout) {
		return false
	}
	g.log.WithField("endpoint", m.ID).WithField("reason", source).Info("endpoint says that it leaves")
	g.metrics.set.GetOrCreateCounter("ragwortstile_endpoints_leaving_total").Inc()
	return true
}
