// Package admit (coordination layer) decides whether a call of a pool of engines is sent
// at once, waits at its gate, or is refused. Load pattern: programs of several turns
// arrive faster than the engines can serve them. Half a program is worth nothing, so
// programs that are under way take the room first, and one that begins is refused at
// once while there is none. Without that, late work crowds out work that could still be
// in time, and the pool stays overloaded after the load has fallen.
package admit

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Call is a call that asks to be sent.
type Call struct {
	// UnderWay says that the call's program has run before.
	UnderWay bool
	// Arrived is when the call reached the gate.
	Arrived time.Time
	// Age is how long ago the program first asked to be served, ProgramLeft the time within
	// which it should end, 0 if that time is over. Both are 0 if that time is not known.
	Age, ProgramLeft time.Duration
	// Target is the time to the first event up to which an answer has its full value.
	Target time.Duration
	// TimeLeft is how long the caller waits from now on.
	TimeLeft time.Duration
	// Importance is the place of the call's customer and route among all, from 0 to 1, the
	// most important.
	Importance float64
}

// Room is what a gate knows of a pool of engines.
type Room struct {
	// Slots is how many calls the sound engines run at once. 0 means that it is not known.
	Slots float64
	// Calls counts the calls of all gates that run at the engines or wait there.
	Calls float64
	// Waiting counts the calls that wait at this gate and came before.
	Waiting int
	// QueueFull says that no further call may wait at this gate.
	QueueFull bool
	// Call is how long a call takes.
	Call time.Duration
	// Used is the part of their time that programs of the call's service use while the engines
	// have room, and InCalls the part of that in which their calls run. 0 stands for all.
	Used, InCalls float64
}

// Verdict is what is to be done with a call: Send, Wait or Refuse.
type Verdict interface{ verdict() }

// Send means that the call is to be sent now.
type Send struct{}

// Wait means that the call may wait for room, until a time.
type Wait struct{ Until time.Time }

// Refuse means that the call is to be refused. The caller may come back after a while.
type Refuse struct{ RetryAfter time.Duration }

func (Send) verdict()   {}
func (Wait) verdict()   {}
func (Refuse) verdict() {}

const (
	// endShare is the part of its time after which a program that bears a load ends, so that
	// calls that take longer than usual do not make it late.
	endShare = 0.8
	// maxBegin is how many calls per slot programs that begin meet at most, however much time
	// they have to spare. On played days with a lasting overload, 2.5 and 3 served fewer in time.
	maxBegin = 2.0
	// waitShare is the part of a call's target that it may wait at the gate. A caller that
	// is refused later than that could have come back in time.
	waitShare = 0.25
	// importanceRoom is the share of the slots that is kept for beginning programs of the
	// highest importance.
	importanceRoom = 0.1
	// evenShare is the part of the decisions that disregard importance. Without it, the
	// least important programs of a replay with four times the load that can be served
	// ended in time 0.18 times as often as all. Refused callers ask again, so a small part
	// suffices: it is then 0.43.
	evenShare = 0.05
	// returnRoom is the share of the slots up to which programs are admitted that begin too
	// late to end in time. Above it they would take the room of programs that can.
	returnRoom = 0.85
	// maxQueue is how many calls per slot may wait at the engines before calls of programs
	// under way wait at their gates: less than engines take before they decline.
	maxQueue = 2.0
	// returnShare is the part of the caller's time within which it may be told to come
	// back; callers do not wait longer than a third.
	returnShare = 0.3
	// minReturn is the shortest time to come back.
	minReturn = 150 * time.Millisecond
)

// Decide returns the verdict for a call. random spreads the times to come back.
func Decide(now time.Time, c Call, r Room, random *rand.Rand) Verdict {
	if r.Slots <= 0 {
		return Send{}
	}
	if random.Float64() < evenShare {
		c.Importance = 1
	}
	if r.allows(c) {
		return Send{}
	}
	until := c.Arrived.Add(time.Duration(waitShare * float64(c.Target)))
	if c.UnderWay {
		// Its program is lost without the call, so it waits for half of its caller's time.
		until = c.Arrived.Add((now.Sub(c.Arrived) + c.TimeLeft) / 2)
	}
	if !r.QueueFull && now.Before(until) && !now.Add(r.forecast(c)).After(until) {
		return Wait{Until: until}
	}
	return Refuse{RetryAfter: r.returnTime(c, random)}
}

// allows reports whether there is room for a call now.
func (r Room) allows(c Call) bool {
	return r.Calls+1 <= r.limit(c)
}

// limit returns how many calls may be at the engines once a call is sent.
func (r Room) limit(c Call) float64 {
	if c.UnderWay {
		return (1 + maxQueue) * r.Slots
	}
	return max(returnRoom, r.bearable(c)-importanceRoom*(1-c.Importance)) * r.Slots
}

// bearable returns how many calls per slot a program that begins now bears. With a part more calls
// than slots, each call takes longer by that part, which uses up what the program has to spare.
// The less of its time is left, the fewer calls may be before it.
func (r Room) bearable(c Call) float64 {
	used, inCalls := cmp.Or(r.Used, 1), cmp.Or(r.InCalls, 1)
	spare := endShare/used - 1
	return c.left() * min(1+spare/inCalls, maxBegin)
}

// left returns the part of its program's time that is left, all if the time is not known.
func (c Call) left() float64 {
	if c.Age <= 0 {
		return 1
	}
	return float64(c.ProgramLeft) / float64(c.Age+c.ProgramLeft)
}

// forecast returns how long it takes until there is room for a call, from the rate at
// which calls end.
func (r Room) forecast(c Call) time.Duration {
	ahead := float64(r.Waiting) + r.Calls + 1 - r.limit(c)
	return time.Duration(max(0, ahead) / r.Slots * float64(r.Call))
}

// returnTime returns when a refused caller may come back: about when there is room, and
// spread so that callers that are refused together do not return together, also if they
// are told the longest time that they accept.
func (r Room) returnTime(c Call, random *rand.Rand) time.Duration {
	most := max(minReturn, time.Duration(returnShare*float64(c.TimeLeft)))
	after := min(max(minReturn, r.forecast(c), r.Call), max(minReturn, most/2))
	after += time.Duration(random.Float64() * float64(after))
	return min(after, most)
}
