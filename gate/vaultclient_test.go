package gate

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/standin/coord"
	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/vault"
)

// vaultCluster is a set of vaults on loopback and a gate's client for them.
type vaultCluster struct {
	t        *testing.T
	g        *gomega.WithT
	registry *coord.Registry
	client   *vaultClient
	hosts    []*vaultHost
}

// vaultHost is one vault that can be stopped and started again.
type vaultHost struct {
	site site.Site
	// registry is what the vault sees of the cluster's registry.
	registry vault.Registry
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// portCount counts the ports handed out. They come from below the range from
// which the system assigns ports, each once, because another process may be
// assigned a port of that range before the listener here opens it.
var portCount atomic.Uint32

const (
	firstPort = 10000
	portSpan  = 8000
)

// freePort returns a loopback port on which nobody listens.
func freePort(g *gomega.WithT) int {
	var err error
	for range portSpan {
		port := firstPort + int((uint32(os.Getpid())*97+portCount.Add(1))%portSpan)
		var l net.Listener
		if l, err = net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port))); err == nil {
			g.Expect(l.Close()).To(gomega.Succeed())
			return port
		}
	}
	g.Expect(err).NotTo(gomega.HaveOccurred(), "no free port")
	return 0
}

// newVaultCluster starts as many vaults as are needed to survive losses and
// waits until all of them count as copies.
func newVaultCluster(t *testing.T, losses int) *vaultCluster {
	r := &vaultCluster{t: t, g: gomega.NewWithT(t), registry: coord.New()}
	for i := range seats.TargetCount(losses) {
		r.addVault(fmt.Sprintf("vault-%d", i), losses, true)
	}
	r.client = r.newClient(losses)
	r.g.Eventually(r.caughtUpSeats).WithTimeout(10*time.Second).Should(gomega.Equal(len(r.hosts)), allGoroutines)
	r.g.Eventually(func() int { return len(r.client.currentRoster().Seats) }).WithTimeout(5 * time.Second).Should(gomega.Equal(len(r.hosts)))
	return r
}

// allGoroutines returns the stacks of all goroutines, for a wait that is over.
func allGoroutines() string {
	stacks := make([]byte, 8<<20)
	return string(stacks[:runtime.Stack(stacks, true)])
}

