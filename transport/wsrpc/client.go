// Package wsrpc (transport layer) carries requests and answers between gates and
// vaults: messages of package vaults, multiplexed over one WebSocket connection.
package wsrpc

import (
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
)

// ErrNoAnswer means that no answer arrived. The vault may have processed the request.
var ErrNoAnswer = errors.New("wsrpc: no answer")

const (
	// path is the URL path at which a vault accepts connections.
	path = "/calls"
	// maxMessageBytes bounds a message. It exceeds a page of records and the chain
	// of the longest program.
	maxMessageBytes = 16 << 20
	// connectTimeout bounds the TCP handshake. The longest round trip is a few
	// milliseconds, and a host that has just got its power back has not seen a SYN
	// that was sent before.
	connectTimeout = 80 * time.Millisecond
	// dialTimeout bounds connecting with the WebSocket handshake, which waits for the
	// process.
	dialTimeout = 400 * time.Millisecond
	// silenceTimeout is how long a connection with pending calls may deliver nothing
	// before it counts as dead, not even the answer to a ping. It is much shorter than a
	// caller's timeout.
	silenceTimeout = 250 * time.Millisecond
	// probeEvery is how long a call waits before it pings the vault, and again after each ping. A
	// vault whose disk is slow answers that at once.
	probeEvery = 80 * time.Millisecond
	// redialPause is the pause after a failed dial. It limits the cost of an unreachable
	// host.
	redialPause = 100 * time.Millisecond
	// refusedPause replaces it if the host refused the connection at once: its
	// process is starting, and the dial cost little.
	refusedPause = 20 * time.Millisecond
	// directEvery is the pause between two tries to replace a connection by a detour with a
	// direct one. replacedTime is how long the old connection stays for its pending calls.
	directEvery  = 2 * time.Second
	replacedTime = time.Second
	// maxQueuedMessages bounds the unwritten messages of one connection.
	maxQueuedMessages = 1024
	// maxQueuedBytes bounds their size, unless there is only one.
	maxQueuedBytes = 8 << 20
	// numberBytes is the size of the call number that precedes each message.
	numberBytes = 8
)

// DialFunc connects to an IP:port in some other way than directly.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Dial connects directly.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	return (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", addr)
}

// Client calls one vault. It is safe for concurrent use.
type Client struct {
	addr string
	// direct connects to the vault, detour where that fails; detour may be nil.
	direct, detour DialFunc
	// messages bounds what is received.
	messages Messages

	mu sync.Mutex
	// conn is the current connection, or nil. It may be closed.
	conn *connection
	// lastDialFailure is when the last dial failed. The next waits for redialPause.
	lastDialFailure time.Time
	// dialDone is closed when the running dial ends; nil if none runs.
	dialDone chan struct{}
	// unreachable is set if the last connection went silent or the last dial failed.
	// Calls then do not wait for the next dial.
	unreachable bool
	// refused is set if the last dial failed because no process listens at the host.
	refused bool
	// directAt is when a direct connection was last tried while there was one by a detour.
	directAt time.Time
	// dials counts the dials that have succeeded.
	dials int
}

// connection is one WebSocket and the pending calls on it.
type connection struct {
	socket   *websocket.Conn
	cancel   context.CancelFunc
	outgoing chan outgoing
	// queued is the size of the messages that wait to be sent.
	queued atomic.Int64
	// peer and messages say where what is received is booked.
	peer     string
	messages Messages

	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]chan vaults.Message
	// lastReceived is when the last message or answer to a ping arrived. pinging is set while
	// a ping is under way.
	lastReceived time.Time
	pinging      bool
	closed       bool
	// detour says that the connection is not a direct one.
	detour bool
}

// NewClient returns a client of the vault at addr (IP:port). It dials on demand.
func NewClient(addr string) *Client { return &Client{addr: addr, direct: Dial} }

// Call sends a message and waits for its answer.
func (c *Client) Call(ctx context.Context, m vaults.Message) (vaults.Message, error) {
	data, err := vaults.Encode(m)
	if err != nil {
		return nil, err
	}
	cn, err := c.acquire(ctx)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	answer, err := cn.call(ctx, data)
	if err != nil {
		c.dropIfSilent(cn, started)
	}
	return answer, err
}

// dropIfSilent closes a connection that has delivered nothing for silenceTimeout,
// counted from the failed call's start at the earliest.
func (c *Client) dropIfSilent(cn *connection, started time.Time) {
	cn.mu.Lock()
	idleSince := cn.lastReceived
	if started.After(idleSince) {
		idleSince = started
	}
	silent := cn.closed || time.Since(idleSince) > silenceTimeout
	cn.mu.Unlock()
	if !silent {
		return
	}
	cn.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == cn {
		c.unreachable, c.refused = true, false
	}
}

