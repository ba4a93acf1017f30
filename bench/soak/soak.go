// Package soak runs real gates and vaults as processes on loopback against
// stand-ins of the platform, its endpoints and callers, lets things go wrong from
// outside, several at once, and holds the promises against what callers and
// endpoints see.
package soak

import (
	"context"
	"fmt"
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
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

const (
	// gateCount, vaultCount and losses are the smallest deployment of today.
	gateCount  = 3
	vaultCount = 3
	losses     = 1
	// engineCount and deskCount are the endpoints.
	engineCount = 4
	deskCount   = 2
	// port is the first of each process's ports; each has an IP of its own.
	port = 7380
	// startTime bounds the start of all; recoverTime is the users' bound on
	// recovery (12 s), also for a wiped disk to count again.
	startTime   = 20 * time.Second
	recoverTime = 12 * time.Second
	// graceTime is how long a process may take to stop (8 s).
	graceTime = 8 * time.Second
	// drainTime is how long an endpoint that leaves still works (2 s).
	drainTime = 2 * time.Second
	// calmTime is how long callers go on once the faults have ended.
	calmTime = time.Second
	// faultPause is the longest pause between the beginnings of two faults, and
	// faultMost the longest time that one lasts: several overlap.
	faultPause = 500 * time.Millisecond
	faultMost  = 2500 * time.Millisecond
	// routeTimeout is longer than callers wait.
	routeTimeout = 4 * time.Second
	// lastLines is how many lines of a caller are continued at the end.
	lastLines = 20
)

// Options say what to run.
type Options struct {
	Seed uint64
	For  time.Duration
	// Binary is the program under test, Folder where its data and logs go.
	Binary, Folder string
	Callers        int
}

// Report is what a run has shown.
type Report struct {
	Seed                    uint64
	Took                    time.Duration
	Served, Refused, Failed int
	// Faults counts them by kind.
	Faults map[string]int
	// Violations are the promises that did not hold; none should.
	Violations []string
}

// String is the report as one line.
func (r *Report) String() string {
	total := 0
	for _, n := range r.Faults {
		total += n
	}
	return fmt.Sprintf("seed %d: %.0f s, %d served, %d refused, %d failed, %d faults of %d kinds, %d promises broken",
		r.Seed, r.Took.Seconds(), r.Served, r.Refused, r.Failed, total, len(r.Faults), len(r.Violations))
}

// world is one deployment.
type world struct {
	options   Options
	ledger    *ledger
	store     *fake.Keyval
	gates     []*host
	vaults    []*host
	endpoints []*place
	// storeWays and endpointWays are the proxies that can be harmed.
	storeWays    []*toxiproxy.Proxy
	endpointWays []*toxiproxy.Proxy
	// wiping is held while a disk is lost or all vaults are down.
	wiping sync.Mutex

	mu      sync.Mutex
	version int
}

// place is an endpoint's place: its lives follow one another behind one proxy.
type place struct {
	endpoint
	service, centre, proxied string
	life                     int
	busy                     sync.Mutex
}

var centres = []string{"a", "b", "c"}

// Run starts everything, lets things go wrong for the given time, and ends all
// that it has started.
func Run(o Options) (*Report, error) {
	w := &world{options: o, ledger: newLedger(), store: fake.NewKeyval()}
	begun := time.Now()
	defer w.end()
	if err := w.begin(); err != nil {
		return nil, err
	}
	report := &Report{Seed: o.Seed, Faults: map[string]int{}}
	working, stop := context.WithCancel(context.Background())
	defer stop()
	lines := make(chan []*line, o.Callers)
	for i := range o.Callers {
		c := w.caller(fmt.Sprintf("s%d-c%d", o.Seed, i), uint64(i))
		go func() { lines <- c.run(working) }()
	}
	if err := w.harm(report.Faults); err != nil {
		return nil, err
	}
	time.Sleep(calmTime)
	stop()
	var all [][]*line
	for range o.Callers {
		all = append(all, <-lines)
	}
	w.finish(all)
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	report.Took = time.Since(begun)
	report.Served, report.Refused, report.Failed, report.Violations = w.ledger.served, w.ledger.refused, w.ledger.failed, w.ledger.broken
	return report, nil
}

// harm begins faults until the time is over and waits until all have ended.
func (w *world) harm(counts map[string]int) error {
	random := rand.New(rand.NewPCG(w.options.Seed, 1))
	end := time.Now().Add(w.options.For)
	var running sync.WaitGroup
	var failed error
	for n := uint64(2); time.Now().Before(end); n++ {
		f := faults[random.IntN(len(faults))]
		d := time.Duration(random.Int64N(int64(faultMost)))
		own := rand.New(rand.NewPCG(w.options.Seed, n))
		counts[f.name]++
		running.Go(func() {
			if err := f.do(w, own, d); err != nil {
				w.mu.Lock()
				defer w.mu.Unlock()
				failed = errors.CombineErrors(failed, errors.Wrap(err, f.name))
			}
		})
		time.Sleep(time.Duration(random.Int64N(int64(faultPause))))
	}
	running.Wait()
	return failed
}

// finish goes on from what was kept, once nothing goes wrong any more.
func (w *world) finish(all [][]*line) {
	ctx, cancel := context.WithTimeout(context.Background(), recoverTime)
	defer cancel()
	var running sync.WaitGroup
	for i, lines := range all {
		c := w.caller(fmt.Sprintf("s%d-f%d", w.options.Seed, i), uint64(1000+i))
		running.Go(func() {
			for n, l := range lines[max(0, len(lines)-lastLines):] {
				l.program = fmt.Sprintf("%s-%d", c.name, n) // a budget of its own
				if last := l.last; !c.turn(ctx, l) {
					w.ledger.stuck("nothing goes on from " + last)
				}
			}
		})
	}
	running.Wait()
}

func (w *world) caller(name string, n uint64) *caller {
	c := &caller{
		name: name, ledger: w.ledger, random: rand.New(rand.NewPCG(w.options.Seed, n<<32)),
		client: &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}},
	}
	for _, g := range w.gates {
		c.gates = append(c.gates, g.Frontend)
	}
	return c
}

