package node

import (
	"context"
	"time"
)

// follow reads the engines' cache events and their lists of held programs, for
// as long as an engine is declared.
func (n *Node) follow(ctx context.Context) {
	followers := map[string]context.CancelFunc{}
	listed := time.Now()
	every(ctx, followInterval, func() {
		engines := n.engines()
		for key, cancel := range followers {
			if _, ok := engines[key]; !ok {
				cancel()
				delete(followers, key)
			}
		}
		for key, e := range engines {
			if followers[key] != nil {
				continue
			}
			following, cancel := context.WithCancel(ctx)
			followers[key] = cancel
			n.wait.Go(func() { n.dialer.Follow(following, e.name, e.addr) })
		}
		if time.Since(listed) < n.settings.Policy.ListInterval {
			return
		}
		listed = time.Now()
		for _, e := range engines {
			n.wait.Go(func() { _ = n.dialer.List(ctx, e.name, e.addr) })
		}
	})
	for _, cancel := range followers {
		cancel()
	}
}

// followInterval is how often the declared engines are looked at.
const followInterval = 200 * time.Millisecond

// followed is one engine at one address.
type followed struct{ name, addr string }

func (n *Node) engines() map[string]followed {
	engines := map[string]followed{}
	for name, e := range n.current().Endpoints {
		if e.Kind == "engine" {
			engines[name+" "+e.Addr] = followed{name, e.Addr}
		}
	}
	return engines
}
