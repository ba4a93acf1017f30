package links_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/transport/links"
)

func TestIdleHeartbeatsStayWithinTheirBudget(t *testing.T) {
	g := NewWithT(t)
	a := newTestNode(t, "a", func(o *links.Options) { o.PingInterval = 500 * time.Millisecond })
	g.Expect(a.MaxPingInterval()).To(Equal(500 * time.Millisecond))
	a.SetPeerLinks("small", 6)
	g.Expect(a.MaxPingInterval()).To(Equal(500*time.Millisecond), "with few links, the interval is PingInterval")
	a.SetPeerLinks("hub", 698)
	g.Expect(a.MaxPingInterval()).To(Equal(698 * 64 * time.Second / 1024))
}
