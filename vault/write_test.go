package vault

import (
	"path/filepath"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/transport/wallog"
)

// Long records leave half of the disk to the others, and short ones are written until it is full.
func TestLongRecordsLeaveRoomOnTheDisk(t *testing.T) {
	g := gomega.NewWithT(t)
	const disk = 4 << 20
	l, err := wallog.Open(filepath.Join(t.TempDir(), "log"), disk, func([]byte, *wallog.Location) {})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	w := newWriter(l, 64<<20, func([]storedRecord) bool { return true }, metrics.NewSet().NewHistogram("write"), zerolog.Nop())
	go w.run()
	store := func(bytes int) {
		done := make(chan error, 1)
		w.add(func(err error) { done <- err }, &chains.Turn{ID: "t", Input: make([]byte, bytes)})
		g.Eventually(done).Should(gomega.Receive(gomega.BeNil()))
	}
	long := 0
	for ; w.hasRoom(512 << 10); long++ {
		store(512 << 10)
	}
	g.Expect(long).To(gomega.Equal(3), "half of the disk")
	short := 0
	for ; w.hasRoom(32 << 10); short++ {
		store(32 << 10)
	}
	g.Expect(short).To(gomega.BeNumerically(">", 70))
	g.Expect(w.stop()).To(gomega.Succeed())
}

// What waits for a disk that does not take it has a bound, but one record may always wait.
func TestRecordsThatWaitHaveABound(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := wallog.Open(filepath.Join(t.TempDir(), "log"), 64<<20, func([]byte, *wallog.Location) {})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	w := newWriter(l, 16<<20, func([]storedRecord) bool { return true }, metrics.NewSet().NewHistogram("write"), zerolog.Nop())
	g.Expect(w.hasRoom(4 << 20)).To(gomega.BeTrue())
	w.add(func(error) {}, &chains.Turn{ID: "t", Input: make([]byte, 900<<10)}) // nothing writes it
	g.Expect(w.hasRoom(4 << 20)).To(gomega.BeFalse())
	g.Expect(w.hasRoom(1 << 10)).To(gomega.BeTrue())
	g.Expect(w.hasRoom(200 << 10)).To(gomega.BeFalse())
	go w.run()
	g.Eventually(func() bool { return w.hasRoom(4 << 20) }).Should(gomega.BeTrue())
	g.Expect(w.stop()).To(gomega.Succeed())
}
