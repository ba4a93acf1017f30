package gate

import (
	"context"
	"sync"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/fleet"
	"github.com/cowslipstage/cowslipstage/state/site"
)

const (
	// othersAge is how long the reported load of the other gates counts.
	othersAge = time.Second
	// failingAge is how long a report of failing endpoints counts. Its content
	// is already up to a second old.
	failingAge = 200 * time.Millisecond
	// remoteLoadEvery bounds how often load is sent to one vault in another
	// data centre, and how often the others' load is requested from there:
	// several times per turn.
	remoteLoadEvery = 100 * time.Millisecond
	// pausePerEntry times the number of entries in the last list of the others'
	// load is the pause before the next list. Lists of 71 endpoints come every
	// 4 ms, of 3,000 every 150 ms, so the traffic does not grow with the square
	// of a deployment.
	pausePerEntry = 50 * time.Microsecond
	// loadPause collects changes of this gate's load before they are sent to
	// the vaults of its own data centre. It is short against a turn, so that
	// gates that place calls at the same moment know of each other.
	loadPause = 5 * time.Millisecond
	// loadTimeout bounds a load message. A lost one is replaced by the next.
	loadTimeout = 100 * time.Millisecond
	// leavingNewsAge is how long a newly leaving endpoint is told to all vaults. Those in other
	// data centres do not confirm it, and a later lifetime of a known one does not change the
	// count by which the others do.
	leavingNewsAge = time.Second
)

// loadExchange holds what this gate and the other gates know of each other's
// running calls, which the vaults add up. Without it, gates that place a burst
// of calls at the same moment would all choose the endpoint that was the least
// busy.
type loadExchange struct {
	site *site.Site
	// runningCalls returns this gate's running calls by endpoint.
	// recentOutcomes returns the recently ended ones that succeeded or failed.
	runningCalls   func() map[string]int
	recentOutcomes func() (good, bad map[string]int)
	// verdictsRevision returns the revision of a vault's verdicts that this gate has, and
	// receiveVerdicts stores newer ones.
	verdictsRevision func(addr string) uint64
	receiveVerdicts  func(addr string, reply *vaults.LoadReply)
	changed          chan struct{}
	// limited is signalled when some endpoint names a limit.
	limited chan struct{}
	// fleet holds the endpoints that said that they are leaving.
	fleet *fleet.Fleet

	mu sync.Mutex
	// leavingKnown is how many leaving endpoints each vault last knew.
	leavingKnown map[string]int
	// leavingLearnedAt is when an endpoint last said to this gate that it is leaving.
	leavingLearnedAt time.Time
	// sentAt is when each vault in another data centre was last sent this
	// gate's load.
	sentAt map[string]time.Time
	// requestedAt is when the others' load was last requested.
	requestedAt time.Time
	// othersCalls holds the other gates' running calls by endpoint, and failing
	// the endpoints that all gates together saw fail. Both arrived at
	// receivedAt.
	othersCalls map[string]int
	failing     []string
	receivedAt  time.Time
}

func newLoadExchange(s *site.Site) *loadExchange {
	return &loadExchange{
		site: s, runningCalls: func() map[string]int { return nil },
		recentOutcomes:   func() (good, bad map[string]int) { return nil, nil },
		verdictsRevision: func(string) uint64 { return 0 }, receiveVerdicts: func(string, *vaults.LoadReply) {},
		changed: make(chan struct{}, 1), limited: make(chan struct{}, 1), sentAt: map[string]time.Time{}, fleet: fleet.New(), leavingKnown: map[string]int{},
	}
}

// loadFor returns the load to send to a vault with a message, or nil. A vault
// in this data centre always gets this gate's load and usually returns the
// others'. That list is long, so it is requested from another data centre only
// if this one has no vault.
func (x *loadExchange) loadFor(now time.Time, roster *seats.Roster, to seats.Seat) *vaults.Load {
	if to.Centre == x.site.Centre {
		return x.fullLoad(now, to.Addr)
	}
	x.mu.Lock()
	sendDue := now.Sub(x.sentAt[to.Addr]) >= remoteLoadEvery
	wanted := sendDue && !roster.HasCentre(x.site.Centre) && now.Sub(x.requestedAt) >= remoteLoadEvery
	if sendDue {
		x.sentAt[to.Addr] = now
	}
	x.mu.Unlock()
	switch {
	case wanted:
		return x.fullLoad(now, to.Addr)
	case sendDue:
		l := &vaults.Load{Node: x.site.Node, Calls: x.runningCalls()}
		if now.Sub(x.leavingSince()) < leavingNewsAge {
			l.Leaving = x.fleet.LeavingMarks()
		}
		return l
	}
	return nil
}

