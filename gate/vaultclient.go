package gate

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/coordination/retry"
	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/state/toggle"
	"github.com/cowslipstage/cowslipstage/transport/wsrpc"
)

// Errors of the vault client.
var (
	// errUncertain means that too few vaults answered to be sure of the result.
	errUncertain = errors.New("gate: too few vaults answered")
	errUnknown   = errors.New("gate: no such turn")
	errSpent     = errors.New("gate: the budget is spent")
	errFull      = errors.New("gate: the vaults have no room for a further turn")
)

const (
	// hedgeTime is how long a vault may take before another one is asked as
	// well: several times a slow disk's sync plus the round trip.
	hedgeTime = 40 * time.Millisecond
	// vaultTimeout is how long a vault may take before another one is asked even
	// if the budget of hedges is used up: longer than a slow disk's sync. The answer
	// of a slow vault counts nevertheless, because all may be slow.
	vaultTimeout = 300 * time.Millisecond
	// openTime bounds how long vaults are waited for before a turn runs. It leaves the
	// caller time to send the turn again.
	openTime = time.Second
	// minRetryPause and maxRetryPause bound the pause between two attempts to record
	// something at the vaults. The pause doubles, so that vaults that are behind are
	// not asked ever more often; it stays short against the time after which a
	// caller gives up a stream.
	minRetryPause = 30 * time.Millisecond
	maxRetryPause = 240 * time.Millisecond
	// receiptAge is how long it counts that a vault has recorded something while
	// others have not. A host that loses its disk is not back as a copy that soon.
	receiptAge = time.Second
	// rosterEvery is the pause between two reads of the roster until it is
	// known, and while vaults fail.
	rosterEvery = 600 * time.Millisecond
	// maxRosterPause bounds the pause while the roster stays the same. It is within
	// the time to recover.
	maxRosterPause = 5 * time.Second
	// cacheShare is the fraction of the memory that cached chains may take.
	cacheShare = 0.15
	// keepFactor is how many retention times an account is kept, because a
	// program that was stopped may resume within the retention time.
	keepFactor = 2
	// latencyWeight is the weight of a vault's newest latency in its moving
	// average.
	latencyWeight = 0.2
	// latencyAge is how long a slow or failed vault is asked last before it is
	// tried again in its usual place.
	latencyAge = time.Second
)

// vaultClient reads and writes chains and accounts at the vaults.
type vaultClient struct {
	site         *site.Site
	off          toggle.Set
	started      time.Time
	rosters      RosterSource
	log          zerolog.Logger
	beginSeconds *metrics.Histogram
	endSeconds   *metrics.Histogram
	cacheMisses  *metrics.Counter
	// hedgesDenied counts the hedges that the budget did not allow.
	hedgesDenied *metrics.Counter
	// chainAnswers counts the answers that contained turns of a chain.
	chainAnswers *metrics.Counter
	// exchange holds what gates know of each other's running calls.
	exchange *loadExchange

	clients wsrpc.Group

	mu     sync.Mutex
	roster *seats.Roster
	// latencies holds the moving average of each vault's latency, measured at
	// measuredAt. A failed vault gets a large one.
	latencies  map[string]time.Duration
	measuredAt map[string]time.Time
	// cache holds turns by ID and owner. Their size is cachedBytes.
	cache       *simplelru.LRU[cacheKey, *chains.Turn]
	cachedBytes int64
	// hedges bounds how often a further vault is asked because others are slow.
	hedges *retry.Budget
	// connectedVaults counts the vaults with an open connection, as of the last
	// check. moreConnected is closed and replaced when it rises.
	connectedVaults int
	moreConnected   chan struct{}
	// rosterWanted asks rosterLoop to read the roster again.
	rosterWanted chan struct{}
}

