package node

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/coordination/member"
	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/setup"
	"github.com/cowslipstage/cowslipstage/state/load"
)

// BenchmarkRound measures the encoding of a gossip round in which every
// endpoint has a changed report and one more attempt, by the number of
// endpoints.
func BenchmarkRound(b *testing.B) {
	for _, endpoints := range []int{27, 54, 215, 430, 860} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			s := newLoadTable()
			size, start := 0, time.Unix(1700000000, 0)
			for i := range b.N {
				now := start.Add(time.Duration(i) * reportRepeatInterval)
				for e := range endpoints {
					name := fmt.Sprintf("conselheiro-%03d", e)
					s.beginAttempt(uint64(i*endpoints+e), name)
					s.addReport(now, name, load.Report{
						Running: 12, Waiting: 3, Pending: 40000 + i, Cached: 150000, Role: "mixed", MeasuredAt: now,
					})
				}
				var g frame.Gossip
				g.InFlight, g.Loads = s.takeChanges(now)
				data, err := frame.Encode(g)
				NewWithT(b).Expect(err).NotTo(HaveOccurred())
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/round")
		})
	}
}

// BenchmarkHear measures the decoding and merging of such a round at its
// receiver.
func BenchmarkHear(b *testing.B) {
	for _, endpoints := range []int{27, 54, 215, 430, 860} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			s, now := newLoadTable(), time.Unix(1700000000, 0)
			for e := range endpoints {
				name := fmt.Sprintf("conselheiro-%03d", e)
				s.beginAttempt(uint64(e), name)
				s.addReport(now, name, load.Report{Running: 12, Waiting: 3, Pending: 40000, Cached: 150000, Role: "mixed", MeasuredAt: now})
			}
			var g frame.Gossip
			g.InFlight, g.Loads = s.takeChanges(now)
			data, err := frame.Encode(g)
			NewWithT(b).Expect(err).NotTo(HaveOccurred())
			receiver := newLoadTable()
			for range b.N {
				var received frame.Gossip
				NewWithT(b).Expect(frame.Decode(data, &received)).To(Succeed())
				receiver.mergePeer("peer", received.InFlight, received.InFlightComplete)
			}
		})
	}
}

// BenchmarkTick measures the work that a node does in every gossip interval,
// whether anything has changed or not, by the number of nodes.
func BenchmarkTick(b *testing.B) {
	for _, nodes := range []int{25, 50, 100, 200, 350} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			s := setup.Default()
			s.Node.Name = "node-000"
			n := New(&s, zerolog.Nop())
			b.Cleanup(func() { _ = n.links.Close() })
			now := time.Now()
			for i := range nodes - 1 {
				name := fmt.Sprintf("node-%03d", i+1)
				n.view.Gossip(now, member.Record{Node: name, Incarnation: 1})
				n.updateHost(now, name, frame.Gossip{Centre: "c", Boot: name})
			}
			for range b.N {
				n.updateLinks(now)
				n.updateDeparting(now)
				n.linkedOwners(now)
			}
		})
	}
}