// markLeaving notes that an endpoint said to this gate that it is leaving.
func (x *loadExchange) markLeaving(now time.Time) {
	x.mu.Lock()
	x.leavingLearnedAt = now
	x.mu.Unlock()
	x.markChanged()
}

func (x *loadExchange) leavingSince() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.leavingLearnedAt
}

// fullLoad returns all that the vault at addr adds up. It requests the others'
// load unless that was requested just before.
func (x *loadExchange) fullLoad(now time.Time, addr string) *vaults.Load {
	x.mu.Lock()
	known, news := x.leavingKnown[addr], now.Sub(x.leavingLearnedAt) < leavingNewsAge
	wanted := now.Sub(x.requestedAt) >= time.Duration(len(x.othersCalls))*pausePerEntry
	if wanted {
		x.requestedAt = now
	}
	x.mu.Unlock()
	good, bad := x.recentOutcomes()
	l := &vaults.Load{
		Node: x.site.Node, Calls: x.runningCalls(), Succeeded: good, Failed: bad, WantOthers: wanted, LeavingCount: x.fleet.LeavingCount(),
	}
	if known != l.LeavingCount || news {
		l.Leaving = x.fleet.LeavingMarks()
	}
	if wanted {
		l.VerdictsRevision = x.verdictsRevision(addr)
	}
	return l
}

// markChanged notes that this gate's load has changed.
func (x *loadExchange) markChanged() {
	select {
	case x.changed <- struct{}{}:
	default:
	}
}

// markLimited notes that some endpoint names a limit.
func (x *loadExchange) markLimited() {
	select {
	case x.limited <- struct{}{}:
	default:
	}
}

// receive stores the others' load from the answer of the vault at addr.
func (x *loadExchange) receive(addr string, l *vaults.LoadReply) {
	if l == nil {
		return
	}
	for id, startedAt := range l.Leaving {
		x.fleet.MarkLeaving(id, startedAt)
	}
	if l.Limited {
		x.markLimited()
	}
	x.receiveVerdicts(addr, l)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.leavingKnown[addr] = l.LeavingCount
	x.othersCalls, x.failing, x.receivedAt = l.OtherCalls, l.FailingEndpoints, time.Now()
}

// failingEndpoints returns the endpoints that the gates together recently saw
// fail.
func (x *loadExchange) failingEndpoints(now time.Time) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if now.Sub(x.receivedAt) > failingAge {
		return nil
	}
	return x.failing
}

// others returns the other gates' running calls by endpoint and the age of that
// report.
func (x *loadExchange) others(now time.Time) (map[string]int, time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	age := now.Sub(x.receivedAt)
	if age > othersAge {
		return nil, 0
	}
	return x.othersCalls, age
}

// loadLoop sends changes of this gate's load to the vaults of this data centre.
func (c *vaultClient) loadLoop(ctx context.Context) {
	for {
		select {
		case <-c.exchange.changed:
		case <-ctx.Done():
			return
		}
		roster := c.currentRoster()
		for _, s := range roster.Seats {
			if s.Centre == c.site.Centre && c.connection(s.Addr).Connected() {
				go c.sendLoad(ctx, s.Addr)
			}
		}
		select {
		case <-time.After(loadPause):
		case <-ctx.Done():
		}
	}
}

// sendLoad sends this gate's load to one vault and stores the others' load from
// its answer.
func (c *vaultClient) sendLoad(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	message := c.exchange.fullLoad(time.Now(), addr)
	m, err := c.connection(addr).Call(ctx, message)
	if err != nil {
		c.log.Debug().Err(err).Str("vault", addr).Msg("sending the load failed; the next change repeats it")
		return
	}
	if l, ok := m.(*vaults.LoadReply); ok && message.WantOthers {
		c.exchange.receive(addr, l)
	}
}
