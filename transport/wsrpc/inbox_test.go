package wsrpc_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/state/memory"
	"github.com/cowslipstage/cowslipstage/transport/wsrpc"
)

// serve starts a server whose messages are booked in a budget, and returns its address.
func serve(t *testing.T, b *memory.Budget, handle wsrpc.HandleFunc) string {
	s := httptest.NewServer(wsrpc.NewHandler(t.Context(), handle, wsrpc.NewMessages(b), zerolog.Nop()))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// end returns the end of a turn with so many bytes of text.
func end(bytes int) *vaults.End {
	return &vaults.End{Turn: &chains.Turn{ID: "t", Input: make([]byte, bytes), Output: []byte("o")}}
}

// store answers the ends of turns.
func store(m vaults.Message, answer func(vaults.Message)) {
	if _, ok := m.(*vaults.End); ok {
		answer(&vaults.EndReply{})
		return
	}
	answer(nil)
}

// call sends a message and returns the status of its answer.
func call(g *gomega.WithT, c *wsrpc.Client, m vaults.Message) vaults.Status {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := c.Call(ctx, m)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	reply, ok := answer.(*vaults.EndReply)
	g.Expect(ok).To(gomega.BeTrue())
	return reply.Status
}

// A message for which there is no room is declined at once, and the connection goes on. All that is
// booked is given back.
func TestAMessageWithoutRoomIsDeclined(t *testing.T) {
	g := gomega.NewWithT(t)
	b := memory.New(3 << 20)
	c := wsrpc.NewClient(serve(t, b, store))
	for _, size := range []int{100, 60 << 10, 300 << 10, 600 << 10} {
		g.Expect(call(g, c, end(size))).To(gomega.Equal(vaults.Done), "%d bytes", size)
	}
	g.Expect(call(g, c, end(2<<20))).To(gomega.Equal(vaults.Failed))
	prepared, err := vaults.Prepare(end(600 << 10))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(call(g, c, prepared)).To(gomega.Equal(vaults.Done), "encoded once for several")
	g.Expect(c.Dials()).To(gomega.Equal(1))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err = c.Call(ctx, &vaults.Fetch{Chain: "none"})
	g.Expect(err).To(gomega.HaveOccurred(), "not answered")
	g.Eventually(b.Taken).Should(gomega.BeZero())
}

// A message that stops midway gives way to others.
func TestAMessageThatStopsGivesWay(t *testing.T) {
	g := gomega.NewWithT(t)
	b := memory.New(3 << 20)
	addr := serve(t, b, store)
	socket, _, err := websocket.Dial(t.Context(), "ws://"+addr+"/calls", nil) //nolint:bodyclose // the library closes it
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = socket.CloseNow() }()
	w, err := socket.Writer(t.Context(), websocket.MessageBinary)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = w.Write(make([]byte, 1<<20))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(b.Taken).Should(gomega.BeNumerically(">", 900<<10))
	c := wsrpc.NewClient(addr)
	g.Eventually(func() vaults.Status { return call(g, c, end(600<<10)) }).WithTimeout(5 * time.Second).Should(gomega.Equal(vaults.Done))
	_, _, err = socket.Read(t.Context())
	g.Expect(err).To(gomega.HaveOccurred(), "closed")
	g.Eventually(b.Taken).Should(gomega.BeZero())
}

// A client that has no room for an answer fails that call only.
func TestAnAnswerWithoutRoomFailsItsCallOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	addr := serve(t, memory.New(0), func(m vaults.Message, answer func(vaults.Message)) {
		if f, ok := m.(*vaults.Fetch); ok {
			answer(&vaults.FetchReply{Turns: []*chains.Turn{{ID: f.Chain, Input: make([]byte, 3<<20)}}})
			return
		}
		store(m, answer)
	})
	var group wsrpc.Group
	b := memory.New(3 << 20)
	group.SetMessages(wsrpc.NewMessages(b))
	c := group.Client(addr)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := c.Call(ctx, &vaults.Fetch{Chain: "long"})
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(call(g, c, end(100))).To(gomega.Equal(vaults.Done))
	g.Expect(c.Dials()).To(gomega.Equal(1))
	g.Eventually(b.Taken).Should(gomega.BeZero())
}
