package gate

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/state/recent"
)

const (
	// probeCount is how many endpoints are probed at once.
	probeCount = 3
	// probeTimeout bounds a probe: many round trips, and short against the time after
	// which callers give up.
	probeTimeout = 100 * time.Millisecond
	// probeCheckEvery is the pause between two checks whether a probe is due.
	probeCheckEvery = 250 * time.Millisecond
)

// dialEndpoint connects to an endpoint, through another gate while this one is cut off.
func (g *Gate) dialEndpoint(ctx context.Context, addr string) (conn net.Conn, relayed bool, err error) {
	if !g.isCutOff() {
		conn, err = g.dialDirect(ctx, addr)
		if err == nil || ctx.Err() != nil || !g.isCutOff() {
			return conn, false, err
		}
	}
	conn, err = g.dialRelayed(ctx, addr)
	return conn, true, err
}

// dialDirect connects to an endpoint and notes how that ended.
func (g *Gate) dialDirect(ctx context.Context, addr string) (net.Conn, error) {
	started := time.Now()
	conn, err := g.connect(ctx, addr)
	g.recordDial(ctx, started, addr, err)
	return conn, err
}

// recordDial notes how connecting to an endpoint ended, unless the caller gave up.
func (g *Gate) recordDial(ctx context.Context, started time.Time, addr string, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	now := time.Now()
	known := g.fleet.Size()
	g.mu.Lock()
	began, ended := false, false
	if err == nil {
		ended = g.cutoff.Succeed(now)
	} else {
		var timeout net.Error
		silent := errors.As(err, &timeout) && timeout.Timeout()
		began = g.cutoff.Fail(now, started, addr, silent, known)
	}
	probe, silent := g.cutoff.ProbeDue(now), g.cutoff.Silent()
	g.mu.Unlock()
	switch {
	case began:
		g.meters.cutOff.Set(1)
		g.noteCut(silent)
		g.log.Warn().Err(err).Int("endpoints", known).Bool("silent", silent).Msg("no endpoint can be reached")
	case ended:
		g.meters.cutOff.Set(0)
		g.signalCut()
		g.log.Info().Str("addr", addr).Msg("endpoints can be reached again")
	}
	if probe {
		g.probeEndpoints(addr)
	}
}

// noteCut acts on a cut that has been noticed. Open connections are dead if the endpoints
// give no answer, and the failures so far were this gate's own.
func (g *Gate) noteCut(silent bool) {
	if silent {
		g.pool.CloseAllIdle()
	}
	g.mu.Lock()
	g.failures = recent.New()
	g.mu.Unlock()
	g.signalCut()
}

// signalCut makes relayLoop act at once.
func (g *Gate) signalCut() {
	select {
	case g.cutChanged <- struct{}{}:
	default:
	}
}

// isCutOff reports whether this gate reaches no endpoint.
func (g *Gate) isCutOff() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cutoff.Cut()
}

// probeEndpoints connects to some endpoints other than the one at addr, to find out
// whether this gate is cut off.
func (g *Gate) probeEndpoints(addr string) {
	addrs := g.fleet.Addrs()
	g.mu.Lock()
	g.random.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	g.mu.Unlock()
	probes := 0
	for _, a := range addrs {
		if a == addr || probes == probeCount {
			continue
		}
		probes++
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
			defer cancel()
			started := time.Now()
			conn, err := g.connect(ctx, a)
			if err == nil {
				_ = conn.Close() // it has carried nothing
			}
			g.recordDial(context.Background(), started, a, err)
		}()
	}
}

// probeLoop keeps probing while this gate is cut off, so that it notices the end.
func (g *Gate) probeLoop(ctx context.Context) {
	tick := time.NewTicker(probeCheckEvery)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			g.mu.Lock()
			due := g.cutoff.Cut() && g.cutoff.ProbeDue(now)
			g.mu.Unlock()
			if due {
				g.probeEndpoints("")
			}
		case <-ctx.Done():
			return
		}
	}
}
