package homes_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/homes"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A sub-agent's first turn goes where its parent's prompt is cached, also after another
// sub-agent of the program has run elsewhere.
func TestASubAgentStartsAtItsParentsHome(t *testing.T) {
	g := gomega.NewWithT(t)
	h := homes.New(10)
	h.Put(now, "p", "main", homes.Home{Endpoint: "a", Tokens: 100})
	h.Put(now, "p", "sub-1", homes.Home{Endpoint: "b", Tokens: 120})
	found, ok := h.Get(now, "p", "sub-2")
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(found.Endpoint).To(gomega.Equal("a"))
	found, _ = h.Get(now, "p", "sub-1")
	g.Expect(found.Endpoint).To(gomega.Equal("b"))
	_, ok = h.Get(now, "other", "sub-1")
	g.Expect(ok).To(gomega.BeFalse(), "sessions of another program")
}

// Memory stays bounded whatever callers send, and an outdated home is not used.
func TestHomesAreBoundedInNumberAndAge(t *testing.T) {
	g := gomega.NewWithT(t)
	h := homes.New(5)
	for i := range 100 {
		h.Put(now, fmt.Sprint("p", i), "s", homes.Home{Endpoint: "a"})
	}
	g.Expect(h.Size()).To(gomega.Equal(5))
	_, ok := h.Get(now, "p99", "s")
	g.Expect(ok).To(gomega.BeTrue())
	_, ok = h.Get(now.Add(time.Minute), "p99", "s")
	g.Expect(ok).To(gomega.BeFalse())
}

// Callers choose the names of their programs and sessions. Long ones must not take the
// memory of thousands of others.
func TestHomesOfLongNamesAreNotKept(t *testing.T) {
	g := gomega.NewWithT(t)
	h := homes.New(5)
	h.Put(now, strings.Repeat("p", 60<<10), "s", homes.Home{Endpoint: "a"})
	h.Put(now, "p", strings.Repeat("s", 60<<10), homes.Home{Endpoint: "a"})
	g.Expect(h.Size()).To(gomega.BeZero())
}
