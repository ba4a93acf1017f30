package pool_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/transport/pool"
)

// endpoint starts a server that answers each connection's nth request with the nth
// of the raw answers.
func endpoint(t *testing.T, answers ...string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(c, answers)
		}
	}()
	return l.Addr().String()
}

func serveConn(c net.Conn, answers []string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for _, a := range answers {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, a)
	}
}

func request(addr, id string) pool.Request {
	return pool.Request{
		Addr: addr, Method: http.MethodPost, Target: "/a", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"),
		ID: id, AnswerID: func(h http.Header) string { return h.Get("Id") },
	}
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func get(p *pool.Pool, r pool.Request) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a, err := p.Send(ctx, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	data, err := io.ReadAll(a.Body)
	return string(data), err
}

func TestAnswerToAnEarlierRequestIsSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pool.New(metrics.NewSet(), pool.Direct)
	addr := endpoint(t, answer("1", "one"), answer("1", "late")+answer("2", "two"))
	g.Expect(get(p, request(addr, "1"))).To(gomega.Equal("one"))
	g.Expect(get(p, request(addr, "2"))).To(gomega.Equal("two"))
}

// A late copy of the first answer arrives once the second request was written. With
// its id it is skipped; without one nobody can tell whose it is.
func TestLateCopyNeverAnswersTheNextRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	withoutID := strings.Replace(answer("1", "one"), "Id: 1\r\n", "", 1)
	chunked := "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"
	for _, c := range []struct {
		copy string
		want string
	}{{answer("1", "one"), "two"}, {chunked, "two"}, {withoutID, ""}, {withoutID + withoutID, ""}} {
		p := pool.New(metrics.NewSet(), pool.Direct)
		addr := endpoint(t, answer("1", "one"), c.copy+answer("2", "two"))
		g.Expect(get(p, request(addr, "1"))).To(gomega.Equal("one"))
		got, err := get(p, request(addr, "2"))
		g.Expect(got).To(gomega.Equal(c.want), "%q", c.copy)
		g.Expect(errors.Is(err, pool.ErrMayHaveRun)).To(gomega.Equal(c.want == ""))
	}
	p := pool.New(metrics.NewSet(), pool.Direct)
	g.Expect(get(p, request(endpoint(t, withoutID), "1"))).To(gomega.Equal("one"), "a new connection has carried nothing else")
}

func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pool.New(metrics.NewSet(), pool.Direct)
	addr := endpoint(t, answer("1", "one")+answer("1", "one"), answer("2", "bad"))
	g.Expect(get(p, request(addr, "1"))).To(gomega.Equal("one"))
	time.Sleep(20 * time.Millisecond) // the second answer is on its way
	g.Expect(get(p, request(addr, "1"))).To(gomega.Equal("one"), "on a new connection")
}

func TestTruncatedAnswerIsAnError(t *testing.T) {
	g := gomega.NewWithT(t)
	p := pool.New(metrics.NewSet(), pool.Direct)
	for _, broken := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
		"HTTP/1.1 200 OK\r\nConte",
		"no answer at all\r\n\r\n",
		"",
	} {
		_, err := get(p, request(endpoint(t, broken), "1"))
		g.Expect(errors.Is(err, pool.ErrMayHaveRun)).To(gomega.BeTrue(), "%q: %v", broken, err)
	}
}

// An endpoint stops within the head of its answer and closes. No part of a head is a whole answer,
// whatever marks the end of the body and whether or not the connection was used before.
func TestAHeadThatIsCutIsNoAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 10\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nId: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 2\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 200 OK\nId: 2\n\n",
		"HTTP/1.1 204 No Content\r\nId: 2\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 2\r\n\r\n",
	} {
		for n := range len(head) {
			fresh, reused := endpoint(t, head[:n]), endpoint(t, answer("1", "one"), head[:n])
			_, err := get(pool.New(metrics.NewSet(), pool.Direct), request(fresh, "2"))
			g.Expect(errors.Is(err, pool.ErrMayHaveRun)).To(gomega.BeTrue(), "%q: %v", head[:n], err)
			p := pool.New(metrics.NewSet(), pool.Direct)
			g.Expect(get(p, request(reused, "1"))).To(gomega.Equal("one"))
			_, err = get(p, request(reused, "2"))
			g.Expect(errors.Is(err, pool.ErrMayHaveRun)).To(gomega.BeTrue(), "%q: %v", head[:n], err)
		}
	}
}

func TestAnswerMayEndWithItsConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	addr := endpoint(t, "HTTP/1.1 200 OK\r\n\r\nto the end")
	g.Expect(get(pool.New(metrics.NewSet(), pool.Direct), request(addr, "1"))).To(gomega.Equal("to the end"))
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	g := gomega.NewWithT(t)
	_, err := get(pool.New(metrics.NewSet(), pool.Direct), request("127.0.0.1:1", "1"))
	g.Expect(errors.Is(err, pool.ErrNotSent)).To(gomega.BeTrue(), "%v", err)
}

// The endpoint answers before it has read a long body. A reused connection would
// send the next request behind the unread rest of that body.
func TestEarlyAnswerClosesTheConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	heads := make(chan string, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			line, err := bufio.NewReader(c).ReadString('\n')
			if err != nil {
				continue
			}
			heads <- strings.TrimSpace(line)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	p := pool.New(metrics.NewSet(), pool.Direct)
	for range 2 {
		r := request(l.Addr().String(), "1")
		r.Body = make([]byte, 8<<20)
		_, err := get(p, r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(heads).To(gomega.Receive(gomega.Equal("POST /a HTTP/1.1")))
	}
}

// An endpoint is sound and falls silent for a second: it takes no bytes and sends none. The
// request then goes on.
func TestAnEndpointMayBeSilentForASecond(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		time.Sleep(1300 * time.Millisecond)
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, r.Body)
		body := strconv.FormatInt(n, 10)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	}()
	r := request(l.Addr().String(), "1")
	r.Method, r.Body = http.MethodPost, make([]byte, 32<<20)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a, err := pool.New(metrics.NewSet(), pool.Direct).Send(ctx, r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.Equal(strconv.Itoa(len(r.Body))))
}
