// Package keyval (stand-in) serves the platform's small key-value service in memory:
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
	changed    chan struct{}
	fault      Fault
	callCounts map[string]int
}

// Fault says which faults the service injects.
type Fault struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// Delay is added to every call, in milliseconds.
	Delay int `json:"delay"`
	// LostWrites is how many of the next writes take effect without an answer.
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
	ttl    time.Duration
	expiry time.Time
}

// New returns an empty service.
func New() *Server {
	s := &Server{
		pairs:      map[string]*pair{},
		leases:     map[string]*lease{},
		changed:    make(chan struct{}),
		callCounts: map[string]int{},
	}
	r := chi.NewRouter()
	r.Use(s.injectFault)
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

// SetFault replaces the injected faults.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// CallCounts returns the number of calls by operation.
func (s *Server) CallCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]int, len(s.callCounts))
	for k, n := range s.callCounts {
		all[k] = n
	}
	return all
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if decodeRequest(w, r, &f) {
		s.SetFault(f)
		reply(w, struct{}{})
	}
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) { reply(w, s.CallCounts()) }

// injectFault counts the call and applies the current faults.
func (s *Server) injectFault(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.fault
		s.callCounts[strings.Trim(r.URL.Path, "/")]++
		loseAnswer := f.LostWrites > 0 && (r.URL.Path == "/put" || r.URL.Path == "/delete")
		if loseAnswer {
			s.fault.LostWrites--
		}
		s.mu.Unlock()
		if f.Delay > 0 {
			time.Sleep(time.Duration(f.Delay) * time.Millisecond)
		}
		switch {
		case f.Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
		case loseAnswer:
			next.ServeHTTP(discardWriter{header: http.Header{}}, r)
			http.Error(w, "the answer was lost", http.StatusGatewayTimeout)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// discardWriter discards an answer.
type discardWriter struct{ header http.Header }

// Header returns a header that is never sent.
func (d discardWriter) Header() http.Header { return d.header }

// Write discards a part of the answer.
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader discards the status.
func (d discardWriter) WriteHeader(int) {}

func decodeRequest(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2<<20)).Decode(body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// expireLeases ends expired leases and deletes their pairs. The caller holds the lock.
func (s *Server) expireLeases() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.expiry) {
			s.endLease(id)
		}
	}
}

func (s *Server) endLease(id string) {
	delete(s.leases, id)
	for _, p := range s.pairs {
		if p.lease == id && !p.Deleted {
			s.markDeleted(p)
		}
	}
}

// markDeleted replaces a pair by a deletion mark for watchers.
func (s *Server) markDeleted(p *pair) {
	s.revision++
	s.pairs[p.Key] = &pair{Key: p.Key, Version: s.revision, Deleted: true}
	s.notifyWatchers()
}

func (s *Server) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Key string `json:"key"`
	}
	if !decodeRequest(w, r, &q) {
		return
	}
	s.mu.Lock()
	s.expireLeases()
	p := s.pairs[q.Key]
	s.mu.Unlock()
	if p == nil || p.Deleted {
		http.Error(w, "missing", http.StatusNotFound)
		return
	}
	reply(w, p)
}

// maxValueBytes is the maximum size of a value.
const maxValueBytes = 1 << 20

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Expect uint64 `json:"expect"`
		Lease  string `json:"lease"`
	}
	if !decodeRequest(w, r, &q) {
		return
	}
	if len(q.Value) > maxValueBytes {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
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
	s.notifyWatchers()
	reply(w, struct {
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
	if !decodeRequest(w, r, &q) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	switch s.version(q.Key) {
	case 0:
		http.Error(w, "missing", http.StatusNotFound)
	case q.Expect:
		s.markDeleted(s.pairs[q.Key])
		reply(w, struct{}{})
	default:
		http.Error(w, "conflict", http.StatusConflict)
	}
}

// maxListBytes bounds the total size of the values in one list.
const maxListBytes = 1 << 20

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}
	if !decodeRequest(w, r, &q) {
		return
	}
	s.mu.Lock()
	s.expireLeases()
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
		if len(pairs) > 0 && (size > maxListBytes || q.Limit > 0 && len(pairs) >= q.Limit) {
			break
		}
		pairs = append(pairs, p)
	}
	s.mu.Unlock()
	reply(w, struct {
		Pairs []*pair `json:"pairs"`
	}{pairs})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Prefix string `json:"prefix"`
		Since  uint64 `json:"since"`
		Wait   int64  `json:"wait"`
	}
	if !decodeRequest(w, r, &q) {
		return
	}
	timer := time.NewTimer(time.Duration(q.Wait) * time.Millisecond)
	defer timer.Stop()
	for {
		pairs, revision, changed := s.pairsAfter(q.Prefix, q.Since)
		if len(pairs) > 0 || q.Wait == 0 {
			reply(w, struct {
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

func (s *Server) pairsAfter(prefix string, version uint64) ([]*pair, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	pairs := []*pair{}
	for k, p := range s.pairs {
		if strings.HasPrefix(k, prefix) && p.Version > version {
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
	if !decodeRequest(w, r, &q) {
		return
	}
	ttl := time.Duration(q.TTL) * time.Millisecond
	id := uuid.NewString()
	s.mu.Lock()
	s.leases[id] = &lease{ttl: ttl, expiry: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, struct {
		Lease string `json:"lease"`
	}{id})
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	s.withLease(w, r, func(id string) {
		l := s.leases[id]
		l.expiry = time.Now().Add(l.ttl)
	})
}

func (s *Server) revoke(w http.ResponseWriter, r *http.Request) { s.withLease(w, r, s.endLease) }

func (s *Server) withLease(w http.ResponseWriter, r *http.Request, apply func(id string)) {
	var q struct {
		Lease string `json:"lease"`
	}
	if !decodeRequest(w, r, &q) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if s.leases[q.Lease] == nil {
		http.Error(w, "no lease", http.StatusNotFound)
		return
	}
	apply(q.Lease)
	reply(w, struct{}{})
}
