package server

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"ragwortstile/internal/fsm"
	"ragwortstile/internal/id"
	"ragwortstile/internal/manifest"
	"ragwortstile/internal/program"
	"ragwortstile/internal/record"
	"ragwortstile/internal/sched"
	"ragwortstile/internal/telemetry"
)

const (
	// shareWindow is the period over which owed and given shares are computed.
	shareWindow = 30 * time.Second
	// usageInterval is the time between reads of the dispatchers' cache usage and of the control CPU
	// time.
	usageInterval = 5 * time.Second
	// reclassifyInterval is the time between selections of the teams that get histograms of their
	// own.
	reclassifyInterval = 10 * time.Minute
)

// observer derives metrics from the events and actions of the core loop. The loop owns its state
// except metrics and loopTime, which are safe for concurrent use.
type observer struct {
	inst     *Instance
	metrics  *telemetry.Metrics
	loopTime atomic.Int64 // ns that the core loop was busy

	calls    map[id.Call]time.Duration   // time of the first submission, for calls in progress
	attempts map[id.Attempt]attemptTimes // granted attempts in progress
	programs map[id.Program]programTimes // programs owned here

	// When usage and shares were last read and the teams' classes last selected; 0: not yet.
	usageAt, sharesAt, classesAt time.Duration
	cpu                          map[string]time.Duration // CPU time counted so far, by role
	pools                        map[string]*poolUsage
}

// attemptTimes holds the times of a granted attempt.
type attemptTimes struct {
	call      id.Call
	team      string
	submitted time.Duration
	granted   time.Duration
	streamed  bool // data arrived before the end; without it the attempt's token times are unknown
}

// programTimes holds the times of a program's first call and latest answer, which give its latency.
// For a program that was taken over, first is when it was opened.
type programTimes struct {
	team        string
	first, last time.Duration
}

func newObserver(i *Instance) *observer {
	o := &observer{
		inst:     i,
		metrics:  telemetry.NewMetrics(),
		calls:    map[id.Call]time.Duration{},
		attempts: map[id.Attempt]attemptTimes{},
		programs: map[id.Program]programTimes{},
		cpu:      map[string]time.Duration{},
		pools:    map[string]*poolUsage{},
	}
	o.metrics.SetConfigSource(func() telemetry.Config {
		status := i.status()
		return telemetry.Config{Version: status.ManifestVersion, Age: status.ManifestAge}
	})
	o.metrics.SetPeerTrafficSource(func() telemetry.PeerTraffic {
		b := i.node.ByteCounts()
		return telemetry.PeerTraffic{ControlIn: b.ControlIn, ControlOut: b.ControlOut, Payload: b.PayloadIn + b.PayloadOut}
	})
	return o
}

func (o *observer) write(w io.Writer) { o.metrics.WritePrometheus(w) }

// setNames sets the names of pools and duties that may have series.
func (o *observer) setNames(m *manifest.Manifest) {
	var pools []string
	for _, p := range m.Pools {
		pools = append(pools, p.Name)
	}
	var shares []telemetry.PoolDuty
	for _, d := range m.Duties {
		for _, p := range d.Pools {
			shares = append(shares, telemetry.PoolDuty{Pool: p, Duty: d.Name})
		}
	}
	o.metrics.SetManifestNames(pools, shares)
}

// observeSubmit records that an attempt is submitted to a dispatcher.
func (o *observer) observeSubmit(pool string, r sched.Request) {
	if r.Retry > 0 {
		o.metrics.Retried(pool)
	}
	call := callOf(r)
	if _, known := o.calls[call]; !known {
		o.calls[call] = o.inst.now()
	}
	if _, known := o.programs[r.Program]; !known {
		now := o.inst.now()
		o.programs[r.Program] = programTimes{team: r.Team, first: now - o.ageBefore(r), last: now}
	}
}

// ageBefore returns the age of a program that had calls before this instance owned it, otherwise 0.
func (o *observer) ageBefore(r sched.Request) time.Duration {
	if r.Calls == 0 {
		return 0
	}
	return r.ProgramAge
}

// callOf returns the call of a request without its sequence number, which the request lacks. The
// result is still unique, since a branch has at most one call in progress.
func callOf(r sched.Request) id.Call { return id.Call{Program: r.Program, Branch: r.Branch} }

func withoutSeq(c id.Call) id.Call { return id.Call{Program: c.Program, Branch: c.Branch} }

