package gateway

import (
	"fmt"
	"net/http"
	"runtime"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// maxRouteSeries bounds the routes with series of their own; the rest is counted together.
const maxRouteSeries = 64

// counters holds the metrics of an instance.
type counters struct {
	set    *metrics.Set
	routes *nameSet
}

func newCounters() *counters {
	return &counters{set: metrics.NewSet(), routes: newNameSet(maxRouteSeries)}
}

// ended counts the end of a request.
func (c *counters) ended(route string, status int, reason string, took time.Duration) {
	if route == "" {
		route = "none"
	}
	route = c.routes.name(route)
	c.set.GetOrCreateHistogram(fmt.Sprintf("ragwortstile_request_seconds{route=%q}", route)).Update(took.Seconds())
	c.set.GetOrCreateCounter(fmt.Sprintf("ragwortstile_requests_total{route=%q,status=\"%d\",reason=%q}", route, status, reason)).Inc()
}

// handler serves the metrics as text.
func (c *counters) handler(g *Gateway) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		c.set.WritePrometheus(w)
		parts, turns := g.ledger.HeldCounts()
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		version := int64(0)
		if t := g.beliefs.table.Load(); t != nil {
			version = t.Version
		}
		for _, gauge := range []struct {
			name  string
			value float64
		}{
			{"active_requests", float64(g.active.Load())},
			{"history_partitions", float64(parts)},
			{"history_turns", float64(turns)},
			{"configuration_version", float64(version)},
			{"configuration_age_seconds", g.beliefs.configAge().Seconds()},
			{"endpoint_connections_total", float64(g.pool.Dials())},
			{"heap_bytes", float64(memory.HeapInuse)},
			{"memory_bytes", float64(memory.Sys)},
			{"goroutines", float64(runtime.NumGoroutine())},
		} {
			fmt.Fprintf(w, "ragwortstile_%s %g\n", gauge.name, gauge.value)
		}
	})
	return mux
}
