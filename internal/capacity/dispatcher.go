package capacity

import (
	"fmt"
	"time"

	"ragwortstile/internal/id"
	"ragwortstile/internal/sched"
)

func dispatcherProbes() []probe {
	return []probe{
		{
			name: "dispatcher: time of a decision by endpoints of the pool", xUnit: "endpoint", yUnit: "us",
			loads: []int{9, 20, 90, 740},
			run:   func(n int) float64 { return decisionMicros(n, 200) },
		},
		{
			name: "dispatcher: time of a decision by waiting calls", xUnit: "waiting call", yUnit: "us",
			loads: []int{100, 1000, 4000, 16000},
			run:   func(n int) float64 { return decisionMicros(20, n) },
		},
		{
			name: "dispatcher: memory of a waiting call", xUnit: "waiting call", yUnit: "B",
			loads: []int{1000, 4000, 16000},
			run: func(n int) float64 {
				return heapOf(func() any {
					s := newScheduler(20, n)
					submitCalls(s, n)
					return s
				})
			},
		},
	}
}

func newScheduler(endpoints, queue int) *sched.Scheduler {
	cfg := sched.Config{
		Pool: "model-01", Model: true, QueueLimit: 4 * queue, WeightLatency: 0.5, WeightCache: 0.5,
		Duties: []sched.Duty{{Name: "drafting", Share: 0.5}, {Name: "layout", Share: 0.3}},
	}
	for i := range endpoints {
		cfg.Endpoints = append(cfg.Endpoints, sched.Endpoint{
			Name: endpointName(i), Zone: fmt.Sprintf("zone-%d", i%4), MaxInFlight: 8, CacheTokens: 2_000_000,
		})
	}
	s := sched.New(cfg)
	s.Step(0, sched.Configure{Config: cfg}, nil)
	s.Step(2*time.Second, sched.Tick{}, nil)
	return s
}

func endpointName(i int) string { return fmt.Sprintf("engine-%03d", i) }

// submitCalls submits n calls, each of another program, spread over teams and duties. It returns the
// grants of those that the dispatcher dispatched.
func submitCalls(s *sched.Scheduler, n int) []sched.Grant {
	var grants []sched.Grant
	var out []sched.Action
	for i := range n {
		out = s.Step(3*time.Second, sched.Submit{Request: callRequest(i)}, out[:0])
		grants = append(grants, grantsOf(out)...)
	}
	return grants
}

func callRequest(n int) sched.Request {
	r := probeRequest()
	r.Program = programID(n)
	r.ID = id.NewAttempt(id.Call{Program: r.Program, Branch: id.MainBranch, Seq: 40}, 1, 1)
	r.Team = fmt.Sprintf("tenant-%d", n%64)
	r.LastEndpoint = endpointName(n % 9)
	if n%2 == 0 {
		r.Duty = "layout"
	}
	r.CallTimeLimit = 0
	return r
}

func grantsOf(actions []sched.Action) []sched.Grant {
	var grants []sched.Grant
	for _, a := range actions {
		if g, ok := a.(sched.Grant); ok {
			grants = append(grants, g)
		}
	}
	return grants
}

// decisionMicros returns the time, in microseconds, that the dispatcher needs to process the end of one
// call and the submission of the next, and to grant a waiting call. The queue keeps its length.
func decisionMicros(endpoints, waiting int) float64 {
	const rounds = 2000
	s := newScheduler(endpoints, waiting+endpoints*8)
	n := waiting + endpoints*8
	running := submitCalls(s, n)
	now := 4 * time.Second
	var out []sched.Action
	seconds := secondsOf(func() {
		for i := range rounds {
			now += time.Millisecond
			if len(running) == 0 {
				panic("the dispatcher granted nothing")
			}
			g := running[0]
			running = running[1:]
			out = s.Step(now, sched.Done{
				ID: g.Request.ID, Endpoint: g.Endpoint, Result: sched.ResultOK, PromptTokens: 120_000,
				CachedTokens: 119_000, OutputTokens: 100, FirstToken: 200 * time.Millisecond, Total: 2 * time.Second,
			}, out[:0])
			running = append(running, grantsOf(out)...)
			out = s.Step(now, sched.Submit{Request: callRequest(n + i)}, out[:0])
			running = append(running, grantsOf(out)...)
		}
	})
	return seconds * 1e6 / rounds
}
