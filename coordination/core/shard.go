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
	// leaseTerm is the node's lease leaseTerm in which the shard was last proven owned,
	// by its claim or by a journal write that began in that leaseTerm.
	leaseTerm uint64
	// programs are by "customer/program".
	programs map[string]*prog.Program
	// active counts the requests of each program without a final answer.
	active map[string]int
	// tasks holds what each program does for its person's last message.
	tasks map[string]*task
	// sweeps holds the ended programs whose memory is not yet confirmed released.
	sweeps map[string]*sweep
	// pendingAppends counts journal appends without an answer.
	pendingAppends int
	// handingOver shards take no new calls; since is when that began.
	handingOver   bool
	handOverSince time.Time
	// grantsReturned is set once the unused grants were journaled back.
	grantsReturned bool
}

// pendingAppend is what waits for one journal append.
type pendingAppend struct {
	shard *shard
	// leaseTerm is the lease leaseTerm in which the append was begun.
	leaseTerm uint64
	// onCommit runs when the records are safe.
	onCommit func(now time.Time)
}

func (c *Core) acquire(now time.Time, e ShardAcquired) {
	if s, ok := c.shards[e.Shard]; ok && s.epoch >= e.Epoch {
		return
	}
	c.dropShard(e.Shard)
	s := &shard{
		number: e.Shard, epoch: e.Epoch, leaseTerm: c.leaseTerm, programs: map[string]*prog.Program{},
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
		if tokens, money := p.Purse().Granted(); tokens > 0 || money > 0 {
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
	if c.draining {
		c.startHandOver(now, s)
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
	if p := s.programs[r.Owner()]; p != nil {
		p.Apply(r)
	}
}

func (c *Core) shardLost(e ShardLost) {
	if s, ok := c.shards[e.Shard]; ok && s.epoch == e.Epoch {
		c.dropShard(e.Shard)
	}
}

// dropShard forgets a shard. Its callers are sent to the next owner.
func (c *Core) dropShard(number int) {
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
	for _, f := range r.attempts {
		if r.repeatable() {
			c.abort(f)
		}
	}
	for _, w := range r.waiters {
		c.emit(Reply{To: w.route, Moved: true, MayHaveRun: r.mayHaveRun})
	}
	c.remove(r)
}

// journal appends records and applies them at once; then runs when they are safe.
func (c *Core) journal(s *shard, records []record.Record, then func(time.Time)) {
	for i := range records {
		replay(s, &records[i])
	}
	c.appendRecords(s, records, then)
}

// journalThenApply appends a record and applies it only when it is safe.
func (c *Core) journalThenApply(s *shard, r record.Record) {
	c.appendRecords(s, []record.Record{r}, func(time.Time) { replay(s, &r) })
}

func (c *Core) appendRecords(s *shard, records []record.Record, then func(time.Time)) {
	ref := c.nextID()
	s.pendingAppends++
	c.pendingAppends[ref] = pendingAppend{shard: s, leaseTerm: c.leaseTerm, onCommit: then}
	c.emit(Append{Ref: ref, Shard: s.number, Epoch: s.epoch, Records: records})
}

func (c *Core) appendCommitted(now time.Time, e Committed) {
	w, ok := c.pendingAppends[e.Ref]
	if !ok {
		return
	}
	delete(c.pendingAppends, e.Ref)
	w.shard.pendingAppends--
	if c.shards[w.shard.number] != w.shard {
		return
	}
	if e.Err != nil {
		c.dropShard(w.shard.number)
		return
	}
	w.shard.leaseTerm = max(w.shard.leaseTerm, w.leaseTerm)
	if w.onCommit != nil {
		w.onCommit(now)
	}
	c.finishHandOver(w.shard)
}

// startHandOver takes no new calls for a shard. Calls that wait go to the next
// owner at once; those at endpoints get a little time to finish.
func (c *Core) startHandOver(now time.Time, s *shard) {
	if s.handingOver {
		return
	}
	s.handingOver = true
	s.handOverSince = now
	for _, r := range c.requestsOf(s) {
		if r.stage <= ready {
			c.evict(r)
		}
	}
	c.finishHandOver(s)
}

// handOverGrace is how long model calls may go on at a node that gives their shard
// up, before the next owner continues them from the text they have.
const handOverGrace = 300 * time.Millisecond

// evictRepeatable moves the calls that may be cancelled to the next owner.
func (c *Core) evictRepeatable(now time.Time, s *shard) {
	if !s.handingOver || now.Sub(s.handOverSince) < handOverGrace {
		return
	}
	for _, r := range c.requestsOf(s) {
		if r.stage <= running && r.repeatable() {
			c.evict(r)
		}
	}
	c.finishHandOver(s)
}

// finishHandOver gives a leaving shard up once nothing of it is under way.
func (c *Core) finishHandOver(s *shard) {
	if !s.handingOver || s.pendingAppends > 0 || len(s.active) > 0 || c.shards[s.number] != s {
		return
	}
	if !s.grantsReturned {
		s.grantsReturned = true
		if records := unusedGrants(s); len(records) > 0 {
			c.journal(s, records, nil)
			return
		}
	}
	delete(c.shards, s.number)
	c.emit(HandOver{Shard: s.number, Epoch: s.epoch})
}

// unusedGrants gives back the grants that no call needs, so that the next owner does
// not count them as spent.
func unusedGrants(s *shard) []record.Record {
	var records []record.Record
	for _, id := range slices.Sorted(maps.Keys(s.programs)) {
		p := s.programs[id]
		tokens, money := p.Purse().Granted()
		reservedTokens, reservedMoney := p.Purse().Reserved()
		if tokens == reservedTokens && money == reservedMoney {
			continue
		}
		records = append(records, record.Record{Grant: &record.Grant{
			Customer: p.Customer(), Program: p.ID(), Tokens: reservedTokens, Money: reservedMoney,
		}})
	}
	return records
}

func (c *Core) shardOf(customer, program string) *shard {
	return c.shards[call.Shard(customer, program, c.options.Shards)]
}
