// Package capacity measures how the cost of the parts of an instance, in time, memory or bytes, grows
// with their load, so that the cost at a target scale can be extrapolated.
//
// A probe runs the production code on the local machine at several loads, several times. A Slope is the
// least-squares line through the points of a probe, with the spread of the slope over the repeats.
package capacity

import (
	"math"
	"slices"
)

// Point is one measurement of a probe: the cost Y at the load X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is the fitted line of a probe.
type Slope struct {
	Name      string  `json:"name"`
	XUnit     string  `json:"x_unit"`
	YUnit     string  `json:"y_unit"`
	Points    []Point `json:"points"`
	PerX      float64 `json:"per_x"`     // median of the slopes of the repeats, YUnit per XUnit
	Intercept float64 `json:"intercept"` // of the fit over all points, YUnit
	R2        float64 `json:"r2"`        // of the fit over all points
	Low       float64 `json:"low"`       // smallest slope of a repeat
	High      float64 `json:"high"`      // largest slope of a repeat
}

// At returns the cost at load x by Intercept and PerX, or 0 if that is negative.
func (s Slope) At(x float64) float64 { return max(0, s.Intercept+s.PerX*x) }

// fit returns the least-squares line through the points and its coefficient of determination.
func fit(points []Point) (perX, intercept, r2 float64) {
	n := float64(len(points))
	var sx, sy, sxx, sxy, syy float64
	for _, p := range points {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
		syy += p.Y * p.Y
	}
	dx := n*sxx - sx*sx
	if dx == 0 {
		return 0, sy / max(n, 1), 0
	}
	perX = (n*sxy - sx*sy) / dx
	intercept = (sy - perX*sx) / n
	dy := n*syy - sy*sy
	if dy == 0 {
		return perX, intercept, 1
	}
	r := (n*sxy - sx*sy) / math.Sqrt(dx*dy)
	return perX, intercept, r * r
}

// newSlope fits a line to each repeat of a probe and to all points together.
func newSlope(p probe, repeats [][]Point) Slope {
	s := Slope{Name: p.name, XUnit: p.xUnit, YUnit: p.yUnit}
	var slopes []float64
	for _, points := range repeats {
		perX, _, _ := fit(points)
		slopes = append(slopes, perX)
		s.Points = append(s.Points, points...)
	}
	slices.Sort(slopes)
	_, s.Intercept, s.R2 = fit(s.Points)
	s.PerX = slopes[len(slopes)/2]
	s.Low = slopes[0]
	s.High = slopes[len(slopes)-1]
	return s
}
