package gate

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/protocol/pack"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
)

const (
	// listenersPerPrefix is how many vaults a gate listens to for each prefix:
	// two, because one of them may have lost the key-value service without
	// noticing. The first sends views, the others only say that there is one.
	listenersPerPrefix = 2
	// briefPause is how long a gate that has heard of a newer view waits for it from the
	// first vault before it asks another one: many round trips and a vault's delay, and little
	// against the time within which a configuration must apply.
	briefPause = 150 * time.Millisecond
	// viewWait is how long a vault waits for a newer view before it answers.
	viewWait = 2 * time.Second
	// viewSlack is how much longer than viewWait the gate waits for an answer
	// before it asks another vault.
	viewSlack = 300 * time.Millisecond
	// revocationShare bounds a vault's wait to a share of the time for which the
	// configuration counts without a confirmation. Together with the vault's own watch,
	// which takes half of the usual limit, a confirmation arrives before the last expires.
	revocationShare = 0.2
	// viewRetryPause is the pause before another vault is asked.
	viewRetryPause = 100 * time.Millisecond
	// viewReturnPause is how long after a failure a listener returns to the vault that it
	// prefers.
	viewReturnPause = 5 * time.Second
	// viewStartTime is how long a gate waits for vaults before it asks the
	// key-value service itself, when the whole system starts and no caller
	// waits yet.
	viewStartTime = 400 * time.Millisecond
	// reachableTime is how long the last answer of a vault that reached the
	// key-value service counts.
	reachableTime = viewWait + viewSlack
)

// ViewConsumer applies views of the key-value service.
type ViewConsumer interface {
	Prefixes() []string
	AppliedRevision(prefix string) int64
	ApplyView(v *vaults.View)
	// Confirm receives that the views applied below a prefix were current at asOf.
	Confirm(prefix string, asOf time.Time)
}

// ViewListener follows the content of the key-value service. It asks vaults that
// follow the service, which puts no load on it, and uses the service itself
// only if no vault reaches it.
type ViewListener struct {
	consumer ViewConsumer
	vaults   *vaultClient
	log      zerolog.Logger
	started  time.Time

	mu sync.Mutex
	// reachableAt is when a vault that reached the key-value service last
	// answered, by prefix.
	reachableAt map[string]time.Time
}

// NewViewListener returns a listener that passes views to feed.
func (g *Gate) NewViewListener(feed ViewConsumer) *ViewListener {
	return &ViewListener{consumer: feed, vaults: g.vaults, log: g.log, started: time.Now(), reachableAt: map[string]time.Time{}}
}

// Listen listens to vaults until ctx ends. It does not block.
func (v *ViewListener) Listen(ctx context.Context) {
	for _, prefix := range v.consumer.Prefixes() {
		for n := range listenersPerPrefix {
			go v.listen(ctx, prefix, n)
		}
	}
}

// listen asks a vault for views and moves on to the next one when it fails.
func (v *ViewListener) listen(ctx context.Context, prefix string, n int) {
	p := listenPlace{first: n, at: n}
	brief := n > 0
	for ctx.Err() == nil {
		addrs := v.vaults.vaultAddrs()
		if len(addrs) <= n {
			pause(ctx, viewRetryPause)
			continue
		}
		newer, err := v.ask(ctx, addrs[p.current(time.Now())%len(addrs)], prefix, brief)
		if err != nil {
			p.fail(time.Now())
			pause(ctx, viewRetryPause)
		}
		brief = n > 0
		if newer > v.consumer.AppliedRevision(prefix) {
			pause(ctx, briefPause)
			brief = newer <= v.consumer.AppliedRevision(prefix)
		}
	}
}

// listenPlace is the place of the vault that a listener asks in its gate's order, the vaults of
// its own data centre first.
type listenPlace struct {
	first, at int
	failedAt  time.Time
}

// current returns the place to ask now. Some time after a failure it is the first one again:
// vaults fail while they start, and views from another data centre cost traffic between the two.
func (p *listenPlace) current(now time.Time) int {
	if now.Sub(p.failedAt) >= viewReturnPause {
		p.at = p.first
	}
	return p.at
}

