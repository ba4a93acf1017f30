package crowd

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

const (
	// vaultCount and maxLostHosts are those of the smallest deployment.
	vaultCount   = 3
	maxLostHosts = 1
	basePort     = 7380
	metricsPort  = 7395
	grace        = 8 * time.Second
	routeTimeout = 4 * time.Second
	// eventCount and eventPause are the events of a stream and the pause before each.
	eventCount = 3
	eventPause = 10 * time.Millisecond
	workTime   = 10 * time.Millisecond
	// longAnswer is the size of the answers to requests that ask for a long one.
	longAnswer = 900 << 10
)

// limits are the operators' bounds on callers. A body is shorter than on the users' deployments,
// so that a small crowd shows what is taken for each.
var limits = fake.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second}

// options describes a deployment.
type options struct {
	// gates is how many gates there are, 0 for one.
	gates int
	// gateMB and vaultMB are the memory of a gate and of a vault, gateFDs the descriptors of a gate.
	gateMB, vaultMB, gateFDs int
	diskMB                   int
	// engines is how many endpoints of model engines there are, 0 for two.
	engines int
	limits  fake.Limits
	// noConfig leaves the configuration out, noVaults the vaults.
	noConfig, noVaults bool
}

// system is a deployment of real gates and vaults with stand-ins for the rest.
type system struct {
	t             *testing.T
	folder        string
	options       options
	store         *fake.Keyval
	gates, vaults []*host
	// endpoints are the addresses of the engines and the plain services.
	endpoints []string
	// sent counts the requests.
	sent atomic.Int64
}

// host is one gate or vault.
type host struct {
	fake.Host
	*process
}

func (h *host) metrics() string { return net.JoinHostPort(h.IP, strconv.Itoa(metricsPort)) }
func (h *host) control() string { return net.JoinHostPort(h.IP, strconv.Itoa(basePort)) }

// relay is where a gate listens for other gates.
func (h *host) relay() string { return h.control() }

// deployments numbers the deployments of a run, which have IPs of their own.
var deployments atomic.Int64

// startSystem starts a deployment and waits until its gates are ready.
func startSystem(t *testing.T, o options) *system {
	needsCrowd(t)
	g := gomega.NewWithT(t)
	if o.limits == (fake.Limits{}) {
		o.limits = limits
	}
	s := &system{t: t, folder: t.TempDir(), options: o, store: fake.NewKeyval()}
	storeAddr := serveLocally(t, s.store)
	if !o.noConfig {
		s.configure()
	}
	engines := cmp.Or(o.engines, 2)
	for i := range engines + 2 {
		id, service, handler := fmt.Sprint("e", i), "engines", http.HandlerFunc(serveStream)
		if i >= engines {
			service, handler = "desks", servePlain
		}
		addr := serveLocally(t, tagged(id, handler))
		s.endpoints = append(s.endpoints, addr)
		s.store.Set(fake.EndpointEntry(id, service, addr, "a", false, 1))
	}
	n := deployments.Add(1)
	ip := func(i int) string { return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, n%250, 1+i) }
	base := fake.Host{
		Centre: "a", Centres: []string{"a"}, Port: basePort, Store: storeAddr, MaxLostHosts: maxLostHosts, FirstStart: true, Grace: grace, DiskMB: o.diskMB,
	}
	for i := range vaultCount {
		if o.noVaults {
			break
		}
		h := &host{Host: base}
		h.Name, h.IP, h.Data, h.MemoryMB = fmt.Sprint("vault-", i), ip(i), filepath.Join(s.folder, fmt.Sprint("vault-", i)), o.vaultMB
		g.Expect(os.MkdirAll(h.Data, 0o700)).To(gomega.Succeed())
		s.vaults = append(s.vaults, h)
		s.startHost(h, "vault")
	}
	for i := range max(1, o.gates) {
		h := &host{Host: base}
		h.Name, h.IP, h.MemoryMB, h.MaxFDs = fmt.Sprint("gate-", i), ip(100+i), o.gateMB, o.gateFDs
		h.Frontend, h.Ready = net.JoinHostPort(h.IP, strconv.Itoa(basePort+10)), net.JoinHostPort(h.IP, strconv.Itoa(basePort+11))
		for _, v := range s.vaults {
			h.Seeds = append(h.Seeds, v.control())
		}
		s.gates = append(s.gates, h)
		s.startHost(h, "gate")
	}
	if !o.noConfig && !o.noVaults {
		s.awaitService()
	}
	return s
}

