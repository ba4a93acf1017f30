// Package chart plots the results of trials.
package chart

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/cowslipstage/cowslipstage/bench/table"
	"github.com/cowslipstage/cowslipstage/bench/trial"
)

// Charts plots a set of results into PNG files.
type Charts struct {
	dir     string
	results []*trial.Result
}

// New returns charts of the results. Draw writes them to the folder dir.
func New(dir string, results []*trial.Result) *Charts { return &Charts{dir: dir, results: results} }

// Draw writes all files and returns their paths, sorted.
func (c *Charts) Draw() ([]string, error) {
	if err := os.MkdirAll(c.dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "chart: folder")
	}
	var files []string
	for _, load := range c.loads() {
		for kind, draw := range map[string]func(float64) (*plot.Plot, error){"latency": c.plotLatency, "cache": c.plotCache} {
			p, err := draw(load)
			if err != nil {
				return nil, err
			}
			file, err := c.save(p, fmt.Sprintf("%s-%.2f.png", kind, load))
			if err != nil {
				return nil, err
			}
			files = append(files, file)
		}
	}
	p, err := c.plotLoad()
	if err != nil {
		return nil, err
	}
	file, err := c.save(p, "load.png")
	files = append(files, file)
	sort.Strings(files)
	return files, err
}

const (
	chartWidth  = 16 * vg.Centimeter
	chartHeight = 10 * vg.Centimeter
)

func (c *Charts) save(p *plot.Plot, name string) (string, error) {
	file := filepath.Join(c.dir, name)
	return file, errors.Wrapf(p.Save(chartWidth, chartHeight, file), "chart: %s", name)
}

func (c *Charts) loads() []float64 {
	var loads []float64
	seen := map[float64]bool{}
	for _, r := range c.results {
		if !seen[r.Load] {
			seen[r.Load] = true
			loads = append(loads, r.Load)
		}
	}
	sort.Float64s(loads)
	return loads
}

func (c *Charts) policies() []string {
	var names []string
	seen := map[string]bool{}
	for _, r := range c.results {
		if !seen[r.Policy] {
			seen[r.Policy] = true
			names = append(names, r.Policy)
		}
	}
	return names
}

// firstResult returns a policy's first result at a load, or nil if there is none.
func (c *Charts) firstResult(policy string, load float64) *trial.Result {
	for _, r := range c.results {
		if r.Policy == policy && r.Load == load {
			return r
		}
	}
	return nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	return p
}

// plotLatency plots the share of messages answered within each latency.
func (c *Charts) plotLatency(load float64) (*plot.Plot, error) {
	p := newPlot(fmt.Sprintf("Answers at load %.2f", load), "latency, ms", "share of messages")
	p.Legend.Top, p.Legend.Left = false, false
	var lines []any
	for _, name := range c.policies() {
		r := c.firstResult(name, load)
		if r == nil {
			continue
		}
		points := make(plotter.XYs, len(r.CDF))
		for i, ms := range r.CDF {
			points[i].X, points[i].Y = ms, float64(i)/float64(len(r.CDF)-1)
		}
		lines = append(lines, name, points)
	}
	return p, errors.Wrap(plotutil.AddLines(p, lines...), "chart: latency")
}

// plotCache plots the cache memory held for live and for ended programs over time.
func (c *Charts) plotCache(load float64) (*plot.Plot, error) {
	p := newPlot(fmt.Sprintf("Cache at load %.2f", load), "time, s", "tokens held")
	var lines []any
	for _, name := range c.policies() {
		r := c.firstResult(name, load)
		if r == nil {
			continue
		}
		live, wasted := make(plotter.XYs, len(r.Samples)), make(plotter.XYs, len(r.Samples))
		for i, s := range r.Samples {
			live[i].X, live[i].Y = s.Seconds, float64(s.Live)
			wasted[i].X, wasted[i].Y = s.Seconds, float64(s.Wasted)
		}
		if len(r.Samples) > 0 {
			lines = append(lines, name+", live", live, name+", ended", wasted)
		}
	}
	return p, errors.Wrap(plotutil.AddLines(p, lines...), "chart: cache")
}

// plotLoad plots the median of the seeds' p95 latencies against load.
func (c *Charts) plotLoad() (*plot.Plot, error) {
	p := newPlot("Latency against load", "load over capacity", "latency p95, ms")
	var lines []any
	for _, name := range c.policies() {
		var points plotter.XYs
		for _, load := range c.loads() {
			var values []float64
			for _, r := range c.results {
				if r.Policy == name && r.Load == load {
					values = append(values, r.Latency.P95)
				}
			}
			if len(values) > 0 {
				sort.Float64s(values)
				points = append(points, plotter.XY{X: load, Y: table.Median(values)})
			}
		}
		lines = append(lines, name, points)
	}
	return p, errors.Wrap(plotutil.AddLinePoints(p, lines...), "chart: load")
}
