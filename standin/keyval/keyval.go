// Package keyval (stand-in) plays the platform's small key-value service:
// compare-and-swap, leases, watches, and outages on demand.
package keyval

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
)

// Server is one key-value service in memory. It is an http.Handler.
type Server struct {
	mux http.Handler

	mu sync.Mutex
	// revision rises with every write.
	revision uint64
	pairs    map[string]*pair
	leases   map[string]*lease
	// changed is closed and replaced at every write.
	changed chan struct{}
	fault   Fault
	counts  map[string]int
}

// Fault is what the service does wrong for now.
type Fault struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Delay is added to every call, in milliseconds.
	Delay int `json:"delay"`
	// LostWrites is how many writes still take effect without an answer.
	LostWrites int `json:"lose"`
}

type pair struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
	lease   string
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

// New returns an empty service.
func New() *Server {
	s := &Server{
		pairs:   map[string]*pair{},
		leases:  map[string]*lease{},
		changed: make(chan struct{}),
		counts:  map[string]int{},
	}
	r := chi.NewRouter()
	r.Use(s.trouble)
	r.Post("/get", s.get)
	r.Post("/put", s.put)
	r.Post("/delete", s.remove)
	r.Post("/list", s.list)
	r.Post("/watch", s.watch)
	r.Post("/grant", s.grant)
	r.Post("/renew", s.renew)
	r.Post("/revoke", s.revoke)
	root := chi.NewRouter()
	root.Post("/fault", s.setFault)
	root.Get("/counts", s.getCounts)
	root.Mount("/", r)
	s.mux = root
	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFault changes what the service does wrong.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// CallCounts returns how many calls of each sort were taken.
func (s *Server) CallCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]int, len(s.counts))
	for k, n := range s.counts {
		all[k] = n
	}
	return all
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if read(w, r, &f) {
		s.SetFault(f)
		write(w, struct{}{})
	}
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) { write(w, s.CallCounts()) }

// trouble applies the fault in force and counts the call.
func (s *Server) trouble(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.fault
		s.counts[strings.Trim(r.URL.Path, "/")]++
		lose := f.LostWrites > 0 && (r.URL.Path == "/put" || r.URL.Path == "/delete")
		if lose {
			s.fault.LostWrites--
		}
		s.mu.Unlock()
		if f.Delay > 0 {
			time.Sleep(time.Duration(f.Delay) * time.Millisecond)
		}
		switch {
		case f.Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
		case lose:
			next.ServeHTTP(discard{header: http.Header{}}, r)
			http.Error(w, "the answer was lost", http.StatusGatewayTimeout)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// discard swallows an answer.
type discard struct{ header http.Header }

// Header keeps what is never sent.
func (d discard) Header() http.Header { return d.header }

// Write drops the answer.
func (d discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (d discard) WriteHeader(int) {}

func read(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2<<20)).Decode(body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func write(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// expire removes what belongs to lapsed leases. The caller holds the lock.
func (s *Server) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.end(id)
		}
	}
}

func (s *Server) end(id string) {
	delete(s.leases, id)
	for _, p := range s.pairs {
		if p.lease == id && !p.Deleted {
			s.bury(p)
		}
	}
}

// bury deletes a pair, leaving a mark for watchers.
func (s *Server) bury(p *pair) {
	s.revision++
	s.pairs[p.Key] = &pair{Key: p.Key, Version: s.revision, Deleted: true}
	s.wake()
}

func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Key string `json:"key"`
	}
	if !read(w, r, &q) {
		return
	}
	s.mu.Lock()
	s.expire()
	p := s.pairs[q.Key]
	s.mu.Unlock()
	if p == nil || p.Deleted {
		http.Error(w, "missing", http.StatusNotFound)
		return
	}
	write(w, p)
}

