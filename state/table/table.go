// Package table (state layer) holds the operators' routes and finds the route of a
// request.
package table

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cowslipstage/cowslipstage/state/keys"
)

// Kind says whether requests may be repeated and how they are answered.
type Kind uint8

// Kinds of request.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Unsafe requests run at most once.
	Unsafe
	// Stream requests run at most once and are answered with events.
	Stream
)

// Route says how the requests below one path prefix of a host are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds how long a request waits. FirstByteTarget is the time to the first
	// byte up to which an answer has its full value.
	Timeout         time.Duration
	FirstByteTarget time.Duration
	// Attempts is the most endpoints that one request may be sent to; at least 1.
	Attempts int
	// Priority is the request's rank; 0 comes first.
	Priority int
	// Shares are the services among which the route's requests are divided; never empty.
	Shares []Share
	// KeepsTurns marks routes that carry turns, whose chain the system keeps for
	// Retention.
	KeepsTurns bool
	Retention  time.Duration
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued at another endpoint after their last event.
	Resumable bool
	// GapTarget is the longest pause between two events of an answer that has its full
	// value; 0 if not given.
	GapTarget time.Duration
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// PickService returns the service for a draw from [0, 1), by weight.
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	rest := int(draw * float64(total))
	for _, s := range r.Shares {
		if rest < s.Weight {
			return s.Service
		}
		rest -= s.Weight
	}
	return r.Shares[0].Service
}

// Service describes a pool of endpoints as the operators declared it.
type Service struct {
	Name string
	// Conns bounds the connections to one endpoint; 0 means no bound.
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

// Table is one immutable version of the routes.
type Table struct {
	version  uint64
	limits   Limits
	services map[string]Service
	// customers is nil if requests need no key.
	customers *keys.Keys
	// hosts holds each host's routes, longest prefix first.
	hosts map[string][]*Route
	// ranks holds the distinct ranks of requests in ascending order.
	ranks []int
}

// New returns the table of one version. Without customers, requests need no key.
func New(version uint64, routes []*Route, services []Service, customers *keys.Keys, limits Limits) *Table {
	t := &Table{version: version, limits: limits, customers: customers, services: map[string]Service{}, hosts: map[string][]*Route{}}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, r := range routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, ordered := range t.hosts {
		slices.SortStableFunc(ordered, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	t.ranks = t.collectRanks()
	return t
}

// rank returns the order of a request of a customer, nil for none, on a route: first by the
// customer's priority, or the route's if it has none, then by the route's.
func rank(c *keys.Customer, r *Route) int {
	const routeRanks = 1 << 10 // more than any route's priority
	routePriority := min(max(r.Priority, 0), routeRanks-1)
	priority := routePriority
	if c != nil {
		if p, set := c.Priority(); set {
			priority = p
		}
	}
	return priority*routeRanks + routePriority
}

// collectRanks returns the distinct ranks of the requests for streams that can occur,
// ascending.
func (t *Table) collectRanks() []int {
	var ranks []int
	for _, routes := range t.hosts {
		for _, r := range routes {
			if r.Kind != Stream {
				continue
			}
			if t.customers == nil || r.Public {
				ranks = append(ranks, rank(nil, r))
			}
			for _, c := range t.customers.All() {
				ranks = append(ranks, rank(c, r))
			}
		}
	}
	slices.Sort(ranks)
	return slices.Compact(ranks)
}

// Importance returns the place of a customer's requests on a route among all requests for
// streams, from 1 for the most important to 0. It is 1 if there are no differences.
func (t *Table) Importance(c *keys.Customer, r *Route) float64 {
	if len(t.ranks) < 2 {
		return 1
	}
	i, _ := slices.BinarySearch(t.ranks, rank(c, r))
	return 1 - float64(min(i, len(t.ranks)-1))/float64(len(t.ranks)-1)
}

// Version returns the version, which rises with each change.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the bounds on callers.
func (t *Table) Limits() Limits { return t.limits }

// Keys returns the customers, nil if requests need no key.
func (t *Table) Keys() *keys.Keys { return t.customers }

// Service returns a service, and false if there is none of that name.
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
