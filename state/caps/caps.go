// Package caps (state layer) holds the request rates that endpoints named as their
// limits. Load pattern: an endpoint in trouble takes fewer requests than its load
// suggests, and says so only in its answers.
package caps

import (
	"maps"
	"time"
)

// keepAge is how long it counts what an endpoint said. An endpoint in use says it
// again with each answer.
const keepAge = time.Minute

// Cap is what an endpoint last said about its limit.
type Cap struct {
	// Rate is the requests a second that the endpoint takes from all gates together.
	Rate float64
	// Lifted reports that the endpoint named a limit before, and none now.
	Lifted bool
	// StartedAt is the start of the lifetime that said so, in Unix milliseconds; 0 if
	// it is not known.
	StartedAt int64
	// HeardAt is when it said so, Own whether to this process.
	HeardAt time.Time
	Own     bool
}

// Caps holds the newest Cap of each endpoint. It is not safe for concurrent use.
type Caps struct {
	// caps has no entry for an endpoint that never named a limit.
	caps map[string]Cap
}

// New returns a Caps without limits.
func New() *Caps { return &Caps{caps: map[string]Cap{}} }

// Hear stores what an endpoint said, unless something newer is known, and reports
// whether that changes its limit.
func (c *Caps) Hear(id string, said Cap) bool {
	known, ok := c.caps[id]
	if !ok && said.Lifted || ok && !said.HeardAt.After(known.HeardAt) {
		return false
	}
	c.caps[id] = said
	return !ok || known.Lifted != said.Lifted || known.Rate != said.Rate
}

// Rate returns the limit that a lifetime of an endpoint named last, and whether it
// named one. A limit ends with its lifetime.
func (c *Caps) Rate(id string, startedAt int64) (float64, bool) {
	known, ok := c.caps[id]
	if !ok || known.Lifted || known.StartedAt != 0 && startedAt > known.StartedAt {
		return 0, false
	}
	return known.Rate, true
}

// Limited reports whether any endpoint has a limit.
func (c *Caps) Limited(now time.Time) bool {
	c.expire(now)
	for _, known := range c.caps {
		if !known.Lifted {
			return true
		}
	}
	return false
}

// All returns a copy of what is known.
func (c *Caps) All(now time.Time) map[string]Cap {
	c.expire(now)
	return maps.Clone(c.caps)
}

func (c *Caps) expire(now time.Time) {
	maps.DeleteFunc(c.caps, func(_ string, known Cap) bool { return now.Sub(known.HeardAt) > keepAge })
}
