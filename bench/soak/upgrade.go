package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

// upgradePasses is how often every host is replaced: forward, back and forward again.
const upgradePasses = 3

// upgradeOrder is the order in which hosts are replaced.
type upgradeOrder int

const (
	gatesFirst upgradeOrder = iota
	vaultsFirst
	mixed
	upgradeOrders
)

// upgrade replaces the build of one host after the other, while faults go on: all by the
// build under test, all by the build before, and by the build under test again. The next
// host is stopped only once the last one serves.
func (dp *deployment) upgrade(seed uint64) error {
	random := rand.New(rand.NewPCG(seed, 0))
	for pass := range upgradePasses {
		binary := dp.options.Binary
		if pass%2 == 1 {
			binary = dp.options.Before
		}
		for _, h := range dp.replaceOrder(upgradeOrder((seed+uint64(pass))%uint64(upgradeOrders)), random) {
			if err := dp.replaceBuild(h, binary); err != nil {
				return err
			}
		}
	}
	return nil
}

func (dp *deployment) replaceOrder(o upgradeOrder, random *rand.Rand) []*host {
	switch o {
	case gatesFirst:
		return slices.Concat(dp.gates, dp.vaults)
	case vaultsFirst:
		return slices.Concat(dp.vaults, dp.gates)
	}
	hosts := slices.Concat(dp.gates, dp.vaults)
	random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts
}

// replaceBuild stops a host, once no fault is active there, and starts it with another
// build.
func (dp *deployment) replaceBuild(h *host, binary string) error {
	h.faultLock.Lock()
	defer h.faultLock.Unlock()
	h.mu.Lock()
	h.binary = binary
	h.mu.Unlock()
	if err := dp.restartHost(h); err != nil {
		return err
	}
	if h.role == "vault" {
		return dp.waitLogged(h, "data folder read", "does not start with another build")
	}
	for end := time.Now().Add(startTimeout); !isReady("http://" + h.Ready + fake.ReadyPath); time.Sleep(restartPause / 4) {
		if time.Now().After(end) {
			dp.ledger.recordNotRecovered(h.Name + " is not ready with another build")
			break
		}
	}
	return nil
}
