package vault

import (
	"fmt"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/standin/coord"
	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/transport/wallog"
)

// fillFolder writes the log of a vault that has recorded turns with texts of the
// given size, each with its hold.
func fillFolder(t testing.TB, turns, textBytes int) *site.Site {
	g := gomega.NewWithT(t)
	s := &site.Site{Node: "v", Centre: "c", IP: "127.0.0.1", FirstPort: 1, Data: t.TempDir(), Disk: 1 << 30, MaxLostHosts: 1}
	l, err := wallog.Open(filepath.Join(s.Data, logFolder), s.Disk, func([]byte, *wallog.Location) {})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	now := time.Now()
	text := make([]byte, textBytes)
	for i := range turns {
		id, program := fmt.Sprint("turn-", i), fmt.Sprint("program-", i/8)
		for _, r := range []chains.Record{
			&chains.Hold{Program: program, Turn: id, MaxTokens: 300, Retention: time.Hour, Written: now.UnixMilli()},
			&chains.Turn{
				ID: id, Program: program, Endpoint: "endpoint", Input: text, Output: []byte("some output"), Used: 80, Retention: time.Hour,
				Written: now.UnixMilli(),
			},
		} {
			data, err := chains.Encode(nil, r)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			l.Add(data)
		}
		if i%100 == 99 {
			g.Expect(l.Sync()).To(gomega.Succeed())
		}
	}
	g.Expect(l.Sync()).To(gomega.Succeed())
	g.Expect(l.Close()).To(gomega.Succeed())
	return s
}

func BenchmarkStartWithFullFolder(b *testing.B) {
	for _, textBytes := range []int{1 << 10, 8 << 10} {
		b.Run(fmt.Sprint(textBytes, " bytes a turn"), func(b *testing.B) {
			s := fillFolder(b, 5000, textBytes)
			b.ReportAllocs()
			for b.Loop() {
				v, err := New(s, coord.New(), metrics.NewSet(), zerolog.Nop())
				if err != nil {
					b.Fatal(err)
				}
				if err := v.writer.wal.Close(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// A vault is back with a data folder of several times its memory. What it reads at
// once must be bounded by its largest records, not by the folder.
func TestAStartTakesLittleMemoryWhateverTheFolderHolds(t *testing.T) {
	g := gomega.NewWithT(t)
	const turns, textBytes = 500, 64 << 10 // a folder of 32 MB
	s := fillFolder(t, turns, textBytes)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	v, err := New(s, coord.New(), metrics.NewSet(), zerolog.Nop())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	runtime.ReadMemStats(&after)
	g.Expect(v.chains.Size()).To(gomega.Equal(2 * turns))
	g.Expect(after.TotalAlloc-before.TotalAlloc).To(gomega.BeNumerically("<", turns*textBytes/8), "bytes allocated while the folder is read")
	kept := v.chains.Turn("turn-499")
	g.Expect(kept).To(gomega.HaveLen(1))
	turn, err := kept[0].Load()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(turn.Input).To(gomega.HaveLen(textBytes))
	g.Expect(v.writer.wal.Close()).To(gomega.Succeed())
}
