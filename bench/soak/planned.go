package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

const (
	// shortRetention is how long a turn is kept in runs with pauses, as on the users'
	// deployments. maxTurnPause leaves time for the request.
	shortRetention = time.Minute
	maxTurnPause   = 55 * time.Second
	// maxSlowTime is how long a slow request runs at most. It ends before its caller gives up,
	// and before an endpoint that leaves ends.
	maxSlowTime      = 2500 * time.Millisecond
	plannedDrainTime = maxSlowTime + time.Second
	// settledTime is the pause after one host of a kind is back, before the next is stopped.
	settledTime = 3 * time.Second
)

// plannedWork lists what operators do, and no caller may notice. Hosts of one kind are stopped in turn,
// as are the endpoints.
var plannedWork = []fault{
	{"gates stopped in turn", func(dp *deployment, r *rand.Rand, _ time.Duration) error {
		return dp.restartInTurn(r, dp.gates, func(h *host) error {
			for end := time.Now().Add(startTimeout); !isReady("http://" + h.Ready + fake.ReadyPath); time.Sleep(restartPause / 4) {
				if time.Now().After(end) {
					dp.ledger.recordNotRecovered(h.Name + " is not ready again")
					break
				}
			}
			return nil
		})
	}},
	{"vaults stopped in turn", func(dp *deployment, r *rand.Rand, _ time.Duration) error {
		return dp.restartInTurn(r, dp.vaults, func(h *host) error { return dp.waitLogged(h, "data folder read", "does not start again") })
	}},
	{"endpoint leaves", func(dp *deployment, r *rand.Rand, d time.Duration) error {
		if !dp.endpointLeaves.TryLock() {
			return nil
		}
		defer dp.endpointLeaves.Unlock()
		return dp.replaceEndpoint(r.IntN(len(dp.endpoints)), d, true)
	}},
}

// restartInTurn restarts the hosts of a kind one after the other, each once the one before is
// back. It does nothing while that is under way already.
func (dp *deployment) restartInTurn(r *rand.Rand, hosts []*host, await func(*host) error) error {
	if !hosts[0].faultLock.TryLock() {
		return nil
	}
	defer hosts[0].faultLock.Unlock()
	for _, i := range r.Perm(len(hosts)) {
		if err := dp.restartHost(hosts[i]); err != nil {
			return err
		}
		if err := await(hosts[i]); err != nil {
			return err
		}
		time.Sleep(settledTime)
	}
	return nil
}

// playedFaults returns the faults of a run. In one of planned work these are operators' doings only.
func (dp *deployment) playedFaults() []fault {
	if dp.options.Crowds {
		return append(slices.Clone(faults), crowdFault, crowdFault, crowdFault, crowdFault, crowdFault)
	}
	if dp.options.Spares > 0 {
		return append(seatFaults(), faults...)
	}
	if !dp.options.Planned {
		return faults
	}
	harmless := []string{"gate told to reload", "configuration changes"}
	return append(slices.Clone(plannedWork), slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !slices.Contains(harmless, f.name) })...)
}

// drainTime returns how long a leaving endpoint still runs calls.
func (dp *deployment) drainTime() time.Duration {
	if dp.options.Planned {
		return plannedDrainTime
	}
	return drainTime
}
