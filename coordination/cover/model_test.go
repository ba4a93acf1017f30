package cover_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cowslipstage/cowslipstage/coordination/cover"
	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/state/tenure"
)

// diskHost is a host with a disk in the model.
type diskHost struct {
	up bool
	// records, countedSince and tenure are on its disk.
	records           map[int]bool
	countedSince      uint64
	tenure            tenure.Tenure
	retiring, removed bool
}

// world is a model of hosts that change their seats while disks are lost, hosts
// are away, and records are stored.
type world struct {
	t       *rapid.T
	losses  int
	roster  *seats.Roster
	hosts   map[string]*diskHost
	records int
}

func newWorld(t *rapid.T, losses, spares int) *world {
	w := &world{t: t, losses: losses, roster: &seats.Roster{MaxLosses: losses}, hosts: map[string]*diskHost{}}
	for i := range seats.TargetCount(losses) + spares {
		w.hosts[fmt.Sprint("m", i)] = &diskHost{up: true, records: map[int]bool{}}
	}
	for i := range seats.TargetCount(losses) {
		name := fmt.Sprint("m", i)
		w.claim(name)
		w.count(name, w.roster.Version) // Initial
	}
	return w
}

func (w *world) names() []string { return slices.Sorted(maps.Keys(w.hosts)) }

// replica reports whether the holder of a seat counts.
func (w *world) replica(s seats.Seat) bool { return w.hosts[s.Node].countedSince == s.SinceVersion }

// fresh reports whether the holder of a seat knows that it has never counted in it.
func (w *world) fresh(s seats.Seat) bool {
	return s.Fresh && w.hosts[s.Node].tenure.NeverCounted(s.SinceVersion)
}

func (w *world) count(name string, since uint64) {
	m := w.hosts[name]
	m.countedSince, m.tenure = since, m.tenure.Count(since)
}

func (w *world) replicas() []string {
	var names []string
	for _, s := range w.roster.Seats {
		if w.hosts[s.Node].up && w.replica(s) {
			names = append(names, s.Node)
		}
	}
	return names
}

// store stores a record at a quorum that answers, if there is one.
func (w *world) store() {
	counted := w.replicas()
	if len(counted) < w.roster.Quorum() {
		return
	}
	w.records++
	for _, name := range rapid.Permutation(counted).Draw(w.t, "quorum")[:w.roster.Quorum()] {
		w.hosts[name].records[w.records] = true
	}
}

func (w *world) claim(name string) {
	m := w.hosts[name]
	if !m.up || m.retiring || w.roster.Find(name) != nil {
		return
	}
	next, ok := w.roster.Claim(seats.Seat{Node: name}, w.losses, func(s seats.Seat) seats.Holder {
		return seats.Holder{Lost: !w.hosts[s.Node].up, Replica: w.hosts[s.Node].up && w.replica(s)}
	})
	if !ok {
		return
	}
	m.tenure = m.tenure.Claim(next.Version)
	w.roster = next
}

// catchUp lets a host catch up from the seats that answer, and from source unless
// that is empty. It reports whether the host counts then.
func (w *world) catchUp(name, source string) bool {
	m := w.hosts[name]
	seat := w.roster.Find(name)
	if seat == nil || !m.up {
		return false
	}
	read := cover.New(w.roster, name, cover.Heard{Replica: w.replica(*seat), Tenure: m.tenure})
	from := []string{}
	list := func(other string) {
		h := w.hosts[other]
		if !h.up {
			read.Fail(other)
			return
		}
		from = append(from, other)
		held := w.roster.Find(other)
		read.Hear(other, cover.Heard{Replica: held != nil && w.replica(*held), Tenure: h.tenure})
	}
	for _, s := range w.roster.Seats {
		if s.Node != name {
			list(s.Node)
		}
	}
	for formers := read.Formers(); len(formers) > 0; formers = read.Formers() {
		for _, f := range formers {
			list(f.Node)
		}
	}
	if source != "" {
		from = append(from, source)
	}
	if !read.Complete() {
		return w.replica(*seat)
	}
	for _, other := range from {
		maps.Copy(m.records, w.hosts[other].records)
	}
	w.count(name, seat.SinceVersion)
	return true
}

