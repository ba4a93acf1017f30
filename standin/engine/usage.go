package engine

import "time"

// Usage holds totals since the start of the engine. A token-second is one token held
// in the cache for one second of the clock.
type Usage struct {
	// LiveTokenSeconds counts the tokens of live programs and shared prompts.
	LiveTokenSeconds float64 `json:"live"`
	// WastedTokenSeconds counts the tokens that only ended programs hold.
	WastedTokenSeconds float64 `json:"wasted"`
	// CacheTokenSeconds counts the capacity of the cache.
	CacheTokenSeconds float64 `json:"memory"`
	// BusySeconds is the time in which the engine computed steps, StreamSeconds the same
	// weighted by the batch size.
	BusySeconds   float64 `json:"busy"`
	StreamSeconds float64 `json:"batch"`
	// DelaySeconds is the time by which the engine fell behind its own schedule, because
	// the machine was too busy.
	DelaySeconds float64 `json:"late"`
}

// Sample is the cache memory held at one point in time.
type Sample struct {
	Time         time.Time `json:"time"`
	LiveTokens   int       `json:"live"`
	WastedTokens int       `json:"wasted"`
}

// usageMeter integrates the held blocks over time.
type usageMeter struct {
	// liveBlocks and wastedBlocks count the blocks held now.
	liveBlocks   int
	wastedBlocks int
	countedAt    time.Time
	total        Usage
}

// countBlock adds a block to the blocks held now, or removes it with sign -1. A block
// without owners does not count; a shared one with owners always counts as live.
func (c *cache) countBlock(b *block, sign int) {
	switch {
	case b.shared && len(b.owners) > 0, b.liveOwners > 0:
		c.meter.liveBlocks += sign
	case len(b.owners) > 0:
		c.meter.wastedBlocks += sign
	}
}

// integrate brings the totals up to now. It is called before every change.
func (c *cache) integrate(now time.Time) {
	u := &c.meter
	if !u.countedAt.IsZero() {
		tokenSeconds := now.Sub(u.countedAt).Seconds() * float64(c.options.BlockTokens)
		u.total.LiveTokenSeconds += float64(u.liveBlocks) * tokenSeconds
		u.total.WastedTokenSeconds += float64(u.wastedBlocks) * tokenSeconds
		u.total.CacheTokenSeconds += now.Sub(u.countedAt).Seconds() * float64(c.options.CacheTokens)
	}
	u.countedAt = now
}

// Usage returns the totals since the engine's start.
func (s *Server) Usage(now time.Time) Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.integrate(now)
	u := s.cache.meter.total
	u.BusySeconds, u.StreamSeconds, u.DelaySeconds = s.busyTime.Seconds(), s.streamTime.Seconds(), s.delayTime.Seconds()
	return u
}

// Sample returns the cache memory held now.
func (s *Server) Sample(now time.Time) Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.cache.meter
	return Sample{Time: now, LiveTokens: u.liveBlocks * s.options.BlockTokens, WastedTokens: u.wastedBlocks * s.options.BlockTokens}
}

// EndPrograms marks programs as ended, so that blocks that only they hold count as
// wasted.
func (s *Server) EndPrograms(now time.Time, programs ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range programs {
		s.cache.endProgram(now, p)
	}
}

// HeldTokens returns the tokens held for each program.
func (s *Server) HeldTokens() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cache.heldTokens()
}
