// Package node wires the layers of one entry host together: edge, links,
// control state, journals, claims and configuration.
package node

import (
	"context"
	"crypto/tls"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"

	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/coordination/lease"
	"github.com/cowslipstage/cowslipstage/coordination/member"
	"github.com/cowslipstage/cowslipstage/coordination/queue"
	"github.com/cowslipstage/cowslipstage/coordination/route"
	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/setup"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/state/memory"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/transport/dialer"
	"github.com/cowslipstage/cowslipstage/transport/edge"
	"github.com/cowslipstage/cowslipstage/transport/holder"
	"github.com/cowslipstage/cowslipstage/transport/intake"
	"github.com/cowslipstage/cowslipstage/transport/jrnl"
	"github.com/cowslipstage/cowslipstage/transport/keys"
	"github.com/cowslipstage/cowslipstage/transport/links"
	"github.com/cowslipstage/cowslipstage/transport/store"
	"github.com/cowslipstage/cowslipstage/transport/window"
)

// Node is one running entry host.
type Node struct {
	settings *setup.Settings
	log      zerolog.Logger
	store    *store.Client
	links    *links.Links
	keys     *keys.Keys
	edge     *edge.Edge
	limits   *limits
	observer *observer
	dialer   *dialer.Dialer
	core     *core.Core
	metrics  *metrics.Set
	router   *message.Router
	servers  []*intake.Server
	// writeLimiter bounds the write rate of all journals of the node together.
	writeLimiter *rate.Limiter
	// abandon is closed when the operator ends a planned stop early.
	abandon chan struct{}
	// listeners holds the listeners, by address, that were opened before Run.
	listeners map[string]net.Listener
	wait      sync.WaitGroup
	// mailbox feeds the control goroutine, the only one that touches core.
	mailbox chan core.Event
	// wake makes the claims loop read the store.
	wake chan struct{}
	// view holds which nodes and endpoints are known, and their states.
	view *member.View
	// loads is the endpoint load that nodes report to each other.
	loads *loadTable
	// start increases with each start of the node's process.
	start uint64

	// files guards the data folder.
	files sync.Mutex

	mu sync.Mutex
	// owners holds the newest known owner of each shard. Epochs never decrease.
	owners map[int]ownership
	// journals holds the open journals of owned shards.
	journals map[int]*openJournal
	config   *config.Config
	// revisions holds the configuration revision in force at each other node.
	revisions map[string]uint64
	// fetchWake wakes the loop that fetches the configuration from a peer.
	fetchWake chan struct{}
	// configApplied tells that loop that a newer configuration is in force.
	configApplied chan struct{}
	// unavailable holds the hosts that are not live in the host list that this
	// node read, or nil while it does not read the list.
	unavailable map[string]string
	// departing holds the names that get no new calls, as last sent to the
	// core.
	departing []string
	// ready reports whether the node can serve new callers.
	ready    bool
	draining bool
	// knownHosts holds what is known about each host, by name.
	knownHosts map[string]hostState
	// shardsMoved reports whether a shard was taken or handed over since
	// reannounceMoved last ran.
	shardsMoved bool
	// handOver is the last shard handed over to balance the load.
	handOver handOver
	// leasesReadAt is when the leases were last read from the store.
	leasesReadAt time.Time
	// liveness decides from received messages which hosts are alive.
	liveness *lease.Detector
	// lease is the node's own lease in the store.
	lease *lease.Lease
	// opening holds the journals that are being opened.
	opening map[int]*jrnl.Journal
	// holder holds the journal batches that this node stores as a standby of
	// other owners.
	holder *holder.Holder
	// taking marks the shards that this node is taking.
	taking map[int]bool
}

// ownership is a shard's owner and epoch. An empty node means that the shard
// was handed over.
type ownership struct {
	node  string
	epoch uint64
}

// openJournal is the journal of a shard that this node owns.
type openJournal struct {
	journal *jrnl.Journal
	epoch   uint64
	// standbys are those last passed to the journal.
	standbys []claim.Standby
	cancel   context.CancelFunc
}

