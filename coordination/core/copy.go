package core

// holder returns the engine of the pool that has the most of the call's
// conversation in its cache.
func (c *Core) holder(r *request) (string, int) {
	best, most := "", 0
	if r.operation != nil || !c.options.CopyCache {
		return best, most
	}
	conversation := r.call.QueueName()
	for _, name := range c.index.Holders(conversation) {
		e := c.config.Endpoints[name]
		if e == nil || e.Pool != r.service.Pool || c.leaving[name] {
			continue
		}
		if n := c.index.Tokens(conversation, name); n > most || n == most && name < best {
			best, most = name, n
		}
	}
	return best, most
}

const (
	// minCopy is the fewest tokens worth a copy.
	minCopy = 1024
	// copyPart is the cost of copying a token against computing it, until both
	// have been observed.
	copyPart = 0.25
)

// copyCost returns the cost of copying some tokens of cache, in prompt tokens;
// 0 when a copy is not worth a thought.
func (c *Core) copyCost(r *request, tokens int) int {
	if tokens < minCopy {
		return 0
	}
	pool := r.service.Pool
	copying, computing := learned(c.copies, pool).Estimate(tokens), c.first(pool).Estimate(tokens)
	if copying == 0 || computing == 0 {
		return int(copyPart * float64(tokens))
	}
	return max(1, int(float64(tokens)*float64(copying)/float64(computing)))
}

// copied learns from a copy between engines.
func (c *Core) copied(e CacheCopied) {
	f := c.flights[e.Attempt]
	if f == nil || e.Err != nil {
		return
	}
	learned(c.copies, f.request.service.Pool).Observe(f.saved, e.Duration)
}
