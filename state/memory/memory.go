// Package memory (state layer) bounds what a process holds for its clients, all together.
// Load pattern: clients that send much, or much at once, and leave it unfinished. Each byte is
// booked before it is held.
package memory

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// LargeBytes is the size from which a holder is large. Large holders leave a part of the
	// budget to the others.
	LargeBytes = 256 << 10
	// smallShare is the part of a budget that large holders leave.
	smallShare = 1.0 / 3
	// progressBytes is how much must arrive to count as progress. Less of it is what a client
	// sends that only keeps its request open.
	progressBytes = 32 << 10
	// stallTime is how long a request that is being read may make no progress before it can be ended.
	stallTime = 300 * time.Millisecond
	// goingShare is the part of a budget that holders which have been ended may still hold. Until they
	// are closed, no more are ended.
	goingShare = 1.0 / 8
	// spareShare is the part of a budget that is freed in addition when holders are ended, so
	// that not each booking looks for one.
	spareShare = 1.0 / 64
)

// Phase is what a holder's client is doing.
type Phase uint8

// The phases of a holder.
const (
	// Idle: there is no request.
	Idle Phase = iota
	// Reading: a request is being read, so nothing has run it.
	Reading
	// Serving: a request is being served. The holder is not ended.
	Serving
	// Unread: a request is being served, but its client does not take the answer.
	Unread
)

// Budget is a number of bytes. It is safe for concurrent use, like what it hands out.
type Budget struct {
	max int64

	mu sync.Mutex
	// taken is the size of all holders and large that of the large ones.
	taken, large int64
	// holders holds all that have not ended.
	holders map[*Holder]struct{}
	// going is the size of those that have been ended and are not closed yet, which may still hold
	// it.
	going int64
	// ended counts the holders that were ended for others.
	ended int
}

// Group is the holders of one kind, of which there are at most so many.
type Group struct {
	budget *Budget
	max    int

	// open counts the holders and from those of each address. The mutex of budget guards them.
	open int
	from map[string]int
}

// Holder is what is held for one client.
type Holder struct {
	group *Group
	// addr is the client's address without its port.
	addr string
	// end is called once at most, with the budget's mutex held.
	end func()

	// The mutex of the budget guards the rest. size is at least base, which stays booked
	// between two requests.
	base, size int64
	phase      Phase
	// since is the start of the phase or when the client last made progress, and arrived what
	// has come since.
	since   time.Time
	arrived int64
	ended   bool
	// going is what it held when it was ended, until it is closed.
	going int64
}

// New returns a budget of so many bytes, 0 for any number.
func New(maxBytes int64) *Budget {
	return &Budget{max: maxBytes, holders: map[*Holder]struct{}{}}
}

// Group returns a group of at most so many holders, 0 for any number.
func (b *Budget) Group(most int) *Group {
	return &Group{budget: b, max: most, from: map[string]int{}}
}

// Taken returns how many bytes are booked.
func (b *Budget) Taken() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken
}

// Ended returns how many holders have been ended for others.
func (b *Budget) Ended() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// Fits reports whether a holder may ever have so many bytes.
func (b *Budget) Fits(n int64) bool { return b.max <= 0 || n <= b.largeMax() }

// largeMax returns the most that large holders may have together.
func (b *Budget) largeMax() int64 { return b.max - int64(smallShare*float64(b.max)) }

// Open returns an idle holder for a client at an address, with so many bytes booked as long as it
// is open, and false if there is no room. end is called if the holder is ended for another one. It
// must not wait and must not call the budget.
func (g *Group) Open(now time.Time, addr string, bytes int64, end func()) (*Holder, bool) {
	b := g.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &Holder{group: g, addr: addr, end: end, base: bytes, since: now}
	if g.max > 0 && g.open >= g.max {
		b.endFirst(now, 1, 0, func(o *Holder) bool { return o.group == g }, func(*Holder) int64 { return 1 })
	}
	if g.max > 0 && g.open >= g.max || !b.makeRoom(now, h, bytes) {
		return nil, false
	}
	g.open++
	g.from[addr]++
	b.holders[h] = struct{}{}
	h.add(bytes)
	return h, true
}

// Take books further bytes. It reports false if there is no room, or if the holder has been ended.
func (h *Holder) Take(now time.Time, n int64) bool {
	b := h.group.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.ended || !b.makeRoom(now, h, n) {
		return false
	}
	h.add(n)
	return true
}

// Give gives bytes back that are not held any more.
func (h *Holder) Give(n int64) {
	b := h.group.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !h.ended {
		h.add(-min(n, h.size-h.base))
	}
}

