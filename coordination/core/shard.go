package core

import (
	"maps"
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/prog"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// shard is the part of the programs that one epoch of this node owns.
type shard struct {
	number int
	epoch  uint64
	// term is the node's lease term in which the shard was last proven owned,
	// by its claim or by a journal write that began in that term.
	term uint64
	// programs are by "customer/program".
	programs map[string]*prog.Program
	// active counts the requests of each program without a final answer.
	active map[string]int
	// tasks holds what each program does for its person's last message.
	tasks map[string]*task
	// sweeps holds the ended programs whose memory is not yet confirmed released.
	sweeps map[string]*sweep
	// pending counts journal appends without an answer.
	pending int
	// leaving shards take no new calls; since is when that began.
	leaving bool
	since   time.Time
	// returned is set once the unused grants were journaled back.
	returned bool
}

// commit is what waits for one journal append.
type commit struct {
	shard *shard
	// term is the lease term in which the append was begun.
	term uint64
	// then runs when the records are safe.
	then func(now time.Time)
}

func (c *Core) acquire(now time.Time, e ShardAcquired) {
	if s, ok := c.shards[e.Shard]; ok && s.epoch >= e.Epoch {
		return
	}
	c.drop(e.Shard)
	s := &shard{
		number: e.Shard, epoch: e.Epoch, term: c.term, programs: map[string]*prog.Program{},
		active: map[string]int{}, sweeps: map[string]*sweep{}, tasks: map[string]*task{},
	}
	c.shards[e.Shard] = s
	for i := range e.Records {
		replay(s, &e.Records[i])
	}
	var records []record.Record
	for _, id := range slices.Sorted(maps.Keys(s.programs)) {
		p := s.programs[id]
		c.inquireIntents(s, p)
		if tokens, money := p.Budget().Granted(); tokens > 0 || money > 0 {
			records = append(records, record.Record{Forfeit: &record.Forfeit{Customer: p.Customer(), Program: p.ID()}})
		}
		records = append(records, closeIntents(now, p)...)
		if p.Ended() && !p.Swept() {
			c.sweep(s, p)
		}
	}
	if len(records) > 0 {
		c.journal(s, records, nil)
	}
	if c.drained {
		c.surrender(now, s)
	}
}

// closeIntents settles the calls that an earlier owner may have dispatched:
// only that owner could have known their answers.
func closeIntents(now time.Time, p *prog.Program) []record.Record {
	var records []record.Record
	for _, key := range slices.Sorted(maps.Keys(p.Intents())) {
		a := &answer.Answer{
			Outcome: answer.Unknown, Reason: "takeover",
			Detail: "the call may have run before its node was lost; it will not run again",
		}
		turn := &record.Turn{Call: p.Intent(key).Call, Answer: a, Time: now}
		records = append(records, record.Record{Turn: turn})
	}
	return records
}

func replay(s *shard, r *record.Record) {
	if o := r.Opened; o != nil {
		s.programs[o.Customer+"/"+o.Program] = prog.New(o.Customer, o.Program, o.Service, o.Tokens, o.Money)
	}
	if p := s.programs[r.QualifiedProgram()]; p != nil {
		p.Apply(r)
	}
}

func (c *Core) lose(e ShardLost) {
	if s, ok := c.shards[e.Shard]; ok && s.epoch == e.Epoch {
		c.drop(e.Shard)
	}
}

// drop forgets a shard. Its callers are sent to the next owner.
func (c *Core) drop(number int) {
	s, ok := c.shards[number]
	if !ok {
		return
	}
	delete(c.shards, number)
	for _, r := range c.requestsOf(s) {
		c.evict(r)
	}
}

// requestsOf returns a shard's requests by id, so that runs can be repeated.
func (c *Core) requestsOf(s *shard) []*request {
	var all []*request
	for _, r := range c.requests {
		if r.shard == s {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b *request) int { return compareStrings(a.call.ID(), b.call.ID()) })
	return all
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// evict forgets a request and sends its callers to the next owner. Attempts
// that may be cancelled are; the others end by themselves, unheard.
func (c *Core) evict(r *request) {
	for _, f := range r.flights {
		if r.repeatable() {
			c.abort(f)
		}
	}
	for _, w := range r.waiters {
		c.do(Reply{To: w.route, Moved: true, MayHaveRun: r.touched})
	}
	c.remove(r)
}

// journal appends records and applies them at once; then runs when they are safe.
func (c *Core) journal(s *shard, records []record.Record, then func(time.Time)) {
	for i := range records {
		replay(s, &records[i])
	}
	c.write(s, records, then)
}

// journalFirst appends a record and applies it only when it is safe.
func (c *Core) journalFirst(s *shard, r record.Record) {
	c.write(s, []record.Record{r}, func(time.Time) { replay(s, &r) })
}

func (c *Core) write(s *shard, records []record.Record, then func(time.Time)) {
	ref := c.next()
	s.pending++
	c.commits[ref] = commit{shard: s, term: c.term, then: then}
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
	w.shard.term = max(w.shard.term, w.term)
	if w.then != nil {
		w.then(now)
	}
	c.yield(w.shard)
}

// surrender takes no new calls for a shard. Calls that wait go to the next
// owner at once; those at endpoints get a little time to finish.
func (c *Core) surrender(now time.Time, s *shard) {
	if s.leaving {
		return
	}
	s.leaving = true
	s.since = now
	for _, r := range c.requestsOf(s) {
		if r.stage <= ready {
			c.evict(r)
		}
	}
	c.yield(s)
}

// handover is how long model calls may go on at a node that gives their shard
// up, before the next owner continues them from the text they have.
const handover = 300 * time.Millisecond

// hasten moves the calls that may be cancelled to the next owner.
func (c *Core) hasten(now time.Time, s *shard) {
	if !s.leaving || now.Sub(s.since) < handover {
		return
	}
	for _, r := range c.requestsOf(s) {
		if r.stage <= running && r.repeatable() {
			c.evict(r)
		}
	}
	c.yield(s)
}

// yield gives a leaving shard up once nothing of it is under way.
func (c *Core) yield(s *shard) {
	if !s.leaving || s.pending > 0 || len(s.active) > 0 || c.shards[s.number] != s {
		return
	}
	if !s.returned {
		s.returned = true
		if records := unused(s); len(records) > 0 {
			c.journal(s, records, nil)
			return
		}
	}
	delete(c.shards, s.number)
	c.do(HandOver{Shard: s.number, Epoch: s.epoch})
}

// unused gives back the grants that no call needs, so that the next owner does
// not count them as spent.
func unused(s *shard) []record.Record {
	var records []record.Record
	for _, id := range slices.Sorted(maps.Keys(s.programs)) {
		p := s.programs[id]
		tokens, money := p.Budget().Granted()
		lost, forfeited := p.Budget().Reserved()
		if tokens == lost && money == forfeited {
			continue
		}
		records = append(records, record.Record{Grant: &record.Grant{
			Customer: p.Customer(), Program: p.ID(), Tokens: lost, Money: forfeited,
		}})
	}
	return records
}

func (c *Core) shardOf(customer, program string) *shard {
	return c.shards[call.Shard(customer, program, c.options.Shards)]
}
