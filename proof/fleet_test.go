package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"gopkg.in/ini.v1"

	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/examples"
	"github.com/cowslipstage/cowslipstage/standin/desk"
	"github.com/cowslipstage/cowslipstage/standin/engine"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

const (
	// shards is the number of shards of each deployment.
	shards = 6
	// leaseTime is how long a silent owner keeps its shards.
	leaseTime = time.Second
	// takeoverTarget bounds the time until the programs of a killed owner continue.
	takeoverTarget = leaseTime + 3*time.Second
	// leaveTarget bounds the time until a leaving endpoint gets no new calls.
	leaveTarget = 3 * time.Second
	// spreadTarget bounds the time until a configuration is in force on every node.
	spreadTarget = 2 * time.Second
)

// host is one node's process with its proxies.
type host struct {
	*process
	addr string
	// The node is reached through callerProxy and peerProxy, and reaches the store through
	// storeProxy.
	callerProxy *proxy
	peerProxy   *proxy
	storeProxy  *proxy
}

// endpoint is one engine or desk with the proxy in front of it.
type endpoint struct {
	*process
	kind  string
	addr  string
	proxy *proxy
}

// fleet is one deployment of real processes.
type fleet struct {
	folder       string
	proxies      *toxiproxy.ApiServer
	storeAddr    string
	hostListAddr string
	hosts        []*host
	endpoints    map[string]*endpoint
	recorder     *callRecorder
}

// options configure a fleet.
type options struct {
	nodes int
	// fencing makes the desks refuse old epochs, reportOutcomes lets nodes ask them for the
	// outcome of a call.
	fencing        bool
	reportOutcomes bool
	// latency is the duration of a desk's operations.
	latency string
	// editTicket changes the first ticket before it is applied.
	editTicket func(*ini.File)
}

// launch starts a fleet with the services of the example customer Brennecke and waits
// until it is ready.
func launch(o options) *fleet {
	f := &fleet{
		folder:    GinkgoT().TempDir(),
		proxies:   toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()),
		storeAddr: freeAddr(), hostListAddr: freeAddr(), endpoints: map[string]*endpoint{},
	}
	startProcess("keyval", "standin", "keyval", "--listen", f.storeAddr)
	startProcess("hosts", "standin", "hosts", "--listen", f.hostListAddr)
	Eventually(func() bool { return listening(f.storeAddr) && listening(f.hostListAddr) }, maxWait).Should(BeTrue())
	f.deployTicket(o)
	for i := range o.nodes {
		f.addHost(i)
	}
	f.recorder = newRecorder(f)
	f.awaitReady(f.hosts...)
	return f
}

// followReadiness sends the callers to the hosts that report that they are ready, as the
// platform's load balancer does, until the spec ends.
func (f *fleet) followReadiness() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	DeferCleanup(func() {
		cancel()
		<-done
	})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		for ctx.Err() == nil {
			var ready []string
			for _, h := range f.hosts {
				if getJSON("http://"+h.addr+"/readyz", nil) == http.StatusOK {
					ready = append(ready, h.callerProxy.addr())
				}
			}
			if len(ready) > 0 {
				f.recorder.client.Use(ready)
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}()
}

// deployTicket starts the endpoints of the example's first ticket and applies it with
// the addresses of their proxies.
func (f *fleet) deployTicket(o options) {
	text, err := examples.Files.ReadFile("brennecke/001-start.ini")
	Expect(err).NotTo(HaveOccurred())
	file, err := ini.Load(text)
	Expect(err).NotTo(HaveOccurred())
	for _, s := range file.Sections() {
		name, ok := strings.CutPrefix(s.Name(), "endpoint ")
		if !ok {
			continue
		}
		e := f.addEndpoint(name, s.Key("kind").String(), o)
		s.Key("addr").SetValue(e.proxy.addr())
		if e.kind == "desk" {
			s.Key("fencing").SetValue(fmt.Sprint(o.fencing))
			s.Key("tells").SetValue(fmt.Sprint(o.reportOutcomes))
		}
	}
	if o.editTicket != nil {
		o.editTicket(file)
	}
	var out bytes.Buffer
	_, err = file.WriteTo(&out)
	Expect(err).NotTo(HaveOccurred())
	f.applyTicket("001.ini", out.String(), f.storeAddr)
}

