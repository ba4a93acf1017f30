package dialer_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/standin/broken"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/transport/dialer"
)

// early starts an endpoint in trouble and returns its address.
func early(answer string, end broken.End) string {
	e, err := broken.Listen(answer, end, 0)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(e.Close)
	return e.Addr()
}

var _ = Describe("a head that is none in the protocol", func() {
	const stream = firstEvent + usageEvent + endEvent
	DescribeTable("is no answer and no refusal", func(head, reason string) {
		for _, a := range []core.Dispatch{
			plain(early(head+"Content-Length: 2\r\n\r\n{}", broken.CloseThenReset), false, "{}"), chat(early(head+"\r\n"+stream, broken.CloseThenReset)),
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
	DescribeTable("is whole by its own end", func(answer string, end broken.End, want core.Event) {
		addr := early(answer, end)
		for range 20 {
			Expect(run(dialer.Options{}, plain(addr, false, body))).To(Equal(want))
		}
	},
		Entry("with a length, closed", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", broken.CloseThenReset, core.AttemptFinished{Attempt: 7, Status: 200, Body: []byte("{}")}),
		Entry("with a length, reset", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", broken.Reset, core.AttemptFinished{Attempt: 7, Status: 200, Body: []byte("{}")}),
		Entry("with a length, closed unread", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", broken.CloseUnread, core.AttemptFinished{Attempt: 7, Status: 200, Body: []byte("{}")}),
	)
	DescribeTable("is no answer if it is cut", func(answer string, end broken.End) {
		addr := early(answer, end)
		for range 20 {
			Expect(run(dialer.Options{}, plain(addr, false, body))).To(And(BeAssignableToTypeOf(core.AttemptFailed{}), HaveField("NotRun", false)))
		}
	},
		Entry("without a length", "HTTP/1.1 200 OK\r\n\r\n{}", broken.Reset),
		Entry("short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}", broken.CloseThenReset),
	)
	It("that refuses a call is a refusal", func() {
		addr := early("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", broken.CloseUnread)
		for range 20 {
			Expect(run(dialer.Options{}, plain(addr, false, body))).To(Equal(core.AttemptFailed{Attempt: 7, NotRun: true, Reason: "refused"}))
		}
	})
})

var _ = Describe("an order's answer", func() {
	DescribeTable("confirms the order if it is whole", func(ctx SpecContext, answer string, end broken.End, whole bool) {
		released := false
		d := dialer.New(dialer.Options{}, func(core.Event) { released = true })
		r := core.Release{Endpoint: "e", Target: &config.Endpoint{Addr: early(answer, end)}, Customer: "c", Program: "p"}
		d.Release(ctx, r)
		Expect(released).To(Equal(whole))
	},
		Entry("with a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", broken.Reset, true),
		Entry("closed", "HTTP/1.1 200 OK\r\n\r\n{}", broken.CloseThenReset, true),
		Entry("reset", "HTTP/1.1 200 OK\r\n\r\n{}", broken.Reset, false),
		Entry("short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}", broken.CloseThenReset, false),
		Entry("with a blank in a name", "HTTP/1.1 200 OK\r\nA b: x\r\nContent-Length: 2\r\n\r\n{}", broken.CloseThenReset, false),
	)
})
