package gate

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/standin/agreed"
	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/vault"
)

// rig is a set of vaults on loopback and a gate's bank before them.
type rig struct {
	t      *testing.T
	g      *gomega.WithT
	agreed *agreed.Agreed
	bank   *bank
	hosts  []*host
}

// host is one vault that can be stopped and started again.
type host struct {
	site   site.Site
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func freePort(g *gomega.WithT) int {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { g.Expect(l.Close()).To(gomega.Succeed()) }()
	return l.Addr().(*net.TCPAddr).Port
}

func newRig(t *testing.T, losses int) *rig {
	r := &rig{t: t, g: gomega.NewWithT(t), agreed: agreed.New()}
	for i := range seats.TargetCount(losses) {
		r.add(fmt.Sprintf("vault-%d", i), losses, true)
	}
	r.bank = r.newBank(losses)
	r.g.Eventually(r.counting).WithTimeout(10 * time.Second).Should(gomega.Equal(len(r.hosts)))
	r.g.Eventually(func() int { return len(r.bank.current().Seats) }).WithTimeout(5 * time.Second).Should(gomega.Equal(len(r.hosts)))
	return r
}

func (r *rig) newBank(losses int) *bank {
	s := &site.Site{Node: "gate", Centre: "centre-0", MaxLostHosts: losses, Memory: 64 << 20}
	b := newBank(s, r.agreed, metrics.NewSet(), zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	go b.run(ctx)
	return b
}

// add starts one more vault.
func (r *rig) add(name string, losses int, fresh bool) *host {
	port := freePort(r.g)
	h := &host{site: site.Site{
		Node: name, Centre: "centre-" + strconv.Itoa(len(r.hosts)%3), IP: "127.0.0.1", FirstPort: port,
		Data: r.t.TempDir(), Disk: 64 << 20, FirstStart: fresh, MaxLostHosts: losses,
	}}
	r.hosts = append(r.hosts, h)
	r.start(h)
	r.t.Cleanup(func() { h.stop() })
	return h
}

func (r *rig) start(h *host) {
	s := h.site
	v, err := vault.New(&s, r.agreed, metrics.NewSet(), zerolog.Nop())
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.done.Go(func() { _ = v.Run(ctx) })
}

func (h *host) stop() {
	h.cancel()
	h.done.Wait()
}

// counting returns how many seats count as copies of one roster.
func (r *rig) counting() int {
	roster, _, err := r.agreed.Roster(context.Background())
	if err != nil {
		return 0
	}
	counting := 0
	for _, s := range roster.Seats {
		m, err := r.ask(s.Addr, &vaults.Fetch{Chain: "none"})
		if f, ok := m.(*vaults.FetchReply); err == nil && ok && f.Authoritative && f.Version == roster.Version {
			counting++
		}
	}
	return counting
}

func (r *rig) ask(addr string, m vaults.Message) (vaults.Message, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return r.bank.client(addr).Call(ctx, m)
}

// put records a turn at some of the hosts only.
func (r *rig) put(turn *chains.Turn, hosts ...int) {
	roster, _, err := r.agreed.Roster(context.Background())
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, i := range hosts {
		h := r.hosts[i]
		m, err := r.ask(net.JoinHostPort(h.site.IP, strconv.Itoa(h.site.FirstPort)), &vaults.End{Version: roster.Version, Turn: turn})
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		r.g.Expect(m).To(gomega.Equal(&vaults.EndReply{}))
	}
}

func (r *rig) open(previous string) ([]*chains.Turn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	hold := &chains.Hold{Program: "p", Turn: "new", MaxTokens: 10, Retention: time.Minute}
	return r.bank.open(ctx, hold, 1000, previous)
}

func turnOf(id, previous string) *chains.Turn {
	return &chains.Turn{ID: id, Previous: previous, Program: "p", Input: []byte("in " + id), Output: []byte("out " + id), Retention: time.Minute}
}

func ids(turns []*chains.Turn) []string {
	var names []string
	for _, t := range turns {
		names = append(names, t.ID)
	}
	return names
}

// The copies of the turns of one chain lie on different pairs of vaults, as when
// vaults are restarted during a program. No vault holds the whole chain.
func TestChainIsFoundWhenNoVaultHoldsAllOfIt(t *testing.T) {
	r := newRig(t, 1)
	r.put(turnOf("a", ""), 0, 1)
	r.put(turnOf("b", "a"), 1, 2)
	r.put(turnOf("c", "b"), 2, 0)
	r.put(turnOf("d", "c"), 1, 2)
	chain, err := r.open("d")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(ids(chain)).To(gomega.Equal([]string{"a", "b", "c", "d"}))
}

func TestUnknownTurnIsCertainOnlyWhenAllSeatsAnswer(t *testing.T) {
	r := newRig(t, 1)
	_, err := r.open("never")
	r.g.Expect(err).To(gomega.MatchError(errUnknown))
	r.hosts[2].stop()
	_, err = r.open("never")
	r.g.Expect(err).To(gomega.MatchError(errUncertain))
}

func TestAChainWithAHoleIsUncertainNotUnknown(t *testing.T) {
	r := newRig(t, 1)
	r.put(turnOf("b", "lost"), 0, 1)
	_, err := r.open("b")
	r.g.Expect(err).To(gomega.MatchError(errUncertain))
}

// kept is a feed that keeps the newest view.
type kept struct {
	mu   sync.Mutex
	view *vaults.View
}

func (k *kept) Prefixes() []string { return []string{"routes"} }

func (k *kept) AppliedRevision(string) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.view == nil {
		return 0
	}
	return k.view.Revision
}

func (k *kept) ApplyView(v *vaults.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.view = v
}

// listening returns a listener to the vaults and what it has told.
func (r *rig) listening(b *bank) (*ViewListener, *kept) {
	k := &kept{}
	v := (&Gate{bank: b, log: zerolog.Nop()}).NewViewListener(k)
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	v.Listen(ctx)
	return v, k
}

func routes(revision int64) *vaults.View {
	return &vaults.View{Prefix: "routes", Revision: revision, KeyValues: []vaults.KeyValue{{Key: "routes", Value: []byte("v"), Revision: revision}}}
}

// All processes were killed while the key-value service is down. A gate knows
// only the addresses of its settings; the vaults kept the service's last view.
func TestViewsOutlastARestartWithoutTheService(t *testing.T) {
	r := newRig(t, 1)
	r.agreed.SetView(routes(7))
	for _, h := range r.hosts {
		h.stop()
		r.start(h)
	}
	first, k := r.listening(r.bank)
	r.g.Eventually(func() int64 { return k.AppliedRevision("") }).WithTimeout(5 * time.Second).Should(gomega.Equal(int64(7)))
	r.g.Eventually(func() bool { return first.SkipPoll("routes") }).Should(gomega.BeTrue(), "live vaults spare the service the question")
	r.agreed.SetDown(true)
	for _, h := range r.hosts {
		h.stop()
		r.start(h)
	}
	restarted := r.newBank(1)
	restarted.site.Seeds = []string{
		net.JoinHostPort("127.0.0.1", strconv.Itoa(r.hosts[0].site.FirstPort)),
		net.JoinHostPort("127.0.0.1", strconv.Itoa(r.hosts[1].site.FirstPort)),
	}
	second, k := r.listening(restarted)
	r.g.Eventually(func() int64 { return k.AppliedRevision("") }).WithTimeout(5 * time.Second).Should(gomega.Equal(int64(7)))
	r.g.Expect(restarted.current().Seats).To(gomega.HaveLen(3))
	r.g.Expect(second.SkipPoll("routes")).To(gomega.BeFalse(), "no vault hears from the service")
}

// A host without a seat does not ask the service, so that its questions do not
// grow with the hosts; what it knows is old, and it says so.
func TestOnlyVaultsWithSeatsFollowTheService(t *testing.T) {
	r := newRig(t, 1)
	r.agreed.SetView(routes(7))
	spare := r.add("spare", 1, false)
	brief := func() *vaults.AwaitViewReply {
		m, err := r.ask(net.JoinHostPort("127.0.0.1", strconv.Itoa(spare.site.FirstPort)), &vaults.AwaitView{Prefix: "routes"})
		b, ok := m.(*vaults.AwaitViewReply)
		if err != nil || !ok {
			return &vaults.AwaitViewReply{StoreReachable: true}
		}
		return b
	}
	r.g.Eventually(func() bool { return brief().StoreReachable }).WithTimeout(5 * time.Second).Should(gomega.BeFalse())
	r.agreed.SetView(routes(8))
	r.g.Consistently(func() bool { return brief().StoreReachable }).WithTimeout(500 * time.Millisecond).Should(gomega.BeFalse())
	// It gets the seat of a lost host and follows from then on.
	r.hosts[0].stop()
	r.g.Eventually(func() int64 {
		b := brief()
		if !b.StoreReachable || b.View == nil {
			return 0
		}
		return b.View.Revision
	}).WithTimeout(10 * time.Second).Should(gomega.Equal(int64(8)))
}

// A change reaches a gate that listens at once, not with its next question.
func TestAChangeReachesListenersAtOnce(t *testing.T) {
	r := newRig(t, 1)
	r.agreed.SetView(routes(7))
	for _, h := range r.hosts {
		h.stop()
		r.start(h)
	}
	_, k := r.listening(r.bank)
	r.g.Eventually(func() int64 { return k.AppliedRevision("") }).WithTimeout(5 * time.Second).Should(gomega.Equal(int64(7)))
	r.agreed.SetView(routes(8))
	r.g.Eventually(func() int64 { return k.AppliedRevision("") }).WithTimeout(500 * time.Millisecond).Should(gomega.Equal(int64(8)))
}

// reached returns a bank that reaches the vaults through proxies that can go
// silent, and what silences them.
func (r *rig) reached() (*bank, func(silent bool)) {
	roster, _, err := r.agreed.Roster(context.Background())
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	proxied := agreed.New()
	var proxies []*toxiproxy.Proxy
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	for i := range roster.Seats {
		p := toxiproxy.NewProxy(server, roster.Seats[i].Node, "127.0.0.1:0", roster.Seats[i].Addr)
		r.g.Expect(p.Start()).To(gomega.Succeed())
		r.t.Cleanup(p.Stop)
		roster.Seats[i].Addr = p.Listen
		proxies = append(proxies, p)
	}
	r.g.Expect(proxied.PutRoster(context.Background(), roster, 0)).To(gomega.Succeed())
	whole := r.agreed
	r.agreed = proxied
	b := r.newBank(1)
	r.agreed = whole
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	go b.reach(ctx)
	return b, func(silent bool) {
		for _, p := range proxies {
			if silent {
				_, err := p.Toxics.AddToxicJson(strings.NewReader(`{"name":"silence","type":"timeout","stream":"downstream","attributes":{"timeout":0}}`))
				r.g.Expect(err).NotTo(gomega.HaveOccurred())
			} else {
				r.g.Expect(p.Toxics.RemoveToxic(context.Background(), "silence")).To(gomega.Succeed())
			}
		}
	}
}

// A gate is cut off from all vaults, its connections silent. It must say so at
// once, so that callers go to another gate, and notice when the way is open.
func TestAGateCutOffFromTheVaultsSaysSoAtOnce(t *testing.T) {
	r := newRig(t, 1)
	b, silence := r.reached()
	open := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_, err := b.open(ctx, &chains.Hold{Program: "p", Turn: "t", MaxTokens: 1, Retention: time.Minute}, 100, "")
		return err
	}
	r.g.Eventually(open).WithTimeout(5 * time.Second).Should(gomega.Succeed())
	r.g.Expect(b.cutOff()).To(gomega.BeFalse())
	silence(true)
	r.g.Expect(open()).To(gomega.HaveOccurred())
	r.g.Eventually(b.cutOff).WithTimeout(2 * time.Second).Should(gomega.BeTrue())
	begun := time.Now()
	r.g.Expect(open()).To(gomega.HaveOccurred())
	r.g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 100*time.Millisecond), "a quarter of the shortest aim's half second")
	silence(false)
	r.g.Eventually(b.cutOff).WithTimeout(3 * time.Second).Should(gomega.BeFalse())
	r.g.Eventually(open).WithTimeout(3 * time.Second).Should(gomega.Succeed())
}