func newVaultClient(s *site.Site, r RosterSource, set *metrics.Set, log zerolog.Logger) *vaultClient {
	c := &vaultClient{
		site: s, off: s.Off, started: time.Now(), rosters: r, log: log, exchange: newLoadExchange(s), roster: &seats.Roster{},
		latencies: map[string]time.Duration{}, measuredAt: map[string]time.Time{}, rosterWanted: make(chan struct{}, 1), moreConnected: make(chan struct{}), hedges: retry.NewHedges(time.Now()),
		beginSeconds: set.NewHistogram("cowslipstage_gate_vault_begin_seconds"),
		endSeconds:   set.NewHistogram("cowslipstage_gate_vault_end_seconds"),
		cacheMisses:  set.NewCounter("cowslipstage_gate_chains_fetched_total"),
		hedgesDenied: set.NewCounter("cowslipstage_gate_vault_hedges_denied_total"),
		chainAnswers: set.NewCounter("cowslipstage_gate_chain_answers_total"),
	}
	// cacheTurns bounds the cache by bytes, not by entries.
	c.cache, _ = simplelru.NewLRU(1<<20, func(_ cacheKey, t *chains.Turn) { c.cachedBytes -= turnBytes(t) })
	return c
}

// turnBytes returns the memory that a cached turn takes, about.
func turnBytes(t *chains.Turn) int64 { return int64(len(t.Input)+len(t.Output)) + 256 }

// rosterLoop reads the roster from the key-value service until vaults have sent
// one, and again while vaults fail, then ever more seldom as long as it stays the
// same: all gates fail at once when vaults do.
func (c *vaultClient) rosterLoop(ctx context.Context) {
	pause := time.Duration(0)
	if c.site.FirstStart {
		pause = rosterEvery // the vaults are starting too and will send the roster
	}
	for recent := true; ctx.Err() == nil; recent = !recent {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		known := c.currentRoster()
		complete := len(known.Seats) >= seats.TargetCount(c.site.MaxLostHosts)
		if complete {
			select {
			case <-c.rosterWanted:
			case <-ctx.Done():
				return
			}
		}
		r, err := c.readRoster(ctx, recent || complete)
		if err != nil {
			c.log.Warn().Err(err).Msg("reading the roster failed")
		} else {
			c.adopt(r)
		}
		if c.currentRoster().Version > known.Version || pause < rosterEvery {
			pause = rosterEvery
		} else {
			pause = min(maxRosterPause, 2*pause)
		}
	}
}

// readRoster reads the roster from the key-value service. One that may be seconds old
// is enough if it has a quorum's seats, because vaults tell of newer ones.
func (c *vaultClient) readRoster(ctx context.Context, recent bool) (*seats.Roster, error) {
	if recent {
		return c.rosters.RecentRoster(ctx)
	}
	r, _, err := c.rosters.Roster(ctx)
	return r, err
}

// requestRoster asks rosterLoop for a newer roster.
func (c *vaultClient) requestRoster() {
	select {
	case c.rosterWanted <- struct{}{}:
	default:
	}
}

// adopt uses a roster if it is newer than the known one.
func (c *vaultClient) adopt(r *seats.Roster) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r == nil || r.Version <= c.roster.Version {
		return
	}
	c.log.Info().Stringer("old", c.roster).Stringer("new", r).Msg("roster adopted")
	c.roster = r
}

func (c *vaultClient) currentRoster() *seats.Roster {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roster
}

// orderSeats returns the seats in the roster's order, with recently slow or
// failed vaults last.
func (c *vaultClient) orderSeats(r *seats.Roster, key string) []seats.Seat {
	order := r.Order(c.site.Centre, key)
	c.mu.Lock()
	defer c.mu.Unlock()
	var fast, slow []seats.Seat
	for _, s := range order {
		if c.latencies[s.Addr] > hedgeTime && time.Since(c.measuredAt[s.Addr]) < latencyAge {
			slow = append(slow, s)
		} else {
			fast = append(fast, s)
		}
	}
	return append(fast, slow...)
}

func (c *vaultClient) connection(addr string) *wsrpc.Client { return c.clients.Client(addr) }

