package core

import (
	"time"

	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/prog"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// shard is the part of the programs that one epoch of this node owns.
type shard struct {
	number int
	epoch  uint64
	// programs are by "customer/program".
	programs map[string]*prog.Program
	// pending counts journal appends without an answer.
	pending int
}

// commit is what waits for one journal append.
type commit struct {
	shard *shard
	// then runs when the records are safe.
	then func(now time.Time)
}

func (c *Core) acquire(now time.Time, e Acquired) {
	if s, ok := c.shards[e.Shard]; ok && s.epoch >= e.Epoch {
		return
	}
	c.drop(e.Shard)
	s := &shard{number: e.Shard, epoch: e.Epoch, programs: map[string]*prog.Program{}}
	c.shards[e.Shard] = s
	for i := range e.Records {
		c.replay(s, &e.Records[i])
	}
	for _, p := range s.programs {
		p.Purse().Forfeit()
		if p.Ended() && !p.Swept() {
			c.sweep(now, s, p)
		}
	}
}

func (c *Core) replay(s *shard, r *record.Record) {
	if o := r.Opened; o != nil {
		s.programs[o.Customer+"/"+o.Program] = c.program(o)
	}
	if p := s.programs[owner(r)]; p != nil {
		p.Apply(r)
	}
}

// owner returns which program a record is about.
func owner(r *record.Record) string {
	switch {
	case r.Opened != nil:
		return r.Opened.Customer + "/" + r.Opened.Program
	case r.Grant != nil:
		return r.Grant.Customer + "/" + r.Grant.Program
	case r.Intent != nil:
		return r.Intent.Call.Owner()
	case r.Turn != nil:
		return r.Turn.Call.Owner()
	case r.Ended != nil:
		return r.Ended.Customer + "/" + r.Ended.Program
	case r.Swept != nil:
		return r.Swept.Customer + "/" + r.Swept.Program
	}
	return ""
}

func (c *Core) program(o *record.Opened) *prog.Program {
	var tokens, money int64
	if v := c.config.Services[o.Service]; v != nil {
		tokens, money = v.Tokens, v.Money
	}
	return prog.New(o.Customer, o.Program, o.Service, tokens, money)
}

func (c *Core) lose(e Lost) {
	if s, ok := c.shards[e.Shard]; ok && s.epoch == e.Epoch {
		c.drop(e.Shard)
	}
}

// drop forgets a shard. Its callers are sent to the next owner; its dispatches
// are left to end by themselves, because their effect cannot be taken back.
func (c *Core) drop(number int) {
	s, ok := c.shards[number]
	if !ok {
		return
	}
	delete(c.shards, number)
	for id, r := range c.requests {
		if r.shard != s {
			continue
		}
		c.ready.Remove(id)
		delete(c.requests, id)
		for _, w := range r.waiters {
			c.do(Reply{To: w.route, Moved: true})
		}
	}
}

// journal appends records and applies them at once; then runs when they are safe.
func (c *Core) journal(s *shard, records []record.Record, then func(time.Time)) {
	for i := range records {
		c.replay(s, &records[i])
	}
	ref := c.next()
	s.pending++
	c.commits[ref] = commit{shard: s, then: then}
	c.do(Append{Ref: ref, Shard: s.number, Epoch: s.epoch, Records: records})
}

func (c *Core) committed(now time.Time, e Committed) {
	w, ok := c.commits[e.Ref]
	if !ok {
		return
	}
	delete(c.commits, e.Ref)
	w.shard.pending--
	if c.shards[w.shard.number] != w.shard {
		return
	}
	if e.Err != nil {
		c.drop(w.shard.number)
		return
	}
	if w.then != nil {
		w.then(now)
	}
	c.yieldIdle()
}

// yieldIdle gives up shards with nothing under way when the node is draining.
func (c *Core) yieldIdle() {
	if !c.drained {
		return
	}
	busy := map[*shard]bool{}
	for _, r := range c.requests {
		busy[r.shard] = true
	}
	for n, s := range c.shards {
		if !busy[s] && s.pending == 0 {
			delete(c.shards, n)
			c.do(Yield{Shard: n, Epoch: s.epoch})
		}
	}
}

func (c *Core) shardOf(customer, program string) *shard {
	return c.shards[call.Shard(customer, program, c.options.Shards)]
}