// begin starts the deployment and waits until its gates are ready.
func (w *world) begin() error {
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	way := func(name, to string) (*toxiproxy.Proxy, error) {
		p := toxiproxy.NewProxy(server, name, "127.0.0.1:0", to)
		return p, p.Start()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "soak: the service")
	}
	go func() { _ = (&http.Server{Handler: w.store, ReadHeaderTimeout: readTime}).Serve(l) }() // ends with this process
	w.configure()
	for i := range engineCount + deskCount {
		p := &place{service: "engines", centre: centres[i%len(centres)]}
		if i >= engineCount {
			p.service = "desks"
		}
		p.ledger, p.addr = w.ledger, "127.0.0.1:0"
		if err := p.begin(p.lifeName(i)); err != nil {
			return errors.Wrap(err, "soak: endpoint")
		}
		proxy, err := way(fmt.Sprint("endpoint-", i), p.addr)
		if err != nil {
			return errors.Wrap(err, "soak: way to an endpoint")
		}
		p.proxied = proxy.Listen
		w.endpoints, w.endpointWays = append(w.endpoints, p), append(w.endpointWays, proxy)
		w.store.Set(fake.EndpointEntry(p.name(), p.service, p.proxied, p.centre, false, 1))
	}
	for i := range vaultCount + gateCount {
		proxy, err := way(fmt.Sprint("store-", i), l.Addr().String())
		if err != nil {
			return errors.Wrap(err, "soak: way to the service")
		}
		w.storeWays = append(w.storeWays, proxy)
		if err := w.host(i, proxy.Listen); err != nil {
			return err
		}
	}
	return w.ready()
}

