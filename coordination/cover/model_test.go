package cover_test

import (
	"fmt"
	"maps"
	"math/bits"
	"slices"

	"github.com/cowslipstage/cowslipstage/coordination/cover"
	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/state/tenure"
)

// records is a set of records by number.
type records uint64

func (r records) has(n int) bool { return r&(1<<n) != 0 }

// maxRecords is how many records a history stores at most.
const maxRecords = 60

// diskHost is a host with a disk in the model. Its roster, records, tenure, and
// countedSince are on its disk.
type diskHost struct {
	name string
	// up is set while its process runs. apart is set while it reaches no other host, but gates
	// reach it. silent is set while it does not answer, and not for so long that its seat may be
	// taken.
	up, apart, silent bool
	roster            *seats.Roster
	records           records
	tenure            tenure.Tenure
	countedSince      uint64
	// copying is what the host has read and not yet written, nil unless it catches up.
	copying *reading
	// retiring is set once the operators want it emptied, and removed once it is gone. While
	// draining is set, it stores nothing. The others have copied its records since version
	// handed of the roster, or not if that is 0.
	retiring, draining, removed bool
	handed                      uint64
}

// reading is a catch-up between its listings and its end.
type reading struct {
	version  uint64
	complete bool
	records  records
}

// answers reports whether the host answers other hosts.
func (m *diskHost) answers() bool { return m.up && !m.apart }

// replica reports whether a host counts in its seat of the roster that it knows.
func (m *diskHost) replica() bool {
	s := m.roster.Find(m.name)
	return s != nil && s.SinceVersion == m.countedSince
}

func (m *diskHost) seated() bool { return m.roster.Find(m.name) != nil }

func (m *diskHost) adopt(r *seats.Roster) {
	if r.Version > m.roster.Version {
		m.roster = r
	}
}

func (m *diskHost) count() {
	m.countedSince = m.roster.Find(m.name).SinceVersion
	m.tenure = m.tenure.Count(m.countedSince)
}

// world is a model of hosts that change their seats while disks are lost, hosts are away,
// and records are stored. The decisions are those of the product; the model stands for
// the processes, the disks, the messages, and the key-value service.
type world struct {
	// losses is how many disks may be lost at once, lost how many are since the last calm, and
	// gone how many of these hosts do not come back.
	losses, lost, gone int
	// rosters holds all versions, the newest last.
	rosters []*seats.Roster
	hosts   []*diskHost
	// acked counts the records that callers were told are stored.
	acked int
	// history says what has happened. broken is the first promise that did not hold.
	history []string
	broken  string
}

func newWorld(losses, spares int) *world {
	w := &world{losses: losses, rosters: []*seats.Roster{{MaxLosses: losses}}}
	for range seats.TargetCount(losses) + spares {
		w.add()
	}
	for _, m := range w.hosts[:seats.TargetCount(losses)] {
		w.claim(m)
		m.count()
	}
	for _, m := range w.hosts {
		m.roster = w.newest()
	}
	w.history = nil
	return w
}

// clone returns a copy of the world, which goes on by itself.
func (w *world) clone() *world {
	c := *w
	c.rosters, c.history = slices.Clone(w.rosters), slices.Clone(w.history)
	c.hosts = nil
	for _, m := range w.hosts {
		copied := *m
		c.hosts = append(c.hosts, &copied)
	}
	return &c
}

// add adds an empty host.
func (w *world) add() {
	w.hosts = append(w.hosts, &diskHost{name: fmt.Sprint("m", len(w.hosts)), up: true, roster: w.rosters[0]})
}

func (w *world) note(format string, args ...any) {
	w.history = append(w.history, fmt.Sprintf(format, args...))
}

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

func (w *world) newest() *seats.Roster { return w.rosters[len(w.rosters)-1] }

func (w *world) find(name string) *diskHost {
	return w.hosts[slices.IndexFunc(w.hosts, func(m *diskHost) bool { return m.name == name })]
}

// takers returns the hosts that take messages under a version of the roster.
func (w *world) takers(r *seats.Roster) []*diskHost {
	var takers []*diskHost
	for _, s := range r.Seats {
		if m := w.find(s.Node); m.up && m.roster.Version == r.Version && m.replica() {
			takers = append(takers, m)
		}
	}
	return takers
}

// store stores a record at hosts under a version of the roster.
func (w *world) store(r *seats.Roster, at []*diskHost) {
	names := ""
	for _, m := range at {
		m.records |= 1 << w.acked
		names += " " + m.name
	}
	w.note("record %d is stored at%s under v%d", w.acked, names, r.Version)
	w.acked++
}