const (
	// callerHeartbeat is the time between two heartbeats sent to a waiting
	// caller.
	callerHeartbeat = 5 * time.Second
	// callerWriteTimeout bounds one write to a caller.
	callerWriteTimeout = 10 * time.Second
	// keepAliveInterval is the time between two probes of an idle caller
	// connection. The connection is closed after keepAliveCount unanswered
	// probes.
	keepAliveInterval = 5 * time.Second
	keepAliveCount    = 3
	// flushTimeout bounds how long a stopping node waits for its last answers
	// to be written.
	flushTimeout = 5 * time.Second
	// clientShare is the part of the memory that is for callers.
	clientShare = 0.25
	// keptShare is the part of the memory, without what the node takes itself, that programs may take.
	keptShare = 0.3
	ownBytes  = 32 << 20
	// peerBytes and peerConns bound what is held for the connections of other nodes.
	peerBytes = 24 << 20
	peerConns = 1024
)

// mailboxLength bounds the events that wait for the control goroutine.
const mailboxLength = 65536

const (
	// suspectTimeout is how long a silent node stays suspect, and is still
	// dialled, before it counts as gone. It must be longer than network
	// partitions between regions, because nodes that consider each other gone
	// find each other again only through the store.
	suspectTimeout = time.Hour
	// refusalTimeout is how long an endpoint's refusal counts unless it is
	// repeated.
	refusalTimeout = 30 * time.Second
)

// New returns a node that does nothing until Run.
func New(s *setup.Settings, log zerolog.Logger) *Node {
	n := &Node{
		settings:     s,
		log:          log.With().Str("node", s.Node.Name).Logger(),
		store:        store.New(s.Store.Addr, s.Store.Timeout),
		metrics:      metrics.NewSet(),
		mailbox:      make(chan core.Event, mailboxLength),
		listeners:    map[string]net.Listener{},
		writeLimiter: rate.NewLimiter(rate.Limit(s.Store.WriteLimit), max(1, s.Store.WriteLimit)),
		abandon:      make(chan struct{}),
		owners:       map[int]ownership{},
		journals:     map[int]*openJournal{},
		config:       config.New(),
		knownHosts:   map[string]hostState{},
		liveness:     lease.NewDetector(time.Now(), s.Store.Lease),
		lease:        lease.New(s.Store.Lease),
		taking:       map[int]bool{},
		opening:      map[int]*jrnl.Journal{},
		holder:       holder.NewInMemory(s.Shards.StandbyBytes),
		wake:         make(chan struct{}, 1),
		loads:        newLoadTable(),
		start:        uint64(time.Now().UnixNano()),

		revisions:     map[string]uint64{},
		fetchWake:     make(chan struct{}, 1),
		configApplied: make(chan struct{}, 1),
		limits:        newLimits(),
		observer:      newObserver(s.Node.Name, log),
	}
	n.metrics.GetOrCreateGauge("hosts_departing", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		return float64(len(n.departing))
	})
	n.metrics.GetOrCreateGauge("shards_owned", func() float64 { return float64(n.ownedCount()) })
	n.metrics.GetOrCreateGauge("config_revision", func() float64 { return float64(n.currentConfig().Revision) })
	n.core = core.New(core.Options{
		Shards: s.Shards.Count, Queue: queue.Policy(s.Policy.Queue),
		Route: route.Policy(s.Policy.Route), Seed: s.Policy.Seed,
		Hedge: s.Policy.Hedge, CopyCache: s.Policy.CopyCache, KeepMemory: !s.Policy.Release,
		AnswerRetention: s.Shards.AnswerRetention, KeyRetention: s.Shards.KeyRetention, CacheWeight: s.Policy.CacheWeight,
		KeptBytes: keptBytes(s.Node.Memory),
	})
	n.view = member.New(member.Options{
		Self: s.Node.Name, LinkTimeout: s.Links.SilenceTimeout, LeaseTimeout: s.Store.Lease,
		SuspectTimeout: suspectTimeout, RefusalTimeout: refusalTimeout,
	})
	n.keys = keys.New(keys.Options{
		Secret: s.Links.Secret, SecretsFile: s.Links.Secrets, CertFile: s.Links.Cert, KeyFile: s.Links.Key, CAFile: s.Links.CA,
	}, n.log)
	n.links = links.New(links.Options{
		Node: s.Node.Name, Centre: s.Node.Centre, Keys: n.keys, Metrics: n.metrics,
		PingInterval: s.Links.PingInterval, SilenceTimeout: s.Links.SilenceTimeout, MaxFrameBytes: s.Links.MaxFrameBytes,
	}, n.log)
	n.dialer = dialer.New(dialer.Options{IdleTimeout: s.Policy.StreamTimeout}, n.emit)
	n.edge = edge.New(edge.Options{
		ResendAfter: s.Links.SilenceTimeout / 2, MaxBody: s.Node.MaxBodyBytes, DefaultTimeout: time.Minute,
		KeepaliveInterval: callerHeartbeat, WriteTimeout: callerWriteTimeout, Config: n.currentConfig, Admit: n.admit,
		Observe: n.recordCall,
	}, backend{n}, n.log)
	return n
}

