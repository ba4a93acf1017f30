package fleet_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/fleet"
)

var now = time.Unix(1_800_000_000, 0)

func entry(id string) fleet.Entry {
	return fleet.Entry{ID: id, Service: "s", Addr: "1.2.3.4:5", Slots: 1}
}

func names(entries []fleet.Entry) []string {
	list := []string{}
	for _, e := range entries {
		list = append(list, e.ID)
	}
	return list
}

func TestLeavingAndRefutedEndpointsGetNoWork(t *testing.T) {
	g := gomega.NewWithT(t)
	f := fleet.New()
	leaving := entry("a")
	leaving.Leaving = true
	f.Put(leaving)
	f.Put(entry("b"))
	f.Put(entry("c"))
	f.MarkWrongAddress("c")
	g.Expect(names(f.Usable(now, "s"))).To(gomega.Equal([]string{"b"}))
	again := entry("c")
	again.StartedAt = 9
	f.Put(again)
	g.Expect(names(f.Usable(now, "s"))).To(gomega.Equal([]string{"b", "c"}), "another life is not refuted")
}

// Entries lapse while the key-value service is away; their endpoints live.
func TestWhatLapsedInAnOutageStaysForTwoSeconds(t *testing.T) {
	g := gomega.NewWithT(t)
	f := fleet.New()
	f.ReplaceAll(now, []fleet.Entry{entry("a"), entry("b"), entry("c")}, false)
	f.ReplaceAll(now, []fleet.Entry{entry("a")}, true)
	f.Remove(now, "c", true)
	g.Expect(names(f.Usable(now.Add(1900*time.Millisecond), "s"))).To(gomega.Equal([]string{"a", "b", "c"}))
	f.Put(entry("b"))
	g.Expect(names(f.Usable(now.Add(2*time.Second), "s"))).To(gomega.Equal([]string{"a", "b"}))
}

func TestWhatVanishesInViewIsGoneAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	f := fleet.New()
	f.ReplaceAll(now, []fleet.Entry{entry("a"), entry("b")}, false)
	f.Remove(now, "a", false)
	g.Expect(names(f.Usable(now, "s"))).To(gomega.Equal([]string{"b"}))
	f.ReplaceAll(now, nil, false)
	g.Expect(f.Size()).To(gomega.BeZero())
}
