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
	// Fresh is set if the seat was free before SinceVersion, so that its holder
	// replaced nobody who may have held records.
	Fresh bool `cbor:"5,keyasint,omitempty" json:"fresh,omitempty"`
	// Former are the hosts that had the seat before, the last one first. The list ends with
	// one that counted as a replica, as far as that is known. It matters until the holder
	// counts. The build before drops it when it writes a roster.
	Former []Former `cbor:"6,keyasint,omitempty" json:"former,omitempty"`
}

// Former is a host that had a seat before its holder. Its fields are as in Seat.
type Former struct {
	Node         string `cbor:"1,keyasint" json:"node"`
	Addr         string `cbor:"2,keyasint" json:"addr"`
	SinceVersion uint64 `cbor:"3,keyasint" json:"since"`
	Fresh        bool   `cbor:"4,keyasint,omitempty" json:"fresh,omitempty"`
}

// maxFormer bounds Seat.Former: a seat rarely changes hands twice before a holder counts.
const maxFormer = 8

// succeed returns the former holders of a seat that another host takes.
func (s Seat) succeed(h Holder) []Former {
	former := []Former{{Node: s.Node, Addr: s.Addr, SinceVersion: s.SinceVersion, Fresh: s.Fresh}}
	if !h.Counted {
		former = append(former, s.Former...)
	}
	return former[:min(len(former), maxFormer)]
}

// Holder is what a host last learned about the holder of a seat.
type Holder struct {
	// Silent is set if the holder does not answer, and Lost once it has not for so long that
	// another host may take the seat.
	Silent, Lost bool
	// Replica is set if the holder answers and counts as a replica in this seat. Counted is
	// set if it once did.
	Replica, Counted bool
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

// Witnesses returns how many replicas must be asked so that every quorum has one of them,
// or the asking host itself if that is a replica, too.
func (r *Roster) Witnesses(replica bool) int {
	n := len(r.Seats) - r.Quorum() + 1
	if replica {
		n--
	}
	return max(0, n)
}

// Free returns how many seats nobody holds.
func (r *Roster) Free() int { return max(0, TargetCount(r.MaxLosses)-len(r.Seats)) }

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

// Claim returns the next roster, in which the host has the seat of a lost holder or a
// free seat, or false if there is no seat for it. A host whose address changed keeps its
// seat. A lost holder is replaced only while enough of the others are replicas for the
// newcomer to catch up from them; else hosts that return with their disks could find
// their seats taken by empty ones. A free seat is left alone while some holder is silent:
// if that one is gone for good, its seat is the one to take.
func (r *Roster) Claim(host Seat, losses int, holder func(Seat) Holder) (*Roster, bool) {
	next := &Roster{Version: r.Version + 1, Seats: slices.Clone(r.Seats), MaxLosses: losses}
	host.SinceVersion, host.Fresh, host.Former = next.Version, false, nil
	if old := next.Find(host.Node); old != nil {
		if old.Addr == host.Addr {
			return nil, false
		}
		host.Former = old.succeed(Holder{})
		*old = host
		return next, true
	}
	replicas, lost, silent := 0, -1, false
	for i, s := range next.Seats {
		h := holder(s)
		silent = silent || h.Silent && !h.Lost
		switch {
		case h.Lost && lost < 0:
			lost = i
		case h.Replica && !h.Lost:
			replicas++
			next.Seats[i].Former = nil
		}
	}
	free := len(next.Seats) < TargetCount(losses)
	switch {
	case lost >= 0 && len(next.Seats)-replicas < next.Quorum():
		host.Former = next.Seats[lost].succeed(holder(next.Seats[lost]))
		next.Seats[lost] = host
	case free && !silent:
		host.Fresh = true
		next.Seats = append(next.Seats, host)
	default:
		return nil, false
	}
	return next, true
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

// Initial reports whether every change so far was the claim of a free seat while the
// system started, so that no holder was ever replaced or removed.
func (r *Roster) Initial() bool { return r.Version == uint64(len(r.Seats)) }

// Remove returns the roster without a node, or false if the node has no seat or
// too few seats would remain for a quorum. Before a seat is removed, all remaining
// holders must be replicas and hold every record that was stored in it, and no further
// one may be stored there: nobody asks a host that has no seat and no successor.
func (r *Roster) Remove(node string) (*Roster, bool) {
	next := &Roster{Version: r.Version + 1, MaxLosses: r.MaxLosses}
	for _, s := range r.Seats {
		if s.Node != node {
			next.Seats = append(next.Seats, s)
		}
	}
	if r.Find(node) == nil || len(next.Seats) < next.Quorum() {
		return nil, false
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