// emit hands an event to the control goroutine. It blocks while the mailbox is
// full.
func (n *Node) emit(e core.Event) {
	switch f := e.(type) {
	case core.AttemptFinished:
		n.loads.endAttempt(f.Attempt)
	case core.AttemptFailed:
		n.noteFailure(f, n.loads.endAttempt(f.Attempt))
	}
	n.mailbox <- e
}

// Run serves until ctx ends, then stops gracefully within the grace period.
func (n *Node) Run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := n.keys.Load(); err != nil {
		return err
	}
	var err error
	if n.holder, err = holder.New(n.settings.Node.Data, n.settings.Shards.StandbyBytes); err != nil {
		return err
	}
	n.loadConfig()
	if err := n.listen(); err != nil {
		return err
	}
	if err := n.subscribePeers(workCtx); err != nil {
		return err
	}
	for _, f := range []func(context.Context){
		n.runControl, n.runTicks, n.runClaims, n.runGossip, n.watchConfig, n.fetchConfig, n.pollLoads, n.readHostList, n.followEngines, n.runAlerts,
	} {
		n.wait.Go(func() { f(workCtx) })
	}
	<-ctx.Done()
	n.drain()
	cancel()
	n.close()
	return nil
}

func (n *Node) listen() error {
	public := chi.NewRouter()
	public.Use(n.closeWhenDraining)
	public.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	public.Get("/readyz", n.readyz)
	public.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.WritePrometheus(w) })
	public.With(n.edge.RequireOperator).Get("/v1/report", n.getReport)
	public.With(n.edge.RequireOperator).Get("/v1/trace/{key}", n.getTrace)
	public.Mount("/", n.edge)
	private := chi.NewRouter()
	private.Handle("/link", n.links)
	callers := memory.New(int64(clientShare * float64(n.settings.Node.Memory)))
	n.metrics.NewGauge("cowslipstage_client_bytes", func() float64 { return float64(callers.Taken()) })
	site := site.Site{Clients: site.Clients{Conns: n.settings.Node.MaxConns}, Files: maxFiles()}
	options := intake.Options{Name: "callers", Budget: callers, Conns: site.CallerConns(), Set: n.metrics, Log: n.log}
	if err := n.serve(n.settings.Node.Listen, public, nil, options); err != nil {
		return err
	}
	options = intake.Options{Name: "link", Budget: memory.New(peerBytes), Conns: peerConns, Set: n.metrics, Log: n.log}
	return n.serve(n.settings.Node.Link, private, n.keys.ServerTLS(), options)
}

// keptBytes returns how much of a node's memory is for programs.
func keptBytes(memory int64) int64 { return int64(keptShare * float64(max(memory-ownBytes, memory/4))) }

// maxFiles returns how many descriptors the process may have, 0 if that is not known.
func maxFiles() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// UseListener hands the node a listener that is already open. Run uses it for
// the address in the settings that it listens on.
func (n *Node) UseListener(l net.Listener) { n.listeners[l.Addr().String()] = l }