func (f *fleet) writeFile(name, text string) string {
	path := filepath.Join(f.folder, name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// applyTicket runs the ticket command to its end and returns its output.
func (f *fleet) applyTicket(name, text, storeAddr string) string {
	p := startProcess("ticket", "ticket", "apply", f.writeFile(name, text), "--store", storeAddr)
	Eventually(p.done, maxWait).Should(BeClosed())
	out := p.log.lastLines(100)
	Expect(p.cmd.ProcessState.ExitCode()).To(BeZero(), out)
	return out
}

const engineSettings = `[engine]
decode = 10ms
stream = 100us
prefill = 20000
slots = 16
lag = 100ms
`

func (f *fleet) addEndpoint(name, kind string, o options) *endpoint {
	e := &endpoint{kind: kind, addr: freeAddr()}
	args := []string{"standin", kind, "--listen", e.addr}
	if kind == "engine" {
		args = append(args, "--config", f.writeFile(name+".ini", engineSettings))
	}
	if kind == "desk" && o.fencing {
		args = append(args, "--fencing")
	}
	if kind == "desk" && o.latency != "" {
		args = append(args, "--latency", o.latency)
	}
	e.process = startProcess(name, args...)
	Eventually(func() bool { return listening(e.addr) }, maxWait).Should(BeTrue())
	e.proxy = f.addProxy(name, e.addr)
	f.endpoints[name] = e
	return e
}

const nodeSettings = `[node]
name = %s
centre = %s
listen = %s
link = %s
advertise = %s
notice = 300ms
grace = 15s
[store]
addr = %s
timeout = 500ms
lease = %s
[hosts]
addr = %s
poll = 200ms
[links]
secret = loopback
ping = 100ms
silence = 500ms
peers = %s
[policy]
load = 100ms
list = 500ms
quiet = 2s
[shards]
count = %d
`

func (f *fleet) addHost(i int) {
	name := fmt.Sprintf("node-%d", i+1)
	h := &host{addr: freeAddr()}
	link := freeAddr()
	h.callerProxy, h.peerProxy, h.storeProxy = f.addProxy(name+"-edge", h.addr), f.addProxy(name+"-link", link), f.addProxy(name+"-store", f.storeAddr)
	peers := "none"
	if i > 0 {
		peers = "node-1=" + f.hosts[0].peerProxy.addr()
	}
	text := fmt.Sprintf(nodeSettings, name, fmt.Sprintf("lakes-%c", 'a'+i%3), h.addr, link, h.peerProxy.addr(),
		h.storeProxy.addr(), leaseTime, f.hostListAddr, peers, shards)
	h.process = startProcess(name, "serve", "--config", f.writeFile(name+".ini", strings.Replace(text, "peers = none\n", "", 1)))
	f.hosts = append(f.hosts, h)
}

func (f *fleet) awaitReady(hosts ...*host) {
	for _, h := range hosts {
		Eventually(func() int { return getJSON("http://"+h.addr+"/readyz", nil) }, maxWait, "50ms").Should(Equal(http.StatusOK), h.dumpStacks)
	}
}

// getJSON fetches JSON and returns the status, or 0 without an answer.
func getJSON(url string, into any) int {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if into != nil && json.NewDecoder(response.Body).Decode(into) != nil {
		return 0
	}
	return response.StatusCode
}

func postJSON(url string, body any) {
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	response, err := http.Post(url, "application/json", bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	Expect(response.Body.Close()).To(Succeed())
	Expect(response.StatusCode).To(Equal(http.StatusOK))
}

// claimOf reads the claim of a program's shard from the store.
func (f *fleet) claimOf(program string) claim.Claim {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	key := fmt.Sprintf("claim/%04d", call.Shard(customer, program, shards))
	p, err := store.New(f.storeAddr, time.Second).Get(ctx, key)
	if err != nil {
		return claim.Claim{}
	}
	var c claim.Claim
	Expect(cbor.Unmarshal(p.Value, &c)).To(Succeed())
	return c
}

func (f *fleet) owner(program string) *host {
	var h *host
	Eventually(func() *host {
		name := f.claimOf(program).Node
		for _, x := range f.hosts {
			if x.name == name {
				h = x
			}
		}
		return h
	}, maxWait, "50ms").ShouldNot(BeNil(), "no node owns %s", program)
	return h
}

// otherHosts returns the hosts except the excluded ones.
func (f *fleet) otherHosts(excluded ...*host) []*host {
	var hosts []*host
next:
	for _, h := range f.hosts {
		for _, x := range excluded {
			if x == h {
				continue next
			}
		}
		hosts = append(hosts, h)
	}
	return hosts
}

func (f *fleet) engineLedgers() map[string][]engine.Entry {
	all := map[string][]engine.Entry{}
	for name, e := range f.endpoints {
		if e.kind == "engine" {
			var ledger []engine.Entry
			getJSON("http://"+e.addr+"/ledger", &ledger)
			all[name] = ledger
		}
	}
	return all
}

// countEffects returns how many effects with a key the desks have recorded.
func (f *fleet) countEffects(key string) int {
	n := 0
	for _, ledger := range f.deskLedgers() {
		for _, l := range ledger {
			if l.Key == key {
				n++
			}
		}
	}
	return n
}

func (f *fleet) deskLedgers() map[string][]desk.Entry {
	all := map[string][]desk.Entry{}
	for name, e := range f.endpoints {
		if e.kind == "desk" {
			var ledger []desk.Entry
			getJSON("http://"+e.addr+"/ledger", &ledger)
			all[name] = ledger
		}
	}
	return all
}

// heldTokens returns the tokens that the engines hold for a program.
func (f *fleet) heldTokens(program string) int {
	n := 0
	for _, e := range f.endpoints {
		if e.kind == "engine" {
			held := map[string]int{}
			getJSON("http://"+e.addr+"/cache", &held)
			n += held[customer+"/"+program]
		}
	}
	return n
}

// intentStored reports whether the store holds the intent of a program's booking: the
// first record that names it.
func (f *fleet) intentStored(program string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	prefix := fmt.Sprintf("journal/%04d/", call.Shard(customer, program, shards))
	pairs, err := store.New(f.storeAddr, time.Second).List(ctx, prefix, "", 0)
	if err != nil {
		return false
	}
	for _, p := range pairs {
		if bytes.Contains(p.Value, []byte(`{"yard":"north"}`)) {
			return true
		}
	}
	return false
}
