package intake

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/protocol/scan"
	"github.com/cowslipstage/cowslipstage/state/memory"
)

const (
	// readBytes is how much of a head is read at once.
	readBytes = 4 << 10
	// earlyBytes is how much is held of what a client sends before it has its answer. ConnBytes
	// covers it.
	earlyBytes = 4 << 10
	// lingerTime and lingerBytes bound what is read of a client that is refused. A connection that is
	// closed with unread bytes is reset, and the refusal lost.
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 256 << 10
)

var buffers = sync.Pool{New: func() any { return new([readBytes]byte) }}

// conn is a connection to a client. net/http reads from it, from one goroutine at a time.
type conn struct {
	net.Conn
	server *Server
	holder *memory.Holder
	// over is set once the connection is to end, without a further request, and cut once nothing
	// more is to be written.
	over, cut atomic.Bool
	// gone is set once the connection is closed for another one.
	gone atomic.Bool
	// deadline is that of reads in Unix nanoseconds, 0 for none. wake is signalled when it changes.
	deadline atomic.Int64
	wake     chan struct{}

	mu      sync.Mutex
	scanner scan.Scanner
	// held is what was read and not handed on: ready bytes that can be, then bytes that the
	// scanner has seen, then unseen ones.
	held          []byte
	ready, unseen int
	// serving is set from when a head is handed on until its request has been answered.
	serving bool
	// last is set if no further request can be followed.
	last bool
	// raw is set once the connection is not HTTP any more.
	raw bool
	// writing is when the pending write began, zero if there is none. unreadNoted says that the holder
	// has been told that its client does not take the answer.
	writing     time.Time
	unreadNoted bool
	// closing is set once the pending read has a deadline in the past, so that it fails unless it
	// returns bytes.
	closing bool
}

// past is a deadline that ends a pending read.
var past = time.Unix(1, 0)

// end closes the connection for another one, which may need its descriptor. The budget's mutex is
// held.
func (c *conn) end() {
	c.over.Store(true)
	c.gone.Store(true)
	c.signal()
	_ = c.Conn.Close() // net/http closes it once more
	c.server.note(ended, c.RemoteAddr().String())
}

// stop ends the pending read and all further ones.
func (c *conn) stop() {
	c.over.Store(true)
	_ = c.Conn.SetReadDeadline(past) // a closed connection needs none
	c.signal()
}

// signal has a read that does not wait for bytes look at its deadline.
func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// noteDeadline notes the deadline of reads.
func (c *conn) noteDeadline(t time.Time) {
	nanos := int64(0)
	if !t.IsZero() {
		nanos = t.UnixNano()
	}
	c.deadline.Store(nanos)
	c.signal()
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.noteDeadline(t)
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadline of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	c.noteDeadline(t)
	return c.Conn.SetDeadline(t)
}

// awaitDeadline waits until the deadline of reads is over or the connection ends.
func (c *conn) awaitDeadline() error {
	for !c.over.Load() {
		left := time.Duration(1<<63 - 1)
		if nanos := c.deadline.Load(); nanos != 0 {
			left = time.Until(time.Unix(0, nanos))
		}
		if left <= 0 {
			return os.ErrDeadlineExceeded
		}
		select {
		case <-c.wake:
		case <-time.After(left):
		}
	}
	return ErrEnded
}

// Close closes the connection, a little later if the client may not have got its answer yet.
func (c *conn) Close() error {
	c.over.Store(true)
	c.signal()
	if c.unread() && c.closeWrite() == nil {
		c.holder.Enter(time.Now(), memory.Idle)                 // nothing of the request is held any more
		time.AfterFunc(lingerTime, func() { _ = c.closeNow() }) // nobody waits for it
		return nil
	}
	return c.closeNow()
}

func (c *conn) closeNow() error {
	c.server.forget(c)
	c.holder.Close()
	return c.Conn.Close()
}

// unread reports whether the client may still be sending a body. A connection that is closed with
// unread bytes is reset, and an answer on its way to the client lost.
func (c *conn) unread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.gone.Load() && !c.raw && c.serving && !c.scanner.Between()
}

