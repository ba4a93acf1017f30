package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/state/prog"
)

const (
	// fullRetry is when a caller may come back whose program found no room.
	fullRetry = 2 * time.Second
	// fullShare is the part of the memory for programs from which new ones are refused. Those under way
	// have the rest.
	fullShare = 0.9
	// roomShare is the part that is taken once room has been made, so that not each cleanup makes some.
	roomShare = 0.75
)

// hasRoom reports whether a further program may be opened. If none may, it makes room, but not for each
// program that is refused.
func (c *Core) hasRoom() bool {
	if c.isFull() && !c.madeRoom {
		c.madeRoom = true
		c.makeRoom()
	}
	return !c.isFull()
}

// isFull reports whether the programs take so much memory that no further one may be opened.
func (c *Core) isFull() bool {
	return c.options.KeptBytes > 0 && float64(c.kept) > fullShare*float64(c.options.KeptBytes)
}

// makeRoom lets the answers of ended programs expire early if the programs take too much memory, those
// that ended first first. The keys of calls that may not be repeated are kept.
func (c *Core) makeRoom() {
	c.kept = 0
	var ended []endedProgram
	for _, s := range c.sortedShards() {
		for id, p := range s.programs {
			c.kept += p.Bytes()
			if p.Ended() && (!p.Stripped() || p.Forgettable()) {
				ended = append(ended, endedProgram{s, id, p})
			}
		}
	}
	most := roomShare * float64(c.options.KeptBytes)
	if c.options.KeptBytes <= 0 || float64(c.kept) <= most {
		return
	}
	slices.SortFunc(ended, func(x, y endedProgram) int {
		return cmp.Or(x.program.LastChange().Compare(y.program.LastChange()), cmp.Compare(x.id, y.id))
	})
	for _, e := range ended {
		if float64(c.kept) <= most {
			return
		}
		c.kept -= e.program.Bytes()
		if e.program.Strip(c.isIdempotent); e.program.Forgettable() {
			delete(e.shard.programs, e.id)
			continue
		}
		c.kept += e.program.Bytes()
	}
}

// endedProgram is an ended program of a shard.
type endedProgram struct {
	shard   *shard
	id      string
	program *prog.Program
}
