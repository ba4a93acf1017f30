package intake_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/state/memory"
	"github.com/cowslipstage/cowslipstage/transport/intake"
)

// fixture is a server on loopback.
type fixture struct {
	*intake.Server
	t      *testing.T
	g      *gomega.WithT
	addr   string
	budget *memory.Budget
	set    *metrics.Set
}

// serve starts a server. change may change its options.
func serve(t *testing.T, handler http.HandlerFunc, change ...func(*intake.Options)) *fixture {
	f := &fixture{t: t, g: gomega.NewWithT(t), budget: memory.New(4 << 20), set: metrics.NewSet()}
	o := intake.Options{Name: "test", Budget: f.budget, Set: f.set, Log: zerolog.Nop()}
	for _, c := range change {
		c(&o)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.addr, f.Server = l.Addr().String(), intake.New(handler, o)
	go func() { _ = f.Serve(l) }()
	t.Cleanup(func() { _ = f.Close() })
	return f
}

// dial opens a connection to the server, which stays open until the test ends. A connection that nothing
// refers to is closed when the garbage collector finds it.
func (f *fixture) dial() (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", f.addr)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.t.Cleanup(func() { _ = c.Close() }) // many tests close it before
	return c, bufio.NewReader(c)
}

// refused returns how many clients were refused for a reason.
func (f *fixture) refused(reason string) string {
	var text bytes.Buffer
	f.set.WritePrometheus(&text)
	_, rest, _ := strings.Cut(text.String(), fmt.Sprintf("cowslipstage_clients_refused_total{listener=%q,reason=%q} ", "test", reason))
	count, _, _ := strings.Cut(rest, "\n")
	return count
}

// expectStatus reads an answer and expects its status.
func (f *fixture) expectStatus(r *bufio.Reader, status int) {
	a, err := http.ReadResponse(r, nil)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.Copy(io.Discard, a.Body)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.g.Expect(a.Body.Close()).To(gomega.Succeed())
	f.g.Expect(a.StatusCode).To(gomega.Equal(status))
}

// echo answers with the request's path and body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s", r.URL.Path, body)
}

func TestCloseIdleSparesBusyConnections(t *testing.T) {
	entered, release := make(chan bool), make(chan bool)
	var f *fixture
	f = serve(t, func(_ http.ResponseWriter, r *http.Request) {
		entered <- true
		<-release
		f.g.Expect(r.Context().Err()).NotTo(gomega.HaveOccurred())
	})
	_, idle := f.dial()
	c, busy := f.dial()
	_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	<-entered
	f.g.Expect(f.CloseIdle()).To(gomega.Equal(1))
	_, err = idle.ReadByte()
	f.g.Expect(err).To(gomega.HaveOccurred())
	release <- true
	f.expectStatus(busy, http.StatusOK)
}

// A request whose bytes arrive while CloseIdle runs is either answered or never
// reaches the handler. Otherwise its caller would lose the answer to a
// request that ran.
func TestHandledRequestIsAnswered(t *testing.T) {
	for round := range 300 {
		handled := make(chan bool, 1)
		f := serve(t, func(http.ResponseWriter, *http.Request) { handled <- true })
		c, reader := f.dial()
		go func() {
			time.Sleep(time.Duration(round%30) * 10 * time.Microsecond)
			_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		}()
		for range 20 {
			f.CloseIdle()
			time.Sleep(20 * time.Microsecond)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			f.g.Expect(handled).NotTo(gomega.Receive(), "round %d", round)
		} else {
			f.g.Expect(response.Body.Close()).To(gomega.Succeed())
		}
		f.g.Expect(c.Close()).To(gomega.Succeed())
	}
}

