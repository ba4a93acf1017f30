package core

import (
	"maps"
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/pace"
	"github.com/cowslipstage/cowslipstage/coordination/place"
	"github.com/cowslipstage/cowslipstage/coordination/queue"
	"github.com/cowslipstage/cowslipstage/coordination/route"
	"github.com/cowslipstage/cowslipstage/state/answer"
)

// charsPerToken estimates a prompt's length before the endpoint has counted it.
const charsPerToken = 4

// messageTokens is the length of a message's frame, in tokens.
const messageTokens = 8

// defaultOutput bounds the output of services that declare no bound, in tokens.
const defaultOutput = 512

// prompt estimates the length of the whole prompt, in tokens.
func (r *request) prompt() int {
	if r.operation != nil {
		return 1
	}
	return r.program.Tokens(r.call.Agent) + r.added()/charsPerToken + r.frames()
}

// longest is the most tokens that the prompt can have: a token is at least one
// byte of text, and the conversation so far was counted by the endpoint.
func (r *request) longest() int {
	return r.program.Tokens(r.call.Agent) + r.added() + r.frames()
}

// added is the text that the endpoint has not counted yet, in bytes.
func (r *request) added() int {
	n := len(r.service.Prompt) + len(r.text)
	for _, m := range r.call.Messages {
		n += len(m.Content)
	}
	return n
}

// frames is the tokens around the messages' texts.
func (r *request) frames() int { return messageTokens * (len(r.call.Messages) + 2) }

// output is the most tokens that the call may generate.
func (r *request) output() int {
	bound := r.service.Output
	if bound == 0 {
		bound = defaultOutput
	}
	if m := r.call.MaxTokens; m > 0 && m < bound {
		return m
	}
	return bound
}

// lanes are the calls that wait for one pool. The most urgent class has a
// queue of its own, since only it may use the reserved slots.
type lanes struct {
	// classless is set for the baselines, which know no classes.
	classless bool
	urgent    *queue.Queue
	other     *queue.Queue
}

func (l *lanes) len() int {
	if l == nil {
		return 0
	}
	return l.urgent.Len() + l.other.Len()
}

// of returns the queue for a class.
func (l *lanes) of(class int) *queue.Queue {
	if class == 0 && !l.classless {
		return l.urgent
	}
	return l.other
}

// enqueue lets a request wait for an endpoint.
func (c *Core) enqueue(r *request) {
	r.stage = ready
	pool := r.service.Pool
	l := c.ready[pool]
	if l == nil {
		l = &lanes{
			classless: c.options.Queue == queue.Fifo,
			urgent:    queue.New(c.options.Queue), other: queue.New(c.options.Queue),
		}
		c.ready[pool] = l
	}
	t := r.shard.task(r)
	l.of(r.service.Class).Push(queue.Item{
		ID: r.call.ID(), Class: r.service.Class, Attained: t.attained, MessageTime: t.began, ReadyTime: r.readied,
	})
	c.dirty[pool] = true
}

// unqueue takes a request out of its queue, if it waits in one.
func (c *Core) unqueue(r *request) {
	if l := c.ready[r.service.Pool]; l != nil {
		l.of(r.service.Class).Remove(r.call.ID())
	}
}

// schedule dispatches ready calls while endpoints have room.
func (c *Core) schedule(now time.Time) {
	for len(c.dirty) > 0 {
		for _, pool := range slices.Sorted(maps.Keys(c.dirty)) {
			delete(c.dirty, pool)
			if l := c.ready[pool]; l != nil {
				c.drainQueue(now, l.urgent)
				c.drainQueue(now, l.other)
			}
		}
	}
}

func (c *Core) drainQueue(now time.Time, q *queue.Queue) {
	for {
		i, ok := q.Peek()
		if !ok {
			return
		}
		r := c.requests[i.ID]
		at, ok := c.place(now, r, "")
		if !ok {
			return
		}
		q.Remove(i.ID)
		c.retries.AddCall()
		if r.operation == nil {
			c.demand[place.ModelName(r.service)]++
			c.hedger.AddCall()
		}
		c.launch(now, r, at)
	}
}

const (
	// scanned is the largest pool of which all endpoints are considered.
	scanned = 32
	// sampled is how many endpoints of a larger pool are drawn.
	sampled = 24
)

// site is where an attempt goes.
type site struct {
	endpoint string
	// missing is the part of the prompt that the endpoint must compute, in tokens.
	missing int
	// cost is the work before the first token, in prompt tokens.
	cost int
	// source is the endpoint to copy the conversation's cache from; "" copies nothing.
	source string
	// saved is how many tokens the copy saves.
	saved int
}

