package links

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
)

// peer is the outgoing link to one node.
type peer struct {
	node   string
	addr   string
	cancel context.CancelFunc
	// urgent queues the urgent frames (frame.Urgent), bulk all others. Each queue
	// keeps its order, also across reconnects.
	urgent chan item
	bulk   chan item
	// written is signalled after data was written, so that a heartbeat follows.
	written chan struct{}
	// live is guarded by the mutex of Links.
	live bool
}

// item is one frame, or a flush mark. A mark has no data. Its channel sent is closed
// once everything queued before it is written.
type item struct {
	data []byte
	sent chan struct{}
}

func newPeer(node, addr string, queue int, cancel context.CancelFunc) *peer {
	return &peer{
		node: node, addr: addr, cancel: cancel,
		urgent: make(chan item, queue), bulk: make(chan item, queue), written: make(chan struct{}, 1),
	}
}

// offer queues an item unless the queue is full.
func (p *peer) offer(urgent bool, i item) bool {
	queue := p.bulk
	if urgent {
		queue = p.urgent
	}
	select {
	case queue <- i:
		return true
	default:
		return false
	}
}

// next waits for an item and prefers urgent ones.
func (p *peer) next(ctx context.Context) (item, error) {
	if i, ok := p.tryNext(); ok {
		return i, nil
	}
	select {
	case i := <-p.urgent:
		return i, nil
	case i := <-p.bulk:
		return i, nil
	case <-ctx.Done():
		return item{}, ctx.Err()
	}
}

// tryNext returns a queued item without waiting, and prefers urgent ones.
func (p *peer) tryNext() (item, bool) {
	select {
	case i := <-p.urgent:
		return i, true
	default:
	}
	select {
	case i := <-p.bulk:
		return i, true
	default:
		return item{}, false
	}
}

// batchBytes is the size at which a WebSocket message accepts no further frame.
// It bounds the data that an urgent frame may have to wait for.
const batchBytes = 64 << 10

// batch joins the first item and queued ones into one message, and returns the
// flush marks among them.
func (p *peer) batch(buffer []byte, first item) (data []byte, frames int, marks []chan struct{}) {
	data = buffer[:0]
	i, ok := first, true
	for ok {
		data = append(data, i.data...)
		if i.sent != nil {
			marks = append(marks, i.sent)
		} else {
			frames++
		}
		if len(data) >= batchBytes {
			break
		}
		i, ok = p.tryNext()
	}
	return data, frames, marks
}

const (
	// minRedialDelay and maxRedialDelay bound the pause before a lost link is
	// dialled again. The pause grows exponentially, with jitter.
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// maintain keeps a link to the peer open: it dials again whenever the link is lost.
func (l *Links) maintain(ctx context.Context, p *peer) {
	defer l.wait.Done()
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = minRedialDelay, maxRedialDelay
	for ctx.Err() == nil {
		c, err := l.dial(ctx, p)
		if err == nil {
			pause.Reset()
			err = l.runLink(ctx, p, c)
		}
		if ctx.Err() != nil {
			return
		}
		l.meters.redials.Inc()
		l.log.Debug().Err(err).Str("peer", p.node).Msg("link lost; redialling")
		select {
		case <-ctx.Done():
		case <-time.After(pause.NextBackOff()):
		}
	}
}

// dial opens the link and agrees on a frame version.
func (l *Links) dial(ctx context.Context, p *peer) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, l.options.SilenceTimeout)
	defer cancel()
	scheme, client := "ws://", http.DefaultClient
	if l.options.Keys.UsesTLS() {
		scheme = "wss://"
		transport := &http.Transport{TLSClientConfig: l.options.Keys.ClientTLS(p.node), DisableKeepAlives: true}
		client = &http.Client{Transport: transport}
	}
	c, response, err := websocket.Dial(ctx, scheme+p.addr+linkPath, &websocket.DialOptions{
		HTTPClient: client, HTTPHeader: l.handshakeHeader(), Subprotocols: l.subprotocols(),
	})
	if err != nil {
		return nil, l.logRefusal(p, response, err)
	}
	if c.Subprotocol() == "" {
		_ = c.CloseNow()
		return nil, l.logRefusal(p, nil, errVersion)
	}
	return c, nil
}

// logRefusal logs a link that the peer refused, since only an operator can fix
// the cause. Other dial failures are not logged here; the next try may succeed.
func (l *Links) logRefusal(p *peer, response *http.Response, err error) error {
	if response != nil && response.StatusCode >= http.StatusBadRequest || errors.Is(err, errVersion) {
		l.meters.drops("refused").Inc()
		l.log.Warn().Err(err).Str("peer", p.node).Str("addr", p.addr).
			Msg("the peer refused the link: compare keys, names and program versions")
	}
	return errors.Wrap(err, "links: dial")
}

// runLink writes the queued items and the heartbeats until the link fails.
func (l *Links) runLink(ctx context.Context, p *peer, c *websocket.Conn) error {
	ctx, cancel := context.WithCancel(c.CloseRead(ctx))
	defer cancel()
	l.setLive(p, true)
	defer l.setLive(p, false)
	l.markHeard(p.node)
	l.onConnect(p.node)
	failed := make(chan error, 2)
	var wait sync.WaitGroup
	wait.Go(func() { failed <- l.writeQueue(ctx, p, c) })
	wait.Go(func() { failed <- l.heartbeat(ctx, p.node, c, p.written) })
	err := <-failed
	cancel()
	_ = c.CloseNow()
	wait.Wait()
	return err
}

func (l *Links) setLive(p *peer, live bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.live = live
}

// writeQueue sends the queued items and joins frames that wait into one message.
func (l *Links) writeQueue(ctx context.Context, p *peer, c *websocket.Conn) error {
	var buffer []byte
	for {
		first, err := p.next(ctx)
		if err != nil {
			return err
		}
		data, frames, marks := p.batch(buffer, first)
		if err := l.writeBatch(ctx, c, data, frames); err != nil {
			return err
		}
		for _, mark := range marks {
			close(mark)
		}
		select {
		case p.written <- struct{}{}:
		default:
		}
		if buffer = data; cap(buffer) > 2*batchBytes {
			buffer = nil
		}
	}
}

func (l *Links) writeBatch(ctx context.Context, c *websocket.Conn, data []byte, frames int) error {
	if len(data) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.options.SilenceTimeout)
	defer cancel()
	l.meters.sent.frames.Add(frames)
	l.meters.sent.bytes.Add(len(data))
	return c.Write(ctx, websocket.MessageBinary, data)
}
