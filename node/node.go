// Package node wires the layers of one entry host together: edge, links,
// control state, journals, claims and configuration.
package node

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"
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
	"github.com/cowslipstage/cowslipstage/transport/dialer"
	"github.com/cowslipstage/cowslipstage/transport/edge"
	"github.com/cowslipstage/cowslipstage/transport/jrnl"
	"github.com/cowslipstage/cowslipstage/transport/keys"
	"github.com/cowslipstage/cowslipstage/transport/links"
	"github.com/cowslipstage/cowslipstage/transport/shelf"
	"github.com/cowslipstage/cowslipstage/transport/store"
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
	servers  []*http.Server
	// pace bounds the writes of all journals of the node together.
	pace *rate.Limiter
	// abandon is closed when the operator will not wait for a planned stop.
	abandon chan struct{}
	// opened are the listeners that were open before the node ran.
	opened map[string]net.Listener
	wait   sync.WaitGroup
	// mailbox feeds the control goroutine, the only one that touches core.
	mailbox chan core.Event
	// wake makes the claims loop look at the store.
	wake chan struct{}
	// view is which nodes and endpoints are there.
	view *member.View
	// shares is what nodes tell each other of the endpoints' load.
	shares *shares
	// start rises with each start of the node's process.
	start uint64

	// files guards the data folder.
	files sync.Mutex

	mu sync.Mutex
	// owners is the newest known owner of each shard; epochs never go back.
	owners map[int]ownership
	// journals holds the open journals of owned shards.
	journals map[int]*opened
	config   *config.Config
	// revisions holds the configuration that each other node has in force.
	revisions map[string]uint64
	// behind wakes the loop that fetches the configuration from a peer.
	behind chan struct{}
	// caught tells that loop that a newer configuration is in force.
	caught chan struct{}
	// away is what this node reads in the host list, nil while it does not.
	away map[string]string
	// departing are the names that get nothing new, as last told to the core.
	departing []string
	// ready tells whether the node should get new callers.
	ready    bool
	draining bool
	// known are the hosts heard of.
	known map[string]seen
	// moved tells whether a shard came or went since the last poll.
	moved bool
	// moving is the shard handed over last for balance.
	moving moving
	// polled is when the leases were last read from the store.
	polled time.Time
	// signs judges by their messages which hosts are alive.
	signs *lease.Detector
	// lease is the node's own lease in the store.
	lease *lease.Lease
	// opening holds the journals that are being opened.
	opening map[int]*jrnl.Journal
	// shelf is what this node keeps for the owners of other shards.
	shelf *shelf.Shelf
	// taking marks shards that are being opened.
	taking map[int]bool
}

// ownership is who owns a shard.
type ownership struct {
	node  string
	epoch uint64
}

// opened is one owned shard's journal.
type opened struct {
	journal *jrnl.Journal
	epoch   uint64
	// standbys are those last asked for.
	standbys []claim.Standby
	cancel   context.CancelFunc
}

const (
	// callerBeat is the time between two signs of life to a waiting caller.
	callerBeat = 5 * time.Second
	// callerStall bounds one write to a caller.
	callerStall = 10 * time.Second
	// keepAlive is the time between two probes of a silent caller's connection,
	// which is given up after keepAliveCount of them.
	keepAlive      = 5 * time.Second
	keepAliveCount = 3
	// flushTimeout bounds the time in which a stopping node's last answers leave.
	flushTimeout = 5 * time.Second
	// maxHeader bounds a caller's headers in bytes.
	maxHeader = 64 << 10
)

// mailboxLength bounds the events that wait for the control goroutine.
const mailboxLength = 65536

const (
	// patience is how long a silent node stays suspect, and is dialled, before
	// it is given up. It outlasts the cuts between regions: nodes that gave each
	// other up would find each other again through the store only.
	patience = time.Hour
	// refusal is how long an endpoint's refusal holds without further news.
	refusal = 30 * time.Second
)

