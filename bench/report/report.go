// Package report prints the error budget burn of services as text and as an HTML page.
package report

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/state/burn"
)

// Text writes a report as plain text for a terminal.
func Text(w io.Writer, r burn.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "nodes %d, taken %s\n\n", len(r.Nodes), r.CreatedAt.UTC().Format(time.RFC3339))
	_, _ = fmt.Fprintln(t, "service\tcustomer\tobjective\ttarget\tburn 5m\t1h\t6h\t3d\tcalls 3d\tleft\talert")
	for _, l := range r.Lines {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%.5g%%", l.Service, l.Customer, formatMillis(l.Objective), 100*l.Target)
		for _, x := range l.Windows {
			_, _ = fmt.Fprintf(t, "\t%.2f", x.Burn)
		}
		_, _ = fmt.Fprintf(t, "\t%d\t%.0f%%\t%s\n", l.Windows[len(l.Windows)-1].Total, 100*l.Remaining, l.Alert)
	}
	_, _ = fmt.Fprintln(t, "\nservice\tcalls\tp50\tp95\tp99")
	for _, l := range r.Latencies {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\n", l.Service, l.Count, formatMillis(l.P50), formatMillis(l.P95), formatMillis(l.P99))
	}
	if !hasExamples(r) {
		return errors.Wrap(t.Flush(), "report: writing")
	}
	_, _ = fmt.Fprintln(t, "\nspent by\tcustomer\tprogram\tkey\tbegan\toutcome\tlatency")
	for _, l := range r.Lines {
		for _, x := range l.Examples {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", l.Service, x.Customer, x.Program, x.Key,
				x.Began.UTC().Format(time.RFC3339), outcomeText(x), formatMillis(x.Latency))
		}
	}
	return errors.Wrap(t.Flush(), "report: writing")
}

// hasExamples reports whether the report has examples of calls that spent error budget.
func hasExamples(r burn.Report) bool {
	return slices.ContainsFunc(r.Lines, func(l burn.Line) bool { return len(l.Examples) > 0 })
}

// outcomeText returns the outcome of an example, with its reason if there is one.
func outcomeText(x burn.Example) string {
	if x.Reason == "" {
		return x.Outcome
	}
	return x.Outcome + " (" + x.Reason + ")"
}

func formatMillis(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }
