package node

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/state/config"
)

// gossipInterval is how often a node tells its peers about itself.
const gossipInterval = 200 * time.Millisecond

func (n *Node) gossip(ctx context.Context) {
	every(ctx, gossipInterval, func() { n.send("", frame.TopicGossip, n.news(nil)) })
}

// news is what the node tells its peers about itself; freed are shards it gave back.
func (n *Node) news(freed map[int]uint64) frame.Gossip {
	used := n.limits.used(time.Now())
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.settings.Node
	g := frame.Gossip{
		Node: s.Name, Centre: s.Centre, Addr: s.Link, Boot: n.boot, Freed: freed, Used: used,
		Owned: map[int]uint64{}, Revision: n.config.Revision, Leaving: n.draining,
	}
	for shard, o := range n.journals {
		if _, ok := freed[shard]; !ok {
			g.Owned[shard] = o.epoch
		}
	}
	return g
}

// hear takes over a peer's gossip.
func (n *Node) hear(g frame.Gossip) {
	n.links.Connect(g.Node, g.Addr)
	n.meet(time.Now(), g)
	n.limits.hear(time.Now(), g.Node, g.Used, 1+len(n.links.Live()))
	for shard, epoch := range g.Owned {
		n.see(shard, ownership{node: g.Node, epoch: epoch})
		n.supersede(shard, epoch)
	}
	for shard, epoch := range g.Freed {
		n.see(shard, ownership{epoch: epoch})
	}
	if len(g.Freed) > 0 {
		n.stir()
	}
	if g.Revision > n.current().Revision {
		n.send(g.Node, frame.TopicWant, frame.Want{Revision: g.Revision})
	}
}

func (n *Node) current() *config.Config {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config
}

// poll reads the endpoints' load.
func (n *Node) poll(ctx context.Context) {
	every(ctx, n.settings.Policy.Load, func() {
		for name, e := range n.current().Endpoints {
			n.wait.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				r, err := n.dialer.Load(ctx, e.Addr)
				if err == nil {
					n.emit(core.Reported{Endpoint: name, Report: r})
				}
			})
		}
	})
}

// list reads the platform's host list.
func (n *Node) list(ctx context.Context) {
	if n.settings.Hosts.Addr == "" {
		return
	}
	client := &http.Client{Timeout: time.Second}
	every(ctx, n.settings.Hosts.Poll, func() {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.settings.Hosts.Addr+"/hosts", nil)
		if err != nil {
			return
		}
		response, err := client.Do(request)
		if err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		var states map[string]string
		if err := json.NewDecoder(response.Body).Decode(&states); err != nil {
			return
		}
		var leaving []string
		for name, state := range states {
			if state != "live" {
				leaving = append(leaving, name)
			}
		}
		n.emit(core.Listed{Leaving: leaving})
	})
}