// New returns a node that does nothing yet.
func New(s *setup.Settings, log zerolog.Logger) *Node {
	n := &Node{
		settings: s,
		log:      log.With().Str("node", s.Node.Name).Logger(),
		store:    store.New(s.Store.Addr, s.Store.Timeout),
		metrics:  metrics.NewSet(),
		mailbox:  make(chan core.Event, mailboxLength),
		opened:   map[string]net.Listener{},
		pace:     rate.NewLimiter(rate.Limit(s.Store.WriteLimit), max(1, s.Store.WriteLimit)),
		abandon:  make(chan struct{}),
		owners:   map[int]ownership{},
		journals: map[int]*opened{},
		config:   config.New(),
		known:    map[string]seen{},
		signs:    lease.NewDetector(time.Now(), s.Store.Lease),
		lease:    lease.New(s.Store.Lease),
		taking:   map[int]bool{},
		opening:  map[int]*jrnl.Journal{},
		shelf:    shelf.Memory(s.Shards.StandbyBytes),
		wake:     make(chan struct{}, 1),
		shares:   newShares(),
		start:    uint64(time.Now().UnixNano()),

		revisions: map[string]uint64{},
		behind:    make(chan struct{}, 1),
		caught:    make(chan struct{}, 1),
		limits:    newLimits(),
		observer:  newObserver(s.Node.Name),
	}
	n.metrics.GetOrCreateGauge("hosts_departing", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		return float64(len(n.departing))
	})
	n.metrics.GetOrCreateGauge("shards_owned", func() float64 { return float64(n.owned()) })
	n.metrics.GetOrCreateGauge("config_revision", func() float64 { return float64(n.current().Revision) })
	n.core = core.New(core.Options{
		Shards: s.Shards.Count, Queue: queue.Policy(s.Policy.Queue),
		Route: route.Policy(s.Policy.Route), Seed: s.Policy.Seed,
		Hedge: s.Policy.Hedge, CopyCache: s.Policy.CopyCache, KeepMemory: !s.Policy.Release,
		AnswerRetention: s.Shards.AnswerRetention, KeyRetention: s.Shards.KeyRetention, CacheWeight: s.Policy.CacheWeight,
	})
	n.view = member.New(member.Options{
		Self: s.Node.Name, LinkTimeout: s.Links.SilenceTimeout, LeaseTimeout: s.Store.Lease,
		SuspectTimeout: patience, RefusalTimeout: refusal,
	})
	n.keys = keys.New(keys.Options{
		Secret: s.Links.Secret, File: s.Links.Secrets, Cert: s.Links.Cert, Key: s.Links.Key, CA: s.Links.CA,
	}, n.log)
	n.links = links.New(links.Options{
		Node: s.Node.Name, Centre: s.Node.Centre, Keys: n.keys, Metrics: n.metrics,
		Ping: s.Links.PingInterval, Silence: s.Links.SilenceTimeout, Frame: s.Links.MaxFrameBytes,
	}, n.log)
	n.dialer = dialer.New(dialer.Options{Quiet: s.Policy.StreamTimeout}, n.emit)
	n.edge = edge.New(edge.Options{
		Silence: s.Links.SilenceTimeout / 2, MaxBody: s.Node.MaxBodyBytes, Patience: time.Minute,
		Beat: callerBeat, Stall: callerStall, Config: n.current, Admit: n.admit,
		Observe: n.observe,
	}, backend{n}, n.log)
	return n
}

// emit hands an event to the control goroutine.
func (n *Node) emit(e core.Event) {
	switch f := e.(type) {
	case core.AttemptFinished:
		n.shares.end(f.Attempt)
	case core.AttemptFailed:
		n.shares.end(f.Attempt)
	}
	n.mailbox <- e
}

// Run serves until ctx ends, then stops gracefully within the grace period.
func (n *Node) Run(ctx context.Context) error {
	working, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := n.keys.Load(); err != nil {
		return err
	}
	var err error
	if n.shelf, err = shelf.New(n.settings.Node.Data, n.settings.Shards.StandbyBytes); err != nil {
		return err
	}
	n.recall()
	if err := n.listen(); err != nil {
		return err
	}
	if err := n.route(working); err != nil {
		return err
	}
	for _, f := range []func(context.Context){
		n.control, n.tick, n.claims, n.gossip, n.watch, n.chase, n.poll, n.list, n.follow, n.alert,
	} {
		n.wait.Go(func() { f(working) })
	}
	<-ctx.Done()
	n.drain()
	cancel()
	n.close()
	return nil
}

