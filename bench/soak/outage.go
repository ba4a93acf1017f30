package soak

import (
	"sync"
	"time"
)

// theService names the key-value service in outages.
const theService = "the service"

// span is a time in which something was away. It goes on while to is zero.
type span struct{ from, to time.Time }

// outages records when a gate or the key-value service was away. No configuration can
// reach a gate then. It is safe for concurrent use.
type outages struct {
	mu    sync.Mutex
	spans map[string][]span
}

func newOutages() *outages { return &outages{spans: map[string][]span{}} }

// begin records that something is away from now on until the returned function is called.
func (o *outages) begin(name string) (end func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	i := len(o.spans[name])
	o.spans[name] = append(o.spans[name], span{from: time.Now()})
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.spans[name][i].to = time.Now()
	}
}

// connected returns how long between two times neither a gate nor the service was away.
func (o *outages) connected(gate string, from, to time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	total := time.Duration(0)
	for at := from; at.Before(to); {
		next, away := to, false
		for _, name := range []string{theService, gate} {
			for _, s := range o.spans[name] {
				end := s.to
				if end.IsZero() || end.After(to) {
					end = to
				}
				switch {
				case at.Before(s.from):
					next = earlier(next, s.from)
				case at.Before(end):
					next, away = earlier(next, end), true
				}
			}
		}
		if !away {
			total += next.Sub(at)
		}
		at = next
	}
	return total
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
