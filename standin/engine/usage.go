package engine

import "time"

// Usage is the cache memory held over time. A token-second is one token held
// for one second of the clock.
type Usage struct {
	// LiveTokenSeconds is token-seconds held by live programs and shared prompts.
	LiveTokenSeconds float64 `json:"live"`
	// WastedTokenSeconds is token-seconds held by ended programs only.
	WastedTokenSeconds float64 `json:"wasted"`
	// CacheTokenSeconds is token-seconds of the whole cache.
	CacheTokenSeconds float64 `json:"memory"`
	// BusySeconds is seconds in which the engine worked, Batch the same times its runs.
	BusySeconds   float64 `json:"busy"`
	StreamSeconds float64 `json:"batch"`
	// DelaySeconds is seconds by which the engine fell behind its own costs, because
	// the machine had no time for it.
	DelaySeconds float64 `json:"late"`
}

// Sample is the cache memory held at one time.
type Sample struct {
	Time         time.Time `json:"time"`
	LiveTokens   int       `json:"live"`
	WastedTokens int       `json:"wasted"`
}

// usageMeter integrates what is held.
type usageMeter struct {
	// liveBlocks and wasted are the blocks held now.
	liveBlocks   int
	wastedBlocks int
	countedAt    time.Time
	total        Usage
}

// countBlock counts a block into, or with -1 out of, what is held now. A block
// without owners counts only when it is shared.
func (c *cache) countBlock(b *block, sign int) {
	switch {
	case b.shared && len(b.owners) > 0, b.liveOwners > 0:
		c.meter.liveBlocks += sign
	case len(b.owners) > 0:
		c.meter.wastedBlocks += sign
	}
}

// integrate brings the integrals up to now; it is called before every change.
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

// Usage returns the cache memory held over time since the engine's start.
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

// EndPrograms tells the engine that programs have ended, for its account of waste.
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
