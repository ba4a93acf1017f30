// Package links (transport layer) carries messages between nodes: a watermill
// publisher and subscriber over WebSocket with CBOR frames.
package links

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/protocol/frame"
)

// The metadata keys of messages.
const (
	// To names the receiving node; without it a message goes to every peer.
	To = "to"
	// From names the sending node.
	From = "from"
)

// ErrNoLink means that there is no live link to the node; nothing was sent.
var ErrNoLink = errors.New("links: no link to the node")

// Options are the settings of a node's links.
type Options struct {
	Node string
	// Secret authenticates nodes to each other.
	Secret string
	// Ping is the time between heartbeats; a link silent for Silence is replaced.
	Ping    time.Duration
	Silence time.Duration
}

// Links holds a node's links. It is safe for concurrent use.
type Links struct {
	options Options
	log     zerolog.Logger
	context context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup

	mu sync.Mutex
	// peers holds the outgoing link of each peer by node; messages are only
	// sent on links that this node dialled, and only received on the others.
	peers  map[string]*peer
	topics map[string]chan *message.Message
}

// peer is the outgoing link to one node.
type peer struct {
	node   string
	addr   string
	queue  chan []byte
	live   bool
	cancel context.CancelFunc
}

// queueLength bounds the frames that wait for one link.
const queueLength = 8192

// maxFrame bounds a frame's size in bytes.
const maxFrame = 4 << 20

// New returns links without peers.
func New(o Options, log zerolog.Logger) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	return &Links{
		options: o, log: log, context: ctx, cancel: cancel,
		peers: map[string]*peer{}, topics: map[string]chan *message.Message{},
	}
}

// Connect keeps a link to a node at addr (IP:port) until Forget or Close.
func (l *Links) Connect(node, addr string) {
	if node == l.options.Node || node == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, ok := l.peers[node]; ok {
		if old.addr == addr {
			return
		}
		old.cancel()
	}
	ctx, cancel := context.WithCancel(l.context)
	p := &peer{node: node, addr: addr, queue: make(chan []byte, queueLength), cancel: cancel}
	l.peers[node] = p
	l.wait.Add(1)
	go l.keep(ctx, p)
}

// Forget drops the link to a node that is gone for good.
func (l *Links) Forget(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok := l.peers[node]; ok {
		p.cancel()
		delete(l.peers, node)
	}
}

// Live returns the nodes with a live outgoing link.
func (l *Links) Live() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var live []string
	for n, p := range l.peers {
		if p.live {
			live = append(live, n)
		}
	}
	return live
}

// redial is the pause before a lost link is dialled again.
const redial = 200 * time.Millisecond

func (l *Links) keep(ctx context.Context, p *peer) {
	defer l.wait.Done()
	for ctx.Err() == nil {
		err := l.dial(ctx, p)
		l.setLive(p, false)
		l.log.Debug().Err(err).Str("peer", p.node).Msg("link lost; redialling")
		select {
		case <-ctx.Done():
		case <-time.After(redial):
		}
	}
}

func (l *Links) setLive(p *peer, live bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.live = live
}

func (l *Links) dial(ctx context.Context, p *peer) error {
	dialing, cancel := context.WithTimeout(ctx, l.options.Silence)
	defer cancel()
	header := http.Header{"Authorization": {"Bearer " + l.options.Secret}, "X-Node": {l.options.Node}}
	c, _, err := websocket.Dial(dialing, "ws://"+p.addr+"/link", &websocket.DialOptions{HTTPHeader: header})
	if err != nil {
		return errors.Wrap(err, "links: dial")
	}
	defer func() { _ = c.CloseNow() }()
	l.setLive(p, true)
	ctx = c.CloseRead(ctx)
	ticker := time.NewTicker(l.options.Ping)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case data := <-p.queue:
			err = l.write(ctx, c, data)
		case <-ticker.C:
			err = l.ping(ctx, c)
		}
		if err != nil {
			return err
		}
	}
}

func (l *Links) write(ctx context.Context, c *websocket.Conn, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, l.options.Silence)
	defer cancel()
	return c.Write(ctx, websocket.MessageBinary, data)
}

func (l *Links) ping(ctx context.Context, c *websocket.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, l.options.Silence)
	defer cancel()
	return c.Ping(ctx)
}

// ServeHTTP accepts a link from another node.
func (l *Links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "Bearer "+l.options.Secret {
		http.Error(w, "not a node", http.StatusUnauthorized)
		return
	}
	c, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = c.CloseNow() }()
	c.SetReadLimit(maxFrame)
	from := r.Header.Get("X-Node")
	for {
		_, data, err := c.Read(l.context)
		if err != nil {
			return
		}
		l.receive(from, data)
	}
}

func (l *Links) receive(from string, data []byte) {
	var f frame.Frame
	if err := frame.Unpack(data, &f); err != nil {
		l.log.Warn().Err(err).Str("peer", from).Msg("bad frame dropped")
		return
	}
	m := message.NewMessage(f.ID, message.Payload(f.Body))
	m.Metadata.Set(From, f.From)
	l.mu.Lock()
	topic := l.topics[f.Topic]
	l.mu.Unlock()
	if topic == nil {
		return
	}
	select {
	case topic <- m:
	case <-l.context.Done():
		return
	}
	// The next frame waits for this one, which keeps each peer's order.
	select {
	case <-m.Acked():
	case <-m.Nacked():
	case <-l.context.Done():
	}
}

// Publish sends messages to the node in their To metadata, or to all peers.
// A message that is lost with its link is not sent again.
func (l *Links) Publish(topic string, messages ...*message.Message) error {
	for _, m := range messages {
		data, err := cbor.Marshal(frame.Frame{
			Version: frame.Version, Topic: topic, ID: m.UUID, From: l.options.Node,
			Body: cbor.RawMessage(m.Payload),
		})
		if err != nil {
			return errors.Wrap(err, "links: encoding")
		}
		if err := l.enqueue(m.Metadata.Get(To), data); err != nil {
			return err
		}
	}
	return nil
}

func (l *Links) enqueue(to string, data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if to == "" {
		for _, p := range l.peers {
			if p.live {
				offer(p, data)
			}
		}
		return nil
	}
	p := l.peers[to]
	if p == nil || !p.live || !offer(p, data) {
		return errors.Mark(errors.Newf("links: no link to %s", to), ErrNoLink)
	}
	return nil
}

func offer(p *peer, data []byte) bool {
	select {
	case p.queue <- data:
		return true
	default:
		return false
	}
}

// Subscribe returns the messages of one topic until ctx ends or the links are
// closed; a topic has one subscriber.
func (l *Links) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.topics[topic] != nil {
		return nil, errors.Newf("links: topic %s is taken", topic)
	}
	in, out := make(chan *message.Message), make(chan *message.Message)
	l.topics[topic] = in
	l.wait.Go(func() { l.forward(ctx, in, out) })
	return out, nil
}

// forward passes messages on and closes out at the end, as watermill expects.
func (l *Links) forward(ctx context.Context, in <-chan *message.Message, out chan<- *message.Message) {
	defer close(out)
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.context.Done():
			return
		case m := <-in:
			select {
			case out <- m:
			case <-ctx.Done():
				return
			case <-l.context.Done():
				return
			}
		}
	}
}

// Close ends all links.
func (l *Links) Close() error {
	l.cancel()
	l.wait.Wait()
	return nil
}
