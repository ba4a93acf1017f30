// Package tenure (state layer) holds which seats a host has had with the disk that
// it has now.
package tenure

import (
	"slices"
)

// maxVersions bounds each list of a Tenure. The oldest versions are dropped.
const maxVersions = 32

// Tenure names seats by the roster version since which the host had them. It is kept on
// the host's disk and is lost with it, so what it says of a seat also says that the disk
// still holds what was stored there.
type Tenure struct {
	// Claimed are the seats that the host tried to take, and Counted those in which it
	// has counted as a replica. Both are in ascending order.
	Claimed []uint64 `cbor:"1,keyasint,omitempty" json:"claimed,omitempty"`
	Counted []uint64 `cbor:"2,keyasint,omitempty" json:"counted,omitempty"`
}

// Claim returns the tenure with a seat that the host is about to claim.
func (t Tenure) Claim(since uint64) Tenure {
	return Tenure{Claimed: insert(t.Claimed, since), Counted: t.Counted}
}

// Count returns the tenure with a seat in which the host counts from now on.
func (t Tenure) Count(since uint64) Tenure {
	return Tenure{Claimed: t.Claimed, Counted: insert(t.Counted, since)}
}

// HasCounted reports whether the disk holds all that was stored in a seat while the
// host had it.
func (t Tenure) HasCounted(since uint64) bool { return slices.Contains(t.Counted, since) }

// NeverCounted reports whether nothing was stored in a seat while the host had it. It is
// false if that is not known, as after the loss of the disk.
func (t Tenure) NeverCounted(since uint64) bool {
	return slices.Contains(t.Claimed, since) && !t.HasCounted(since)
}

// insert returns a list with a version, which 0 is not.
func insert(versions []uint64, version uint64) []uint64 {
	i, found := slices.BinarySearch(versions, version)
	if found || version == 0 {
		return versions
	}
	versions = slices.Insert(slices.Clone(versions), i, version)
	return versions[max(0, len(versions)-maxVersions):]
}
