package gate

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/site"
)

// Gates hear of each other's running calls through the vault of their own data
// centre, within moments and without a turn of their own. The list does not cross
// from another one, unless no vault is nearer.
func TestGatesHearOfEachOthersCalls(t *testing.T) {
	r := newRig(t, 1)
	roster := r.bank.current()
	begun := time.Now()
	near := roster.Order(r.bank.site.Centre, "")[0]
	for _, s := range roster.Seats {
		l := r.bank.share.tell(begun, roster, s)
		r.g.Expect(l.WantOthers).To(gomega.Equal(s.Node == near.Node), s.Node)
		again := r.bank.share.tell(begun.Add(farEvery/2), roster, s)
		r.g.Expect(again != nil).To(gomega.Equal(s.Node == near.Node), "told a moment ago")
	}
	away := newShare(&site.Site{Node: "away", Centre: "without vaults"})
	r.g.Expect(away.tell(begun, roster, near).WantOthers).To(gomega.BeTrue())
	r.g.Expect(away.tell(begun, roster, roster.Seats[1]).WantOthers).To(gomega.BeFalse(), "asked a moment ago")

	large := map[string]int{}
	for i := range 3000 {
		large[fmt.Sprint("e", i)] = 1
	}
	away.heard(&vaults.LoadReply{OtherCalls: large})
	r.g.Expect(away.news(begun.Add(100*time.Millisecond)).WantOthers).To(gomega.BeFalse(), "a long list comes more seldom")
	r.g.Expect(away.news(begun.Add(200 * time.Millisecond)).WantOthers).To(gomega.BeTrue())

	other := r.newBank(1)
	other.site.Node = "other"
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var calls atomic.Int64
	for _, b := range []*bank{r.bank, other} {
		go b.reach(ctx)
		go b.spread(ctx)
	}
	r.bank.share.running = func() map[string]int { return map[string]int{"e": int(calls.Load())} }
	r.g.Eventually(func() bool { return r.bank.client(near.Addr).Live() && other.client(near.Addr).Live() }).Should(gomega.BeTrue())
	for n := range 3 {
		calls.Store(int64(n + 1))
		r.bank.share.change()
		r.g.Eventually(func() int {
			other.share.change()
			heard, _ := other.share.others(time.Now())
			return heard["e"]
		}).WithTimeout(300 * time.Millisecond).WithPolling(10 * time.Millisecond).Should(gomega.Equal(n + 1))
	}
}

// What one gate saw fail, others hear of, if it fails more often than not.
func TestGatesHearOfFailingEndpoints(t *testing.T) {
	r := newRig(t, 1)
	r.bank.share.ended = func() (good, bad map[string]int) {
		return map[string]int{"some": 9}, map[string]int{"some": 5, "most": 5, "once": 1}
	}
	_, err := r.open("")
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	other := r.newBank(1)
	other.site.Node = "other"
	r.bank = other
	r.g.Eventually(func() []string {
		_, err := r.open("")
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		return other.share.suspects(time.Now())
	}).WithTimeout(2 * time.Second).Should(gomega.Equal([]string{"most"}))
	r.g.Expect(other.share.suspects(time.Now().Add(suspectAge+time.Second))).To(gomega.BeEmpty(), "long ago")
}