func (r *vaultCluster) newClient(losses int) *vaultClient {
	s := &site.Site{Node: "gate", Centre: "centre-0", MaxLostHosts: losses, Memory: 64 << 20}
	b := newVaultClient(s, r.registry, metrics.NewSet(), zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	go b.rosterLoop(ctx)
	return b
}

// addVault starts one more vault.
func (r *vaultCluster) addVault(name string, losses int, fresh bool) *vaultHost {
	port := freePort(r.g)
	h := &vaultHost{site: site.Site{
		Node: name, Centre: "centre-" + strconv.Itoa(len(r.hosts)%3), IP: "127.0.0.1", FirstPort: port,
		Data: r.t.TempDir(), Disk: 64 << 20, FirstStart: fresh, MaxLostHosts: losses,
	}, registry: r.registry}
	r.hosts = append(r.hosts, h)
	r.start(h)
	r.t.Cleanup(func() { h.stop() })
	return h
}

func (r *vaultCluster) start(h *vaultHost) {
	s := h.site
	v, err := vault.New(&s, h.registry, metrics.NewSet(), zerolog.Nop())
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.done.Go(func() {
		if err := v.Run(ctx); err != nil && ctx.Err() == nil {
			r.t.Errorf("%s ended: %v", s.Node, err)
		}
	})
}

func (h *vaultHost) stop() {
	h.cancel()
	h.done.Wait()
}

// caughtUpSeats returns how many seats of the newest roster count as copies.
func (r *vaultCluster) caughtUpSeats() int {
	roster, _, err := r.registry.Roster(context.Background())
	if err != nil {
		return 0
	}
	counting := 0
	for _, s := range roster.Seats {
		m, err := r.call(s.Addr, &vaults.Fetch{Chain: "none"})
		if f, ok := m.(*vaults.FetchReply); err == nil && ok && f.Authoritative && f.Version == roster.Version {
			counting++
		}
	}
	return counting
}

func (r *vaultCluster) call(addr string, m vaults.Message) (vaults.Message, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return r.client.connection(addr).Call(ctx, m)
}

// recordAt records a turn at some of the hosts only.
func (r *vaultCluster) recordAt(turn *chains.Turn, hosts ...int) {
	roster, _, err := r.registry.Roster(context.Background())
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, i := range hosts {
		h := r.hosts[i]
		m, err := r.call(net.JoinHostPort(h.site.IP, strconv.Itoa(h.site.FirstPort)), &vaults.End{Version: roster.Version, Turn: turn})
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		r.g.Expect(m).To(gomega.Equal(&vaults.EndReply{}))
	}
}

func (r *vaultCluster) openTurn(previous string) ([]*chains.Turn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	hold := &chains.Hold{Program: "p", Turn: "new", MaxTokens: 10, Retention: time.Minute}
	o, err := r.client.openTurn(ctx, opening{hold: hold, budget: 1000, previous: previous})
	if err != nil {
		return nil, err
	}
	return o.chain, nil
}

func newTurn(id, previous string) *chains.Turn {
	return &chains.Turn{ID: id, Previous: previous, Program: "p", Input: []byte("in " + id), Output: []byte("out " + id), Retention: time.Minute}
}

func ids(turns []*chains.Turn) []string {
	var names []string
	for _, t := range turns {
		names = append(names, t.ID)
	}
	return names
}

// The copies of the turns of one chain lie on different pairs of vaults, as
// when vaults are restarted during a program. No vault holds the whole chain.
func TestChainIsFoundWhenNoVaultHoldsAllOfIt(t *testing.T) {
	r := newVaultCluster(t, 1)
	r.recordAt(newTurn("a", ""), 0, 1)
	r.recordAt(newTurn("b", "a"), 1, 2)
	r.recordAt(newTurn("c", "b"), 2, 0)
	r.recordAt(newTurn("d", "c"), 1, 2)
	chain, err := r.openTurn("d")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(ids(chain)).To(gomega.Equal([]string{"a", "b", "c", "d"}))
}

func TestUnknownTurnIsCertainOnlyWhenAllSeatsAnswer(t *testing.T) {
	r := newVaultCluster(t, 1)
	_, err := r.openTurn("never")
	r.g.Expect(err).To(gomega.MatchError(errUnknown))
	r.hosts[2].stop()
	_, err = r.openTurn("never")
	r.g.Expect(err).To(gomega.MatchError(errUncertain))
}

func TestAChainWithAHoleIsUncertainNotUnknown(t *testing.T) {
	r := newVaultCluster(t, 1)
	r.recordAt(newTurn("b", "lost"), 0, 1)
	_, err := r.openTurn("b")
	r.g.Expect(err).To(gomega.MatchError(errUncertain))
}

// viewRecorder is a ViewConsumer that stores the newest view.
type viewRecorder struct {
	mu        sync.Mutex
	view      *vaults.View
	confirmed time.Time
	applied   int
}

func (k *viewRecorder) Prefixes() []string { return []string{"routes"} }

func (k *viewRecorder) AppliedRevision(string) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.view == nil {
		return 0
	}
	return k.view.Revision
}

func (k *viewRecorder) ApplyView(v *vaults.View) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.view = v
	k.applied++
}

func (k *viewRecorder) appliedViews() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.applied
}

func (k *viewRecorder) Confirm(_ string, asOf time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if asOf.After(k.confirmed) {
		k.confirmed = asOf
	}
}

func (k *viewRecorder) confirmedAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.confirmed
}

// startListener starts a listener to the vaults and returns it with its
// consumer.
func (r *vaultCluster) startListener(c *vaultClient) (*ViewListener, *viewRecorder) {
	k := &viewRecorder{}
	v := (&Gate{vaults: c, log: zerolog.Nop()}).NewViewListener(k)
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	v.Listen(ctx)
	return v, k
}

func routesView(revision int64) *vaults.View {
	return &vaults.View{Prefix: "routes", Revision: revision, KeyValues: []vaults.KeyValue{{Key: "routes", Value: []byte("v"), Revision: revision}}}
}

