// Package wsrpc (transport layer) carries requests and answers between gates and
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
	// maxMessage bounds a message in bytes: a page of records, or a chain of
	// the longest program with room to spare.
	maxMessage = 16 << 20
	// dialTime bounds a new connection; the longest way is a few milliseconds.
	dialTime = 400 * time.Millisecond
	// silence is how long a connection with calls under way may bring nothing
	// before it is taken as dead: beyond a slow disk's sync, well below the time
	// in which a caller gives up.
	silence = 250 * time.Millisecond
	// redial is the pause after a failed dial, so that a dead host costs little.
	redial = 150 * time.Millisecond
	// queue bounds the messages that wait to be written to one connection.
	queue = 1024
	// numberBytes precede each message: the number of the call.
	numberBytes = 8
)

// Client calls one vault. It is safe for concurrent use.
type Client struct {
	addr string

	mu sync.Mutex
	// line is the live connection, or nil.
	line *line
	// dialled is when the last dial failed; no other is made within redial.
	dialled time.Time
	// dialling is closed when the dial under way ends; nil when none is.
	dialling chan struct{}
	// failing says that the last connection went silent or the last dial failed;
	// calls do not wait for the next one then.
	failing bool
}

// line is one connection and the calls on it.
type line struct {
	conn   *websocket.Conn
	cancel context.CancelFunc
	out    chan []byte

	mu      sync.Mutex
	next    uint64
	pending map[uint64]chan vaults.Message
	// heard is when the last message came.
	heard  time.Time
	closed bool
}

// NewClient returns a client of the vault at addr (IP:port); it dials when needed.
func NewClient(addr string) *Client { return &Client{addr: addr} }

// Call sends a message and waits for its answer.
func (c *Client) Call(ctx context.Context, m vaults.Message) (vaults.Message, error) {
	data, err := vaults.Encode(m)
	if err != nil {
		return nil, err
	}
	l, err := c.connected(ctx)
	if err != nil {
		return nil, err
	}
	begun := time.Now()
	answer, err := l.call(ctx, data)
	if err != nil {
		c.suspect(l, begun)
	}
	return answer, err
}

// suspect drops a line that has brought nothing since a call on it began, or for
// long, although it should.
func (c *Client) suspect(l *line, begun time.Time) {
	l.mu.Lock()
	since := l.heard
	if begun.After(since) {
		since = begun
	}
	quiet := l.closed || time.Since(since) > silence
	l.mu.Unlock()
	if !quiet {
		return
	}
	l.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.line == l {
		c.failing = true
	}
}

// Connected tells whether there is a connection that answers as far as is known.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.line != nil && !c.line.isClosed()
}

// Unreachable tells whether the vault could not be reached when last tried.
func (c *Client) Unreachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failing
}

// StartDial opens a connection in the background if there is none.
func (c *Client) StartDial() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.line == nil || c.line.isClosed() {
		c.begin()
	}
}

// begin dials in the background unless that is done already or was just now. It
// is called with the mutex held.
func (c *Client) begin() {
	if c.dialling == nil && time.Since(c.dialled) >= redial {
		c.dialling = make(chan struct{})
		go c.dial(c.dialling)
	}
}

func (c *Client) connected(ctx context.Context) (*line, error) {
	for {
		c.mu.Lock()
		if c.line != nil && !c.line.isClosed() {
			l := c.line
			c.mu.Unlock()
			return l, nil
		}
		c.begin()
		wait, failing := c.dialling, c.failing
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
	ctx, cancel := context.WithTimeout(context.Background(), dialTime)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTime}).DialContext}}
	conn, response, err := websocket.Dial(ctx, "ws://"+c.addr+path, &websocket.DialOptions{HTTPClient: client})
	if response != nil && response.Body != nil {
		defer func() { _ = response.Body.Close() }() // the handshake's body says nothing
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialling = nil
	c.failing = err != nil
	if err != nil {
		c.dialled = time.Now()
		return
	}
	conn.SetReadLimit(maxMessage)
	lifetime, end := context.WithCancel(context.Background())
	l := &line{
		conn: conn, cancel: end, out: make(chan []byte, queue),
		pending: map[uint64]chan vaults.Message{}, heard: time.Now(),
	}
	c.line = l
	go l.write(lifetime)
	go l.read(lifetime)
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.line != nil {
		c.line.close()
	}
}

func (l *line) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

func (l *line) close() {
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
	go func() { _ = l.conn.CloseNow() }() // the connection is given up
}

func (l *line) call(ctx context.Context, data []byte) (vaults.Message, error) {
	wait := make(chan vaults.Message, 1)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil, errors.Wrap(ErrNoAnswer, "connection lost")
	}
	l.next++
	number := l.next
	l.pending[number] = wait
	l.mu.Unlock()
	defer l.forget(number)
	select {
	case l.out <- numbered(number, data):
	default:
		return nil, errors.Wrap(ErrNoAnswer, "too many calls wait")
	}
	select {
	case answer, ok := <-wait:
		if !ok {
			return nil, errors.Wrap(ErrNoAnswer, "connection lost")
		}
		return answer, nil
	case <-ctx.Done():
		return nil, errors.Mark(errors.Wrap(ctx.Err(), "calls: waiting"), ErrNoAnswer)
	}
}

func (l *line) forget(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, number)
}

func numbered(number uint64, data []byte) []byte {
	m := make([]byte, numberBytes, numberBytes+len(data))
	binary.LittleEndian.PutUint64(m, number)
	return append(m, data...)
}

func (l *line) write(ctx context.Context) {
	defer l.close()
	for {
		select {
		case data := <-l.out:
			if l.conn.Write(ctx, websocket.MessageBinary, data) != nil {
				return // close tells all who wait
			}
		case <-ctx.Done():
			return
		}
	}
}

func (l *line) read(ctx context.Context) {
	defer l.close()
	for {
		_, data, err := l.conn.Read(ctx)
		if err != nil || len(data) < numberBytes {
			return // close tells all who wait
		}
		m, err := vaults.Decode(data[numberBytes:])
		if err != nil {
			return
		}
		number := binary.LittleEndian.Uint64(data)
		l.mu.Lock()
		l.heard = time.Now()
		if wait, ok := l.pending[number]; ok {
			wait <- m
			delete(l.pending, number)
		}
		l.mu.Unlock()
	}
}
