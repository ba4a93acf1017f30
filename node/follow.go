package node

import (
	"context"
	"time"
)

// followEngines subscribes to the cache events of every declared engine and
// periodically reads the list of programs that each engine holds in its cache.
func (n *Node) followEngines(ctx context.Context) {
	cancels := map[string]context.CancelFunc{}
	lastList := time.Now()
	every(ctx, followInterval, func() {
		engines := n.engines()
		for key, cancel := range cancels {
			if _, ok := engines[key]; !ok {
				cancel()
				delete(cancels, key)
			}
		}
		for key, e := range engines {
			if cancels[key] != nil {
				continue
			}
			followCtx, cancel := context.WithCancel(ctx)
			cancels[key] = cancel
			n.wait.Go(func() { n.dialer.FollowEvents(followCtx, e.name, e.addr) })
		}
		if time.Since(lastList) < n.settings.Policy.ListInterval {
			return
		}
		lastList = time.Now()
		for _, e := range engines {
			n.wait.Go(func() { _ = n.dialer.ListPrograms(ctx, e.name, e.addr) })
		}
	})
	for _, cancel := range cancels {
		cancel()
	}
}

// followInterval is how often the configuration is checked for added and
// removed engines.
const followInterval = 200 * time.Millisecond

// engineTarget is an engine's name and address.
type engineTarget struct{ name, addr string }

func (n *Node) engines() map[string]engineTarget {
	engines := map[string]engineTarget{}
	for name, e := range n.currentConfig().Endpoints {
		if e.Kind == "engine" {
			engines[name+" "+e.Addr] = engineTarget{name, e.Addr}
		}
	}
	return engines
}