// All processes are killed while the key-value service is down. A gate knows
// only the addresses in its settings and must get the service's last view from
// the vaults, which stored it.
func TestViewsSurviveARestartWithoutTheService(t *testing.T) {
	r := newVaultCluster(t, 1)
	r.registry.SetView(routesView(7))
	for _, h := range r.hosts {
		h.stop()
		r.start(h)
	}
	first, k := r.startListener(r.client)
	r.g.Eventually(func() int64 { return k.AppliedRevision("") }).WithTimeout(5 * time.Second).Should(gomega.Equal(int64(7)))
	r.g.Eventually(func() bool { return first.SkipPoll("routes") }).Should(gomega.BeTrue(), "the service is not asked while vaults reach it")
	r.registry.SetDown(true)
	for _, h := range r.hosts {
		h.stop()
		r.start(h)
	}
	restarted := r.newClient(1)
	restarted.site.Seeds = []string{
		net.JoinHostPort("127.0.0.1", strconv.Itoa(r.hosts[0].site.FirstPort)),
		net.JoinHostPort("127.0.0.1", strconv.Itoa(r.hosts[1].site.FirstPort)),
	}
	second, k := r.startListener(restarted)
	r.g.Eventually(func() int64 { return k.AppliedRevision("") }).WithTimeout(5 * time.Second).Should(gomega.Equal(int64(7)))
	r.g.Expect(restarted.currentRoster().Seats).To(gomega.HaveLen(3))
	r.g.Expect(second.SkipPoll("routes")).To(gomega.BeFalse(), "no vault can reach the service")
}

// Both vaults that a gate listens to sent it each view. Now one does, and the other one does
// once the first is gone.
func TestAViewIsSentByOneVault(t *testing.T) {
	r := newVaultCluster(t, 1)
	r.registry.SetView(routesView(7))
	for _, h := range r.hosts {
		h.stop()
		r.start(h)
	}
	_, k := r.startListener(r.client)
	arrives := func(revision int64) {
		r.g.Eventually(func() int64 { return k.AppliedRevision("") }).WithTimeout(5 * time.Second).Should(gomega.Equal(revision))
	}
	arrives(7)
	sent := k.appliedViews()
	for revision := int64(8); revision <= 12; revision++ {
		r.registry.SetView(routesView(revision))
		arrives(revision)
	}
	r.g.Consistently(k.appliedViews).WithTimeout(2*briefPause).Should(gomega.BeNumerically("<=", sent+5+1), "one more if the listeners are not in step at first")
	addr := r.client.vaultAddrs()[0]
	for _, h := range r.hosts {
		if net.JoinHostPort("127.0.0.1", strconv.Itoa(h.site.FirstPort)) == addr {
			h.stop()
		}
	}
	r.registry.SetView(routesView(13))
	arrives(13)
}

// A host without a seat must not query the service, so that the load on it does
// not grow with the hosts. Its view becomes outdated, so it must report the
// service as unreachable.
func TestOnlyVaultsWithSeatsFollowTheService(t *testing.T) {
	r := newVaultCluster(t, 1)
	r.registry.SetView(routesView(7))
	spare := r.addVault("spare", 1, false)
	awaitView := func() *vaults.AwaitViewReply {
		m, err := r.call(net.JoinHostPort("127.0.0.1", strconv.Itoa(spare.site.FirstPort)), &vaults.AwaitView{Prefix: "routes"})
		b, ok := m.(*vaults.AwaitViewReply)
		if err != nil || !ok {
			return &vaults.AwaitViewReply{StoreReachable: true}
		}
		return b
	}
	r.g.Eventually(func() bool { return awaitView().StoreReachable }).WithTimeout(5 * time.Second).Should(gomega.BeFalse())
	r.registry.SetView(routesView(8))
	r.g.Consistently(func() bool { return awaitView().StoreReachable }).WithTimeout(500 * time.Millisecond).Should(gomega.BeFalse())
	// The spare gets the seat of a lost host and follows the service from then
	// on.
	r.hosts[0].stop()
	r.g.Eventually(func() int64 {
		b := awaitView()
		if !b.StoreReachable || b.View == nil {
			return 0
		}
		return b.View.Revision
	}).WithTimeout(10 * time.Second).Should(gomega.Equal(int64(8)))
}

// A change must reach a listening gate at once, not with its next request.
func TestAChangeReachesListenersAtOnce(t *testing.T) {
	r := newVaultCluster(t, 1)
	r.registry.SetView(routesView(7))
	for _, h := range r.hosts {
		h.stop()
		r.start(h)
	}
	_, k := r.startListener(r.client)
	r.g.Eventually(func() int64 { return k.AppliedRevision("") }).WithTimeout(5 * time.Second).Should(gomega.Equal(int64(7)))
	r.registry.SetView(routesView(8))
	r.g.Eventually(func() int64 { return k.AppliedRevision("") }).WithTimeout(500 * time.Millisecond).Should(gomega.Equal(int64(8)))
}