// All vaults are away for a moment while an answer ends. Its turn is kept once
// they are back, and the answer can end then.
func TestAnEndedTurnIsKeptOnceTheVaultsAreBack(t *testing.T) {
	r := newRig(t, 1)
	b, silence := r.reached()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r.g.Eventually(func() error { return b.record(ctx, turnOf("a", "")) }).Should(gomega.Succeed())
	silence(true)
	kept := make(chan error)
	go func() { kept <- b.record(ctx, turnOf("b", "a")) }()
	r.g.Eventually(b.cutOff).WithTimeout(2 * time.Second).Should(gomega.BeTrue())
	r.g.Consistently(kept, "100ms").ShouldNot(gomega.Receive())
	silence(false)
	r.g.Eventually(kept).WithTimeout(3 * time.Second).Should(gomega.Receive(gomega.Succeed()))
	chain, err := r.open("b")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(ids(chain)).To(gomega.Equal([]string{"a", "b"}))
}

// A gate that is started again has callers waiting. It asks the key-value service
// at once where the vaults of its settings are not up yet.
func TestARestartedGateDoesNotWaitForVaults(t *testing.T) {
	g := gomega.NewWithT(t)
	a := agreed.New()
	g.Expect(a.PutRoster(context.Background(), &seats.Roster{Version: 1, MaxLosses: 1, Seats: make([]seats.Seat, 3)}, 0)).To(gomega.Succeed())
	for _, fresh := range []bool{false, true} {
		s := &site.Site{Node: "gate", MaxLostHosts: 1, Memory: 1 << 20, FirstStart: fresh}
		b := newBank(s, a, metrics.NewSet(), zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		v := (&Gate{bank: b, log: zerolog.Nop()}).NewViewListener(&kept{})
		g.Expect(v.SkipPoll("routes")).To(gomega.Equal(fresh))
		go b.run(ctx)
		known := func() int { return len(b.current().Seats) }
		if fresh {
			g.Consistently(known, "200ms").Should(gomega.BeZero(), "no caller waits: the vaults' word costs nothing")
		} else {
			g.Eventually(known, "200ms").Should(gomega.Equal(3))
		}
	}
}

// A chain that lies elsewhere is fetched from one vault at a time: its text
// crosses to the gate once.
func TestAChainIsFetchedOnce(t *testing.T) {
	r := newRig(t, 1)
	r.put(turnOf("a", ""), 0, 1, 2)
	r.g.Expect(r.bank.fetchOnce(context.Background(), r.bank.current(), "a")).To(gomega.Equal(0))
	r.g.Expect(r.bank.fetched.Get()).To(gomega.Equal(uint64(1)))
	r.g.Expect(r.bank.fetchOnce(context.Background(), r.bank.current(), "none")).To(gomega.Equal(3))
}
