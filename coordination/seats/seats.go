// Package seats (coordination layer) decides which hosts with disks are
// replicas, and how many of them must store a record before it counts as
// durable.
package seats

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Seat is one replica's place in the roster and the host that holds it.
type Seat struct {
	Node   string `cbor:"1,keyasint" json:"node"`
	Addr   string `cbor:"2,keyasint" json:"addr"`
	Centre string `cbor:"3,keyasint" json:"centre"`
	// SinceVersion is the roster version in which the host got the seat. Data
	// that the host stored before that version does not count as a replica.
	SinceVersion uint64 `cbor:"4,keyasint" json:"since"`
}

// Roster is one version of the assignment of hosts to seats. Versions are
// agreed on by compare-and-swap, and a host that knows a newer version refuses
// an older one.
type Roster struct {
	Version uint64 `cbor:"1,keyasint" json:"version"`
	Seats   []Seat `cbor:"2,keyasint" json:"seats"`
	// MaxLosses is how many seats may be lost at the same time.
	MaxLosses int `cbor:"3,keyasint" json:"losses"`
}

// TargetCount returns the number of seats: with losses of them lost, the rest
// can still form a quorum.
func TargetCount(losses int) int { return 2*losses + 1 }

// Quorum returns how many seats must store a record: more than may be lost,
// and enough that any two quorums share a seat.
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

// HasCentre reports whether a data centre has a seat.
func (r *Roster) HasCentre(centre string) bool {
	return slices.ContainsFunc(r.Seats, func(s Seat) bool { return s.Centre == centre })
}

// Order returns the seats in the order in which a host in a data centre tries
// them for a key: its own data centre first, the others in an order that
// depends on the key.
func (r *Roster) Order(centre, key string) []Seat {
	order := slices.Clone(r.Seats)
	rank := func(s Seat) uint64 { return xxhash.Sum64String(key + "/" + s.Node) }
	slices.SortFunc(order, func(a, b Seat) int {
		if aNear, bNear := a.Centre == centre, b.Centre == centre; aNear != bNear {
			if aNear {
				return -1
			}
			return 1
		}
		return cmp.Compare(rank(a), rank(b))
	})
	return order
}

// Claim returns the next roster, in which the host has a free seat or the seat
// of a lost host, or false if there is no seat for it. A host whose address
// changed keeps its seat.
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

// ShouldYield reports whether a host should leave the next seat to another
// data centre: its own has its share, or the free seats are just enough for
// the data centres without one. Seats in several data centres survive the loss
// of one, and most gates then read from a replica in their own, which saves
// traffic between data centres.
func (r *Roster) ShouldYield(centre string, losses, centres int) bool {
	seatCounts := map[string]int{}
	for _, s := range r.Seats {
		seatCounts[s.Centre]++
	}
	if centres <= 0 || seatCounts[centre] == 0 {
		return false
	}
	share := (TargetCount(losses) + centres - 1) / centres
	free, emptyCentres := TargetCount(losses)-len(r.Seats), centres-len(seatCounts)
	return seatCounts[centre] >= share || free <= emptyCentres
}

// Remove returns the roster without a node. Its seat goes to successor unless
// that is nil.
func (r *Roster) Remove(node string, successor *Seat) (*Roster, bool) {
	if r.Find(node) == nil {
		return nil, false
	}
	next := &Roster{Version: r.Version + 1, MaxLosses: r.MaxLosses}
	for _, s := range r.Seats {
		if s.Node != node {
			next.Seats = append(next.Seats, s)
		}
	}
	if successor != nil {
		added := *successor
		added.SinceVersion = next.Version
		next.Seats = append(next.Seats, added)
	}
	return next, true
}

// String formats the roster for logs.
func (r *Roster) String() string {
	name := "v" + strconv.FormatUint(r.Version, 10)
	for _, s := range r.Seats {
		name += " " + s.Node
	}
	return name
}