// observeGrant counts the queue wait of a granted attempt and records when it was granted.
func (o *observer) observeGrant(g sched.Grant) {
	o.metrics.ForTeam(g.Request.Team).QueueWait(g.Waited)
	call := callOf(g.Request)
	o.attempts[g.Request.ID] = attemptTimes{call: call, team: g.Request.Team, submitted: o.calls[call], granted: o.inst.now()}
}

// observeEvent records whether an attempt streams, and the token times of a finished attempt.
func (o *observer) observeEvent(ev program.Event) {
	if p, ok := ev.(program.Progress); ok {
		if w, known := o.attempts[p.Attempt]; known && !w.streamed {
			w.streamed = true
			o.attempts[p.Attempt] = w
		}
		return
	}
	e, ok := ev.(program.Finished)
	if !ok {
		return
	}
	w, known := o.attempts[e.Attempt]
	if !known {
		return
	}
	delete(o.attempts, e.Attempt)
	if e.Result != sched.ResultOK || e.FirstToken <= 0 || !w.streamed {
		return
	}
	class := o.metrics.ForTeam(w.team)
	class.FirstToken(w.granted - w.submitted + e.FirstToken)
	if e.OutputTokens > 1 && e.Total > e.FirstToken {
		class.BetweenTokens((e.Total - e.FirstToken) / time.Duration(e.OutputTokens-1))
	}
}

// observeDecision updates calls and programs from the owner's decisions.
func (o *observer) observeDecision(d program.Decision) {
	switch d.What {
	case "turn", "outcome":
		o.callEnded(d.Call)
		if p, known := o.programs[d.Call.Program]; known {
			p.last = o.inst.now()
			o.programs[d.Call.Program] = p
		}
	case "refuse":
		o.metrics.Refused(string(d.Reason))
	case "fail":
		o.callEnded(d.Call)
	case "end":
		p, known := o.programs[d.Call.Program]
		if known && p.last > p.first {
			o.metrics.ForTeam(p.team).ProgramLatency(p.last - p.first)
		}
		delete(o.programs, d.Call.Program)
	}
}

func (o *observer) callEnded(c id.Call) { delete(o.calls, withoutSeq(c)) }

// countRefusal counts a problem that ends a request. A dispatcher's refusal is not counted here;
// observeDecision counts it by its reason.
func (o *observer) countRefusal(p *program.Problem) {
	if p != nil && p.Type != program.ProblemRefused {
		o.metrics.Refused(p.Type)
	}
}

// observeEffect counts each unknown outcome once, at the instance that wrote it.
func (c *core) observeEffect(e fsm.Effect) {
	r, ok := e.Record.(record.Outcome)
	if !ok || e.Verdict != fsm.Valid || e.Writer != c.inst.session || r.Executed != record.ExecutedUnknown {
		return
	}
	pool := telemetry.OtherLabel
	if p := c.programs.Program(r.Call.Program); p != nil {
		if out := p.Outcomes[r.Key]; out != nil && out.Intent != nil {
			pool = out.Intent.Service
		}
	}
	c.inst.observer.metrics.OutcomeUnknown(pool)
	c.inst.log.Warn("outcome_unknown", telemetry.Program(r.Call.Program), telemetry.Call(r.Call), telemetry.Epoch(r.Epoch), telemetry.Pool(pool))
}

// codedError is an error with a fixed code for the log.
type codedError struct{ code, text string }

func (e codedError) Error() string { return e.text }

// LogCode implements telemetry.LogCoder.
func (e codedError) LogCode() string { return e.code }

// supervisorReason returns the log code of a supervisor's event, whose own text may quote a panic.
func supervisorReason(e suture.Event) sched.Reason {
	switch e.Type() {
	case suture.EventTypeStopTimeout:
		return "stop_timeout"
	case suture.EventTypeServicePanic:
		return "service_panic"
	case suture.EventTypeServiceTerminate:
		return "service_terminated"
	case suture.EventTypeBackoff:
		return "backoff"
	default:
		return "resume"
	}
}

// httpErrorLog receives the error lines of the standard HTTP server. Their text can quote a request, so
// only their length is logged.
type httpErrorLog struct{ log telemetry.EventLog }

// Write implements io.Writer.
func (w httpErrorLog) Write(line []byte) (int, error) {
	w.log.Warn("http_server_error", telemetry.Bytes(len(line)))
	return len(line), nil
}
