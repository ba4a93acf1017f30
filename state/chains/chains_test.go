package chains_test

import (
	"testing"
	"time"

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

func TestAChainReadsOldestFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	c := chains.New()
	for _, k := range []*chains.Turn{turn("a", "", 0), turn("b", "a", 0), turn("c", "b", 0)} {
		g.Expect(c.Add(k)).To(gomega.BeTrue())
	}
	newest, whole := c.Chain("c")
	g.Expect(whole).To(gomega.BeTrue())
	oldest := []*chains.Turn{newest[2], newest[1], newest[0]}
	g.Expect(string(chains.BuildInput(oldest, []byte("new")))).To(gomega.Equal("<a>a\n<b>b\n<c>c\nnew"))
}

func TestATurnIsKeptAsLongAsOneThatGoesOnFromIt(t *testing.T) {
	g := gomega.NewWithT(t)
	c := chains.New()
	c.Add(turn("a", "", 0))
	c.Add(turn("b", "a", 50*time.Second))
	c.Expire(epoch.Add(100 * time.Second))
	_, whole := c.Chain("b")
	g.Expect(whole).To(gomega.BeTrue())
	c.Expire(epoch.Add(2 * time.Minute))
	g.Expect(c.Turn("a")).To(gomega.BeNil())
	g.Expect(c.Size()).To(gomega.BeZero())
}

func TestOneWhoCatchesUpSeesEachRecordOnce(t *testing.T) {
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
