// Package relay (transport layer) lets a gate that reaches no endpoint connect to one
// through another gate, which only passes bytes on.
//
// A connection begins with the endpoint's IP:port, " framed" if the gate reads frames, and a
// line feed. The relay answers with one byte of type outcome. After connected, the gate's bytes
// follow as they are, and the endpoint's in frames: two bytes of length, big-endian, and as
// many bytes. A frame without bytes says that the endpoint has closed its connection in order. Without
// it that was reset, or the relay has failed, since a process that is killed closes its connections in order, too.
//
// Relays of earlier builds send the endpoint's bytes as they are. A connection through one
// ends with ErrUnmarked where it cannot be told who has closed it.
package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/state/memory"
	"github.com/cowslipstage/cowslipstage/transport/window"
)

// The errors of Dial.
var (
	// ErrRelay means that the relay cannot help: it was not reached, or reaches no
	// endpoint itself.
	ErrRelay = errors.New("relay: no relay")
	// ErrEndpoint means that the relay does not reach this endpoint.
	ErrEndpoint = errors.New("relay: endpoint not reached")
	// ErrUnmarked means that a connection ended without a mark that the endpoint closed it in order.
	ErrUnmarked = errors.New("relay: ended before the endpoint's bytes did")
)

// outcome is a relay's answer to an address.
type outcome byte

const (
	connected outcome = 'c'
	// failed: connecting to the endpoint failed.
	failed outcome = 'f'
	// unable: the relay reaches no endpoint, or does not know this one.
	unable outcome = 'u'
)

const (
	// maxAddress bounds the first line.
	maxAddress = 64
	// framedWord follows the address in the first line.
	framedWord = "framed"
	// openTimeout bounds the first line and its answer. It is longer than connecting to an
	// endpoint may take.
	openTimeout = 400 * time.Millisecond
	// closeTimeout is how long the other side may take to close after the endpoint has.
	closeTimeout = time.Second
	// copyBytes is the most that is passed on at once.
	copyBytes = 16 << 10
	// connBytes is what a relayed connection takes: its buffers and goroutines, and what has arrived from
	// both sides.
	connBytes = 2*copyBytes + 16<<10 + 2*window.Bytes
	// minAcceptPause and maxAcceptPause bound the pause after accepting failed.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// DialFunc connects a relay to an endpoint that it knows. ErrRelay marks the errors of a
// relay that cannot help.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Server is a gate's relay for others. It is safe for concurrent use.
type Server struct {
	dial DialFunc
	log  zerolog.Logger
	// group holds the connections. One that has carried nothing for longest gives way to others.
	group *memory.Group
	// active counts the connections being relayed.
	active atomic.Int64
}

// New returns a server that connects with dial and books its connections in a group.
func New(dial DialFunc, group *memory.Group, log zerolog.Logger) *Server {
	return &Server{dial: dial, group: group, log: log}
}

// Active returns how many connections are being relayed.
func (s *Server) Active() int64 { return s.active.Load() }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	pause := minAcceptPause
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "relay: accepting")
		}
		if err != nil {
			s.log.Warn().Err(err).Msg("accepting a connection to relay failed; trying again") // no descriptor is free
			time.Sleep(pause)
			pause = min(maxAcceptPause, 2*pause)
			continue
		}
		pause = minAcceptPause
		addr, _, _ := net.SplitHostPort(c.RemoteAddr().String()) // "" is as good
		holder, ok := s.group.Open(time.Now(), addr, connBytes, func() { _ = c.Close() })
		if !ok {
			_ = c.Close() // the gate tries another relay
			continue
		}
		s.active.Add(1)
		go func() {
			defer s.active.Add(-1)
			defer holder.Close()
			s.relay(c, holder)
		}()
	}
}

