// Package slack (coordination layer) learns from the programs that ended while the engines had
// room which part of their time programs use, and which part of that they spend in calls. Load
// pattern: programs of one route have half of their time to spare, those of another a quarter,
// and neither says so. The same queue at the engines delays both alike, and makes only the second
// late.
package slack

import (
	"maps"
	"slices"
	"time"
)

const (
	// priorUsed and priorInCalls count before programs have been seen.
	priorUsed    = 0.65
	priorInCalls = 0.75
	// weight is the part of the result that one program is.
	weight = 1.0 / 20
	// quietTime is how long after its last turn a program counts as ended: more than the tools
	// between two turns take.
	quietTime = time.Second
	// maxPrograms bounds the programs under way that are remembered.
	maxPrograms = 2000
)

// Slack holds what the programs of one route have shown to a gate. It is not safe for concurrent
// use.
type Slack struct {
	used, inCalls float64
	programs      map[string]*program
	sweptAt       time.Time
}

// program is a program under way.
type program struct {
	// elapsed is the time from its beginning to the end of its last turn, which was at endedAt,
	// left what was left then of its time.
	elapsed, left time.Duration
	endedAt       time.Time
	// covered is the time in which at least one of its calls ran.
	covered time.Duration
	// crowded says that the engines had no room at some time.
	crowded bool
}

// New returns a Slack that has seen no program.
func New() *Slack {
	return &Slack{used: priorUsed, inCalls: priorInCalls, programs: map[string]*program{}}
}

// Add learns from a turn that ended now and took a time. elapsed is the time since its program
// began, left the time until the program should have ended, crowded whether the engines had no
// room.
func (s *Slack) Add(now time.Time, id string, took, elapsed, left time.Duration, crowded bool) {
	if now.Sub(s.sweptAt) >= quietTime {
		s.sweep(now)
	}
	if took < 0 || elapsed <= 0 {
		return
	}
	p := s.programs[id]
	if p == nil {
		if len(s.programs) >= maxPrograms {
			return
		}
		p = &program{}
		s.programs[id] = p
	}
	p.covered += min(took, max(0, now.Sub(p.endedAt)))
	p.elapsed, p.left, p.endedAt = elapsed, max(0, left), now
	p.crowded = p.crowded || crowded
}

// sweep learns from the programs that have ended.
func (s *Slack) sweep(now time.Time) {
	s.sweptAt = now
	for _, id := range slices.Sorted(maps.Keys(s.programs)) { // the same result in each run of a replay
		p := s.programs[id]
		if now.Sub(p.endedAt) < quietTime {
			continue
		}
		delete(s.programs, id)
		if p.crowded {
			continue
		}
		s.used += weight * (float64(p.elapsed)/float64(p.elapsed+p.left) - s.used)
		s.inCalls += weight * (min(1, float64(p.covered)/float64(p.elapsed)) - s.inCalls)
	}
}

// Used returns the part of their time that programs use while the engines have room.
func (s *Slack) Used() float64 { return s.used }

// InCalls returns the part of the time that programs use in which their calls run.
func (s *Slack) InCalls() float64 { return s.inCalls }
