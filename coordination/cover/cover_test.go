package cover_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/cover"
	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/state/tenure"
)

// full returns a roster in which the hosts n0, n1 and so on have all seats, each since a
// version of its own.
func full(losses int) *seats.Roster {
	r := &seats.Roster{}
	for i := range seats.TargetCount(losses) {
		r, _ = r.Claim(seats.Seat{Node: fmt.Sprint("n", i), Addr: "a"}, losses, func(seats.Seat) seats.Holder { return seats.Holder{} })
	}
	return r
}

// claimed and counted return tenures of one seat.
func claimed(since uint64) tenure.Tenure { return tenure.Tenure{}.Claim(since) }
func counted(since uint64) tenure.Tenure { return claimed(since).Count(since) }

// Of five seats three store a record. A host that never held one in its seat need not
// count itself among those that may be missed.
func TestAHostCatchesUpFromEnoughOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, c := range []struct {
		own                          bool
		failed, behind, fresh, count int
		want                         bool
	}{
		{false, 1, 0, 0, 3, true},
		{false, 1, 1, 0, 2, false},
		{true, 1, 1, 0, 2, true},
		{true, 1, 2, 0, 1, false},
		{false, 0, 1, 2, 1, true},
		{false, 0, 4, 0, 0, true},
		{false, 1, 3, 0, 0, false},
	} {
		r := full(2)
		own := cover.Heard{}
		if c.own {
			own.Tenure = claimed(1)
		}
		read := cover.New(r, "n0", own)
		for i, s := range r.Seats[1:] {
			switch {
			case i < c.failed:
				read.Fail(s.Node)
			case i < c.failed+c.behind:
				read.Hear(s.Node, cover.Heard{})
			case i < c.failed+c.behind+c.fresh:
				read.Hear(s.Node, cover.Heard{Tenure: claimed(s.SinceVersion)})
			default:
				read.Hear(s.Node, cover.Heard{Replica: true, Tenure: counted(s.SinceVersion)})
			}
		}
		g.Expect(read.Complete()).To(gomega.Equal(c.want), "%+v: %s", c, read)
		g.Expect(read.Formers()).To(gomega.BeEmpty(), "nobody had a seat before")
	}
}

// lost returns a holder that is lost, and says whether it was seen to count.
func lost(node string, counted bool) func(seats.Seat) seats.Holder {
	return func(s seats.Seat) seats.Holder {
		if s.Node == node {
			return seats.Holder{Silent: true, Lost: true, Counted: counted}
		}
		return seats.Holder{Replica: true, Counted: true}
	}
}

// A seat is read from the last host that counted in it. Hosts that had it later and never
// counted lead to that one; a host that may have counted since, or lost its disk, does not.
func TestASeatIsReadFromTheLastHostThatCountedInIt(t *testing.T) {
	first, _ := full(1).Claim(seats.Seat{Node: "d", Addr: "b"}, 1, lost("n0", true))
	second, _ := first.Claim(seats.Seat{Node: "e", Addr: "c"}, 1, lost("d", false))
	third, _ := first.Claim(seats.Seat{Node: "n0", Addr: "a"}, 1, lost("d", false))
	known, _ := first.Claim(seats.Seat{Node: "e", Addr: "c"}, 1, lost("d", true))
	never := cover.Heard{Tenure: claimed(4)}
	for _, c := range []struct {
		name   string
		roster *seats.Roster
		node   string
		own    tenure.Tenure
		heard  map[string]cover.Heard
		// asked are the former holders that are asked in turn, want whether the seat counts as read.
		asked []string
		want  bool
	}{
		{"the former holder counted", first, "d", claimed(4), map[string]cover.Heard{"n0": {Tenure: counted(1)}}, []string{"n0"}, true},
		{"it has lost its disk", first, "d", claimed(4), map[string]cover.Heard{"n0": {}}, []string{"n0"}, false},
		{"it does not answer", first, "d", claimed(4), nil, []string{"n0"}, false},
		{"it is asked for another host's seat", first, "n1", tenure.Tenure{}, map[string]cover.Heard{"d": never, "n0": {Tenure: counted(1)}}, []string{"n0"}, true},
		{"the holder has lost its disk", first, "d", tenure.Tenure{}, map[string]cover.Heard{"n0": {Tenure: counted(1)}}, nil, false},
		{"the holder may count", first, "n1", tenure.Tenure{}, map[string]cover.Heard{"n0": {Tenure: counted(1)}}, nil, false},
		{"the one in between never counted", second, "e", claimed(5), map[string]cover.Heard{"d": never, "n0": {Tenure: counted(1)}}, []string{"d", "n0"}, true},
		{"the one in between counted", second, "e", claimed(5), map[string]cover.Heard{"d": {Tenure: counted(4)}}, []string{"d"}, true},
		{"the one in between does not answer", second, "e", claimed(5), map[string]cover.Heard{"n0": {Tenure: counted(1)}}, []string{"d"}, false},
		{"the one in between was seen to count", known, "e", claimed(5), map[string]cover.Heard{"d": never, "n0": {Tenure: counted(1)}}, []string{"d"}, false},
		{"the one before that has lost its disk", second, "e", claimed(5), map[string]cover.Heard{"d": never, "n0": {}}, []string{"d", "n0"}, false},
		{"the former holder is back in the seat", third, "n0", counted(1).Claim(5), map[string]cover.Heard{"d": never}, []string{"d"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			read := cover.New(c.roster, c.node, cover.Heard{Tenure: c.own})
			for _, s := range c.roster.Seats {
				switch h, ok := c.heard[s.Node]; {
				case s.Node == c.node:
				case s.Node == "n2":
					read.Hear(s.Node, cover.Heard{Replica: true, Tenure: counted(s.SinceVersion)})
				case ok:
					read.Hear(s.Node, h)
				default:
					read.Fail(s.Node)
				}
			}
			asked := []string(nil)
			for formers := read.Formers(); len(formers) > 0; formers = read.Formers() {
				asked = append(asked, formers[0].Node)
				g.Expect(formers).To(gomega.HaveLen(1))
				if h, ok := c.heard[asked[len(asked)-1]]; ok {
					read.Hear(formers[0].Node, h)
				} else {
					read.Fail(formers[0].Node)
				}
			}
			g.Expect(asked).To(gomega.Equal(c.asked))
			g.Expect(read.Complete()).To(gomega.Equal(c.want), read.String())
		})
	}
}
