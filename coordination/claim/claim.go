// Package claim (coordination layer) decides who owns a shard and which nodes
// stand by for its journal.
package claim

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Claim is the record of a shard's owner; it outlives the owner's lease.
type Claim struct {
	// Node is the owner; "" when the shard was given back.
	Node string `cbor:"1,keyasint"`
	// Epoch is the fencing number; it rises by one with every new owner.
	Epoch uint64 `cbor:"2,keyasint"`
	// Standbys may hold batches that the store does not have. A new owner
	// keeps the list until it has sealed the journal.
	Standbys []Standby `cbor:"3,keyasint,omitempty"`
}

// Standby is one node's memory: a node that restarts without it has another Boot.
type Standby struct {
	Node string `cbor:"1,keyasint"`
	Boot string `cbor:"2,keyasint"`
}

// Host is a node that is known to live.
type Host struct {
	Name   string
	Centre string
	Boot   string
	// Leaving hosts get no shards and stand by for none.
	Leaving bool
}

// standbys is how many nodes stand by for a shard, if there are so many.
const standbys = 3

// acks is how many standbys must hold a batch that the store has not confirmed.
const acks = 2

// Quorum returns how many of n standbys make a batch safe; 0 when there is none
// and only the store does.
func Quorum(n int) int { return min(n, acks) }

// SealQuorum returns how many of n standbys a successor must seal so that every
// batch that a quorum holds is seen.
func SealQuorum(n int) int {
	if n == 0 {
		return 0
	}
	return n - Quorum(n) + 1
}

func score(key, name string) uint64 { return xxhash.Sum64String(key + "/" + name) }

// rank returns the hosts that stay, best first, by rendezvous hashing.
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

// Owners returns the hosts that may own shards, at most limit; 0 means all.
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

// PreferredOwner returns the owner that a shard falls to, "" when there is none.
func PreferredOwner(shard int, owners map[string]Host) string {
	all := rank(fmt.Sprintf("shard/%d", shard), owners)
	if len(all) == 0 {
		return ""
	}
	return all[0].Name
}

// ChooseStandbys returns the standbys for an owner's shard: those of old that still
// serve, then others, with as many different data centres as there are.
func ChooseStandbys(shard int, owner string, old []Standby, hosts map[string]Host) []Standby {
	centres := map[string]bool{hosts[owner].Centre: true}
	var chosen []Standby
	take := func(h Host) {
		chosen = append(chosen, Standby{Node: h.Name, Boot: h.Boot})
		centres[h.Centre] = true
	}
	for _, s := range old {
		if h, ok := hosts[s.Node]; ok && h.Boot == s.Boot && !h.Leaving && h.Name != owner && len(chosen) < standbys {
			take(h)
		}
	}
	all := rank(fmt.Sprintf("standby/%d", shard), hosts)
	for _, fresh := range []bool{true, false} {
		for _, h := range all {
			s := Standby{Node: h.Name, Boot: h.Boot}
			known := h.Name == owner || h.Boot == "" || slices.Contains(chosen, s)
			if len(chosen) < standbys && !known && (!fresh || !centres[h.Centre]) {
				take(h)
			}
		}
	}
	sort.Slice(chosen, func(a, b int) bool { return chosen[a].Node < chosen[b].Node })
	return chosen
}

// View is what one node knows when it considers a shard.
type View struct {
	Self string
	// Draining nodes take nothing.
	Draining bool
	// JournalOpen tells whether this node has the shard's journal open.
	JournalOpen bool
	// OwnerLeased tells whether the claim's owner has its lease in the store.
	OwnerLeased bool
	// OwnerSilent tells whether the owner gave no sign of life for a lease.
	OwnerSilent bool
	// LeaseMissing is for how long every read of the store has shown the owner
	// without a lease; 0 after a read that failed.
	LeaseMissing time.Duration
	// LeaseDuration is a lease's duration.
	LeaseDuration time.Duration
	// Preferred is the node that the shard falls to.
	Preferred string
}

// cutLeases is how many leases an owner may be without one, while others read
// the store, before its news of itself count no longer: it may be heard and yet
// be out of reach.
const cutLeases = 3

// OwnerPartitioned tells whether the owner has lost its shards although it is heard: it
// cannot renew its lease in a store that answers this node.
func (v View) OwnerPartitioned() bool {
	return !v.OwnerLeased && v.LeaseMissing > 0 && v.LeaseMissing >= cutLeases*v.LeaseDuration
}

// ShouldTake tells whether this node should take the shard. An owner keeps it while
// either the store or the links show it alive, so that an outage of the store
// moves nothing. The links alone count for a few leases only while the store
// answers.
func (v View) ShouldTake(c Claim) bool {
	if v.Draining || v.JournalOpen {
		return false
	}
	if c.Node == v.Self {
		// Nobody else takes what names a living node, so it does, whoever is
		// preferred; balance moves the shard on.
		return true
	}
	return v.Preferred == v.Self && (c.Node == "" || !v.OwnerLeased && (v.OwnerSilent || v.OwnerPartitioned()))
}
