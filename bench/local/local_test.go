package local_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/bench/client"
	"github.com/cowslipstage/cowslipstage/bench/local"
	"github.com/cowslipstage/cowslipstage/examples"
	"github.com/cowslipstage/cowslipstage/standin/desk"
	"github.com/cowslipstage/cowslipstage/standin/engine"
	"github.com/cowslipstage/cowslipstage/state/answer"
)

func TestLocal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "local")
}

var _ = Describe("a deployment of three nodes", Ordered, func() {
	var d *local.Deployment
	BeforeAll(func() {
		text, err := examples.Files.ReadFile("brennecke/001-start.ini")
		Expect(err).NotTo(HaveOccurred())
		d, err = local.Start(local.Options{
			Ticket: text, Nodes: 3, Log: zerolog.Nop(),
			Engine: engine.Options{PrefillRate: 100000, Decode: time.Millisecond, Slots: 8},
			Desk:   desk.Options{Latency: time.Millisecond},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Stop)
	})

	It("answers a repeated key with the same answer and runs the call once", func(ctx SpecContext) {
		c := client.New("brennecke", d.Addrs())
		request := client.Request{Program: "p1", Key: "k1", Service: "yard", Operation: "book", Text: `{"yard":"north"}`}
		first, err := c.Do(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Outcome).To(Equal(answer.Done))
		for range d.Addrs() {
			again, err := c.Do(ctx, request)
			Expect(err).NotTo(HaveOccurred())
			Expect(again.Body).To(Equal(first.Body))
		}
		effects := 0
		for _, desk := range d.Desks() {
			effects += len(desk.Ledger())
		}
		Expect(effects).To(Equal(1))
	})

	It("keeps each program's history on calls through different nodes", func() {
		c := client.New("brennecke", d.Addrs())
		for range 3 {
			a, err := c.Do(context.Background(), client.Request{Program: "p2", Service: "gate", Text: "Open, please."})
			Expect(err).NotTo(HaveOccurred())
			Expect(a.Outcome).To(Equal(answer.Done))
		}
		var runs []engine.Entry
		for _, e := range d.Engines() {
			runs = append(runs, e.Ledger()...)
		}
		Expect(runs).To(HaveLen(3))
	})
})