// However the bytes of requests are cut, and whether or not a client waits for its answers, each
// request arrives whole and in order.
func TestRequestsArriveWholeHoweverTheyAreCut(t *testing.T) {
	f := serve(t, echo)
	long := strings.Repeat("x", 40<<10)
	var sent, want strings.Builder
	for i, body := range []string{"", "hello", long, "", "last"} {
		_, _ = fmt.Fprintf(&sent, "POST /%d HTTP/1.1\r\nHost: a\r\nA: %s\r\nContent-Length: %d\r\n\r\n%s", i, long[:i*1500], len(body), body)
		_, _ = fmt.Fprintf(&want, "/%d %s", i, body)
		_, _ = fmt.Fprintf(&sent, "POST /c%d HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x;a=b\r\n%s!\r\n0\r\nT: u\r\n\r\n", i, len(body)+1, body)
		_, _ = fmt.Fprintf(&want, "/c%d %s!", i, body)
	}
	for _, piece := range []int{1, 3, 100, 5000, 1 << 20} {
		c, r := f.dial()
		go func() {
			for rest := sent.String(); rest != ""; {
				n := min(piece, len(rest))
				if _, err := io.WriteString(c, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		var got strings.Builder
		for range 10 {
			a, err := http.ReadResponse(r, nil)
			f.g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = io.Copy(&got, a.Body)
			f.g.Expect(err).NotTo(gomega.HaveOccurred())
			f.g.Expect(a.Body.Close()).To(gomega.Succeed())
		}
		f.g.Expect(got.String() == want.String()).To(gomega.BeTrue(), "pieces of %d", piece)
		f.g.Expect(c.Close()).To(gomega.Succeed())
	}
	f.g.Eventually(f.budget.Taken).Should(gomega.BeZero())
}

// A head over the limit is refused as such, and one that cannot be followed as malformed. The client
// reads the refusal although it sends more.
func TestHeadsOverTheLimitAreRefused(t *testing.T) {
	limits := func(o *intake.Options) {
		o.Limits = func() intake.Limits {
			return intake.Limits{HeadBytes: 16 << 10, HeadTime: time.Minute, IdleTime: time.Minute}
		}
	}
	for _, k := range []struct {
		head, reason string
		status       int
	}{
		{"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a: b\r\n", 5000), "head", http.StatusRequestHeaderFieldsTooLarge},
		{"GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", 30<<10), "head", http.StatusRequestHeaderFieldsTooLarge},
		{"GET /" + strings.Repeat("x", 30<<10), "head", http.StatusRequestHeaderFieldsTooLarge},
		{strings.Repeat("\r\n", 1000), "malformed", http.StatusBadRequest},
		{"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n", "malformed", http.StatusBadRequest},
	} {
		f := serve(t, echo, limits)
		c, r := f.dial()
		go func() { _, _ = io.WriteString(c, k.head) }()
		f.expectStatus(r, k.status)
		f.g.Expect(f.refused(k.reason)).To(gomega.Equal("1"))
	}
	f := serve(t, echo, limits)
	for _, head := range []string{strings.Repeat("a:\r\n", 4000), "A: " + strings.Repeat("x", 16000) + "\r\n"} {
		c, r := f.dial()
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n"+head+"\r\n")
		f.g.Expect(err).NotTo(gomega.HaveOccurred())
		f.expectStatus(r, http.StatusOK)
	}
}

// A client that is refused while it sends its body gets its refusal, also if it wants its connection
// closed.
func TestARefusalArrivesWhileABodyIsSent(t *testing.T) {
	f := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	for _, more := range []string{"", "Connection: close\r\n"} {
		c, r := f.dial()
		sent := make(chan bool)
		go func() {
			// The refusal may end it.
			_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n%s", more, 16<<20, strings.Repeat("x", 16<<20))
			close(sent)
		}()
		time.Sleep(50 * time.Millisecond) // the refusal is there, and would be lost
		f.expectStatus(r, http.StatusServiceUnavailable)
		f.g.Expect(c.Close()).To(gomega.Succeed())
		<-sent
	}
	f.g.Eventually(f.budget.Taken).WithTimeout(2 * time.Second).Should(gomega.BeZero())
}

// A head is refused before it is parsed if what it takes does not fit beside the requests that are
// served, and such a refusal says when to come back.
func TestAHeadWithoutRoomIsRefused(t *testing.T) {
	release := make(chan bool)
	f := serve(t, func(http.ResponseWriter, *http.Request) { <-release }, func(o *intake.Options) {
		o.RetryAfter = func() (string, string) { return "Retry-After", "0.25" }
	})
	head := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 4000) + "\r\n"
	var last *bufio.Reader
	for f.refused("memory") == "0" {
		c, r := f.dial()
		_, err := io.WriteString(c, head)
		f.g.Expect(err).NotTo(gomega.HaveOccurred())
		last = r
		time.Sleep(10 * time.Millisecond) // one after the other, so that the last is the one refused
	}
	a, err := http.ReadResponse(last, nil)
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.g.Expect(a.Body.Close()).To(gomega.Succeed())
	f.g.Expect(a.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	f.g.Expect(a.Header.Get("Retry-After")).To(gomega.Equal("0.25"))
	close(release)
}

// Beyond their number, connections that do nothing give way to new ones, and all requests are
// answered.
func TestIdleConnectionsGiveWay(t *testing.T) {
	f := serve(t, echo, func(o *intake.Options) { o.Conns = 10 })
	var open []net.Conn
	for i := range 50 {
		c, r := f.dial()
		open = append(open, c)
		_, err := fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
		f.g.Expect(err).NotTo(gomega.HaveOccurred())
		f.expectStatus(r, http.StatusOK)
	}
	f.g.Expect(f.refused("ended")).To(gomega.Equal("40"))
	for _, c := range open {
		_ = c.Close() // most are closed by the server
	}
}

// Clients that take too long for a head or stop within a body are ended; others are not.
func TestSlowClientsAreEnded(t *testing.T) {
	f := serve(t, echo, func(o *intake.Options) {
		o.Limits = func() intake.Limits {
			return intake.Limits{HeadBytes: 16 << 10, HeadTime: time.Second, IdleTime: 1500 * time.Millisecond}
		}
	})
	for _, text := range []string{"GET / HTTP/1.1\r\nHost: a\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhell", ""} {
		c, r := f.dial()
		_, err := io.WriteString(c, text)
		f.g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.Copy(io.Discard, r)
		f.g.Expect(err).NotTo(gomega.HaveOccurred(), "closed")
	}
	f.g.Expect([]string{f.refused("slow head"), f.refused("slow body")}).To(gomega.Equal([]string{"1", "1"}))
	f.g.Eventually(f.budget.Taken).Should(gomega.BeZero())
}

// A client that closes is noticed while its request is served, and one that sends its next request
// early is not taken for one that closes.
func TestAClosedConnectionEndsItsRequest(t *testing.T) {
	var entered atomic.Int64
	left := make(chan error, 2)
	f := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		entered.Add(1)
		select {
		case <-r.Context().Done():
			left <- context.Cause(r.Context())
		case <-time.After(time.Second):
			left <- nil
		}
	})
	c, _ := f.dial()
	_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.g.Eventually(entered.Load).Should(gomega.Equal(int64(1)))
	f.g.Expect(c.Close()).To(gomega.Succeed())
	f.g.Eventually(left).Should(gomega.Receive(gomega.HaveOccurred()))
	for _, early := range []string{"G", "GET / HTTP/1.1\r\nHost: a\r\n\r\n" + strings.Repeat("x", 64<<10)} {
		c, _ := f.dial()
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"+early)
		f.g.Expect(err).NotTo(gomega.HaveOccurred())
		f.g.Eventually(left).WithTimeout(3 * time.Second).Should(gomega.Receive(gomega.BeNil()))
	}
}

