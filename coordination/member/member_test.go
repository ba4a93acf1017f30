package member_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/member"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func view() *member.View {
	return member.New(member.Options{
		Self: "a", LinkTimeout: 2 * time.Second, LeaseTimeout: 3 * time.Second,
		SuspectTimeout: 30 * time.Second, RefusalTimeout: time.Minute,
	})
}

func record(incarnation uint64) member.Record {
	return member.Record{Node: "b", LinkAddr: "127.0.0.1:1", Incarnation: incarnation}
}

// stateCase is the expected state of node b after some updates of a view.
type stateCase struct {
	name   string
	do     func(v *member.View)
	now    time.Duration
	state  member.State
	reason member.Reason
}

func stateCases() []stateCase {
	return []stateCase{
		{"an unknown node", func(*member.View) {}, 0, member.Unknown, member.Silent},
		{"a valid lease", func(v *member.View) {
			v.UpdateLeases(start, []member.Record{record(1)})
		}, time.Second, member.Live, member.Leased},
		{"the lease expired while the links work", func(v *member.View) {
			v.UpdateLeases(start, []member.Record{record(1)})
			v.UpdateLeases(at(5*time.Second), nil)
			v.Heard(at(5*time.Second), "b")
		}, 6 * time.Second, member.Live, member.Linked},
		{"the store is down and the links are silent", func(v *member.View) {
			v.UpdateLeases(start, []member.Record{record(1)})
		}, 4 * time.Second, member.Suspect, member.Silent},
		{"silent for long", func(v *member.View) {
			v.Gossip(start, record(1))
		}, time.Minute, member.Gone, member.Silent},
		{"listed as leaving", func(v *member.View) {
			v.Gossip(start, record(1))
			v.UpdateHostList("a", map[string]string{"b": "leaving"})
		}, time.Second, member.Leaving, member.Listed},
		{"listed as gone but heard", func(v *member.View) {
			v.Gossip(start, record(1))
			v.UpdateHostList("a", map[string]string{"b": "gone"})
		}, time.Second, member.Live, member.Linked},
		{"exit announced, then an outdated list and a valid lease", func(v *member.View) {
			v.Gossip(start, record(1))
			v.MarkExited(start, "b", 1)
			v.UpdateHostList("a", nil)
			v.UpdateLeases(at(time.Second), []member.Record{record(1)})
			v.Heard(at(time.Second), "b")
		}, time.Second, member.Gone, member.Announced},
		{"exit announced, then a new process", func(v *member.View) {
			v.MarkExited(start, "b", 1)
			v.Gossip(at(time.Second), record(2))
		}, time.Second, member.Live, member.Linked},
		{"old gossip after a new process", func(v *member.View) {
			old := record(1)
			old.Leaving = true
			v.Gossip(start, record(2))
			v.Gossip(at(time.Second), old)
		}, time.Second, member.Live, member.Linked},
		{"the same process cannot revoke leaving", func(v *member.View) {
			leaving := record(1)
			leaving.Leaving = true
			v.Gossip(start, leaving)
			v.Gossip(at(time.Second), record(1))
		}, time.Second, member.Leaving, member.Announced},
	}
}

func TestStates(t *testing.T) {
	for _, c := range stateCases() {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			v := view()
			c.do(v)
			state, reason := v.State(at(c.now), "b")
			g.Expect(state).To(Equal(c.state), state.String())
			g.Expect(reason).To(Equal(c.reason))
		})
	}
}

func TestEndpointDepartsOnRefusalOrHostList(t *testing.T) {
	g := NewWithT(t)
	v := view()
	g.Expect(v.NoteRefusal(start, "e1", true)).To(BeTrue())
	g.Expect(v.NoteRefusal(at(time.Second), "e1", true)).To(BeFalse(), "the same refusal is not new again")
	v.UpdateHostList("a", map[string]string{"e2": "leaving"})
	g.Expect(v.Departing(at(2 * time.Second))).To(Equal([]string{"e1", "e2"}))
	g.Expect(v.NoteRefusal(start, "e4", false)).To(BeTrue())
	g.Expect(v.OwnRefusals(at(2*time.Second))).To(Equal([]string{"e1"}), "refusals from other nodes are not relayed")
	v.ClearRefusal("e4")
	v.ClearRefusal("e1")
	g.Expect(v.Departing(at(2 * time.Second))).To(Equal([]string{"e2"}))
}

func TestHostListsOfGoneReadersAreIgnored(t *testing.T) {
	g := NewWithT(t)
	v := view()
	v.Gossip(start, record(1))
	g.Expect(v.UpdateHostList("b", map[string]string{"e1": "leaving"})).To(BeTrue())
	g.Expect(v.UpdateHostList("b", map[string]string{"e1": "leaving"})).To(BeFalse())
	g.Expect(v.Departing(at(time.Second))).To(Equal([]string{"e1"}))
	g.Expect(v.Departing(at(time.Minute))).To(BeEmpty())
}

func TestElectChangesAtMostOneMember(t *testing.T) {
	g := NewWithT(t)
	var names []string
	for i := range 50 {
		names = append(names, fmt.Sprintf("node-%d", i))
	}
	before := member.Elect("owner", names, 8)
	g.Expect(before).To(HaveLen(8))
	for i := range names {
		without := append(append([]string{}, names[:i]...), names[i+1:]...)
		kept := 0
		for _, name := range member.Elect("owner", without, 8) {
			for _, b := range before {
				if b == name {
					kept++
				}
			}
		}
		g.Expect(kept).To(BeNumerically(">=", 7))
	}
}
