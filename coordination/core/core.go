// Package core (coordination layer) decides what a node does about the programs
// it owns: it takes events and returns actions, and does no input or output.
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

// Options are the settings that the core decides by.
type Options struct {
	// Shards is the fixed number of shards of the deployment.
	Shards int
	Queue  queue.Policy
	Route  route.Policy
	// Hedge lets late model calls be sent to a second endpoint.
	Hedge bool
	// CopyCache lets the cache of a conversation be copied between engines.
	CopyCache bool
	// KeepMemory leaves the memory of ended programs to the engines. It is for
	// comparisons with schedulers that do so.
	KeepMemory bool
	// CacheWeight is the operator's weight of wasted cache against latency, from 0 to 1.
	CacheWeight float64
	// AnswerRetention is how long the answers of an ended program can be fetched; Keys
	// is how long the keys of its calls with an effect stay known. 0 means the
	// standards.
	AnswerRetention time.Duration
	KeyRetention    time.Duration
	// Seed fixes the random choices.
	Seed uint64
}

// Core is the control state of one node. One goroutine owns it.
type Core struct {
	options Options
	config  *config.Config
	// pools holds the names of each pool's endpoints, sorted.
	pools  map[string][]string
	shards map[int]*shard
	// lease is until when this node's lease surely stands; past it, every
	// dispatch first proves by a journal write that the shard is still owned.
	lease time.Time
	// term counts the leases that lapsed: one that was granted anew says
	// nothing of the shards that were owned under the last.
	term uint64
	// requests holds every call that has no final answer yet, by id.
	requests map[string]*request
	// routes holds which request each waiting caller waits for.
	routes map[Route]*request
	// lines holds the requests of each agent, the next to run first.
	lines map[string][]*request
	// refused holds the refusals that callers were told lately: the same
	// caller's late duplicate must not run after all.
	refused map[Route]refusal
	// flights holds every dispatch without an end, by flight id.
	flights map[uint64]*flight
	// commits holds what waits for the journal, by reference.
	commits map[uint64]commit
	// inquiries holds the questions to endpoints without an answer, by number.
	inquiries map[uint64]inquiry
	// ready holds the calls that wait for an endpoint, by pool.
	ready map[string]*lanes
	// dirty marks the pools that may be able to dispatch.
	dirty   map[string]bool
	router  *route.Router
	random  *rand.Rand
	loads   *load.Tracker
	index   *cache.Index
	judge   *eject.Detector
	hedger  *hedge.Hedger
	retries *retry.Budget
	// firsts learns the time to the first token per prompt token, by pool;
	// wholes the time that a call holds its slot, by pool.
	firsts map[string]*pace.Estimator
	wholes map[string]*pace.Estimator
	// copies learns the time to copy a cached token between engines, by pool.
	copies map[string]*pace.Estimator
	// orders holds the order under way of each engine; demand the dispatches
	// of each model, with a half-life of a minute.
	orders  map[string]order
	demand  map[string]float64
	leaving map[string]bool
	serial  uint64
	drained bool
	// cleaned is when the slow housekeeping last ran.
	cleaned time.Time
	actions []Action
}

// The standards for how long ended programs are remembered.
const (
	answerLife = time.Hour
	keyLife    = 24 * time.Hour
)

// New returns a core that owns nothing.
func New(o Options) *Core {
	o.AnswerRetention, o.KeyRetention = cmp.Or(o.AnswerRetention, answerLife), cmp.Or(o.KeyRetention, keyLife)
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	return &Core{
		options:   o,
		config:    config.New(),
		pools:     map[string][]string{},
		shards:    map[int]*shard{},
		requests:  map[string]*request{},
		routes:    map[Route]*request{},
		lines:     map[string][]*request{},
		refused:   map[Route]refusal{},
		flights:   map[uint64]*flight{},
		commits:   map[uint64]commit{},
		inquiries: map[uint64]inquiry{},
		ready:     map[string]*lanes{},
		dirty:     map[string]bool{},
		router:    route.New(o.Route, random),
		random:    random,
		loads:     load.New(),
		index:     cache.New(),
		judge:     eject.New(),
		hedger:    hedge.New(o.Hedge),
		retries:   retry.New(time.Time{}),
		firsts:    map[string]*pace.Estimator{},
		wholes:    map[string]*pace.Estimator{},
		copies:    map[string]*pace.Estimator{},
		orders:    map[string]order{},
		demand:    map[string]float64{},
		leaving:   map[string]bool{},
	}
}