// fail moves on to the next place.
func (p *listenPlace) fail(now time.Time) { p.at, p.failedAt = p.at+1, now }

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

var errStoreUnreachable = errors.New("gate: the vault does not hear from the key-value service")

// ask waits for a view at a vault and applies it. With brief it returns the revision of a newer
// view instead; vaults of earlier builds send the view all the same.
func (v *ViewListener) ask(ctx context.Context, addr, prefix string, brief bool) (newer int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, viewWait+viewSlack)
	defer cancel()
	asked := time.Now()
	wait := viewWait
	if limit := v.vaults.site.Revocation; limit > 0 {
		wait = min(wait, time.Duration(revocationShare*float64(limit)))
	}
	m, err := v.vaults.connection(addr).Call(ctx, &vaults.AwaitView{
		Prefix: prefix, After: v.consumer.AppliedRevision(prefix), Wait: wait, Roster: v.vaults.currentRoster().Version, Packs: true, Brief: brief,
	})
	if err != nil {
		return 0, err
	}
	b, ok := m.(*vaults.AwaitViewReply)
	if !ok {
		return 0, errStoreUnreachable
	}
	v.vaults.adopt(b.Roster)
	if len(b.Packed) > 0 {
		b.View = &vaults.View{}
		if err := pack.Decode(b.Packed, b.View); err != nil {
			return 0, err
		}
	}
	if b.View != nil {
		v.log.Info().Str("keys", prefix).Str("vault", addr).Int64("revision", b.View.Revision).Int("notes", len(b.View.KeyValues)).
			Bool("live", b.StoreReachable).Msg("view from a vault")
		v.consumer.ApplyView(b.View)
	}
	if !b.StoreReachable {
		return 0, errStoreUnreachable
	}
	if v.vaults.site.Revocation > 0 && b.View == nil && b.Revision == 0 && b.Age <= 0 {
		return 0, nil // the vault cannot confirm the configuration, so the service is asked
	}
	now := time.Now()
	v.confirm(now, prefix, asked.Add(wait), b)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.reachableAt[prefix] = now
	return b.Revision, nil
}

// confirm tells the consumer as of when a vault confirms what is applied. The vault says how
// old its own confirmation is only once the wait has ended without a newer view; vaults of
// earlier builds never say it.
func (v *ViewListener) confirm(now time.Time, prefix string, waitEnd time.Time, b *vaults.AwaitViewReply) {
	if b.Age <= 0 {
		return
	}
	if waitEnd.After(now) {
		waitEnd = now
	}
	v.consumer.Confirm(prefix, waitEnd.Add(-b.Age))
}

// Confirm passes on that the key-value service confirms what is applied.
func (v *ViewListener) Confirm(prefix string, asOf time.Time) { v.consumer.Confirm(prefix, asOf) }

// AppliedRevision returns the revision that is known.
func (v *ViewListener) AppliedRevision(prefix string) int64 {
	return v.consumer.AppliedRevision(prefix)
}

// SkipPoll reports whether the key-value service need not be asked, because vaults
// reach it or, when the whole system starts, soon will.
func (v *ViewListener) SkipPoll(prefix string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	starting := v.vaults.site.FirstStart && time.Since(v.started) < viewStartTime
	return time.Since(v.reachableAt[prefix]) < reachableTime || starting
}

// ApplyView applies a view from the key-value service.
func (v *ViewListener) ApplyView(view *vaults.View) { v.consumer.ApplyView(view) }

// StoreLost logs that the key-value service cannot be reached.
func (v *ViewListener) StoreLost(prefix string, err error) {
	v.log.Warn().Err(err).Str("keys", prefix).Msg("key-value service lost; the last view stays in use")
}

// StoreRegained logs that the key-value service can be reached again.
func (v *ViewListener) StoreRegained(prefix string, away time.Duration) {
	v.log.Info().Str("keys", prefix).Dur("away", away).Msg("key-value service regained")
}
