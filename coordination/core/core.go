// Package core (coordination layer) schedules the calls of the programs that a
// node owns. It turns events into actions and does no input or output itself.
package core

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/eject"
	"github.com/cowslipstage/cowslipstage/coordination/hedge"
	"github.com/cowslipstage/cowslipstage/coordination/pace"
	"github.com/cowslipstage/cowslipstage/coordination/queue"
	"github.com/cowslipstage/cowslipstage/coordination/retry"
	"github.com/cowslipstage/cowslipstage/coordination/route"
	"github.com/cowslipstage/cowslipstage/state/cache"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/state/load"
)

// Options configure the decisions of the core.
type Options struct {
	// Shards is the fixed number of shards of the deployment.
	Shards int
	Queue  queue.Policy
	Route  route.Policy
	// Hedge sends a second attempt of model calls whose first token is late.
	Hedge bool
	// CopyCache copies the cache of a conversation between engines.
	CopyCache bool
	// KeepMemory leaves the memory of ended programs to the engines' own eviction.
	// It serves comparisons with schedulers that release nothing.
	KeepMemory bool
	// CacheWeight is the weight of wasted cache against latency, from 0 to 1.
	CacheWeight float64
	// AnswerRetention is how long the answers of an ended program can be fetched.
	// KeyRetention is how long the keys of its calls that are not repeatable are
	// remembered. 0 selects the default.
	AnswerRetention time.Duration
	KeyRetention    time.Duration
	// KeptBytes is about the memory that all programs may take; 0 for any. Beyond it the answers of those
	// that ended first expire early, and if that does not suffice new programs are refused.
	KeptBytes int64
	// Seed initializes the random choices.
	Seed uint64
}

// Core is the scheduling state of one node. It is not safe for concurrent use.
type Core struct {
	options Options
	config  *config.Config
	// pools holds the sorted endpoint names of each pool.
	pools  map[string][]string
	shards map[int]*shard
	// leaseEnd is the time until which this node's lease is certainly valid. After
	// it, a journal write must prove before every dispatch that the shard is still
	// owned.
	leaseEnd time.Time
	// leaseTerm counts the lapsed leases. A lease granted anew does not prove that
	// the shards owned under the previous one are still owned.
	leaseTerm uint64
	// requests holds every call without a final answer, by id.
	requests map[string]*request
	// routes holds the request that each caller waits for.
	routes map[Route]*request
	// agentQueues holds the requests of each agent in the order of execution.
	agentQueues map[string][]*request
	// refusals holds the recent refusals by caller. A delayed duplicate of a
	// refused call must not run.
	refusals map[Route]refusal
	// refusalOrder holds the callers of refusals, oldest first.
	refusalOrder []Route
	// attempts holds every attempt that was sent and has not ended, by id.
	attempts map[uint64]*attempt
	// pendingAppends holds the journal appends that are not confirmed, by reference.
	pendingAppends map[uint64]pendingAppend
	// inquiries holds the unanswered inquiries to endpoints, by id.
	inquiries map[uint64]inquiry
	// poolQueues holds the calls that wait for an endpoint, by pool.
	poolQueues map[string]*poolQueue
	// dirty marks the pools in which a waiting call may have become dispatchable.
	dirty      map[string]bool
	router     *route.Router
	random     *rand.Rand
	loads      *load.Tracker
	cacheIndex *cache.Index
	outliers   *eject.Detector
	hedger     *hedge.Hedger
	retries    *retry.Budget
	// firstTokenTimes estimates the time to the first token per prompt token, by
	// pool. callTimes estimates how long a call occupies its slot, by pool.
	firstTokenTimes map[string]*pace.Estimator
	callTimes       map[string]*pace.Estimator
	// copyTimes estimates the time to copy a cached token between engines, by pool.
	copyTimes map[string]*pace.Estimator
	// orders holds the pending order of each engine. modelDemand counts the
	// dispatches of each model, decayed with a half-life of a minute.
	orders           map[string]pendingOrder
	modelDemand      map[string]float64
	leavingEndpoints map[string]bool
	lastID           uint64
	draining         bool
	// kept is about the memory that the programs take, as of the last cleanup and with those opened since.
	kept int64
	// madeRoom is set once room has been made since the last cleanup.
	madeRoom bool
	// lastCleanup is when cleanUp last ran.
	lastCleanup time.Time
	actions     []Action
}

// The default retention times of ended programs.
const (
	defaultAnswerRetention = time.Hour
	defaultKeyRetention    = 24 * time.Hour
)

// New returns a core that owns no shard.
func New(o Options) *Core {
	o.AnswerRetention, o.KeyRetention = cmp.Or(o.AnswerRetention, defaultAnswerRetention), cmp.Or(o.KeyRetention, defaultKeyRetention)
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	return &Core{
		options:          o,
		config:           config.New(),
		pools:            map[string][]string{},
		shards:           map[int]*shard{},
		requests:         map[string]*request{},
		routes:           map[Route]*request{},
		agentQueues:      map[string][]*request{},
		refusals:         map[Route]refusal{},
		attempts:         map[uint64]*attempt{},
		pendingAppends:   map[uint64]pendingAppend{},
		inquiries:        map[uint64]inquiry{},
		poolQueues:       map[string]*poolQueue{},
		dirty:            map[string]bool{},
		router:           route.New(o.Route, random),
		random:           random,
		loads:            load.New(),
		cacheIndex:       cache.New(),
		outliers:         eject.New(),
		hedger:           hedge.New(hedge.ModelCalls(o.Hedge)),
		retries:          retry.New(time.Time{}),
		firstTokenTimes:  map[string]*pace.Estimator{},
		callTimes:        map[string]*pace.Estimator{},
		copyTimes:        map[string]*pace.Estimator{},
		orders:           map[string]pendingOrder{},
		modelDemand:      map[string]float64{},
		leavingEndpoints: map[string]bool{},
	}
}

