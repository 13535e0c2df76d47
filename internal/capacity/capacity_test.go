package capacity

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a fit that reports a slope other than that of its points.
func TestFit(t *testing.T) {
	perX, intercept, r2 := fit([]Point{{1, 5}, {2, 8}, {4, 14}})
	must.InDelta(t, 3, perX, 1e-9)
	must.InDelta(t, 2, intercept, 1e-9)
	must.InDelta(t, 1, r2, 1e-9)
	_, _, r2 = fit([]Point{{1, 1}, {2, 9}, {3, 1}, {4, 9}})
	must.Less(t, 0.5, r2)
}

// Guards against probes that drive nothing: each gives a positive cost at its smallest load.
func TestProbesMeasureSomething(t *testing.T) {
	for _, p := range probes() {
		must.Positive(t, p.run(p.loads[len(p.loads)-1]/8+8), must.Sprint(p.name))
	}
}
