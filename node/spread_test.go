package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/bench/client"
	"github.com/cowslipstage/cowslipstage/bench/local"
	"github.com/cowslipstage/cowslipstage/examples"
	"github.com/cowslipstage/cowslipstage/node"
	"github.com/cowslipstage/cowslipstage/protocol/ticket"
	"github.com/cowslipstage/cowslipstage/setup"
	"github.com/cowslipstage/cowslipstage/standin/desk"
	"github.com/cowslipstage/cowslipstage/standin/engine"
	"github.com/cowslipstage/cowslipstage/standin/keyval"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

// startBounded starts nodes of which at most owners own shards. Each node gets
// the addresses of the nodes started before it as seeds.
func startBounded(nodes, owners int) *local.Deployment {
	text, err := examples.Files.ReadFile("brennecke/001-start.ini")
	Expect(err).NotTo(HaveOccurred())
	var seeds []string
	d, err := local.Start(local.Options{
		Ticket: text, Nodes: nodes, Log: zerolog.New(GinkgoWriter).Level(zerolog.WarnLevel).With().Timestamp().Logger(),
		Engine: engine.Options{PrefillRate: 100000, Decode: time.Millisecond, Slots: 8},
		Desk:   desk.Options{Latency: time.Millisecond},
		Adjust: func(s *setup.Settings) {
			s.Store.Lease, s.Store.Timeout = 900*time.Millisecond, 300*time.Millisecond
			s.Shards.MaxOwners = owners
			s.Links.Peers = slices.Clone(seeds)
			seeds = append(seeds, s.Node.Name+"="+s.Node.Link)
		},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Stop)
	return d
}

// gauge returns a metric of the node at addr, or -1 if it cannot be read.
func gauge(addr, name string) float64 {
	response, err := http.Get("http://" + addr + "/metrics")
	if err != nil {
		return -1
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			if err == nil {
				return v
			}
		}
	}
	return -1
}

// gauges returns a function that reads a metric of every node.
func gauges(d *local.Deployment, name string) func() []float64 {
	return func() []float64 {
		var all []float64
		for _, addr := range d.Addrs() {
			all = append(all, gauge(addr, name))
		}
		return all
	}
}

const waitTimeout = 30 * time.Second

// applyTicket applies a ticket that sets the customer's rate to the ticket's
// number.
func applyTicket(d *local.Deployment, number int) (*config.Config, error) {
	text := fmt.Sprintf("[ticket]\nnumber = %d\nauthor = a\nreason = r\n[customer brennecke]\nrate = %d\nburst = 400\nactive = 500\n", number, number)
	t, err := ticket.Parse("t.ini", []byte(text))
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return node.UpdateConfig(ctx, store.New(d.Store(), 5*time.Second), t.Apply)
}

var _ = Describe("the propagation of changes", func() {
	It("links owners to all nodes and the others to owners only", func() {
		d := startBounded(5, 2)
		Eventually(func() []float64 {
			all := gauges(d, "links_live")()
			slices.Sort(all)
			return all
		}, waitTimeout).Should(Equal([]float64{2, 2, 2, 4, 4}))
		c := client.New("brennecke", d.Addrs())
		for i := range 10 {
			a, err := c.Do(context.Background(), client.Request{Program: fmt.Sprint("p", i), Service: "gate", Text: "Open."})
			Expect(err).NotTo(HaveOccurred())
			Expect(a.Outcome).To(Equal(answer.Done))
		}
		_, err := applyTicket(d, 2)
		Expect(err).NotTo(HaveOccurred())
		Eventually(gauges(d, "config_revision"), waitTimeout).Should(HaveEach(2.0))
	})

	It("sends no new calls, from any node, to an endpoint that the host list shows as leaving", func() {
		d := startBounded(3, 16)
		var name string
		for name = range d.Engines() {
			break
		}
		d.Hosts().Set(time.Now(), name, "leaving")
		Eventually(gauges(d, "hosts_departing"), waitTimeout).Should(HaveEach(1.0))
		before := len(d.Engines()[name].Ledger())
		c := client.New("brennecke", d.Addrs())
		for i := range 30 {
			a, err := c.Do(context.Background(), client.Request{Program: fmt.Sprint("p", i), Service: "gate", Text: "Open."})
			Expect(err).NotTo(HaveOccurred())
			Expect(a.Outcome).To(Equal(answer.Done))
		}
		Expect(d.Engines()[name].Ledger()).To(HaveLen(before))
	})

	It("propagates an endpoint's own refusal although the host list lags", func() {
		d := startBounded(3, 16)
		for _, e := range d.Engines() {
			e.SetLeaving(true)
			break
		}
		Eventually(gauges(d, "hosts_departing"), waitTimeout).Should(HaveEach(1.0))
		for _, e := range d.Engines() {
			e.SetLeaving(false)
		}
		Eventually(gauges(d, "hosts_departing"), waitTimeout).Should(HaveEach(0.0))
	})

	It("lets a node that boots during an outage of the store fetch the configuration and serve", func() {
		d := startBounded(2, 16)
		_, err := applyTicket(d, 2)
		Expect(err).NotTo(HaveOccurred())
		Eventually(gauges(d, "config_revision"), waitTimeout).Should(HaveEach(2.0))
		// A shard without an owner could not be taken during the outage.
		waitForShards(d, 2)
		d.Keyval().SetFault(keyval.Fault{Down: true})
		addr, err := d.AddNode()
		Expect(err).NotTo(HaveOccurred())
		Expect(gauge(addr, "config_revision")).To(Equal(2.0))
		a, err := client.New("brennecke", []string{addr}).Do(context.Background(),
			client.Request{Program: "p", Service: "gate", Text: "Open."})
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Outcome).To(Equal(answer.Done))
		d.Keyval().SetFault(keyval.Fault{})
		Eventually(gauges(d, "config_revision"), waitTimeout).Should(HaveEach(2.0))
	})

	It("accepts concurrent tickets in one order despite lost answers, and names the winner", func() {
		d := startBounded(3, 16)
		d.Keyval().SetFault(keyval.Fault{LostWrites: 3})
		var wait sync.WaitGroup
		results := make([]error, 4)
		for i := range results {
			wait.Go(func() {
				defer GinkgoRecover()
				_, results[i] = applyTicket(d, 2+i)
			})
		}
		wait.Wait()
		Expect(results[3]).NotTo(HaveOccurred(), "the highest number is never refused")
		accepted := 1
		for i, err := range results {
			if err == nil {
				accepted++
				continue
			}
			Expect(errors.Is(err, ticket.ErrRefused)).To(BeTrue(), err.Error())
			Expect(err.Error()).To(MatchRegexp(`ticket [%d-5]`, 3+i), "the winner is named")
		}
		Eventually(gauges(d, "config_revision"), waitTimeout).Should(HaveEach(float64(accepted)))
		replayed, err := applyTicket(d, 5)
		Expect(err).NotTo(HaveOccurred())
		Expect(replayed.Revision).To(Equal(uint64(accepted)), "applying a ticket again changes nothing")
		Expect(replayed.Customers["brennecke"].Rate).To(Equal(5.0))
	})
})
