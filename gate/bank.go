package gate

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/transport/calls"
)

// The ways in which the vaults decline.
var (
	errUncertain = errors.New("gate: too few vaults answered")
	errUnknown   = errors.New("gate: no such turn")
	errSpent     = errors.New("gate: the budget is spent")
)

const (
	// hedgeTime is how long a vault may take before another is asked as well:
	// several times a slow disk's sync and the way.
	hedgeTime = 40 * time.Millisecond
	// vaultTime bounds a call of one vault: beyond a slow disk's sync, a quarter
	// of the shortest time in which a caller gives up.
	vaultTime = 300 * time.Millisecond
	// persistEvery is the pause between two tries to note what has happened;
	// short against the time in which a caller gives up a stream.
	persistEvery = 30 * time.Millisecond
	// openTime is how long a turn that has not run is tried again here; after
	// that its caller does better through another gate.
	openTime = 100 * time.Millisecond
	// reachEvery is the pause between two tries to reach vaults that are cut off.
	reachEvery = 200 * time.Millisecond
	// rosterEvery is the pause between questions for the roster until it is known,
	// and while vaults fail.
	rosterEvery = 600 * time.Millisecond
	// cacheShare is the part of the memory for chains kept at the gate.
	cacheShare = 0.15
	// keepFactor is how many times the retention an account is kept: a program
	// that was stopped may come back within the retention.
	keepFactor = 2
	// lagWeight is the weight of a vault's newest time in its mean.
	lagWeight = 0.2
	// lagAge is how long a slow or failed vault goes last before it is tried again.
	lagAge = time.Second
)

// bank is a gate's side of the vaults.
type bank struct {
	site    *site.Site
	rosters RosterSource
	log     zerolog.Logger
	begins  *metrics.Histogram
	ends    *metrics.Histogram
	missed  *metrics.Counter
	// fetched counts the answers that brought turns of a chain.
	fetched *metrics.Counter
	// share is what gates know of each other's running calls.
	share *share

	clients calls.Group

	mu     sync.Mutex
	roster *seats.Roster
	// lags is each vault's usual time to answer, as of lagged; failed ones get a
	// large one.
	lags   map[string]time.Duration
	lagged map[string]time.Time
	// cache holds chains by turn; cached is its size in bytes.
	cache  *simplelru.LRU[string, *chains.Turn]
	cached int64
	wake   chan struct{}
}

func newBank(s *site.Site, r RosterSource, set *metrics.Set, log zerolog.Logger) *bank {
	b := &bank{
		site: s, rosters: r, log: log, share: newShare(s), roster: &seats.Roster{},
		lags: map[string]time.Duration{}, lagged: map[string]time.Time{}, wake: make(chan struct{}, 1),
		begins:  set.NewHistogram("cowslipstage_gate_vault_begin_seconds"),
		ends:    set.NewHistogram("cowslipstage_gate_vault_end_seconds"),
		missed:  set.NewCounter("cowslipstage_gate_chains_fetched_total"),
		fetched: set.NewCounter("cowslipstage_gate_chain_answers_total"),
	}
	// The number of entries is bounded by their bytes.
	b.cache, _ = simplelru.NewLRU(1<<20, func(_ string, t *chains.Turn) { b.cached -= weight(t) })
	return b
}

func weight(t *chains.Turn) int64 { return int64(len(t.Input)+len(t.Output)) + 256 }

// run learns the roster from the key-value service where vaults have not told it,
// and while they fail.
func (b *bank) run(ctx context.Context) {
	pause := time.Duration(0)
	if b.site.FirstStart {
		pause = rosterEvery // the vaults start at the same time
	}
	for ctx.Err() == nil {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		pause = rosterEvery
		if len(b.current().Seats) >= seats.TargetCount(b.site.MaxLostHosts) {
			select {
			case <-b.wake:
			case <-ctx.Done():
				return
			}
		}
		if r, _, err := b.rosters.Roster(ctx); err != nil {
			b.log.Warn().Err(err).Msg("roster not read")
		} else {
			b.adopt(r)
		}
	}
}

// reach keeps trying vaults that cannot be reached, so that it is noticed without
// callers when they can be.
func (b *bank) reach(ctx context.Context) {
	for ctx.Err() == nil {
		for _, addr := range b.nearest() {
			if c := b.client(addr); !c.Live() {
				c.Dial()
			}
		}
		select {
		case <-time.After(reachEvery):
		case <-ctx.Done():
		}
	}
}

// cutOff tells whether none of the vaults can be reached.
func (b *bank) cutOff() bool {
	roster := b.current()
	for _, s := range roster.Seats {
		if !b.client(s.Addr).Failing() {
			return false
		}
	}
	return len(roster.Seats) > 0
}

// doubt asks for a newer roster.
func (b *bank) doubt() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *bank) adopt(r *seats.Roster) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r == nil || r.Version <= b.roster.Version {
		return
	}
	b.log.Info().Stringer("old", b.roster).Stringer("new", r).Msg("roster adopted")
	b.roster = r
}

func (b *bank) current() *seats.Roster {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.roster
}

