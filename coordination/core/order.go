package core

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipstage/cowslipstage/coordination/place"
	"github.com/cowslipstage/cowslipstage/state/config"
)

// pendingOrder is an order to an engine that is not confirmed.
type pendingOrder struct {
	// sentAt is when the order was sent. It is sent again after orderTimeout.
	sentAt time.Time
	pool   string
	Order
}

// orderTimeout is the time after which an unconfirmed order is sent again.
const orderTimeout = 5 * time.Minute

// orderingShard returns the shard whose owner sends an endpoint its orders. The
// shard's epoch is the fencing number of the orders.
func (c *Core) orderingShard(endpoint string) *shard {
	return c.shards[int(xxhash.Sum64String(endpoint)%uint64(c.options.Shards))]
}

// reconcileEngines sends the orders that bring the engines to the declared state.
// Each engine gets one order at a time. Each pool loads one model at a time,
// since its engines share the weight store.
func (c *Core) reconcileEngines(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(c.config.Endpoints)) {
		e := c.config.Endpoints[name]
		s := c.orderingShard(name)
		if e.Kind != "engine" || s == nil || s.handingOver || !c.loads.HasReport(name) {
			continue
		}
		if o, ok := c.orders[name]; ok && now.Sub(o.sentAt) < orderTimeout {
			continue
		}
		c.reconcileEngine(now, s, name, e)
	}
}

func (c *Core) reconcileEngine(now time.Time, s *shard, name string, e *config.Endpoint) {
	if e.Role != "" && c.loads.Role(name) != e.Role {
		c.sendOrder(now, s, name, Order{Kind: "role", Role: e.Role})
		return
	}
	plan := place.NextPlan(place.WantedModels(c.config, e.Pool, c.modelDemand), c.loads.Models(name))
	switch {
	case plan.Load != "" && !c.loading(now, e.Pool):
		c.sendOrder(now, s, name, Order{Kind: "load", Model: plan.Load})
	case plan.Unload != "":
		c.sendOrder(now, s, name, Order{Kind: "unload", Model: plan.Unload})
	}
}

// loading reports whether an engine of the pool is loading a model.
func (c *Core) loading(now time.Time, pool string) bool {
	for _, o := range c.orders {
		if o.Kind == "load" && o.pool == pool && now.Sub(o.sentAt) < orderTimeout {
			return true
		}
	}
	return false
}

func (c *Core) sendOrder(now time.Time, s *shard, name string, o Order) {
	target := c.config.Endpoints[name]
	c.orders[name] = pendingOrder{sentAt: now, pool: target.Pool, Order: o}
	o.Endpoint, o.Target, o.Epoch = name, target, s.epoch
	c.emit(o)
}

// orderEnded handles the end of an order. A later call of reconcileEngines repeats
// a failed order.
func (c *Core) orderEnded(now time.Time, e OrderEnded) {
	o, ok := c.orders[e.Endpoint]
	if !ok {
		return
	}
	delete(c.orders, e.Endpoint)
	if e.Err != nil {
		return
	}
	c.loads.ApplyOrder(e.Endpoint, o.Kind, o.Model, o.Role)
	c.markDirty(e.Endpoint)
	c.reconcileEngines(now)
}