// Step applies one event and returns the resulting actions, in order.
func (c *Core) Step(now time.Time, event Event) []Action {
	c.actions = nil
	c.apply(now, event)
	c.schedule(now)
	return c.actions
}

func (c *Core) apply(now time.Time, event Event) {
	switch e := event.(type) {
	case ShardAcquired:
		c.acquire(now, e)
	case ShardLost:
		c.shardLost(e)
	case LeaseRenewed:
		c.renew(now, e.Until)
	case Submitted:
		c.submit(now, e)
	case AnswerRequested:
		c.requestAnswer(e)
	case CallerLeft:
		c.detachCaller(now, e)
	case CloseRequested:
		c.closeProgram(now, e)
	case Committed:
		c.appendCommitted(now, e)
	case AttemptStarted, CacheCopied, Piece, AttemptFinished, AttemptFailed:
		c.applyAttempt(now, event)
	case OrderEnded:
		c.orderEnded(now, e)
	case InquiryAnswered:
		c.inquiryAnswered(now, e)
	case LoadReported, PrefixCached, ProgramsListed, Released, EndpointsLeaving, PeerLoadReported:
		c.applyEndpoint(now, event)
	case Configured:
		c.configure(e)
	case Ticked:
		c.tick(now)
	case DrainRequested:
		c.draining = true
		for _, s := range c.sortedShards() {
			c.startHandOver(now, s)
		}
	case HandOverRequested:
		if s := c.shards[e.Shard]; s != nil {
			c.startHandOver(now, s)
		}
	}
}

func (c *Core) applyAttempt(now time.Time, event Event) {
	switch e := event.(type) {
	case CacheCopied:
		c.cacheCopied(e)
	case Piece:
		c.receiveText(now, e)
	case AttemptFinished:
		c.attemptFinished(now, e)
	case AttemptFailed:
		c.attemptFailed(now, e)
	}
}

func (c *Core) applyEndpoint(now time.Time, event Event) {
	switch e := event.(type) {
	case LoadReported:
		c.loads.UpdateReport(e.Endpoint, e.Report)
		c.markDirty(e.Endpoint)
	case PrefixCached:
		conversation := e.Customer + "/" + e.Program + "/" + e.Agent
		c.cacheIndex.ApplyEvent(now, conversation, e.Endpoint, e.Serial, e.Tokens)
	case ProgramsListed:
		c.releaseUnknown(e)
	case Released:
		c.releaseConfirmed(e)
	case EndpointsLeaving:
		c.setLeaving(e)
	case PeerLoadReported:
		c.loads.UpdateRemote(e.Node, e.MeasuredAt, e.InFlight)
	}
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// renew extends the lease and begins a new lease term if the old lease had lapsed.
func (c *Core) renew(now, until time.Time) {
	if !c.leaseEnd.IsZero() && !now.Before(c.leaseEnd) {
		c.leaseTerm++
	}
	c.leaseEnd = until
}

func (c *Core) nextID() uint64 {
	c.lastID++
	return c.lastID
}

func (c *Core) configure(e Configured) {
	if e.Config.Revision <= c.config.Revision {
		return
	}
	c.config = e.Config
	c.pools = map[string][]string{}
	for name, p := range c.config.Endpoints {
		c.pools[p.Pool] = append(c.pools[p.Pool], name)
	}
	for pool, names := range c.pools {
		slices.Sort(names)
		c.dirty[pool] = true
	}
}

func (c *Core) setLeaving(e EndpointsLeaving) {
	c.leavingEndpoints = make(map[string]bool, len(e.Leaving))
	for _, name := range e.Leaving {
		c.leavingEndpoints[name] = true
	}
}

// markDirty schedules the endpoint's pool for dispatching.
func (c *Core) markDirty(endpoint string) {
	if e := c.config.Endpoints[endpoint]; e != nil {
		c.dirty[e.Pool] = true
	}
}

// sortedShards returns the owned shards by number, which makes runs reproducible.
func (c *Core) sortedShards() []*shard {
	all := make([]*shard, 0, len(c.shards))
	for _, s := range c.shards {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *shard) int { return a.number - b.number })
	return all
}

// Owned returns the shards that this node owns, with their epochs.
func (c *Core) Owned() map[int]uint64 {
	owned := make(map[int]uint64, len(c.shards))
	for n, s := range c.shards {
		owned[n] = s.epoch
	}
	return owned
}

// InFlight returns the number of this node's running attempts, by endpoint.
func (c *Core) InFlight() map[string]int {
	sent := map[string]int{}
	for _, a := range c.attempts {
		sent[a.endpoint]++
	}
	return sent
}

// Config returns the current configuration.
func (c *Core) Config() *config.Config { return c.config }