// configure sends the operators' configuration.
func (s *system) configure() {
	s.store.Set(fake.ConfigKey, fake.Config{Version: 1, Timeout: routeTimeout, Retention: time.Minute, Limits: s.options.limits}.Encode())
}

func (s *system) startHost(h *host, role string) {
	g := gomega.NewWithT(s.t)
	path := filepath.Join(s.folder, h.Name+".json")
	g.Expect(os.WriteFile(path, h.Settings(), 0o600)).To(gomega.Succeed())
	h.process = startProcess(s.t, h.Name, h.MemoryMB, h.MaxFDs, role, "--settings", path, "--metrics", strconv.Itoa(metricsPort))
}

// awaitService waits until each gate is ready and has answered a request of each kind.
func (s *system) awaitService() {
	for _, h := range s.gates {
		gomega.NewWithT(s.t).Eventually(func() int { return status("http://" + h.Ready + fake.ReadyPath) }).WithTimeout(maxWait).
			Should(gomega.Equal(http.StatusOK), "%s is not ready", h.Name)
	}
	s.checkAnswers("before the crowd")
}

// awaitStatus waits until the first gate answers a request with a status.
func (s *system) awaitStatus(code int) {
	gomega.NewWithT(s.t).Eventually(func() int {
		got, _ := s.send(s.gates[0], http.MethodGet, fake.LookupPath, "", fake.Request{ID: s.nextID(), Timeout: routeTimeout})
		return got
	}).WithTimeout(maxWait).Should(gomega.Equal(code))
}

// stop asks a process to stop and expects it to end by itself within its grace period.
func (s *system) stop(h *host) {
	g := gomega.NewWithT(s.t)
	g.Expect(h.cmd.Process.Signal(syscall.SIGTERM)).To(gomega.Succeed())
	g.Eventually(h.ended).WithTimeout(grace).Should(gomega.BeClosed(), "%s does not end by itself", h.Name)
	g.Expect(h.cmd.ProcessState.Success()).To(gomega.BeTrue(), "%s ended with %s", h.Name, h.cmd.ProcessState)
}

// status returns the status of a GET on a new connection, 0 without an answer.
func status(url string) int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = a.Body.Close() // only the status matters
	return a.StatusCode
}

// check expects that all processes live within their bounds, and that ordinary requests are
// answered by each gate.
func (s *system) check(when string) {
	s.checkAnswers(when)
	for _, h := range append(append([]*host{}, s.gates...), s.vaults...) {
		h.check(s.t)
		if counts := h.refusals(); len(counts) > 0 {
			s.t.Logf("%s: %s", h.Name, strings.Join(counts, ", "))
		}
	}
}

// refusals returns the counts of clients that were refused or ended, as far as the process has any.
func (h *host) refusals() []string {
	const name = "cowslipstage_clients_refused_total"
	a, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + h.metrics() + "/metrics")
	if err != nil {
		return nil
	}
	defer func() { _ = a.Body.Close() }()
	text, _ := io.ReadAll(a.Body) // what is missing is not reported
	var counts []string
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok && !strings.HasSuffix(rest, " 0\n") {
			counts = append(counts, strings.TrimSpace(rest))
		}
	}
	return counts
}

// ordinaryInput is the body of an ordinary request.
const ordinaryInput = "an ordinary question\n"