// order returns the seats, the promptest first among equals in place.
func (b *bank) order(r *seats.Roster, key string) []seats.Seat {
	order := r.Order(b.site.Centre, key)
	b.mu.Lock()
	defer b.mu.Unlock()
	var prompt, slow []seats.Seat
	for _, s := range order {
		if b.lags[s.Addr] > hedgeTime && time.Since(b.lagged[s.Addr]) < lagAge {
			slow = append(slow, s)
		} else {
			prompt = append(prompt, s)
		}
	}
	return append(prompt, slow...)
}

func (b *bank) client(addr string) *calls.Client { return b.clients.Client(addr) }

// call asks one vault and notes how long it took.
func (b *bank) call(ctx context.Context, addr string, m vaults.Message) (vaults.Message, error) {
	begun := time.Now()
	limited, cancel := context.WithTimeout(ctx, vaultTime)
	defer cancel()
	answer, err := b.client(addr).Call(limited, m)
	took := time.Since(begun)
	b.mu.Lock()
	defer b.mu.Unlock()
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil, err
	}
	old := b.lags[addr]
	b.lagged[addr] = time.Now()
	if err != nil {
		b.lags[addr] = 2 * hedgeTime
		return nil, err
	}
	b.lags[addr] = old + time.Duration(lagWeight*float64(took-old))
	return answer, nil
}

// reply is one vault's answer or failure.
type reply struct {
	seat   seats.Seat
	answer vaults.Message
	err    error
}

// gather asks seats in order, as many at once as are needed, and one more each
// time that one declines or is late, until enough have said yes. take tells
// whether an answer is a yes.
func (b *bank) gather(ctx context.Context, order []seats.Seat, needed int, message func(i int, s seats.Seat) vaults.Message, take func(seats.Seat, vaults.Message) bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan reply, len(order))
	next, under, yes := 0, 0, 0
	ask := func() {
		if next < len(order) {
			s, m := order[next], message(next, order[next])
			next++
			under++
			go func() {
				answer, err := b.call(ctx, s.Addr, m)
				replies <- reply{s, answer, err}
			}()
		}
	}
	for range needed {
		ask()
	}
	hedge := time.NewTicker(hedgeTime)
	defer hedge.Stop()
	for yes < needed {
		if under == 0 {
			return errors.Wrapf(errUncertain, "%d of %d", yes, needed)
		}
		select {
		case r := <-replies:
			under--
			if r.err == nil && take(r.seat, r.answer) {
				yes++
				continue
			}
			ask()
		case <-hedge.C:
			ask()
		case <-ctx.Done():
			return errors.Mark(errors.Wrap(ctx.Err(), "waiting for vaults"), errUncertain)
		}
	}
	return nil
}

// rounds is how often a step is begun anew because the roster changed.
const rounds = 4

// accepted takes a vault's status; a newer roster is adopted, and a vault with
// an older one is told.
func (b *bank) accepted(seat seats.Seat, s vaults.Status, r *seats.Roster) bool {
	switch s {
	case vaults.SenderStale:
		b.adopt(r)
	case vaults.VaultStale:
		roster := b.current()
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), rosterEvery)
			defer cancel()
			if _, err := b.call(ctx, seat.Addr, &vaults.Adopt{Roster: roster}); err != nil {
				b.log.Info().Err(err).Str("vault", seat.Node).Msg("vault not told of the roster")
			}
		}()
	}
	return s == vaults.Done
}

// nearest returns where vaults may be, those in this data centre first.
func (b *bank) nearest() []string {
	roster := b.current()
	if len(roster.Seats) == 0 {
		return b.site.Seeds
	}
	var addrs []string
	for _, s := range roster.Order(b.site.Centre, b.site.Node) {
		addrs = append(addrs, s.Addr)
	}
	return addrs
}

// record makes an ended turn last; only then may its answer end.
func (b *bank) record(ctx context.Context, t *chains.Turn) error {
	begun := time.Now()
	defer b.ends.UpdateDuration(begun)
	err := b.persist(ctx, settleTime, func() error {
		return b.end(ctx, t.Program, func(version uint64) *vaults.End {
			copied := *t
			return &vaults.End{Version: version, Turn: &copied}
		})
	})
	if err == nil {
		b.remember(t)
	}
	return err
}

// settle notes what a turn has spent that did not end whole.
func (b *bank) settle(ctx context.Context, s *chains.Spent) error {
	return b.persist(ctx, settleTime, func() error {
		return b.end(ctx, s.Program, func(version uint64) *vaults.End {
			copied := *s
			return &vaults.End{Version: version, Spent: &copied}
		})
	})
}

// persist repeats a step until it is certain, ctx ends or a time has passed:
// rosters change and vaults come back within moments.
func (b *bank) persist(ctx context.Context, limit time.Duration, step func() error) error {
	begun := time.Now()
	for {
		err := step()
		if err == nil || !errors.Is(err, errUncertain) || ctx.Err() != nil || time.Since(begun) > limit {
			return err
		}
		select {
		case <-time.After(persistEvery):
		case <-ctx.Done():
		}
	}
}

func (b *bank) end(ctx context.Context, key string, message func(version uint64) *vaults.End) error {
	return b.inRounds(ctx, func(roster *seats.Roster) error {
		return b.gather(ctx, b.order(roster, key), roster.Quorum(), func(int, seats.Seat) vaults.Message {
			return message(roster.Version)
		}, func(s seats.Seat, m vaults.Message) bool {
			a, ok := m.(*vaults.EndReply)
			return ok && b.accepted(s, a.Status, a.Roster)
		})
	})
}
