package relay

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

// lengthBytes is the size of a frame's length.
const lengthBytes = 2

// copyFramed copies in frames until the source ends. It returns nil if the source was
// closed, which it has told then.
func copyFramed(to io.Writer, from io.Reader) error {
	buffer := make([]byte, lengthBytes+copyBytes)
	for {
		n, err := from.Read(buffer[lengthBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, writeErr := to.Write(buffer[:lengthBytes+n]); writeErr != nil {
				return writeErr
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_, err := to.Write(make([]byte, lengthBytes))
			return err
		case err != nil:
			return err
		}
	}
}

// framedConn reads frames. It ends with io.EOF only if the endpoint has closed.
type framedConn struct {
	net.Conn
	reader *bufio.Reader
	// left is what is left of the current frame. closed says that the endpoint has closed.
	left   int
	closed bool
}

func newFramedConn(c net.Conn) *framedConn {
	return &framedConn{Conn: c, reader: bufio.NewReader(c)}
}

// Read reads the endpoint's bytes.
func (c *framedConn) Read(data []byte) (int, error) {
	if c.closed {
		return 0, io.EOF
	}
	if c.left == 0 {
		var length [lengthBytes]byte
		if _, err := io.ReadFull(c.reader, length[:]); err != nil {
			return 0, markEnd(err)
		}
		c.left = int(binary.BigEndian.Uint16(length[:]))
		if c.closed = c.left == 0; c.closed {
			return 0, io.EOF
		}
	}
	n, err := c.reader.Read(data[:min(len(data), c.left)])
	c.left -= n
	return n, markEnd(err)
}

// unmarkedConn is a connection through a relay that sends no frames.
type unmarkedConn struct{ net.Conn }

// Read reads the endpoint's bytes. It never ends with io.EOF.
func (c unmarkedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	return n, markEnd(err)
}

// markEnd turns the end of a connection into an error.
func markEnd(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return ErrUnmarked
	}
	return err
}
