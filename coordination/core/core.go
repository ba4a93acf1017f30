// Package core (coordination layer) decides what a node does about the programs
// it owns: it takes events and returns actions, and does no input or output.
package core

import (
	"math/rand/v2"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/queue"
	"github.com/cowslipstage/cowslipstage/coordination/route"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/state/load"
)

// Options are the settings that the core decides by.
type Options struct {
	// Shards is the fixed number of shards of the deployment.
	Shards int
	Queue  queue.Policy
	Route  route.Policy
	// Seed fixes the random choices.
	Seed uint64
}

// Core is the control state of one node. One goroutine owns it.
type Core struct {
	options Options
	config  *config.Config
	shards  map[int]*shard
	// requests holds every call that has no final answer yet, by id.
	requests map[string]*request
	// flights holds every dispatch without an end, by flight id.
	flights map[uint64]*flight
	// commits holds what waits for the journal, by reference.
	commits map[uint64]commit
	ready   *queue.Queue
	router  *route.Router
	loads   *load.Board
	leaving map[string]bool
	serial  uint64
	drained bool
	actions []Action
}

// New returns a core that owns nothing.
func New(o Options) *Core {
	return &Core{
		options:  o,
		config:   config.New(),
		shards:   map[int]*shard{},
		requests: map[string]*request{},
		flights:  map[uint64]*flight{},
		commits:  map[uint64]commit{},
		ready:    queue.New(o.Queue),
		router:   route.New(o.Route, rand.New(rand.NewPCG(o.Seed, o.Seed))),
		loads:    load.New(),
		leaving:  map[string]bool{},
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
	case Acquired:
		c.acquire(now, e)
	case Lost:
		c.lose(e)
	case Submitted:
		c.submit(now, e)
	case Asked:
		c.ask(now, e)
	case Left:
		c.leave(e)
	case Closed:
		c.closeProgram(now, e)
	case Committed:
		c.committed(now, e)
	case Piece:
		c.piece(e)
	case Finished:
		c.finished(now, e)
	case Failed:
		c.failed(now, e)
	case Reported:
		c.loads.Report(e.Endpoint, e.Report)
	case Configured:
		c.configure(e)
	case Listed:
		c.list(e)
	case Released:
		c.released(now, e)
	case Ticked:
		c.tick(now)
	case Drained:
		c.drained = true
		c.yieldIdle()
	}
}

func (c *Core) do(a Action) { c.actions = append(c.actions, a) }

func (c *Core) next() uint64 {
	c.serial++
	return c.serial
}

func (c *Core) configure(e Configured) {
	if e.Config.Revision > c.config.Revision {
		c.config = e.Config
	}
}

func (c *Core) list(e Listed) {
	c.leaving = make(map[string]bool, len(e.Leaving))
	for _, name := range e.Leaving {
		c.leaving[name] = true
	}
}

// Owned returns the shards that this node owns, with their epochs.
func (c *Core) Owned() map[int]uint64 {
	owned := make(map[int]uint64, len(c.shards))
	for n, s := range c.shards {
		owned[n] = s.epoch
	}
	return owned
}

// Config returns the configuration in force.
func (c *Core) Config() *config.Config { return c.config }
