package core

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/prog"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// sweep tracks the release of one ended program's memory at the engines.
type sweep struct {
	program *prog.Program
	// pending holds the endpoints that have not confirmed the release.
	pending map[string]bool
	// nextRelease is when the release is requested again.
	nextRelease time.Time
	pause       time.Duration
}

const (
	// minSweepPause is the pause before a release is repeated; it doubles each time.
	minSweepPause = time.Second
	// maxSweepPause bounds the pause.
	maxSweepPause = 30 * time.Second
)

func endedRecord(p *prog.Program, reason string, now time.Time) record.Record {
	return record.Record{Ended: &record.Ended{
		Customer: p.Customer(), Program: p.ID(), Reason: reason, Time: now,
	}}
}

// closeProgram ends a program at its caller's request.
func (c *Core) closeProgram(now time.Time, e CloseRequested) {
	s := c.shardOf(e.Customer, e.Program)
	if s == nil || s.handingOver {
		c.emit(Reply{To: e.From, Moved: true})
		return
	}
	done := Reply{To: e.From, Final: &answer.Answer{Outcome: answer.Done}}
	p := s.programs[e.Customer+"/"+e.Program]
	if p == nil || p.Ended() {
		c.emit(done)
		return
	}
	c.journal(s, []record.Record{endedRecord(p, "caller", now)}, func(at time.Time) {
		c.emit(done)
		c.endCalls(at, s, p)
		c.sweep(s, p)
	})
}

// endCalls ends the calls of an ended program. Calls that are not repeatable and
// may have been dispatched continue.
func (c *Core) endCalls(now time.Time, s *shard, p *prog.Program) {
	for _, r := range c.requestsOf(s) {
		if r.program != p || r.stage == settling || !r.repeatable() && r.stage > ready {
			continue
		}
		c.giveUp(now, r, "ended", "the program was ended", 0)
	}
}

// sweep begins to release the memory that engines hold for an ended program.
func (c *Core) sweep(s *shard, p *prog.Program) {
	owner := p.Customer() + "/" + p.ID()
	if s.sweeps[owner] != nil || !p.Ended() {
		return
	}
	c.router.Forget(owner)
	delete(s.tasks, owner)
	w := &sweep{program: p, pending: map[string]bool{}, pause: minSweepPause}
	for _, name := range p.Holders() {
		if c.options.KeepMemory {
			break
		}
		if e := c.config.Endpoints[name]; e != nil && e.Kind == "engine" {
			w.pending[name] = true
		}
	}
	s.sweeps[owner] = w
	if s.active[owner] == 0 {
		c.release(s, w)
	}
}

// release sends a release to every endpoint that has not confirmed yet.
func (c *Core) release(s *shard, w *sweep) {
	for _, name := range slices.Sorted(maps.Keys(w.pending)) {
		e := c.config.Endpoints[name]
		if e == nil {
			delete(w.pending, name)
			continue
		}
		c.emit(Release{
			Endpoint: name, Target: e, Customer: w.program.Customer(), Program: w.program.ID(), Epoch: s.epoch,
		})
	}
	c.finishSweep(s, w)
}

// finishSweep journals that no engine holds memory for an ended program, once all
// have confirmed it.
func (c *Core) finishSweep(s *shard, w *sweep) {
	if len(w.pending) > 0 || s.handingOver {
		return
	}
	p := w.program
	delete(s.sweeps, p.Customer()+"/"+p.ID())
	c.journal(s, []record.Record{{Swept: &record.Swept{Customer: p.Customer(), Program: p.ID()}}}, nil)
}

// retrySweeps repeats the releases that were not confirmed in time.
func (c *Core) retrySweeps(now time.Time, s *shard) {
	for _, owner := range slices.Sorted(maps.Keys(s.sweeps)) {
		w := s.sweeps[owner]
		if s.active[owner] > 0 || now.Before(w.nextRelease) {
			continue
		}
		w.nextRelease = now.Add(w.pause)
		w.pause = min(2*w.pause, maxSweepPause)
		c.release(s, w)
	}
}

// releaseConfirmed handles an endpoint's confirmation of a release.
func (c *Core) releaseConfirmed(e Released) {
	s := c.shardOf(e.Customer, e.Program)
	if s == nil {
		return
	}
	w := s.sweeps[e.Customer+"/"+e.Program]
	if w == nil || !w.pending[e.Endpoint] {
		return
	}
	delete(w.pending, e.Endpoint)
	c.finishSweep(s, w)
}

// releaseUnknown compares an engine's list of programs with the live programs and
// releases the others, because engine events and an earlier owner's releases can
// be lost.
func (c *Core) releaseUnknown(e ProgramsListed) {
	target := c.config.Endpoints[e.Endpoint]
	if target == nil || c.options.KeepMemory {
		return
	}
	for _, owner := range e.Programs {
		customer, program, ok := strings.Cut(owner, "/")
		s := c.shardOf(customer, program)
		if !ok || s == nil || s.active[owner] > 0 {
			continue
		}
		if p := s.programs[owner]; p != nil && !p.Ended() {
			continue
		}
		c.emit(Release{Endpoint: e.Endpoint, Target: target, Customer: customer, Program: program, Epoch: s.epoch})
	}
}