// serve listens on addr, with TLS unless tlsConfig is nil.
func (n *Node) serve(addr string, h http.Handler, tlsConfig *tls.Config, options intake.Options) error {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	if tlsConfig == nil { // links are read at once
		config.Control = window.Control(window.Bytes)
	}
	l, ok := n.listeners[addr]
	if !ok {
		var err error
		if l, err = config.Listen(context.Background(), "tcp", addr); err != nil {
			return errors.Wrapf(err, "node: listening on %s", addr)
		}
	}
	if tlsConfig != nil {
		l = tls.NewListener(l, tlsConfig)
	}
	s := intake.New(h, options)
	n.servers = append(n.servers, s)
	n.wait.Go(func() { _ = s.Serve(l) })
	return nil
}

// closeWhenDraining asks callers of a stopping node to open a new connection
// for their next request, so that no connection is in use when the node closes.
func (n *Node) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.mu.Lock()
		draining := n.draining
		n.mu.Unlock()
		if draining {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.ready || n.draining {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// drain refuses new work, hands the shards over and waits for the callers'
// answers.
func (n *Node) drain() {
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	n.log.Info().Msg("planned stop: handing over")
	n.announce()
	n.emit(core.DrainRequested{})
	graceEnd := time.After(n.settings.Node.StopTimeout)
	noticeEnd := time.Now().Add(n.settings.Node.DrainNotice)
	for {
		select {
		case <-graceEnd:
			n.logAbandoned("grace period over")
			return
		case <-n.abandon:
			n.logAbandoned("second signal")
			return
		case <-time.After(20 * time.Millisecond):
		}
		if n.edge.ActiveRequests() == 0 && n.ownedCount() == 0 && !time.Now().Before(noticeEnd) {
			return
		}
	}
}

// Abandon ends a planned stop at once and logs what is cut off.
func (n *Node) Abandon() { close(n.abandon) }

// logAbandoned logs how many callers and shards a stop cuts off.
func (n *Node) logAbandoned(reason string) {
	n.log.Warn().Str("reason", reason).Int("callers", n.edge.ActiveRequests()).Int("shards", n.ownedCount()).
		Msg("stopping now; callers without an answer and shards not handed over are abandoned")
}

func (n *Node) ownedCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.journals)
}

func (n *Node) close() {
	// A handler's response may still be in a write buffer.
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for _, s := range n.servers {
		_ = s.Shutdown(ctx)
		_ = s.Close()
	}
	n.sendGossip(n.links.Connected(), frame.Gossip{Exiting: true, Start: n.start})
	n.links.Flush(ctx)
	_ = n.router.Close()
	_ = n.links.Close()
	n.wait.Wait()
}

// backend passes the edge's requests to the owners.
type backend struct{ n *Node }

// Submit passes a call to the owner of its program.
func (b backend) Submit(s frame.Submit) edge.Owner {
	if s.Call.Digest == 0 {
		s.Call.Digest = s.Call.ComputeDigest()
	}
	at := time.Now()
	o := b.n.sendToOwner(s.Call.Customer, s.Call.Program, s.Stream, frame.TopicSubmit, s)
	b.n.traceCall(at, s.Call, "submit", fmt.Sprintf("to %s, epoch %d", o.Node, o.Epoch))
	return o
}

// Ask passes a request for a stored answer to the owner of its program.
func (b backend) Ask(a frame.Ask) edge.Owner {
	return b.n.sendToOwner(a.Customer, a.Program, a.Stream, frame.TopicAsk, a)
}

// Close passes the end of a program to its owner.
func (b backend) Close(c frame.Close) edge.Owner {
	return b.n.sendToOwner(c.Customer, c.Program, c.Stream, frame.TopicClose, c)
}

// Leave tells the owner of a program that the caller of a stream has
// disconnected.
func (b backend) Leave(stream, customer, program string) {
	b.n.sendToOwner(customer, program, stream, frame.TopicLeave, frame.Leave{Stream: stream})
}