// Connected reports whether there is an open connection. It does not probe it.
func (c *Client) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil && !c.conn.isClosed()
}

// Detour reports whether there is an open connection that is not a direct one.
func (c *Client) Detour() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn != nil && c.conn.detour && !c.conn.isClosed()
}

// Unreachable reports whether the last try to reach the vault failed.
func (c *Client) Unreachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreachable
}

// Refused reports whether the last dial reached the host and no process listened
// there.
func (c *Client) Refused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unreachable && c.refused
}

// Reached reports whether the vault was ever reached.
func (c *Client) Reached() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials > 0
}

// Dials returns how many connections to the vault there have been. A vault that restarts gets
// another one.
func (c *Client) Dials() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dials
}

// StartDial dials in the background if there is no open connection.
func (c *Client) StartDial() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil || c.conn.isClosed() {
		c.dialLocked()
	}
}

// dialLocked dials in the background unless a dial is running or one failed just
// before. The caller holds the mutex.
func (c *Client) dialLocked() {
	pause := redialPause
	if c.refused {
		pause = refusedPause
	}
	if c.dialDone == nil && time.Since(c.lastDialFailure) >= pause {
		c.dialDone = make(chan struct{})
		go c.dial(c.dialDone)
	}
}

func (c *Client) acquire(ctx context.Context) (*connection, error) {
	for {
		c.mu.Lock()
		if c.conn != nil && !c.conn.isClosed() {
			cn := c.conn
			c.mu.Unlock()
			return cn, nil
		}
		c.dialLocked()
		dialEnded, unreachable := c.dialDone, c.unreachable
		c.mu.Unlock()
		if unreachable || dialEnded == nil {
			return nil, errors.Wrapf(ErrNoAnswer, "vault %s is unreachable", c.addr)
		}
		select {
		case <-dialEnded:
		case <-ctx.Done():
			return nil, errors.Mark(errors.Wrapf(ctx.Err(), "wsrpc: dialling %s", c.addr), ErrNoAnswer)
		}
	}
}

// dial connects, by a detour if there is one and the vault does not answer directly. A host
// that refuses is reached, so that no detour helps.
func (c *Client) dial(done chan struct{}) {
	defer close(done)
	socket, err := c.open(c.direct)
	detour := false
	if err != nil && c.detour != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		if s, detourErr := c.open(c.detour); detourErr == nil {
			socket, err, detour = s, nil, true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dialDone = nil
	c.unreachable, c.refused = err != nil, errors.Is(err, syscall.ECONNREFUSED)
	if err != nil {
		c.lastDialFailure = time.Now()
		return
	}
	c.directAt = time.Now()
	c.useLocked(socket, detour)
}

// open makes a WebSocket connection over one that dial makes.
func (c *Client) open(dial DialFunc) (*websocket.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) },
	}}
	socket, response, err := websocket.Dial(ctx, "ws://"+c.addr+path, &websocket.DialOptions{HTTPClient: client})
	if response != nil && response.Body != nil {
		defer func() { _ = response.Body.Close() }() // the handshake's body is not used
	}
	return socket, err
}

// useLocked makes calls use a new connection. One that it replaces stays for its pending calls.
// The caller holds the mutex.
func (c *Client) useLocked(socket *websocket.Conn, detour bool) {
	if old := c.conn; old != nil && !old.isClosed() {
		time.AfterFunc(replacedTime, old.close)
	}
	c.dials++
	socket.SetReadLimit(maxMessageBytes)
	ctx, cancel := context.WithCancel(context.Background())
	cn := &connection{
		socket: socket, cancel: cancel, outgoing: make(chan outgoing, maxQueuedMessages), peer: c.addr, messages: c.messages,
		pending: map[uint64]chan vaults.Message{}, lastReceived: time.Now(), detour: detour,
	}
	c.conn = cn
	go cn.write(ctx)
	go cn.read(ctx)
}

// Direct tries in the background to replace a connection by a detour with a direct one.
func (c *Client) Direct(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil || !c.conn.detour || c.conn.isClosed() || now.Sub(c.directAt) < directEvery {
		return
	}
	c.directAt = now
	go func() {
		socket, err := c.open(c.direct)
		if err != nil {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.useLocked(socket, false)
	}()
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.close()
	}
}

func (cn *connection) isClosed() bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.closed
}

