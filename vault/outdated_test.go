package vault

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
)

// A vault that has fallen behind skips what gates no longer wait for. A catch-up of
// another vault waits longer and is served.
func TestMessagesThatNobodyAwaitsAreSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	late := now.Add(-maxWait - time.Millisecond)
	for _, c := range []struct {
		message  vaults.Message
		received time.Time
		want     bool
	}{
		{&vaults.Begin{}, now.Add(-maxWait), false},
		{&vaults.Begin{}, late, true},
		{&vaults.End{}, late, true},
		{&vaults.Load{}, late, true},
		{&vaults.Fetch{}, late, true},
		{&vaults.List{}, late, false},
		{&vaults.Get{}, late, false},
	} {
		r := request{message: c.message, receivedAt: c.received}
		g.Expect(r.outdated(now)).To(gomega.Equal(c.want), "%T received %s ago", c.message, now.Sub(c.received))
	}
}
