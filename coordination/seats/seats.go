// Package seats (coordination layer) decides which hosts with disks count as
// copies, and how many of them must have a record before it counts as kept.
package seats

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Seat is one place for a copy and the host that has it.
type Seat struct {
	Node   string `cbor:"1,keyasint" json:"node"`
	Addr   string `cbor:"2,keyasint" json:"addr"`
	Centre string `cbor:"3,keyasint" json:"centre"`
	// SinceVersion is the roster's version at which the host got the seat. What the
	// host kept from before that does not make it a copy.
	SinceVersion uint64 `cbor:"4,keyasint" json:"since"`
}

// Roster is one version of who has the seats. Versions are agreed on by
// compare-and-swap; a holder that knows a newer one refuses an older one.
type Roster struct {
	Version uint64 `cbor:"1,keyasint" json:"version"`
	Seats   []Seat `cbor:"2,keyasint" json:"seats"`
	// MaxLosses is how many of the seats may be lost at once.
	MaxLosses int `cbor:"3,keyasint" json:"losses"`
}

// TargetCount is the number of seats: with so many lost, as many are left as are
// needed for every record to have outlasted them.
func TargetCount(losses int) int { return 2*losses + 1 }

// Quorum is how many seats must have a record: more than may be lost, and so
// many that any two quorums share a seat.
func (r *Roster) Quorum() int { return max(r.MaxLosses+1, len(r.Seats)/2+1) }

// Find returns the seat of a node, or nil.
func (r *Roster) Find(node string) *Seat {
	for i := range r.Seats {
		if r.Seats[i].Node == node {
			return &r.Seats[i]
		}
	}
	return nil
}

// HasCentre tells whether a data centre has a seat.
func (r *Roster) HasCentre(centre string) bool {
	return slices.ContainsFunc(r.Seats, func(s Seat) bool { return s.Centre == centre })
}

// Order returns the seats in the order in which a host in a data centre tries
// them for a key: its own data centre first, then spread by key.
func (r *Roster) Order(centre, key string) []Seat {
	order := slices.Clone(r.Seats)
	rank := func(s Seat) uint64 { return xxhash.Sum64String(key + "/" + s.Node) }
	slices.SortFunc(order, func(a, b Seat) int {
		if near, other := a.Centre == centre, b.Centre == centre; near != other {
			if near {
				return -1
			}
			return 1
		}
		return cmp.Compare(rank(a), rank(b))
	})
	return order
}

// Claim returns the roster in which a host has a free seat or that of a lost
// one, or false if there is none for it. A host that moved keeps its seat.
func (r *Roster) Claim(host Seat, losses int, lost func(node string) bool) (*Roster, bool) {
	next := &Roster{Version: r.Version + 1, Seats: slices.Clone(r.Seats), MaxLosses: losses}
	host.SinceVersion = next.Version
	if old := next.Find(host.Node); old != nil {
		if old.Addr == host.Addr {
			return nil, false
		}
		*old = host
		return next, true
	}
	if len(next.Seats) < TargetCount(losses) {
		next.Seats = append(next.Seats, host)
		return next, true
	}
	for i := range next.Seats {
		if lost(next.Seats[i].Node) {
			next.Seats[i] = host
			return next, true
		}
	}
	return nil, false
}

// ShouldYield tells whether a data centre should leave the next seat to another: it
// has its share, or only so many are free as there are data centres without one.
// Seats spread over data centres outlast the loss of one, and most gates find a
// copy in their own, so that fewer bytes cross between data centres.
func (r *Roster) ShouldYield(centre string, losses, centres int) bool {
	taken := map[string]int{}
	for _, s := range r.Seats {
		taken[s.Centre]++
	}
	if centres <= 0 || taken[centre] == 0 {
		return false
	}
	share := (TargetCount(losses) + centres - 1) / centres
	free, without := TargetCount(losses)-len(r.Seats), centres-len(taken)
	return taken[centre] >= share || free <= without
}

// Remove returns the roster without a node; its seat goes to heir if there is one.
func (r *Roster) Remove(node string, heir *Seat) (*Roster, bool) {
	if r.Find(node) == nil {
		return nil, false
	}
	next := &Roster{Version: r.Version + 1, MaxLosses: r.MaxLosses}
	for _, s := range r.Seats {
		if s.Node != node {
			next.Seats = append(next.Seats, s)
		}
	}
	if heir != nil {
		taken := *heir
		taken.SinceVersion = next.Version
		next.Seats = append(next.Seats, taken)
	}
	return next, true
}

// String names a roster in logs.
func (r *Roster) String() string {
	name := "v" + strconv.FormatUint(r.Version, 10)
	for _, s := range r.Seats {
		name += " " + s.Node
	}
	return name
}