func (n *Node) listen() error {
	public := chi.NewRouter()
	public.Use(n.parting)
	public.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	public.Get("/readyz", n.readyz)
	public.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { n.metrics.WritePrometheus(w) })
	public.With(n.edge.Operators).Get("/v1/report", n.getReport)
	public.With(n.edge.Operators).Get("/v1/trace/{key}", n.getTrace)
	public.Mount("/", n.edge)
	private := chi.NewRouter()
	private.Handle("/link", n.links)
	if err := n.serve(n.settings.Node.Listen, public, nil); err != nil {
		return err
	}
	return n.serve(n.settings.Node.Link, private, n.keys.Server())
}

// UseListener hands the node a listener that is open already, for the address in its
// settings that it has.
func (n *Node) UseListener(l net.Listener) { n.opened[l.Addr().String()] = l }

// serve listens on addr, with TLS unless secure is nil.
func (n *Node) serve(addr string, h http.Handler, secure *tls.Config) error {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveCount,
	}}
	l, ok := n.opened[addr]
	if !ok {
		var err error
		if l, err = config.Listen(context.Background(), "tcp", addr); err != nil {
			return errors.Wrapf(err, "node: listening on %s", addr)
		}
	}
	if secure != nil {
		l = tls.NewListener(l, secure)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: maxHeader}
	n.servers = append(n.servers, s)
	n.wait.Go(func() { _ = s.Serve(l) })
	return nil
}

// parting asks the callers of a node that is about to stop to come back on
// another connection, so that none is in use when the node closes.
func (n *Node) parting(next http.Handler) http.Handler {
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

// drain stops new work, hands the shards over and lets the callers finish.
func (n *Node) drain() {
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	n.log.Info().Msg("planned stop: handing over")
	n.announce()
	n.emit(core.DrainRequested{})
	end := time.After(n.settings.Node.StopTimeout)
	noticed := time.Now().Add(n.settings.Node.DrainNotice)
	for {
		select {
		case <-end:
			n.abandoned("grace period over")
			return
		case <-n.abandon:
			n.abandoned("second signal")
			return
		case <-time.After(20 * time.Millisecond):
		}
		if n.edge.Waiting() == 0 && n.owned() == 0 && !time.Now().Before(noticed) {
			return
		}
	}
}

// Abandon ends a planned stop at once; what is cut off is logged.
func (n *Node) Abandon() { close(n.abandon) }

// abandoned says what a stop cuts off.
func (n *Node) abandoned(reason string) {
	n.log.Warn().Str("reason", reason).Int("callers", n.edge.Waiting()).Int("shards", n.owned()).
		Msg("stopping now; callers without an answer and shards not handed over are abandoned")
}

func (n *Node) owned() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.journals)
}

func (n *Node) close() {
	// What a handler has written may still be on its way out.
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	for _, s := range n.servers {
		_ = s.Shutdown(ctx)
		_ = s.Close()
	}
	n.gossipTo(n.links.Live(), frame.Gossip{Exiting: true, Start: n.start})
	n.links.Flush(ctx)
	_ = n.router.Close()
	_ = n.links.Close()
	n.wait.Wait()
}

// backend takes the edge's requests to the owners.
type backend struct{ n *Node }

// Submit passes a call to the owner of its program.
func (b backend) Submit(s frame.Submit) edge.Owner {
	if s.Call.Digest == 0 {
		s.Call.Digest = s.Call.ComputeDigest()
	}
	at := time.Now()
	o := b.n.toOwner(s.Call.Customer, s.Call.Program, s.Stream, frame.TopicSubmit, s)
	b.n.noteCall(at, s.Call, "submit", fmt.Sprintf("to %s, epoch %d", o.Node, o.Epoch))
	return o
}

// Ask passes a question for an answer to the owner that keeps it.
func (b backend) Ask(a frame.Ask) edge.Owner {
	return b.n.toOwner(a.Customer, a.Program, a.Stream, frame.TopicAsk, a)
}

// Close passes the end of a program to its owner.
func (b backend) Close(c frame.Close) edge.Owner {
	return b.n.toOwner(c.Customer, c.Program, c.Stream, frame.TopicClose, c)
}

// Leave says that a caller went away from a stream.
func (b backend) Leave(stream, customer, program string) {
	b.n.toOwner(customer, program, stream, frame.TopicLeave, frame.Leave{Stream: stream})
}
