// Package grant (coordination layer) decides at a vault how many of the requests that a gate asks
// for pass a customer's quota. All gates ask the same vault about a customer, so that it counts
// each request that passes by a question at once. Load pattern: the requests of a program come to
// one gate in a bunch, and the gate's own share of the quota is less than one request.
package grant

import (
	"time"

	"github.com/cowslipstage/cowslipstage/state/usage"
)

// unheardTime is how late the vault hears of requests that gates pass without a question: the
// pause between two reports of a customer near its quota, and the way.
const unheardTime = 150 * time.Millisecond

// lateIntervals is how many intervals before a window count as part of it, because requests are
// counted when the vault hears of them.
const lateIntervals = 2

// paceIntervals is the time over which the customer's pace is measured (2 s).
const paceIntervals = 8

// Question asks for requests of one customer.
type Question struct {
	// UnderWay and Beginning count the requests that are asked for. Those under way belong
	// to a program that has begun.
	UnderWay  int `cbor:"1,keyasint,omitempty"`
	Beginning int `cbor:"2,keyasint,omitempty"`
	// Rate and Size are those of the customer's token bucket, in requests a second and
	// requests. Reserve is what requests that begin a program leave in it.
	Rate    float64 `cbor:"3,keyasint,omitempty"`
	Size    float64 `cbor:"4,keyasint,omitempty"`
	Reserve float64 `cbor:"5,keyasint,omitempty"`
	// Limit is how many requests may be counted within Window, whatever the bucket holds.
	Window time.Duration `cbor:"6,keyasint,omitempty"`
	Limit  float64       `cbor:"7,keyasint,omitempty"`
}

// Answer is how many of the requests pass.
type Answer struct {
	UnderWay  int `cbor:"1,keyasint,omitempty"`
	Beginning int `cbor:"2,keyasint,omitempty"`
}

// Decide answers a question from what all gates passed by interval, the newest first, of which
// phase has passed of the newest. Requests under way pass while the window has room, also beyond
// the bucket: without them their program is lost. The bucket then fills later for programs that
// begin.
func (q Question) Decide(passed []int, phase time.Duration) Answer {
	unheard := float64(sum(passed, paceIntervals)) / (paceIntervals * usage.Interval).Seconds() * unheardTime.Seconds()
	window := q.Limit - unheard - float64(sum(passed, q.intervals()))
	bucket := usage.Level(passed, phase, q.Rate, q.Size) - unheard
	underWay := whole(max(window, bucket), q.UnderWay)
	return Answer{UnderWay: underWay, Beginning: whole(min(window, bucket-q.Reserve)-float64(underWay), q.Beginning)}
}

// settleTime is how long after its start a vault answers no question: gates connect again and
// repeat their counts within that time.
const settleTime = 2 * time.Second

// Known reports whether a vault that has counted for a time has heard of all gates.
func (q Question) Known(counted time.Duration) bool { return counted >= settleTime }

// intervals returns how many intervals count as part of the window.
func (q Question) intervals() int { return int(q.Window/usage.Interval) + lateIntervals }

// whole returns how many of the wanted requests fit into a room.
func whole(room float64, wanted int) int { return min(max(0, wanted), int(max(0, room))) }

func sum(passed []int, intervals int) int {
	total := 0
	for _, n := range passed[:min(len(passed), intervals)] {
		total += n
	}
	return total
}
