package engine

import "time"

// Usage is the cache memory held over time. A token-second is one token held
// for one second of the clock.
type Usage struct {
	// Live is token-seconds held by live programs and shared prompts.
	Live float64 `json:"live"`
	// Wasted is token-seconds held by ended programs only.
	Wasted float64 `json:"wasted"`
	// Memory is token-seconds of the whole cache.
	Memory float64 `json:"memory"`
	// Busy is seconds in which the engine worked, Batch the same times its runs.
	Busy  float64 `json:"busy"`
	Batch float64 `json:"batch"`
	// Late is seconds by which the engine fell behind its own costs, because
	// the machine had no time for it.
	Late float64 `json:"late"`
}

// Sample is the cache memory held at one time.
type Sample struct {
	Time   time.Time `json:"time"`
	Live   int       `json:"live"`
	Wasted int       `json:"wasted"`
}

// usage integrates what is held.
type usage struct {
	// live and wasted are the blocks held now.
	live   int
	wasted int
	since  time.Time
	total  Usage
}

// weigh counts a block into, or with -1 out of, what is held now. A block
// without owners counts only when it is shared.
func (c *cache) weigh(b *block, sign int) {
	switch {
	case b.shared && len(b.owners) > 0, b.live > 0:
		c.usage.live += sign
	case len(b.owners) > 0:
		c.usage.wasted += sign
	}
}

// count brings the integrals up to now; it is called before every change.
func (c *cache) count(now time.Time) {
	u := &c.usage
	if !u.since.IsZero() {
		seconds := now.Sub(u.since).Seconds() * float64(c.options.Block)
		u.total.Live += float64(u.live) * seconds
		u.total.Wasted += float64(u.wasted) * seconds
		u.total.Memory += now.Sub(u.since).Seconds() * float64(c.options.Memory)
	}
	u.since = now
}

// Usage returns the cache memory held over time since the engine's start.
func (s *Server) Usage(now time.Time) Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cache.count(now)
	u := s.cache.usage.total
	u.Busy, u.Batch, u.Late = s.worked.Seconds(), s.batched.Seconds(), s.late.Seconds()
	return u
}

// Sample returns the cache memory held now.
func (s *Server) Sample(now time.Time) Sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.cache.usage
	return Sample{Time: now, Live: u.live * s.options.Block, Wasted: u.wasted * s.options.Block}
}

// Ended tells the engine that programs have ended, for its account of waste.
func (s *Server) Ended(now time.Time, programs ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range programs {
		s.cache.end(now, p)
	}
}

// Held returns the tokens held for each program.
func (s *Server) Held() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cache.held()
}
