package evenload

import (
	"errors"
	"fmt"
	"time"
)

// MixedScales are the time scales of a service whose endpoints differ in speed.
var MixedScales = []float64{0.7, 0.7, 1.7}

// endpointsByInstances are endpoints of one service: 35 as engines of 59 instances and 59 as endpoints of about 90 in
// the deployments of docs/design/requirements.md, and a few hundred for the largest fleet.
var endpointsByInstances = map[int]int{9: 12, 59: 35, 95: 59, 410: 200}

// Usual returns the scenario of the targets in docs/design/requirements.md: a load of 0.8 and reports 200 ms old. The
// time of a request is what 6,100 requests per second leave at 0.8 of the slots of 740 endpoints with 6 slots.
func Usual(instances int) Scenario {
	return Scenario{
		Instances: instances, Endpoints: endpointsByInstances[instances], Slots: 6, Scales: []float64{1}, MeanTime: 500 * time.Millisecond,
		Load: 0.8, Age: 200 * time.Millisecond, Warmup: 2 * time.Second, Measured: 20 * time.Second, Seed: 1,
	}
}

// Validate reports all that is wrong with a scenario.
func (s Scenario) Validate() error {
	var errs []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	require(s.Instances > 0 && s.Endpoints > 0 && s.Slots > 0, "instances, endpoints and slots must be positive")
	require(s.MeanTime > 0 && s.Measured > 0, "time and simulated time must be positive")
	require(s.Load > 0, "load: %v is not positive", s.Load)
	require(s.Age >= ReportInterval/2, "age: %v is less than half of the report interval", s.Age)
	for name, share := range map[string]float64{"lost": s.Lost, "one-way": s.OneWay, "slow": s.Slow} {
		require(share >= 0 && share < 1, "%s: %v is not a share below 1", name, share)
	}
	return errors.Join(errs...)
}
