// Package peers (state layer) holds the gates that offer to relay connections to
// endpoints. Load pattern: some gates lose their way to the endpoints, others keep it.
package peers

import (
	"cmp"
	"slices"
	"time"
)

// offerAge is how long an offer counts: a few of the pauses after which it is repeated.
const offerAge = 3500 * time.Millisecond

// Peer is a gate that relays.
type Peer struct {
	// Addr is the IP:port of its relay, Centre its data centre.
	Addr   string `cbor:"1,keyasint,omitempty"`
	Centre string `cbor:"2,keyasint,omitempty"`
	// Framed says that the relay can tell the end of an endpoint's bytes from its own end.
	Framed bool `cbor:"3,keyasint,omitempty"`
}

// Peers holds the offers by gate. It is not safe for concurrent use.
type Peers struct {
	offers map[string]offer
}

type offer struct {
	Peer
	receivedAt time.Time
}

// New returns a Peers without offers.
func New() *Peers { return &Peers{offers: map[string]offer{}} }

// Put stores a gate's offer, or withdraws it if it has no address.
func (p *Peers) Put(now time.Time, gate string, offered Peer) {
	if offered.Addr == "" {
		delete(p.offers, gate)
		return
	}
	p.offers[gate] = offer{offered, now}
}

// Others returns the offers of the gates but one, in the order of their addresses.
func (p *Peers) Others(now time.Time, gate string) []Peer {
	var others []Peer
	for name, o := range p.offers {
		switch {
		case now.Sub(o.receivedAt) > offerAge:
			delete(p.offers, name)
		case name != gate:
			others = append(others, o.Peer)
		}
	}
	slices.SortFunc(others, func(a, b Peer) int { return cmp.Compare(a.Addr, b.Addr) })
	return others
}
