package dialer

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestWire(t *testing.T) {
	g := gomega.NewWithT(t)
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	w := &wire{Conn: near}
	a := &attempt{wires: map[*wire]int{}}
	a.wires[w] = w.begin(time.Now().Add(time.Hour))
	_, err := w.Write([]byte("in time"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(a.untouched()).To(gomega.BeFalse())
	_, err = w.Write([]byte("after the attempt"))
	g.Expect(err).To(gomega.MatchError(errSealed))
}

func TestWireLate(t *testing.T) {
	g := gomega.NewWithT(t)
	near, _ := net.Pipe()
	w := &wire{Conn: near}
	a := &attempt{wires: map[*wire]int{}}
	a.wires[w] = w.begin(time.Now().Add(-time.Second))
	_, err := w.Write([]byte("too late"))
	g.Expect(err).To(gomega.MatchError(errSealed))
	g.Expect(a.untouched()).To(gomega.BeTrue())
}
