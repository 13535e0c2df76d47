package bench

import (
	"errors"
	"fmt"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// plotColors are the colors of the policies in the order of policyNames.
var plotColors = []color.Color{
	color.RGBA{0x1b, 0x6e, 0x4f, 255}, color.RGBA{0xd9, 0x8c, 0x21, 255}, color.RGBA{0x4a, 0x6f, 0xb5, 255},
	color.RGBA{0xa8, 0x4a, 0x6b, 255}, color.RGBA{0x80, 0x80, 0x80, 255},
}

// writePlot draws two charts per deployment, the p95 latency and the wasted cache tokens, into one SVG file.
// Each shows every policy in every scenario: the mean over the seeds, with their range as error bars, on
// a logarithmic axis.
func writePlot(path string, rows []row) error {
	if len(rows) == 0 {
		return errors.New("no rows to plot")
	}
	figures := []struct {
		title string
		value func(row) float64
	}{
		{"p95 program latency, s (finished programs)", func(r row) float64 { return r.P95 }},
		{"wasted cache, thousand tokens", func(r row) float64 { return float64(r.WastedTokens) / 1000 }},
	}
	all := groups(rows)
	var names []string
	for _, g := range all {
		if len(names) == 0 || names[len(names)-1] != g.deployment {
			names = append(names, g.deployment)
		}
	}
	width, height := 14*vg.Inch, vg.Length(len(names))*4*vg.Inch
	canvas := vgsvg.New(width, height)
	tiles := draw.Tiles{Rows: len(names), Cols: len(figures), PadX: vg.Millimeter * 4, PadY: vg.Millimeter * 4}
	dc := draw.New(canvas)
	for y, name := range names {
		for x, f := range figures {
			p, err := newChart(fmt.Sprintf("%s: %s", name, f.title), name, all, f.value)
			if err != nil {
				return err
			}
			p.Draw(tiles.At(dc, x, y))
		}
	}
	return saveSVG(path, canvas)
}

// newChart draws one figure of one deployment. Values below 0.1 are drawn as 0.1 because a logarithmic axis
// has no zero. The policies of a scenario are drawn side by side.
func newChart(title, deployment string, all []*group, value func(row) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top = true
	var scenarioNames []string
	for _, sc := range scenarios() {
		for _, g := range all {
			if g.deployment == deployment && g.scenario == sc.name {
				scenarioNames = append(scenarioNames, sc.name)
				break
			}
		}
	}
	p.NominalX(scenarioNames...)
	for i, policy := range policyNames {
		var pts policyPoints
		for x, sc := range scenarioNames {
			for _, g := range all {
				if g.deployment != deployment || g.scenario != sc || g.policy != policy {
					continue
				}
				s := g.summarize(func(r row) float64 { return math.Max(value(r), 0.1) })
				pts.XYs = append(pts.XYs, plotter.XY{X: float64(x) + 0.12*float64(i-2), Y: s.mean})
				pts.YErrors = append(pts.YErrors, struct{ Low, High float64 }{s.mean - s.low, s.high - s.mean})
			}
		}
		if len(pts.XYs) == 0 {
			continue
		}
		if err := addPoints(p, policy, pts, plotColors[i]); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// policyPoints are the points of one policy with their error bars.
type policyPoints struct {
	plotter.XYs
	plotter.YErrors
}

func addPoints(p *plot.Plot, name string, pts policyPoints, c color.Color) error {
	dots, err := plotter.NewScatter(pts.XYs)
	if err != nil {
		return err
	}
	dots.GlyphStyle = draw.GlyphStyle{Color: c, Radius: vg.Points(3.5), Shape: draw.CircleGlyph{}}
	bars, err := plotter.NewYErrorBars(pts)
	if err != nil {
		return err
	}
	bars.Color = c
	p.Add(dots, bars)
	p.Legend.Add(name, dots)
	return nil
}