// callVault sends a message to one vault and measures its latency.
func (c *vaultClient) callVault(ctx context.Context, addr string, m vaults.Message) (vaults.Message, error) {
	started := time.Now()
	c.mu.Lock()
	c.hedges.AddCall()
	c.mu.Unlock()
	answer, err := c.connection(addr).Call(ctx, m)
	took := time.Since(started)
	c.mu.Lock()
	defer c.mu.Unlock()
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil, err
	}
	old := c.latencies[addr]
	c.measuredAt[addr] = time.Now()
	if err != nil {
		c.latencies[addr] = 2 * hedgeTime
		return nil, err
	}
	c.latencies[addr] = old + time.Duration(latencyWeight*float64(took-old))
	return answer, nil
}

// reply is one vault's answer or error.
type reply struct {
	seat   seats.Seat
	answer vaults.Message
	err    error
}

// gather sends messages to seats in order until enough have accepted: as many
// at once as are needed, one more for each that declines, and one more for each
// hedgeTime that passes, as far as the budget of hedges allows, and for each
// vaultTimeout in any case. accept reports whether an answer counts as accepted. It waits for
// vaults until ctx ends; those that are away fail before.
func (c *vaultClient) gather(ctx context.Context, order []seats.Seat, needed int, message func(i int, s seats.Seat) vaults.Message, accept func(seats.Seat, vaults.Message) bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan reply, len(order))
	next, accepted := 0, 0
	pending := map[string]bool{}
	ask := func() {
		if next < len(order) {
			s, m := order[next], message(next, order[next])
			next++
			pending[s.Addr] = true
			go func() {
				answer, err := c.callVault(ctx, s.Addr, m)
				replies <- reply{s, answer, err}
			}()
		}
	}
	for range needed {
		ask()
	}
	hedge := time.NewTicker(hedgeTime)
	defer hedge.Stop()
	slow := time.NewTicker(vaultTimeout)
	defer slow.Stop()
	for accepted < needed {
		if len(pending) == 0 {
			return errors.Wrapf(errUncertain, "%d of %d", accepted, needed)
		}
		select {
		case r := <-replies:
			delete(pending, r.seat.Addr)
			if r.err == nil && accept(r.seat, r.answer) {
				accepted++
				continue
			}
			ask()
		case now := <-hedge.C:
			if next < len(order) && c.mayHedge(now, pending) {
				ask()
			}
		case <-slow.C:
			ask()
		case <-ctx.Done():
			return errors.Mark(errors.Wrapf(ctx.Err(), "waiting for vaults, %d of %d", accepted, needed), errUncertain)
		}
	}
	return nil
}

// mayHedge reports whether one more vault may be asked because the pending ones are
// slow. They are asked last for a while, so that later calls need no hedge.
func (c *vaultClient) mayHedge(now time.Time, pending map[string]bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr := range pending {
		c.latencies[addr] = max(c.latencies[addr], 2*hedgeTime)
		c.measuredAt[addr] = now
	}
	if !c.off.On(toggle.VaultHedges) || !c.hedges.Take(now) {
		c.hedgesDenied.Inc()
		return false
	}
	return true
}

// maxRosterRounds is how often a step is tried while the roster changes.
const maxRosterRounds = 4

// acceptStatus reports whether a vault did what it was asked. It adopts a newer
// roster from the vault, and sends the vault the known one if the vault's is
// older.
func (c *vaultClient) acceptStatus(seat seats.Seat, s vaults.Status, r *seats.Roster) bool {
	switch s {
	case vaults.SenderStale:
		c.adopt(r)
	case vaults.VaultStale:
		roster := c.currentRoster()
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), rosterEvery)
			defer cancel()
			if _, err := c.callVault(ctx, seat.Addr, &vaults.Adopt{Roster: roster}); err != nil {
				c.log.Info().Err(err).Str("vault", seat.Node).Msg("sending the roster to a vault failed")
			}
		}()
	}
	return s == vaults.Done
}

