// Package soak runs real gates and vaults as processes on loopback, with stand-ins
// for the platform, the endpoints and the callers. It injects overlapping faults and
// checks the system's promises against the requests and runs that callers and
// endpoints observe.
package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/platform"
	"github.com/cowslipstage/cowslipstage/platform/fake"
)

const (
	// gateCount is the number of gates of the smallest supported deployment.
	gateCount = 3
	// engineCount and deskCount are the numbers of endpoints.
	engineCount = 4
	deskCount   = 2
	// basePort is the first port of each process. Each process has its own IP.
	basePort = 7380
	// startTimeout bounds the start of the deployment. recoveryTimeout is the promised
	// bound on recovery (12 s). It also applies to a vault whose disk was wiped.
	startTimeout    = 20 * time.Second
	recoveryTimeout = 12 * time.Second
	// stopGrace bounds a graceful stop of a process (8 s).
	stopGrace = 8 * time.Second
	// drainTime is how long a leaving endpoint still runs calls (2 s).
	drainTime = 2 * time.Second
	// calmDuration is how long callers continue after the last fault has ended.
	calmDuration = time.Second
	// maxFaultPause bounds the pause between the starts of two faults, and
	// maxFaultDuration the duration of a fault. It is longer, so that faults overlap.
	maxFaultPause    = 500 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
	// routeTimeout is longer than requestTimeout, so that callers give up first.
	routeTimeout = 4 * time.Second
	// maxContinuedChains bounds the chains of each caller that are continued at the end.
	maxContinuedChains = 20
)

// Options configures a run.
type Options struct {
	Seed uint64
	For  time.Duration
	// Binary is the path of the program under test. Folder receives its data and logs.
	Binary, Folder string
	// Before is the path of the build before, with which all hosts start and from which they
	// are upgraded one after the other; "" for a run with one build.
	Before  string
	Callers int
	// Quotas has the hot customer's quota set and checked.
	Quotas bool
	// Planned leaves only what operators do themselves, which no caller may notice. Requests
	// take up to seconds, and some programs pause for nearly as long as a turn is kept.
	Planned bool
	// Crowds adds clients that don't behave to the faults.
	Crowds bool
	// Pauses lets all programs pause like that, in any run.
	Pauses bool
	// Losses is how many disks may be lost at once, 0 for one. Spares is how many vaults have no seat at
	// first. With spares, seats change hands, and holders are away until theirs are taken.
	Losses, Spares int
}

// losses returns how many disks may be lost at once.
func (o Options) losses() int { return max(1, o.Losses) }

// vaultCount returns the number of vaults.
func (o Options) vaultCount() int { return seats.TargetCount(o.losses()) + o.Spares }

// Report is the result of a run.
type Report struct {
	Seed                    uint64
	Took                    time.Duration
	Served, Refused, Failed int
	// Unauthorized counts answers of 401, Stopped the programs without end that their
	// budget stopped.
	Unauthorized, Stopped int
	// Faults counts the injected faults by name.
	Faults map[string]int
	// Violations describes the broken promises. A correct system has none.
	Violations []string
}

// String returns the report as one line.
func (r *Report) String() string {
	total := 0
	for _, n := range r.Faults {
		total += n
	}
	return fmt.Sprintf("seed %d: %.0f s, %d served, %d refused, %d of them 401, %d programs stopped by 402, %d failed, %d faults and events of %d kinds, %d promises broken",
		r.Seed, r.Took.Seconds(), r.Served, r.Refused, r.Unauthorized, r.Stopped, r.Failed, total, len(r.Faults), len(r.Violations))
}

// deployment is the system under test with its stand-ins.
type deployment struct {
	options Options
	ledger  *ledger
	store   *fake.Keyval
	// registry is how this package reads the roster of the vaults' seats.
	registry *platform.Registry
	outages  *outages
	// keys is nil if requests need no key, as while hosts run the build before, which
	// knows no customers.
	keys      *keyring
	gates     []*host
	vaults    []*host
	endpoints []*managedEndpoint
	// storeProxies and endpointProxies are the proxies to which toxics are applied.
	storeProxies    []*toxiproxy.Proxy
	endpointProxies []*toxiproxy.Proxy
	// vaultLoss is held while the data of a vault is lost or all vaults are down, so
	// that no more vaults are lost at once than the deployment tolerates.
	vaultLoss sync.Mutex

	// endpointLeaves is held while an endpoint leaves by plan.
	endpointLeaves sync.Mutex

	// customersLock is held while the customers in the configuration change.
	customersLock sync.Mutex

	mu      sync.Mutex
	version int
}