// Arrive notes that bytes of a request have arrived.
func (h *Holder) Arrive(now time.Time, n int) {
	b := h.group.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.arrived += int64(n); h.arrived >= progressBytes {
		h.since, h.arrived = now, 0
	}
}

// Enter begins a phase, Idle with what is booked at the holder's opening only. It reports false if
// the holder has been ended.
func (h *Holder) Enter(now time.Time, p Phase) bool {
	b := h.group.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.ended {
		return false
	}
	if p == Idle {
		h.add(h.base - h.size)
	}
	h.phase, h.since, h.arrived = p, now, 0
	return true
}

// Phase returns the phase and since when there has been no progress in it.
func (h *Holder) Phase() (Phase, time.Time) {
	h.group.budget.mu.Lock()
	defer h.group.budget.mu.Unlock()
	return h.phase, h.since
}

// Ended reports whether the holder has been ended for another one.
func (h *Holder) Ended() bool {
	h.group.budget.mu.Lock()
	defer h.group.budget.mu.Unlock()
	return h.ended
}

// Close gives back all that is booked.
func (h *Holder) Close() {
	b := h.group.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(h)
	b.going -= h.going
	h.going = 0
}

// add changes the size of a holder. The caller holds the mutex.
func (h *Holder) add(n int64) {
	b := h.group.budget
	if h.size >= LargeBytes {
		b.large -= h.size
	}
	h.size += n
	b.taken += n
	if h.size >= LargeBytes {
		b.large += h.size
	}
}

// drop stops counting a holder. The caller holds the mutex.
func (b *Budget) drop(h *Holder) {
	if h.ended {
		return
	}
	h.ended = true
	h.add(-h.size)
	delete(b.holders, h)
	g := h.group
	g.open--
	if g.from[h.addr]--; g.from[h.addr] == 0 {
		delete(g.from, h.addr)
	}
}

// makeRoom makes room for n more bytes of a holder, by ending others that hold more for longer
// without progress, and reports whether there is room. The caller holds the mutex.
func (b *Budget) makeRoom(now time.Time, h *Holder, n int64) bool {
	if b.max <= 0 || n <= 0 {
		return true
	}
	own := h.weight(now)
	spare := int64(spareShare * float64(b.max))
	if size := h.size + n; size >= LargeBytes {
		grown := n
		if h.size < LargeBytes {
			grown = size
		}
		if excess := b.large + grown - b.largeMax(); excess > 0 {
			b.endFirst(now, excess, spare, func(o *Holder) bool { return o != h && o.size >= LargeBytes && o.stalled(now) && o.weight(now) > own }, (*Holder).bytes)
		}
		if b.large+grown > b.largeMax() {
			return false
		}
	}
	if excess := b.taken + n - b.max; excess > 0 {
		b.endFirst(now, excess, spare, func(o *Holder) bool { return o != h && o.stalled(now) && o.weight(now) > own }, (*Holder).bytes)
	}
	return b.taken+n <= b.max
}

// stalled reports whether a holder has made no progress for some time. One that makes progress is not
// ended for another, which is refused instead: else many that come together end each other.
func (h *Holder) stalled(now time.Time) bool {
	return h.phase == Idle || now.Sub(h.since) >= stallTime
}

func (h *Holder) bytes() int64 { return h.size }

// weight is what a holder takes from others: its bytes, for how long it has made no progress, and
// how many other clients of its group come from its address.
func (h *Holder) weight(now time.Time) float64 {
	return float64(h.size) * now.Sub(h.since).Seconds() * float64(max(1, h.group.from[h.addr]))
}

// endFirst ends the eligible holders of the greatest weight whose values add up to what is needed and
// some more, or none if all together have less than is needed. The caller holds the mutex.
func (b *Budget) endFirst(now time.Time, needed, more int64, eligible func(*Holder) bool, value func(*Holder) int64) {
	var found []*Holder
	var total int64
	for h := range b.holders {
		if h.phase != Serving && eligible(h) {
			found = append(found, h)
			total += value(h)
		}
	}
	if total < needed || b.max > 0 && b.going > int64(goingShare*float64(b.max)) {
		return
	}
	slices.SortFunc(found, func(x, y *Holder) int { return cmp.Compare(y.weight(now), x.weight(now)) })
	for wanted := needed + more; wanted > 0 && len(found) > 0; found = found[1:] {
		h := found[0]
		wanted -= value(h)
		h.going = h.size
		b.going += h.going
		b.drop(h)
		b.ended++
		h.end()
	}
}
