package evenload

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// short returns a scenario that is quick to play.
func short(instances int) Scenario {
	s := Usual(instances)
	s.Measured = 5 * time.Second
	return s
}

func TestRunsRepeat(t *testing.T) {
	must.Eq(t, Run(short(9), Gateway), Run(short(9), Gateway))
}

// One instance with exact counts does not overload an endpoint while another one has a free slot: what the simulation
// measures is due to outdated information.
func TestExactInformation(t *testing.T) {
	s := short(59)
	s.Instances = 1
	r := Run(s, Policies["least_loaded"])
	must.Eq(t, 0, r.Overload)
	must.Greater(t, 1000, r.Requests)
}

// The load of a scenario is the share of the capacity that is asked for: far above it, queues grow.
func TestLoadIsAShareOfTheCapacity(t *testing.T) {
	s := short(9)
	s.Load = 0.5
	low := Run(s, Policies["weighted"])
	s.Load = 1.2
	high := Run(s, Policies["weighted"])
	must.Less(t, 100*time.Millisecond, low.MeanWait)
	must.Greater(t, 500*time.Millisecond, high.MeanWait)
}

func TestAgeOfReports(t *testing.T) {
	s := short(9)
	for _, age := range []time.Duration{100 * time.Millisecond, 800 * time.Millisecond} {
		s.Age = age
		r := Run(s, Policies["two_choices"])
		must.InDelta(t, age.Seconds(), r.AgeP50.Seconds(), 0.02)
	}
	s.Lost = 0.5
	must.Greater(t, 900*time.Millisecond, Run(s, Policies["two_choices"]).AgeP99)
}

func TestBadScenario(t *testing.T) {
	s := Usual(59)
	must.NoError(t, s.Validate())
	s.Load, s.Age, s.Lost = 0, 0, 1
	err := s.Validate()
	for _, part := range []string{"load", "age", "lost"} {
		must.ErrorContains(t, err, part)
	}
}