// vaultAddrs returns the addresses of the vaults, those in this data centre
// first, or the configured seeds if the roster is not known.
func (c *vaultClient) vaultAddrs() []string {
	roster := c.currentRoster()
	if len(roster.Seats) == 0 {
		return c.site.Seeds
	}
	var addrs []string
	for _, s := range roster.Order(c.site.Centre, c.site.Node) {
		addrs = append(addrs, s.Addr)
	}
	return addrs
}

// recordTurn stores a complete turn at a quorum of vaults. The caller's answer
// may end only after that.
func (c *vaultClient) recordTurn(ctx context.Context, t *chains.Turn) error {
	started := time.Now()
	defer c.endSeconds.UpdateDuration(started)
	err := c.sendEnd(ctx, t.Program, func(version uint64) *vaults.End {
		return &vaults.End{Version: version, Turn: t}
	})
	if err == nil {
		kept := *t
		kept.Written = started.UnixMilli()
		c.cacheTurns(&kept)
	}
	return err
}

// settle stores what a turn that is not kept has spent, and where it ran unless home is
// nil.
func (c *vaultClient) settle(ctx context.Context, s *chains.Spent, home *vaults.Home) error {
	return c.sendEnd(ctx, s.Program, func(version uint64) *vaults.End {
		return &vaults.End{Version: version, Spent: s, Home: home}
	})
}

// retryUncertain repeats a step while it fails with errUncertain, until ctx
// ends or mayRetry denies it. Rosters change and vaults recover within moments.
func (c *vaultClient) retryUncertain(ctx context.Context, mayRetry func(now time.Time) bool, step func() error) error {
	for pause := minRetryPause; ; pause = min(maxRetryPause, 2*pause) {
		moreConnected := c.moreConnectedSignal()
		err := step()
		if err == nil || !errors.Is(err, errUncertain) || ctx.Err() != nil || !mayRetry(time.Now()) {
			return err
		}
		select {
		case <-time.After(pause):
		case <-moreConnected:
		case <-ctx.Done():
		}
	}
}

// sendEnd sends the end of a turn to a quorum of vaults, until settleTime has passed.
// Vaults that have recorded it are not sent it again. It is encoded once for all.
func (c *vaultClient) sendEnd(ctx context.Context, key string, end func(version uint64) *vaults.End) error {
	receipts := receipts{}
	until := time.Now().Add(settleTime)
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	var message *vaults.Prepared
	prepared := uint64(0)
	return c.retryUncertain(ctx, func(now time.Time) bool { return now.Before(until) }, func() error {
		return c.withRoster(ctx, func(roster *seats.Roster) error {
			order := receipts.remaining(time.Now(), roster.Version, c.orderSeats(roster, key))
			needed := roster.Quorum() - (len(roster.Seats) - len(order))
			if message == nil || prepared != roster.Version {
				var err error
				if message, err = vaults.Prepare(end(roster.Version)); err != nil {
					return err
				}
				prepared = roster.Version
			}
			return c.gather(ctx, order, needed, func(int, seats.Seat) vaults.Message {
				return message
			}, func(s seats.Seat, m vaults.Message) bool {
				a, ok := m.(*vaults.EndReply)
				if !ok || !c.acceptStatus(s, a.Status, a.Roster) {
					return false
				}
				receipts[s.Node] = receipt{roster.Version, time.Now()}
				return true
			})
		})
	})
}

// receipt says that a vault recorded something under a roster version.
type receipt struct {
	version uint64
	at      time.Time
}

// receipts holds the receipts for one record by node.
type receipts map[string]receipt

// remaining returns the seats without a receipt that counts under a roster version.
func (r receipts) remaining(now time.Time, version uint64, order []seats.Seat) []seats.Seat {
	return slices.DeleteFunc(order, func(s seats.Seat) bool {
		known, ok := r[s.Node]
		return ok && known.version == version && now.Sub(known.at) < receiptAge
	})
}
