// Package cover (coordination layer) decides when a host that catches up has read all
// that its seat must hold, and which hosts it must ask besides the holders of seats.
//
// A record is stored at a quorum of seats. The disk on which a seat's records are is
// that of its holder once the holder counts as a replica. Before that it is the disk of
// the last host that counted in the seat: one that was cut off or frozen when another
// host took its seat still has them.
package cover

import (
	"fmt"
	"strings"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/state/tenure"
)

// Heard is what a host said of itself when it had listed its records. It knew the roster
// by then, so it stores nothing under an older one any more.
type Heard struct {
	// Replica is set if it counts in the seat that it has.
	Replica bool
	Tenure  tenure.Tenure
}

// Cover collects what a host that catches up has heard under one roster. It is not safe
// for concurrent use.
type Cover struct {
	roster *seats.Roster
	node   string
	// heard holds the hosts that listed their records, and the host itself. failed holds
	// those that were asked and did not.
	heard  map[string]Heard
	failed map[string]bool
}

// New returns a Cover for the host called node. own is what the host says of itself.
func New(r *seats.Roster, node string, own Heard) *Cover {
	return &Cover{roster: r, node: node, heard: map[string]Heard{node: own}, failed: map[string]bool{}}
}

// Hear notes that a host has listed all its records.
func (c *Cover) Hear(node string, h Heard) { c.heard[node] = h }

// Fail notes that a host did not list its records.
func (c *Cover) Fail(node string) { c.failed[node] = true }

// Complete reports whether the host holds all that its seat must once it has copied what
// was listed. A record is stored at a quorum of seats, so it is missed only if none of a
// whole quorum's seats was read. If all others answered and nobody counts, they hold
// together what there is.
func (c *Cover) Complete() bool {
	if len(c.unread()) < c.roster.Quorum() {
		return true
	}
	for _, s := range c.roster.Seats {
		if h, ok := c.heard[s.Node]; !ok || h.Replica {
			return false
		}
	}
	return true
}

// Formers returns the former holders of seats that must be asked next. There are none if
// enough seats were read, or if nobody is left to ask.
func (c *Cover) Formers() []seats.Former {
	unread := c.unread()
	if len(unread) < c.roster.Quorum() {
		return nil
	}
	var ask []seats.Former
	asked := map[string]bool{}
	for _, s := range unread {
		if _, f := c.follow(s); f != nil && !asked[f.Node] {
			asked[f.Node] = true
			ask = append(ask, *f)
		}
	}
	return ask
}

// String says which seats were not read, and why, for logs.
func (c *Cover) String() string {
	unread := c.unread()
	reasons := make([]string, 0, len(unread))
	for _, s := range unread {
		reason, _ := c.follow(s)
		reasons = append(reasons, s.Node+" "+reason.String())
	}
	return fmt.Sprintf("%d of %d seats not read: %s", len(unread), len(c.roster.Seats), strings.Join(reasons, ", "))
}

// unread returns the seats whose records need not be among those that were listed.
func (c *Cover) unread() []seats.Seat {
	var unread []seats.Seat
	for _, s := range c.roster.Seats {
		if reason, _ := c.follow(s); reason != read {
			unread = append(unread, s)
		}
	}
	return unread
}

// reason is why a seat was not read.
type reason uint8

const (
	read reason = iota
	// failed means that the holder did not list its records, and it may have counted.
	failed
	// behind means that the holder does not count, and has not said that it never did.
	behind
	// formerFailed and formerBehind say the same of a former holder. formerUnknown means
	// that the roster names no further one.
	formerFailed
	formerBehind
	formerUnknown
)

func (r reason) String() string {
	return [...]string{"read", "failed", "behind", "former holder failed", "former holder behind", "former holder unknown"}[r]
}

// follow goes from a seat's holder back to the last host that has counted in the seat. It
// returns that host's answer, and the former holder that must be asked if there is one.
func (c *Cover) follow(s seats.Seat) (reason, *seats.Former) {
	h, ok := c.heard[s.Node]
	switch {
	case !ok:
		return failed, nil
	case h.Replica:
		return read, nil
	case !h.Tenure.NeverCounted(s.SinceVersion):
		return behind, nil
	case s.Fresh:
		return read, nil
	}
	for i := range s.Former {
		f := &s.Former[i]
		h, ok := c.heard[f.Node]
		switch {
		case !ok && c.failed[f.Node]:
			return formerFailed, nil
		case !ok:
			return formerFailed, f
		case h.Tenure.HasCounted(f.SinceVersion):
			return read, nil
		case !h.Tenure.NeverCounted(f.SinceVersion):
			return formerBehind, nil
		case f.Fresh:
			return read, nil
		}
	}
	return formerUnknown, nil
}
