package gate

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/standin/coord"
	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/transport/wsrpc"
)

// slowVaults are three stand-ins of vaults that answer only after a time, as when a sync of their
// disks takes as long.
type slowVaults struct {
	client *vaultClient
	// begun and ended count the messages.
	begun, ended atomic.Int64
}

func newSlowVaults(t *testing.T, takes time.Duration) *slowVaults {
	g := gomega.NewWithT(t)
	v := &slowVaults{}
	roster := &seats.Roster{Version: 3, MaxLosses: 1}
	for _, name := range []string{"v0", "v1", "v2"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		handler := wsrpc.NewHandler(t.Context(), func(m vaults.Message, answer func(vaults.Message)) {
			var reply vaults.Message
			switch m.(type) {
			case *vaults.Begin:
				v.begun.Add(1)
				reply = &vaults.BeginReply{ChainComplete: true}
			case *vaults.End:
				v.ended.Add(1)
				reply = &vaults.EndReply{}
			default:
				return
			}
			time.AfterFunc(takes, func() { answer(reply) })
		}, wsrpc.Messages{}, zerolog.Nop())
		server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
		roster.Seats = append(roster.Seats, seats.Seat{Node: name, Addr: l.Addr().String(), Centre: "c", SinceVersion: 1})
	}
	s := &site.Site{Node: "gate", Centre: "c", MaxLostHosts: 1, Memory: 64 << 20}
	v.client = newVaultClient(s, coord.New(), metrics.NewSet(), zerolog.Nop())
	v.client.adopt(roster)
	return v
}

// All disks were slower than a gate waits for one vault. The vaults recorded each turn again and
// again, no answer counted, and streams that had ended were broken off; turns were refused.
func TestVaultsThatAreAllSlowCount(t *testing.T) {
	for _, takes := range []time.Duration{vaultTimeout + 50*time.Millisecond, 2 * vaultTimeout} {
		t.Run(takes.String(), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			v := newSlowVaults(t, takes)
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
			defer cancel()
			hold := &chains.Hold{Program: "p", Turn: "t", MaxTokens: 10, Retention: time.Minute}
			_, err := v.client.openTurn(ctx, opening{hold: hold, budget: 1000})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(v.client.recordTurn(ctx, newTurn("t", ""))).To(gomega.Succeed())
			g.Expect(v.begun.Load()).To(gomega.BeNumerically("<=", 3), "each vault is asked once")
			g.Expect(v.ended.Load()).To(gomega.BeNumerically("<=", 3), "each vault is asked once")
		})
	}
}
