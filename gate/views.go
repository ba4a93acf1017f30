package gate

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
)

const (
	// listeners is how many vaults a gate listens to for each prefix: one more
	// than the one that may have lost the service unnoticed.
	listeners = 2
	// viewWait is how long a question for a newer view waits at a vault.
	viewWait = 2 * time.Second
	// viewSlack is how much later its answer may be before the vault is given up.
	viewSlack = 300 * time.Millisecond
	// viewRetry is the pause before another vault is asked.
	viewRetry = 100 * time.Millisecond
	// viewStart is how long a gate waits for vaults before it asks the key-value
	// service itself, when the whole system starts and no caller waits yet.
	viewStart = 400 * time.Millisecond
	// liveTime is how long a live vault's last answer is good for.
	liveTime = viewWait + viewSlack
)

// ViewConsumer decodes what the key-value service holds.
type ViewConsumer interface {
	Prefixes() []string
	AppliedRevision(prefix string) int64
	ApplyView(v *vaults.View)
}

// ViewListener learns what the key-value service holds: from vaults that hear from it,
// at no cost for the service, or else from the service itself.
type ViewListener struct {
	feed  ViewConsumer
	bank  *bank
	log   zerolog.Logger
	begun time.Time

	mu sync.Mutex
	// heard is when a live vault last answered, by prefix.
	heard map[string]time.Time
}

// NewViewListener returns a listener that tells feed.
func (g *Gate) NewViewListener(feed ViewConsumer) *ViewListener {
	return &ViewListener{feed: feed, bank: g.bank, log: g.log, begun: time.Now(), heard: map[string]time.Time{}}
}

// Listen listens to vaults until ctx ends.
func (v *ViewListener) Listen(ctx context.Context) {
	for _, prefix := range v.feed.Prefixes() {
		for n := range listeners {
			go v.listen(ctx, prefix, n)
		}
	}
}

// listen asks one vault after the other, going on when one fails.
func (v *ViewListener) listen(ctx context.Context, prefix string, n int) {
	for at := n; ctx.Err() == nil; {
		addrs := v.bank.nearest()
		if len(addrs) <= n {
			v.pause(ctx)
			continue
		}
		if err := v.ask(ctx, addrs[at%len(addrs)], prefix); err != nil {
			at++
			v.pause(ctx)
		}
	}
}

func (v *ViewListener) pause(ctx context.Context) {
	select {
	case <-time.After(viewRetry):
	case <-ctx.Done():
	}
}

var errNotLive = errors.New("gate: the vault does not hear from the key-value service")

func (v *ViewListener) ask(ctx context.Context, addr, prefix string) error {
	ctx, cancel := context.WithTimeout(ctx, viewWait+viewSlack)
	defer cancel()
	m, err := v.bank.client(addr).Call(ctx, &vaults.AwaitView{Prefix: prefix, After: v.feed.AppliedRevision(prefix), Wait: viewWait})
	if err != nil {
		return err
	}
	b, ok := m.(*vaults.AwaitViewReply)
	if !ok {
		return errNotLive
	}
	v.bank.adopt(b.Roster)
	if b.View != nil {
		v.log.Info().Str("keys", prefix).Str("vault", addr).Int64("revision", b.View.Revision).Int("notes", len(b.View.KeyValues)).
			Bool("live", b.StoreReachable).Msg("view from a vault")
		v.feed.ApplyView(b.View)
	}
	if !b.StoreReachable {
		return errNotLive
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.heard[prefix] = time.Now()
	return nil
}

// Applied returns the revision that is known.
func (v *ViewListener) AppliedRevision(prefix string) int64 { return v.feed.AppliedRevision(prefix) }

// SkipPoll tells whether live vaults spare the key-value service a question.
func (v *ViewListener) SkipPoll(prefix string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	starting := v.bank.site.FirstStart && time.Since(v.begun) < viewStart
	return time.Since(v.heard[prefix]) < liveTime || starting
}

// ApplyView takes a view from the key-value service.
func (v *ViewListener) ApplyView(view *vaults.View) { v.feed.ApplyView(view) }

// Lost notes that the key-value service went out of view.
func (v *ViewListener) StoreLost(prefix string, err error) {
	v.log.Warn().Err(err).Str("keys", prefix).Msg("key-value service lost; what is known stands")
}

// Regained notes that the key-value service is back.
func (v *ViewListener) StoreRegained(prefix string, away time.Duration) {
	v.log.Info().Str("keys", prefix).Dur("away", away).Msg("key-value service regained")
}
