package vault

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/standin/coord"
	"github.com/cowslipstage/cowslipstage/state/site"
)

// open returns a vault with a data folder, as after a start of its process.
func open(g *gomega.WithT, folder string) *Vault {
	v, err := New(&site.Site{Node: "vault", Data: folder, Disk: 1 << 20}, coord.New(), metrics.NewSet(), zerolog.Nop())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return v
}

// A vault knows after a restart which seats it has had. The build before writes only the last one, and may
// have had others meanwhile; then no more than that is known.
func TestTheSeatsThatAVaultHasHadSurviveARestart(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	v := open(g, folder)
	g.Expect(v.storeVersion(seatFile, 5)).To(gomega.Succeed())
	g.Expect(v.storeVersion(claimFile, 7)).To(gomega.Succeed())
	v.caughtUpSince, v.claimedVersion = 5, 7
	v.tenure = v.tenure.Claim(3).Count(3).Claim(5).Count(5).Claim(7)
	v.storeTenure()
	g.Expect(open(g, folder).tenure).To(gomega.Equal(v.tenure))

	g.Expect(v.storeVersion(seatFile, 9)).To(gomega.Succeed())
	before := open(g, folder).tenure
	g.Expect(before.HasCounted(9)).To(gomega.BeTrue())
	g.Expect(before.HasCounted(5)).To(gomega.BeFalse())
	g.Expect(before.NeverCounted(7)).To(gomega.BeTrue(), "the claim file says so")

	g.Expect(os.WriteFile(filepath.Join(folder, tenureFile), []byte("{"), 0o600)).To(gomega.Succeed())
	g.Expect(open(g, folder).tenure).To(gomega.Equal(before))

	g.Expect(os.RemoveAll(folder)).To(gomega.Succeed())
	g.Expect(os.Mkdir(folder, 0o700)).To(gomega.Succeed())
	g.Expect(open(g, folder).tenure.NeverCounted(7)).To(gomega.BeFalse(), "the disk is lost")
}
