// Package table prints the results of trials side by side.
package table

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"

	"github.com/cowslipstage/cowslipstage/bench/audit"
	"github.com/cowslipstage/cowslipstage/bench/trial"
)

// Table groups results by load, number of nodes and policy.
type Table struct{ results []*trial.Result }

// New returns a table of these results.
func New(results []*trial.Result) *Table { return &Table{results: results} }

// row is one row of a table: its label, a function that reads its value from a
// result, and the value's print format.
type row struct {
	label  string
	value  func(r *trial.Result) float64
	format string
}

func rows() []row {
	return []row{
		{"latency p50, ms", func(r *trial.Result) float64 { return r.Latency.P50 }, "%.0f"},
		{"latency p95, ms", func(r *trial.Result) float64 { return r.Latency.P95 }, "%.0f"},
		{"latency p99, ms", func(r *trial.Result) float64 { return r.Latency.P99 }, "%.0f"},
		{"urgent p99, ms", func(r *trial.Result) float64 { return r.Urgent.P99 }, "%.0f"},
		{"first token p95, ms", func(r *trial.Result) float64 { return r.First.P95 }, "%.0f"},
		{"wasted, token-s", func(r *trial.Result) float64 { return r.Wasted }, "%.0f"},
		{"wasted, % of cache", func(r *trial.Result) float64 { return 100 * r.WastedShare }, "%.2f"},
		{"live, % of cache", func(r *trial.Result) float64 { return 100 * r.LiveShare }, "%.1f"},
		{"engines busy, %", func(r *trial.Result) float64 { return 100 * r.Busy }, "%.1f"},
		{"slots in use, %", func(r *trial.Result) float64 { return 100 * r.Slots }, "%.1f"},
		{"engines late, %", func(r *trial.Result) float64 { return 100 * r.DelayShare }, "%.2f"},
		{"prefix hits, %", func(r *trial.Result) float64 { return 100 * r.Hits }, "%.1f"},
		{"goodput, 1/s", func(r *trial.Result) float64 { return r.Goodput }, "%.1f"},
		{"answered", func(r *trial.Result) float64 { return float64(r.Answered) }, "%.0f"},
		{"broken", func(r *trial.Result) float64 { return float64(r.Broken) }, "%.0f"},
		{"cut at the end", func(r *trial.Result) float64 { return float64(r.Unfinished) }, "%.0f"},
		{"told notrun", func(r *trial.Result) float64 { return float64(r.NotRun) }, "%.0f"},
		{"told unknown", func(r *trial.Result) float64 { return float64(r.Unknown) }, "%.0f"},
		{"hedges", func(r *trial.Result) float64 { return float64(r.Hedges) }, "%.0f"},
		{"retries", func(r *trial.Result) float64 { return float64(r.Retries) }, "%.0f"},
		{"overhead p50, ms", func(r *trial.Result) float64 { return r.Overhead.P50 }, "%.2f"},
		{"overhead p99, ms", func(r *trial.Result) float64 { return r.Overhead.P99 }, "%.2f"},
		{"queue p50, ms", func(r *trial.Result) float64 { return r.Queue.P50 }, "%.1f"},
		{"queue p99, ms", func(r *trial.Result) float64 { return r.Queue.P99 }, "%.0f"},
	}
}

// group holds the results with the same load and number of nodes.
type group struct {
	load  float64
	nodes int
	// policies are in the order of their first result.
	policies []string
	results  map[string][]*trial.Result
}

func (t *Table) groups() []*group {
	var all []*group
	for _, r := range t.results {
		var g *group
		for _, x := range all {
			if x.load == r.Load && x.nodes == r.Nodes {
				g = x
			}
		}
		if g == nil {
			g = &group{load: r.Load, nodes: r.Nodes, results: map[string][]*trial.Result{}}
			all = append(all, g)
		}
		if g.results[r.Policy] == nil {
			g.policies = append(g.policies, r.Policy)
		}
		g.results[r.Policy] = append(g.results[r.Policy], r)
	}
	return all
}

// Print writes the table. A cell holds the median over seeds and, if there are several
// seeds, the minimum and maximum in brackets.
func (t *Table) Print(out io.Writer) {
	for _, g := range t.groups() {
		_, _ = fmt.Fprintf(out, "\nload %.2f of capacity, %d nodes, %d seeds\n", g.load, g.nodes, len(g.results[g.policies[0]]))
		w := tabwriter.NewWriter(out, 0, 8, 2, ' ', tabwriter.AlignRight)
		_, _ = fmt.Fprintf(w, "\t%s\t\n", strings.Join(g.policies, "\t"))
		for _, r := range rows() {
			g.printRow(w, r)
		}
		for _, rule := range audit.Rules {
			g.printRow(w, row{"broke rule " + string(rule), func(r *trial.Result) float64 { return float64(r.Rules[rule]) }, "%.0f"})
		}
		_ = w.Flush()
	}
	t.printViolations(out)
}

func (g *group) printRow(w io.Writer, r row) {
	_, _ = fmt.Fprint(w, r.label)
	for _, p := range g.policies {
		values := make([]float64, 0, len(g.results[p]))
		for _, x := range g.results[p] {
			values = append(values, r.value(x))
		}
		_, _ = fmt.Fprint(w, "\t"+formatSpread(values, r.format))
	}
	_, _ = fmt.Fprintln(w, "\t")
}

// formatSpread formats the median of values and, if there are several, their minimum
// and maximum. It sorts values.
func formatSpread(values []float64, format string) string {
	sort.Float64s(values)
	median := fmt.Sprintf(format, Median(values))
	if len(values) == 1 {
		return median
	}
	return fmt.Sprintf("%s ["+format+" "+format+"]", median, values[0], values[len(values)-1])
}

// Median returns the median of values, which must be sorted.
func Median(values []float64) float64 {
	n := len(values)
	if n%2 == 1 {
		return values[n/2]
	}
	return stat.Mean(values[n/2-1:n/2+1], nil)
}

// printViolations prints the first violations of each trial that has any.
func (t *Table) printViolations(out io.Writer) {
	for _, r := range t.results {
		if r.Violations == 0 {
			continue
		}
		_, _ = fmt.Fprintf(out, "\n%s, seed %d, load %.2f, %d nodes: %d violations\n", r.Policy, r.Seed, r.Load, r.Nodes, r.Violations)
		for _, s := range r.Details {
			_, _ = fmt.Fprintln(out, "  "+s)
		}
	}
}