// handOver lets all seats but one catch up with a source.
func (w *world) handOver(source string) bool {
	all := true
	for _, s := range w.roster.Seats {
		if s.Node != source {
			all = w.catchUp(s.Node, source) && all
		}
	}
	return all
}

// retire empties a host as far as it can be now.
func (w *world) retire(name string) {
	m := w.hosts[name]
	m.retiring = true
	if !m.up || m.removed {
		return
	}
	if w.roster.Find(name) != nil {
		next, ok := w.roster.Remove(name)
		if !ok || !w.handOver(name) {
			return
		}
		w.roster = next
	}
	if w.handOver(name) {
		m.up, m.removed, m.records = false, true, map[int]bool{}
	}
}

// lostSeats returns how many seats are lost: their holders are away, or have not
// caught up since they lost their disks or took the seats of lost hosts.
func (w *world) lostSeats() int {
	lost := 0
	for _, s := range w.roster.Seats {
		if !w.hosts[s.Node].up || (!w.replica(s) && !w.fresh(s)) {
			lost++
		}
	}
	return lost
}

// lose takes a host away, with its disk or without, if one more loss is to be borne.
func (w *world) lose(name string, wipe bool) {
	m := w.hosts[name]
	if w.roster.Find(name) == nil || !m.up || w.lostSeats() >= w.losses {
		return
	}
	m.up = false
	if wipe {
		m.records, m.countedSince, m.tenure = map[int]bool{}, 0, tenure.Tenure{}
	}
}

func (w *world) back(name string) {
	if m := w.hosts[name]; !m.removed {
		m.up = true
	}
}

// checkSafe checks that every quorum of replicas holds every record.
func (w *world) checkSafe() {
	for r := 1; r <= w.records; r++ {
		without := 0
		for _, s := range w.roster.Seats {
			if w.replica(s) && !w.hosts[s.Node].records[r] {
				without++
			}
		}
		if without >= w.roster.Quorum() {
			w.t.Fatalf("record %d lies on no seat of a quorum of replicas of %s", r, w.roster)
		}
	}
}

// checkLive checks that a quorum counts soon once all hosts are back.
func (w *world) checkLive() {
	for _, name := range w.names() {
		w.back(name)
	}
	for range 2 * len(w.hosts) {
		for _, name := range w.names() {
			w.claim(name)
			w.catchUp(name, "")
		}
	}
	if len(w.replicas()) < w.roster.Quorum() {
		w.t.Fatalf("all hosts are back and only %v count of %s", w.replicas(), w.roster)
	}
}

// Hosts are lost, return with empty disks, take free seats and those of lost hosts,
// and are emptied, in any order within the losses to be borne, also while all power
// is off. No stored record may be missed, and a quorum must count again once all
// hosts are back.
func TestAnyOrderOfSeatChangesKeepsRecordsAndRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 2).Draw(t, "losses"), rapid.IntRange(0, 2).Draw(t, "spares"))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom(w.names()).Draw(t, "host")
			switch rapid.SampledFrom([]string{"store", "claim", "catch up", "retire", "wipe", "kill", "back", "power off"}).Draw(t, "event") {
			case "store":
				w.store()
			case "claim":
				w.claim(name)
			case "catch up":
				w.catchUp(name, "")
			case "retire":
				w.retire(name)
			case "wipe":
				w.lose(name, true)
			case "kill":
				w.lose(name, false)
			case "back":
				w.back(name)
			case "power off":
				for _, m := range w.hosts {
					m.up = false
				}
				// They return one by one, and those that are up act meanwhile.
				for _, back := range rapid.Permutation(w.names()).Draw(t, "order") {
					w.back(back)
					w.claim(back)
					w.catchUp(back, "")
				}
			}
			w.checkSafe()
		}
		w.checkLive()
	})
}

// The operators retire a host, and right after that another one loses its disk. The
// emptied host must not hold a seat again, or nobody can catch up any more.
func TestAHostThatIsEmptiedTakesNoSeat(t *testing.T) {
	g := gomega.NewWithT(t)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 1, 0)
		w.store()
		w.retire("m0")
		w.claim("m0")
		g.Expect(w.hosts["m0"].removed).To(gomega.BeTrue())
		w.lose("m1", true)
		w.checkLive()
		w.checkSafe()
	})
}
