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
	// shareWindow is the time over which owed and given shares are taken.
	shareWindow = 30 * time.Second
	// accountInterval is the time between reads of the dispatchers' accounts.
	accountInterval = 5 * time.Second
	// reclassifyInterval is the time between choices of the teams with histograms of their own.
	reclassifyInterval = 10 * time.Minute
)

// observer turns what the loop does into metrics. Apart from its metrics and loopTime, the loop owns
// its state.
type observer struct {
	inst     *Instance
	metrics  *telemetry.Metrics
	loopTime atomic.Int64 // ns that the loop was busy

	calls    map[id.Call]time.Duration  // first submission of the calls under way
	attempts map[id.Attempt]watched     // attempts that were granted
	programs map[id.Program]programTime // programs owned here

	accountsAt, sharesAt, classesAt time.Duration
	cpu                             map[string]time.Duration // counted so far, by role
	pools                           map[string]*poolAccount
}

// watched is a granted attempt.
type watched struct {
	call      id.Call
	team      string
	submitted time.Duration
	granted   time.Duration
	streamed  bool // bytes came before the end; otherwise its token times are not known
}

// programTime is the time from the first call of a program to its latest answer. A program that was
// taken over counts from its opening.
type programTime struct {
	team        string
	first, last time.Duration
}

func newObserver(i *Instance) *observer {
	o := &observer{
		inst:     i,
		metrics:  telemetry.NewMetrics(),
		calls:    map[id.Call]time.Duration{},
		attempts: map[id.Attempt]watched{},
		programs: map[id.Program]programTime{},
		cpu:      map[string]time.Duration{},
		pools:    map[string]*poolAccount{},
	}
	o.metrics.SetConfigSource(func() telemetry.Config {
		s := i.status()
		return telemetry.Config{Version: s.ManifestVersion, Age: s.ManifestAge}
	})
	o.metrics.SetPeerTrafficSource(func() telemetry.PeerTraffic {
		b := i.node.ByteCounts()
		return telemetry.PeerTraffic{ControlIn: b.ControlIn, ControlOut: b.ControlOut, Payload: b.PayloadIn + b.PayloadOut}
	})
	return o
}

func (o *observer) write(w io.Writer) { o.metrics.WritePrometheus(w) }

// manifest takes the names that may have series.
func (o *observer) manifest(m *manifest.Manifest) {
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

// submitted notes an attempt on its way to the dispatcher.
func (o *observer) submitted(pool string, r sched.Request) {
	if r.Retry > 0 {
		o.metrics.Retried(pool)
	}
	call := callOf(r)
	if _, known := o.calls[call]; !known {
		o.calls[call] = o.inst.now()
	}
	if _, known := o.programs[r.Program]; !known {
		now := o.inst.now()
		o.programs[r.Program] = programTime{team: r.Team, first: now - o.earlier(r), last: now}
	}
}

// earlier is how long a program has run that had calls before this instance owned it.
func (o *observer) earlier(r sched.Request) time.Duration {
	if r.Calls == 0 {
		return 0
	}
	return r.ProgramAge
}

// callOf returns the call of a request, without its sequence number, which the request lacks: a
// branch has one call under way.
func callOf(r sched.Request) id.Call { return id.Call{Program: r.Program, Branch: r.Branch} }

func branchOf(c id.Call) id.Call { return id.Call{Program: c.Program, Branch: c.Branch} }

// granted notes the decision of the dispatcher.
func (o *observer) granted(g sched.Grant) {
	o.metrics.ForTeam(g.Request.Team).QueueWait(g.Waited)
	call := callOf(g.Request)
	o.attempts[g.Request.ID] = watched{call: call, team: g.Request.Team, submitted: o.calls[call], granted: o.inst.now()}
}

// event notes the end of an attempt, which brings its token times.
func (o *observer) event(ev program.Event) {
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

// decided follows calls and programs by the decisions of the owner.
func (o *observer) decided(d program.Decision) {
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

func (o *observer) callEnded(c id.Call) { delete(o.calls, branchOf(c)) }

// refusal counts a problem that ends a request. Refusals of a dispatcher are counted by its reason.
func (o *observer) refusal(p *program.Problem) {
	if p != nil && p.Type != program.ProblemRefused {
		o.metrics.Refused(p.Type)
	}
}

// observeEffect counts unknown outcomes once each, where they were written.
func (c *core) observeEffect(e fsm.Effect) {
	r, ok := e.Record.(record.Outcome)
	if !ok || e.Verdict != fsm.Valid || e.Writer != c.inst.session || r.Executed != record.ExecutedUnknown {
		return
	}
	pool := telemetry.OtherLabel
	if p := c.fold.Program(r.Call.Program); p != nil {
		if out := p.Outcomes[r.Key]; out != nil && out.Intent != nil {
			pool = out.Intent.Service
		}
	}
	c.inst.observer.metrics.OutcomeUnknown(pool)
	c.inst.log.Warn("outcome_unknown", telemetry.Program(r.Call.Program), telemetry.Call(r.Call), telemetry.Epoch(r.Epoch), telemetry.Pool(pool))
}

// codedError is an error with a code for the log.
type codedError struct{ code, text string }

func (e codedError) Error() string { return e.text }

// LogCode implements telemetry.LogCoder.
func (e codedError) LogCode() string { return e.code }

// supervisorReason is the code of a supervisor's event, whose text may quote a panic.
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

// httpErrors takes the lines of the standard HTTP server. Their texts can quote a request, so only
// their number is logged.
type httpErrors struct{ log telemetry.EventLog }

// Write implements io.Writer.
func (w httpErrors) Write(line []byte) (int, error) {
	w.log.Warn("http_server_error", telemetry.Bytes(len(line)))
	return len(line), nil
}
