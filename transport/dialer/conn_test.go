package dialer

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestTrackedConnBlocksWritesAfterItsRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	w := &trackedConn{Conn: near}
	a := &requestConns{conns: map[*trackedConn]int{}}
	a.conns[w] = w.startRequest(time.Now().Add(time.Hour))
	_, err := w.Write([]byte("in time"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a.stopWrites()).To(gomega.BeFalse())
	_, err = w.Write([]byte("after the attempt"))
	g.Expect(err).To(gomega.MatchError(errWritesBlocked))
}

func TestTrackedConnBlocksLateWrites(t *testing.T) {
	g := gomega.NewWithT(t)
	near, _ := net.Pipe()
	w := &trackedConn{Conn: near}
	a := &requestConns{conns: map[*trackedConn]int{}}
	a.conns[w] = w.startRequest(time.Now().Add(-time.Second))
	_, err := w.Write([]byte("too late"))
	g.Expect(err).To(gomega.MatchError(errWritesBlocked))
	g.Expect(a.stopWrites()).To(gomega.BeTrue())
}
