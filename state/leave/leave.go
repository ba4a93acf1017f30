// Package leave (state layer) holds the endpoints that said in an answer that
// they are leaving. Load pattern: an endpoint is emptied while the list of
// endpoints lags, or cannot be read, and still calls it ready.
package leave

import (
	"maps"
	"slices"
)

// maxMarks bounds the marks. When it is exceeded, the oldest are dropped.
const maxMarks = 1024

// Marks holds one mark for each endpoint that is leaving. A mark counts for one
// lifetime of the endpoint: the list of endpoints may be older than the mark, so
// only a later start ends it. Marks is not safe for concurrent use.
type Marks struct {
	// lifetimes holds by endpoint the start of the lifetime that is leaving, in
	// Unix milliseconds; 0 if it is not known.
	lifetimes map[string]int64
	// order holds the endpoints in the order in which they were marked.
	order []string
}

// New returns a Marks without marks.
func New() *Marks { return &Marks{lifetimes: map[string]int64{}} }

// Add marks a lifetime of an endpoint, and reports whether that is news.
func (m *Marks) Add(id string, startedAt int64) bool {
	known, marked := m.lifetimes[id]
	if marked && known >= startedAt {
		return false
	}
	if !marked {
		m.order = append(m.order, id)
	}
	m.lifetimes[id] = startedAt
	if len(m.order) > maxMarks {
		delete(m.lifetimes, m.order[0])
		m.order = slices.Delete(m.order, 0, 1)
	}
	return true
}

// Covers reports whether a lifetime of an endpoint is leaving. If the start of one
// of the two lifetimes is not known, they count as the same.
func (m *Marks) Covers(id string, startedAt int64) bool {
	marked, ok := m.lifetimes[id]
	return ok && (marked == 0 || startedAt == 0 || startedAt <= marked)
}

// Learn fixes the lifetime of a mark whose start is not known: it is the one that
// the list of endpoints has next.
func (m *Marks) Learn(id string, startedAt int64) {
	if marked, ok := m.lifetimes[id]; ok && marked == 0 {
		m.lifetimes[id] = startedAt
	}
}

// Size returns the number of marks.
func (m *Marks) Size() int { return len(m.lifetimes) }

// All returns a copy of the marks.
func (m *Marks) All() map[string]int64 { return maps.Clone(m.lifetimes) }