// What follows the head of a hijacked connection is passed on as it is.
func TestAHijackedConnectionIsRaw(t *testing.T) {
	f := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		c, rw, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = io.WriteString(c, "ok")
			_, _ = io.CopyN(c, rw, 9)
			_ = c.Close()
		}
	})
	c, r := f.dial()
	_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\nraw")
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.g.Expect(r.ReadByte()).To(gomega.Equal(byte('o')))
	_, err = fmt.Fprint(c, "\r\n\r\nno")
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.g.Expect(io.ReadAll(r)).To(gomega.Equal([]byte("kraw\r\n\r\nno")))
}

// A client that does not read its answer is ended after the idle time; one that reads slowly is not.
func TestSlowReadersAreEnded(t *testing.T) {
	const size = 8 << 20
	ended := make(chan error, 2)
	f := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(make([]byte, size))
		ended <- err
	}, func(o *intake.Options) {
		o.Limits = func() intake.Limits {
			return intake.Limits{HeadBytes: 16 << 10, HeadTime: time.Minute, IdleTime: time.Second}
		}
	})
	c, _ := f.dial()
	defer func() { _ = c.Close() }()
	_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	f.g.Eventually(ended).WithTimeout(5 * time.Second).Should(gomega.Receive(gomega.HaveOccurred()))
	f.g.Expect(f.refused("slow reader")).To(gomega.Equal("1"))
	slow, r := f.dial()
	defer func() { _ = slow.Close() }()
	_, err = fmt.Fprint(slow, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	f.g.Expect(err).NotTo(gomega.HaveOccurred())
	for left := int64(size); left > 0; left -= size / 4 {
		time.Sleep(600 * time.Millisecond)
		_, err := io.CopyN(io.Discard, r, min(left, size/4))
		f.g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	f.g.Eventually(ended).Should(gomega.Receive(gomega.BeNil()))
}

// Connections whose clients leave their answers unread give way to others, long before the idle time.
func TestUnreadAnswersGiveWay(t *testing.T) {
	const most = 2
	began := make(chan bool, most)
	f := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			began <- true
			_, _ = w.Write(make([]byte, 16<<20)) // it is cut
		}
	}, func(o *intake.Options) { o.Conns = most })
	for range most {
		c, _ := f.dial()
		defer func() { _ = c.Close() }()
		_, err := fmt.Fprint(c, "GET /long HTTP/1.1\r\nHost: a\r\n\r\n")
		f.g.Expect(err).NotTo(gomega.HaveOccurred())
		<-began
	}
	f.g.Eventually(func() error {
		c, r := f.dial()
		defer func() { _ = c.Close() }()
		if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			return err
		}
		a, err := http.ReadResponse(r, nil)
		if err == nil {
			err = a.Body.Close()
		}
		return err
	}).WithTimeout(20 * time.Second).Should(gomega.Succeed())
	f.g.Expect(f.refused("ended")).To(gomega.Equal("1"))
}
