package dialer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/transport/dialer"
)

// early starts an endpoint that answers once it has read a request's head, and then ends the connection.
func early(answer string, end func(c *net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				c := conn.(*net.TCPConn)
				_ = c.SetReadBuffer(4 << 10)
				if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err != nil {
					_ = c.Close()
					return
				}
				_, _ = io.WriteString(c, answer)
				end(c)
			}()
		}
	}()
	return l.Addr().String()
}

// reset ends a connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// closeUnread closes a connection with unread bytes, which resets it.
func closeUnread(c *net.TCPConn) { _ = c.Close() }

// closeThenReset says that nothing more follows, and resets the connection.
func closeThenReset(c *net.TCPConn) {
	_ = c.CloseWrite()
	reset(c)
}

var _ = Describe("a head that is none in the protocol", func() {
	const stream = firstEvent + usageEvent + endEvent
	DescribeTable("is no answer and no refusal", func(head, reason string) {
		for _, a := range []core.Dispatch{
			plain(early(head+"Content-Length: 2\r\n\r\n{}", closeThenReset), false, "{}"), chat(early(head+"\r\n"+stream, closeThenReset)),
		} {
			Expect(run(dialer.Options{}, a)).To(Equal(core.AttemptFailed{Attempt: 7, Reason: reason}))
		}
	},
		Entry("with the status 000", "HTTP/1.1 000 None\r\n", "garbage"),
		Entry("with a status out of bounds", "HTTP/1.1 600 None\r\n", "garbage"),
		Entry("with a blank in a name", "HTTP/1.1 200 OK\r\nA b: x\r\n", "garbage"),
		Entry("with a blank after a name", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n", "garbage"),
		Entry("with a control byte in a name", "HTTP/1.1 200 OK\r\nA\x01: x\r\n", "connection"),
		Entry("that refuses", "HTTP/1.1 503 Busy\r\nA b: x\r\n", "garbage"),
	)
})

var _ = Describe("an answer during the upload", func() {
	body := `"` + strings.Repeat("x", 8<<20) + `"`
	DescribeTable("is whole by its own end", func(answer string, end func(c *net.TCPConn), want core.Event) {
		addr := early(answer, end)
		for range 20 {
			Expect(run(dialer.Options{}, plain(addr, false, body))).To(Equal(want))
		}
	},
		Entry("with a length, closed", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", closeThenReset, core.AttemptFinished{Attempt: 7, Status: 200, Body: []byte("{}")}),
		Entry("with a length, reset", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", reset, core.AttemptFinished{Attempt: 7, Status: 200, Body: []byte("{}")}),
		Entry("with a length, closed unread", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", closeUnread, core.AttemptFinished{Attempt: 7, Status: 200, Body: []byte("{}")}),
	)
	DescribeTable("is no answer if it is cut", func(answer string, end func(c *net.TCPConn)) {
		addr := early(answer, end)
		for range 20 {
			Expect(run(dialer.Options{}, plain(addr, false, body))).To(And(BeAssignableToTypeOf(core.AttemptFailed{}), HaveField("NotRun", false)))
		}
	},
		Entry("without a length", "HTTP/1.1 200 OK\r\n\r\n{}", reset),
		Entry("short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}", closeThenReset),
	)
	It("that refuses a call is a refusal", func() {
		addr := early("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", closeUnread)
		for range 20 {
			Expect(run(dialer.Options{}, plain(addr, false, body))).To(Equal(core.AttemptFailed{Attempt: 7, NotRun: true, Reason: "refused"}))
		}
	})
})

var _ = Describe("an order's answer", func() {
	DescribeTable("confirms the order if it is whole", func(ctx SpecContext, answer string, end func(c *net.TCPConn), whole bool) {
		released := false
		d := dialer.New(dialer.Options{}, func(core.Event) { released = true })
		r := core.Release{Endpoint: "e", Target: &config.Endpoint{Addr: early(answer, end)}, Customer: "c", Program: "p"}
		d.Release(ctx, r)
		Expect(released).To(Equal(whole))
	},
		Entry("with a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", reset, true),
		Entry("closed", "HTTP/1.1 200 OK\r\n\r\n{}", closeThenReset, true),
		Entry("reset", "HTTP/1.1 200 OK\r\n\r\n{}", reset, false),
		Entry("short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}", closeThenReset, false),
		Entry("with a blank in a name", "HTTP/1.1 200 OK\r\nA b: x\r\nContent-Length: 2\r\n\r\n{}", closeThenReset, false),
	)
})
