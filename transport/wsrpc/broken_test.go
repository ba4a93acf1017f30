package wsrpc_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/standin/broken"
	"github.com/cowslipstage/cowslipstage/transport/wsrpc"
)

// A vault in trouble sends bytes that are no answer to the handshake, or ends the connection in it. Calls fail
// with a plain error, well before their deadline.
func TestABrokenHandshakeIsAPlainError(t *testing.T) {
	const upgrade = "Upgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: none\r\n"
	for name, answer := range map[string]string{
		"status 000": "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", "status 000, upgraded": "HTTP/1.1 000 None\r\n" + upgrade + "\r\n",
		"blank in a name": "HTTP/1.1 101 Switching Protocols\r\nA b: x\r\n" + upgrade + "\r\n", "control byte in a name": "HTTP/1.1 101 Switching Protocols\r\nA\x01: x\r\n\r\n",
		"another answer": "HTTP/1.1 200 OK\r\n\r\npart", "cut": "HTTP/1.1 101 Switching Protocols\r\n" + upgrade, "none": "",
	} {
		for _, end := range []broken.End{broken.Reset, broken.CloseThenReset} {
			g := gomega.NewWithT(t)
			e, err := broken.Listen(answer, end, 0)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(func() { _ = e.Close() })
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			c := wsrpc.NewClient(e.Addr())
			_, err = c.Call(ctx, &vaults.Fetch{Chain: "none"})
			g.Expect(err).To(gomega.HaveOccurred(), name)
			g.Expect(c.Connected()).To(gomega.BeFalse(), name)
			g.Expect(ctx.Err()).NotTo(gomega.HaveOccurred(), name)
		}
	}
}
