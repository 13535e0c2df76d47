package bench

import (
	"slices"
	"time"

	"ragwortstile/internal/sched"
)

// row is one line of the result: one policy on one trace. Programs that arrive in the first fifth of the
// run and those of a flood are not counted as programs; wasted and filled tokens, refusals and the
// decision time are those of the whole run.
type row struct {
	Scenario       string  `json:"scenario"`
	Deployment     string  `json:"deployment"`
	Policy         string  `json:"policy"`
	Seed           uint64  `json:"seed"`
	P50            float64 `json:"p50_s"` // latency of finished programs, from the arrival
	P95            float64 `json:"p95_s"`
	P99            float64 `json:"p99_s"`
	P95All         float64 `json:"p95_all_s"` // a program that did not finish counts with the time to its end
	WastedTokens   int64   `json:"wasted_tokens"`
	FilledTokens   int64   `json:"filled_tokens"`
	Goodput        float64 `json:"goodput_tokens_per_s"`
	Offered        int     `json:"offered"`
	Finished       int     `json:"finished"`
	Refused        int     `json:"refused"`  // no call was granted
	GivenUp        int     `json:"given_up"` // a call was granted and the program did not finish
	Refusals       int     `json:"refusals"` // refusal messages, with those of retries
	DeadlineMissed int     `json:"deadline_missed"`
	OwedShareKept  float64 `json:"owed_share_kept"`
	PromisesBroken int     `json:"promises_broken"`
	DecisionMicros float64 `json:"decision_us"`
}

// maxDrain is the longest time that a run goes on after the end of the arrivals.
const maxDrain = 30 * time.Minute

// runTrace plays a trace with a policy.
func runTrace(d deployment, sc scenario, policy string, opt sched.Options, seed uint64, trace []*programSpec) row {
	s := newSim(d, sc, policy, opt, seed)
	s.run(trace, d.length+maxDrain)
	return s.row(seed)
}

// row computes the figures of the run.
func (s *sim) row(seed uint64) row {
	r := row{Scenario: s.scenario.name, Deployment: s.deploy.name, Policy: s.policy, Seed: seed}
	var finished, all []float64
	for _, p := range s.programs {
		if p.spec.arrival < s.meter.from || p.spec.flood {
			continue
		}
		r.Offered++
		t := (p.endedAt - p.spec.arrival).Seconds()
		if p.open() {
			t = (s.now - p.spec.arrival).Seconds()
		}
		all = append(all, t)
		switch p.state {
		case stateFinished:
			finished = append(finished, t)
		case stateRefused, stateWaiting:
			r.Refused++
		default:
			r.GivenUp++
		}
		if p.spec.deadline > 0 && (p.state != stateFinished || p.endedAt > p.spec.arrival+p.spec.deadline) {
			r.DeadlineMissed++
		}
	}
	r.Finished = len(finished)
	r.P50, r.P95, r.P99 = quantile(finished, 0.5), quantile(finished, 0.95), quantile(finished, 0.99)
	r.P95All = quantile(all, 0.95)
	for _, e := range s.engines {
		r.FilledTokens += e.filled
		for en := e.oldest; en != nil; en = en.next {
			s.countWaste(e, en)
		}
	}
	for _, e := range s.engines {
		r.WastedTokens += e.wasted
	}
	r.Goodput = s.meter.finishedTokens / (s.meter.to - s.meter.from).Seconds()
	r.Refusals = s.meter.refusals
	from := s.meter.from
	if s.scenario.name == "withdrawal" {
		from = faultTime(s.deploy) + 10*time.Second
	}
	r.OwedShareKept = s.meter.owedShareKept(from)
	r.PromisesBroken = s.violations.total()
	r.DecisionMicros = float64(s.modelPool.stepTime.Microseconds()) / float64(max(s.modelPool.steps, 1))
	return r
}

// quantile sorts v and returns its smallest value that at least a fraction q of the values do not exceed.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	i := int(q*float64(len(v))+0.9999999) - 1
	return v[min(max(i, 0), len(v)-1)]
}

// measureCapacity returns load 1.0 of a deployment: the output tokens per second of its engines when they
// are at their in-flight limits all the time and no prefix is ever evicted.
func measureCapacity(d deployment) float64 {
	const measured, warmUp = 300 * time.Second, 60 * time.Second
	unlimited := d
	unlimited.engines = slices.Clone(d.engines)
	for i := range unlimited.engines {
		unlimited.engines[i].cacheTokens = 1 << 50
	}
	unlimited.patience = time.Hour
	unlimited.queueLimit = 0
	unlimited.length = warmUp + measured
	g := newGenerator(unlimited, 1)
	parts, mean := g.programMix()
	// Programs pause between calls, so twice the output rate of full engines is offered to keep them full.
	rate := 0.0
	for _, e := range d.engines {
		n := float64(e.limit)
		rate += 2 * n / (e.tokenBase + e.tokenSlope*n)
	}
	var trace []*programSpec
	for t := 0.0; t < unlimited.length.Seconds(); t += mean / rate {
		trace = append(trace, g.drawProgram(g.drawDuty(parts), seconds(t)))
	}
	s := newSim(unlimited, scenario{name: "capacity", reportDelay: normalReportDelay, faults: noFaults}, policySticky, sched.Options{}, 1)
	begin := int64(0)
	s.at(warmUp, func() { begin = s.output() })
	s.run(trace, unlimited.length)
	return float64(s.output()-begin) / measured.Seconds()
}

// output returns the number of output tokens that all engines have generated.
func (s *sim) output() int64 {
	n := int64(0)
	for _, e := range s.engines {
		n += e.outputDone
	}
	return n
}
