// Package gate runs one entry host of the platform: it takes callers' requests,
// chooses endpoints for them, serves the balancer's readiness check, and reads
// and writes chains and accounts at the vaults.
package gate

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/coordination/cutoff"
	"github.com/cowslipstage/cowslipstage/coordination/eject"
	"github.com/cowslipstage/cowslipstage/coordination/fresh"
	"github.com/cowslipstage/cowslipstage/coordination/gauge"
	"github.com/cowslipstage/cowslipstage/coordination/halt"
	"github.com/cowslipstage/cowslipstage/coordination/hedge"
	"github.com/cowslipstage/cowslipstage/coordination/quota"
	"github.com/cowslipstage/cowslipstage/coordination/retry"
	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/coordination/slack"
	"github.com/cowslipstage/cowslipstage/coordination/stall"
	"github.com/cowslipstage/cowslipstage/protocol/meta"
	"github.com/cowslipstage/cowslipstage/state/blame"
	"github.com/cowslipstage/cowslipstage/state/bulk"
	"github.com/cowslipstage/cowslipstage/state/caps"
	"github.com/cowslipstage/cowslipstage/state/fleet"
	"github.com/cowslipstage/cowslipstage/state/heavy"
	"github.com/cowslipstage/cowslipstage/state/homes"
	"github.com/cowslipstage/cowslipstage/state/memory"
	"github.com/cowslipstage/cowslipstage/state/recent"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/state/table"
	"github.com/cowslipstage/cowslipstage/transport/intake"
	"github.com/cowslipstage/cowslipstage/transport/pool"
	"github.com/cowslipstage/cowslipstage/transport/relay"
	"github.com/cowslipstage/cowslipstage/transport/window"
	"github.com/cowslipstage/cowslipstage/transport/wsrpc"
)

const (
	// drainDelay is how long a stopping gate still accepts new connections: the
	// balancer checks once a second and acts on the second failed check.
	drainDelay = 2500 * time.Millisecond
	// endTime is how long requests that are ended may take to answer their callers.
	endTime = 200 * time.Millisecond
	// drainCheckEvery is the pause between two checks whether all connections
	// have ended.
	drainCheckEvery = 50 * time.Millisecond
	// sweepEvery is the pause between two sweeps of idle connections to
	// endpoints.
	sweepEvery = 2 * time.Second
	// answersShare is the fraction of the memory that answers in progress may take. Reading them
	// takes up to as much again.
	answersShare = 0.15
	// homeBytes is the memory for which a gate remembers the home of one session.
	homeBytes = 32 << 10
	// routineLines is how many log lines a second report requests that end
	// well. Beyond it, one in routineSampleN is logged. A gate at peak load
	// writes some 300 a second.
	routineLines   = 400
	routineSampleN = 20
	// unreadLines is how many log lines a second report requests that were not read to their end.
	unreadLines = 20
)

// RosterSource reads the roster of the vaults and its revision, or, at a fraction of
// the cost, one that may be seconds old.
type RosterSource interface {
	Roster(ctx context.Context) (*seats.Roster, int64, error)
	RecentRoster(ctx context.Context) (*seats.Roster, error)
}

// Gate is one running entry host.
type Gate struct {
	site    *site.Site
	dialect meta.Dialect
	log     zerolog.Logger
	// routine logs requests that end well: all of them up to a rate, then a
	// sample. Failures are always logged, by log.
	routine zerolog.Logger
	// unread logs some of the requests that were refused before they were read to their end.
	unread zerolog.Logger
	meters *meters
	set    *metrics.Set
	pool   *pool.Pool
	// connect opens connections to endpoints and relays.
	connect relay.DialFunc
	// relay connects to endpoints for other gates.
	relay *relay.Server
	// vaultRelays counts the relayed connections to vaults. They last as long as this process,
	// so that a stop does not wait for them.
	vaultRelays atomic.Int64
	// cutChanged is signalled when a cut begins or ends.
	cutChanged chan struct{}
	vaults     *vaultClient
	fleet      *fleet.Fleet
	table      atomic.Pointer[table.Table]
	ready      atomic.Bool
	// memory bounds what is held for callers and for other gates.
	memory *memory.Budget
	// halt is nil until the gate is stopped. It then tells callers to use other connections.
	halt atomic.Pointer[halt.Plan]
	// bulk bounds what is held of all answers.
	bulk *bulk.Bulk
	// ended ends with end, when the requests in progress must end.
	ended context.Context
	end   context.CancelFunc
	// active counts the requests in progress.
	active atomic.Int64
	// allowances holds the customers' quotas.
	allowances *allowances

	mu sync.Mutex
	// outliers, stalls and loads hold what this gate's calls have shown of the
	// endpoints.
	outliers *eject.Detector
	stalls   *stall.Detector
	loads    map[string]*load
	// caps holds the limits that endpoints named.
	caps *caps.Caps
	// quota spaces the requests to them.
	quota *quota.Quota
	// cutoff notices that this gate reaches no endpoint.
	cutoff *cutoff.Detector
	// relays holds the gates that connect for this one while it is cut off.
	relays relays
	// homes holds the endpoints of the sessions whose last turn ran through this gate.
	homes *homes.Homes
	// hedger decides when slow calls of plain services are also sent elsewhere.
	hedger *hedge.Hedger
	// lostRetries bounds the retries of calls whose answers are presumed lost.
	lostRetries *retry.Budget
	// waiting counts the calls that wait for room.
	waiting waiting
	// rooms holds the room of each service as it was last added up.
	rooms map[string]*room
	// resends bounds by service how often calls that endpoints declined are sent again,
	// where admission is controlled.
	resends map[string]*retry.Budget
	// speeds holds what calls have shown of each service's engines.
	speeds map[string]*gauge.Gauge
	// slacks holds what programs have shown of the time that they have to spare, by service.
	slacks map[string]*slack.Slack
	// crashProbes holds the recent probes of endpoints whose connections broke.
	crashProbes map[blame.Crash]*crashProbe
	// confirmed decides whether the configuration is recent enough to check keys by, and
	// customers which of them the metrics name.
	confirmed *fresh.Fresh
	customers *heavy.Heavy
	// suspects holds the requests that crash endpoints, or may do so. suspectsChanged is
	// signalled when the vaults are to be told.
	suspects        suspects
	suspectsChanged chan struct{}
	// successes and failures count recently ended calls by endpoint.
	successes, failures *recent.Recent
	random              *rand.Rand
}

