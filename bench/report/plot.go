package report

import (
	"bytes"
	"cmp"
	"image/color"
	"slices"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	// The import registers the SVG format.
	_ "gonum.org/v1/plot/vg/vgsvg"

	"github.com/cowslipstage/cowslipstage/state/burn"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 3.5 * vg.Inch
	// maxBars bounds the number of bar pairs or lines in a plot.
	maxBars = 12
)

func draw(p *plot.Plot) ([]byte, error) {
	out, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return nil, errors.Wrap(err, "report: plot")
	}
	var b bytes.Buffer
	if _, err := out.WriteTo(&b); err != nil {
		return nil, errors.Wrap(err, "report: plot")
	}
	return b.Bytes(), nil
}

// ratePlot plots the burn over one hour and over three days of the report lines with
// the highest burn over one hour.
func ratePlot(r burn.Report) ([]byte, error) {
	lines := slices.Clone(r.Lines)
	slices.SortStableFunc(lines, func(a, b burn.Line) int { return cmp.Compare(b.Windows[1].Burn, a.Windows[1].Burn) })
	lines = lines[:min(len(lines), maxBars)]
	p := plot.New()
	p.Title.Text = "Burn (1 uses the budget up exactly)"
	p.Legend.Top = true
	names := make([]string, len(lines))
	hour, days := make(plotter.Values, len(lines)), make(plotter.Values, len(lines))
	for i, l := range lines {
		names[i], hour[i], days[i] = l.Service+"\n"+l.Customer, l.Windows[1].Burn, l.Windows[3].Burn
	}
	if len(lines) == 0 {
		return draw(p)
	}
	width := vg.Points(12)
	for i, v := range []plotter.Values{hour, days} {
		bars, err := plotter.NewBarChart(v, width)
		if err != nil {
			return nil, errors.Wrap(err, "report: plot")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Length(2*i-1) * width / 2
		p.Add(bars)
		p.Legend.Add([]string{"1 hour", "3 days"}[i], bars)
	}
	unitBurn := plotter.NewFunction(func(float64) float64 { return 1 })
	unitBurn.Color = color.Gray{Y: 128}
	p.Add(unitBurn)
	p.NominalX(names...)
	p.Y.Min = 0
	return draw(p)
}

// latencyPlot plots the latency distribution of each service's calls.
func latencyPlot(r burn.Report) ([]byte, error) {
	p := plot.New()
	p.Title.Text = "Latency since the nodes' start"
	p.X.Label.Text, p.Y.Label.Text = "ms", "share of calls"
	p.Y.Min, p.Y.Max = 0, 1
	for i, l := range r.Latencies[:min(len(r.Latencies), maxBars)] {
		h, err := l.Distribution()
		if err != nil {
			return nil, err
		}
		var points plotter.XYs
		for _, b := range h.CumulativeDistribution() {
			points = append(points, plotter.XY{X: float64(b.ValueAt), Y: b.Quantile / 100})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, errors.Wrap(err, "report: plot")
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(l.Service, line)
	}
	return draw(p)
}
