package order

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"ragwortstile/internal/manifest"
)

// Guards against two orders in progress at one engine, an order without an intent, a fence used twice,
// fetches above the rate limit of the weight store, and engines that end in a wrong state. Controllers
// take over from each other, are paused before they carry out an action, and lose answers.
//
// A late write, after a pause between the check of NotAfter and the write, is exempt from the rules
// about two orders in progress and about the rate of fetches, because only a fence can refuse it. The
// final state must be right even then.
func TestControllersTakeOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "engines"))
		s.replyLoss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "lost answers")
		s.maxDelay = rapid.SampledFrom([]time.Duration{0, 300, 3500}).Draw(t, "delay ms") * time.Millisecond
		s.appendClaim(0)
		late := rapid.Bool().Draw(t, "late writes")
		for range rapid.IntRange(0, 8).Draw(t, "faults") {
			run(s, rapid.IntRange(1, 400).Draw(t, "steps"))
			switch rapid.SampledFrom([]string{"pause", "take", "pause and take", "want"}).Draw(t, "fault") {
			case "pause":
				s.pause(rapid.IntRange(0, 1).Draw(t, "who"), rapid.IntRange(1, 300).Draw(t, "for"), late)
			case "take":
				s.takeOver(rapid.IntRange(0, 1).Draw(t, "who"))
			case "pause and take":
				who := rapid.IntRange(0, 1).Draw(t, "who")
				s.pause(who, rapid.IntRange(100, 600).Draw(t, "for"), late)
				run(s, 70)
				s.takeOver(1 - who)
			case "want":
				s.setDesired(fmt.Sprintf("v%d", rapid.IntRange(1, 3).Draw(t, "version")))
			}
		}
		s.replyLoss = 0
		s.setDesired("final")
		for steps := 0; steps < 6000 && !s.converged("final"); steps++ {
			s.step()
		}
		run(s, 300)
		if s.failure != nil {
			t.Fatal(s.failure)
		}
		if !s.converged("final") {
			t.Fatalf("engines did not reach the desired state: %+v", s.engines)
		}
	})
}

func run(s *sim, steps int) {
	for range steps {
		s.step()
	}
}

func (s *sim) pause(who, steps int, late bool) {
	s.instances[who].pausedUntil = s.now + time.Duration(steps)*simStep
	s.instances[who].late = late
}

// takeOver lets an instance that is not paused claim slot 0: after the lease of a paused holder has
// lapsed, as package membership ensures, or by a hand-over from a holder that is not paused.
func (s *sim) takeOver(who int) {
	other, in := s.instances[1-who], s.instances[who]
	if in.pausedUntil > s.now || s.holder().Holder == in.session {
		return
	}
	if other.pausedUntil > s.now && s.now < other.lease.Until+3*time.Second {
		return
	}
	s.appendClaim(who)
}

// Guards against a late order by a paused controller that an engine accepts although it checks fences,
// or whose effect remains uncorrected on an engine that ignores them.
func TestLateOrderOfPausedController(t *testing.T) {
	for _, ignores := range []bool{false, true} {
		s := newSim(5, 1)
		e := s.engines["e0"]
		e.ignores = ignores
		s.setDesired("v1")
		s.appendClaim(0)
		runUntil(t, s, "v1")
		s.pause(0, 6000, false)
		run(s, 70)
		s.appendClaim(1)
		s.setDesired("v2")
		runUntil(t, s, "v2")
		before := len(e.orders)
		late := SendOrder{Order: Order{Endpoint: "e0", Kind: Load, Model: "m", Version: "v1"}, Fence: Fence{Epoch: 1, Serial: 99}}
		must.NoError(t, s.failure)
		s.sendOrder(0, late, true)
		s.failure = nil // reset, because the late order of this test has no intent
		run(s, int(orderTimeout/simStep))
		if ignores {
			must.Len(t, before+1, e.orders)
			must.False(t, s.converged("v2"))
		} else {
			must.Len(t, before, e.orders)
			must.True(t, s.converged("v2"))
		}
		runUntil(t, s, "v2")
		must.NoError(t, s.failure)
	}
}

func runUntil(t *testing.T, s *sim, version string) {
	t.Helper()
	for steps := 0; steps < 1500 && !s.converged(version); steps++ {
		s.step()
	}
	must.True(t, s.converged(version))
}

// Guards against an order to an engine that ignores fences while the previous controller's last order
// can still take effect, and against a needless wait for engines that check fences.
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

// Guards against orders without a lease, with an invalid intent, to a leaving engine, or by a session
// that is no longer the controller.
func TestNoOrderWithoutLeaseOrIntent(t *testing.T) {
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

// Guards against fencing tokens that do not increase with a new epoch.
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
