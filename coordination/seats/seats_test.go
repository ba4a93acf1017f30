package seats_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
)

// noneLost says that every holder is a replica.
func noneLost(seats.Seat) seats.Holder { return seats.Holder{Replica: true} }

// lostNode says that one holder is lost and all others are replicas.
func lostNode(node string) func(seats.Seat) seats.Holder {
	return func(s seats.Seat) seats.Holder { return seats.Holder{Lost: s.Node == node, Replica: s.Node != node} }
}

func full(losses int) *seats.Roster {
	r := &seats.Roster{}
	for i := range seats.TargetCount(losses) {
		r, _ = r.Claim(seats.Seat{Node: fmt.Sprintf("n%d", i), Addr: "a", Centre: fmt.Sprintf("c%d", i%3)}, losses, noneLost)
	}
	return r
}

// A quorum must survive the allowed losses, and any two quorums must share a
// seat.
func TestQuorumsSurviveLossesAndIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		losses := rapid.IntRange(0, 4).Draw(t, "losses")
		r := full(losses)
		r.Seats = r.Seats[:rapid.IntRange(min(losses+1, len(r.Seats)), len(r.Seats)).Draw(t, "seats")]
		g.Expect(r.Quorum()).To(gomega.BeNumerically(">", losses))
		g.Expect(2 * r.Quorum()).To(gomega.BeNumerically(">", len(r.Seats)))
		g.Expect(r.Quorum()).To(gomega.BeNumerically("<=", len(r.Seats)))
		if len(r.Seats) == seats.TargetCount(losses) {
			g.Expect(len(r.Seats) - losses).To(gomega.BeNumerically(">=", r.Quorum()))
		}
	})
}

func TestClaimTakesFreeSeatThenLostSeat(t *testing.T) {
	g := gomega.NewWithT(t)
	r := full(1)
	g.Expect(r.String()).To(gomega.Equal("v3 n0 n1 n2"))
	newcomer := seats.Seat{Node: "newcomer", Addr: "b"}
	_, ok := r.Claim(newcomer, 1, noneLost)
	g.Expect(ok).To(gomega.BeFalse())
	next, ok := r.Claim(newcomer, 1, lostNode("n1"))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(next.String()).To(gomega.Equal("v4 n0 newcomer n2"))
	g.Expect(next.Find("newcomer").SinceVersion).To(gomega.Equal(uint64(4)))
	g.Expect(r.String()).To(gomega.Equal("v3 n0 n1 n2"), "Claim does not change its receiver")
}

// A newcomer that finds a free seat beside that of a lost holder takes the latter, since else nobody ever would. It
// leaves both alone while a holder may only be restarting, and takes the free one where too few others count.
func TestTheSeatOfALostHolderIsTakenBeforeAFreeOne(t *testing.T) {
	without, _ := full(1).Remove("n0")
	for _, c := range []struct {
		name   string
		silent seats.Holder
		other  seats.Holder
		want   string
	}{
		{"all answer", seats.Holder{Replica: true}, seats.Holder{Replica: true}, "v5 n1 n2 newcomer"},
		{"one is silent", seats.Holder{Silent: true}, seats.Holder{Replica: true}, ""},
		{"one is lost", seats.Holder{Silent: true, Lost: true}, seats.Holder{Replica: true}, "v5 newcomer n2"},
		{"one is lost and the other does not count", seats.Holder{Silent: true, Lost: true}, seats.Holder{}, "v5 n1 n2 newcomer"},
		{"one is lost and the other silent", seats.Holder{Silent: true, Lost: true}, seats.Holder{Silent: true}, ""},
		{"both are lost", seats.Holder{Silent: true, Lost: true}, seats.Holder{Silent: true, Lost: true}, "v5 n1 n2 newcomer"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			next, ok := without.Claim(seats.Seat{Node: "newcomer", Addr: "b"}, 1, func(s seats.Seat) seats.Holder {
				if s.Node == "n1" {
					return c.silent
				}
				return c.other
			})
			g.Expect(ok).To(gomega.Equal(c.want != ""))
			if ok {
				g.Expect(next.String()).To(gomega.Equal(c.want))
				g.Expect(next.Find("newcomer").Fresh).To(gomega.Equal(len(next.Seats) == 3))
			}
		})
	}
}

func TestClaimWithNewAddressRenewsSeat(t *testing.T) {
	g := gomega.NewWithT(t)
	r := full(1)
	moved := *r.Find("n2")
	_, ok := r.Claim(moved, 1, noneLost)
	g.Expect(ok).To(gomega.BeFalse())
	moved.Addr = "elsewhere"
	next, ok := r.Claim(moved, 1, noneLost)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(next.Find("n2").SinceVersion).To(gomega.Equal(next.Version))
}

