package core

import (
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/state/prog"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// admit checks a new call against the configuration and the state of its program.
func (c *Core) admit(now time.Time, s *shard, p *prog.Program, k *call.Call) (*request, *answer.Answer) {
	v := c.config.Services[k.Service]
	if v == nil {
		return nil, refuse("service", "no service is named "+k.Service, 0)
	}
	r := &request{call: k, shard: s, service: v, arrivedAt: now, deadline: k.Deadline}
	if k.Kind == call.Plain {
		if r.operation = v.Operations[k.Operation]; r.operation == nil {
			return nil, refuse("operation", "the service has no operation "+k.Operation, 0)
		}
	}
	if limit := now.Add(callTimeout(v)); r.deadline.IsZero() || r.deadline.After(limit) {
		r.deadline = limit
	}
	if a := c.checkOverload(now, r); a != nil {
		return nil, a
	}
	if p == nil {
		if !c.hasRoom() {
			return nil, refuse("overload", "the node has no memory for a further program now", fullRetry)
		}
		p = c.openProgram(now, s, k, v)
		c.kept += p.Bytes()
	}
	r.program = p
	return r, c.admitProgram(r)
}

// openProgram journals a new program with the budget of its service.
func (c *Core) openProgram(now time.Time, s *shard, k *call.Call, v *config.Service) *prog.Program {
	o := &record.Opened{
		Customer: k.Customer, Program: k.Program, Service: k.Service, Time: now,
		Tokens: v.Tokens, Money: v.Money,
	}
	c.journal(s, []record.Record{{Opened: o}}, nil)
	return s.programs[k.QualifiedProgram()]
}

// admitProgram checks a call against the state of its program.
func (c *Core) admitProgram(r *request) *answer.Answer {
	p, k := r.program, r.call
	root := c.config.Services[p.Service()]
	switch {
	case p.Ended():
		return refuse("ended", "the program has ended", 0)
	case root == nil:
		return nil
	case root.Turns > 0 && p.Turns()+r.shard.active[k.QualifiedProgram()] >= root.Turns:
		return refuse("turns", "the program has used all its turns", 0)
	case k.Seq != 0 && (k.Seq <= p.LastSeq(k.Agent) || c.seqWaiting(k)):
		return refuse("order", "a call with this number or a later one was already taken", 0)
	case r.operation != nil && root.Kind == "model" && !slices.Contains(root.Tools, k.Service+"/"+k.Operation):
		return refuse("tool", "the program's service may not call "+k.Service+"/"+k.Operation, 0)
	}
	return nil
}

// seqWaiting reports whether a call with the same sequence number is in the
// agent's queue.
func (c *Core) seqWaiting(k *call.Call) bool {
	return slices.ContainsFunc(c.agentQueues[k.QueueName()], func(r *request) bool { return r.call.Seq == k.Seq })
}

// queueFactor bounds the calls that wait for a pool, as a multiple of its slots.
const queueFactor = 50

// checkOverload refuses a call that is not expected to be answered by its
// deadline, so that the caller learns it at once.
func (c *Core) checkOverload(now time.Time, r *request) *answer.Answer {
	pool := r.service.Pool
	waiting, slots := c.poolQueues[pool].len(), c.slots(pool)
	if slots == 0 || waiting < slots {
		return nil
	}
	if waiting > queueFactor*slots {
		return refuse("overload", "too many calls wait for the service", c.expectedWait(pool, waiting-queueFactor*slots))
	}
	wait := c.expectedWait(pool, waiting)
	if r.service.Class > 0 && now.Add(wait).After(r.deadline) {
		return refuse("overload", "the call cannot be answered by its deadline", max(time.Second, wait-r.deadline.Sub(now)))
	}
	return nil
}

// expectedWait estimates the time until a pool has accepted this many waiting calls.
func (c *Core) expectedWait(pool string, calls int) time.Duration {
	p := c.callTimes[pool]
	if p == nil {
		return time.Second
	}
	return p.Estimate(calls) / time.Duration(c.slots(pool))
}

// slots returns how many calls a pool can run at once; 0 means no bound.
func (c *Core) slots(pool string) int {
	n := 0
	for _, name := range c.pools[pool] {
		n += c.config.Endpoints[name].Slots
	}
	return n
}

// defaultTimeout bounds the calls of services that declare no timeout.
const defaultTimeout = 60 * time.Second

func callTimeout(v *config.Service) time.Duration {
	if v.Timeout > 0 {
		return v.Timeout
	}
	return defaultTimeout
}

// addRequest inserts an admitted request into its agent's queue.
func (c *Core) addRequest(now time.Time, r *request) {
	c.requests[r.call.ID()] = r
	r.shard.active[r.call.QualifiedProgram()]++
	for _, w := range r.waiters {
		c.routes[w.route] = r
	}
	name := r.call.QueueName()
	queue := c.agentQueues[name]
	i := len(queue)
	for i > 0 && queue[i-1].stage == queued && runsBefore(r, queue[i-1]) {
		i--
	}
	c.agentQueues[name] = slices.Insert(queue, i, r)
	c.advanceQueue(now, name)
}

// removeRequest deletes a request from all queues and indexes.
func (c *Core) removeRequest(r *request) {
	id, owner, name := r.call.ID(), r.call.QualifiedProgram(), r.call.QueueName()
	if c.requests[id] != r {
		return
	}
	delete(c.requests, id)
	for _, w := range r.waiters {
		delete(c.routes, w.route)
	}
	c.unqueue(r)
	if r.shard.active[owner]--; r.shard.active[owner] == 0 {
		delete(r.shard.active, owner)
	}
	queue := slices.DeleteFunc(c.agentQueues[name], func(x *request) bool { return x == r })
	c.agentQueues[name] = queue
	if len(queue) == 0 {
		delete(c.agentQueues, name)
	}
}

// advanceQueue makes the first call of an agent's queue ready, unless a call with
// a lower sequence number has not arrived yet.
func (c *Core) advanceQueue(now time.Time, name string) {
	queue := c.agentQueues[name]
	if len(queue) == 0 || queue[0].stage != queued {
		return
	}
	r := queue[0]
	if r.call.Seq > r.program.LastSeq(r.call.Agent)+1 {
		return
	}
	r.readyAt = now
	r.dropKnownMessages()
	c.enqueue(r)
}

// runsBefore reports whether a precedes b in their agent's queue.
func runsBefore(a, b *request) bool {
	if a.call.Seq != 0 && b.call.Seq != 0 {
		return a.call.Seq < b.call.Seq
	}
	return a.arrivedAt.Before(b.arrivedAt)
}
