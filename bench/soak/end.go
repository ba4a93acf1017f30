package soak

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ended is what a caller leaves: its chains, and its programs that their budget stopped.
type ended struct {
	chains  []*chain
	stopped []string
}

// checkEnd checks, after all faults have ended, that chains can be continued and budgets
// are remembered, also once all vaults lost power together.
func (dp *deployment) checkEnd(results []ended) error {
	if dp.options.Quotas {
		dp.setQuota(0, 0) // callers of a customer over its quota could not go on in time
	}
	for _, p := range dp.endpoints {
		p.slow.Store(false) // so that there is time for all
	}
	if err := dp.killAllVaults(0); err != nil {
		return err
	}
	dp.continueChains(results)
	hosts := slices.Concat(dp.gates, dp.vaults)
	if err := dp.checkLogs(hosts); err != nil {
		return errors.Wrap(err, "soak: logs")
	}
	dp.ledger.mu.Lock()
	defer dp.ledger.mu.Unlock()
	if q := dp.ledger.quotas; q != nil {
		dp.ledger.violations = append(dp.ledger.violations, q.check(dp.appliedAt)...)
	}
	return nil
}

// continueChains continues the last chains of each caller after all faults have ended
// and records those whose last turn cannot be continued. Programs that their budget
// stopped must be stopped again.
func (dp *deployment) continueChains(results []ended) {
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	var running sync.WaitGroup
	for i, r := range results {
		c := dp.newCaller(fmt.Sprintf("s%d-f%d", dp.options.Seed, i), uint64(1000+i), i)
		other := dp.newCaller(fmt.Sprintf("s%d-g%d", dp.options.Seed, i), uint64(2000+i), i)
		running.Go(func() { other.checkStopped(ctx, r.stopped) })
		running.Go(func() {
			for n, ch := range r.chains[max(0, len(r.chains)-maxContinuedChains):] {
				if (dp.options.Planned || dp.options.Pauses) && time.Since(ch.endedAt) > shortRetention-recoveryTimeout {
					continue // it need not be kept until it is sent
				}
				ch.program = fmt.Sprintf("%s-%d", c.name, n) // a new program has a fresh budget
				if last := ch.lastTurn; !c.runTurn(ctx, ch) {
					dp.ledger.recordNotRecovered("nothing goes on from " + last)
				}
			}
		})
	}
	running.Wait()
}
