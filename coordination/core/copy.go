package core

// cacheHolder returns the engine of the pool that caches the most tokens of the
// call's conversation, and their number.
func (c *Core) cacheHolder(r *request) (string, int) {
	best, most := "", 0
	if r.operation != nil || !c.options.CopyCache {
		return best, most
	}
	conversation := r.call.QueueName()
	for _, name := range c.cacheIndex.Holders(conversation) {
		e := c.config.Endpoints[name]
		if e == nil || e.Pool != r.service.Pool || c.leavingEndpoints[name] {
			continue
		}
		if n := c.cacheIndex.Tokens(conversation, name); n > most || n == most && name < best {
			best, most = name, n
		}
	}
	return best, most
}

const (
	// minCopyTokens is the smallest cache difference that is worth a copy.
	minCopyTokens = 1024
	// defaultCopyCostRatio is the cost of copying a token relative to computing
	// it. It is used until both times have been observed.
	defaultCopyCostRatio = 0.25
)

// copyCost returns the cost of copying cached tokens between engines, in prompt
// tokens. It returns 0 if a copy is not worthwhile.
func (c *Core) copyCost(r *request, tokens int) int {
	if tokens < minCopyTokens {
		return 0
	}
	pool := r.service.Pool
	copying, computing := estimator(c.copyTimes, pool).Estimate(tokens), c.firstTokenTime(pool).Estimate(tokens)
	if copying == 0 || computing == 0 {
		return int(defaultCopyCostRatio * float64(tokens))
	}
	return max(1, int(float64(tokens)*float64(copying)/float64(computing)))
}

// cacheCopied updates the estimated copy time with a completed copy.
func (c *Core) cacheCopied(e CacheCopied) {
	a := c.attempts[e.Attempt]
	if a == nil || e.Err != nil {
		return
	}
	estimator(c.copyTimes, a.request.service.Pool).Observe(a.savedTokens, e.Duration)
}