// checkAnswers expects each gate to answer an ordinary request of each kind, and a turn that goes on
// from another. Requests that are refused are sent again.
func (s *system) checkAnswers(when string) {
	for _, h := range s.gates {
		program := s.nextID()
		for _, r := range []struct{ method, path, body string }{
			{http.MethodGet, fake.LookupPath, ""},
			{http.MethodPost, fake.OrderPath, ordinaryInput},
			{http.MethodPost, fake.UnkeptPath, ordinaryInput},
		} {
			s.checkAnswer(h, when, r.method, r.path, r.body, fake.Request{Program: program})
		}
		first := s.checkAnswer(h, when, http.MethodPost, fake.ConversationPath, ordinaryInput, turnOf(program, ""))
		s.checkAnswer(h, when, http.MethodPost, fake.ConversationPath, ordinaryInput, turnOf(program, first))
	}
}

// turnOf returns a turn of a program that continues another, "" for none.
func turnOf(program, previous string) fake.Request {
	const most = eventCount * fake.TokensPerEvent
	return fake.Request{Program: program, Previous: previous, Budget: 100 * most, PromptTokens: 100, MaxTokens: most}
}

// checkAnswer expects a request to be answered with 200, if need be after further attempts, and
// returns the ID of the one that was.
func (s *system) checkAnswer(h *host, when, method, path, body string, r fake.Request) string {
	var last string
	gomega.NewWithT(s.t).Eventually(func() int {
		var code int
		r.ID, r.Timeout = s.nextID(), routeTimeout
		code, last = s.send(h, method, path, body, r)
		return code
	}).WithTimeout(maxWait).WithPolling(200*time.Millisecond).Should(gomega.Equal(http.StatusOK), func() string {
		return fmt.Sprintf("%s %s at %s, %s: %s", method, path, h.Name, when, last)
	})
	return r.ID
}

func (s *system) nextID() string { return fmt.Sprintf("%016x", s.sent.Add(1)) }

// send sends a request on a new connection, and returns its status and the answer's text. The
// status is 0 if the answer is not whole.
func (s *system) send(h *host, method, path, body string, r fake.Request) (int, string) {
	q, err := http.NewRequest(method, "http://"+h.Frontend+path+"a", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	q.Host = fake.RouteHost
	r.SetHeaders(q.Header)
	client := http.Client{Timeout: 3 * routeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = a.Body.Close() }()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err.Error()
	}
	return a.StatusCode, string(text)
}

// serveLocally serves a stand-in until the test ends and returns its address.
func serveLocally(t *testing.T, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	s := &http.Server{Handler: h, ReadHeaderTimeout: maxWait}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// tagged runs the requests that are meant for an endpoint.
func tagged(id string, next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, meant := fake.ParseRequest(r.Header)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // it is incomplete and does not run
		}
		if meant != "" && meant != id {
			fake.SetNotRun(w.Header(), request)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		fake.SetAnswerHeaders(w.Header(), request, id)
		next(w, r)
	})
}

// longPath ends the path of requests that want a long answer.
const longPath = "long"

// unreadPath ends the path of requests that want an answer of unreadAnswer, more than is on its way to a
// caller that reads nothing over a narrow connection.
const (
	unreadPath   = "unread"
	unreadAnswer = 120 << 10
)

func servePlain(w http.ResponseWriter, r *http.Request) {
	time.Sleep(workTime)
	text := "done\n"
	if strings.HasSuffix(r.URL.Path, longPath) {
		text = strings.Repeat("x", longAnswer)
	}
	if strings.HasSuffix(r.URL.Path, unreadPath) {
		text = strings.Repeat("x", unreadAnswer)
	}
	_, _ = io.WriteString(w, text) // the caller may have left
}

func serveStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	data := "text"
	if strings.HasSuffix(r.URL.Path, longPath) {
		data = strings.Repeat("x", longAnswer/eventCount)
	}
	for n := range eventCount {
		time.Sleep(eventPause)
		if _, err := io.WriteString(w, fake.Event(n, data)); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}
