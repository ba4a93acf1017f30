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

// charsPerToken estimates the prompt length until the endpoint has counted it.
const charsPerToken = 4

// messageTokens is the overhead of each message in the prompt, in tokens.
const messageTokens = 8

// defaultOutput bounds the output of services that declare no bound, in tokens.
const defaultOutput = 512

// promptTokens estimates the length of the whole prompt.
func (r *request) promptTokens() int {
	if r.operation != nil {
		return 1
	}
	return r.program.Tokens(r.call.Agent) + r.uncountedBytes()/charsPerToken + r.frameTokens()
}

// maxPromptTokens returns the upper bound of the prompt length. A token is at least
// one byte of text, and the endpoint has counted the conversation so far.
func (r *request) maxPromptTokens() int {
	return r.program.Tokens(r.call.Agent) + r.uncountedBytes() + r.frameTokens()
}

// uncountedBytes returns the length of the text that the endpoint has not counted yet.
func (r *request) uncountedBytes() int {
	n := len(r.service.Prompt) + len(r.text)
	for _, m := range r.call.Messages {
		n += len(m.Content)
	}
	return n
}

// frameTokens returns the overhead of the messages in the prompt.
func (r *request) frameTokens() int { return messageTokens * (len(r.call.Messages) + 2) }

// maxOutputTokens returns the most tokens that the call may generate.
func (r *request) maxOutputTokens() int {
	bound := r.service.Output
	if bound == 0 {
		bound = defaultOutput
	}
	if m := r.call.MaxTokens; m > 0 && m < bound {
		return m
	}
	return bound
}

// poolQueue holds the calls that wait for one pool. The most urgent class has a
// queue of its own, since only that class may use the reserved slots.
type poolQueue struct {
	// classless is set for the Fifo policy, which ignores classes.
	classless bool
	urgent    *queue.Queue
	other     *queue.Queue
}

func (q *poolQueue) len() int {
	if q == nil {
		return 0
	}
	return q.urgent.Len() + q.other.Len()
}

// forClass returns the queue of a class.
func (q *poolQueue) forClass(class int) *queue.Queue {
	if class == 0 && !q.classless {
		return q.urgent
	}
	return q.other
}

// enqueue makes a request wait for an endpoint.
func (c *Core) enqueue(r *request) {
	r.stage = ready
	pool := r.service.Pool
	q := c.poolQueues[pool]
	if q == nil {
		q = &poolQueue{
			classless: c.options.Queue == queue.Fifo,
			urgent:    queue.New(c.options.Queue), other: queue.New(c.options.Queue),
		}
		c.poolQueues[pool] = q
	}
	t := r.shard.task(r)
	q.forClass(r.service.Class).Push(queue.Item{
		ID: r.call.ID(), Class: r.service.Class, Attained: t.attained, MessageTime: t.startedAt, ReadyTime: r.readyAt,
	})
	c.dirty[pool] = true
}

// unqueue removes a request from its pool's queue, if it is there.
func (c *Core) unqueue(r *request) {
	if q := c.poolQueues[r.service.Pool]; q != nil {
		q.forClass(r.service.Class).Remove(r.call.ID())
	}
}

// schedule dispatches waiting calls while the endpoints have free slots.
func (c *Core) schedule(now time.Time) {
	for len(c.dirty) > 0 {
		for _, pool := range slices.Sorted(maps.Keys(c.dirty)) {
			delete(c.dirty, pool)
			if q := c.poolQueues[pool]; q != nil {
				c.dispatchQueue(now, q.urgent)
				c.dispatchQueue(now, q.other)
			}
		}
	}
}

func (c *Core) dispatchQueue(now time.Time, q *queue.Queue) {
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
			c.modelDemand[place.ModelName(r.service)]++
			c.hedger.AddCall()
		}
		c.startAttempt(now, r, at)
	}
}

const (
	// fullScanLimit is the largest pool of which all endpoints are considered.
	fullScanLimit = 32
	// sampleSize is the number of random endpoints considered in a larger pool.
	sampleSize = 24
)

// placement is the endpoint chosen for an attempt, with the estimated costs.
type placement struct {
	endpoint string
	// prefillTokens is the number of prompt tokens that the endpoint must compute.
	prefillTokens int
	// cost is the estimated work before the first token, in prompt tokens.
	cost int
	// source is the endpoint from which the conversation's cache is copied; ""
	// means no copy.
	source string
	// savedTokens is the number of tokens that the copy saves computing.
	savedTokens int
}

