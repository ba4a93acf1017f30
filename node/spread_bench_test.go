package node_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/bench/local"
	"github.com/cowslipstage/cowslipstage/examples"
	"github.com/cowslipstage/cowslipstage/setup"
	"github.com/cowslipstage/cowslipstage/standin/desk"
	"github.com/cowslipstage/cowslipstage/standin/engine"
)

// BenchmarkChange measures how long an accepted ticket takes to be in force on
// every node, by the number of nodes and of those that may own shards.
func BenchmarkChange(b *testing.B) {
	RegisterTestingT(b)
	text, err := examples.Files.ReadFile("brennecke/001-start.ini")
	Expect(err).NotTo(HaveOccurred())
	for _, size := range [][2]int{{1, 16}, {3, 16}, {7, 16}, {14, 16}, {14, 4}, {28, 4}} {
		b.Run(fmt.Sprintf("%d-%d", size[0], size[1]), func(b *testing.B) {
			d, err := local.Start(local.Options{
				Ticket: text, Nodes: size[0], Log: zerolog.Nop(),
				Engine: engine.Options{PrefillRate: 100000, Decode: time.Millisecond, Slots: 8},
				Desk:   desk.Options{Latency: time.Millisecond},
				Adjust: func(s *setup.Settings) { s.Shards.MaxOwners = size[1] },
			})
			Expect(err).NotTo(HaveOccurred())
			b.Cleanup(d.Stop)
			var spans []time.Duration
			for i := range b.N {
				c, err := applyTicket(d, 2+i)
				Expect(err).NotTo(HaveOccurred())
				began := time.Now()
				Eventually(gauges(d, "config_revision"), waitTimeout, time.Millisecond).Should(HaveEach(float64(c.Revision)))
				spans = append(spans, time.Since(began))
			}
			slices.Sort(spans)
			b.ReportMetric(float64(spans[len(spans)/2].Milliseconds()), "ms/median")
			b.ReportMetric(float64(spans[len(spans)-1].Milliseconds()), "ms/max")
		})
	}
}