// closeWrite tells the client that nothing more follows.
func (c *conn) closeWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return errors.New("intake: cannot be closed in one direction")
}

// isLast reports whether the connection ends with the current request.
func (c *conn) isLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// hijack passes on all that comes from now on. The connection gives way like one without a request, by
// when it was last used.
func (c *conn) hijack() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.raw, c.ready, c.unseen = true, len(c.held), 0
	c.holder.Enter(time.Now(), memory.Idle)
}

// endRequest notes that a request has been answered.
func (c *conn) endRequest(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
	if !c.scanner.Between() || c.last || !c.holder.Enter(now, memory.Idle) {
		c.over.Store(true)
	}
}

// closeIfIdle makes a pending read fail unless a request has started, and reports whether none had.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving || len(c.held) > 0 || !c.scanner.Between() {
		return false
	}
	c.closing = true
	_ = c.Conn.SetReadDeadline(past) // a closed connection needs none
	return true
}

// overdue ends the connection if its client takes too long, and returns why.
func (c *conn) overdue(now time.Time, l Limits) reason {
	phase, since := c.holder.Phase()
	waited := now.Sub(since)
	c.mu.Lock()
	inHead := c.scanner.InHead()
	c.mu.Unlock()
	c.noteUnread(now)
	switch {
	case phase == memory.Idle && waited > l.IdleTime:
		c.closeIfIdle()
	case phase == memory.Reading && inHead && waited > l.HeadTime:
		c.stop()
		return slowHead
	case phase == memory.Reading && waited > l.IdleTime:
		c.stop()
		return slowBody
	}
	return ""
}

// Read reads from the client. It returns no byte of a head before the head is whole.
func (c *conn) Read(data []byte) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	for {
		n, next, err := c.prepare(data)
		if n > 0 || err != nil {
			return n, err
		}
		switch next {
		case wait:
			return 0, c.awaitDeadline()
		case readDirectly:
			n, err = c.readInto(data, data)
		case readAside:
			buffer := buffers.Get().(*[readBytes]byte)
			n, err = c.readInto(data, buffer[:])
			buffers.Put(buffer)
		}
		if n > 0 || err != nil {
			return n, err
		}
	}
}

// readInto reads from the client and returns how many bytes are in data and can be handed on. into
// is data or a buffer.
func (c *conn) readInto(data, into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	handed, refusal := c.receive(time.Now(), data, into, n)
	switch {
	case refusal != 0:
		c.refuse(refusal)
		return 0, io.EOF
	case handed > 0 || n > 0:
		return handed, nil // an error comes again with the next read
	case c.over.Load():
		return 0, c.ended()
	}
	return 0, err
}

// source is where the next bytes of a connection come from.
type source uint8

const (
	readDirectly source = iota
	readAside           // into a buffer of its own
	wait                // nothing is read for now
)

// prepare hands on what is ready. If there is nothing, it returns how to go on.
func (c *conn) prepare(data []byte) (int, source, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over.Load() {
		return 0, wait, c.endedLocked()
	}
	if c.unseen > 0 && !c.serving && c.ready == 0 {
		c.unseen = 0
		n, refusal := c.follow(time.Now(), c.held)
		if refusal != 0 {
			c.mu.Unlock()
			c.refuse(refusal)
			c.mu.Lock()
			return 0, wait, io.EOF
		}
		c.ready = n
	}
	switch {
	case c.ready > 0:
		return c.hand(data), wait, nil
	case c.raw || len(c.held) == 0:
		return 0, readDirectly, nil
	case c.serving && len(c.held) >= earlyBytes:
		return 0, wait, nil
	}
	return 0, readAside, nil
}

// ended returns the error of a read on a connection that is over.
func (c *conn) ended() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endedLocked()
}

func (c *conn) endedLocked() error {
	if c.serving {
		return ErrEnded
	}
	return io.EOF
}

// hand copies what is ready. The caller holds the mutex.
func (c *conn) hand(data []byte) int {
	n := copy(data, c.held[:c.ready])
	c.ready -= n
	if c.held = c.held[n:]; len(c.held) == 0 {
		c.held = nil
	}
	return n
}

