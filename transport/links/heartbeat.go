package links

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
)

const (
	// pingBytes is the size on the wire of a heartbeat and its answer.
	pingBytes = 64
	// pingBytesPerSecond bounds the heartbeat traffic of all idle links together.
	pingBytesPerSecond = 1024
)

// MaxPingInterval returns the time between heartbeats on the idle link to the
// peer with the most links.
func (l *Links) MaxPingInterval() time.Duration {
	l.mu.Lock()
	busiest := ""
	for node, count := range l.peerLinks {
		if count > l.peerLinks[busiest] {
			busiest = node
		}
	}
	l.mu.Unlock()
	return l.idleInterval(busiest)
}

// SetPeerLinks records how many links a peer has, so that this node pings the peer
// no more often than the peer pings its own idle links.
func (l *Links) SetPeerLinks(node string, links int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peerLinks[node] = links
}

// LinkCount returns the number of links, in both directions.
func (l *Links) LinkCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.peers) + l.inboundLinks
}

// idleInterval returns the time between heartbeats on an idle link to a node. It
// grows with the number of links, so that their heartbeats together stay within
// pingBytesPerSecond.
func (l *Links) idleInterval(node string) time.Duration {
	l.mu.Lock()
	count := max(len(l.peers)+l.inboundLinks, l.peerLinks[node])
	l.mu.Unlock()
	interval := time.Duration(count) * pingBytes * time.Second / pingBytesPerSecond
	return max(l.options.PingInterval, interval)
}

// heartbeat sends heartbeats until one is not answered within the rest of the
// silence timeout. On a link that carries data, a heartbeat soon follows the
// data.
func (l *Links) heartbeat(ctx context.Context, node string, c *websocket.Conn, written <-chan struct{}) error {
	for {
		if err := l.awaitHeartbeat(ctx, node, written); err != nil {
			return err
		}
		began := time.Now()
		if err := l.ping(ctx, c); err != nil {
			if ctx.Err() == nil {
				l.log.Warn().Str("peer", node).Dur("silence", l.options.SilenceTimeout).Msg("link silent; replacing it")
				l.meters.silent.Inc()
			}
			return errors.Wrap(err, "links: heartbeat")
		}
		l.meters.rtt.UpdateDuration(began)
		l.markHeard(node)
	}
}

// awaitHeartbeat waits until the next heartbeat is due: PingInterval after the last
// one, and then at the next write or after the idle interval.
func (l *Links) awaitHeartbeat(ctx context.Context, node string, written <-chan struct{}) error {
	minimum := time.NewTimer(l.options.PingInterval)
	defer minimum.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-minimum.C:
	}
	idle := time.NewTimer(l.idleInterval(node) - l.options.PingInterval)
	defer idle.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-written:
	case <-idle.C:
	}
	return nil
}

func (l *Links) ping(ctx context.Context, c *websocket.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, max(l.options.SilenceTimeout-l.options.PingInterval, l.options.SilenceTimeout/2))
	defer cancel()
	return c.Ping(ctx)
}
