package sched

import (
	"fmt"
	"testing"
	"time"

	"ragwortstile/internal/id"
)

// BenchmarkDecision measures a Done and the Submit that follows it in a saturated pool.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{9, 90, 740} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			cfg := config(n)
			cfg.QueueLimit = 0
			h := New(cfg)
			now := time.Hour
			var out []Action
			var running []Grant
			step := func(ev Event) {
				out = h.Step(now, ev, out[:0])
				for _, a := range out {
					if g, ok := a.(Grant); ok {
						running = append(running, g)
					}
				}
			}
			step(Tick{})
			now += 2 * time.Second
			submit := func(i int) {
				r := request(i%5000, "a", "t")
				r.ID = id.Attempt(fmt.Sprintf("c%d", i))
				step(Submit{r})
			}
			for i := range 5 * n {
				submit(i)
			}
			b.ReportAllocs()
			i := 5 * n
			for b.Loop() {
				g := running[0]
				running = running[1:]
				now += time.Millisecond
				step(Done{ID: g.Request.ID, Endpoint: g.Endpoint, Result: ResultOK, PromptTokens: 1000, CachedTokens: 500,
					OutputTokens: 100, FirstToken: 100 * time.Millisecond, Total: time.Second})
				submit(i)
				i++
			}
		})
	}
}
