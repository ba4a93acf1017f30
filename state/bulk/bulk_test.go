package bulk_test

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/bulk"
)

// Many answers without end filled the memory together, each within its own bound. The largest
// ends, and the others go on.
func TestTheLargestAnswerEndsWhenAllTakeTooMuch(t *testing.T) {
	g := gomega.NewWithT(t)
	b := bulk.New(100)
	ended := map[string]int{}
	open := func(name string) *bulk.Answer { return b.Open(func() { ended[name]++ }) }
	small, endless, further := open("small"), open("endless"), open("further")
	small.Grow(10)
	endless.Grow(60)
	further.Grow(30)
	g.Expect(ended).To(gomega.BeEmpty())
	small.Grow(1)
	g.Expect(ended).To(gomega.Equal(map[string]int{"endless": 1}))
	g.Expect(b.Total()).To(gomega.Equal(int64(41)))
	endless.Close()
	g.Expect(b.Total()).To(gomega.Equal(int64(41)), "given back already")
	further.Grow(60)
	g.Expect(ended).To(gomega.Equal(map[string]int{"endless": 1, "further": 1}))
	small.Close()
	g.Expect(b.Total()).To(gomega.BeZero())
	further.Grow(101)
	g.Expect(b.Total()).To(gomega.BeZero(), "one answer beyond the bound ends, too")
}
