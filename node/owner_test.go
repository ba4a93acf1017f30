package node_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/bench/client"
	"github.com/cowslipstage/cowslipstage/bench/local"
	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/examples"
	"github.com/cowslipstage/cowslipstage/setup"
	"github.com/cowslipstage/cowslipstage/standin/desk"
	"github.com/cowslipstage/cowslipstage/standin/engine"
	"github.com/cowslipstage/cowslipstage/standin/keyval"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "node")
}

func startNodes(nodes int) *local.Deployment { return startWith(nodes, func(*setup.Settings) {}) }

// startWith starts nodes after adjust has changed their settings.
func startWith(nodes int, adjust func(s *setup.Settings)) *local.Deployment {
	text, err := examples.Files.ReadFile("brennecke/001-start.ini")
	Expect(err).NotTo(HaveOccurred())
	d, err := local.Start(local.Options{
		Ticket: text, Nodes: nodes, Log: zerolog.New(GinkgoWriter).Level(zerolog.WarnLevel).With().Timestamp().Logger(),
		Engine: engine.Options{PrefillRate: 100000, Decode: time.Millisecond, Slots: 8},
		Desk:   desk.Options{Latency: time.Millisecond},
		Adjust: func(s *setup.Settings) {
			s.Store.Lease, s.Store.Timeout = 900*time.Millisecond, 300*time.Millisecond
			adjust(s)
		},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Stop)
	return d
}

// preferredOwners returns the preferred owner of each shard among n live nodes.
func preferredOwners(n int) []string {
	hosts := map[string]claim.Host{}
	for i := range n {
		name := fmt.Sprintf("node-%d", i+1)
		hosts[name] = claim.Host{Name: name}
	}
	var owners []string
	for shard := range 16 {
		owners = append(owners, claim.PreferredOwner(shard, hosts))
	}
	return owners
}

// waitForShards waits until n nodes own their preferred shards, each with its
// standbys.
func waitForShards(d *local.Deployment, n int) {
	Eventually(func(g Gomega) {
		owners, _ := ownersAndEpochs(d)
		g.Expect(owners).To(Equal(preferredOwners(n)))
		for _, c := range storedClaims(d) {
			g.Expect(c.Standbys).To(HaveLen(min(3, n-1)))
		}
		g.Expect(openJournalCount(d)).To(Equal(len(owners)), "a claim is written before its journal is open")
	}, 30*time.Second).Should(Succeed())
}

// openJournalCount returns the number of open journals on all nodes.
func openJournalCount(d *local.Deployment) int {
	sum := 0
	for _, addr := range d.Addrs() {
		response, err := http.Get("http://" + addr + "/metrics")
		if err != nil {
			continue
		}
		data, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		if m := regexp.MustCompile(`(?m)^shards_owned (\d+)$`).FindSubmatch(data); m != nil {
			n, err := strconv.Atoi(string(m[1]))
			Expect(err).NotTo(HaveOccurred())
			sum += n
		}
	}
	return sum
}

// storedClaims returns the claims in the store.
func storedClaims(d *local.Deployment) []claim.Claim {
	var all []claim.Claim
	pairs, err := store.New(d.Store(), time.Second).List(context.Background(), "claim/", "", 0)
	Expect(err).NotTo(HaveOccurred())
	for _, p := range pairs {
		var c claim.Claim
		Expect(cbor.Unmarshal(p.Value, &c)).To(Succeed())
		all = append(all, c)
	}
	return all
}

// ownersAndEpochs returns the owner and the epoch of each shard.
func ownersAndEpochs(d *local.Deployment) (owners []string, epochs []uint64) {
	for _, c := range storedClaims(d) {
		owners = append(owners, c.Node)
		epochs = append(epochs, c.Epoch)
	}
	return owners, epochs
}

// bookingCount returns the number of bookings that the desks have carried out.
func bookingCount(d *local.Deployment) int {
	n := 0
	for _, desk := range d.Desks() {
		n += len(desk.Ledger())
	}
	return n
}

// generateLoad makes model calls and bookings until stop, which returns how
// many calls and bookings were done.
func generateLoad(c *client.Client) (stop func() (done, bookings int64)) {
	var wait sync.WaitGroup
	var done, bookings atomic.Int64
	ctx, cancel := context.WithCancel(context.Background())
	for i := range 4 {
		wait.Go(func() {
			defer GinkgoRecover()
			for k := 0; ctx.Err() == nil; k++ {
				program := fmt.Sprintf("load-%d-%d", i, k)
				a, err := c.Do(context.Background(), client.Request{Program: program, Service: "booking", Text: "Two flatbeds."})
				Expect(err).NotTo(HaveOccurred())
				Expect(a.Outcome).To(Equal(answer.Done), a.Reason)
				a, err = c.Do(context.Background(), client.Request{
					Program: program, Service: "yard", Operation: "book", Text: `{"yard":"north"}`,
				})
				Expect(err).NotTo(HaveOccurred())
				Expect(a.Outcome).To(Equal(answer.Done), a.Reason)
				done.Add(2)
				bookings.Add(1)
			}
		})
	}
	stop = func() (int64, int64) {
		cancel()
		wait.Wait()
		return done.Load(), bookings.Load()
	}
	DeferCleanup(func() { stop() })
	return stop
}

var _ = Describe("ownership", func() {
	It("answers calls and bookings while the store is down, and moves no shard afterwards", func() {
		d := startNodes(3)
		waitForShards(d, 3)
		stop := generateLoad(client.New("brennecke", d.Addrs()))
		Eventually(func() int { return bookingCount(d) }, 20*time.Second).Should(BeNumerically(">", 5))
		_, before := ownersAndEpochs(d)
		renewals := d.Keyval().CallCounts()["renew"]
		d.Keyval().SetFault(keyval.Fault{Down: true})
		bookedBefore := bookingCount(d)
		Eventually(func() int { return d.Keyval().CallCounts()["renew"] }, 20*time.Second).Should(BeNumerically(">", renewals+20))
		Expect(bookingCount(d)).To(BeNumerically(">", bookedBefore+5), "bookings continue without the store")
		d.Keyval().SetFault(keyval.Fault{})
		renewed := d.Keyval().CallCounts()["renew"]
		Eventually(func() int { return d.Keyval().CallCounts()["renew"] }, 20*time.Second).Should(BeNumerically(">", renewed+20))
		_, bookings := stop()
		Expect(bookingCount(d)).To(BeEquivalentTo(bookings))
		_, after := ownersAndEpochs(d)
		Expect(after).To(Equal(before), "no epoch has increased")
	})

	It("moves shards to a node that joins, and from one that leaves, without a failed call", func() {
		d := startNodes(2)
		stop := generateLoad(client.New("brennecke", d.Addrs()[:1]))
		_, err := d.AddNode()
		Expect(err).NotTo(HaveOccurred())
		waitForShards(d, 3)
		d.StopNode(1)
		Eventually(func() []string { o, _ := ownersAndEpochs(d); return o }, 30*time.Second).
			ShouldNot(Or(ContainElement("node-2"), ContainElement("")))
		_, bookings := stop()
		Expect(bookingCount(d)).To(BeEquivalentTo(bookings))
	})
})

var _ = Describe("the bound on owners", func() {
	It("lets two of four nodes own shards, and only these call the store for it", func() {
		d := startWith(4, func(s *setup.Settings) { s.Shards.MaxOwners = 2 })
		hosts := map[string]claim.Host{}
		for i := range 4 {
			name := fmt.Sprintf("node-%d", i+1)
			hosts[name] = claim.Host{Name: name}
		}
		owners := claim.Owners(hosts, 2)
		Eventually(func(g Gomega) {
			for shard, c := range storedClaims(d) {
				g.Expect(c.Node).To(Equal(claim.PreferredOwner(shard, owners)))
				g.Expect(c.Standbys).To(HaveLen(3))
			}
			g.Expect(leaseKeys(d)).To(HaveLen(2), "the leases of the others expire")
		}, 30*time.Second).Should(Succeed())
		for _, addr := range d.Addrs() {
			a, err := client.New("brennecke", []string{addr}).Do(context.Background(), client.Request{
				Program: "p-" + addr, Service: "booking", Text: "Two flatbeds.",
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(a.Outcome).To(Equal(answer.Done), a.Reason)
		}
	})
})

// leaseKeys returns the store keys that are bound to a node's lease.
func leaseKeys(d *local.Deployment) []string {
	pairs, err := store.New(d.Store(), time.Second).List(context.Background(), "node/", "", 0)
	Expect(err).NotTo(HaveOccurred())
	var keys []string
	for _, p := range pairs {
		keys = append(keys, p.Key)
	}
	return keys
}
