package chart_test

import (
	"image/png"
	"os"
	"testing"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/bench/chart"
	"github.com/cowslipstage/cowslipstage/bench/trial"
)

func TestDraw(t *testing.T) {
	g := gomega.NewWithT(t)
	samples := []trial.Sample{{Seconds: 1, Live: 10}, {Seconds: 2, Live: 20, Wasted: 5}}
	files, err := chart.New(t.TempDir(), []*trial.Result{
		{Policy: "product", Load: 0.3, CDF: []float64{1, 2, 3}, Samples: samples},
		{Policy: "product", Load: 0.8, CDF: []float64{1, 2, 9}, Samples: samples},
		{Policy: "round", Load: 0.3, CDF: []float64{1, 2, 5}},
	}).Draw()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(files).To(gomega.HaveLen(5))
	for _, file := range files {
		f, err := os.Open(file)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = png.Decode(f)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(f.Close()).To(gomega.Succeed())
	}
}
