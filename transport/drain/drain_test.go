package drain_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/transport/drain"
)

func serve(t *testing.T, handler http.HandlerFunc) *drain.Listener {
	g := gomega.NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	l := drain.New(inner)
	s := &http.Server{Handler: handler, ConnState: l.ConnState, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return l
}

func dial(g *gomega.WithT, l *drain.Listener) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return c, bufio.NewReader(c)
}

func TestCloseIdleSparesBusyConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	entered, release := make(chan bool), make(chan bool)
	l := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		entered <- true
		<-release
		g.Expect(r.Context().Err()).NotTo(gomega.HaveOccurred())
	})
	_, idle := dial(g, l)
	c, busy := dial(g, l)
	_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	<-entered
	g.Expect(l.CloseIdle()).To(gomega.Equal(1))
	_, err = idle.ReadByte()
	g.Expect(err).To(gomega.HaveOccurred())
	release <- true
	response, err := http.ReadResponse(busy, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(response.Body.Close()).To(gomega.Succeed())
}

// A request whose bytes arrive while CloseIdle runs is either answered or never
// reaches the handler. Otherwise its caller would lose the answer to a
// request that ran.
func TestHandledRequestIsAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	for round := range 300 {
		handled := make(chan bool, 1)
		l := serve(t, func(http.ResponseWriter, *http.Request) { handled <- true })
		c, reader := dial(g, l)
		go func() {
			time.Sleep(time.Duration(round%30) * 10 * time.Microsecond)
			_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		}()
		for range 20 {
			l.CloseIdle()
			time.Sleep(20 * time.Microsecond)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			g.Expect(handled).NotTo(gomega.Receive(), "round %d", round)
		} else {
			g.Expect(response.Body.Close()).To(gomega.Succeed())
		}
		g.Expect(c.Close()).To(gomega.Succeed())
	}
}
