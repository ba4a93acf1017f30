package wallog_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cowslipstage/cowslipstage/transport/wallog"
)

const maxBytes = 64 << 20

func reopen(g *gomega.WithT, folder string, size int64) (*wallog.Log, []string) {
	var records []string
	l, err := wallog.Open(folder, size, func(data []byte, _ *wallog.Location) {
		records = append(records, string(data))
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return l, records
}

func newestSegment(g *gomega.WithT, folder string) string {
	names, err := filepath.Glob(filepath.Join(folder, "*.wal"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	slices.Sort(names)
	return names[len(names)-1]
}

// A record is read from where it lies, also after other segments were started, after
// the log was opened again, and until it is released.
func TestALocationReadsItsRecord(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	l, _ := reopen(g, folder, maxBytes)
	texts := map[string]*wallog.Location{}
	for i := range 3 {
		for j := range 3 {
			text := fmt.Sprint(i, "-", j, "-", string(bytes.Repeat([]byte{'x'}, 2<<20)))
			texts[text] = l.Add([]byte(text))
		}
		g.Expect(l.Sync()).To(gomega.Succeed())
	}
	for text, at := range texts {
		data, err := at.Read()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(data) == text).To(gomega.BeTrue())
	}
	g.Expect(l.Close()).To(gomega.Succeed())

	locations := map[string]*wallog.Location{}
	l, err := wallog.Open(folder, maxBytes, func(data []byte, at *wallog.Location) {
		locations[string(data)] = at
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for text, at := range locations {
		data, err := at.Read()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(data) == text).To(gomega.BeTrue())
	}
	var kept *wallog.Location
	for text, at := range locations {
		if text[0] == '0' {
			kept = at
		}
	}
	kept.Pin()
	for _, at := range locations {
		at.Release()
	}
	g.Expect(l.Clean()).To(gomega.Succeed())
	_, err = kept.Read()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for text, at := range locations {
		if text[0] == '1' {
			_, err := at.Read()
			g.Expect(errors.Is(err, wallog.ErrDisk)).To(gomega.BeTrue(), "its segment is released")
		}
	}
	kept.Release()
	g.Expect(l.Clean()).To(gomega.Succeed())
	_, err = kept.Read()
	g.Expect(errors.Is(err, wallog.ErrDisk)).To(gomega.BeTrue(), "its segment is released")
}

// After a power failure a file holds all data up to its last sync. Data written
// later may be present, missing or torn. This guards against the loss of a synced
// record and against the return of a torn one.
func TestSyncedRecordsSurvivePowerLoss(t *testing.T) {
	folder := t.TempDir()
	round := 0
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		round++
		dir := filepath.Join(folder, fmt.Sprint(round))
		l, _ := reopen(g, dir, maxBytes)
		var synced []string
		for i := range rapid.IntRange(0, 5).Draw(t, "synced") {
			r := fmt.Sprintf("synced-%d", i)
			l.Add([]byte(r))
			g.Expect(l.Sync()).To(gomega.Succeed())
			synced = append(synced, r)
		}
		path := newestSegment(g, dir)
		durable, err := os.Stat(path)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for i := range rapid.IntRange(0, 3).Draw(t, "later") {
			l.Add([]byte(fmt.Sprintf("later-%d", i)))
		}
		g.Expect(l.Sync()).To(gomega.Succeed())
		g.Expect(l.Close()).To(gomega.Succeed())
		data, err := os.ReadFile(path)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for i := int(durable.Size()); i < len(data); i++ {
			if rapid.IntRange(0, 7).Draw(t, "tear") == 0 {
				data[i] = 0
			}
		}
		cut := rapid.IntRange(int(durable.Size()), len(data)).Draw(t, "cut")
		g.Expect(os.WriteFile(path, data[:cut], 0o600)).To(gomega.Succeed())
		after, records := reopen(g, dir, maxBytes)
		g.Expect(len(records)).To(gomega.BeNumerically(">=", len(synced)))
		g.Expect(append([]string{}, records[:len(synced)]...)).To(gomega.Equal(append([]string{}, synced...)))
		for _, r := range records[len(synced):] {
			g.Expect(r).To(gomega.HavePrefix("later-"))
		}
		after.Add([]byte("next"))
		g.Expect(after.Sync()).To(gomega.Succeed())
		g.Expect(after.Close()).To(gomega.Succeed())
		_, records = reopen(g, dir, maxBytes)
		g.Expect(records).To(gomega.ContainElement("next"))
	})
}

func TestCleanRemovesReleasedSegments(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	l, _ := reopen(g, folder, maxBytes)
	big := bytes.Repeat([]byte("x"), 3<<20)
	var all []*wallog.Location
	for range 4 {
		all = append(all, l.Add(big))
		g.Expect(l.Sync()).To(gomega.Succeed())
	}
	before := l.Size()
	all[0].Release()
	all[1].Release()
	g.Expect(l.Clean()).To(gomega.Succeed())
	g.Expect(l.Size()).To(gomega.BeNumerically("<", before))
	g.Expect(l.Close()).To(gomega.Succeed())
	_, records := reopen(g, folder, maxBytes)
	g.Expect(len(records)).To(gomega.And(gomega.BeNumerically(">=", 2), gomega.BeNumerically("<", 4)))
}

// Records that are kept for long lie between many that are not. Each held a whole segment, and
// the log was full while it kept next to nothing.
func TestAFewKeptRecordsDoNotFillTheLog(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	l, _ := reopen(g, folder, maxBytes)
	passing := bytes.Repeat([]byte("x"), 1<<20)
	kept := map[string]*wallog.Location{}
	for i := range 3 * maxBytes >> 20 {
		name := fmt.Sprint("kept-", i)
		kept[name] = l.Add([]byte(name))
		at := l.Add(passing)
		g.Expect(l.Sync()).To(gomega.Succeed(), "record %d", i)
		at.Release()
		g.Expect(l.Clean()).To(gomega.Succeed())
		g.Expect(l.Compact()).To(gomega.Succeed())
	}
	for name, at := range kept {
		data, err := at.Read()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(data)).To(gomega.Equal(name))
	}
	g.Expect(l.Close()).To(gomega.Succeed())
	_, records := reopen(g, folder, maxBytes)
	for name := range kept {
		g.Expect(records).To(gomega.ContainElement(name))
	}
}

func TestFullLogRefusesSyncAndKeepsRecords(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	l, _ := reopen(g, folder, 100)
	l.Add([]byte("fits"))
	g.Expect(l.Sync()).To(gomega.Succeed())
	l.Add(bytes.Repeat([]byte("x"), 200))
	g.Expect(errors.Is(l.Sync(), wallog.ErrDisk)).To(gomega.BeTrue())
	_, records := reopen(g, folder, 100)
	g.Expect(records).To(gomega.Equal([]string{"fits"}))
}

func FuzzReadRecord(f *testing.F) {
	f.Add([]byte{4, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3, 4})
	f.Add([]byte{255, 255, 255, 255, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bytes.NewReader(data)
		for {
			record, err := wallog.ReadRecord(r)
			if err != nil {
				return
			}
			if len(record) == 0 {
				t.Fatal("an empty record")
			}
		}
	})
}