// relay serves one connection of another gate.
func (s *Server) relay(from net.Conn, holder *memory.Holder) {
	defer func() { _ = from.Close() }() // both directions have ended
	_ = from.SetDeadline(time.Now().Add(openTimeout))
	reader := bufio.NewReaderSize(io.LimitReader(from, maxAddress), maxAddress)
	line, err := reader.ReadString('\n')
	if err != nil {
		s.log.Debug().Err(err).Str("peer", from.RemoteAddr().String()).Msg("no address to relay to")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	addr, word, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
	to, err := s.dial(ctx, addr)
	answer := connected
	switch {
	case errors.Is(err, ErrRelay):
		answer = unable
	case err != nil:
		answer = failed
	}
	if _, writeErr := from.Write([]byte{byte(answer)}); writeErr != nil || err != nil {
		if err == nil {
			_ = to.Close() // it has carried nothing
		}
		return
	}
	_ = from.SetDeadline(time.Time{})
	pass(from, to, word == framedWord, func() { holder.Enter(time.Now(), memory.Idle) })
}

// noted reads and calls note for what comes.
type noted struct {
	io.Reader
	note func()
}

// Read reads.
func (n noted) Read(data []byte) (int, error) {
	count, err := n.Reader.Read(data)
	n.note()
	return count, err
}

// pass copies bytes between a gate and an endpoint until one of them ends. A gate that
// closes has given up its request, so the endpoint sees that at once. note is called whenever bytes come.
func pass(gate, endpoint net.Conn, framed bool, note func()) {
	back := copyBuffered
	if framed {
		back = copyFramed
	}
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		forward(endpoint, noted{gate, note})
		_ = endpoint.Close()
	}()
	err := back(gate, noted{endpoint, note})
	if closer, ok := gate.(*net.TCPConn); ok {
		if err != nil && !framed {
			_ = closer.SetLinger(0) // an answer that was reset must not look complete
		} else {
			// What was passed on may not have arrived, and a reset would discard it.
			_ = closer.CloseWrite()
			_ = gate.SetReadDeadline(time.Now().Add(closeTimeout))
			<-gone
		}
	}
	_ = gate.Close()
	<-gone
}

// forward copies a gate's bytes to an endpoint until the gate ends. An endpoint that takes no more may have
// answered before, and its answer is still being passed on; the gate's further bytes are then dropped.
func forward(endpoint io.Writer, gate io.Reader) {
	if err := copyBuffered(endpoint, gate); errors.Is(err, errWrite) {
		_, _ = io.Copy(io.Discard, gate)
	}
}

// errWrite marks the errors of the side that is written to.
var errWrite = errors.New("relay: write")

// copyBuffered copies until the source ends. It returns nil if the source was closed.
func copyBuffered(to io.Writer, from io.Reader) error {
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return errors.Mark(writeErr, errWrite)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

// Dial connects to an endpoint through the relay at via. connect opens the connection to
// the relay. framed says that the relay is known to send frames.
func Dial(ctx context.Context, connect DialFunc, via, addr string, framed bool) (net.Conn, error) {
	c, err := connect(ctx, via)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "relay: %s", via), ErrRelay)
	}
	line := addr
	if framed {
		line += " " + framedWord
	}
	answer, err := open(ctx, c, line)
	switch {
	case err == nil && answer == connected && framed:
		return newFramedConn(c), nil
	case err == nil && answer == connected:
		return unmarkedConn{c}, nil
	}
	_ = c.Close() // it leads nowhere
	switch {
	case err != nil:
		return nil, errors.Mark(errors.Wrapf(err, "relay: %s", via), ErrRelay)
	case answer == failed:
		return nil, errors.Wrapf(ErrEndpoint, "%s by %s", addr, via)
	default:
		return nil, errors.Wrapf(ErrRelay, "%s by %s: %q", addr, via, byte(answer))
	}
}

// open sends the first line and reads the answer.
func open(ctx context.Context, c net.Conn, line string) (outcome, error) {
	deadline := time.Now().Add(openTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.SetDeadline(deadline); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return 0, err
	}
	// Exactly one byte: what follows is the endpoint's.
	var answer [1]byte
	if _, err := io.ReadFull(c, answer[:]); err != nil {
		return 0, err
	}
	return outcome(answer[0]), c.SetDeadline(time.Time{})
}
