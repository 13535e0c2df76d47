package telemetry

import (
	"fmt"
	"io"
	"maps"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Limits of the label values that have their own series. Everything else is counted as OtherLabel.
const (
	MaxClasses = 20  // teams with the most calls, selected by Reclassify
	MaxPools   = 64  // pools of the manifest: 39 models and the services
	MaxShares  = 256 // pairs of pool and duty in the manifest
	MaxReasons = 32  // reasons of refusals, the first ones that occur
	MaxRoles   = 8   // parts of the process with their own CPU counter, the first ones that occur
)

// Upper bounds of histogram buckets in seconds. The guaranteed limits of 0.65 s until the first token and
// 31 ms between tokens are bucket bounds, so that the fraction within each limit is exact.
var (
	latencyBounds       = []float64{0.5, 1, 2, 5, 10, 20, 60, 180, 600, 1800, 7200}
	firstTokenBounds    = []float64{0.05, 0.1, 0.2, 0.4, 0.65, 1, 1.5, 3, 6, 12, 30}
	betweenTokensBounds = []float64{0.004, 0.008, 0.016, 0.024, 0.031, 0.045, 0.07, 0.1, 0.2, 0.5, 2}
	queueWaitBounds     = []float64{0.001, 0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 3, 10, 30}
)

// MaxSeries is the maximum number of series of one instance for any manifest and any traffic. A histogram
// has one series per bound and one each for +Inf, the sum and the count.
const (
	seriesPerHistogram = 11 + 3
	classHistograms    = 4
	poolCounters       = 4
	fixedSeries        = 9 // 4 of appends, 2 of the configuration, 3 of peer traffic

	MaxSeries = classHistograms*seriesPerHistogram*(MaxClasses+1) +
		poolCounters*(MaxPools+1) +
		2*(MaxShares+1) +
		MaxReasons + 1 +
		MaxRoles + 1 +
		fixedSeries
)

// Metrics holds the metrics of one instance. It is safe for concurrent use.
type Metrics struct {
	set        *metrics.Set
	callCounts *callCounter
	classes    *labelSet
	pools      *labelSet
	shares     *labelSet
	reasons    *labelSet
	roles      *labelSet
}

// NewMetrics returns Metrics without any series.
func NewMetrics() *Metrics {
	set := metrics.NewSet()
	return &Metrics{
		set:        set,
		callCounts: newCallCounter(),
		classes:    newLabelSet(set, MaxClasses, false),
		pools:      newLabelSet(set, MaxPools, false),
		shares:     newLabelSet(set, MaxShares, false),
		reasons:    newLabelSet(set, MaxReasons, true),
		roles:      newLabelSet(set, MaxRoles, true),
	}
}

// PoolDuty names a pool and a duty that may use it.
type PoolDuty struct{ Pool, Duty string }

func (p PoolDuty) key() string { return p.Pool + "\x00" + p.Duty }

// SetManifestNames sets the pools and shares that have their own series, from the manifest in force. Series of
// names that are no longer among them are removed.
func (m *Metrics) SetManifestNames(pools []string, shares []PoolDuty) {
	m.pools.replaceValues(pools)
	keys := make([]string, 0, len(shares))
	for _, s := range shares {
		keys = append(keys, s.key())
	}
	m.shares.replaceValues(keys)
}

// Reclassify selects the teams that get their own class, by their calls, and removes the series of teams
// that lose it. It returns the number of teams with their own class. It is to be called about every 10 min.
func (m *Metrics) Reclassify() int {
	m.classes.mu.Lock()
	current := maps.Clone(m.classes.values)
	m.classes.mu.Unlock()
	chosen := m.callCounts.busiest(MaxClasses, current)
	m.classes.replaceValues(chosen)
	return len(chosen)
}

// WritePrometheus writes all series in the Prometheus text format.
func (m *Metrics) WritePrometheus(w io.Writer) { m.set.WritePrometheus(w) }

// ClassHistograms holds the histograms of one class: a team with its own class, or OtherLabel. It is not to be
// kept across calls, because the class of a team can change.
type ClassHistograms struct {
	latency, firstToken, between, queueWait *metrics.PrometheusHistogram
}

// ForTeam returns the histograms of a team's class. Each use counts as a call of the team for Reclassify.
func (m *Metrics) ForTeam(team string) ClassHistograms {
	m.callCounts.count(team)
	class := m.classes.label(team)
	histogram := func(metric string, bounds []float64) *metrics.PrometheusHistogram {
		name := fmt.Sprintf("%s{class=%q}", metric, class)
		m.classes.addSeries(class, name)
		return m.set.GetOrCreatePrometheusHistogramExt(name, bounds)
	}
	return ClassHistograms{
		latency:    histogram("ragwortstile_program_latency_seconds", latencyBounds),
		firstToken: histogram("ragwortstile_first_token_seconds", firstTokenBounds),
		between:    histogram("ragwortstile_between_tokens_seconds", betweenTokensBounds),
		queueWait:  histogram("ragwortstile_queue_wait_seconds", queueWaitBounds),
	}
}

// ProgramLatency records the time from the first call of a program to its final response.
func (c ClassHistograms) ProgramLatency(d time.Duration) { c.latency.Update(d.Seconds()) }

// FirstToken records the time from a call to its first token.
func (c ClassHistograms) FirstToken(d time.Duration) { c.firstToken.Update(d.Seconds()) }

// BetweenTokens records the time between two tokens.
func (c ClassHistograms) BetweenTokens(d time.Duration) { c.between.Update(d.Seconds()) }

// QueueWait records the time that a call waited at its dispatcher.
func (c ClassHistograms) QueueWait(d time.Duration) { c.queueWait.Update(d.Seconds()) }

// counter returns the counter of a metric for the label value of a name.
func (m *Metrics) counter(set *labelSet, metric, label, value string) *metrics.Counter {
	value = set.label(value)
	name := fmt.Sprintf("%s{%s=%q}", metric, label, value)
	set.addSeries(value, name)
	return m.set.GetOrCreateCounter(name)
}

// CacheFilled counts prefix tokens that an engine of a pool stored.
func (m *Metrics) CacheFilled(pool string, tokens int64) {
	m.counter(m.pools, "ragwortstile_cache_filled_tokens_total", "pool", pool).AddInt64(tokens)
}

// CacheWasted counts prefix tokens that were evicted before they were used again.
func (m *Metrics) CacheWasted(pool string, tokens int64) {
	m.counter(m.pools, "ragwortstile_cache_wasted_tokens_total", "pool", pool).AddInt64(tokens)
}

// Retried counts an attempt that repeats an earlier one.
func (m *Metrics) Retried(pool string) {
	m.counter(m.pools, "ragwortstile_retries_total", "pool", pool).Inc()
}

// OutcomeUnknown counts a non-idempotent call whose outcome is unknown.
func (m *Metrics) OutcomeUnknown(pool string) {
	m.counter(m.pools, "ragwortstile_unknown_outcomes_total", "pool", pool).Inc()
}

// Refused counts a refused request by its reason, a code.
func (m *Metrics) Refused(reason string) {
	m.counter(m.reasons, "ragwortstile_refusals_total", "reason", safeCode(reason)).Inc()
}

// SetShare sets the share of a pool's work that a duty was owed and the share that it was given, both from 0 to 1.
// Pairs without their own series are skipped: combined under OtherLabel, shares of different pools would have no
// meaning.
func (m *Metrics) SetShare(pd PoolDuty, owed, given float64) {
	if m.shares.label(pd.key()) == OtherLabel {
		return
	}
	for metric, v := range map[string]float64{"ragwortstile_share_owed": owed, "ragwortstile_share_given": given} {
		name := fmt.Sprintf("%s{pool=%q,duty=%q}", metric, pd.Pool, pd.Duty)
		m.shares.addSeries(pd.key(), name)
		m.set.GetOrCreateGauge(name, nil).Set(v)
	}
}

// ControlCPU adds CPU time that a part of the process spent on control work.
func (m *Metrics) ControlCPU(role string, d time.Duration) {
	role = m.roles.label(safeCode(role))
	m.set.GetOrCreateFloatCounter(fmt.Sprintf("ragwortstile_control_cpu_seconds_total{role=%q}", role)).Add(d.Seconds())
}

// Appended counts an append to the log with its records and bytes. Failed appends have a separate counter.
func (m *Metrics) Appended(records, bytes int, ok bool) {
	if !ok {
		m.set.GetOrCreateCounter("ragwortstile_append_failures_total").Inc()
		return
	}
	m.set.GetOrCreateCounter("ragwortstile_appends_total").Inc()
	m.set.GetOrCreateCounter("ragwortstile_append_records_total").Add(records)
	m.set.GetOrCreateCounter("ragwortstile_append_bytes_total").Add(bytes)
}

// Config describes the configuration in force at this instance.
type Config struct {
	Version uint64
	Age     time.Duration // time since it came into force at this instance
}

// SetConfigSource sets the function that returns the configuration's version and age each time metrics are
// written. It may be called only once.
func (m *Metrics) SetConfigSource(read func() Config) {
	m.set.NewGauge("ragwortstile_config_version", func() float64 { return float64(read().Version) })
	m.set.NewGauge("ragwortstile_config_age_seconds", func() float64 { return read().Age.Seconds() })
}

// PeerTraffic holds the total numbers of bytes exchanged with peers.
type PeerTraffic struct{ ControlIn, ControlOut, Payload uint64 }

// SetPeerTrafficSource sets the function that returns the byte counts each time metrics are written. It may be
// called only once.
func (m *Metrics) SetPeerTrafficSource(read func() PeerTraffic) {
	source := func(name string, pick func(PeerTraffic) uint64) {
		m.set.NewGauge(name, func() float64 { return float64(pick(read())) })
	}
	source(`ragwortstile_control_bytes{direction="in"}`, func(t PeerTraffic) uint64 { return t.ControlIn })
	source(`ragwortstile_control_bytes{direction="out"}`, func(t PeerTraffic) uint64 { return t.ControlOut })
	source(`ragwortstile_payload_bytes`, func(t PeerTraffic) uint64 { return t.Payload })
}