// receive takes n bytes that were read. It returns how many of them are in data and can be handed
// on, or the status with which the client is refused.
func (c *conn) receive(now time.Time, data, into []byte, n int) (int, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 {
		return 0, 0
	}
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // a closed connection needs none
	}
	if c.raw {
		c.holder.Enter(now, memory.Idle)
		return n, 0
	}
	got := into[:n]
	if c.serving && c.scanner.Between() {
		c.held, c.unseen = append(c.held, got...), c.unseen+n
		return 0, 0
	}
	handed, refusal := c.follow(now, got)
	if refusal != 0 {
		return 0, refusal
	}
	if len(c.held) == 0 && &into[0] == &data[0] {
		if !c.hold(now, got[handed:]) {
			return 0, http.StatusServiceUnavailable
		}
		return handed, 0
	}
	before := len(c.held)
	if !c.hold(now, got) {
		return 0, http.StatusServiceUnavailable
	}
	if handed > 0 {
		c.ready = before + handed
	}
	return 0, 0
}

// hold keeps bytes that are not handed on yet, and reports whether there is room. The caller holds
// the mutex.
func (c *conn) hold(now time.Time, data []byte) bool {
	if len(data) == 0 {
		return true
	}
	if grown := len(c.held) + len(data); grown > cap(c.held) {
		size := max(2*cap(c.held), grown)
		if !c.serving && !c.holder.Take(now, int64(size)) {
			return false
		}
		c.held = append(make([]byte, 0, size), c.held...)
	}
	c.held = append(c.held, data...)
	return true
}

// follow looks at bytes that were read and returns how many of them can be handed on, or the
// status with which the client is refused. Those behind the end of a request are not looked at.
// The caller holds the mutex.
func (c *conn) follow(now time.Time, data []byte) (handed, refusal int) {
	for n := 0; n < len(data); {
		if c.scanner.Between() {
			if c.serving {
				c.unseen = len(data) - n
				return handed, 0
			}
			c.holder.Enter(now, memory.Reading)
		}
		inHead, lines := c.scanner.InHead(), c.scanner.Lines()
		consumed, event := c.scanner.Scan(data[n:])
		n += consumed
		if inHead {
			if refusal := c.checkHead(now, event); refusal != 0 {
				return handed, refusal
			}
			if event != scan.None {
				c.serving, handed = true, n
			}
			continue
		}
		c.holder.Arrive(now, consumed)
		if !c.followBody(now, event, c.scanner.Lines()-lines) {
			c.over.Store(true)
			return handed, 0
		}
		handed = n
		if c.last {
			return len(data), 0
		}
	}
	return handed, 0
}

// checkHead checks a head after further bytes, and books what it takes once it is whole. It returns
// the status with which the client is refused, 0 for none.
func (c *conn) checkHead(now time.Time, event scan.Event) int {
	bound := min(max(c.server.options.Limits().HeadBytes, 1), MaxHeadBytes)
	switch {
	case c.scanner.FirstBytes() > bound || c.scanner.HeadBytes() > bound:
		return http.StatusRequestHeaderFieldsTooLarge
	case event == scan.Lost:
		return http.StatusBadRequest
	case event == scan.None:
		return 0
	}
	cost := int64(servingBytes + lineBytes*c.scanner.Lines() + 2*(c.scanner.FirstBytes()+c.scanner.HeadBytes()))
	phase := memory.Reading
	if event == scan.End {
		phase = memory.Serving
	}
	if !c.holder.Take(now, cost) || !c.holder.Enter(now, phase) {
		return http.StatusServiceUnavailable
	}
	return 0
}

// followBody notes further bytes of a body and its trailer. It reports false if there is no room
// for the trailer's lines.
func (c *conn) followBody(now time.Time, event scan.Event, lines int) bool {
	bound := min(max(c.server.options.Limits().HeadBytes, 1), MaxHeadBytes)
	switch {
	case lines > 0 && !c.holder.Take(now, int64(lineBytes*lines)) || c.scanner.HeadBytes() > 2*bound:
		return false
	case event == scan.Lost:
		c.last = true
	case event == scan.End:
		return c.holder.Enter(now, memory.Serving)
	}
	return true
}
