package bulk_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/bulk"
)

// Many answers without end filled the memory together, each within its own bound. The largest
// ends, and the others go on.
func TestTheLargestAnswerEndsWhenAllTakeTooMuch(t *testing.T) {
	g := gomega.NewWithT(t)
	b := bulk.New(100)
	ended := make(chan string, 10)
	open := func(name string) *bulk.Answer { return b.Open(func() { ended <- name }) }
	small, endless, further := open("small"), open("endless"), open("further")
	g.Expect([]bool{small.Grow(10), endless.Grow(60), further.Grow(30)}).To(gomega.HaveEach(true))
	g.Expect(ended).NotTo(gomega.Receive())
	grown := make(chan bool, 1)
	go func() { grown <- small.Grow(1) }()
	g.Eventually(ended).Should(gomega.Receive(gomega.Equal("endless")))
	g.Consistently(grown, "50ms").ShouldNot(gomega.Receive(), "the memory is not given back yet")
	g.Expect(endless.Grow(1)).To(gomega.BeFalse())
	endless.Close()
	g.Eventually(grown).Should(gomega.Receive(gomega.BeTrue()))
	g.Expect(b.Total()).To(gomega.Equal(int64(41)))
	g.Expect(further.Grow(60)).To(gomega.BeFalse())
	g.Expect(ended).To(gomega.Receive(gomega.Equal("further")))
	further.Close()
	small.Close()
	g.Expect(b.Total()).To(gomega.BeZero())
	alone := open("alone")
	g.Expect(alone.Grow(101)).To(gomega.BeFalse(), "one answer beyond the bound ends, too")
	alone.Close()
	g.Expect(b.Total()).To(gomega.BeZero())
}

// An answer is written as it was read, whatever its length, and counts as held meanwhile. One that is
// longer than it may be is not read to its end.
func TestPagesHoldAnAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	b := bulk.New(0)
	for _, size := range []int{0, 1, 4 << 10, 4<<10 + 1, 36 << 10, 100_000} {
		text := strings.Repeat("0123456789", size/10+1)[:size]
		a := b.Open(func() {})
		p, err := a.ReadAll(iotest.OneByteReader(strings.NewReader(text)), 100_000)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(b.Total()).To(gomega.BeNumerically(">=", size))
		var written strings.Builder
		g.Expect(p.WriteTo(&written)).To(gomega.Equal(int64(size)))
		g.Expect(written.String() == text).To(gomega.BeTrue())
		g.Expect(p.Len()).To(gomega.Equal(size))
		p.Release()
		a.Close()
		g.Expect(b.Total()).To(gomega.BeZero())
	}
	p, err := b.Open(func() {}).ReadAll(strings.NewReader(strings.Repeat("x", 200_000)), 1000)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(p.Len()).To(gomega.BeNumerically(">", 1000))
	_, err = b.Open(func() {}).ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 1000)
	g.Expect(err).To(gomega.MatchError(io.ErrUnexpectedEOF))
}
