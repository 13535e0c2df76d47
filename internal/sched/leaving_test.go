package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ragwortstile/internal/id"
)

// A leaving endpoint must get no grant: not for new calls, for calls that were waiting, for a call that avoids
// all other endpoints, or for one whose prefix it has cached.
func TestLeavingEndpointIsNotGranted(t *testing.T) {
	cfg := Config{
		Pool: "m", Model: true, QueueLimit: 100, WeightLatency: 1, WeightCache: 1,
		Duties: []Duty{{Name: "d", Share: 1}},
		Endpoints: []Endpoint{
			{Name: "e1", MaxInFlight: 2, CacheTokens: 1 << 20},
			{Name: "e2", MaxInFlight: 2, CacheTokens: 1 << 20},
		},
	}
	s := New(cfg)
	now := 10 * time.Second
	granted := map[string]int{}
	step := func(ev Event) (out []Grant) {
		now += 10 * time.Millisecond
		for _, a := range s.Step(now, ev, nil) {
			if g, ok := a.(Grant); ok {
				granted[g.Endpoint]++
				out = append(out, g)
			}
		}
		return out
	}
	submit := func(n int, avoid ...string) []Grant {
		p := id.NewProgram(1, fmt.Sprint(n))
		return step(Submit{Request: Request{
			ID: id.NewAttempt(id.Call{Program: p, Branch: id.MainBranch, Seq: 1}, 1, 1), Owner: "a.1", Program: p,
			Branch: id.MainBranch, Team: "t", Duty: "d", PromptTokens: 100, MaxTokens: 10, LastEndpoint: "e1",
			SharedTokens: 90, Calls: 1, Idempotent: true, Avoid: avoid,
		}})
	}
	step(Tick{})
	now += 2 * halfLimitPeriod
	var running []Grant
	for n := range 6 {
		running = append(running, submit(n)...)
	}
	must.Len(t, 4, running) // both endpoints are at their limit, two calls wait
	cfg.Endpoints[0].Leaving = true
	step(Configure{Config: cfg})
	clear(granted)
	for _, g := range running {
		step(Done{ID: g.Request.ID, Endpoint: g.Endpoint, Result: ResultOK, PromptTokens: 100, OutputTokens: 5, Total: time.Second})
	}
	must.MapEq(t, map[string]int{"e2": 2}, granted)
	submit(10, "e2")
	submit(11)
	for range 50 {
		now += time.Second
		step(Tick{})
	}
	must.Eq(t, 0, granted["e1"])
	cfg.Endpoints[0].Leaving = false
	step(Configure{Config: cfg})
	must.Positive(t, granted["e1"]) // e1 gets calls once it is no longer leaving, so the check above was not vacuous
}
