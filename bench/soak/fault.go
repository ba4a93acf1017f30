package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
)

// fault is something from outside that goes wrong for a while. It returns once
// all is as before.
type fault struct {
	name string
	do   func(w *world, r *rand.Rand, d time.Duration) error
}

// faults are drawn with equal chance; several are at work at once.
var faults = []fault{
	{"gate killed", func(w *world, r *rand.Rand, d time.Duration) error {
		return w.withHost(r, w.gates, func(h *host) error { h.kill(); time.Sleep(d); return h.start() })
	}},
	{"gate stopped", func(w *world, r *rand.Rand, _ time.Duration) error {
		return w.withHost(r, w.gates, func(h *host) error { return w.restart(h) })
	}},
	{"gate paused", func(w *world, r *rand.Rand, d time.Duration) error {
		return w.withHost(r, w.gates, func(h *host) error { return paused(h, d) })
	}},
	{"gate told to reload", func(w *world, r *rand.Rand, _ time.Duration) error {
		return w.withHost(r, w.gates, func(h *host) error { h.signal(syscall.SIGHUP); return nil })
	}},
	{"vault killed", func(w *world, r *rand.Rand, d time.Duration) error {
		return w.withHost(r, w.vaults, func(h *host) error { h.kill(); time.Sleep(d); return h.start() })
	}},
	{"vault stopped", func(w *world, r *rand.Rand, _ time.Duration) error {
		return w.withHost(r, w.vaults, func(h *host) error { return w.restart(h) })
	}},
	{"vault paused", func(w *world, r *rand.Rand, d time.Duration) error {
		return w.withHost(r, w.vaults, func(h *host) error { return paused(h, d) })
	}},
	{"vault's log torn", func(w *world, r *rand.Rand, d time.Duration) error {
		return w.withHost(r, w.vaults, func(h *host) error {
			h.kill()
			garbage := make([]byte, 1+r.IntN(60))
			for i := range garbage {
				garbage[i] = byte(r.IntN(256))
			}
			if err := h.tear(garbage); err != nil {
				return err
			}
			time.Sleep(d)
			return h.start()
		})
	}},
	{"vault's disk wiped", func(w *world, r *rand.Rand, d time.Duration) error {
		// One disk may be lost at a time: the next only once the last counts again.
		if !w.wiping.TryLock() {
			return nil
		}
		defer w.wiping.Unlock()
		return w.withHost(r, w.vaults, func(h *host) error {
			h.kill()
			if err := h.wipe(); err != nil {
				return err
			}
			time.Sleep(d)
			if err := h.start(); err != nil {
				return err
			}
			return w.caughtUp(h)
		})
	}},
	{"all vaults killed", func(w *world, _ *rand.Rand, d time.Duration) error {
		if !w.wiping.TryLock() {
			return nil
		}
		defer w.wiping.Unlock()
		for _, h := range w.vaults {
			h.busy.Lock()
			defer h.busy.Unlock()
			h.kill()
		}
		time.Sleep(d)
		for _, h := range w.vaults {
			if err := h.start(); err != nil {
				return err
			}
		}
		return nil
	}},
	{"service down", func(w *world, _ *rand.Rand, d time.Duration) error {
		w.store.SetDown(true)
		time.Sleep(d)
		w.store.SetDown(false)
		return nil
	}},
	{"service's history gone", func(w *world, _ *rand.Rand, _ time.Duration) error { w.store.Compact(); return nil }},
	{"way to the service silent", func(w *world, r *rand.Rand, d time.Duration) error {
		return toxic(w.storeWays[r.IntN(len(w.storeWays))], "timeout", "downstream", `{"timeout":0}`, d)
	}},
	{"way to the service slow", func(w *world, r *rand.Rand, d time.Duration) error {
		return toxic(w.storeWays[r.IntN(len(w.storeWays))], "latency", "downstream", `{"latency":300,"jitter":200}`, d)
	}},
	{"way to an endpoint silent one way", func(w *world, r *rand.Rand, d time.Duration) error {
		return toxic(w.endpointWays[r.IntN(len(w.endpointWays))], "timeout", "downstream", `{"timeout":0}`, d)
	}},
	{"way to an endpoint reset", func(w *world, r *rand.Rand, d time.Duration) error {
		return toxic(w.endpointWays[r.IntN(len(w.endpointWays))], "reset_peer", "downstream", `{"timeout":20}`, d)
	}},
	{"way to an endpoint slow", func(w *world, r *rand.Rand, d time.Duration) error {
		return toxic(w.endpointWays[r.IntN(len(w.endpointWays))], "latency", "upstream", `{"latency":80,"jitter":60}`, d)
	}},
	{"endpoint crashes", func(w *world, r *rand.Rand, d time.Duration) error {
		return w.relive(r.IntN(len(w.endpoints)), d, false)
	}},
	{"endpoint leaves", func(w *world, r *rand.Rand, d time.Duration) error {
		return w.relive(r.IntN(len(w.endpoints)), d, true)
	}},
	{"configuration changes", func(w *world, _ *rand.Rand, _ time.Duration) error { w.configure(); return nil }},
}

func paused(h *host, d time.Duration) error {
	h.signal(syscall.SIGSTOP)
	time.Sleep(d)
	h.signal(syscall.SIGCONT)
	return nil
}

// restart stops a host as planned work does and starts it again.
func (w *world) restart(h *host) error {
	if !h.stop() {
		w.ledger.stuck(h.Name + " does not end within its grace")
	}
	time.Sleep(restartPause)
	return h.start()
}

// withHost does something to a host to which nothing else is being done.
func (w *world) withHost(r *rand.Rand, hosts []*host, do func(*host) error) error {
	h := hosts[r.IntN(len(hosts))]
	if !h.busy.TryLock() {
		return nil
	}
	defer h.busy.Unlock()
	return do(h)
}

// toxic harms a way for a while.
func toxic(p *toxiproxy.Proxy, kind, stream, attributes string, d time.Duration) error {
	name := fmt.Sprintf("%s-%d", kind, time.Now().UnixNano())
	_, err := p.Toxics.AddToxicJson(strings.NewReader(
		fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"attributes":%s}`, name, kind, stream, attributes)))
	if err != nil {
		return err
	}
	time.Sleep(d)
	return p.Toxics.RemoveToxic(context.Background(), name)
}