// place chooses an endpoint with room, other than not.
func (c *Core) place(now time.Time, r *request, not string) (site, bool) {
	names := c.candidates(r)
	choices := make([]route.Candidate, 0, len(names))
	holder, held := c.holder(r)
	for _, name := range names {
		if name == not || !c.admits(now, r, name) || !c.loaded(r, name) {
			continue
		}
		o := c.choice(now, r, name)
		o.RemoteTokens, o.CopyCost = held, c.copyCost(r, held-o.CachedTokens)
		choices = append(choices, o)
	}
	n := route.Call{
		Program: r.call.QualifiedProgram(), Agent: r.call.Agent, Pool: r.service.Pool,
		PromptTokens: r.prompt(), OutputTokens: r.output(), CacheWeight: c.options.CacheWeight,
	}
	i := c.router.Pick(n, choices)
	if i < 0 {
		return site{}, false
	}
	o := choices[i]
	at := site{endpoint: o.Name, missing: route.PrefillTokens(n, o)}
	if route.ShouldCopy(n, o) {
		at.source, at.saved = holder, held-o.CachedTokens
	}
	at.cost = o.PendingTokens + at.missing + (o.Calls+1)*route.CallTokens
	return at, true
}

// candidates returns the endpoints worth a look: all of a small pool; of a
// large one those that hold the conversation and a seeded sample.
func (c *Core) candidates(r *request) []string {
	names := c.pools[r.service.Pool]
	if len(names) <= scanned {
		return names
	}
	some := c.index.Holders(r.call.QueueName())
	for range sampled {
		some = append(some, names[c.random.IntN(len(names))])
	}
	return some
}

// admits tells whether the endpoint may get the request now.
func (c *Core) admits(now time.Time, r *request, name string) bool {
	e := c.config.Endpoints[name]
	if e == nil || c.leaving[name] || !c.loads.Available(now, name) || c.judge.Ejected(now, name) {
		return false
	}
	if e.Slots == 0 {
		return true
	}
	slots := max(1, int(float64(e.Slots)*c.judge.Share(now, name)))
	if r.service.Class == 0 && c.options.Queue != queue.Fifo {
		// The engine gives its next free slot to the most urgent call.
		slots += 1 + slots/urgentPart
	}
	return c.loads.EstimateCalls(now, name) < slots
}

// loaded tells whether the endpoint has the call's model, or does not say what
// it has.
func (c *Core) loaded(r *request, name string) bool {
	if r.operation != nil || r.service.Model == "" {
		return true
	}
	models := c.loads.Models(name)
	return len(models) == 0 || slices.Contains(models, place.ModelName(r.service))
}

// urgentPart is which part of an endpoint's slots class 0 may be sent beyond them.
const urgentPart = 4

func (c *Core) choice(now time.Time, r *request, name string) route.Candidate {
	e := c.config.Endpoints[name]
	cached := c.index.Tokens(r.call.QueueName(), name)
	if cached == 0 && c.index.HasService(r.call.Service, name) {
		cached = len(r.service.Prompt) / charsPerToken
	}
	return route.Candidate{
		Name: name, Calls: c.loads.EstimateCalls(now, name), Slots: e.Slots,
		PendingTokens: c.loads.EstimatePending(name), CachedTokens: cached,
	}
}

// remember notes what an endpoint has cached after an answer, and releases
// the copies that the conversation left elsewhere.
func (c *Core) remember(now time.Time, f *flight, u answer.Usage) {
	r := f.request
	if r.operation != nil {
		return
	}
	conversation := r.call.QueueName()
	for _, name := range c.index.Holders(conversation) {
		if name == f.endpoint {
			continue
		}
		c.index.RemovePrefix(conversation, name)
		if e := c.config.Endpoints[name]; e != nil && !c.options.KeepMemory {
			c.do(Release{
				Endpoint: name, Target: e, Customer: r.call.Customer, Program: r.call.Program,
				Agents: []string{r.call.Agent}, Epoch: r.shard.epoch,
			})
		}
	}
	c.index.SetPrefix(now, conversation, f.endpoint, u.Prompt+u.Output)
	c.index.RecordService(now, r.call.Service, f.endpoint)
}

func (c *Core) first(pool string) *pace.Estimator { return learned(c.firsts, pool) }

func (c *Core) whole(pool string) *pace.Estimator { return learned(c.wholes, pool) }

func learned(m map[string]*pace.Estimator, pool string) *pace.Estimator {
	p := m[pool]
	if p == nil {
		p = &pace.Estimator{}
		m[pool] = p
	}
	return p
}
