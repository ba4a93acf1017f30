// Package claim (coordination layer) decides who owns a shard and which nodes
// are standbys for its journal.
package claim

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Claim is the record of a shard's owner. It remains after the owner's lease
// has expired.
type Claim struct {
	// Node is the owner, or "" when the shard was handed over.
	Node string `cbor:"1,keyasint"`
	// Epoch is the fencing number. It rises by one with every new owner.
	Epoch uint64 `cbor:"2,keyasint"`
	// Standbys are the nodes that may hold batches which the store does not have.
	// A new owner keeps the list until it has sealed the journal.
	Standbys []Standby `cbor:"3,keyasint,omitempty"`
}

// Standby identifies one node's memory: a node that restarts and loses its
// memory gets another Boot.
type Standby struct {
	Node string `cbor:"1,keyasint"`
	Boot string `cbor:"2,keyasint"`
}

// Host is a node that is known to be alive.
type Host struct {
	Name   string
	Centre string
	Boot   string
	// Leaving hosts get no shards and are not chosen as standbys.
	Leaving bool
}

// maxStandbys is how many standbys a shard has if there are enough hosts.
const maxStandbys = 3

// ackQuorum is how many standbys must hold a batch that the store has not
// confirmed.
const ackQuorum = 2

// Quorum returns how many of n standbys must hold a batch to make it safe.
// Without standbys it is 0, and only the store makes a batch safe.
func Quorum(n int) int { return min(n, ackQuorum) }

// SealQuorum returns how many of n standbys a successor must seal to see every
// batch that a quorum holds.
func SealQuorum(n int) int {
	if n == 0 {
		return 0
	}
	return n - Quorum(n) + 1
}

func score(key, name string) uint64 { return xxhash.Sum64String(key + "/" + name) }

// rank returns the hosts that are not leaving, ordered by rendezvous hashing,
// best first.
func rank(key string, hosts map[string]Host) []Host {
	var all []Host
	for _, h := range hosts {
		if !h.Leaving {
			all = append(all, h)
		}
	}
	sort.Slice(all, func(a, b int) bool {
		x, y := score(key, all[a].Name), score(key, all[b].Name)
		return x > y || x == y && all[a].Name < all[b].Name
	})
	return all
}

// Owners returns the hosts that may own shards, at most limit of them. A limit
// of 0 means all.
func Owners(hosts map[string]Host, limit int) map[string]Host {
	all := rank("owners", hosts)
	if limit > 0 && len(all) > limit {
		all = all[:limit]
	}
	owners := make(map[string]Host, len(all))
	for _, h := range all {
		owners[h.Name] = h
	}
	return owners
}

// PreferredOwner returns the host that should own a shard, or "" if there is
// none.
func PreferredOwner(shard int, owners map[string]Host) string {
	all := rank(fmt.Sprintf("shard/%d", shard), owners)
	if len(all) == 0 {
		return ""
	}
	return all[0].Name
}

// ChooseStandbys returns the standbys for an owner's shard: the current ones
// that still serve, then others, spread over as many data centres as possible.
func ChooseStandbys(shard int, owner string, current []Standby, hosts map[string]Host) []Standby {
	centres := map[string]bool{hosts[owner].Centre: true}
	var chosen []Standby
	add := func(h Host) {
		chosen = append(chosen, Standby{Node: h.Name, Boot: h.Boot})
		centres[h.Centre] = true
	}
	for _, s := range current {
		if h, ok := hosts[s.Node]; ok && h.Boot == s.Boot && !h.Leaving && h.Name != owner && len(chosen) < maxStandbys {
			add(h)
		}
	}
	all := rank(fmt.Sprintf("standby/%d", shard), hosts)
	for _, newCentreOnly := range []bool{true, false} {
		for _, h := range all {
			s := Standby{Node: h.Name, Boot: h.Boot}
			excluded := h.Name == owner || h.Boot == "" || slices.Contains(chosen, s)
			if len(chosen) < maxStandbys && !excluded && (!newCentreOnly || !centres[h.Centre]) {
				add(h)
			}
		}
	}
	sort.Slice(chosen, func(a, b int) bool { return chosen[a].Node < chosen[b].Node })
	return chosen
}

// View is what one node knows when it considers a shard.
type View struct {
	Self string
	// Draining nodes take no shards.
	Draining bool
	// JournalOpen reports whether this node has the shard's journal open.
	JournalOpen bool
	// OwnerLeased reports whether the claim's owner has a lease in the store.
	OwnerLeased bool
	// OwnerSilent reports whether nothing was heard from the owner for a lease's
	// duration.
	OwnerSilent bool
	// LeaseMissing is how long all reads of the store have shown the owner
	// without a lease. It is 0 after a read that failed.
	LeaseMissing time.Duration
	// LeaseDuration is the duration of a lease.
	LeaseDuration time.Duration
	// Preferred is the node that should own the shard.
	Preferred string
}

// maxLeasesMissing is for how many lease durations messages from an owner
// still count as a proof that it is alive while the store answers but has no
// lease for it. Such an owner may reach this node and yet not the store.
const maxLeasesMissing = 3

// OwnerPartitioned reports whether the owner has lost its shards although its
// messages arrive: it cannot renew its lease in a store that answers this node.
func (v View) OwnerPartitioned() bool {
	return !v.OwnerLeased && v.LeaseMissing > 0 && v.LeaseMissing >= maxLeasesMissing*v.LeaseDuration
}

// ShouldTake reports whether this node should take the shard. An owner keeps
// its shard while the store or the links show it alive, so that an outage of
// the store moves no shards. While the store answers, the links alone count
// only for maxLeasesMissing leases.
func (v View) ShouldTake(c Claim) bool {
	if v.Draining || v.JournalOpen {
		return false
	}
	if c.Node == v.Self {
		// No other node takes a shard whose claim names a living node, so this node
		// does even if another is preferred. Balancing moves the shard later.
		return true
	}
	return v.Preferred == v.Self && (c.Node == "" || !v.OwnerLeased && (v.OwnerSilent || v.OwnerPartitioned()))
}
