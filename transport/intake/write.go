package intake

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/state/memory"
)

const (
	// writeBytes is how much of an answer is written at once.
	writeBytes = 64 << 10
	// unreadTime is how long a client may leave a part of its answer unread until it can be ended for
	// others.
	unreadTime = 2 * time.Second
	// refuseTime bounds the writing of a refusal.
	refuseTime = 100 * time.Millisecond
)

// Write writes to the client, which may leave each part unread for the idle time.
func (c *conn) Write(data []byte) (int, error) {
	idle := c.server.options.Limits().IdleTime
	written := 0
	for first := true; first || written < len(data); first = false {
		_ = c.SetWriteDeadline(time.Now().Add(idle)) // a closed connection needs none
		if c.cut.Load() {
			return written, os.ErrDeadlineExceeded
		}
		c.beginWrite(time.Now())
		n, err := c.Conn.Write(data[written:min(len(data), written+writeBytes)])
		c.endWrite(time.Now())
		if written += n; err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && !c.cut.Swap(true) {
				c.server.note(slowReader, c.RemoteAddr().String())
			}
			return written, err
		}
	}
	return written, nil
}

func (c *conn) beginWrite(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = now
}

// endWrite notes that the client has taken some of its answer, or that it will not.
func (c *conn) endWrite(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = time.Time{}
	if c.unreadNoted {
		c.unreadNoted = false
		c.holder.Enter(now, memory.Serving)
	}
}

// noteUnread lets the connection give way to others if its client has not taken a part of its answer
// for some time.
func (c *conn) noteUnread(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving && !c.raw && !c.unreadNoted && !c.writing.IsZero() && now.Sub(c.writing) >= unreadTime {
		c.unreadNoted = true
		c.holder.Enter(now, memory.Unread)
	}
}

// cutWrite ends the pending write and all further ones.
func (c *conn) cutWrite() {
	c.cut.Store(true)
	_ = c.SetWriteDeadline(past) // a closed connection needs none
}

// reasons names what clients are refused for.
var reasons = map[int]reason{
	http.StatusRequestHeaderFieldsTooLarge: longHead, http.StatusBadRequest: malformed, http.StatusServiceUnavailable: memoryFull,
}

// refuse answers a client whose request has not been handed on, and waits for a moment until the
// client has left.
func (c *conn) refuse(status int) {
	c.server.note(reasons[status], c.RemoteAddr().String())
	c.over.Store(true)
	c.mu.Lock()
	c.held, c.ready, c.unseen = nil, 0, 0
	busy := c.serving
	c.mu.Unlock()
	c.holder.Enter(time.Now(), memory.Idle)
	if busy {
		return // the answer to the request before is under way
	}
	text := http.StatusText(status) + "; it has not run\n"
	retry := ""
	if status == http.StatusServiceUnavailable && c.server.options.RetryAfter != nil {
		name, value := c.server.options.RetryAfter()
		retry = name + ": " + value + "\r\n"
	}
	_ = c.SetWriteDeadline(time.Now().Add(refuseTime)) //nolint:staticcheck // not that of c, which sets its own; what fails is noticed below
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		status, http.StatusText(status), len(text), retry, text)
	if err != nil || c.closeWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, lingerBytes))
}
