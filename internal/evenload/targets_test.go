package evenload

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Bounds of docs/design/requirements.md, part 4, item 4.
const (
	overloadBound = 1.0 / 3 // of the share of time with the least cost
	waitBound     = 0.5     // of the p99 of the wait with the least cost
	fleetBound    = 1.2     // 410 instances as a multiple of 59
)

// scenario returns the scenario of the targets. The largest fleet plays for a shorter time, since it takes long.
func scenario(t *testing.T, instances int) Scenario {
	t.Helper()
	s := Usual(instances)
	if instances > 100 {
		if testing.Short() {
			t.Skip("takes long")
		}
		s.Warmup, s.Measured = time.Second, 2*time.Second
	}
	return s
}

// Load pattern: 0.8 of what the endpoints can serve, reports 200 ms old, fleets of all sizes.
func TestTargets(t *testing.T) {
	for _, instances := range []int{9, 59, 95, 410} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			s := scenario(t, instances)
			before, got := Run(s, LeastCost), Run(s, Gateway)
			t.Logf("least cost: %+v", before)
			t.Logf("gateway: %+v", got)
			t.Run("overload", func(t *testing.T) { must.LessEq(t, overloadBound*before.Overload, got.Overload) })
			t.Run("wait", func(t *testing.T) {
				must.LessEq(t, waitBound*before.Wait.Seconds(), got.Wait.Seconds())
			})
		})
	}
}

// Load pattern: 0.95 of what the endpoints can serve. Neither figure is worse than with the least cost.
func TestNotWorseNearTheCapacity(t *testing.T) {
	for _, instances := range []int{9, 59, 95, 410} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			s := scenario(t, instances)
			s.Load = 0.95
			before, got := Run(s, LeastCost), Run(s, Gateway)
			must.LessEq(t, before.Overload, got.Overload)
			must.LessEq(t, before.Wait, got.Wait)
		})
	}
}

// Load pattern: the target load with the largest fleet, which must not be worse off than a usual one.
func TestLargestFleet(t *testing.T) {
	largest, usual := Run(scenario(t, 410), Gateway), Run(Usual(59), Gateway)
	must.LessEq(t, fleetBound*usual.Overload, largest.Overload)
	must.LessEq(t, fleetBound*usual.Wait.Seconds(), largest.Wait.Seconds())
}

// Load patterns: reports that are late, lost or received in one direction only, slow endpoints, endpoints of different
// speed, short requests, and a calm load. In none of them is an instance worse off than with the least cost.
func TestNotWorseInOtherConditions(t *testing.T) {
	for name, change := range map[string]func(*Scenario){
		"100ms":  func(s *Scenario) { s.Age = 100 * time.Millisecond },
		"800ms":  func(s *Scenario) { s.Age = 800 * time.Millisecond },
		"lost":   func(s *Scenario) { s.Lost = 0.5 },
		"oneway": func(s *Scenario) { s.OneWay = 0.3 },
		"slow":   func(s *Scenario) { s.Slow = 0.05 },
		"mixed":  func(s *Scenario) { s.Scales = MixedScales },
		"brief":  func(s *Scenario) { s.MeanTime = 130 * time.Millisecond },
		"calm":   func(s *Scenario) { s.Load = 0.3 },
	} {
		for _, instances := range []int{9, 59} {
			t.Run(fmt.Sprintf("%s_%d", name, instances), func(t *testing.T) {
				s := Usual(instances)
				change(&s)
				before, got := Run(s, LeastCost), Run(s, Gateway)
				must.LessEq(t, before.Overload, got.Overload)
				must.LessEq(t, before.Wait, got.Wait)
				must.LessEq(t, before.MeanTime.Seconds(), got.MeanTime.Seconds())
			})
		}
	}
}