// New returns a gate that has no routes and no endpoints yet.
func New(s *site.Site, d meta.Dialect, r RosterSource, set *metrics.Set, log zerolog.Logger) *Gate {
	g := &Gate{
		site: s, dialect: d, log: log, meters: newMeters(set), set: set, fleet: fleet.New(), connect: pool.Dial,
		outliers: eject.New(), stalls: stall.New(), cutoff: cutoff.New(), caps: caps.New(), quota: quota.New(),
		relays: relays{failedAt: map[string]time.Time{}}, crashProbes: map[blame.Crash]*crashProbe{},
		suspects: newSuspects(), suspectsChanged: make(chan struct{}, 1), cutChanged: make(chan struct{}, 1),
		loads: map[string]*load{}, speeds: map[string]*gauge.Gauge{}, slacks: map[string]*slack.Slack{}, successes: recent.New(), failures: recent.New(),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	g.memory = memory.New(s.ClientBytes())
	g.bulk = bulk.New(int64(answersShare * float64(s.Memory)))
	g.ended, g.end = context.WithCancel(context.Background())
	g.hedger, g.lostRetries = newHedger(s.HedgeShare), retry.NewHedges(time.Now())
	g.waiting = waiting{calls: map[string]int{}, maxBytes: int64(maxWaitingShare * float64(s.Memory))}
	g.resends, g.rooms = map[string]*retry.Budget{}, map[string]*room{}
	g.confirmed, g.customers = fresh.New(s.Revocation), heavy.New(labelledCustomers)
	g.homes = homes.New(int(s.Memory / homeBytes))
	g.allowances = newAllowances(time.Now(), s.Quota)
	set.NewGauge("cowslipstage_gate_quota_view_age_seconds", g.viewAge)
	set.NewGauge("cowslipstage_client_bytes", func() float64 { return float64(g.memory.Taken()) })
	g.pool = pool.New(set, g.dialEndpoint)
	g.relay = relay.New(g.dialForPeer, g.memory.Group(s.RelayConns()), log)
	g.routine = log.Sample(&zerolog.BurstSampler{
		Burst: routineLines, Period: time.Second, NextSampler: &zerolog.BasicSampler{N: routineSampleN},
	})
	g.unread = log.Sample(&zerolog.BurstSampler{Burst: unreadLines, Period: time.Second})
	g.vaults = newVaultClient(s, r, set, log)
	g.vaults.clients.SetMessages(wsrpc.NewMessages(g.memory))
	g.vaults.clients.SetDials(wsrpc.Dial, g.dialVault)
	g.vaults.exchange.fleet = g.fleet
	g.vaults.exchange.runningCalls, g.vaults.exchange.recentOutcomes = g.runningCalls, g.recentOutcomes
	g.vaults.exchange.verdictsRevision, g.vaults.exchange.receiveVerdicts = g.verdictsRevision, g.receiveVerdicts
	return g
}

// SetRoutes puts a version of the routes into force, unless a version at least
// as new is in force already.
func (g *Gate) SetRoutes(t *table.Table) {
	old := g.table.Load()
	if old != nil && t.Version() <= old.Version() {
		return
	}
	g.table.Store(t)
	g.ready.Store(!g.stopping())
	g.allowances.signal()
	g.log.Info().Uint64("version", t.Version()).Msg("configuration in force")
}

// SetEndpoints replaces the list of endpoints. outage says that the list could
// not be read for a while before.
func (g *Gate) SetEndpoints(entries []fleet.Entry, outage bool) {
	g.fleet.ReplaceAll(time.Now(), entries, outage)
	g.log.Info().Int("endpoints", len(entries)).Bool("outage", outage).Msg("endpoints listed")
}

// PutEndpoint adds an endpoint or updates its entry.
func (g *Gate) PutEndpoint(e fleet.Entry) {
	g.fleet.Put(e)
	g.log.Info().Str("endpoint", e.ID).Str("service", e.Service).Str("addr", e.Addr).Bool("leaving", e.Leaving).Msg("endpoint added or updated")
}

// RemoveEndpoint removes an endpoint. outage says that its entry may have
// lapsed only because the list could not be read.
func (g *Gate) RemoveEndpoint(id string, outage bool) {
	g.fleet.Remove(time.Now(), id, outage)
	g.log.Info().Str("endpoint", id).Bool("outage", outage).Msg("endpoint removed")
}

// Run serves until ctx ends, then drains the requests in progress.
func (g *Gate) Run(ctx context.Context) error {
	listener, err := intake.Listen(g.site.Frontend, window.Bytes)
	if err != nil {
		return errors.Wrap(err, "gate: listening for callers")
	}
	readyListener, err := intake.Listen(g.site.Ready, window.Bytes)
	if err != nil {
		return errors.Wrap(err, "gate: listening for the balancer")
	}
	callerServer := intake.New(http.HandlerFunc(g.serve), intake.Options{
		Name: "callers", Budget: g.memory, Conns: g.site.CallerConns(), Limits: g.callerLimits, RetryAfter: g.retryAfter, Set: g.set, Log: g.log,
	})
	balancerServer := intake.NewBrief(g.balancerHandler(), "ready", g.set, g.log)
	go g.listen(callerServer, listener)
	go g.listen(balancerServer, readyListener)
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go g.vaults.rosterLoop(background)
	go g.vaults.connectLoop(background)
	go g.vaults.loadLoop(background)
	go g.limitsLoop(background)
	go g.allowancesLoop(background)
	go g.suspectsLoop(background)
	go g.probeLoop(background)
	go g.relayLoop(background)
	go g.sweep(background)
	relayListener := g.listenRelay()
	<-ctx.Done()
	g.stop(callerServer, listener, relayListener)
	g.endAllowances(background)
	return balancerServer.Close()
}

// acceptsCallers reports whether new connections are welcome. If no vault can
// be reached, or no endpoint in any way, another gate serves callers better.
func (g *Gate) acceptsCallers() bool {
	return g.ready.Load() && !g.vaults.cutOff() && !g.isolated(time.Now())
}

// server serves what a listener accepts.
type server interface{ Serve(l net.Listener) error }

func (g *Gate) listen(s server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		g.log.Error().Err(err).Msg("listener failed")
	}
}