// managedEndpoint is an endpoint behind a proxy whose incarnations are replaced by faults.
type managedEndpoint struct {
	endpoint
	service, centre, proxyAddr string
	// incarnation counts the incarnations started so far.
	incarnation int
	// faultLock is held while a fault replaces the endpoint.
	faultLock sync.Mutex
}

var centres = []string{"a", "b", "c"}

// Run starts a deployment and callers, injects faults for the given time, checks
// recovery, and stops everything that it has started.
func Run(o Options) (*Report, error) {
	if o.Quotas && o.Before != "" {
		return nil, errors.New("soak: the build before knows no quotas")
	}
	dp := newDeployment(o)
	begun := time.Now()
	defer dp.stop()
	if err := dp.start(); err != nil {
		return nil, err
	}
	report := &Report{Seed: o.Seed, Faults: map[string]int{}}
	callersCtx, stopCallers := context.WithCancel(context.Background())
	defer stopCallers()
	results := make([]ended, o.Callers)
	var callers, customers sync.WaitGroup
	for i := range o.Callers {
		c := dp.newCaller(fmt.Sprintf("s%d-c%d", o.Seed, i), uint64(i), i)
		if o.Planned && i%2 == 0 || o.Pauses {
			c.maxPause = maxTurnPause
		}
		callers.Go(func() { results[i] = ended{c.run(callersCtx), c.stopped} })
	}
	eventsCtx, stopEvents := context.WithCancel(callersCtx)
	defer stopEvents()
	var eventCounts map[string]int
	customers.Go(func() { eventCounts = dp.playEvents(eventsCtx) })
	if err := dp.injectFaults(report.Faults); err != nil {
		return nil, err
	}
	stopEvents()
	time.Sleep(calmDuration)
	stopCallers()
	callers.Wait()
	customers.Wait()
	maps.Copy(report.Faults, eventCounts)
	if err := errors.CombineErrors(dp.checkEnd(results), dp.checkMemory()); err != nil {
		return nil, err
	}
	dp.ledger.mu.Lock()
	defer dp.ledger.mu.Unlock()
	report.Took = time.Since(begun)
	report.Served, report.Refused, report.Failed, report.Violations = dp.ledger.served, dp.ledger.refused, dp.ledger.failed, dp.ledger.violations
	report.Unauthorized, report.Stopped = dp.ledger.unauthorized, dp.ledger.stopped
	return report, nil
}

// newDeployment returns a deployment that has not been started.
func newDeployment(o Options) *deployment {
	dp := &deployment{options: o, ledger: newLedger(), store: fake.NewKeyval(), outages: newOutages()}
	dp.ledger.planned = o.Planned
	if o.Before == "" {
		dp.keys = newKeyring(dp.outages)
	}
	if o.Quotas {
		dp.keys.setQuota(hotRate, hotBurst)
		dp.ledger.quotas = &quotas{customer: dp.keys.customers[0].name, changes: []limitChange{{time.Now(), hotRate, hotBurst}}}
	}
	return dp
}

// injectFaults starts faults until the time is over and waits until all have ended.
func (dp *deployment) injectFaults(counts map[string]int) error {
	random := rand.New(rand.NewPCG(dp.options.Seed, 1))
	end := time.Now().Add(dp.options.For)
	var running sync.WaitGroup
	var failed error
	upgraded := make(chan error, 1)
	if dp.options.Before == "" {
		upgraded <- nil
	} else {
		go func() { upgraded <- dp.upgrade(dp.options.Seed) }()
	}
	played := dp.playedFaults()
	for n := uint64(2); time.Now().Before(end); n++ {
		f := played[random.IntN(len(played))]
		d := time.Duration(random.Int64N(int64(maxFaultDuration)))
		faultRandom := rand.New(rand.NewPCG(dp.options.Seed, n))
		counts[f.name]++
		running.Go(func() {
			if err := f.run(dp, faultRandom, d); err != nil {
				dp.mu.Lock()
				defer dp.mu.Unlock()
				failed = errors.CombineErrors(failed, errors.Wrap(err, f.name))
			}
		})
		time.Sleep(time.Duration(random.Int64N(int64(maxFaultPause))))
	}
	running.Wait()
	return errors.CombineErrors(failed, <-upgraded)
}

