package whole_test

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/transport/whole"
)

// broken is a connection that the peer has ended. Reads return the given errors one after the other. A
// write returns its error once it has a deadline in the past.
type broken struct {
	net.Conn
	reads []error
	write error

	once     sync.Once
	writing  chan struct{}
	deadline chan struct{}
}

func (b *broken) Read([]byte) (int, error) {
	err := b.reads[0]
	b.reads = b.reads[1:]
	return 0, err
}

func (b *broken) Write([]byte) (int, error) {
	close(b.writing)
	<-b.deadline
	return 0, b.write
}

func (b *broken) SetWriteDeadline(at time.Time) error {
	if at.Before(time.Now()) {
		b.once.Do(func() { close(b.deadline) })
	}
	return nil
}

func kernelError(number syscall.Errno) error {
	return &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", number)}
}

// Whatever the pending write is told decides what the end of the reads means, also where it returns later.
func TestTheEndIsWhatThePendingWriteIsTold(t *testing.T) {
	for name, c := range map[string]struct {
		write error
		want  error
	}{
		"reset": {kernelError(syscall.ECONNRESET), syscall.ECONNRESET}, "given up": {kernelError(syscall.ETIMEDOUT), syscall.ETIMEDOUT},
		"host gone": {kernelError(syscall.EHOSTUNREACH), syscall.EHOSTUNREACH}, "closed before": {kernelError(syscall.EPIPE), io.EOF},
		"ended for the reader": {os.ErrDeadlineExceeded, io.EOF}, "written": {nil, io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := &broken{reads: []error{io.EOF}, write: c.write, writing: make(chan struct{}), deadline: make(chan struct{})}
			conn := whole.NewConn(b)
			go func() { _, _ = conn.Write([]byte("body")) }()
			g.Eventually(b.writing).Should(gomega.BeClosed())
			_, err := conn.Read(make([]byte, 1))
			g.Expect(errors.Is(err, c.want)).To(gomega.BeTrue(), "%v", err)
		})
	}
}

// A reset that a read was told stays the end of the connection.
func TestAResetIsReportedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	conn := whole.NewConn(&broken{reads: []error{kernelError(syscall.ECONNRESET), io.EOF}, deadline: make(chan struct{})})
	for range 2 {
		_, err := conn.Read(make([]byte, 1))
		g.Expect(errors.Is(err, syscall.ECONNRESET)).To(gomega.BeTrue(), "%v", err)
	}
}

// Where the kernel tells one call only, no read of a real connection that was reset ends in order.
func TestOneCallIsToldOfAReset(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	raw, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = raw.Close() }()
	peer, err := l.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(peer.(*net.TCPConn).SetLinger(0)).To(gomega.Succeed())
	_, err = io.WriteString(peer, "part")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	conn := whole.NewConn(raw)
	first := make([]byte, 1)
	_, err = io.ReadFull(conn, first)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(peer.Close()).To(gomega.Succeed())
	g.Eventually(func() error {
		_, err := conn.Write([]byte("body"))
		return err
	}).Should(gomega.MatchError(syscall.ECONNRESET))
	rest, err := io.ReadAll(conn)
	g.Expect(string(rest)).To(gomega.Equal("art"), "what arrived before can be read")
	g.Expect(errors.Is(err, syscall.ECONNRESET)).To(gomega.BeTrue(), "%v", err)
}
