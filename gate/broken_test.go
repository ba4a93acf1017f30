package gate

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/standin/broken"
	"github.com/cowslipstage/cowslipstage/standin/coord"
	"github.com/cowslipstage/cowslipstage/state/fleet"
	"github.com/cowslipstage/cowslipstage/state/memory"
	"github.com/cowslipstage/cowslipstage/state/peers"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/state/table"
	"github.com/cowslipstage/cowslipstage/transport/pool"
	"github.com/cowslipstage/cowslipstage/transport/relay"
)

// kinds are the kinds of routes.
var kinds = []table.Kind{table.Idempotent, table.Unsafe, table.Stream}

// post sends a request with a body to the gate on a new connection.
func (h *gateFixture) post(id string, size int) (int, http.Header, string, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	r, err := http.NewRequest(http.MethodPost, "http://"+h.gate.site.Frontend+"/a", bytes.NewReader(make([]byte, size)))
	h.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.Host = "h"
	r.Header.Set(headerID, id)
	response, err := client.Do(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(body), err
}

// broken returns how many answers the gate has counted as broken for a reason.
func (h *gateFixture) broken(reason string) uint64 {
	return h.gate.set.GetOrCreateCounter(`cowslipstage_gate_broken_answers_total{reason="` + reason + `"}`).Get()
}

// brokenEndpoint starts an endpoint in trouble.
func brokenEndpoint(t *testing.T, answer string, end broken.End) fleet.Entry {
	e, err := broken.Listen(answer, end, 2*time.Millisecond)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = e.Close() })
	return fleet.Entry{ID: "e", Service: "s", Addr: e.Addr(), Centre: "c", Slots: 8}
}

// longUpload is as long as a body may be, and more than the kernel holds of one that nobody reads.
const longUpload = 4 << 20

func roomySite() *site.Site {
	return &site.Site{Node: "gate", Centre: "c", Memory: 512 << 20, Grace: time.Second}
}

// An endpoint answers a long upload at once, without a length. Callers got the part that was sent before a
// reset as the whole answer. What was sent before a close in order is whole.
func TestAResetDuringAnUploadIsNotTheEndOfItsAnswer(t *testing.T) {
	for _, kind := range kinds {
		for name, end := range map[string]broken.End{"reset": broken.Reset, "closed": broken.CloseThenReset} {
			t.Run(fmt.Sprint(name, ", kind ", kind), func(t *testing.T) {
				t.Parallel()
				e := brokenEndpoint(t, "HTTP/1.1 200 OK\r\nId: {id}\r\n\r\ndata: part\n\n", end)
				h := startGate(t, roomySite(), coord.New(), plainRoute(kind, 1), []fleet.Entry{e})
				for range 20 {
					status, _, body, err := h.post("x", longUpload)
					switch {
					case name == "closed":
						h.g.Expect(err).NotTo(gomega.HaveOccurred())
						h.g.Expect(status).To(gomega.Equal(http.StatusOK))
						h.g.Expect(body).To(gomega.Equal("data: part\n\n"))
					case kind == table.Stream: // its part has been passed on
						h.g.Expect(err != nil || status == http.StatusBadGateway).To(gomega.BeTrue(), "status %d, %q", status, body)
					default:
						h.g.Expect(err).NotTo(gomega.HaveOccurred())
						h.g.Expect(status).To(gomega.Equal(http.StatusBadGateway), "%q", body)
					}
				}
				h.g.Expect(h.broken("cut") > 0).To(gomega.Equal(name == "reset"))
			})
		}
	}
}

