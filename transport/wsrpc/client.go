// Package calls (transport layer) carries requests and answers between gates and
// vaults: messages of package vaults over a WebSocket, many at once on one
// connection.
package wsrpc

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
)

// ErrNoAnswer means that no answer came; what was asked may have been done.
var ErrNoAnswer = errors.New("calls: no answer")

const (
	// path is where a vault takes connections.
	path = "/calls"
	// maxMessageBytes bounds a message in bytes: a page of records, or a chain of
	// the longest program with room to spare.
	maxMessageBytes = 16 << 20
	// dialTimeout bounds a new connection; the longest way is a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// silenceTimeout is how long a connection with calls under way may bring nothing
	// before it is taken as dead: beyond a slow disk's sync, well below the time
	// in which a caller gives up.
	silenceTimeout = 250 * time.Millisecond
	// redialPause is the pause after a failed dial, so that a dead host costs little.
	redialPause = 150 * time.Millisecond
	// maxQueuedMessages bounds the messages that wait to be written to one connection.
	maxQueuedMessages = 1024
	// numberBytes precede each message: the number of the call.
	numberBytes = 8
)

// Client calls one vault. It is safe for concurrent use.
type Client struct {
	addr string

	mu sync.Mutex
	// conn is the live connection, or nil.
	conn *connection
	// lastDialFailure is when the last dial failed; no other is made within redial.
	lastDialFailure time.Time
	// dialDone is closed when the dial under way ends; nil when none is.
	dialDone chan struct{}
	// unreachable says that the last connection went silent or the last dial failed;
	// calls do not wait for the next one then.
	unreachable bool
}

// connection is one connection and the calls on it.
type connection struct {
	socket   *websocket.Conn
	cancel   context.CancelFunc
	outgoing chan []byte

	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]chan vaults.Message
	// lastReceived is when the last message came.
	lastReceived time.Time
	closed       bool
}

// NewClient returns a client of the vault at addr (IP:port); it dials when needed.
func NewClient(addr string) *Client { return &Client{addr: addr} }

// Call sends a message and waits for its answer.
func (c *Client) Call(ctx context.Context, m vaults.Message) (vaults.Message, error) {
	data, err := vaults.Encode(m)
	if err != nil {
		return nil, err
	}
	l, err := c.acquire(ctx)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	answer, err := l.call(ctx, data)
	if err != nil {
		c.dropIfSilent(l, started)
	}
	return answer, err
}

// dropIfSilent drops a line that has brought nothing since a call on it began, or for
// long, although it should.
func (c *Client) dropIfSilent(l *connection, started time.Time) {
	l.mu.Lock()
	idleSince := l.lastReceived
	if started.After(idleSince) {
		idleSince = started
	}
	silent := l.closed || time.Since(idleSince) > silenceTimeout
	l.mu.Unlock()
	if !silent {
		return
	}
	l.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == l {
		c.unreachable = true
	}
}

// Connected tells whether there is a connection that answers as far as is known.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil && !c.conn.isClosed()
}

// Unreachable tells whether the vault could not be reached when last tried.
func (c *Client) Unreachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreachable
}

// StartDial opens a connection in the background if there is none.
func (c *Client) StartDial() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil || c.conn.isClosed() {
		c.dialLocked()
	}
}

// dialLocked dials in the background unless that is done already or was just now. It
// is called with the mutex held.
func (c *Client) dialLocked() {
	if c.dialDone == nil && time.Since(c.lastDialFailure) >= redialPause {
		c.dialDone = make(chan struct{})
		go c.dial(c.dialDone)
	}
}

func (c *Client) acquire(ctx context.Context) (*connection, error) {
	for {
		c.mu.Lock()
		if c.conn != nil && !c.conn.isClosed() {
			l := c.conn
			c.mu.Unlock()
			return l, nil
		}
		c.dialLocked()
		wait, failing := c.dialDone, c.unreachable
		c.mu.Unlock()
		if failing || wait == nil {
			return nil, errors.Wrapf(ErrNoAnswer, "%s is not reached", c.addr)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, errors.Mark(errors.Wrapf(ctx.Err(), "calls: dialling %s", c.addr), ErrNoAnswer)
		}
	}
}

func (c *Client) dial(done chan struct{}) {
	defer close(done)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}}
	conn, response, err := websocket.Dial(ctx, "ws://"+c.addr+path, &websocket.DialOptions{HTTPClient: client})
	if response != nil && response.Body != nil {
		defer func() { _ = response.Body.Close() }() // the handshake's body says nothing
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialDone = nil
	c.unreachable = err != nil
	if err != nil {
		c.lastDialFailure = time.Now()
		return
	}
	conn.SetReadLimit(maxMessageBytes)
	lifetime, end := context.WithCancel(context.Background())
	l := &connection{
		socket: conn, cancel: end, outgoing: make(chan []byte, maxQueuedMessages),
		pending: map[uint64]chan vaults.Message{}, lastReceived: time.Now(),
	}
	c.conn = l
	go l.write(lifetime)
	go l.read(lifetime)
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.close()
	}
}

func (l *connection) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

func (l *connection) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	l.cancel()
	for _, wait := range l.pending {
		close(wait)
	}
	l.pending = map[uint64]chan vaults.Message{}
	go func() { _ = l.socket.CloseNow() }() // the connection is given up
}

func (l *connection) call(ctx context.Context, data []byte) (vaults.Message, error) {
	result := make(chan vaults.Message, 1)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil, errors.Wrap(ErrNoAnswer, "connection lost")
	}
	l.lastNumber++
	number := l.lastNumber
	l.pending[number] = result
	l.mu.Unlock()
	defer l.removePending(number)
	select {
	case l.outgoing <- prependNumber(number, data):
	default:
		return nil, errors.Wrap(ErrNoAnswer, "too many calls wait")
	}
	select {
	case answer, ok := <-result:
		if !ok {
			return nil, errors.Wrap(ErrNoAnswer, "connection lost")
		}
		return answer, nil
	case <-ctx.Done():
		return nil, errors.Mark(errors.Wrap(ctx.Err(), "calls: waiting"), ErrNoAnswer)
	}
}

func (l *connection) removePending(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, number)
}

func prependNumber(number uint64, data []byte) []byte {
	m := make([]byte, numberBytes, numberBytes+len(data))
	binary.LittleEndian.PutUint64(m, number)
	return append(m, data...)
}

func (l *connection) write(ctx context.Context) {
	defer l.close()
	for {
		select {
		case data := <-l.outgoing:
			if l.socket.Write(ctx, websocket.MessageBinary, data) != nil {
				return // close tells all who wait
			}
		case <-ctx.Done():
			return
		}
	}
}

func (l *connection) read(ctx context.Context) {
	defer l.close()
	for {
		_, data, err := l.socket.Read(ctx)
		if err != nil || len(data) < numberBytes {
			return // close tells all who wait
		}
		m, err := vaults.Decode(data[numberBytes:])
		if err != nil {
			return
		}
		number := binary.LittleEndian.Uint64(data)
		l.mu.Lock()
		l.lastReceived = time.Now()
		if wait, ok := l.pending[number]; ok {
			wait <- m
			delete(l.pending, number)
		}
		l.mu.Unlock()
	}
}
