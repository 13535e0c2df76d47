package server

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/telemetry"
)

// reclassifyInterval is the time between choices of the tenants with a class of their own.
const reclassifyInterval = 10 * time.Minute

// instanceMetrics is the metrics of one instance. Each instance has its own set, because several
// can run in one process.
type instanceMetrics struct {
	*telemetry.Metrics
	set        *metrics.Set // gauges of this package
	forwarded  *metrics.Counter
	parked     *metrics.Counter
	classified time.Duration
	busy       time.Duration // time that the loop worked since the last tick
}

func newInstanceMetrics(i *Instance) *instanceMetrics {
	set := metrics.NewSet()
	m := &instanceMetrics{
		Metrics:   telemetry.NewMetrics(),
		set:       set,
		forwarded: set.NewCounter("ragwortstile_requests_forwarded_total"),
		parked:    set.NewCounter("ragwortstile_requests_parked_total"),
	}
	m.SetConfigSource(func() telemetry.Config {
		s := i.status()
		return telemetry.Config{Version: s.ManifestVersion, Age: s.ManifestAge}
	})
	m.SetTrafficSource(func() telemetry.Traffic {
		b := i.node.Bytes()
		return telemetry.Traffic{ControlIn: b.ControlIn, ControlOut: b.ControlOut, Payload: b.PayloadIn + b.PayloadOut}
	})
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
	gauge("ragwortstile_log_down", func(v *view) float64 { return boolNumber(v.status.LogDown) })
	gauge("ragwortstile_ready", func(v *view) float64 { return boolNumber(v.ready == nil) })
	return m
}

func boolNumber(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (m *instanceMetrics) write(w io.Writer) {
	m.WritePrometheus(w)
	m.set.WritePrometheus(w)
}

// useManifest bounds the label values by the names of the manifest.
func (m *instanceMetrics) useManifest(in *manifest.Manifest) {
	var pools []string
	var shares []telemetry.PoolDuty
	for _, p := range in.Pools {
		pools = append(pools, p.Name)
	}
	for _, d := range in.Duties {
		for _, p := range d.Pools {
			shares = append(shares, telemetry.PoolDuty{Pool: p, Duty: d.Name})
		}
	}
	m.SetNames(pools, shares)
}

// finished observes a call that ended at an endpoint. waited is its time at the dispatcher.
func (m *instanceMetrics) finished(s *submission, d sched.Done) {
	class := m.Class(s.request.Tenant)
	class.QueueWait(s.waited)
	if d.Result != sched.ResultOK || d.OutputTokens == 0 {
		return
	}
	class.FirstToken(s.waited + d.FirstToken)
	if d.OutputTokens > 1 && d.Total > d.FirstToken {
		class.BetweenTokens((d.Total - d.FirstToken) / time.Duration(d.OutputTokens-1))
	}
	m.CacheFilled(s.pool, max(0, d.PromptTokens-d.CachedTokens)+d.OutputTokens)
}

// ended observes the end of a program of this owner.
func (m *instanceMetrics) ended(e fsm.Effect, p *fsm.Program) {
	if _, isEnd := e.Record.(record.End); !isEnd || p == nil || e.Verdict != fsm.Valid {
		return
	}
	m.Class(p.Tenant).ProgramLatency(p.EndedAt.Sub(p.OpenedAt))
}

// tick adds the time that the loop has worked and chooses the classes of tenants when it is due.
func (m *instanceMetrics) tick(now time.Duration) {
	m.ControlCPU("core_loop", m.busy)
	m.busy = 0
	if now-m.classified >= reclassifyInterval {
		m.classified = now
		m.Reclassify()
	}
}
