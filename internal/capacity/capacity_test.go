package capacity

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a fit whose slope, intercept or coefficient of determination is not that of the points.
func TestFit(t *testing.T) {
	perX, intercept, r2 := fit([]Point{{1, 5}, {2, 8}, {4, 14}})
	must.InDelta(t, 3, perX, 1e-9)
	must.InDelta(t, 2, intercept, 1e-9)
	must.InDelta(t, 1, r2, 1e-9)
	_, _, r2 = fit([]Point{{1, 1}, {2, 9}, {3, 1}, {4, 9}})
	must.Less(t, 0.5, r2)
}

// Guards against probes that exercise no code: each must return a positive cost at a small load.
func TestProbesMeasureSomething(t *testing.T) {
	for _, p := range probes() {
		must.Positive(t, p.run(p.loads[len(p.loads)-1]/8+8), must.Sprint(p.name))
	}
}