// host starts the i-th process; vaults come first.
func (w *world) host(i int, store string) error {
	// The IPs of runs side by side differ.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, w.options.Seed%250, 1+i)
	h := &host{binary: w.options.Binary, folder: w.options.Folder, role: "vault"}
	h.Host = fake.Host{
		Name: fmt.Sprint("vault-", i), IP: ip, Centre: centres[i%len(centres)], Centres: centres, Port: port,
		Store: store, MaxLostHosts: losses, FirstStart: true, Grace: graceTime,
	}
	if i < vaultCount {
		h.Data = filepath.Join(w.options.Folder, h.Name)
		if err := os.MkdirAll(h.Data, 0o700); err != nil {
			return errors.Wrap(err, "soak: data folder")
		}
	} else {
		h.Name, h.role = fmt.Sprint("gate-", i), "gate"
		h.Frontend, h.Ready = net.JoinHostPort(ip, strconv.Itoa(port+1)), net.JoinHostPort(ip, strconv.Itoa(port+2))
		for _, v := range w.vaults {
			h.Seeds = append(h.Seeds, net.JoinHostPort(v.IP, strconv.Itoa(port)))
		}
	}
	var err error
	if h.log, err = os.Create(filepath.Join(w.options.Folder, h.Name+".log")); err != nil {
		return errors.Wrap(err, "soak: log")
	}
	if h.role == "vault" {
		w.vaults = append(w.vaults, h)
	} else {
		w.gates = append(w.gates, h)
	}
	return h.start()
}

func (w *world) ready() error {
	end := time.Now().Add(startTime)
	for _, g := range w.gates {
		for !isReady("http://" + g.Ready + fake.ReadyPath) {
			if time.Now().After(end) {
				return errors.Newf("soak: %s is not ready after %s", g.Name, startTime)
			}
			time.Sleep(restartPause / 4)
		}
	}
	for _, v := range w.vaults {
		if err := w.caughtUp(v); err != nil {
			return err
		}
	}
	return nil
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

// caughtUp waits until a vault says in its last life that it counts as a copy. If
// it does not within the bound, a promise is broken.
func (w *world) caughtUp(h *host) error {
	end := time.Now().Add(2 * recoverTime)
	for {
		data, err := os.ReadFile(h.log.Name())
		if err != nil {
			return errors.Wrap(err, "soak: log")
		}
		if strings.Contains(string(data[h.lifeFrom():]), "counts as a copy") {
			return nil
		}
		if time.Now().After(end) {
			w.ledger.stuck(h.Name + " does not count as a copy again")
			return nil
		}
		time.Sleep(restartPause / 2)
	}
}

// configure makes the next version of the configuration known.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.store.Set(fake.ConfigKey, fake.Configuration(w.version, routeTimeout, w.options.For+time.Minute))
}

func (p *place) lifeName(i int) string {
	p.life++
	return fmt.Sprintf("e%d-%d", i, p.life)
}

// relive ends an endpoint's life, with notice or without, and begins the next.
func (w *world) relive(i int, d time.Duration, notice bool) error {
	p := w.endpoints[i]
	if !p.busy.TryLock() {
		return nil
	}
	defer p.busy.Unlock()
	old := p.name()
	key, leaving := fake.EndpointEntry(old, p.service, p.proxied, p.centre, true, 2)
	if notice {
		w.store.Set(key, leaving)
		time.Sleep(drainTime)
	}
	p.end()
	w.store.Set(key, "")
	time.Sleep(d)
	if err := p.begin(p.lifeName(i)); err != nil {
		return err
	}
	w.store.Set(fake.EndpointEntry(p.name(), p.service, p.proxied, p.centre, false, 1))
	return nil
}

// end ends what was started, by its id.
func (w *world) end() {
	for _, h := range slices.Concat(w.gates, w.vaults) {
		if h.cmd != nil {
			h.kill()
		}
	}
	for _, p := range slices.Concat(w.storeWays, w.endpointWays) {
		p.Stop()
	}
	for _, p := range w.endpoints {
		p.end()
	}
}
