package gate

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/state/blame"
	"github.com/cowslipstage/cowslipstage/state/fleet"
	"github.com/cowslipstage/cowslipstage/transport/pool"
	"github.com/cowslipstage/cowslipstage/transport/relay"
	"github.com/cowslipstage/cowslipstage/transport/whole"
)

// crashProbeAge is how long it counts whether an endpoint had ended when a connection to
// it broke. Its other connections break within moments.
const crashProbeAge = time.Second

const (
	// crashProbeTries is how often a probe waits for the end of a cut, crashProbePause how
	// long. Where endpoints are few, some that have ended may look like a cut at first.
	crashProbeTries = 5
	crashProbePause = 150 * time.Millisecond
)

// crashProbe finds out whether an endpoint has ended.
type crashProbe struct {
	startedAt time.Time
	// done is closed once ended is set.
	done  chan struct{}
	ended bool
}

// brokeOff reports whether the connection broke before the answer's end.
func brokeOff(err error) bool {
	return errors.Is(err, pool.ErrMayHaveRun) &&
		errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, relay.ErrUnmarked)
}

// brokenReason returns what is wrong with an answer that was none in the protocol or not whole, or "" if there
// is nothing.
func brokenReason(err error) string {
	switch {
	case errors.Is(err, whole.ErrMalformed):
		return "malformed"
	case brokeOff(err):
		return "cut"
	}
	return ""
}

// checkCrash finds out in the background whether an endpoint ended while it ran a
// request. An endpoint may also break off a single answer.
func (g *Gate) checkCrash(now time.Time, q *request, e fleet.Entry, err error) {
	if !brokeOff(err) {
		return
	}
	p, first := g.probeCrash(now, e)
	go func() {
		if first {
			p.ended = g.hasEnded(e.Addr)
			close(p.done)
		}
		<-p.done
		if p.ended {
			g.recordCrash(q, e, first)
		}
	}()
}

// probeCrash returns the probe of an endpoint's lifetime. first says that it is new and
// that the caller has to carry it out.
func (g *Gate) probeCrash(now time.Time, e fleet.Entry) (p *crashProbe, first bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for l, known := range g.crashProbes {
		if now.Sub(known.startedAt) > crashProbeAge {
			delete(g.crashProbes, l)
		}
	}
	l := blame.Crash{Endpoint: e.ID, StartedAt: e.StartedAt}
	if known := g.crashProbes[l]; known != nil {
		return known, false
	}
	p = &crashProbe{startedAt: now, done: make(chan struct{})}
	g.crashProbes[l] = p
	return p, true
}

// hasEnded reports whether nobody accepts connections at an address. A gate that is cut off
// cannot tell.
func (g *Gate) hasEnded(addr string) bool {
	for range crashProbeTries {
		if !g.isCutOff() {
			return !g.accepts(addr)
		}
		time.Sleep(crashProbePause)
	}
	return false
}

// accepts reports whether an address accepts connections.
func (g *Gate) accepts(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := g.connect(ctx, addr)
	if err == nil {
		_ = conn.Close() // it has carried nothing
	}
	return err == nil
}

// recordCrash notes that an endpoint ended while it ran a request.
func (g *Gate) recordCrash(q *request, e fleet.Entry, first bool) {
	if first {
		g.meters.crashes.Inc()
	}
	g.log.Warn().Str("request", q.ID).Str("program", q.Program).Str("content", q.content()).Str("endpoint", e.ID).Str("addr", e.Addr).
		Int64("started", e.StartedAt).Msg("endpoint ended while it ran the request")
	g.addCrash(time.Now(), q, blame.Crash{Endpoint: e.ID, StartedAt: e.StartedAt})
}
