package route_test

import (
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/route"
)

func TestSticky(t *testing.T) {
	g := gomega.NewWithT(t)
	r := route.New(route.Sticky, rand.New(rand.NewPCG(1, 1)))
	engines := []route.Candidate{{Name: "e1"}, {Name: "e2"}, {Name: "e3"}}
	desks := []route.Candidate{{Name: "d1"}, {Name: "d2"}}
	chat := route.Call{Program: "p", Pool: "engines"}
	tool := route.Call{Program: "p", Pool: "desks"}
	home := r.Pick(chat, engines)
	for range 20 {
		// A tool call in another pool must not move the conversation.
		r.Pick(tool, desks)
		g.Expect(r.Pick(chat, engines)).To(gomega.Equal(home))
	}
}