// place chooses an endpoint with a free slot, but never the excluded one.
func (c *Core) place(now time.Time, r *request, excluded string) (placement, bool) {
	names := c.candidateNames(r)
	candidates := make([]route.Candidate, 0, len(names))
	holder, held := c.cacheHolder(r)
	for _, name := range names {
		if name == excluded || !c.canTake(now, r, name) || !c.hasModel(r, name) {
			continue
		}
		o := c.candidate(now, r, name)
		o.RemoteTokens, o.CopyCost = held, c.copyCost(r, held-o.CachedTokens)
		candidates = append(candidates, o)
	}
	n := route.Call{
		Program: r.call.QualifiedProgram(), Agent: r.call.Agent, Pool: r.service.Pool,
		PromptTokens: r.promptTokens(), OutputTokens: r.maxOutputTokens(), CacheWeight: c.options.CacheWeight,
	}
	i := c.router.Pick(n, candidates)
	if i < 0 {
		return placement{}, false
	}
	o := candidates[i]
	at := placement{endpoint: o.Name, prefillTokens: route.PrefillTokens(n, o)}
	if route.ShouldCopy(n, o) {
		at.source, at.savedTokens = holder, held-o.CachedTokens
	}
	at.cost = o.PendingTokens + at.prefillTokens + (o.Calls+1)*route.CallTokens
	return at, true
}

// candidateNames returns the endpoints to consider: all of a small pool. Of a
// large pool, the endpoints that cache the conversation and a random sample.
func (c *Core) candidateNames(r *request) []string {
	names := c.pools[r.service.Pool]
	if len(names) <= fullScanLimit {
		return names
	}
	some := c.cacheIndex.Holders(r.call.QueueName())
	for range sampleSize {
		some = append(some, names[c.random.IntN(len(names))])
	}
	return some
}

// canTake reports whether the endpoint may be sent the request now.
func (c *Core) canTake(now time.Time, r *request, name string) bool {
	e := c.config.Endpoints[name]
	if e == nil || c.leavingEndpoints[name] || !c.loads.Available(now, name) || c.outliers.Ejected(now, name) {
		return false
	}
	if e.Slots == 0 {
		return true
	}
	slots := max(1, int(float64(e.Slots)*c.outliers.Share(now, name)))
	if r.service.Class == 0 && c.options.Queue != queue.Fifo {
		// The engine gives its next free slot to the most urgent call.
		slots += 1 + slots/urgentExtraDivisor
	}
	return c.loads.EstimateCalls(now, name) < slots
}

// hasModel reports whether the endpoint has loaded the call's model. An endpoint
// that reports no models is assumed to have it.
func (c *Core) hasModel(r *request, name string) bool {
	if r.operation != nil || r.service.Model == "" {
		return true
	}
	models := c.loads.Models(name)
	return len(models) == 0 || slices.Contains(models, place.ModelName(r.service))
}

// urgentExtraDivisor defines how many calls class 0 may send beyond an endpoint's
// slots: one plus the slots divided by it.
const urgentExtraDivisor = 4

func (c *Core) candidate(now time.Time, r *request, name string) route.Candidate {
	e := c.config.Endpoints[name]
	cached := c.cacheIndex.Tokens(r.call.QueueName(), name)
	if cached == 0 && c.cacheIndex.HasService(r.call.Service, name) {
		cached = len(r.service.Prompt) / charsPerToken
	}
	return route.Candidate{
		Name: name, Calls: c.loads.EstimateCalls(now, name), Slots: e.Slots,
		PendingTokens: c.loads.EstimatePending(name), CachedTokens: cached,
	}
}

// noteCached records what an endpoint has cached after an answer, and releases the
// conversation's copies at other endpoints.
func (c *Core) noteCached(now time.Time, a *attempt, u answer.Usage) {
	r := a.request
	if r.operation != nil {
		return
	}
	conversation := r.call.QueueName()
	for _, name := range c.cacheIndex.Holders(conversation) {
		if name == a.endpoint {
			continue
		}
		c.cacheIndex.RemovePrefix(conversation, name)
		if e := c.config.Endpoints[name]; e != nil && !c.options.KeepMemory {
			c.emit(Release{
				Endpoint: name, Target: e, Customer: r.call.Customer, Program: r.call.Program,
				Agents: []string{r.call.Agent}, Epoch: r.shard.epoch,
			})
		}
	}
	c.cacheIndex.SetPrefix(now, conversation, a.endpoint, u.Prompt+u.Output)
	c.cacheIndex.RecordService(now, r.call.Service, a.endpoint)
}

func (c *Core) firstTokenTime(pool string) *pace.Estimator { return estimator(c.firstTokenTimes, pool) }

func (c *Core) callTime(pool string) *pace.Estimator { return estimator(c.callTimes, pool) }

func estimator(m map[string]*pace.Estimator, pool string) *pace.Estimator {
	p := m[pool]
	if p == nil {
		p = &pace.Estimator{}
		m[pool] = p
	}
	return p
}