// Step applies one event and returns what is to be done, in order.
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
		c.lose(e)
	case LeaseRenewed:
		c.renew(now, e.Until)
	case Submitted:
		c.submit(now, e)
	case AnswerRequested:
		c.ask(e)
	case CallerLeft:
		c.leave(now, e)
	case CloseRequested:
		c.closeProgram(now, e)
	case Committed:
		c.committed(now, e)
	case AttemptStarted, CacheCopied, Piece, AttemptFinished, AttemptFailed:
		c.applyFlight(now, event)
	case OrderEnded:
		c.orderEnded(now, e)
	case InquiryAnswered:
		c.told(now, e)
	case LoadReported, PrefixCached, ProgramsListed, Released, EndpointsLeaving, PeerLoadReported:
		c.applyEndpoint(now, event)
	case Configured:
		c.configure(e)
	case Ticked:
		c.tick(now)
	case DrainRequested:
		c.drained = true
		for _, s := range c.ordered() {
			c.surrender(now, s)
		}
	case HandOverRequested:
		if s := c.shards[e.Shard]; s != nil {
			c.surrender(now, s)
		}
	}
}

func (c *Core) applyFlight(now time.Time, event Event) {
	switch e := event.(type) {
	case CacheCopied:
		c.copied(e)
	case Piece:
		c.piece(now, e)
	case AttemptFinished:
		c.finished(now, e)
	case AttemptFailed:
		c.failed(now, e)
	}
}

func (c *Core) applyEndpoint(now time.Time, event Event) {
	switch e := event.(type) {
	case LoadReported:
		c.loads.UpdateReport(e.Endpoint, e.Report)
		c.touchPool(e.Endpoint)
	case PrefixCached:
		conversation := e.Customer + "/" + e.Program + "/" + e.Agent
		c.index.ApplyEvent(now, conversation, e.Endpoint, e.Serial, e.Tokens)
	case ProgramsListed:
		c.held(e)
	case Released:
		c.released(e)
	case EndpointsLeaving:
		c.list(e)
	case PeerLoadReported:
		c.loads.UpdateRemote(e.Node, e.MeasuredAt, e.InFlight)
	}
}

func (c *Core) do(a Action) { c.actions = append(c.actions, a) }

func (c *Core) renew(now, until time.Time) {
	if !c.lease.IsZero() && !now.Before(c.lease) {
		c.term++
	}
	c.lease = until
}

func (c *Core) next() uint64 {
	c.serial++
	return c.serial
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

func (c *Core) list(e EndpointsLeaving) {
	c.leaving = make(map[string]bool, len(e.Leaving))
	for _, name := range e.Leaving {
		c.leaving[name] = true
	}
}

// touchPool lets the endpoint's pool be looked at for dispatches.
func (c *Core) touchPool(endpoint string) {
	if e := c.config.Endpoints[endpoint]; e != nil {
		c.dirty[e.Pool] = true
	}
}

// ordered returns the owned shards by number, so that runs can be repeated.
func (c *Core) ordered() []*shard {
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

// InFlight returns this node's dispatches in flight, by endpoint.
func (c *Core) InFlight() map[string]int {
	sent := map[string]int{}
	for _, f := range c.flights {
		sent[f.endpoint]++
	}
	return sent
}

// Config returns the configuration in force.
func (c *Core) Config() *config.Config { return c.config }
