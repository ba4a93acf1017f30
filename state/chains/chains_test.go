package chains_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/chains"
)

var epoch = time.UnixMilli(1_800_000_000_000)

func turn(id, previous string, at time.Duration) *chains.Turn {
	return &chains.Turn{
		ID: id, Previous: previous, Program: "p", Input: []byte("<" + id), Output: []byte(">" + id + "\n"),
		Retention: time.Minute, Written: epoch.Add(at).UnixMilli(),
	}
}

func TestBuildInputOrdersTurnsOldestFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	c := chains.New()
	for _, k := range []*chains.Turn{turn("a", "", 0), turn("b", "a", 0), turn("c", "b", 0)} {
		g.Expect(c.Add(k)).To(gomega.BeTrue())
	}
	newest, complete := c.Chain("c", "")
	g.Expect(complete).To(gomega.BeTrue())
	oldest := []*chains.Turn{newest[2].Turn, newest[1].Turn, newest[0].Turn}
	g.Expect(string(chains.BuildInput(oldest, []byte("new")))).To(gomega.Equal("<a>a\n<b>b\n<c>c\nnew"))
}

func TestATurnIsKeptAsLongAsItsSuccessors(t *testing.T) {
	g := gomega.NewWithT(t)
	c := chains.New()
	c.Add(turn("a", "", 0))
	c.Add(turn("b", "a", 50*time.Second))
	expire(c, epoch.Add(100*time.Second))
	_, complete := c.Chain("b", "")
	g.Expect(complete).To(gomega.BeTrue())
	expire(c, epoch.Add(2*time.Minute))
	g.Expect(c.Turn("a")).To(gomega.BeEmpty())
	g.Expect(c.Size()).To(gomega.BeZero())
}

// expire drops what is due, as if no other replica had heard of more.
func expire(c *chains.Chains, now time.Time) { c.Expire(now, c.Due(now, 100)) }

// source stands for a record on disk.
type source struct {
	data []byte
	pins int
}

func (s *source) Read() ([]byte, error) { return s.data, nil }

func (s *source) Size() int { return len(s.data) }

func (s *source) Pin()     { s.pins++ }
func (s *source) Release() { s.pins-- }

// Once a turn is stored, only its place is in memory; the texts are read when they are
// needed, and stay stored as long as a turn that continues it is kept.
func TestAStoredTurnIsReadFromItsSource(t *testing.T) {
	g := gomega.NewWithT(t)
	c := chains.New()
	a := turn("a", "", 0)
	c.Add(a)
	data, err := chains.Encode(nil, a)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s := &source{data: data, pins: 1}
	c.SetSource(a, s)
	kept := c.Turn("a")
	g.Expect(kept).To(gomega.HaveLen(1))
	g.Expect(kept[0].Input).To(gomega.BeEmpty(), "not in memory")
	loaded, err := kept[0].Load()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(loaded).To(gomega.Equal(a))
	records, _ := c.After(0, 10)
	g.Expect(records).To(gomega.HaveLen(1))
	g.Expect(records[0].(*chains.Turn).Input).To(gomega.BeEmpty())
	c.Add(turn("b", "a", 50*time.Second))
	expire(c, epoch.Add(110*time.Second))
	g.Expect(s.pins).To(gomega.BeNumerically(">", 0), "stored as long as a turn that continues it is kept")

	s.data = s.data[:len(s.data)-3]
	_, err = kept[0].Load()
	g.Expect(errors.Is(err, chains.ErrRecord)).To(gomega.BeTrue(), "%v", err)
	expire(c, epoch.Add(111*time.Second))
	g.Expect(s.pins).To(gomega.BeZero())
}

func TestACursorReturnsEachRecordOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	c := chains.New()
	c.Add(turn("a", "", 0))
	c.Add(&chains.Hold{Program: "p", Turn: "b", MaxTokens: 5, Retention: time.Minute, Written: epoch.UnixMilli()})
	first, cursor := c.After(0, 1)
	g.Expect(first).To(gomega.HaveLen(1))
	c.Add(turn("b", "a", 0))
	c.Add(turn("b", "a", 0))
	rest, cursor := c.After(cursor, 10)
	g.Expect(rest).To(gomega.HaveLen(2))
	rest, _ = c.After(cursor, 10)
	g.Expect(rest).To(gomega.BeEmpty())
}

func TestRecordsSurviveEncoding(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, r := range []chains.Record{
		turn("a", "b", 0),
		&chains.Hold{Program: "p", Turn: "t", MaxTokens: 7, Retention: time.Second, Written: 1},
		&chains.Spent{Program: "p", Turn: "t", Used: 7, Retention: time.Second, Written: 1},
	} {
		data, err := chains.Encode(nil, r)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(chains.Decode(data)).To(gomega.Equal(r))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{1, 0xa0})
	f.Add([]byte{})
	f.Add([]byte{9, 9, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := chains.Decode(data)
		if (r == nil) == (err == nil) {
			t.Fatalf("record %v, error %v", r, err)
		}
	})
}
