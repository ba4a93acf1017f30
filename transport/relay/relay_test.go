package relay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/state/memory"
	"github.com/cowslipstage/cowslipstage/transport/pool"
	"github.com/cowslipstage/cowslipstage/transport/relay"
)

// listen serves each connection with handle and returns the address.
func listen(t *testing.T, handle func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c)
		}
	}()
	return l.Addr().String()
}

// newRelay starts a relay and returns its address.
func newRelay(t *testing.T, dial relay.DialFunc) (*relay.Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	s := relay.New(dial, memory.New(0).Group(0), zerolog.Nop())
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String()
}

func dial(t *testing.T, via, addr string) net.Conn {
	c, err := relay.Dial(context.Background(), pool.Dial, via, addr, true)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	gomega.NewWithT(t).Expect(c.SetDeadline(time.Now().Add(2 * time.Second))).To(gomega.Succeed())
	return c
}

func TestBytesPassInBothDirections(t *testing.T) {
	g := gomega.NewWithT(t)
	text := strings.Repeat("a long answer ", 20000)
	endpoint := listen(t, func(c net.Conn) {
		request := make([]byte, 4)
		_, _ = io.ReadFull(c, request)
		_, _ = io.WriteString(c, string(request)+text)
		_ = c.Close()
	})
	s, via := newRelay(t, pool.Dial)
	c := dial(t, via, endpoint)
	_, err := io.WriteString(c, "ping")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	answer, err := io.ReadAll(c)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "the endpoint closed, so the answer is complete")
	g.Expect(string(answer)).To(gomega.Equal("ping" + text))
	_ = c.Close()
	g.Eventually(s.Active).WithTimeout(2 * time.Second).Should(gomega.BeZero())
}

// An answer without a length ends with its connection. If the endpoint resets it, the
// answer must not look complete behind the relay.
func TestAResetPassesAsAReset(t *testing.T) {
	g := gomega.NewWithT(t)
	endpoint := listen(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "half")
		time.Sleep(50 * time.Millisecond) // else the reset overtakes the bytes
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	_, via := newRelay(t, pool.Dial)
	_, err := io.ReadAll(dial(t, via, endpoint))
	g.Expect(err).To(gomega.HaveOccurred())
}

func TestAGateThatClosesEndsTheEndpointsConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	ended := make(chan struct{})
	endpoint := listen(t, func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		close(ended)
	})
	_, via := newRelay(t, pool.Dial)
	_ = dial(t, via, endpoint).Close()
	g.Eventually(ended).WithTimeout(500 * time.Millisecond).Should(gomega.BeClosed())
}

func TestErrorsTellTheRelayFromTheEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	const gone = "127.0.0.1:1" // a port of a closed listener may be another one's by now
	_, sound := newRelay(t, pool.Dial)
	_, cut := newRelay(t, func(context.Context, string) (net.Conn, error) { return nil, relay.ErrRelay })
	mute := listen(t, func(net.Conn) {})
	closing := listen(t, func(c net.Conn) { _ = c.Close() })
	for name, c := range map[string]struct {
		via  string
		want error
	}{
		"endpoint gone": {sound, relay.ErrEndpoint}, "relay cut off": {cut, relay.ErrRelay}, "relay gone": {gone, relay.ErrRelay},
		"relay mute": {mute, relay.ErrRelay}, "relay closes": {closing, relay.ErrRelay},
	} {
		_, err := relay.Dial(context.Background(), pool.Dial, c.via, gone, true)
		g.Expect(errors.Is(err, c.want)).To(gomega.BeTrue(), "%s: %v", name, err)
	}
}

// Bytes that are no address end a connection and hold no memory.
func TestAnAddressWithoutEndIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	s, via := newRelay(t, pool.Dial)
	c, err := net.Dial("tcp", via)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = c.Close() }()
	go func() {
		for {
			if _, err := io.WriteString(c, "no address"); err != nil {
				return
			}
		}
	}()
	g.Eventually(func() int64 { return s.Active() }).WithTimeout(2 * time.Second).Should(gomega.BeZero())
}

// A relay that is killed closes its connections in order. An answer without a length looked
// complete then.
func TestTheEndOfARelayIsNotTheEndOfAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		framed  bool
		written string
		whole   bool
	}{
		"between frames": {true, "c\x00\x04half", false}, "in a frame": {true, "c\x00\x08half", false}, "in a length": {true, "c\x00\x04half\x00", false},
		"before a byte": {true, "c", false}, "closed by the endpoint": {true, "c\x00\x04half\x00\x00", true},
		"an earlier build": {false, "chalf", false},
	} {
		g := gomega.NewWithT(t)
		via := listen(t, func(conn net.Conn) {
			line, err := bufio.NewReader(conn).ReadString('\n')
			if err == nil && strings.HasSuffix(line, " framed\n") == c.framed {
				_, _ = io.WriteString(conn, c.written)
			}
			_ = conn.Close()
		})
		conn, err := relay.Dial(context.Background(), pool.Dial, via, "10.0.0.1:1", c.framed)
		g.Expect(err).NotTo(gomega.HaveOccurred(), name)
		answer, err := io.ReadAll(conn)
		g.Expect(strings.HasPrefix("half", string(answer))).To(gomega.BeTrue(), "%s: %q", name, answer)
		if c.whole {
			g.Expect(err).NotTo(gomega.HaveOccurred(), name)
		} else {
			g.Expect(errors.Is(err, relay.ErrUnmarked)).To(gomega.BeTrue(), "%s: %v", name, err)
		}
		_ = conn.Close()
	}
}

// A gate of an earlier build gets the endpoint's bytes as they are.
func TestAGateThatReadsNoFramesGetsNone(t *testing.T) {
	g := gomega.NewWithT(t)
	endpoint := listen(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "text")
		_ = c.Close()
	})
	_, via := newRelay(t, pool.Dial)
	c, err := net.Dial("tcp", via)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, endpoint+"\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(io.ReadAll(c)).To(gomega.Equal([]byte("ctext")))
}

// Beyond their number, a relayed connection that has carried nothing for longest gives way to a new one.
func TestSilentConnectionsGiveWay(t *testing.T) {
	g := gomega.NewWithT(t)
	endpoint := listen(t, func(c net.Conn) { _, _ = io.Copy(c, c) })
	s := relay.New(func(ctx context.Context, addr string) (net.Conn, error) { return pool.Dial(ctx, addr) }, memory.New(0).Group(3), zerolog.Nop())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = s.Serve(l) }()
	dial := func() net.Conn {
		c, err := relay.Dial(t.Context(), pool.Dial, l.Addr().String(), endpoint, true)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	say := func(c net.Conn) error {
		if _, err := io.WriteString(c, "x"); err != nil {
			return err
		}
		_, err := io.ReadFull(c, make([]byte, 1))
		return err
	}
	used := dial()
	for range 10 {
		g.Expect(say(used)).To(gomega.Succeed())
		dial()
	}
	g.Expect(say(used)).To(gomega.Succeed())
	g.Eventually(s.Active).Should(gomega.Equal(int64(3)))
}
