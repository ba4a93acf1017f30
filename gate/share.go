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
	// suspectAge is how long it is believed that an endpoint fails: what was seen
	// is up to a second old already.
	suspectAge = 200 * time.Millisecond
	// farEvery bounds how often load crosses to one vault in another data centre,
	// and how often the others' comes back from there: several times in a turn.
	farEvery = 100 * time.Millisecond
	// entryPause is the pause between two lists of the others' load for each entry
	// that the last one had: 71 endpoints are heard of every 4 ms, 3,000 every
	// 150 ms, so that the bytes do not grow with the square of a deployment.
	entryPause = 50 * time.Microsecond
	// tellPause gathers changes of this gate's load before the vaults of its own
	// data centre hear of them: short against a turn, so that gates that place at
	// the same moment know of each other.
	tellPause = 5 * time.Millisecond
	// tellTime bounds that message; a later one says more.
	tellTime = 100 * time.Millisecond
)

// share is what a gate and the other gates know of each other's running calls.
// The vaults add them up. It answers bursts: gates that place at the same moment
// without knowing of each other all choose the endpoint that was the least busy.
type share struct {
	site *site.Site
	// running returns this gate's calls by endpoint, ended those that ended well
	// or failed lately.
	running func() map[string]int
	ended   func() (good, bad map[string]int)
	changed chan struct{}

	mu sync.Mutex
	// told is when each vault in another data centre got this gate's load.
	told map[string]time.Time
	// asked is when the others' load was last asked for.
	asked time.Time
	// load is the other gates' calls by endpoint, failing what all gates together
	// saw fail, as of loaded.
	load    map[string]int
	failing []string
	loaded  time.Time
}

func newShare(s *site.Site) *share {
	return &share{
		site: s, running: func() map[string]int { return nil },
		ended:   func() (good, bad map[string]int) { return nil, nil },
		changed: make(chan struct{}, 1), told: map[string]time.Time{},
	}
}

// tell returns what goes to a vault with a message, or nil. One in this data
// centre always gets this gate's load and mostly gives the others'; the list is long,
// so it crosses from another data centre only where no vault is nearer.
func (s *share) tell(now time.Time, roster *seats.Roster, to seats.Seat) *vaults.Load {
	if to.Centre == s.site.Centre {
		return s.news(now)
	}
	s.mu.Lock()
	due := now.Sub(s.told[to.Addr]) >= farEvery
	wanted := due && !roster.HasCentre(s.site.Centre) && now.Sub(s.asked) >= farEvery
	if due {
		s.told[to.Addr] = now
	}
	s.mu.Unlock()
	switch {
	case wanted:
		return s.news(now)
	case due:
		return &vaults.Load{Node: s.site.Node, Calls: s.running()}
	}
	return nil
}

// news is all that a vault adds up; it wants the sums unless they came just now.
func (s *share) news(now time.Time) *vaults.Load {
	s.mu.Lock()
	wanted := now.Sub(s.asked) >= time.Duration(len(s.load))*entryPause
	if wanted {
		s.asked = now
	}
	s.mu.Unlock()
	good, bad := s.ended()
	return &vaults.Load{Node: s.site.Node, Calls: s.running(), Succeeded: good, Failed: bad, WantOthers: wanted}
}

// change notes that this gate's load has changed.
func (s *share) change() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *share) heard(l *vaults.LoadReply) {
	if l == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.failing, s.loaded = l.OtherCalls, l.FailingEndpoints, time.Now()
}

// suspects returns the endpoints that the gates together saw fail lately.
func (s *share) suspects(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.loaded) > suspectAge {
		return nil
	}
	return s.failing
}

// others returns the other gates' calls by endpoint as last heard, and how long
// ago that was.
func (s *share) others(now time.Time) (map[string]int, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	age := now.Sub(s.loaded)
	if age > othersAge {
		return nil, 0
	}
	return s.load, age
}

// spread tells the vaults of this data centre of changes as they come.
func (b *bank) spread(ctx context.Context) {
	for {
		select {
		case <-b.share.changed:
		case <-ctx.Done():
			return
		}
		roster := b.current()
		for _, s := range roster.Seats {
			if s.Centre == b.site.Centre && b.client(s.Addr).Live() {
				go b.load(ctx, s.Addr)
			}
		}
		select {
		case <-time.After(tellPause):
		case <-ctx.Done():
		}
	}
}

// load tells one vault of this gate's load and hears the others'.
func (b *bank) load(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	news := b.share.news(time.Now())
	m, err := b.client(addr).Call(ctx, news)
	if err != nil {
		b.log.Debug().Err(err).Str("vault", addr).Msg("load not told; the next change says more")
		return
	}
	if l, ok := m.(*vaults.LoadReply); ok && news.WantOthers {
		b.share.heard(l)
	}
}
