package gateway

import (
	"fmt"
	"net/http"
	"runtime"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ragwortstile/internal/balance"
	"ragwortstile/internal/memory"
)

// maxRouteSeries bounds the routes with metric series of their own; all others share one label.
const maxRouteSeries = 64

// instanceMetrics holds the metrics of an instance.
type instanceMetrics struct {
	set    *metrics.Set
	routes *labelSet
	teams  *labelSet
}

func newInstanceMetrics() *instanceMetrics {
	return &instanceMetrics{set: metrics.NewSet(), routes: newLabelSet(maxRouteSeries), teams: newLabelSet(maxTeamSeries)}
}

// requestEnded records the status, the reason and the duration of a finished request.
func (c *instanceMetrics) requestEnded(route string, status int, reason string, took time.Duration) {
	if route == "" {
		route = "none"
	}
	route = c.routes.label(route)
	c.set.GetOrCreateHistogram(fmt.Sprintf("ragwortstile_request_seconds{route=%q}", route)).Update(took.Seconds())
	c.set.GetOrCreateCounter(fmt.Sprintf("ragwortstile_requests_total{route=%q,status=\"%d\",reason=%q}", route, status, reason)).Inc()
}

// slowCaller counts a caller that was given up. part is what it was too slow with.
func (c *instanceMetrics) slowCaller(part string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("ragwortstile_slow_callers_total{part=%q}", part)).Inc()
}

// connectionRefused counts a connection of a caller that was closed to keep a bound.
func (c *instanceMetrics) connectionRefused(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("ragwortstile_connections_closed_total{reason=%q}", reason)).Inc()
}

// handler serves the metrics in the Prometheus text format.
func (c *instanceMetrics) handler(g *Gateway) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		c.set.WritePrometheus(w)
		g.writeShares(w)
		parts, turns := g.ledger.HeldCounts()
		g.mu.Lock()
		limited := g.limits.Count()
		quarantined := g.quarantine.Quarantined(time.Now())
		decisions := g.balancer.Stats()
		g.mu.Unlock()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		cutOff := 0.0
		if off, _ := g.cutOff(); off {
			cutOff = 1
		}
		version := int64(0)
		if t := g.view.table.Load(); t != nil {
			version = t.Version
		}
		for _, gauge := range []struct {
			name  string
			value float64
		}{
			{"active_requests", float64(g.active.Load())},
			{"history_partitions", float64(parts)},
			{"history_partitions_served", float64(g.ledger.ServedCount())},
			{"history_turns", float64(turns)},
			{"configuration_version", float64(version)},
			{"configuration_age_seconds", g.view.configAge().Seconds()},
			{"limited_endpoints", float64(limited)},
			{"quarantined_requests", float64(quarantined)},
			{"cut_off_from_endpoints", cutOff},
			{"endpoint_decisions_full_total", float64(decisions.Full)},
			{"endpoint_decisions_reported_load_total", float64(decisions.Reported)},
			{"endpoint_decisions_estimated_load_total", decisions.Estimated},
			{"endpoints_overloaded_total", float64(decisions.Overloaded)},
			{"load_report_age_seconds", decisions.Age.Seconds()},
			{"endpoint_connections_total", float64(g.pool.Dials())},
			{"heap_bytes", float64(stats.HeapInuse)},
			{"memory_bytes", float64(stats.Sys)},
			{"goroutines", float64(runtime.NumGoroutine())},
			{"caller_connections", float64(g.callers.count())},
			{"grants_waiting", float64(g.account.WaitCount())},
		} {
			fmt.Fprintf(w, "ragwortstile_%s %g\n", gauge.name, gauge.value)
		}
		if g.view.hasTeams() {
			fmt.Fprintf(w, "ragwortstile_configuration_proof_age_seconds %g\n", g.view.proofAge().Seconds())
		}
		for rule, n := range decisions.ByRule {
			fmt.Fprintf(w, "ragwortstile_endpoint_decisions_total{rule=%q} %d\n", balance.Rule(rule), n)
		}
		for _, k := range memory.AllKinds() {
			fmt.Fprintf(w, "ragwortstile_held_bytes{holder=%q} %d\n", k, g.account.Held(k))
		}
	})
	return mux
}
