package report

import (
	_ "embed"
	"encoding/base64"
	"html/template"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/state/burn"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"span": formatMillis, "told": outcomeText,
	"when":    func(t time.Time) string { return t.UTC().Format(time.RFC3339) },
	"percent": func(f float64) float64 { return 100 * f },
}).Parse(pageText))

// HTML writes a report as one HTML page that needs no other files.
func HTML(w io.Writer, r burn.Report) error {
	rates, err := ratePlot(r)
	if err != nil {
		return err
	}
	latencies, err := latencyPlot(r)
	if err != nil {
		return err
	}
	return errors.Wrap(page.Execute(w, struct {
		burn.Report
		Plots []template.URL
	}{r, []template.URL{image(rates), image(latencies)}}), "report: writing")
}

// image returns an SVG image as a data URL.
func image(svg []byte) template.URL {
	return template.URL("data:image/svg+xml;base64," + base64.StdEncoding.EncodeToString(svg))
}
