package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"ragwortstile/internal/manifest"
)

// Guards against two orders at one engine at a time, an order without intent, a fence used twice,
// fetches above the weight store's rate, and engines that end in a wrong state: controllers take
// over from each other, are paused before they carry out an action, and lose answers. A late write,
// after a pause between the check of NotAfter and the write, is excepted from the first and third
// rule, because nothing but a fence can refuse it; the final state must be right all the same.
func TestControllersTakeOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "engines"))
		w.loseAnswr = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "lost answers")
		w.maxDelay = rapid.SampledFrom([]time.Duration{0, 300, 3500}).Draw(t, "delay ms") * time.Millisecond
		w.take(0)
		late := rapid.Bool().Draw(t, "late writes")
		for range rapid.IntRange(0, 8).Draw(t, "faults") {
			run(w, rapid.IntRange(1, 400).Draw(t, "steps"))
			switch rapid.SampledFrom([]string{"pause", "take", "pause and take", "want"}).Draw(t, "fault") {
			case "pause":
				w.pause(rapid.IntRange(0, 1).Draw(t, "who"), rapid.IntRange(1, 300).Draw(t, "for"), late)
			case "take":
				w.takeFromDead(rapid.IntRange(0, 1).Draw(t, "who"))
			case "pause and take":
				who := rapid.IntRange(0, 1).Draw(t, "who")
				w.pause(who, rapid.IntRange(100, 600).Draw(t, "for"), late)
				run(w, 70)
				w.takeFromDead(1 - who)
			case "want":
				w.want(fmt.Sprintf("v%d", rapid.IntRange(1, 3).Draw(t, "version")))
			}
		}
		w.loseAnswr = 0
		w.want("final")
		for steps := 0; steps < 6000 && !w.converged("final"); steps++ {
			w.step()
		}
		run(w, 300)
		if w.failure != nil {
			t.Fatal(w.failure)
		}
		if !w.converged("final") {
			t.Fatalf("engines did not reach the desired state: %+v", w.engines)
		}
	})
}

func run(w *world, steps int) {
	for range steps {
		w.step()
	}
}

func (w *world) pause(who, steps int, late bool) {
	w.shells[who].paused = w.now + time.Duration(steps)*worldStep
	w.shells[who].late = late
}

// takeFromDead lets a shell that runs claim slot 0 when the holder's lease has lapsed, as package
// membership ensures, or when it hands over.
func (w *world) takeFromDead(who int) {
	other, s := w.shells[1-who], w.shells[who]
	if s.paused > w.now || w.holder().Holder == s.session {
		return
	}
	if other.paused > w.now && w.now < other.lease.Until+3*time.Second {
		return
	}
	w.take(who)
}

// Guards against a late order of a paused controller that an engine with fences takes, or that stays
// uncorrected on an engine without them.
func TestLateOrderOfPausedController(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		w := newWorld(5, 1)
		e := w.engines["e0"]
		e.ignores = ignores
		w.want("v1")
		w.take(0)
		runUntil(t, w, "v1")
		w.pause(0, 6000, false)
		run(w, 70)
		w.take(1)
		w.want("v2")
		runUntil(t, w, "v2")
		before := len(e.orders)
		late := SendOrder{Order: Order{Endpoint: "e0", Kind: Load, Model: "m", Version: "v1"}, Fence: Fence{Epoch: 1, Serial: 99}}
		must.NoError(t, w.failure)
		w.sendOrder(0, late, true)
		w.failure = nil // the late order of this test has no intent
		run(w, int(orderTimeout/worldStep))
		if ignores {
			must.Len(t, before+1, e.orders)
			must.False(t, w.converged("v2"))
		} else {
			must.Len(t, before, e.orders)
			must.True(t, w.converged("v2"))
		}
		runUntil(t, w, "v2")
		must.NoError(t, w.failure)
	}
}

func runUntil(t *testing.T, w *world, version string) {
	t.Helper()
	for steps := 0; steps < 1500 && !w.converged(version); steps++ {
		w.step()
	}
	must.True(t, w.converged(version))
}

// Guards against an order to an engine without fences while the previous controller's last order
// can still take effect, and against a needless wait for engines with fences.
func TestNewControllerWaits(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		c := New("a.1")
		target := Target{Endpoint: "e", Desired: manifest.Engine{Model: "m", Version: "1", Role: manifest.RoleDecode}, IgnoresFence: ignores}
		c.Step(0, Configure{Targets: []Target{target}, Limits: manifest.Orders{FetchInterval: time.Second, Timeout: 30 * time.Second}})
		c.Step(0, Lease{Until: time.Hour})
		actions := c.Step(time.Minute, ActiveController{Holder: "a.1", Epoch: 3})
		read := actions[len(actions)-1].(ReadState)
		state := manifest.Engine{Model: "m", Version: "1", Role: manifest.RoleMixed}
		actions = c.Step(time.Minute, StateRead{Endpoint: "e", ReadID: read.ReadID, Known: true, State: state})
		if !ignores {
			must.Eq(t, 1, actions[0].(AppendIntent).Intent.Serial)
			continue
		}
		must.SliceEmpty(t, actions)
		for now := time.Minute; ; now += time.Second {
			appended := false
			for _, a := range c.Step(now, Tick{}) {
				switch a := a.(type) {
				case ReadState:
					c.Step(now, StateRead{Endpoint: "e", ReadID: a.ReadID, Known: true, State: state})
				case AppendIntent:
					appended = true
				}
			}
			if appended {
				must.Eq(t, time.Minute+33*time.Second, now)
				break
			}
		}
	}
}

// Guards against orders without lease, with an invalid intent, or to a leaving engine.
func TestNoOrderWithout(t *testing.T) {
	limits := manifest.Orders{FetchInterval: time.Second, Timeout: time.Second}
	desired := manifest.Engine{Model: "m", Version: "1", Role: manifest.RoleMixed}
	have := manifest.Engine{Model: "m", Version: "1", Role: manifest.RoleDecode}
	start := func(target Target, lease Lease) (*Controller, []Action) {
		c := New("a.1")
		c.Step(0, Configure{Targets: []Target{target}, Limits: limits})
		c.Step(0, lease)
		c.Step(0, ActiveController{Holder: "a.1", Epoch: 1})
		return c, c.Step(time.Second, StateRead{Endpoint: "e", ReadID: 1, Known: true, State: have})
	}
	held := Lease{Until: time.Hour}
	_, actions := start(Target{Endpoint: "e", Desired: desired, Leaving: true}, held)
	must.SliceEmpty(t, actions)
	_, actions = start(Target{Endpoint: "e", Desired: desired}, Lease{Until: time.Millisecond})
	must.SliceEmpty(t, actions)
	c, actions := start(Target{Endpoint: "e", Desired: desired}, held)
	must.Len(t, 1, actions)
	fence := Fence{Epoch: 1, Serial: 1}
	for _, a := range c.Step(time.Second, IntentApplied{Endpoint: "e", Fence: fence, Valid: false}) {
		_, sends := a.(SendOrder)
		must.False(t, sends)
	}
	c, _ = start(Target{Endpoint: "e", Desired: desired}, held)
	c.Step(time.Second, ActiveController{Holder: "b.1", Epoch: 2})
	must.SliceEmpty(t, c.Step(time.Second, IntentApplied{Endpoint: "e", Fence: fence, Valid: true}))
	must.False(t, c.Active())
}

// Guards against fencing numbers that do not rise with a new epoch.
func TestFenceOrder(t *testing.T) {
	var g FenceChecker
	fences := []Fence{{1, 1}, {1, 2}, {2, 1}, {2, 1 << 31}, {3, 1}}
	for i, f := range fences {
		must.NoError(t, g.Accept(f))
		must.ErrorIs(t, g.Accept(f), ErrStaleFence)
		if i > 0 {
			must.True(t, fences[i-1].Less(f))
			must.Less(t, f.Number(), fences[i-1].Number())
			must.ErrorIs(t, g.Accept(fences[i-1]), ErrStaleFence)
		}
	}
}
