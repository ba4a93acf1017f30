package gate

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/retry"
	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/state/table"
)

func fiveSeats() []seats.Seat {
	return []seats.Seat{{Node: "a", Addr: "a"}, {Node: "b", Addr: "b"}, {Node: "c", Addr: "c"}, {Node: "d", Addr: "d"}, {Node: "e", Addr: "e"}}
}

// A turn that only some vaults have recorded is sent again to the others only: with
// hundreds of gates, sending it to all again keeps vaults behind that are.
func TestVaultsThatRecordedATurnAreNotSentItAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	r := receipts{"a": {version: 7, at: now}, "c": {version: 6, at: now}, "d": {version: 7, at: now.Add(-receiptAge)}}
	var left []string
	for _, s := range r.remaining(now, 7, fiveSeats()) {
		left = append(left, s.Node)
	}
	g.Expect(left).To(gomega.Equal([]string{"b", "c", "d", "e"}), "a receipt counts under its roster only, and not for long")
}

// All vaults are slow at once, as after a loss of power. Hedges must stay a fraction of
// the calls, or they make the vaults slower still.
func TestHedgesStayAFractionOfTheCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	c := &vaultClient{latencies: map[string]time.Duration{}, measuredAt: map[string]time.Time{}}
	c.hedges, c.hedgesDenied = retry.NewHedges(now), metrics.NewSet().NewCounter("denied")
	const calls = 1000
	hedges := 0
	for range calls {
		c.hedges.AddCall()
		if c.mayHedge(now, map[string]bool{"a": true}) {
			hedges++
		}
	}
	g.Expect(hedges).To(gomega.BeNumerically("<=", calls/10+8))
	g.Expect(c.latencies["a"]).To(gomega.BeNumerically(">", hedgeTime), "a slow vault is asked last for a while")
}

// The time of day of a vault is set ahead, and it dropped turns before their retention was over.
func TestATurnIsKeptWhenTheTimeOfDayIsSetAhead(t *testing.T) {
	g := gomega.NewWithT(t)
	q, c, written := &request{route: &table.Route{Retention: time.Minute, Timeout: 3 * time.Second}}, chains.New(), time.UnixMilli(1_700_000_000_000)
	c.Add(&chains.Turn{ID: "t", Program: "p", Retention: q.turnRetention(), Written: written.UnixMilli()})
	expire := func(now time.Time) { c.Expire(now, c.Due(now, 10)) }
	expire(written.Add(q.route.Retention + 4*time.Second))
	g.Expect(c.Turn("t")).To(gomega.HaveLen(1))
	expire(written.Add(q.route.Retention + clockMargin + q.route.Timeout + time.Second))
	g.Expect(c.Turn("t")).To(gomega.BeEmpty())
}
