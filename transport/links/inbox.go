package links

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/protocol/frame"
)

const (
	// inboxLength bounds the queued messages of one lane.
	inboxLength = 4096
	// inboxTimeout bounds how long a full lane delays the other lanes of a link.
	inboxTimeout = 20 * time.Millisecond
)

// inbox queues the messages of one lane for their handlers. A lane is the set of
// topics with the same frame.OrderKey.
type inbox struct {
	queue chan inboundMessage
	// stuck is set when a message timed out on the full queue. Until the queue
	// has room again, messages are dropped immediately.
	stuck atomic.Bool
}

// inboundMessage is one message with its topic.
type inboundMessage struct {
	topic   string
	message *message.Message
}

// offer queues a message and reports whether the queue had room in time.
func (i *inbox) offer(ctx context.Context, m inboundMessage) bool {
	select {
	case i.queue <- m:
		i.stuck.Store(false)
		return true
	default:
	}
	if i.stuck.Load() {
		return false
	}
	timer := time.NewTimer(inboxTimeout)
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

// subscription is one topic's subscriber.
type subscription struct {
	// done is closed when the subscription ends.
	done chan struct{}
	// mu is held while a message is delivered, and while out is closed.
	mu  sync.Mutex
	out chan *message.Message
}

// deliver sends one message to the subscriber and waits until it is acked or
// nacked.
func (s *subscription) deliver(m *message.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.done:
		return
	default:
	}
	select {
	case s.out <- m:
	case <-s.done:
		return
	}
	select {
	case <-m.Acked():
	case <-m.Nacked():
	case <-s.done:
	}
}

// close ends the subscription and its channel, as watermill expects.
func (s *subscription) close() {
	close(s.done)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.out)
}

// deliver queues a message for its topic's subscriber. It drops a message
// without a subscriber, or whose lane has no room in time.
func (l *Links) deliver(f frame.Frame) {
	l.mu.Lock()
	subscribed, lane := l.subscriptions[f.Topic] != nil, l.inboxes[frame.OrderKey(f.Topic)]
	l.mu.Unlock()
	if !subscribed {
		l.meters.drops("topic").Inc()
		return
	}
	m := message.NewMessage(f.ID, message.Payload(f.Body))
	m.Metadata.Set(From, f.From)
	if !lane.offer(l.context, inboundMessage{topic: f.Topic, message: m}) {
		l.meters.drops("busy").Inc()
	}
}

// Subscribe returns the messages of one topic until ctx ends or the links are
// closed. A topic has one subscriber at a time. Messages of topics in one lane
// are delivered in order, each after the previous one was acked or nacked.
func (l *Links) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errors.New("links: closed")
	}
	if l.subscriptions[topic] != nil {
		return nil, errors.Newf("links: topic %s has a subscriber already", topic)
	}
	s := &subscription{done: make(chan struct{}), out: make(chan *message.Message)}
	l.subscriptions[topic] = s
	if name := frame.OrderKey(topic); l.inboxes[name] == nil {
		lane := &inbox{queue: make(chan inboundMessage, inboxLength)}
		l.inboxes[name] = lane
		l.wait.Go(func() { l.forward(lane) })
	}
	l.wait.Go(func() {
		select {
		case <-ctx.Done():
		case <-l.context.Done():
		}
		l.mu.Lock()
		delete(l.subscriptions, topic)
		l.mu.Unlock()
		s.close()
	})
	return s.out, nil
}

// forward delivers a lane's messages to their subscribers one by one.
func (l *Links) forward(lane *inbox) {
	for {
		select {
		case <-l.context.Done():
			return
		case m := <-lane.queue:
			l.mu.Lock()
			s := l.subscriptions[m.topic]
			l.mu.Unlock()
			if s != nil {
				s.deliver(m.message)
			}
		}
	}
}