// newCaller returns a caller with a random stream of its own, selected by n, and an agent
// for it. Both belong to the i-th customer.
func (dp *deployment) newCaller(name string, n uint64, i int) *caller {
	c := dp.newAgent(name, n, i)
	c.agent = dp.newAgent(name+"a", n+agentStream, i)
	return c
}

// agentStream is the distance between the random streams of a caller and of its agent.
const agentStream = 1 << 24

func (dp *deployment) newAgent(name string, n uint64, i int) *caller {
	c := &caller{
		name: name, ledger: dp.ledger, random: rand.New(rand.NewPCG(dp.options.Seed, n<<32)),
		extra: rand.New(rand.NewPCG(dp.options.Seed, n<<32|1)), keys: dp.keys,
		client: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}},
	}
	for _, g := range dp.gates {
		c.gates = append(c.gates, g.Frontend)
	}
	if dp.keys != nil {
		c.customer = dp.keys.customers[i%customerCount]
	}
	return c
}

// start starts the deployment and waits until its gates and vaults are ready.
func (dp *deployment) start() error {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	newProxy := func(name, to string) (*toxiproxy.Proxy, error) {
		p := toxiproxy.NewProxy(server, name, "127.0.0.1:0", to)
		return p, p.Start()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "soak: the service")
	}
	go func() { _ = (&http.Server{Handler: dp.store, ReadHeaderTimeout: headerTimeout}).Serve(l) }() // serves until this process exits
	dp.registry = platform.NewRegistry(platform.NewStore(l.Addr().String(), metrics.NewSet()))
	dp.configure()
	for i := range engineCount + deskCount {
		p := &managedEndpoint{service: "engines", centre: centres[i%len(centres)]}
		if i >= engineCount {
			p.service = "desks"
		}
		p.ledger, p.addr = dp.ledger, "127.0.0.1:0"
		p.slow.Store(dp.options.Planned)
		if err := p.start(p.nextName(i)); err != nil {
			return errors.Wrap(err, "soak: endpoint")
		}
		proxy, err := newProxy(fmt.Sprint("endpoint-", i), p.addr)
		if err != nil {
			return errors.Wrap(err, "soak: way to an endpoint")
		}
		p.proxyAddr = proxy.Listen
		dp.endpoints, dp.endpointProxies = append(dp.endpoints, p), append(dp.endpointProxies, proxy)
		dp.store.Set(fake.EndpointEntry(p.name(), p.service, p.proxyAddr, p.centre, false, 1))
	}
	for i := range dp.options.vaultCount() + gateCount {
		proxy, err := newProxy(fmt.Sprint("store-", i), l.Addr().String())
		if err != nil {
			return errors.Wrap(err, "soak: way to the service")
		}
		dp.storeProxies = append(dp.storeProxies, proxy)
		if err := dp.startHost(i, proxy.Listen); err != nil {
			return err
		}
	}
	return dp.waitReady()
}

