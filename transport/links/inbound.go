package links

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/cowslipstage/cowslipstage/protocol/frame"
)

// ServeHTTP accepts a link from another node.
func (l *Links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	node, err := l.admit(r)
	if err != nil {
		l.refuse(w, r, node, http.StatusUnauthorized, err)
		return
	}
	if !l.common(r) {
		offered := strings.Join(r.Header.Values("Sec-WebSocket-Protocol"), ",")
		err := errors.Wrapf(errVersion, "offered %q, spoken %q", offered, strings.Join(l.protocols(), ","))
		l.refuse(w, r, node, http.StatusUpgradeRequired, err)
		return
	}
	if !l.enter() {
		http.Error(w, "closed", http.StatusServiceUnavailable)
		return
	}
	defer l.leave()
	c, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: l.protocols()})
	if err != nil {
		l.log.Warn().Err(err).Str("peer", node).Msg("link not accepted")
		return
	}
	l.serve(node, c)
}

func (l *Links) refuse(w http.ResponseWriter, r *http.Request, node string, status int, err error) {
	l.meters.drop("refused").Inc()
	l.log.Warn().Err(err).Str("peer", node).Str("addr", r.RemoteAddr).Msg("link refused")
	http.Error(w, err.Error(), status)
}

// enter counts an accepted link unless the links are closed.
func (l *Links) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.wait.Add(1)
	l.inbound++
	return true
}

func (l *Links) leave() {
	l.mu.Lock()
	l.inbound--
	l.mu.Unlock()
	l.wait.Done()
}

// serve reads a link's messages until it fails.
func (l *Links) serve(node string, c *websocket.Conn) {
	c.SetReadLimit(int64(l.options.Frame) + batchBytes)
	ctx, cancel := context.WithCancel(l.context)
	var wait sync.WaitGroup
	wait.Go(func() {
		_ = l.beat(ctx, node, c, nil)
		_ = c.CloseNow()
	})
	for {
		_, data, err := c.Read(ctx)
		if err != nil {
			l.log.Debug().Err(err).Str("peer", node).Msg("accepted link ended")
			break
		}
		l.hear(node)
		l.meters.received.bytes.Add(len(data))
		if !l.receive(node, data) {
			break
		}
	}
	cancel()
	_ = c.CloseNow()
	wait.Wait()
}

// receive passes a message's frames on; it returns false when the link must
// end because its peer cannot be understood or trusted.
func (l *Links) receive(node string, data []byte) bool {
	for len(data) > 0 {
		f, rest, err := frame.Next(data)
		switch {
		case err != nil:
			l.meters.drop("bad").Inc()
			l.log.Warn().Err(err).Str("peer", node).Msg("bad frame; closing the link")
			return false
		case f.From != node:
			l.meters.drop("spoofed").Inc()
			l.log.Warn().Str("peer", node).Str("from", f.From).Msg("frame in another node's name; closing the link")
			return false
		}
		l.meters.received.frames.Inc()
		l.deliver(f)
		data = rest
	}
	return true
}

const (
	// inboxLength bounds the messages of one topic that wait for its handler.
	inboxLength = 4096
	// inboxWait bounds how long a full topic holds up the others of a link.
	inboxWait = 20 * time.Millisecond
)

// deliver queues a message for its topic's handler; one that finds the queue
// full for too long is dropped.
func (l *Links) deliver(f frame.Frame) {
	l.mu.Lock()
	topic := l.topics[f.Topic]
	l.mu.Unlock()
	if topic == nil {
		l.meters.drop("topic").Inc()
		return
	}
	m := message.NewMessage(f.ID, message.Payload(f.Body))
	m.Metadata.Set(From, f.From)
	if !topic.put(l.context, m) {
		l.meters.drop("busy").Inc()
	}
}

// inbox holds the messages of one topic that wait for its handler.
type inbox struct {
	queue chan *message.Message
	// stuck tells that the handler made no room in time; until it does,
	// messages are dropped at once.
	stuck atomic.Bool
}

func newInbox() *inbox { return &inbox{queue: make(chan *message.Message, inboxLength)} }

// put queues a message unless the handler is too slow.
func (i *inbox) put(ctx context.Context, m *message.Message) bool {
	select {
	case i.queue <- m:
		i.stuck.Store(false)
		return true
	default:
	}
	if i.stuck.Load() {
		return false
	}
	timer := time.NewTimer(inboxWait)
	defer timer.Stop()
	select {
	case i.queue <- m:
		return true
	case <-timer.C:
		i.stuck.Store(true)
		return false
	case <-ctx.Done():
		return false
	}
}

// Subscribe returns the messages of one topic until ctx ends or the links are
// closed; a topic has one subscriber at a time.
func (l *Links) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errors.New("links: closed")
	}
	if l.topics[topic] != nil {
		return nil, errors.Newf("links: topic %s is taken", topic)
	}
	in, out := newInbox(), make(chan *message.Message)
	l.topics[topic] = in
	l.wait.Go(func() {
		defer l.unsubscribe(topic)
		l.forward(ctx, in.queue, out)
	})
	return out, nil
}

func (l *Links) unsubscribe(topic string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.topics, topic)
}

// forward passes messages on one by one, each after the one before is done
// with, which keeps their order. It closes out at the end, as watermill expects.
func (l *Links) forward(ctx context.Context, in <-chan *message.Message, out chan<- *message.Message) {
	defer close(out)
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.context.Done():
			return
		case m := <-in:
			if !l.hand(ctx, m, out) {
				return
			}
		}
	}
}

// hand gives one message to the subscriber and waits until it is done with.
func (l *Links) hand(ctx context.Context, m *message.Message, out chan<- *message.Message) bool {
	select {
	case out <- m:
	case <-ctx.Done():
		return false
	case <-l.context.Done():
		return false
	}
	select {
	case <-m.Acked():
	case <-m.Nacked():
	case <-ctx.Done():
		return false
	case <-l.context.Done():
		return false
	}
	return true
}
