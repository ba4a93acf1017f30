// Package gate wires one entry host of the platform together: callers'
// requests, the operators' routes, belief about endpoints, and the vaults that
// keep chains and accounts.
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

	"github.com/cowslipstage/cowslipstage/coordination/eject"
	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/coordination/stall"
	"github.com/cowslipstage/cowslipstage/protocol/meta"
	"github.com/cowslipstage/cowslipstage/state/fleet"
	"github.com/cowslipstage/cowslipstage/state/recent"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/state/table"
	"github.com/cowslipstage/cowslipstage/transport/front"
	"github.com/cowslipstage/cowslipstage/transport/pool"
)

const (
	// noticeTime is how long a stopping gate still takes new connections: the
	// balancer asks once a second and believes the second miss.
	noticeTime = 2500 * time.Millisecond
	// graceShare is the part of the grace after which what is left is cut, so
	// that this is done in order before the kill.
	graceShare = 0.9
	// endEvery is the pause between two looks for connections to end.
	endEvery = 50 * time.Millisecond
	// sweepEvery is the pause between two looks at idle connections.
	sweepEvery = 2 * time.Second
	// headerTime and idleTime bound callers until the operators' limits are
	// known; callers stay within those.
	headerTime = 5 * time.Second
	idleTime   = 60 * time.Second
	maxHeader  = 64 << 10
	// routineLines is how many lines a second tell of requests that end well;
	// beyond it one in routineShare does. A gate at today's peak writes some 300.
	routineLines = 400
	routineShare = 20
)

// RosterSource is where a gate learns who keeps chains.
type RosterSource interface {
	Roster(ctx context.Context) (*seats.Roster, int64, error)
}

// Gate is one running entry host.
type Gate struct {
	site    *site.Site
	dialect meta.Dialect
	log     zerolog.Logger
	// routine takes the lines of requests that end well: all of them up to a
	// rate, then one in some. Failures are never left out.
	routine zerolog.Logger
	meters  *meters
	pool    *pool.Pool
	bank    *bank
	fleet   *fleet.Fleet
	table   atomic.Pointer[table.Table]
	ready   atomic.Bool
	// stopping says that callers are to use other connections.
	stopping atomic.Bool
	// active counts requests under way.
	active atomic.Int64

	mu sync.Mutex
	// judge and loads are what calls have shown of the endpoints.
	judge *eject.Detector
	pulse *stall.Detector
	loads map[string]*load
	// good and bad are the calls that ended lately, by endpoint.
	good, bad *recent.Recent
	random    *rand.Rand
}

// New returns a gate.
func New(s *site.Site, d meta.Dialect, r RosterSource, set *metrics.Set, log zerolog.Logger) *Gate {
	g := &Gate{
		site: s, dialect: d, log: log, meters: newMeters(set), pool: pool.New(set), fleet: fleet.New(),
		judge: eject.New(), pulse: stall.New(), loads: map[string]*load{}, good: recent.New(), bad: recent.New(), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	g.routine = log.Sample(&zerolog.BurstSampler{
		Burst: routineLines, Period: time.Second, NextSampler: &zerolog.BasicSampler{N: routineShare},
	})
	g.bank = newBank(s, r, set, log)
	g.bank.share.running, g.bank.share.ended = g.running, g.ended
	return g
}

// SetRoutes takes a version of the routes; an older one than is known is
// ignored.
func (g *Gate) SetRoutes(t *table.Table) {
	old := g.table.Load()
	if old != nil && t.Version() <= old.Version() {
		return
	}
	g.table.Store(t)
	g.ready.Store(!g.stopping.Load())
	g.log.Info().Uint64("version", t.Version()).Msg("configuration in force")
}

// SetEndpoints takes the whole list of endpoints.
func (g *Gate) SetEndpoints(entries []fleet.Entry, outage bool) {
	g.fleet.ReplaceAll(time.Now(), entries, outage)
	g.log.Info().Int("endpoints", len(entries)).Bool("outage", outage).Msg("endpoints listed")
}

// PutEndpoint takes an endpoint's entry.
func (g *Gate) PutEndpoint(e fleet.Entry) {
	g.fleet.Put(e)
	g.log.Info().Str("endpoint", e.ID).Str("service", e.Service).Str("addr", e.Addr).Bool("leaving", e.Leaving).Msg("endpoint entered")
}

// RemoveEndpoint takes the end of an endpoint's entry.
func (g *Gate) RemoveEndpoint(id string, outage bool) {
	g.fleet.Remove(time.Now(), id, outage)
	g.log.Info().Str("endpoint", id).Bool("outage", outage).Msg("endpoint left")
}

// Run serves until ctx ends, then stops without cutting what is under way.
func (g *Gate) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", g.site.Frontend)
	if err != nil {
		return errors.Wrap(err, "gate: listening for callers")
	}
	ends := front.New(listener)
	ready, err := net.Listen("tcp", g.site.Ready)
	if err != nil {
		return errors.Wrap(err, "gate: listening for the balancer")
	}
	callers := &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeader,
		ConnState: ends.State,
	}
	balancer := &http.Server{Handler: g.balancer(), ReadHeaderTimeout: headerTime}
	go g.listen(callers, ends)
	go g.listen(balancer, ready)
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go g.bank.run(background)
	go g.bank.reach(background)
	go g.bank.spread(background)
	go g.sweep(background)
	<-ctx.Done()
	g.stop(ends)
	return balancer.Close()
}

// takes tells whether new connections are welcome. Where no vault can be reached,
// another gate serves callers better.
func (g *Gate) takes() bool { return g.ready.Load() && !g.bank.cutOff() }

func (g *Gate) listen(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		g.log.Error().Err(err).Msg("no longer listening")
	}
}

func (g *Gate) balancer() http.Handler {
	r := chi.NewRouter()
	r.Get(g.dialect.ReadyPath(), func(w http.ResponseWriter, _ *http.Request) {
		if !g.takes() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

// stop ends a planned stop: no longer ready, then no new and no idle connections,
// then the rest of what is under way.
func (g *Gate) stop(ends *front.Listener) {
	g.log.Info().Int64("active", g.active.Load()).Msg("stopping")
	begun := time.Now()
	g.stopping.Store(true)
	g.ready.Store(false)
	end := begun.Add(time.Duration(float64(g.site.Grace) * graceShare))
	time.Sleep(min(noticeTime, g.site.Grace/3))
	if err := ends.Close(); err != nil {
		g.log.Warn().Err(err).Msg("listener not closed")
	}
	// What was accepted before the listener closed may only now be read, so that
	// two looks in a row must find nothing under way.
	for quiet := 0; quiet < 2 && time.Now().Before(end); time.Sleep(endEvery) {
		if ends.EndIdle() == 0 && g.active.Load() == 0 {
			quiet++
		} else {
			quiet = 0
		}
	}
	g.log.Info().Int64("cut", g.active.Load()).Dur("took", time.Since(begun)).Msg("stopped")
}

func (g *Gate) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			g.pool.Forget(now)
		case <-ctx.Done():
			return
		}
	}
}