// maxValue is the largest value, in bytes.
const maxValue = 1 << 20

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Expect uint64 `json:"expect"`
		Lease  string `json:"lease"`
	}
	if !read(w, r, &q) {
		return
	}
	if len(q.Value) > maxValue {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if q.Lease != "" && s.leases[q.Lease] == nil {
		http.Error(w, "no lease", http.StatusNotFound)
		return
	}
	if s.version(q.Key) != q.Expect {
		http.Error(w, "conflict", http.StatusConflict)
		return
	}
	s.revision++
	s.pairs[q.Key] = &pair{Key: q.Key, Value: q.Value, Version: s.revision, lease: q.Lease}
	s.wake()
	write(w, struct {
		Version uint64 `json:"version"`
	}{s.revision})
}

// version returns a key's version, 0 when it does not exist.
func (s *Server) version(key string) uint64 {
	p := s.pairs[key]
	if p == nil || p.Deleted {
		return 0
	}
	return p.Version
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Key    string `json:"key"`
		Expect uint64 `json:"expect"`
	}
	if !read(w, r, &q) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch s.version(q.Key) {
	case 0:
		http.Error(w, "missing", http.StatusNotFound)
	case q.Expect:
		s.bury(s.pairs[q.Key])
		write(w, struct{}{})
	default:
		http.Error(w, "conflict", http.StatusConflict)
	}
}

// maxList bounds one list's values, in bytes.
const maxList = 1 << 20

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}
	if !read(w, r, &q) {
		return
	}
	s.mu.Lock()
	s.expire()
	var keys []string
	for k, p := range s.pairs {
		if strings.HasPrefix(k, q.Prefix) && k > q.After && !p.Deleted {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	pairs, size := []*pair{}, 0
	for _, k := range keys {
		p := s.pairs[k]
		size += len(p.Value)
		if len(pairs) > 0 && (size > maxList || q.Limit > 0 && len(pairs) >= q.Limit) {
			break
		}
		pairs = append(pairs, p)
	}
	s.mu.Unlock()
	write(w, struct {
		Pairs []*pair `json:"pairs"`
	}{pairs})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Prefix string `json:"prefix"`
		Since  uint64 `json:"since"`
		Wait   int64  `json:"wait"`
	}
	if !read(w, r, &q) {
		return
	}
	timer := time.NewTimer(time.Duration(q.Wait) * time.Millisecond)
	defer timer.Stop()
	for {
		pairs, revision, changed := s.since(q.Prefix, q.Since)
		if len(pairs) > 0 || q.Wait == 0 {
			write(w, struct {
				Pairs    []*pair `json:"pairs"`
				Revision uint64  `json:"revision"`
			}{pairs, revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			q.Wait = 0
		case <-time.After(time.Second):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) since(prefix string, since uint64) ([]*pair, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	pairs := []*pair{}
	for k, p := range s.pairs {
		if strings.HasPrefix(k, prefix) && p.Version > since {
			pairs = append(pairs, p)
		}
	}
	sort.Slice(pairs, func(a, b int) bool { return pairs[a].Version < pairs[b].Version })
	return pairs, s.revision, s.changed
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL int64 `json:"ttl"`
	}
	if !read(w, r, &q) {
		return
	}
	ttl := time.Duration(q.TTL) * time.Millisecond
	id := uuid.NewString()
	s.mu.Lock()
	s.leases[id] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	s.mu.Unlock()
	write(w, struct {
		Lease string `json:"lease"`
	}{id})
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	s.withLease(w, r, func(id string) {
		l := s.leases[id]
		l.until = time.Now().Add(l.ttl)
	})
}

func (s *Server) revoke(w http.ResponseWriter, r *http.Request) { s.withLease(w, r, s.end) }

func (s *Server) withLease(w http.ResponseWriter, r *http.Request, do func(id string)) {
	var q struct {
		Lease string `json:"lease"`
	}
	if !read(w, r, &q) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.leases[q.Lease] == nil {
		http.Error(w, "no lease", http.StatusNotFound)
		return
	}
	do(q.Lease)
	write(w, struct{}{})
}
