package cache_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/cache"
)

var start = time.Unix(1000, 0)

func TestGapMakesEarlierKnowledgeDoubtful(t *testing.T) {
	g := NewWithT(t)
	x := cache.New()
	x.ApplyEvent(start, "a", "e", 1, 800)
	x.ApplyEvent(start.Add(1), "b", "e", 2, 400)
	g.Expect(x.Tokens("a", "e")).To(Equal(800))
	x.ApplyEvent(start.Add(2), "c", "e", 5, 100)
	g.Expect(x.Tokens("a", "e")).To(Equal(400))
	g.Expect(x.Tokens("c", "e")).To(Equal(100))
}

func TestLateEventsDoNotGoBack(t *testing.T) {
	g := NewWithT(t)
	x := cache.New()
	x.ApplyEvent(start, "a", "e", 4, 800)
	x.ApplyEvent(start, "a", "e", 3, 0)
	g.Expect(x.Tokens("a", "e")).To(Equal(800))
	x.ApplyEvent(start, "a", "e", 5, 0)
	g.Expect(x.Holders("a")).To(BeEmpty())
}
