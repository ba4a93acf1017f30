package local_test

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/bench/client"
	"github.com/cowslipstage/cowslipstage/bench/local"
	"github.com/cowslipstage/cowslipstage/examples"
	"github.com/cowslipstage/cowslipstage/setup"
	"github.com/cowslipstage/cowslipstage/standin/desk"
	"github.com/cowslipstage/cowslipstage/standin/engine"
	"github.com/cowslipstage/cowslipstage/state/answer"
)

var _ = Describe("large requests", func() {
	It("reach the owner through any node up to the size limit and are refused above it", func(ctx SpecContext) {
		text, err := examples.Files.ReadFile("brennecke/001-start.ini")
		Expect(err).NotTo(HaveOccurred())
		body := setup.Default().Node.MaxBodyBytes
		d, err := local.Start(local.Options{
			Ticket: text, Nodes: 2, Log: zerolog.Nop(), Adjust: func(s *setup.Settings) { s.Shards.Count = 1 },
			Engine: engine.Options{PrefillRate: 100000, Decode: time.Millisecond, Slots: 8},
			Desk:   desk.Options{Latency: time.Millisecond},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Stop)
		c := client.New("brennecke", d.Addrs())
		for range d.Addrs() {
			large := client.Request{Program: "p1", Service: "yard", Operation: "book", Deadline: 20 * time.Second}
			large.Text = strings.Repeat("x", int(body))
			a, err := c.Do(ctx, large)
			Expect(err).NotTo(HaveOccurred())
			// Outcome done shows that the desk received the body, even if it rejects
			// the booking itself.
			Expect(a.Outcome).To(Equal(answer.Done), a.Reason)
			large.Text += "x"
			a, err = c.Do(ctx, large)
			Expect(err).NotTo(HaveOccurred())
			Expect(a.Outcome).To(Equal(answer.NotRun))
			Expect(a.Reason).To(Equal("size"))
		}
	}, SpecTimeout(time.Minute))
})
