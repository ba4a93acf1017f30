// Package growth decides which programs and turns a vault takes on, by the memory that what it keeps
// of them takes. Load pattern: very many programs in a short time, each of which is kept for its
// retention.
package growth

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// urgency is how much faster than steadily the room that is left may be used up. In the steady
	// state of a load without end, all but a fifth of the room is used.
	urgency = 4
	// underWayRoom is the room for programs under way, as a multiple of that for all.
	underWayRoom = 1.1
	// endRoom is the room for the ends of turns that were not asked for before they ran.
	endRoom = 1.2
	// burstTime is the growth of how long may come at once, and minBurst is always allowed.
	burstTime = 10 * time.Second
	minBurst  = 256 << 10
	// paceTime is the time over which the pace of what comes is averaged.
	paceTime = 2 * time.Second
	// roundTime is how long the same programs are preferred.
	roundTime = 4 * time.Second
)

// Growth allows what is kept to grow the more slowly the less room is left, so that some of what
// comes always finds room: nothing of what is kept may be dropped before its time. It is not safe for
// concurrent use.
type Growth struct {
	max float64
	// level is what may be added at once and pace the bytes a second that come, as of at.
	level, pace float64
	at          time.Time
}

// New returns a Growth for so many bytes, 0 for any number.
func New(maxBytes int64) *Growth { return &Growth{max: float64(maxBytes), level: math.Inf(1)} }

// Want is something to be kept.
type Want struct {
	// Program is the program that it belongs to. UnderWay says that the program is kept already.
	Program  string
	UnderWay bool
	// Bytes is what it takes, for Retention.
	Bytes     int64
	Retention time.Duration
}

// Admit reports whether something may be added to so many bytes that are kept already. Where much
// more comes than may be added, vaults prefer the same programs, since each needs a quorum of them.
func (g *Growth) Admit(now time.Time, held int64, w Want) bool {
	if g.max <= 0 {
		return true
	}
	most := g.max
	if w.UnderWay {
		most *= underWayRoom
	}
	room := max(0, most-float64(held))
	rate := urgency * room / max(time.Second, w.Retention).Seconds()
	burst := max(minBurst, rate*burstTime.Seconds())
	elapsed := 0.0
	if !g.at.IsZero() {
		elapsed = max(0, now.Sub(g.at).Seconds())
	}
	g.at = now
	g.level = min(g.level+rate*elapsed, burst, room)
	g.pace = g.pace*math.Exp(-elapsed/paceTime.Seconds()) + float64(w.Bytes)/paceTime.Seconds()
	if g.level < burst/2 && rank(now, w.Program) > rate/g.pace || g.level < float64(w.Bytes) {
		return false
	}
	g.level -= float64(w.Bytes)
	return true
}

// Full reports whether nothing more may be kept, not even the end of a turn.
func (g *Growth) Full(held int64) bool { return g.max > 0 && float64(held) > endRoom*g.max }

// rank returns a program's place among all, from 0 for those that are preferred to 1. It is the same at
// all vaults, and another one in the next round.
func rank(now time.Time, program string) float64 {
	round := now.UnixMilli() / roundTime.Milliseconds()
	return float64(xxhash.Sum64String(strconv.FormatInt(round, 10)+program)) / math.MaxUint64
}
