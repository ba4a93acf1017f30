package vet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cowslipstage/cowslipstage/state/table"
)

const (
	// programRequests is what one program of several turns and tool calls sends within
	// quotaWindow seconds. A customer with less cannot finish a program without refusals.
	programRequests = 12
	quotaWindow     = 5
)

// checker collects the problems of one draft.
type checker struct {
	draft    *Draft
	problems []Problem
}

// Check returns the problems of a draft, ordered by line.
func Check(d *Draft) []Problem {
	c := &checker{draft: d, problems: slices.Clone(d.Problems)}
	if d.Version == 0 {
		c.add(1, "configuration", "has no version, so it is rejected")
	}
	c.checkServices()
	c.checkRoutes()
	c.checkCustomers()
	c.checkLimits()
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return cmp.Compare(a.Line, b.Line) })
	return c.problems
}

// CheckOrder returns a problem if a draft that differs from the version in force does not
// have a higher version: gates never replace a version by a lower or equal one.
func CheckOrder(inForce, d *Draft) []Problem {
	if d.Version == 0 || d.Version > inForce.Version || (d.Version == inForce.Version && len(Compare(inForce, d)) == 0) {
		return nil
	}
	return []Problem{{
		Line: 1, Object: "configuration",
		Text: fmt.Sprintf("version %d is not above version %d in force, so gates ignore it", d.Version, inForce.Version),
	}}
}

func (c *checker) add(line int, object, format string, args ...any) {
	c.problems = append(c.problems, Problem{Line: line, Object: object, Text: fmt.Sprintf(format, args...)})
}

// number is a named value that may not be negative.
type number struct {
	name  string
	value float64
}

func (c *checker) checkNegative(line int, object string, numbers ...number) {
	for _, n := range numbers {
		if n.value < 0 {
			c.add(line, object, "%s is negative", n.name)
		}
	}
}

func (c *checker) checkServices() {
	first := map[string]int{}
	for i := range c.draft.Services {
		s := &c.draft.Services[i]
		if s.Name == "" {
			c.add(s.Line, s.label(), "has no name, so no route can name it")
		}
		if line, ok := first[s.Name]; ok {
			c.add(s.Line, s.label(), "has the same name as the service in line %d; the last one counts", line)
		} else {
			first[s.Name] = s.Line
		}
		c.checkNegative(s.Line, s.label(), number{"the number of connections", float64(s.Conns)}, number{"the number of slots", float64(s.Slots)},
			number{"the memory", float64(s.Memory)}, number{"the number of tokens per event", float64(s.TokensPerEvent)})
	}
}

func (c *checker) checkRoutes() {
	type place struct{ host, prefix string }
	first := map[place]int{}
	for i := range c.draft.Routes {
		r := &c.draft.Routes[i]
		p := place{r.Host, r.Prefix}
		if line, ok := first[p]; ok {
			c.add(r.Line, r.Label(), "can never match: the route in line %d has the same host and prefix", line)
		} else {
			first[p] = r.Line
		}
		switch {
		case r.Host == "":
			c.add(r.Line, r.Label(), "can never match: it has no host")
		case strings.Contains(r.Host, ":"):
			c.add(r.Line, r.Label(), "can never match: hosts are compared without the port")
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			c.add(r.Line, r.Label(), "the prefix must begin and end with a slash")
		}
		c.checkShares(r)
		c.checkRouteLimits(r)
	}
}

func (c *checker) checkShares(r *Route) {
	usable := 0
	for _, s := range r.Shares {
		switch {
		case s.Weight < 0:
			c.add(r.Line, r.Label(), "the weight of service %q is negative", s.Service)
		case s.Weight == 0:
			c.add(r.Line, r.Label(), "service %q has the weight 0, so it gets no requests", s.Service)
		case s.Weight >= math.MaxInt32:
			c.add(r.Line, r.Label(), "the weight of service %q must be below %d", s.Service, math.MaxInt32)
		default:
			usable++
		}
		if !slices.ContainsFunc(c.draft.Services, func(d Service) bool { return d.Name == s.Service }) {
			c.add(r.Line, r.Label(), "service %q is not declared", s.Service)
		}
	}
	if usable == 0 {
		c.add(r.Line, r.Label(), "names no service that gets requests")
	}
}

