package gate

import (
	"context"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/peers"
	"github.com/cowslipstage/cowslipstage/transport/pool"
	"github.com/cowslipstage/cowslipstage/transport/relay"
)

const (
	// offerEvery is the pause between two offers to relay for other gates.
	offerEvery = time.Second
	// relaysEvery replaces it while this gate is cut off and needs relays itself.
	relaysEvery = 200 * time.Millisecond
	// relayTries bounds how many relays are tried for one connection.
	relayTries = 2
	// relayPause is how long a relay that could not help is passed over.
	relayPause = time.Second
)

// relays holds the gates through which this one can connect. The gate's mutex guards it.
type relays struct {
	peers []peers.Peer
	// failedAt holds by address when a relay could not help.
	failedAt map[string]time.Time
}

// relayAddr returns the address of this gate's relay, or "" if it has none.
func (g *Gate) relayAddr() string {
	if g.site.IP == "" || g.site.FirstPort == 0 {
		return ""
	}
	return net.JoinHostPort(g.site.IP, strconv.Itoa(g.site.FirstPort))
}

// listenRelay starts this gate's relay. A gate without one serves its own callers only.
func (g *Gate) listenRelay() net.Listener {
	addr := g.relayAddr()
	if addr == "" {
		return nil
	}
	l, err := pool.Listen(addr)
	if err != nil {
		g.log.Error().Err(err).Msg("listening for other gates failed; they cannot connect through this one")
		return nil
	}
	go func() {
		if err := g.relay.Serve(l); !errors.Is(err, net.ErrClosed) {
			g.log.Error().Err(err).Msg("relay failed")
		}
	}()
	return l
}

// dialForPeer connects to an endpoint for another gate.
func (g *Gate) dialForPeer(ctx context.Context, addr string) (net.Conn, error) {
	if g.isCutOff() || !slices.Contains(g.fleet.Addrs(), addr) {
		return nil, errors.Wrapf(relay.ErrRelay, "%s", addr)
	}
	g.meters.relayed.Inc()
	return g.dialDirect(ctx, addr)
}

// dialRelayed connects to an endpoint through another gate.
func (g *Gate) dialRelayed(ctx context.Context, addr string) (net.Conn, error) {
	lastErr := errors.Wrap(relay.ErrRelay, "no gate is known that reaches endpoints")
	for range relayTries {
		via, ok := g.pickRelay(time.Now())
		if !ok {
			break
		}
		conn, err := relay.Dial(ctx, g.connect, via, addr)
		if err == nil || !errors.Is(err, relay.ErrRelay) || ctx.Err() != nil {
			return conn, err
		}
		lastErr = err
		g.mu.Lock()
		g.relays.failedAt[via] = time.Now()
		g.mu.Unlock()
	}
	return nil, lastErr
}

// pickRelay returns the address of a relay, in this data centre if there is one.
func (g *Gate) pickRelay(now time.Time) (string, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var near, far []string
	for _, p := range g.relays.peers {
		switch {
		case now.Sub(g.relays.failedAt[p.Addr]) < relayPause:
		case p.Centre == g.site.Centre:
			near = append(near, p.Addr)
		default:
			far = append(far, p.Addr)
		}
	}
	addrs := near
	if len(near) == 0 {
		addrs = far
	}
	if len(addrs) == 0 {
		return "", false
	}
	return addrs[g.random.IntN(len(addrs))], true
}

// isolated reports whether this gate reaches no endpoint and knows no gate that does.
func (g *Gate) isolated(now time.Time) bool {
	g.mu.Lock()
	cut := g.cutoff.Cut()
	g.mu.Unlock()
	if !cut {
		return false
	}
	_, ok := g.pickRelay(now)
	return !ok
}

// relayLoop offers this gate's relay to the others through the vaults while it reaches
// endpoints, and asks for theirs otherwise.
func (g *Gate) relayLoop(ctx context.Context) {
	for {
		cut := g.isCutOff()
		g.exchangeRelays(ctx, cut)
		pause := offerEvery
		if cut {
			pause = relaysEvery
		}
		select {
		case <-time.After(pause):
		case <-g.cutChanged:
		case <-ctx.Done():
			return
		}
	}
}

// exchangeRelays tells every vault whether this gate relays. If this gate is cut off, it
// stores the others' offers from the vaults' answers.
func (g *Gate) exchangeRelays(ctx context.Context, cut bool) {
	l := &vaults.Load{Node: g.site.Node, Partial: true, Relay: &peers.Peer{Centre: g.site.Centre}, WantRelays: cut}
	if !cut && !g.stopping.Load() {
		l.Relay.Addr = g.relayAddr()
	}
	for _, s := range g.vaults.currentRoster().Seats {
		if !g.vaults.connection(s.Addr).Connected() {
			continue
		}
		l := *l
		g.addSuspects(time.Now(), s.Addr, &l)
		go func() {
			ctx, cancel := context.WithTimeout(ctx, loadTimeout)
			defer cancel()
			m, err := g.vaults.connection(s.Addr).Call(ctx, &l)
			if err != nil {
				g.log.Debug().Err(err).Str("vault", s.Addr).Msg("offering a relay failed; the next offer repeats it")
				return
			}
			reply, ok := m.(*vaults.LoadReply)
			if !ok {
				return
			}
			g.receiveVerdicts(s.Addr, reply)
			if cut && len(reply.Relays) > 0 {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.relays.peers = reply.Relays
			}
		}()
	}
}
