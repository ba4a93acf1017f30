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
	// inboxLength bounds the messages of one lane that wait for their handlers.
	inboxLength = 4096
	// inboxWait bounds how long a full lane holds up the others of a link.
	inboxWait = 20 * time.Millisecond
)

// inbox holds the messages of one lane that wait for their handlers.
type inbox struct {
	queue chan arrival
	// stuck tells that the handlers made no room in time; until they do,
	// messages are dropped at once.
	stuck atomic.Bool
}

// arrival is one message with its topic.
type arrival struct {
	topic   string
	message *message.Message
}

// put queues a message unless the handlers are too slow.
func (i *inbox) put(ctx context.Context, a arrival) bool {
	select {
	case i.queue <- a:
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
	case i.queue <- a:
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
	// ended is closed when the subscriber wants no more.
	ended chan struct{}
	// mu is held while a message is handed over; out is closed under it.
	mu  sync.Mutex
	out chan *message.Message
}

// hand gives one message to the subscriber and waits until it is done with.
func (s *subscription) hand(m *message.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.ended:
		return
	default:
	}
	select {
	case s.out <- m:
	case <-s.ended:
		return
	}
	select {
	case <-m.Acked():
	case <-m.Nacked():
	case <-s.ended:
	}
}

// close ends the subscription and its channel, as watermill expects.
func (s *subscription) close() {
	close(s.ended)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.out)
}

// deliver queues a message for its topic's handler; one that finds the lane
// full for too long is dropped.
func (l *Links) deliver(f frame.Frame) {
	l.mu.Lock()
	known, lane := l.topics[f.Topic] != nil, l.lanes[frame.OrderKey(f.Topic)]
	l.mu.Unlock()
	if !known {
		l.meters.drop("topic").Inc()
		return
	}
	m := message.NewMessage(f.ID, message.Payload(f.Body))
	m.Metadata.Set(From, f.From)
	if !lane.put(l.context, arrival{topic: f.Topic, message: m}) {
		l.meters.drop("busy").Inc()
	}
}

// Subscribe returns the messages of one topic until ctx ends or the links are
// closed; a topic has one subscriber at a time. Messages of topics in one lane
// come one by one, each after the one before is done with.
func (l *Links) Subscribe(ctx context.Context, topic string) (<-chan *message.Message, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errors.New("links: closed")
	}
	if l.topics[topic] != nil {
		return nil, errors.Newf("links: topic %s is taken", topic)
	}
	s := &subscription{ended: make(chan struct{}), out: make(chan *message.Message)}
	l.topics[topic] = s
	if name := frame.OrderKey(topic); l.lanes[name] == nil {
		lane := &inbox{queue: make(chan arrival, inboxLength)}
		l.lanes[name] = lane
		l.wait.Go(func() { l.forward(lane) })
	}
	l.wait.Go(func() {
		select {
		case <-ctx.Done():
		case <-l.context.Done():
		}
		l.mu.Lock()
		delete(l.topics, topic)
		l.mu.Unlock()
		s.close()
	})
	return s.out, nil
}

// forward hands a lane's messages to their subscribers one by one.
func (l *Links) forward(lane *inbox) {
	for {
		select {
		case <-l.context.Done():
			return
		case a := <-lane.queue:
			l.mu.Lock()
			s := l.topics[a.topic]
			l.mu.Unlock()
			if s != nil {
				s.hand(a.message)
			}
		}
	}
}