func (c *checker) checkRouteLimits(r *Route) {
	c.checkNegative(r.Line, r.Label(), number{"the timeout", r.Timeout.Seconds()},
		number{"the target latency", r.FirstByteTarget.Seconds()}, number{"the number of attempts", float64(r.Attempts)},
		number{"the priority", float64(r.Priority)}, number{"the retention", r.Retention.Seconds()},
		number{"the target gap", r.GapTarget.Seconds()})
	if r.Timeout > 0 && r.Timeout < r.FirstByteTarget {
		c.add(r.Line, r.Label(), "the timeout of %s is below the target latency of %s", r.Timeout, r.FirstByteTarget)
	}
	if r.KeepsTurns && r.Retention == 0 {
		c.add(r.Line, r.Label(), "turns are stored, but for no time: there is no retention")
	}
	if r.UnknownKind {
		return
	}
	// A resumable stream is continued at the next endpoint, not repeated.
	if r.Attempts > 1 && r.Kind != table.Idempotent && !r.Resumable {
		c.add(r.Line, r.Label(), "%d attempts, but its requests may not be repeated", r.Attempts)
	}
	if r.GapTarget > 0 && r.Kind != table.Stream {
		c.add(r.Line, r.Label(), "a target gap, but its answers are not streams")
	}
	// On streaming routes without stored turns the retention bounds how long a program's
	// budget is kept.
	if r.Retention > 0 && !r.KeepsTurns && r.Kind != table.Stream {
		c.add(r.Line, r.Label(), "a retention, but it stores no turns")
	}
}

func (c *checker) checkCustomers() {
	names, owners := map[string]int{}, map[Digest]*Customer{}
	for i := range c.draft.Customers {
		u := &c.draft.Customers[i]
		if u.Name == "" {
			c.add(u.Line, u.label(), "has no name")
		} else if line, ok := names[u.Name]; ok {
			c.add(u.Line, u.label(), "the customer in line %d has the same name", line)
		} else {
			names[u.Name] = u.Line
		}
		c.checkKeys(u, owners)
		c.checkQuota(u)
	}
}

// checkKeys reports keys that occurred before. It never prints a key.
func (c *checker) checkKeys(u *Customer, owners map[Digest]*Customer) {
	for i, k := range u.Keys {
		if other := owners[k]; other != nil {
			c.add(u.Line, u.label(), "its key %d is also one of %s in line %d", i+1, other.label(), other.Line)
			continue
		}
		owners[k] = u
		if k == emptyKey {
			c.add(u.Line, u.label(), "its key %d is empty, so no request can carry it", i+1)
		}
	}
}

func (c *checker) checkQuota(u *Customer) {
	priority := 0
	if u.Priority != nil {
		priority = *u.Priority
	}
	c.checkNegative(u.Line, u.label(), number{"the rate", u.Rate}, number{"the burst", u.Burst},
		number{"the priority", float64(priority)})
	if u.Rate == 0 && u.Burst > 0 {
		c.add(u.Line, u.label(), "a burst without a rate")
	}
	if allowed := u.Rate*quotaWindow + u.Burst; u.Rate > 0 && u.Burst >= 0 && allowed < programRequests {
		c.add(u.Line, u.label(), "its quota allows %.4g requests in %d s; one program needs about %d", allowed, quotaWindow, programRequests)
	}
}

func (c *checker) checkLimits() {
	l := c.draft.Limits
	c.checkNegative(c.draft.LimitsLine, "limits", number{"the header size", float64(l.Header)}, number{"the body size", float64(l.Body)},
		number{"the header time", l.HeaderTime.Seconds()}, number{"the idle time", l.IdleTime.Seconds()})
}
