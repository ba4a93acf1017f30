// Package await (coordination layer) decides how long a gate goes on trying to
// open a turn while too few vaults answer. Load pattern: all hosts lose power,
// gates are back before vaults, and all callers return at once.
package await

import "time"

// Vaults is what a gate knows of the vaults that have a seat.
type Vaults struct {
	// Needed is how many of them open a turn.
	Needed int
	// Connected counts those with an open connection, Starting those that are probably
	// starting: their hosts refuse connections, or have not answered since this gate
	// started itself. No vault counts as both.
	Connected, Starting int
}

const (
	// retryTime is how long opening a turn is retried here. After that the caller is
	// better served by another gate.
	retryTime = 100 * time.Millisecond
	// turnTime is what must be left for the turn itself, which takes longest just
	// after an outage. A caller with less is better served by an early refusal: it
	// sends the turn again with all of its time.
	turnTime = 1500 * time.Millisecond
)

// Waiter follows the tries to open one turn. It is not safe for concurrent use.
type Waiter struct {
	// since is when the turn arrived, or when vaults were last seen starting. It
	// never decreases.
	since time.Time
}

// New returns a waiter for a turn that arrives now.
func New(now time.Time) *Waiter { return &Waiter{since: now} }

// MayRetry reports whether the turn may be tried again, for a caller that waits
// timeLeft longer. A gate that reaches no vault host refuses at once, because
// other gates may reach them. While vaults start, other gates fare no better, so
// the caller is best served by waiting here.
func (w *Waiter) MayRetry(now time.Time, v Vaults, timeLeft time.Duration) bool {
	switch {
	case v.Connected < v.Needed && v.Connected+v.Starting >= v.Needed:
		if timeLeft >= turnTime {
			w.since = now
		}
	case v.Needed > 0 && v.Connected+v.Starting == 0:
		return false
	}
	return now.Sub(w.since) <= retryTime
}
