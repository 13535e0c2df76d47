package server

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// instanceMetrics holds the gauges of one instance and the counters of request routing; the observer
// holds the other metrics. Each instance has its own set, because several can run in one process.
type instanceMetrics struct {
	set       *metrics.Set
	forwarded *metrics.Counter
	parked    *metrics.Counter
}

func newInstanceMetrics(i *Instance) *instanceMetrics {
	set := metrics.NewSet()
	m := &instanceMetrics{
		set:       set,
		forwarded: set.NewCounter("ragwortstile_requests_forwarded_total"),
		parked:    set.NewCounter("ragwortstile_requests_parked_total"),
	}
	gauge := func(name string, f func(*view) float64) {
		set.NewGauge(name, func() float64 {
			if v := i.view.Load(); v != nil {
				return f(v)
			}
			return 0
		})
	}
	gauge("ragwortstile_slots_held", func(v *view) float64 { return float64(len(v.slots)) })
	gauge("ragwortstile_programs_open", func(v *view) float64 { return float64(v.status.Programs) })
	gauge("ragwortstile_log_down", func(v *view) float64 { return boolToFloat(v.status.LogDown) })
	gauge("ragwortstile_ready", func(v *view) float64 { return boolToFloat(v.readyErr == nil) })
	return m
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (m *instanceMetrics) write(w io.Writer) {
	m.set.WritePrometheus(w)
}
