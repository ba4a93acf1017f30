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
	c := &trackedConn{Conn: near}
	r := &requestConns{conns: map[*trackedConn]int{}}
	r.conns[c] = c.startRequest(time.Now().Add(time.Hour))
	_, err := c.Write([]byte("in time"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.stopWrites()).To(gomega.BeFalse())
	_, err = c.Write([]byte("after the attempt"))
	g.Expect(err).To(gomega.MatchError(errWritesBlocked))
}

func TestTrackedConnBlocksLateWrites(t *testing.T) {
	g := gomega.NewWithT(t)
	near, _ := net.Pipe()
	c := &trackedConn{Conn: near}
	r := &requestConns{conns: map[*trackedConn]int{}}
	r.conns[c] = c.startRequest(time.Now().Add(-time.Second))
	_, err := c.Write([]byte("too late"))
	g.Expect(err).To(gomega.MatchError(errWritesBlocked))
	g.Expect(r.stopWrites()).To(gomega.BeTrue())
}
