package quota

import (
	"cmp"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var testBound = Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// Guards against requests over the bound, whatever fails: connections are cut in one or both directions, instances die,
// freeze and restart, the store refuses some of them, and the limit changes.
func TestBoundHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Custom(func(t *rapid.T) Limit {
			return Limit{PerSecond: rapid.Float64Range(1, 200).Draw(t, "rate"), Burst: rapid.SampledFrom([]float64{0, 0, 10, 100}).Draw(t, "burst")}
		})
		n := rapid.IntRange(2, 9).Draw(t, "instances")
		b := testBound
		b.Overage = rapid.SampledFrom([]float64{0.1, 0.1, 0.02, 0.3}).Draw(t, "overage")
		b.Slack = rapid.SampledFrom([]float64{20, 5, 0}).Draw(t, "slack")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), n, b, limit.Draw(t, "limit"))
		w.delay = rapid.SampledFrom([]time.Duration{2, 20, 100}).Draw(t, "delay") * time.Millisecond
		w.hold = rapid.SampledFrom([]time.Duration{1, 50, 3000}).Draw(t, "hold") * time.Millisecond
		loads := rapid.SampledFrom([]float64{0, 0.5, 1.5, 6})
		load := loads.Draw(t, "load")
		w.run(time.Second, load*w.limit.PerSecond/4)
		for range rapid.IntRange(1, 14).Draw(t, "events") {
			i := rapid.IntRange(0, n-1).Draw(t, "instance")
			if rapid.Bool().Draw(t, "the issuer") {
				i = w.holder
			}
			node := w.instances[i]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				w.kill(i)
			case 1:
				w.kill(i)
				w.start(i)
			case 2:
				node.frozen = w.now.Add(time.Duration(rapid.IntRange(50, 4000).Draw(t, "frozen")) * time.Millisecond)
			case 3, 4: // cut off from some or all
				side := rapid.IntRange(0, 1<<n-1).Draw(t, "side")
				both := rapid.Bool().Draw(t, "both")
				for j := range n {
					if side>>j&1 == 0 {
						node.links[j].cut = true
						w.instances[j].links[i].cut = w.instances[j].links[i].cut || both
					}
				}
			case 5: // in two parts
				side := rapid.IntRange(0, 1<<n-1).Draw(t, "side")
				for j, a := range w.instances {
					for k := range n {
						a.links[k].cut = side>>j&1 != side>>k&1
					}
					a.noStore = side>>j&1 == 0 && rapid.Bool().Draw(t, "no store")
				}
			case 6:
				node.noStore = !node.noStore
			case 7:
				w.setLimit(limit.Draw(t, "limit"))
			case 8: // all is well again
				for j, a := range w.instances {
					for k := range a.links {
						a.links[k].cut = false
					}
					a.noStore = false
					if !a.alive {
						w.start(j)
					}
				}
			case 9:
				load = loads.Draw(t, "load")
			}
			w.run(time.Duration(rapid.IntRange(50, 4000).Draw(t, "pause"))*time.Millisecond, load*w.limit.PerSecond/4)
		}
		if over, at := w.excess(); over > 0 {
			t.Fatalf("%.1f requests over the bound in the window from %v", over, at.Sub(w.limits[0].at))
		}
	})
}

// Guards against refusals of a team that stays below its limit, which is 1.6 x its load.
func TestNeedlessRefusals(t *testing.T) {
	for _, c := range []struct {
		name      string
		limit     Limit
		instances int
		programs  int // requests of each
		rounds    int // of 2 s; 0: 30
		event     func(w *world, n int)
		most      float64
	}{
		{name: "calm, large team", limit: Limit{PerSecond: 120}, instances: 20, programs: 11, most: 0.02},
		{name: "calm, small team", limit: Limit{PerSecond: 6}, instances: 20, programs: 4, most: 0.02},
		{name: "calm, smallest team", limit: Limit{PerSecond: 2, Burst: 4}, instances: 5, programs: 4, rounds: 300, most: 0.02},
		{name: "calm, single requests", limit: Limit{PerSecond: 30}, instances: 20, programs: 1, most: 0.02},
		{name: "an instance is killed every 2 s", limit: Limit{PerSecond: 120}, instances: 20, programs: 4, most: 0.1, event: func(w *world, n int) {
			w.kill(n % len(w.instances))
			if n > 0 {
				w.start((n - 1) % len(w.instances))
			}
		}},
		{name: "half of the instances are killed and restart", limit: Limit{PerSecond: 60}, instances: 20, programs: 4, most: 0.1, event: func(w *world, n int) {
			for i := range 11 {
				if n%5 == 2 {
					w.kill(i)
				} else if n%5 == 4 {
					w.start(i)
				}
			}
		}},
		{name: "all restart at once", limit: Limit{PerSecond: 60}, instances: 20, programs: 4, most: 0.1, event: func(w *world, n int) {
			for i := range w.instances {
				if n%5 == 2 {
					w.kill(i)
					w.start(i)
				}
			}
		}},
		{name: "the issuer is killed every 6 s", limit: Limit{PerSecond: 60}, instances: 20, programs: 4, most: 0.1, event: func(w *world, n int) {
			for i, node := range w.instances {
				if !node.alive {
					w.start(i)
				}
			}
			if n%3 == 2 {
				w.kill(w.holder)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(7, c.instances, testBound, c.limit)
			w.programs = c.programs
			for n := range cmp.Or(c.rounds, 30) {
				if c.event != nil {
					c.event(w, n)
				}
				w.run(2*time.Second, c.limit.PerSecond/1.6/float64(c.programs))
			}
			over, _ := w.excess()
			t.Logf("served %d, refused %v, unsure %d, over the limit %d: %.4f; %.0f below the bound", w.served, w.refused, w.unsure, w.over, w.refusedShare(), -over)
			must.LessEq(t, c.most, w.refusedShare())
			must.LessEq(t, 0, over)
		})
	}
}
