package vault

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/transport/files"
)

const (
	// keptChanges is how many changes are kept to tell gates instead of all keys.
	keptChanges = 256
	// maxWait bounds how long a gate's question waits.
	maxWait = 10 * time.Second
)

// board is what the key-value service holds below one prefix, as last seen. Its
// fields are guarded by the mutex of Vault.
type board struct {
	whole *vaults.View
	// changes are the last ones, oldest first; all after floor are among them.
	changes []*vaults.View
	floor   int64
	// live says that the service answers.
	live bool
	// changed is closed when the view or live changes.
	changed chan struct{}
}

func (b *board) announce() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// boards is the vault as one who follows the key-value service.
type boards struct{ *Vault }

// AppliedRevision returns the revision that is known.
func (v boards) AppliedRevision(prefix string) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.boards[prefix].whole.Revision
}

// SkipPoll tells that this host has no seat in a roster that is known: gates listen to
// those that have one, and the service is spared the questions of the others.
// What such a host knows grows old, so it does not pass for live.
func (v boards) SkipPoll(prefix string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	idle := len(v.roster.Seats) >= v.roster.Quorum() && v.roster.Find(v.site.Node) == nil
	if b := v.boards[prefix]; idle && b.live {
		b.live = false
		b.announce()
	}
	return idle
}

// Lost notes that the service is out of view.
func (v boards) StoreLost(prefix string, err error) {
	v.log.Warn().Err(err).Str("keys", prefix).Msg("key-value service lost; what is known stands")
	v.setLive(prefix, false)
}

// Regained notes that the service is back.
func (v boards) StoreRegained(prefix string, away time.Duration) {
	v.log.Info().Str("keys", prefix).Dur("away", away).Msg("key-value service regained")
	v.setLive(prefix, true)
}

func (v boards) setLive(prefix string, live bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	b := v.boards[prefix]
	b.live = live
	b.announce()
}

// ApplyView notes what the service holds, tells the gates that wait, and puts the
// view on disk.
func (v boards) ApplyView(view *vaults.View) {
	v.mu.Lock()
	b := v.boards[view.Prefix]
	b.take(view)
	whole := *b.whole
	v.mu.Unlock()
	if len(view.KeyValues) == 0 {
		return
	}
	data, err := cbor.Marshal(whole)
	if err == nil {
		err = files.Replace(v.viewFile(slices.Index(v.registry.Prefixes(), view.Prefix)), data)
	}
	if err != nil {
		v.log.Warn().Err(err).Str("keys", view.Prefix).Msg("view not kept on disk")
	}
}

func (b *board) take(view *vaults.View) {
	fresh := !b.live
	b.live = true
	next := &vaults.View{Prefix: view.Prefix, Revision: view.Revision, AfterOutage: view.AfterOutage}
	if view.After == 0 {
		next.KeyValues = view.KeyValues
		b.changes, b.floor = nil, view.Revision
		b.whole = next
		b.announce()
		return
	}
	if len(view.KeyValues) == 0 {
		next.KeyValues, next.AfterOutage = b.whole.KeyValues, false
		b.whole = next
		if fresh {
			b.announce()
		}
		return
	}
	for _, n := range b.whole.KeyValues {
		if !slices.ContainsFunc(view.KeyValues, func(o vaults.KeyValue) bool { return o.Key == n.Key }) {
			next.KeyValues = append(next.KeyValues, n)
		}
	}
	for i, n := range view.KeyValues {
		later := slices.ContainsFunc(view.KeyValues[i+1:], func(o vaults.KeyValue) bool { return o.Key == n.Key })
		if !n.Deleted && !later {
			next.KeyValues = append(next.KeyValues, n)
		}
	}
	next.AfterOutage = false
	b.whole = next
	b.changes = append(b.changes, view)
	if len(b.changes) > keptChanges {
		b.floor = b.changes[0].Revision
		b.changes = b.changes[1:]
	}
	b.announce()
}

// since returns what is newer than a revision, or nil.
func (b *board) since(after int64) *vaults.View {
	if b.whole.Revision <= after {
		return nil
	}
	if after < b.floor || after == 0 {
		return b.whole
	}
	v := &vaults.View{Prefix: b.whole.Prefix, After: after, Revision: b.whole.Revision}
	for _, c := range b.changes {
		if c.Revision > after {
			v.KeyValues = append(v.KeyValues, c.KeyValues...)
			v.AfterOutage = v.AfterOutage || c.AfterOutage
		}
	}
	if len(v.KeyValues) == 0 {
		return nil
	}
	return v
}

// viewFile returns where the view of a prefix is kept.
func (v *Vault) viewFile(i int) string {
	return filepath.Join(v.site.Data, fmt.Sprintf("view-%d", i))
}

// loadViews reads the views that this host saw last. Unreadable ones are left
// out: a newer one follows.
func (v *Vault) loadViews() {
	for i, prefix := range v.registry.Prefixes() {
		b := &board{whole: &vaults.View{Prefix: prefix}, changed: make(chan struct{})}
		v.boards[prefix] = b
		data, err := os.ReadFile(v.viewFile(i))
		if os.IsNotExist(err) {
			continue
		}
		view := &vaults.View{}
		if err == nil {
			err = cbor.Unmarshal(data, view)
		}
		if err != nil || view.Prefix != prefix {
			v.log.Warn().Err(err).Str("keys", prefix).Msg("kept view unreadable")
			continue
		}
		b.whole, b.floor = view, view.Revision
	}
}

// brief tells a gate what is newer than it knows, once there is something.
func (v *Vault) brief(m *vaults.AwaitView) *vaults.AwaitViewReply {
	end := time.After(min(m.Wait, maxWait))
	for {
		v.mu.Lock()
		answer := &vaults.AwaitViewReply{Roster: v.roster}
		b := v.boards[m.Prefix]
		if b == nil {
			v.mu.Unlock()
			return answer
		}
		answer.View, answer.StoreReachable = b.since(m.After), b.live
		changed := b.changed
		v.mu.Unlock()
		if answer.View != nil || !answer.StoreReachable || m.Wait <= 0 {
			return answer
		}
		select {
		case <-changed:
		case <-end:
			return answer
		}
	}
}

// follow keeps the views.
func (v *Vault) follow(ctx context.Context) {
	for _, prefix := range v.registry.Prefixes() {
		go v.registry.Follow(ctx, prefix, boards{v})
	}
}
