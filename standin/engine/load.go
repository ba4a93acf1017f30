package engine

import (
	"net/http"
	"sort"
	"time"
)

// loadReport is the engine's load at one point in time.
type loadReport struct {
	Running       int       `json:"running"`
	Waiting       int       `json:"waiting"`
	PendingTokens int       `json:"pending"`
	CachedTokens  int       `json:"cached"`
	Leaving       bool      `json:"leaving"`
	Role          string    `json:"role,omitempty"`
	Models        []string  `json:"models,omitempty"`
	TakenAt       time.Time `json:"taken"`
}

// maxReports bounds the reports that are kept for delayed publication.
const maxReports = 4096

// recordLoad records the current load. getLoad publishes it after the report lag.
func (s *Server) recordLoad(now time.Time) {
	q := loadReport{
		Running: len(s.running), Waiting: len(s.waiting), CachedTokens: s.cache.blocks.Len() * s.options.BlockTokens,
		Leaving: s.leaving, Role: s.role, TakenAt: now,
	}
	for _, j := range s.running {
		q.PendingTokens += j.prefillLeft
	}
	for _, j := range s.waiting {
		q.PendingTokens += j.promptTokens
	}
	for name, ready := range s.loaded {
		if ready {
			q.Models = append(q.Models, name)
		}
	}
	sort.Strings(q.Models)
	s.loadReports = append(s.loadReports, q)
	// Reports older than the published one are no longer needed.
	published := s.newestPublished(now)
	if published > 0 {
		s.loadReports = s.loadReports[published:]
	}
	if len(s.loadReports) > maxReports {
		s.loadReports = s.loadReports[len(s.loadReports)-maxReports:]
	}
}

// newestPublished returns the index of the newest report that is at least as old as
// the report lag, or -1.
func (s *Server) newestPublished(now time.Time) int {
	limit := now.Add(-s.options.wallTime(s.options.ReportLag))
	return sort.Search(len(s.loadReports), func(i int) bool { return s.loadReports[i].TakenAt.After(limit) }) - 1
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	s.mu.Lock()
	var q loadReport
	if i := s.newestPublished(now); i >= 0 {
		q = s.loadReports[i]
	}
	// This load was still current at that time, even if it was recorded long before.
	q.TakenAt = now.Add(-s.options.wallTime(s.options.ReportLag))
	s.mu.Unlock()
	reply(w, q)
}
