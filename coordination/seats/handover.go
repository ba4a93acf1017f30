package seats

import "time"

// maxClaimTime bounds how long a free seat keeps a host from being removed. A spare reads
// the roster every 5 s at the latest, and then asks the holders before it claims.
const maxClaimTime = 8 * time.Second

// Handover is what a host without a seat knows once the holders of all seats have caught
// up with it as a source.
type Handover struct {
	// Version is the version of the roster whose holders caught up. Newest was read after
	// they had.
	Version uint64
	Newest  *Roster
	// SpareMayClaim is set unless no spare answers.
	SpareMayClaim bool
	// Waited is how long the host has been without a seat.
	Waited time.Duration
}

// Done reports whether the host may be removed with its disk: the holders of the newest
// roster's seats are replicas and hold what the host does, and no spare is about to take a
// seat in which it does not count yet. A spare that never claims is not waited for longer
// than maxClaimTime, because every record is on a quorum without it.
func (h Handover) Done() bool {
	if h.Newest.Version != h.Version {
		return false
	}
	return h.Newest.Free() == 0 || !h.SpareMayClaim || h.Waited >= maxClaimTime
}