// newProxiedClient returns a client that reaches the vaults through proxies,
// and a function that makes the proxies drop or pass the vaults' answers.
func (r *vaultCluster) newProxiedClient() (*vaultClient, func(drop bool)) {
	roster, _, err := r.registry.Roster(context.Background())
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	proxied := coord.New()
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
	original := r.registry
	r.registry = proxied
	b := r.newClient(1)
	r.registry = original
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	go b.connectLoop(ctx)
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

// A gate is cut off from all vaults while its connections stay open and silent.
// It must notice that soon and then fail at once, so that callers go to another
// gate, and notice when the vaults can be reached again.
func TestAGateCutOffFromTheVaultsFailsAtOnce(t *testing.T) {
	r := newVaultCluster(t, 1)
	b, silence := r.newProxiedClient()
	open := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_, err := b.openTurn(ctx, opening{hold: &chains.Hold{Program: "p", Turn: "t", MaxTokens: 1, Retention: time.Minute}, budget: 100})
		return err
	}
	r.g.Eventually(open).WithTimeout(5 * time.Second).Should(gomega.Succeed())
	r.g.Expect(b.cutOff()).To(gomega.BeFalse())
	silence(true)
	r.g.Expect(open()).To(gomega.HaveOccurred())
	r.g.Eventually(b.cutOff).WithTimeout(2 * time.Second).Should(gomega.BeTrue())
	started := time.Now()
	r.g.Expect(open()).To(gomega.HaveOccurred())
	r.g.Expect(time.Since(started)).To(gomega.BeNumerically("<", 100*time.Millisecond), "a quarter of the shortest aim's half second")
	silence(false)
	r.g.Eventually(b.cutOff).WithTimeout(3 * time.Second).Should(gomega.BeFalse())
	r.g.Eventually(open).WithTimeout(3 * time.Second).Should(gomega.Succeed())
}

// All vaults are unreachable for a moment while an answer ends. Its turn must
// be recorded once they are back, and only then may the answer end.
func TestAnEndedTurnIsKeptOnceTheVaultsAreBack(t *testing.T) {
	r := newVaultCluster(t, 1)
	b, silence := r.newProxiedClient()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r.g.Eventually(func() error { return b.recordTurn(ctx, newTurn("a", "")) }).Should(gomega.Succeed())
	silence(true)
	kept := make(chan error)
	go func() { kept <- b.recordTurn(ctx, newTurn("b", "a")) }()
	r.g.Eventually(b.cutOff).WithTimeout(2 * time.Second).Should(gomega.BeTrue())
	r.g.Consistently(kept, "100ms").ShouldNot(gomega.Receive())
	silence(false)
	r.g.Eventually(kept).WithTimeout(3 * time.Second).Should(gomega.Receive(gomega.Succeed()))
	chain, err := r.openTurn("b")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(ids(chain)).To(gomega.Equal([]string{"a", "b"}))
}

// A restarted gate has callers waiting. It must ask the key-value service at
// once if the vaults in its settings are not up yet.
func TestARestartedGateDoesNotWaitForVaults(t *testing.T) {
	g := gomega.NewWithT(t)
	a := coord.New()
	g.Expect(a.PutRoster(context.Background(), &seats.Roster{Version: 1, MaxLosses: 1, Seats: make([]seats.Seat, 3)}, 0)).To(gomega.Succeed())
	for _, fresh := range []bool{false, true} {
		s := &site.Site{Node: "gate", MaxLostHosts: 1, Memory: 1 << 20, FirstStart: fresh}
		b := newVaultClient(s, a, metrics.NewSet(), zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		v := (&Gate{vaults: b, log: zerolog.Nop()}).NewViewListener(&viewRecorder{})
		g.Expect(v.SkipPoll("routes")).To(gomega.Equal(fresh))
		go b.rosterLoop(ctx)
		known := func() int { return len(b.currentRoster().Seats) }
		if fresh {
			g.Consistently(known, "200ms").Should(gomega.BeZero(), "no caller waits, so the gate waits for the vaults")
		} else {
			g.Eventually(known, "200ms").Should(gomega.Equal(3))
		}
	}
}

// A chain that is not cached must be fetched from one vault at a time, so that
// its text is sent to the gate once.
func TestAChainIsFetchedOnce(t *testing.T) {
	r := newVaultCluster(t, 1)
	r.recordAt(newTurn("a", ""), 0, 1, 2)
	turns, _ := r.client.fetchTurns(context.Background(), r.client.currentRoster(), "a", "")
	r.g.Expect(turns).NotTo(gomega.BeEmpty())
	r.g.Expect(r.client.chainAnswers.Get()).To(gomega.Equal(uint64(1)))
	_, lacking := r.client.fetchTurns(context.Background(), r.client.currentRoster(), "none", "")
	r.g.Expect(lacking).To(gomega.Equal(3))
}