// next returns the roster that a host claims, or false if there is no seat for it.
func (w *world) next(m *diskHost) (*seats.Roster, bool) {
	if !m.answers() || m.retiring || w.newest().Find(m.name) != nil {
		return nil, false
	}
	return w.newest().Claim(seats.Seat{Node: m.name}, w.losses, func(s seats.Seat) seats.Holder {
		h := w.find(s.Node)
		replica := h.answers() && h.replica() && h.roster.Find(s.Node).SinceVersion == s.SinceVersion
		return seats.Holder{Silent: !h.answers(), Lost: !h.answers() && !h.silent, Replica: replica, Counted: replica}
	})
}

func (w *world) claim(m *diskHost) {
	next, ok := w.next(m)
	if !ok {
		return
	}
	m.tenure = m.tenure.Claim(next.Version)
	w.rosters = append(w.rosters, next)
	m.adopt(next)
	m.copying = nil
	w.note("%s claims a seat: %s", m.name, next)
}

// read has a host list the records of all others that it needs, and of source unless
// that is nil.
func (w *world) read(m, source *diskHost) *reading {
	m.adopt(w.newest())
	r := m.roster
	c := cover.New(r, m.name, cover.Heard{Replica: m.replica(), Tenure: m.tenure})
	copies := map[int]int{}
	var found records
	list := func(h *diskHost, isCopy bool) {
		if !h.answers() {
			c.Fail(h.name)
			return
		}
		h.adopt(r)
		c.Hear(h.name, cover.Heard{Replica: h.replica(), Tenure: h.tenure})
		found |= h.records
		for n := range w.acked {
			if isCopy && h.replica() && h != source && h.records.has(n) {
				copies[n]++
			}
		}
	}
	for _, s := range r.Seats {
		if s.Node != m.name {
			list(w.find(s.Node), true)
		}
	}
	for formers := c.Formers(); len(formers) > 0; formers = c.Formers() {
		for _, f := range formers {
			list(w.find(f.Node), false)
		}
	}
	if source != nil && !source.seated() {
		found |= source.records
	}
	for n, count := range copies {
		if count >= r.Quorum() {
			found &^= 1 << n
		}
	}
	return &reading{version: r.Version, complete: c.Complete(), records: found}
}

// finish ends a catch-up and reports whether the host counts then.
func (w *world) finish(m *diskHost, read *reading) bool {
	if !read.complete {
		return false
	}
	m.records |= read.records
	if m.roster.Version != read.version {
		return false
	}
	m.count()
	return true
}

// catchUp begins or ends the catch-up of a host that does not count.
func (w *world) catchUp(m *diskHost) {
	m.adopt(w.newest())
	switch {
	case !m.seated():
		m.copying = nil
	case m.copying == nil:
		m.copying = w.read(m, nil)
		w.note("%s lists records under v%d, enough %t", m.name, m.copying.version, m.copying.complete)
	default:
		read := m.copying
		m.copying = nil
		if w.finish(m, read) {
			w.note("%s counts", m.name)
		}
	}
}

// handOver lets all seats but one catch up with a source.
func (w *world) handOver(source *diskHost) bool {
	all := true
	for _, s := range w.newest().Seats {
		if m := w.find(s.Node); m != source {
			all = m.answers() && w.finish(m, w.read(m, source)) && all
		}
	}
	return all
}

// retire goes one step on with the emptying of a host: it stores nothing more, has the
// others copy what it holds, gives up its seat, and has them copy it once more.
func (w *world) retire(m *diskHost) {
	m.retiring = true
	if !m.answers() || m.removed {
		return
	}
	m.adopt(w.newest())
	next, ok := w.newest().Remove(m.name)
	switch {
	case w.newest().Find(m.name) == nil:
		if w.handOver(m) {
			m.up, m.removed, m.records = false, true, 0
			w.note("%s is emptied and removed", m.name)
		}
	case !ok || !m.replica():
	case !m.draining:
		m.draining = true
		w.note("%s is to be emptied and stores nothing more", m.name)
	case m.handed != w.newest().Version:
		if m.handed = 0; w.handOver(m) {
			m.handed = w.newest().Version
			w.note("all others have copied the records of %s", m.name)
			return
		}
		m.draining = false
		w.note("%s stores again, since not all others have copied its records", m.name)
	default:
		w.rosters = append(w.rosters, next)
		m.adopt(next)
		m.draining, m.handed = false, 0
		w.note("%s gives up its seat: %s", m.name, next)
	}
}

// away takes a host away, with its disk if wipe is set, and for good if gone is.
func (w *world) away(m *diskHost, wipe, gone bool) {
	m.up, m.apart, m.silent, m.copying, m.draining, m.handed = false, false, true, nil, false, 0
	if wipe {
		w.lost++
		m.records, m.countedSince, m.tenure, m.roster = 0, 0, tenure.Tenure{}, w.rosters[0]
	}
	if gone {
		w.gone++
		m.removed = true
	}
	w.note("%s is away, disk lost %t, for good %t", m.name, wipe, gone)
}

func (w *world) cut(m *diskHost) {
	m.apart, m.silent = true, true
	w.note("%s is cut off", m.name)
}

