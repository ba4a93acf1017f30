package gate

import (
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
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
	// vaultRelayTries bounds how many are tried for a connection to a vault: other gates may be
	// cut off from the vaults as well.
	vaultRelayTries = 3
	// vaultRelayPause is how long no detour to a vault is tried after none was found, so that
	// gates do not press each other while the vault itself is away.
	vaultRelayPause = 2 * time.Second
	// learnRelaysEvery is the pause between two requests for the other gates' offers while all
	// is well. A gate that loses its vaults learns of no further ones.
	learnRelaysEvery = 10 * time.Second
	// relayPause is how long a relay that could not help is passed over.
	relayPause = time.Second
)

// relays holds the gates through which this one can connect. The gate's mutex guards it.
type relays struct {
	peers []peers.Peer
	// learnedAt is when they were last learned.
	learnedAt time.Time
	// failedAt holds by address when a relay could not help, and when no relay helped to
	// reach a vault.
	failedAt map[string]time.Time
	// vaultVia is the relay that last reached a vault; it has no address if none has.
	vaultVia peers.Peer
}

// stale reports whether the other gates' offers are to be requested again.
func (r *relays) stale(now time.Time) bool {
	return len(r.peers) == 0 || now.Sub(r.learnedAt) >= learnRelaysEvery
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

// dialForPeer connects to an endpoint or a vault for another gate, always directly. A gate that
// is being stopped does not know whether the request can end in time, and connects to no endpoint.
func (g *Gate) dialForPeer(ctx context.Context, addr string) (net.Conn, error) {
	if slices.Contains(g.vaults.vaultAddrs(), addr) {
		if !g.vaults.connection(addr).Connected() {
			return nil, errors.Wrapf(relay.ErrRelay, "%s", addr)
		}
		return g.connectVault(ctx, addr)
	}
	if g.stopping() || g.isCutOff() || !slices.Contains(g.fleet.Addrs(), addr) {
		return nil, errors.Wrapf(relay.ErrRelay, "%s", addr)
	}
	g.meters.relayed.Inc()
	return g.dialDirect(ctx, addr)
}

// vaultRelay is a connection to a vault for another gate.
type vaultRelay struct {
	net.Conn
	close sync.Once
	count *atomic.Int64
}

// Close closes the connection.
func (r *vaultRelay) Close() error {
	r.close.Do(func() { r.count.Add(-1) })
	return r.Conn.Close()
}

// connectVault connects to a vault for another gate.
func (g *Gate) connectVault(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := g.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	g.meters.relayed.Inc()
	g.vaultRelays.Add(1)
	return &vaultRelay{Conn: conn, count: &g.vaultRelays}, nil
}

// dialRelayed connects to an endpoint through another gate.
func (g *Gate) dialRelayed(ctx context.Context, addr string) (net.Conn, error) {
	lastErr := errors.Wrap(relay.ErrRelay, "no gate is known that reaches endpoints")
	for range relayTries {
		via, ok := g.pickRelay(time.Now())
		if !ok {
			break
		}
		conn, err := relay.Dial(ctx, g.connect, via.Addr, addr, via.Framed)
		if err == nil || !errors.Is(err, relay.ErrRelay) || ctx.Err() != nil {
			return conn, err
		}
		lastErr = err
		g.mu.Lock()
		g.relays.failedAt[via.Addr] = time.Now()
		g.mu.Unlock()
	}
	return nil, lastErr
}

// dialVault connects to a vault through another gate, while this gate directly reaches too few
// vaults for a quorum. Otherwise it is the vault that is away.
func (g *Gate) dialVault(ctx context.Context, addr string) (net.Conn, error) {
	g.mu.Lock()
	paused := time.Since(g.relays.failedAt[addr]) < vaultRelayPause
	g.mu.Unlock()
	if paused || g.vaults.hasDirectQuorum() {
		return nil, errors.Wrapf(relay.ErrRelay, "no detour to vault %s", addr)
	}
	lastErr := errors.Wrap(relay.ErrRelay, "no gate is known that relays")
	for range vaultRelayTries {
		via, ok := g.pickVaultRelay(time.Now())
		if !ok {
			break
		}
		conn, err := relay.Dial(ctx, g.connect, via.Addr, addr, via.Framed)
		if err == nil {
			g.mu.Lock()
			g.relays.vaultVia = via
			g.mu.Unlock()
			g.log.Info().Str("vault", addr).Str("relay", via.Addr).Msg("vault reached through another gate")
			return conn, nil
		}
		lastErr = err
		g.mu.Lock()
		g.relays.failedAt[via.Addr] = time.Now()
		g.mu.Unlock()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.relays.failedAt[addr] = time.Now()
	return nil, lastErr
}

// pickVaultRelay returns the relay that has reached a vault before, or another one. A gate that
// reached some vaults only would be missing in what the others know of the customers' quotas.
func (g *Gate) pickVaultRelay(now time.Time) (peers.Peer, bool) {
	g.mu.Lock()
	via := g.relays.vaultVia
	usable := via.Addr != "" && now.Sub(g.relays.failedAt[via.Addr]) >= relayPause
	g.mu.Unlock()
	if usable {
		return via, true
	}
	return g.pickRelay(now)
}

// pickRelay returns a relay, in this data centre if there is one.
func (g *Gate) pickRelay(now time.Time) (peers.Peer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var near, far []peers.Peer
	for _, p := range g.relays.peers {
		switch {
		case now.Sub(g.relays.failedAt[p.Addr]) < relayPause:
		case p.Centre == g.site.Centre:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	usable := near
	if len(near) == 0 {
		usable = far
	}
	if len(usable) == 0 {
		return peers.Peer{}, false
	}
	return usable[g.random.IntN(len(usable))], true
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

// exchangeRelays tells every vault whether this gate relays. If this gate is cut off, and from
// time to time, it stores the others' offers from the answers: of all vaults, or of the nearest.
func (g *Gate) exchangeRelays(ctx context.Context, cut bool) {
	g.mu.Lock()
	learn := cut || g.relays.stale(time.Now())
	g.mu.Unlock()
	l := &vaults.Load{Node: g.site.Node, Partial: true, Relay: &peers.Peer{Centre: g.site.Centre}}
	if !cut && !g.stopping() {
		l.Relay.Addr, l.Relay.Framed = g.relayAddr(), true
	}
	for _, s := range g.vaults.currentRoster().Order(g.site.Centre, g.site.Node) {
		if !g.vaults.connection(s.Addr).Connected() {
			continue
		}
		l := *l
		l.WantRelays, learn = learn, learn && cut
		g.addSuspects(time.Now(), s.Addr, &l)
		go g.sendRelayOffer(ctx, s.Addr, &l)
	}
}

// sendRelayOffer sends this gate's offer to one vault and stores its answer.
func (g *Gate) sendRelayOffer(ctx context.Context, addr string, l *vaults.Load) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	m, err := g.vaults.connection(addr).Call(ctx, l)
	if err != nil {
		g.log.Debug().Err(err).Str("vault", addr).Msg("offering a relay failed; the next offer repeats it")
		return
	}
	reply, ok := m.(*vaults.LoadReply)
	if !ok {
		return
	}
	g.receiveVerdicts(addr, reply)
	if l.WantRelays && len(reply.Relays) > 0 {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.relays.peers, g.relays.learnedAt = reply.Relays, time.Now()
	}
}
