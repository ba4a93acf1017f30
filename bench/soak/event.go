package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxEventPause bounds the pause between two events of the customers.
	maxEventPause = 1500 * time.Millisecond
	// burstCallers is how many callers a burst adds, maxBurst how long it lasts at most.
	burstCallers = 12
	maxBurst     = 3 * time.Second
	// eventStream selects the random stream of events, so that faults stay those of the seed.
	eventStream = 1 << 20
	// hotRate and hotBurst are the quota of the hot customer. The lowered one is far below
	// what its callers send.
	hotRate, hotBurst         = 20, 10
	loweredRate, loweredBurst = 4, 2
)

// event is something that the operators or the callers do while faults go on.
type event struct {
	name string
	run  func(ctx context.Context, dp *deployment, r *rand.Rand, n int)
}

// events lists the events of every run. All of a run's events are drawn with equal
// probability.
var events = []event{
	{"burst of callers", func(ctx context.Context, dp *deployment, r *rand.Rand, n int) {
		dp.burst(ctx, fmt.Sprint("b", n), time.Duration(r.Int64N(int64(maxBurst))), func(i int) int { return i })
	}},
	{"burst of the hot customer", func(ctx context.Context, dp *deployment, r *rand.Rand, n int) {
		dp.burst(ctx, fmt.Sprint("h", n), time.Duration(r.Int64N(int64(maxBurst))), func(int) int { return 0 })
	}},
}

// keyEvents are the events of a run with keys.
var keyEvents = []event{
	{"key revoked", func(_ context.Context, dp *deployment, r *rand.Rand, _ int) {
		dp.customersLock.Lock()
		defer dp.customersLock.Unlock()
		dp.keys.replace(r, dp.configure)
	}},
}

// quotaEvents are the events of a run with quotas.
var quotaEvents = []event{
	{"quota lowered", func(_ context.Context, dp *deployment, _ *rand.Rand, _ int) { dp.setQuota(loweredRate, loweredBurst) }},
	{"quota restored", func(_ context.Context, dp *deployment, _ *rand.Rand, _ int) { dp.setQuota(hotRate, hotBurst) }},
}

// playEvents plays events until ctx ends, and returns how often each was once all are over.
func (dp *deployment) playEvents(ctx context.Context) map[string]int {
	counts := map[string]int{}
	all := slices.Clone(events)
	if dp.keys != nil {
		all = append(all, keyEvents...)
	}
	if dp.options.Quotas {
		all = append(all, quotaEvents...)
	}
	random := rand.New(rand.NewPCG(dp.options.Seed, eventStream))
	var running sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		e := all[random.IntN(len(all))]
		counts[e.name]++
		own := rand.New(rand.NewPCG(dp.options.Seed, eventStream+1+uint64(n)))
		running.Go(func() { e.run(ctx, dp, own, n) })
		wait(ctx, time.Duration(random.Int64N(int64(maxEventPause))))
	}
	running.Wait()
	return counts
}

// burst runs more callers for a time, each of the customer that pick names for it.
func (dp *deployment) burst(ctx context.Context, name string, d time.Duration, pick func(i int) int) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var running sync.WaitGroup
	for i := range burstCallers {
		c := dp.newCaller(fmt.Sprintf("s%d-%s-%d", dp.options.Seed, name, i), uint64(eventStream+i), pick(i))
		running.Go(func() { c.run(ctx); c.client.CloseIdleConnections() })
	}
	running.Wait()
}

// setQuota changes the quota of the hot customer, the first one.
func (dp *deployment) setQuota(rate, burst float64) {
	dp.customersLock.Lock()
	defer dp.customersLock.Unlock()
	dp.keys.setQuota(rate, burst)
	dp.configure()
	dp.ledger.mu.Lock()
	defer dp.ledger.mu.Unlock()
	dp.ledger.quotas.changes = append(dp.ledger.quotas.changes, limitChange{time.Now(), rate, burst})
}

// outageStep is the accuracy with which appliedAt looks for the end of outages.
const outageStep = 50 * time.Millisecond

// appliedAt returns when all gates must have applied a configuration that was published at
// a time, once all outages have ended.
func (dp *deployment) appliedAt(published time.Time) time.Time {
	at := published
	for _, g := range dp.gates {
		for dp.outages.connected(g.Frontend, published, at) < applyTime {
			at = at.Add(outageStep)
		}
	}
	return at
}

// checkLogs records each process that logged a key.
func (dp *deployment) checkLogs(hosts []*host) error {
	for _, h := range hosts {
		data, err := os.ReadFile(h.log.Name())
		if err != nil {
			return err
		}
		if strings.Contains(string(data), keyPrefix) {
			dp.ledger.recordLeak(h.Name)
		}
	}
	return nil
}
