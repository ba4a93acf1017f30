package gate

import (
	"context"
	"sync"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/site"
)

const (
	// othersAge is how long the other gates' load is believed.
	othersAge = time.Second
	// failingAge is how long it is believed that an endpoint fails: what was seen
	// is up to a second old already.
	failingAge = 200 * time.Millisecond
	// remoteLoadEvery bounds how often load crosses to one vault in another data centre,
	// and how often the others' comes back from there: several times in a turn.
	remoteLoadEvery = 100 * time.Millisecond
	// pausePerEntry is the pause between two lists of the others' load for each entry
	// that the last one had: 71 endpoints are heard of every 4 ms, 3,000 every
	// 150 ms, so that the bytes do not grow with the square of a deployment.
	pausePerEntry = 50 * time.Microsecond
	// loadPause gathers changes of this gate's load before the vaults of its own
	// data centre hear of them: short against a turn, so that gates that place at
	// the same moment know of each other.
	loadPause = 5 * time.Millisecond
	// loadTimeout bounds that message; a later one says more.
	loadTimeout = 100 * time.Millisecond
)

// loadExchange is what a gate and the other gates know of each other's running calls.
// The vaults add them up. It answers bursts: gates that place at the same moment
// without knowing of each other all choose the endpoint that was the least busy.
type loadExchange struct {
	site *site.Site
	// runningCalls returns this gate's calls by endpoint, ended those that ended well
	// or failed lately.
	runningCalls   func() map[string]int
	recentOutcomes func() (good, bad map[string]int)
	changed        chan struct{}

	mu sync.Mutex
	// sentAt is when each vault in another data centre got this gate's load.
	sentAt map[string]time.Time
	// requestedAt is when the others' load was last requestedAt for.
	requestedAt time.Time
	// othersCalls is the other gates' calls by endpoint, failing what all gates together
	// saw fail, as of loaded.
	othersCalls map[string]int
	failing     []string
	receivedAt  time.Time
}

func newLoadExchange(s *site.Site) *loadExchange {
	return &loadExchange{
		site: s, runningCalls: func() map[string]int { return nil },
		recentOutcomes: func() (good, bad map[string]int) { return nil, nil },
		changed:        make(chan struct{}, 1), sentAt: map[string]time.Time{},
	}
}

// loadFor returns what goes to a vault with a message, or nil. One in this data
// centre always gets this gate's load and mostly gives the others'; the list is long,
// so it crosses from another data centre only where no vault is nearer.
func (s *loadExchange) loadFor(now time.Time, roster *seats.Roster, to seats.Seat) *vaults.Load {
	if to.Centre == s.site.Centre {
		return s.fullLoad(now)
	}
	s.mu.Lock()
	sendDue := now.Sub(s.sentAt[to.Addr]) >= remoteLoadEvery
	wanted := sendDue && !roster.Has(s.site.Centre) && now.Sub(s.requestedAt) >= remoteLoadEvery
	if sendDue {
		s.sentAt[to.Addr] = now
	}
	s.mu.Unlock()
	switch {
	case wanted:
		return s.fullLoad(now)
	case sendDue:
		return &vaults.Load{Node: s.site.Node, Calls: s.runningCalls()}
	}
	return nil
}

// fullLoad is all that a vault adds up; it wants the sums unless they came just now.
func (s *loadExchange) fullLoad(now time.Time) *vaults.Load {
	s.mu.Lock()
	wanted := now.Sub(s.requestedAt) >= time.Duration(len(s.othersCalls))*pausePerEntry
	if wanted {
		s.requestedAt = now
	}
	s.mu.Unlock()
	good, bad := s.recentOutcomes()
	return &vaults.Load{Node: s.site.Node, Calls: s.runningCalls(), Good: good, Bad: bad, Wanted: wanted}
}

// markChanged notes that this gate's load has changed.
func (s *loadExchange) markChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *loadExchange) receive(l *vaults.Loaded) {
	if l == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.othersCalls, s.failing, s.receivedAt = l.Others, l.Failing, time.Now()
}

// failingEndpoints returns the endpoints that the gates together saw fail lately.
func (s *loadExchange) failingEndpoints(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.receivedAt) > failingAge {
		return nil
	}
	return s.failing
}

// others returns the other gates' calls by endpoint as last heard, and how long
// ago that was.
func (s *loadExchange) others(now time.Time) (map[string]int, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := now.Sub(s.receivedAt)
	if age > othersAge {
		return nil, 0
	}
	return s.othersCalls, age
}

// loadLoop tells the vaults of this data centre of changes as they come.
func (b *vaultClient) loadLoop(ctx context.Context) {
	for {
		select {
		case <-b.exchange.changed:
		case <-ctx.Done():
			return
		}
		roster := b.currentRoster()
		for _, s := range roster.Seats {
			if s.Centre == b.site.Centre && b.connection(s.Addr).Live() {
				go b.sendLoad(ctx, s.Addr)
			}
		}
		select {
		case <-time.After(loadPause):
		case <-ctx.Done():
		}
	}
}

// sendLoad tells one vault of this gate's sendLoad and hears the others'.
func (b *vaultClient) sendLoad(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	message := b.exchange.fullLoad(time.Now())
	m, err := b.connection(addr).Call(ctx, message)
	if err != nil {
		b.log.Debug().Err(err).Str("vault", addr).Msg("load not told; the next change says more")
		return
	}
	if l, ok := m.(*vaults.Loaded); ok && message.Wanted {
		b.exchange.receive(l)
	}
}