// Hosts that have just lost power must not find their seats taken by spares, which
// have nothing to catch up from.
func TestSeatsAreTakenOnlyWhileEnoughReplicasAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	newcomer := seats.Seat{Node: "newcomer", Addr: "b"}
	for lost := 1; lost <= 5; lost++ {
		_, ok := full(2).Claim(newcomer, 2, func(s seats.Seat) seats.Holder {
			away := s.Node < fmt.Sprintf("n%d", lost)
			return seats.Holder{Lost: away, Replica: !away}
		})
		g.Expect(ok).To(gomega.Equal(lost <= 2), "%d of 5 lost", lost)
	}
}

func TestRemoveLeavesAQuorum(t *testing.T) {
	g := gomega.NewWithT(t)
	next, ok := full(1).Remove("n0")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(next.String()).To(gomega.Equal("v4 n1 n2"))
	g.Expect(next.Quorum()).To(gomega.Equal(2))
	_, ok = next.Remove("n1")
	g.Expect(ok).To(gomega.BeFalse(), "one seat is no quorum")
	_, ok = next.Remove("n0")
	g.Expect(ok).To(gomega.BeFalse(), "it has no seat")
}

func TestOrderStartsWithOwnCentre(t *testing.T) {
	g := gomega.NewWithT(t)
	r := full(1)
	first := map[string]int{}
	for i := range 100 {
		order := r.Order("c1", fmt.Sprint(i))
		g.Expect(order[0].Node).To(gomega.Equal("n1"))
		g.Expect(slices.IndexFunc(order, func(s seats.Seat) bool { return s.Node == "n0" })).To(gomega.BeNumerically(">", 0))
		first[order[1].Node]++
	}
	g.Expect(first["n0"]).To(gomega.BeNumerically("~", 50, 20))
}

// Hosts start together, those of one data centre first. Each yields seats to
// data centres without one, so that no data centre gets more than its share.
func TestSeatsSpreadOverDataCentres(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, centres := range []int{1, 2, 3, 4} {
		r := &seats.Roster{}
		for i := range 12 {
			host := seats.Seat{Node: fmt.Sprint(i), Centre: fmt.Sprint(i * centres / 12)}
			if r.ShouldYield(host.Centre, 2, centres) {
				continue
			}
			if next, ok := r.Claim(host, 2, noneLost); ok {
				r = next
			}
		}
		g.Expect(r.Seats).To(gomega.HaveLen(seats.TargetCount(2)))
		for i := range centres {
			g.Expect(r.HasCentre(fmt.Sprint(i))).To(gomega.BeTrue(), "%d data centres: %s", centres, r)
		}
	}
	g.Expect((&seats.Roster{}).ShouldYield("any", 2, 0)).To(gomega.BeFalse(), "no data centres are known")
}

// A host was reported as empty under a roster that a spare's claim replaced in the same
// moment, so that the newest roster had a seat that did not count.
func TestAHandoverWaitsForASpareThatClaims(t *testing.T) {
	without, _ := full(1).Remove("n0")
	claimed, _ := without.Claim(seats.Seat{Node: "spare"}, 1, noneLost)
	for _, c := range []struct {
		name     string
		handover seats.Handover
		want     bool
	}{
		{"the spare claimed meanwhile", seats.Handover{Version: without.Version, Newest: claimed}, false},
		{"the spare caught up", seats.Handover{Version: claimed.Version, Newest: claimed, SpareMayClaim: true}, true},
		{"the spare has not claimed", seats.Handover{Version: without.Version, Newest: without, SpareMayClaim: true}, false},
		{"no spare answers", seats.Handover{Version: without.Version, Newest: without}, true},
		{"the spare never claims", seats.Handover{Version: without.Version, Newest: without, SpareMayClaim: true, Waited: time.Minute}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(c.handover.Done()).To(gomega.Equal(c.want))
		})
	}
}

// productionRoster is a roster as the build in production reads and writes it.
type productionRoster struct {
	Version uint64 `json:"version"`
	Seats   []struct {
		Node         string `json:"node"`
		Addr         string `json:"addr"`
		Centre       string `json:"centre"`
		SinceVersion uint64 `json:"since"`
		Fresh        bool   `json:"fresh,omitempty"`
	} `json:"seats"`
	MaxLosses int `json:"losses"`
}

// The build in production reads a roster with former holders as one without, and what it writes is
// read here, without former holders.
func TestProductionReadsAndWritesRosters(t *testing.T) {
	g := gomega.NewWithT(t)
	r, ok := full(1).Claim(seats.Seat{Node: "newcomer", Addr: "b", Centre: "c"}, 1, lostNode("n1"))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(r.Find("newcomer").Former).To(gomega.HaveLen(1))
	data, err := json.Marshal(r)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var there productionRoster
	g.Expect(json.Unmarshal(data, &there)).To(gomega.Succeed())
	data, err = json.Marshal(there)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	back := &seats.Roster{}
	g.Expect(json.Unmarshal(data, back)).To(gomega.Succeed())
	r.Find("newcomer").Former = nil
	g.Expect(back).To(gomega.Equal(r))
}
