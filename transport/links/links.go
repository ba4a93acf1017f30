// Package links (transport layer) carries messages between nodes: a watermill
// publisher and subscriber over WebSocket with CBOR frames.
package links

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/transport/keys"
)

// Metadata keys of messages.
const (
	// To names the receiving node. A message without it goes to every peer.
	To = "to"
	// From names the sending node.
	From = "from"
)

// Errors that Publish returns.
var (
	// ErrNoLink means that there is no live link to the node, or that the
	// link's queue is full. Nothing was sent.
	ErrNoLink = errors.New("links: no link to the node")
	// ErrTooLarge means that a message exceeds Options.MaxFrameBytes.
	ErrTooLarge = errors.New("links: the message is too large")
)

// Options configures a node's links.
type Options struct {
	Node   string
	Centre string
	// Keys authenticate nodes to each other.
	Keys *keys.Keys
	// PingInterval is the time between heartbeats. A link that is silent for
	// SilenceTimeout is replaced.
	PingInterval   time.Duration
	SilenceTimeout time.Duration
	// MaxFrameBytes bounds a frame's size in bytes.
	MaxFrameBytes int
	// MaxQueuedFrames bounds the frames queued for one link, separately for
	// urgent frames (frame.Urgent) and for all others.
	MaxQueuedFrames int
	// OldestVersion and NewestVersion bound the supported frame versions; 0 means
	// the bounds of package frame.
	OldestVersion int
	NewestVersion int
	// Metrics receives the links' metrics. Nil means they are not exported.
	Metrics *metrics.Set
}

const (
	// defaultFrameBytes bounds a frame's size.
	defaultFrameBytes = 16 << 20
	// defaultQueueFrames bounds the frames queued for one link.
	defaultQueueFrames = 8192
)

// Links holds a node's links. It is safe for concurrent use.
type Links struct {
	options Options
	log     zerolog.Logger
	meters  meters
	context context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mu     sync.Mutex
	closed bool
	// peers holds the outgoing link of each peer by node; messages are only
	// sent on links that this node dialled, and only received on the others.
	peers map[string]*peer
	// peerLinks holds the number of links that each peer reports.
	peerLinks map[string]int
	// inboundLinks counts the accepted links.
	inboundLinks int
	// lastHeard holds when each node was last heard from: a new link to it, data
	// or a heartbeat reply.
	lastHeard map[string]time.Time
	// subscriptions holds the subscriber of each topic, and inboxes the queued
	// messages of each lane.
	subscriptions map[string]*subscription
	inboxes       map[string]*inbox
	// onConnect is called with the peer's name each time an outgoing link comes up.
	onConnect func(node string)
}

// New returns links without peers.
func New(o Options, log zerolog.Logger) *Links {
	if o.MaxFrameBytes == 0 {
		o.MaxFrameBytes = defaultFrameBytes
	}
	if o.MaxQueuedFrames == 0 {
		o.MaxQueuedFrames = defaultQueueFrames
	}
	if o.OldestVersion == 0 {
		o.OldestVersion = frame.OldestVersion
	}
	if o.NewestVersion == 0 {
		o.NewestVersion = frame.NewestVersion
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &Links{
		options: o, log: log, context: ctx, cancel: cancel,
		peers: map[string]*peer{}, lastHeard: map[string]time.Time{}, peerLinks: map[string]int{},
		subscriptions: map[string]*subscription{}, inboxes: map[string]*inbox{}, onConnect: func(string) {},
	}
	l.meters = newMeters(o.Metrics, l)
	return l
}

// OnConnect sets the function called each time an outgoing link comes up. The
// function must not block. OnConnect must be called before the first Connect.
func (l *Links) OnConnect(onConnect func(node string)) { l.onConnect = onConnect }

// Connect keeps a link to a node at addr (IP:port) until Disconnect or Close.
func (l *Links) Connect(node, addr string) {
	if node == l.options.Node || node == "" || addr == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if old, ok := l.peers[node]; ok {
		if old.addr == addr {
			return
		}
		old.cancel()
	}
	ctx, cancel := context.WithCancel(l.context)
	p := newPeer(node, addr, l.options.MaxQueuedFrames, cancel)
	l.peers[node] = p
	l.wait.Add(1)
	go l.maintain(ctx, p)
}

// Disconnect closes the link to a node and stops dialling it.
func (l *Links) Disconnect(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.peers[node]; ok {
		p.cancel()
		delete(l.peers, node)
	}
}

// Connected returns the nodes with a live outgoing link, by name.
func (l *Links) Connected() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var live []string
	for n, p := range l.peers {
		if p.live {
			live = append(live, n)
		}
	}
	sort.Strings(live)
	return live
}

// LastHeard returns when each node was last heard from.
func (l *Links) LastHeard() map[string]time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	heard := make(map[string]time.Time, len(l.lastHeard))
	for n, at := range l.lastHeard {
		heard[n] = at
	}
	return heard
}

func (l *Links) markHeard(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastHeard[node] = time.Now()
}

// Publish queues messages for the node in their To metadata, or for all peers.
// It never blocks. A message that is lost with its link is not sent again.
func (l *Links) Publish(topic string, messages ...*message.Message) error {
	for _, m := range messages {
		data, err := cbor.Marshal(frame.Frame{
			Topic: topic, ID: m.UUID, From: l.options.Node, Body: cbor.RawMessage(m.Payload),
		})
		if err != nil {
			return errors.Wrap(err, "links: encoding")
		}
		if len(data) > l.options.MaxFrameBytes {
			l.meters.drops("large").Inc()
			return errors.Mark(errors.Newf("links: %s: %d bytes", topic, len(data)), ErrTooLarge)
		}
		if err := l.enqueue(m.Metadata.Get(To), topic, data); err != nil {
			return err
		}
	}
	return nil
}

func (l *Links) enqueue(to, topic string, data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	urgent := frame.Urgent(topic)
	if to == "" {
		for _, p := range l.peers {
			if p.live && !p.offer(urgent, item{data: data}) {
				l.meters.drops("full").Inc()
			}
		}
		return nil
	}
	p := l.peers[to]
	if p == nil || !p.live {
		l.meters.drops("nolink").Inc()
		return errors.Mark(errors.Newf("links: no link to %s", to), ErrNoLink)
	}
	if !p.offer(urgent, item{data: data}) {
		l.meters.drops("full").Inc()
		return errors.Mark(errors.Newf("links: the queue to %s is full", to), ErrNoLink)
	}
	return nil
}

// Flush waits until the messages published so far are written, or ctx ends.
func (l *Links) Flush(ctx context.Context) {
	var marks []chan struct{}
	l.mu.Lock()
	for _, p := range l.peers {
		mark := make(chan struct{})
		if p.live && p.offer(false, item{sent: mark}) {
			marks = append(marks, mark)
		}
	}
	l.mu.Unlock()
	for _, mark := range marks {
		select {
		case <-mark:
		case <-ctx.Done():
			return
		}
	}
}

// Close closes all links and waits for their goroutines.
func (l *Links) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	l.wait.Wait()
	return nil
}