// An endpoint in trouble sends a head that is none in the protocol. The caller gets a plain error, nothing
// of that head, and neither a closed connection nor a panic.
func TestAHeadThatIsNoneIsNoAnswer(t *testing.T) {
	const (
		ok   = "HTTP/1.1 200 OK\r\nId: {id}\r\n"
		tail = "Content-Length: 9\r\n\r\ndata: a\n\n"
	)
	for name, answer := range map[string]string{
		"status 000": "HTTP/1.1 000 None\r\nId: {id}\r\n" + tail, "status 000 without a reason": "HTTP/1.1 000\r\nId: {id}\r\n" + tail,
		"status 099": "HTTP/1.1 099 None\r\nId: {id}\r\n" + tail, "status +20": "HTTP/1.1 +20 OK\r\nId: {id}\r\n" + tail,
		"status 600": "HTTP/1.1 600 None\r\nId: {id}\r\n" + tail, "status 999": "HTTP/1.1 999 None\r\nId: {id}\r\n" + tail,
		"status 101":      "HTTP/1.1 101 Switching Protocols\r\nId: {id}\r\nUpgrade: x\r\n\r\n",
		"blank in a name": ok + "A b: x\r\n" + tail, "tab in a name": ok + "A\tb: x\r\n" + tail, "no name": ok + ": x\r\n" + tail,
		"blank after a name": ok + "A : x\r\n" + tail, "blank after the length's name": ok + "Content-Length : 9\r\n\r\ndata: a\n\n",
		"blank after the coding's name": ok + "Transfer-Encoding : chunked\r\n\r\n9\r\ndata: a\n\n\r\n0\r\n\r\n",
		"blank before a name":           ok + "B: y\r\n Content-Length: 9\r\n\r\ndata: a\n\n", "tab before a name": ok + "B: y\r\n\tA: x\r\n" + tail,
		"blank before the first name": "HTTP/1.1 200 OK\r\n A: x\r\nId: {id}\r\n" + tail, "a line of blanks": ok + "B: y\r\n  \r\n" + tail,
		"control byte in a name": ok + "A\x01b: x\r\n" + tail, "zero byte in a name": ok + "A\x00: x\r\n" + tail,
		"delete in a name": ok + "A\x7f: x\r\n" + tail, "carriage return in a name": ok + "A\r: x\r\n" + tail,
		"separator in a name": ok + "A(b): x\r\n" + tail, "high byte in a name": ok + "A\xc3\xa4: x\r\n" + tail, "no colon": ok + "A\r\n" + tail,
		"control byte in a value": ok + "A: x\x01\r\n" + tail, "zero byte in a value": ok + "A: x\x00\r\n" + tail,
		"carriage return in a value": ok + "A: x\rContent-Length: 9\r\n\r\ndata: a\n\n", "carriage returns at a line's end": ok + "A: x\r\r\n" + tail,
		"control byte in the reason": "HTTP/1.1 200 O\x01K\r\nId: {id}\r\n" + tail, "another version": "HTTP/2.0 200 OK\r\nId: {id}\r\n" + tail,
		"chunks in HTTP/1.0": "HTTP/1.0 200 OK\r\nId: {id}\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n0\r\n\r\n",
		"two lengths":        ok + "Content-Length: 5\r\n" + tail, "a length that is no number": ok + "Content-Length: 9x\r\n\r\ndata: a\n\n",
	} {
		for _, kind := range kinds {
			t.Run(fmt.Sprint(name, ", kind ", kind), func(t *testing.T) {
				t.Parallel()
				e := brokenEndpoint(t, answer, broken.CloseThenReset)
				h := startGate(t, roomySite(), coord.New(), plainRoute(kind, 1), []fleet.Entry{e})
				status, header, body, err := h.post("x", 1)
				h.g.Expect(err).NotTo(gomega.HaveOccurred())
				h.g.Expect(status).To(gomega.Equal(http.StatusBadGateway), "%q", body)
				h.g.Expect(header.Get(headerID)).To(gomega.BeEmpty())
				h.g.Expect(h.gate.meters.panics.Get()).To(gomega.BeZero())
				h.g.Expect(h.broken("malformed")).To(gomega.BeEquivalentTo(1))
			})
		}
	}
}

// A gate that is cut off from an endpoint reaches it through its neighbour, and the endpoint answers with a status that is
// none. The caller gets a plain error, as where the gate reaches the endpoint itself.
func TestAStatusThatIsNoneIsNoAnswerThroughARelay(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 None\r\n", "HTTP/1.1 000\r\n", "HTTP/1.1 600 None\r\n"} {
		for _, kind := range kinds {
			for _, framed := range []bool{true, false} {
				t.Run(fmt.Sprintf("%q, kind %v, framed %t", head, kind, framed), func(t *testing.T) {
					t.Parallel()
					e := brokenEndpoint(t, head+"Id: {id}\r\nContent-Length: 9\r\n\r\ndata: a\n\n", broken.CloseThenReset)
					listener, err := net.Listen("tcp", "127.0.0.1:0")
					gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
					go func() { _ = relay.New(pool.Dial, memory.New(0).Group(0), zerolog.Nop()).Serve(listener) }()
					t.Cleanup(func() { _ = listener.Close() })
					cut := &partition{addrs: []string{e.Addr}}
					cut.cut.Store(true)
					h := startGate(t, roomySite(), coord.New(), plainRoute(kind, 1), []fleet.Entry{e}, func(g *Gate) {
						g.connect = cut.connect
						g.relays.peers = []peers.Peer{{Addr: listener.Addr().String(), Centre: "c", Framed: framed}}
					})
					h.g.Eventually(func() uint64 {
						status, header, body, err := h.post("x", 1)
						h.g.Expect(err).NotTo(gomega.HaveOccurred())
						h.g.Expect(status).To(gomega.BeElementOf(http.StatusBadGateway, http.StatusServiceUnavailable), "%q", body)
						h.g.Expect(header.Get(headerID)).To(gomega.BeEmpty())
						return h.broken("malformed")
					}).WithTimeout(5*time.Second).Should(gomega.BeNumerically(">", 0), "the endpoint answers through the relay")
					h.g.Expect(h.gate.meters.panics.Get()).To(gomega.BeZero())
				})
			}
		}
	}
}