// startHost starts the i-th process. Vaults are started before gates.
func (dp *deployment) startHost(i int, store string) error {
	// Concurrent runs use different IPs.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, dp.options.Seed%250, 1+i)
	h := &host{binary: dp.options.Binary, folder: dp.options.Folder, role: "vault"}
	if dp.options.Before != "" {
		h.binary = dp.options.Before
	}
	h.Host = fake.Host{
		Name: fmt.Sprint("vault-", i), IP: ip, Centre: centres[i%len(centres)], Centres: centres, Port: basePort,
		Store: store, MaxLostHosts: dp.options.losses(), FirstStart: true, Grace: stopGrace,
	}
	if i < dp.options.vaultCount() {
		h.Data = filepath.Join(dp.options.Folder, h.Name)
		if err := os.MkdirAll(h.Data, 0o700); err != nil {
			return errors.Wrap(err, "soak: data folder")
		}
	} else {
		h.Name, h.role = fmt.Sprint("gate-", i), "gate"
		h.Frontend, h.Ready = net.JoinHostPort(ip, strconv.Itoa(basePort+1)), net.JoinHostPort(ip, strconv.Itoa(basePort+2))
		for _, v := range dp.vaults {
			h.Seeds = append(h.Seeds, net.JoinHostPort(v.IP, strconv.Itoa(basePort)))
		}
	}
	var err error
	if h.log, err = os.Create(filepath.Join(dp.options.Folder, h.Name+".log")); err != nil {
		return errors.Wrap(err, "soak: log")
	}
	if h.role == "vault" {
		dp.vaults = append(dp.vaults, h)
	} else {
		dp.gates = append(dp.gates, h)
	}
	return h.start()
}

// waitReady waits until all gates are ready and all vaults count as copies.
func (dp *deployment) waitReady() error {
	end := time.Now().Add(startTimeout)
	for _, g := range dp.gates {
		for !isReady("http://" + g.Ready + fake.ReadyPath) {
			if time.Now().After(end) {
				return errors.Newf("soak: %s is not ready after %s", g.Name, startTimeout)
			}
			time.Sleep(restartPause / 4)
		}
	}
	return dp.waitSeats()
}

func isReady(url string) bool {
	client := http.Client{Timeout: time.Second}
	a, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = a.Body.Close() // only the status matters
	return a.StatusCode == http.StatusOK
}

// waitLogged waits until a process has logged a text in its current incarnation. If it
// does not in time, a violation is recorded.
func (dp *deployment) waitLogged(h *host, text, violation string) error {
	end := time.Now().Add(2 * recoveryTimeout)
	for {
		data, err := os.ReadFile(h.log.Name())
		if err != nil {
			return errors.Wrap(err, "soak: log")
		}
		if strings.Contains(string(data[h.incarnationStart():]), text) {
			return nil
		}
		if time.Now().After(end) {
			dp.ledger.recordNotRecovered(h.Name + " " + violation)
			return nil
		}
		time.Sleep(restartPause / 2)
	}
}

// configure publishes the next version of the configuration.
func (dp *deployment) configure() {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	dp.version++
	config := fake.Config{Version: dp.version, Timeout: routeTimeout, Retention: dp.options.For + time.Minute}
	if dp.options.Planned || dp.options.Pauses {
		config.Retention = shortRetention
	}
	if dp.keys != nil {
		config.Customers = dp.keys.config()
	}
	dp.store.Set(fake.ConfigKey, config.Encode())
}

// nextName returns the name of the next incarnation of the i-th endpoint.
func (p *managedEndpoint) nextName(i int) string {
	p.incarnation++
	return fmt.Sprintf("e%d-%d", i, p.incarnation)
}

// replaceEndpoint stops an endpoint, after it was announced as leaving if notice is
// set, and starts its next incarnation after d.
func (dp *deployment) replaceEndpoint(i int, d time.Duration, notice bool) error {
	p := dp.endpoints[i]
	if !p.faultLock.TryLock() {
		return nil
	}
	defer p.faultLock.Unlock()
	oldName := p.name()
	key, leaving := fake.EndpointEntry(oldName, p.service, p.proxyAddr, p.centre, true, 2)
	if notice {
		dp.store.Set(key, leaving)
		time.Sleep(dp.drainTime())
	}
	p.crash()
	dp.store.Set(key, "")
	time.Sleep(d)
	if err := p.start(p.nextName(i)); err != nil {
		return err
	}
	dp.store.Set(fake.EndpointEntry(p.name(), p.service, p.proxyAddr, p.centre, false, 1))
	return nil
}

// stop stops everything that was started.
func (dp *deployment) stop() {
	for _, h := range slices.Concat(dp.gates, dp.vaults) {
		if h.cmd != nil {
			h.kill()
		}
	}
	for _, p := range slices.Concat(dp.storeProxies, dp.endpointProxies) {
		p.Stop()
	}
	for _, p := range dp.endpoints {
		p.crash()
	}
}