// tell has a gate tell a host of the newest roster.
func (w *world) tell(m *diskHost) {
	m.adopt(w.newest())
	w.note("%s hears of v%d", m.name, m.roster.Version)
}

func (w *world) back(m *diskHost) {
	m.up, m.apart, m.silent = true, false, false
	w.note("%s is back", m.name)
}

// powerOff takes all hosts away.
func (w *world) powerOff() {
	for _, m := range w.hosts {
		if m.up {
			w.away(m, false, false)
		}
	}
}

// checkSafe checks, for each version of the roster under which messages are taken, that
// every quorum holds every record.
func (w *world) checkSafe() {
	for _, r := range w.rosters {
		takers := w.takers(r)
		if len(r.Seats) == 0 || len(takers) < r.Quorum() {
			continue
		}
		for n := range w.acked {
			without := 0
			for _, m := range takers {
				if !m.records.has(n) {
					without++
				}
			}
			if without >= r.Quorum() {
				w.fail("record %d is on no seat of a quorum under %s", n, r)
			}
		}
	}
}

// calm brings all hosts back, and a new one for each that is gone for good, and checks
// that all seats count then.
func (w *world) calm() {
	w.note("calm")
	for _, m := range w.hosts {
		if !m.removed && !m.answers() {
			w.back(m)
		}
		m.silent = false
	}
	for range w.gone {
		w.add()
	}
	for range 4 * len(w.hosts) {
		for _, m := range w.hosts {
			w.claim(m)
			if m.answers() && (!m.seated() || !m.replica()) {
				w.catchUp(m)
			}
			if m.retiring {
				w.retire(m)
			}
			w.checkSafe()
		}
	}
	r, counting := w.newest(), 0
	for _, s := range r.Seats {
		if m := w.find(s.Node); m.up && m.replica() {
			counting++
		}
	}
	if counting < len(r.Seats) {
		w.fail("only %d seats of %s count, though all hosts are back", counting, r)
	}
	w.lost, w.gone = 0, 0
}

// event is what can happen next. The kind is one of few.
type event struct {
	kind string
	play func(*world)
}

// possible returns the events that can happen next and change something.
func (w *world) possible() []event {
	can := []event{{"calm", (*world).calm}, {"power off", (*world).powerOff}}
	for i, r := range w.rosters {
		takers := slices.DeleteFunc(w.takers(r), func(m *diskHost) bool { return m.draining })
		if len(r.Seats) == 0 || w.acked == maxRecords {
			continue
		}
		for _, at := range subsets(len(takers), r.Quorum()) {
			var names []string
			for _, n := range at {
				names = append(names, takers[n].name)
			}
			can = append(can, event{"store", func(w *world) {
				var hosts []*diskHost
				for _, name := range names {
					hosts = append(hosts, w.find(name))
				}
				w.store(w.rosters[i], hosts)
			}})
		}
	}
	for i, m := range w.hosts {
		add := func(kind string, possible bool, do func(*world, *diskHost)) {
			if possible {
				can = append(can, event{kind, func(w *world) { do(w, w.hosts[i]) }})
			}
		}
		_, claims := w.next(m)
		mayLose := !m.removed && w.lost < w.losses
		add("claim", claims, (*world).claim)
		add("tell", m.up && m.roster.Version < w.newest().Version, (*world).tell)
		add("catch up", m.answers() && m.seated() && !m.replica(), (*world).catchUp)
		add("retire", m.answers() && (m.seated() || m.retiring), (*world).retire)
		add("wipe", mayLose, func(w *world, m *diskHost) { w.away(m, true, false) })
		add("replace", mayLose, func(w *world, m *diskHost) { w.away(m, true, true) })
		add("kill", m.answers(), func(w *world, m *diskHost) { w.away(m, false, false) })
		add("cut", m.answers(), (*world).cut)
		add("silent for long", m.silent && !m.removed || m.silent && w.newest().Find(m.name) != nil, func(_ *world, m *diskHost) { m.silent = false })
		add("back", !m.removed && !m.answers(), (*world).back)
	}
	return can
}

// play plays an event and checks what must hold at any moment.
func (w *world) play(e event) {
	e.play(w)
	w.checkSafe()
}

// kinds returns events by kind.
func kinds(events []event) map[string][]event {
	byKind := map[string][]event{}
	for _, e := range events {
		byKind[e.kind] = append(byKind[e.kind], e)
	}
	return byKind
}

// sortedKinds returns the kinds of events in a fixed order.
func sortedKinds(byKind map[string][]event) []string { return slices.Sorted(maps.Keys(byKind)) }

// subsets returns the sets of size of the numbers below n.
func subsets(n, size int) [][]int {
	var all [][]int
	for mask := range uint(1) << n {
		if bits.OnesCount(mask) != size {
			continue
		}
		var set []int
		for i := range n {
			if mask&(1<<i) != 0 {
				set = append(set, i)
			}
		}
		all = append(all, set)
	}
	return all
}
