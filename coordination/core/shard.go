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

// shard is the state of one shard in one epoch of this node's ownership.
type shard struct {
	number int
	epoch  uint64
	// leaseTerm is the node's lease term in which the shard was last proven owned,
	// by its claim or by a journal write that began in that term.
	leaseTerm uint64
	// programs holds the programs by "customer/program".
	programs map[string]*prog.Program
	// active counts the requests of each program without a final answer.
	active map[string]int
	// tasks holds the current task of each program.
	tasks map[string]*task
	// sweeps holds the ended programs whose memory the engines have not all
	// confirmed to be released.
	sweeps map[string]*sweep
	// openAppends counts the journal appends that are not confirmed.
	openAppends int
	// handingOver is set while the shard accepts no new calls, since handOverSince.
	handingOver   bool
	handOverSince time.Time
	// grantsReturned is set once the return of unused grants was journaled.
	grantsReturned bool
}

// pendingAppend is a journal append that is not confirmed.
type pendingAppend struct {
	shard *shard
	// leaseTerm is the lease term in which the append began.
	leaseTerm uint64
	// onCommit runs once the records are durable.
	onCommit func(now time.Time)
}

// acquire replays a shard's journal. Outstanding grants count as spent and
// outstanding intents as unknown, since only the earlier owner knew their result.
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
	if c.draining {
		c.startHandOver(now, s)
	}
}

// closeIntents settles the calls that an earlier owner may have dispatched as
// unknown, since only that owner could receive their answers.
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

func (c *Core) shardLost(e ShardLost) {
	if s, ok := c.shards[e.Shard]; ok && s.epoch == e.Epoch {
		c.dropShard(e.Shard)
	}
}

// dropShard removes a shard and tells its callers to retry at the next owner.
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

// requestsOf returns a shard's requests by id, which makes runs reproducible.
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

// evict removes a request and tells its callers to retry at the next owner. It
// aborts repeatable attempts; the results of other attempts are ignored.
func (c *Core) evict(r *request) {
	for _, a := range r.attempts {
		if r.repeatable() {
			c.abort(a)
		}
	}
	for _, w := range r.waiters {
		c.emit(Reply{To: w.route, Moved: true, MayHaveRun: r.mayHaveRun})
	}
	c.removeRequest(r)
}

// journal appends records and applies them immediately. It calls then when they are
// durable.
func (c *Core) journal(s *shard, records []record.Record, then func(time.Time)) {
	for i := range records {
		replay(s, &records[i])
	}
	c.appendRecords(s, records, then)
}

// journalThenApply appends a record and applies it only when it is durable.
func (c *Core) journalThenApply(s *shard, r record.Record) {
	c.appendRecords(s, []record.Record{r}, func(time.Time) { replay(s, &r) })
}

func (c *Core) appendRecords(s *shard, records []record.Record, then func(time.Time)) {
	ref := c.nextID()
	s.openAppends++
	c.pendingAppends[ref] = pendingAppend{shard: s, leaseTerm: c.leaseTerm, onCommit: then}
	c.emit(Append{Ref: ref, Shard: s.number, Epoch: s.epoch, Records: records})
}

func (c *Core) appendCommitted(now time.Time, e Committed) {
	w, ok := c.pendingAppends[e.Ref]
	if !ok {
		return
	}
	delete(c.pendingAppends, e.Ref)
	w.shard.openAppends--
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

// startHandOver stops accepting calls for a shard. Waiting calls move to the next
// owner at once; running calls get handOverGrace to finish.
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

// handOverGrace is how long model calls may continue at a node that hands their
// shard over. After it, the next owner continues them from the generated text.
const handOverGrace = 300 * time.Millisecond

// evictRepeatable moves the repeatable calls of a shard to the next owner once
// handOverGrace has passed.
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

// finishHandOver hands a shard over once it has no request and no append left.
func (c *Core) finishHandOver(s *shard) {
	if !s.handingOver || s.openAppends > 0 || len(s.active) > 0 || c.shards[s.number] != s {
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

// unusedGrants returns records that reduce each grant to the reserved amount, so
// that the next owner does not count the rest as spent.
func unusedGrants(s *shard) []record.Record {
	var records []record.Record
	for _, id := range slices.Sorted(maps.Keys(s.programs)) {
		p := s.programs[id]
		tokens, money := p.Budget().Granted()
		reservedTokens, reservedMoney := p.Budget().Reserved()
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
