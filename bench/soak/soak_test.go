package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/bench/soak"
)

// seeds once broke a promise; each has a line on the cause in docs/measure/soak.md.
// The first runs with every build so that the soak itself stays alive.
var seeds = []uint64{1}

// Real gates and vaults under faults from outside: no promise breaks.
func TestPromisesHoldUnderFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	binary := filepath.Join(t.TempDir(), "cowslipstage")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/cowslipstage").CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred(), string(out))
	for _, seed := range seeds {
		r, err := soak.Run(soak.Options{Seed: seed, For: 6 * time.Second, Binary: binary, Folder: t.TempDir(), Callers: 4})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Log(r)
		g.Expect(r.Broken).To(gomega.BeEmpty())
		g.Expect(r.Served).To(gomega.BeNumerically(">", 100), "callers are served meanwhile")
	}
}
