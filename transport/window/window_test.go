package window_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/cowslipstage/cowslipstage/transport/window"
)

// However much a client sends, few bytes arrive until the process reads them.
func TestFewBytesArriveUnread(t *testing.T) {
	g := gomega.NewWithT(t)
	config := net.ListenConfig{Control: window.Control(window.Bytes)}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = client.Close() }()
	server, err := l.Accept()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = server.Close() }()
	g.Expect(client.SetWriteDeadline(time.Now().Add(time.Second))).To(gomega.Succeed())
	_, err = client.Write(make([]byte, 32<<20))
	g.Expect(err).To(gomega.HaveOccurred(), "the client is not held back")
	raw, err := server.(*net.TCPConn).SyscallConn()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	unread := 0
	g.Expect(raw.Control(func(fd uintptr) { unread, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })).To(gomega.Succeed())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(unread).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", window.Bytes)))
}