func (cn *connection) close() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.closed {
		return
	}
	cn.closed = true
	cn.cancel()
	for _, result := range cn.pending {
		close(result)
	}
	cn.pending = map[uint64]chan vaults.Message{}
	go func() { _ = cn.socket.CloseNow() }() // nothing more is sent on it
}

func (cn *connection) call(ctx context.Context, data []byte) (vaults.Message, error) {
	result := make(chan vaults.Message, 1)
	cn.mu.Lock()
	if cn.closed {
		cn.mu.Unlock()
		return nil, errors.Wrap(ErrNoAnswer, "connection lost")
	}
	cn.lastNumber++
	number := cn.lastNumber
	cn.pending[number] = result
	cn.mu.Unlock()
	defer cn.removePending(number)
	if !cn.queue(outgoing{number, data}) {
		return nil, errors.Wrap(ErrNoAnswer, "too many queued messages")
	}
	probe := time.NewTicker(probeEvery)
	defer probe.Stop()
	for {
		select {
		case answer, ok := <-result:
			if !ok {
				return nil, errors.Wrap(ErrNoAnswer, "connection lost")
			}
			return answer, nil
		case <-probe.C:
			go cn.ping()
		case <-ctx.Done():
			return nil, errors.Mark(errors.Wrap(ctx.Err(), "wsrpc: waiting for an answer"), ErrNoAnswer)
		}
	}
}

// ping asks the vault for a sign of life and closes the connection if there is none, which
// ends all pending calls. It does nothing if the vault has just sent something, or while
// another ping is under way.
func (cn *connection) ping() {
	cn.mu.Lock()
	unneeded := cn.closed || cn.pinging || time.Since(cn.lastReceived) < probeEvery
	cn.pinging = cn.pinging || !unneeded
	cn.mu.Unlock()
	if unneeded {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), silenceTimeout)
	defer cancel()
	err := cn.socket.Ping(ctx)
	cn.mu.Lock()
	cn.pinging = false
	if err == nil {
		cn.lastReceived = time.Now()
	}
	silent := err != nil && time.Since(cn.lastReceived) >= silenceTimeout
	cn.mu.Unlock()
	if silent {
		cn.close()
	}
}

func (cn *connection) removePending(number uint64) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	delete(cn.pending, number)
}

// outgoing is a message that waits to be sent.
type outgoing struct {
	number uint64
	data   []byte
}

// writeTo sends the message, a long one without copying it once more.
func (o outgoing) writeTo(ctx context.Context, socket *websocket.Conn) error {
	number := make([]byte, numberBytes, numberBytes+min(len(o.data), smallBytes))
	binary.LittleEndian.PutUint64(number, o.number)
	if len(o.data) <= smallBytes {
		return socket.Write(ctx, websocket.MessageBinary, append(number, o.data...))
	}
	w, err := socket.Writer(ctx, websocket.MessageBinary)
	if err != nil {
		return err
	}
	if _, err := w.Write(number); err != nil {
		return err
	}
	if _, err := w.Write(o.data); err != nil {
		return err
	}
	return w.Close()
}

// queue has a message sent, unless too many wait or too much.
func (cn *connection) queue(o outgoing) bool {
	size := int64(len(o.data))
	if queued := cn.queued.Add(size); queued > maxQueuedBytes && queued > size {
		cn.queued.Add(-size)
		return false
	}
	select {
	case cn.outgoing <- o:
		return true
	default:
		cn.queued.Add(-size)
		return false
	}
}

func (cn *connection) write(ctx context.Context) {
	defer cn.close()
	for {
		select {
		case o := <-cn.outgoing:
			err := o.writeTo(ctx, cn.socket)
			cn.queued.Add(-int64(len(o.data)))
			if err != nil {
				return // close fails all pending calls
			}
		case <-ctx.Done():
			return
		}
	}
}

func (cn *connection) read(ctx context.Context) {
	defer cn.close()
	for {
		i, err := cn.messages.receive(ctx, cn.socket, cn.peer)
		noRoom := errors.Is(err, errNoRoom)
		if err != nil && !noRoom || len(i.data) < numberBytes {
			return // close fails all pending calls
		}
		number := binary.LittleEndian.Uint64(i.data)
		var m vaults.Message
		if !noRoom && i.take(len(i.data)) {
			m, err = vaults.Decode(i.data[numberBytes:])
		}
		i.release() // the caller books what it keeps
		if m == nil && err != nil && !noRoom {
			return
		}
		cn.mu.Lock()
		cn.lastReceived = time.Now()
		if result, ok := cn.pending[number]; ok {
			if delete(cn.pending, number); m != nil {
				result <- m
			} else {
				close(result)
			}
		}
		cn.mu.Unlock()
	}
}
