package vault

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/standin/coord"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/transport/wsrpc"
)

// restartingVault is a stand-in of a vault that counts and holds turns. Once it has sent the first page of
// a listing, its process is replaced by one with an empty disk.
type restartingVault struct {
	turns []string
	pages int
	// starts is when the two processes started.
	starts [2]int64
}

func (r *restartingVault) answer(m vaults.Message) vaults.Message {
	switch m := m.(type) {
	case *vaults.List:
		if m.Cursor == 0 {
			return &vaults.ListReply{CaughtUp: true, Turns: r.turns, Next: 1, More: r.pages > 1, Started: r.starts[0]}
		}
		return &vaults.ListReply{CaughtUp: true, Next: m.Cursor, Started: r.starts[1]}
	case *vaults.Get:
		return &vaults.GetReply{Started: r.starts[1]}
	default:
		return nil
	}
}

// serve answers on a loopback address until the test ends, and returns the address.
func (r *restartingVault) serve(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	handle := func(m vaults.Message, answer func(vaults.Message)) { answer(r.answer(m)) }
	server := &http.Server{Handler: wsrpc.NewHandler(t.Context(), handle, wsrpc.Messages{}, zerolog.Nop()), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// A vault lists a turn for one that catches up, and loses its disk before the turn is fetched, or before the next
// page of the listing. It is back at once and answers that it has nothing more. That was taken for a turn
// that has expired, and for the end of the listing, so the other one counted without the turn.
func TestAListingEndsWithTheProcessThatBeganIt(t *testing.T) {
	for _, pages := range []int{1, 2} {
		for _, restarts := range []bool{true, false} {
			t.Run(fmt.Sprint(pages, " pages, restarts ", restarts), func(t *testing.T) {
				g := gomega.NewWithT(t)
				other, empty := &restartingVault{turns: []string{"turn"}, pages: pages, starts: [2]int64{5, 5}}, &restartingVault{}
				if restarts {
					other.starts[1] = 6
				}
				v := openRunning(t)
				v.adopt(&seats.Roster{Version: 4, MaxLosses: 1, Seats: []seats.Seat{
					{Node: "vault", Addr: "127.0.0.1:1", SinceVersion: 4}, {Node: "b", Addr: other.serve(t), SinceVersion: 2}, {Node: "c", Addr: empty.serve(t), SinceVersion: 3},
				}})
				err := v.catchUp(t.Context(), nil)
				_, caughtUp := v.seatState()
				g.Expect(caughtUp).To(gomega.Equal(!restarts), "%v", err)
			})
		}
	}
}

// openRunning returns a vault whose goroutines run until the test ends, but for those that change its seat.
func openRunning(t *testing.T) *Vault {
	g := gomega.NewWithT(t)
	s := &site.Site{Node: "vault", IP: "127.0.0.1", Data: t.TempDir(), Disk: 1 << 20, MaxLostHosts: 1}
	v, err := New(s, coord.New(), metrics.NewSet(), zerolog.Nop())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	go v.writer.run()
	done := make(chan struct{})
	go func() { v.controlLoop(ctx); close(done) }()
	t.Cleanup(func() {
		cancel()
		<-done
		g.Expect(v.writer.stop()).To(gomega.Succeed())
	})
	return v
}

// A host that is emptied has another one copy what it holds, and does not answer when that one lists its records. It
// must not hear that the other one has copied them: it would give up its seat.
func TestAHandOverNeedsTheListingOfTheHostThatIsEmptied(t *testing.T) {
	for _, seated := range []bool{true, false} {
		t.Run(fmt.Sprint("seated ", seated), func(t *testing.T) {
			g := gomega.NewWithT(t)
			v := openRunning(t)
			emptied := seats.Seat{Node: "emptied", Addr: "127.0.0.1:1", SinceVersion: 1}
			roster := &seats.Roster{Version: 4, MaxLosses: 1, Seats: []seats.Seat{
				{Node: "vault", Addr: "127.0.0.1:1", SinceVersion: 2}, {Node: "c", Addr: (&restartingVault{}).serve(t), SinceVersion: 3},
			}}
			if seated {
				roster.Seats = append(roster.Seats, emptied)
			}
			v.adopt(roster)
			v.markCaughtUp(roster)
			g.Expect(v.catchUp(t.Context(), nil)).To(gomega.Succeed(), "it counts and has read a quorum")
			g.Expect(v.catchUp(t.Context(), &emptied)).NotTo(gomega.Succeed())
		})
	}
}