// balancerHandler serves the readiness check of the balancer.
func (g *Gate) balancerHandler() http.Handler {
	r := chi.NewRouter()
	r.Get(g.dialect.ReadyPath(), func(w http.ResponseWriter, _ *http.Request) {
		if !g.acceptsCallers() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// stopping reports whether the gate is being stopped.
func (g *Gate) stopping() bool { return g.halt.Load() != nil }

// stop drains the gate: it reports not ready, then closes the listener and idle
// connections, then waits for the requests in progress until most of the grace
// period is over, and ends them.
func (g *Gate) stop(callers *intake.Server, listener, relayListener net.Listener) {
	started := time.Now()
	plan := halt.New(started, g.site.Grace)
	g.log.Info().Int64("active", g.active.Load()).Time("until", plan.CutAt()).Msg("stopping, draining requests")
	g.halt.Store(plan)
	g.ready.Store(false)
	g.signalCut() // withdraws the offer to relay
	time.Sleep(min(drainDelay, g.site.Grace/3))
	if err := listener.Close(); err != nil {
		g.log.Warn().Err(err).Msg("closing the listener failed")
	}
	if relayListener != nil {
		_ = relayListener.Close() // other gates have been told
	}
	// A connection accepted before the listener closed may be read only now, so
	// two checks in a row must find nothing in progress.
	for quiet := 0; quiet < 2 && time.Now().Before(plan.CutAt()); time.Sleep(drainCheckEvery) {
		if callers.CloseIdle() == 0 && g.active.Load() == 0 && g.relay.Active() <= g.vaultRelays.Load() {
			quiet++
		} else {
			quiet = 0
		}
	}
	cut := g.active.Load()
	g.end()
	for end := time.Now().Add(min(endTime, time.Until(started.Add(g.site.Grace))/2)); g.active.Load() > 0 && time.Now().Before(end); {
		time.Sleep(drainCheckEvery / 10)
	}
	g.log.Info().Int64("cut", cut).Int64("unanswered", g.active.Load()).Dur("took", time.Since(started)).Msg("stopped")
}

// sweep closes idle connections to endpoints until ctx ends.
func (g *Gate) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			g.pool.CloseExpired(now)
		case <-ctx.Done():
			return
		}
	}
}
