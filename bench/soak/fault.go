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

// fault is a temporary fault that is injected from outside. Its run returns once
// the fault has ended.
type fault struct {
	name string
	run  func(dp *deployment, r *rand.Rand, d time.Duration) error
}

// faults lists all faults. They are drawn with equal probability and may overlap.
var faults = []fault{
	{"gate killed", func(dp *deployment, r *rand.Rand, d time.Duration) error {
		return dp.withGate(r, func(h *host) error { h.kill(); time.Sleep(d); return h.start() })
	}},
	{"gate stopped", func(dp *deployment, r *rand.Rand, _ time.Duration) error {
		return dp.withHost(r, dp.gates, func(h *host) error { return dp.restartHost(h) })
	}},
	{"gate paused", func(dp *deployment, r *rand.Rand, d time.Duration) error {
		return dp.withGate(r, func(h *host) error { return pauseHost(h, d) })
	}},
	{"gate told to reload", func(dp *deployment, r *rand.Rand, _ time.Duration) error {
		return dp.withHost(r, dp.gates, func(h *host) error { h.signal(syscall.SIGHUP); return nil })
	}},
	{"vault killed", func(dp *deployment, r *rand.Rand, d time.Duration) error {
		return dp.withHost(r, dp.vaults, func(h *host) error { h.kill(); time.Sleep(d); return h.start() })
	}},
	{"vault stopped", func(dp *deployment, r *rand.Rand, _ time.Duration) error {
		return dp.withHost(r, dp.vaults, func(h *host) error { return dp.restartHost(h) })
	}},
	{"vault paused", func(dp *deployment, r *rand.Rand, d time.Duration) error {
		return dp.withHost(r, dp.vaults, func(h *host) error { return pauseHost(h, d) })
	}},
	{"vault's log torn", func(dp *deployment, r *rand.Rand, d time.Duration) error {
		return dp.withHost(r, dp.vaults, func(h *host) error {
			h.kill()
			garbage := make([]byte, 1+r.IntN(60))
			for i := range garbage {
				garbage[i] = byte(r.IntN(256))
			}
			if err := h.appendGarbage(garbage); err != nil {
				return err
			}
			time.Sleep(d)
			return h.start()
		})
	}},
	{"vault's disk wiped", func(dp *deployment, r *rand.Rand, d time.Duration) error {
		// The deployment tolerates the loss of one disk at a time. The next disk is
		// wiped only once the previous vault counts as a copy again.
		if !dp.vaultLoss.TryLock() {
			return nil
		}
		defer dp.vaultLoss.Unlock()
		return dp.withHost(r, dp.vaults, func(h *host) error {
			h.kill()
			if err := h.wipeData(); err != nil {
				return err
			}
			time.Sleep(d)
			if err := h.start(); err != nil {
				return err
			}
			return dp.waitSeats()
		})
	}},
	{"all vaults killed", func(dp *deployment, _ *rand.Rand, d time.Duration) error {
		if !dp.vaultLoss.TryLock() {
			return nil
		}
		defer dp.vaultLoss.Unlock()
		return dp.killAllVaults(d)
	}},
	{"service down", func(dp *deployment, _ *rand.Rand, d time.Duration) error {
		defer dp.outages.begin(theService)()
		dp.store.SetDown(true)
		time.Sleep(d)
		dp.store.SetDown(false)
		return nil
	}},
	{"service's history gone", func(dp *deployment, _ *rand.Rand, _ time.Duration) error { dp.store.Compact(); return nil }},
	{"way to the service silent", func(dp *deployment, r *rand.Rand, d time.Duration) error {
		return applyToxic(dp.storeProxies[r.IntN(len(dp.storeProxies))], "timeout", "downstream", `{"timeout":0}`, d)
	}},
	{"way to the service slow", func(dp *deployment, r *rand.Rand, d time.Duration) error {
		return applyToxic(dp.storeProxies[r.IntN(len(dp.storeProxies))], "latency", "downstream", `{"latency":300,"jitter":200}`, d)
	}},
	{"way to an endpoint silent one way", func(dp *deployment, r *rand.Rand, d time.Duration) error {
		return applyToxic(dp.endpointProxies[r.IntN(len(dp.endpointProxies))], "timeout", "downstream", `{"timeout":0}`, d)
	}},
	{"way to an endpoint reset", func(dp *deployment, r *rand.Rand, d time.Duration) error {
		return applyToxic(dp.endpointProxies[r.IntN(len(dp.endpointProxies))], "reset_peer", "downstream", `{"timeout":20}`, d)
	}},
	{"way to an endpoint slow", func(dp *deployment, r *rand.Rand, d time.Duration) error {
		return applyToxic(dp.endpointProxies[r.IntN(len(dp.endpointProxies))], "latency", "upstream", `{"latency":80,"jitter":60}`, d)
	}},
	{"endpoint crashes", func(dp *deployment, r *rand.Rand, d time.Duration) error {
		return dp.replaceEndpoint(r.IntN(len(dp.endpoints)), d, false)
	}},
	{"endpoint leaves", func(dp *deployment, r *rand.Rand, d time.Duration) error {
		return dp.replaceEndpoint(r.IntN(len(dp.endpoints)), d, true)
	}},
	{"configuration changes", func(dp *deployment, _ *rand.Rand, _ time.Duration) error { dp.configure(); return nil }},
}

// pauseHost stops the process of a host with SIGSTOP for d.
func pauseHost(h *host, d time.Duration) error {
	h.signal(syscall.SIGSTOP)
	time.Sleep(d)
	h.signal(syscall.SIGCONT)
	return nil
}

// restartHost stops a host gracefully and starts it again. While it drains, it must still
// apply configurations.
func (dp *deployment) restartHost(h *host) error {
	if err := h.stop(); err != nil {
		dp.ledger.recordNotRecovered(err.Error())
	}
	defer dp.outages.begin(h.Frontend)()
	time.Sleep(restartPause)
	return h.start()
}

// withHost applies a fault to a random host, or does nothing if another fault is
// already active on that host.
func (dp *deployment) withHost(r *rand.Rand, hosts []*host, do func(*host) error) error {
	h := hosts[r.IntN(len(hosts))]
	if !h.faultLock.TryLock() {
		return nil
	}
	defer h.faultLock.Unlock()
	return do(h)
}

// withGate applies a fault to a random gate that is away during it.
func (dp *deployment) withGate(r *rand.Rand, do func(*host) error) error {
	return dp.withHost(r, dp.gates, func(h *host) error {
		defer dp.outages.begin(h.Frontend)()
		return do(h)
	})
}

// killAllVaults kills all vaults together and starts them again after d.
func (dp *deployment) killAllVaults(d time.Duration) error {
	for _, h := range dp.vaults {
		h.faultLock.Lock()
		defer h.faultLock.Unlock()
		h.kill()
	}
	time.Sleep(d)
	for _, h := range dp.vaults {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// applyToxic adds a toxic to a proxy and removes it after d.
func applyToxic(p *toxiproxy.Proxy, kind, stream, attributes string, d time.Duration) error {
	name := fmt.Sprintf("%s-%d", kind, time.Now().UnixNano())
	_, err := p.Toxics.AddToxicJson(strings.NewReader(
		fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"attributes":%s}`, name, kind, stream, attributes)))
	if err != nil {
		return err
	}
	time.Sleep(d)
	return p.Toxics.RemoveToxic(context.Background(), name)
}
