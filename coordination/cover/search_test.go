package cover_test

import (
	"flag"
	"fmt"
	"hash/maphash"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// depth is how many events the exhaustive search plays. Eight take minutes.
var depth = flag.Int("depth", 5, "events of the exhaustive search")

// rare are the kinds of events that are drawn seldom, because they end what others began.
var rare = []string{"calm", "power off"}

// Hosts are cut off, lose their disks, are replaced, take free seats and those of lost
// hosts, and are emptied, in any order within the losses to be borne, also while all power
// is off. No stored record may be missed under any roster, and all seats must count again
// once all hosts are back.
func TestAnyOrderOfSeatChangesKeepsRecordsAndRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.SampledFrom([]int{1, 1, 1, 2, 3}).Draw(t, "losses"), rapid.IntRange(0, 2).Draw(t, "spares"))
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			can := kinds(w.possible())
			if rapid.IntRange(0, 19).Draw(t, "rare") < 19 {
				for _, kind := range rare {
					delete(can, kind)
				}
			}
			if len(can) == 0 {
				continue
			}
			kind := rapid.SampledFrom(sortedKinds(can)).Draw(t, "kind")
			w.play(rapid.SampledFrom(can[kind]).Draw(t, "event"))
		}
		w.calm()
		if w.broken != "" {
			t.Fatalf("%s\n%s", w.broken, strings.Join(w.history, "\n"))
		}
	})
}

// All histories of a few events, each followed by a calm, with three seats.
func TestAllShortOrdersOfSeatChanges(t *testing.T) {
	for spares := range 2 {
		t.Run(fmt.Sprint(spares, " spares"), func(t *testing.T) {
			w, played := search(newWorld(1, spares), *depth)
			t.Log(played, "histories")
			if w != nil {
				t.Fatalf("%s\n%s", w.broken, strings.Join(w.history, "\n"))
			}
		})
	}
}

// search plays all histories of up to most events from a world, shorter ones first, and
// returns the first world in which a promise is broken, or nil, and how many it played.
func search(from *world, most int) (*world, int) {
	seed := maphash.MakeSeed()
	seen := map[uint64]bool{}
	level, played := []*world{from}, 0
	for n := range most + 1 {
		var next []*world
		for _, w := range level {
			ended := w.clone()
			ended.calm()
			if played++; ended.broken != "" {
				return ended, played
			}
			if n == most {
				continue
			}
			for _, e := range w.possible() {
				if e.kind == "store" && w.acked >= 2 || e.kind == "calm" && w.lost == 0 {
					continue
				}
				after := w.clone()
				after.play(e)
				if after.broken != "" {
					return after, played
				}
				if key := maphash.String(seed, after.key()); !seen[key] {
					seen[key] = true
					next = append(next, after)
				}
			}
		}
		level = next
	}
	return nil, played
}

// key describes all of the world that matters for what follows.
func (w *world) key() string {
	b := &strings.Builder{}
	fmt.Fprint(b, w.lost, w.gone, w.acked)
	for _, r := range w.rosters[1:] {
		for _, s := range r.Seats {
			fmt.Fprint(b, s)
		}
	}
	for _, m := range w.hosts {
		fmt.Fprint(b, m.up, m.apart, m.silent, m.roster.Version, m.records, m.tenure, m.countedSince, m.copying != nil, m.retiring, m.draining, m.removed, m.handed)
		if m.copying != nil {
			fmt.Fprint(b, *m.copying)
		}
	}
	return b.String()
}

// The operators retire a host, and right after that another one loses its disk. The
// emptied host must not hold a seat again, or nobody can catch up any more.
func TestAHostThatIsEmptiedTakesNoSeat(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, at := range subsets(3, 2) {
		w := newWorld(1, 0)
		w.store(w.newest(), []*diskHost{w.hosts[at[0]], w.hosts[at[1]]})
		for range 4 {
			w.retire(w.hosts[0])
		}
		w.claim(w.hosts[0])
		g.Expect(w.hosts[0].removed).To(gomega.BeTrue())
		w.away(w.hosts[1], true, false)
		w.calm()
		g.Expect(w.broken).To(gomega.BeEmpty())
	}
}
