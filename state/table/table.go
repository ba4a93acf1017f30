// Package table (state layer) holds the operators' routes and finds the one for
// a request.
package table

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind uint8

// The kinds of request.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests are unsafe and answered with events.
	Stream
)

// Route says how the requests below one prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest that a request is kept waiting, Aim the time to
	// the first byte that earns the full worth.
	Timeout         time.Duration
	FirstByteTarget time.Duration
	// Attempts is the most endpoints that one request may be sent to; at least 1.
	Attempts int
	// Priority is the rank; 0 comes first.
	Priority int
	// Shares are the services that share the route's requests; never empty.
	Shares []Share
	// KeepsTurns routes carry turns whose chain the system keeps for Retention.
	KeepsTurns bool
	Retention  time.Duration
}

// Share is a service's part of a route.
type Share struct {
	Service string
	Weight  int
}

// PickService returns the service for a draw from [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	left := int(draw * float64(total))
	for _, s := range r.Shares {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	return r.Shares[0].Service
}

// Service is what the operators say of a pool of endpoints.
type Service struct {
	Name string
	// Conns is the most connections that one endpoint takes; 0 means no bound.
	Conns int
	// Slots is how many calls a model engine runs at once; 0 for plain services.
	Slots int
	// Memory is a model engine's memory in tokens.
	Memory int
	// TokensPerEvent is the tokens in each event of a model engine; 0 for plain services.
	TokensPerEvent int
}

// Limits bound what callers may send.
type Limits struct {
	Header     int
	Body       int64
	HeaderTime time.Duration
	IdleTime   time.Duration
}

// Table is one version of the routes. It does not change once made.
type Table struct {
	version  uint64
	limits   Limits
	services map[string]Service
	// hosts holds each host's routes, longest prefix first.
	hosts map[string][]*Route
}

// New returns the table of one version.
func New(version uint64, routes []*Route, services []Service, limits Limits) *Table {
	t := &Table{version: version, limits: limits, services: map[string]Service{}, hosts: map[string][]*Route{}}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, r := range routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, held := range t.hosts {
		slices.SortStableFunc(held, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Version rises with each change.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the bounds on callers.
func (t *Table) Limits() Limits { return t.limits }

// Service returns what is known of a service; false means nothing.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Find returns the route of a host with the longest prefix of path, or nil.
func (t *Table) Find(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
