package vault

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/protocol/pack"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/transport/files"
)

const (
	// maxChanges is how many changes are kept, so that gates can be sent
	// changes instead of all keys.
	maxChanges = 256
	// maxViewWait bounds how long a gate's request for a newer view waits.
	maxViewWait = 10 * time.Second
	// maxPackedViews bounds the packed views that are kept for one prefix: gates are a few
	// revisions apart at most, unless they start.
	maxPackedViews = 8
)

// viewState is what the key-value service holds below one prefix, as last seen.
// Its fields are guarded by Vault.mu.
type viewState struct {
	current *vaults.View
	// changes are the latest ones, oldest first. They include all changes after
	// the revision changesAfter.
	changes      []*vaults.View
	changesAfter int64
	// storeReachable is set while the service answers.
	storeReachable bool
	// confirmedAt is the last time as of which the service confirmed the view; zero if it
	// has not since this process started.
	confirmedAt time.Time
	// changed is closed and replaced when the view or storeReachable changes.
	changed chan struct{}
	// packed holds the packed views newer than a revision, made of packedOf. It is out of date
	// unless that is current. Most gates ask for the same.
	packed   map[int64][]byte
	packedOf *vaults.View
}

// notify wakes the requests that wait for a change.
func (s *viewState) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// viewReceiver makes the vault a vaults.ViewReceiver, which follows the
// key-value service.
type viewReceiver struct{ *Vault }

// AppliedRevision returns the revision that is known.
func (v viewReceiver) AppliedRevision(prefix string) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.views[prefix].current.Revision
}

// SkipPoll reports whether this host has no seat in the known roster. Gates listen
// to vaults with a seat, so the others do not load the service. Such a host's
// views become outdated, so it reports the service as unreachable.
func (v viewReceiver) SkipPoll(prefix string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	idle := len(v.roster.Seats) >= v.roster.Quorum() && v.roster.Find(v.site.Node) == nil
	if s := v.views[prefix]; idle && s.storeReachable {
		s.storeReachable = false
		s.notify()
	}
	return idle
}

// StoreLost logs that the service cannot be reached.
func (v viewReceiver) StoreLost(prefix string, err error) {
	v.log.Warn().Err(err).Str("keys", prefix).Msg("key-value service lost; the last view stays in use")
	v.setStoreReachable(prefix, false)
}

// StoreRegained logs that the service can be reached again.
func (v viewReceiver) StoreRegained(prefix string, away time.Duration) {
	v.log.Info().Str("keys", prefix).Dur("away", away).Msg("key-value service regained")
	v.setStoreReachable(prefix, true)
}

func (v viewReceiver) setStoreReachable(prefix string, reachable bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s := v.views[prefix]
	s.storeReachable = reachable
	s.notify()
}

// Confirm notes as of when the service confirmed the view.
func (v viewReceiver) Confirm(prefix string, asOf time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.views[prefix].confirmedAt = asOf
}

// ApplyView applies a view, wakes the gates that wait for it, and writes it to disk.
func (v viewReceiver) ApplyView(view *vaults.View) {
	v.mu.Lock()
	s := v.views[view.Prefix]
	s.apply(view)
	merged := *s.current
	v.mu.Unlock()
	if len(view.KeyValues) == 0 {
		return
	}
	data, err := cbor.Marshal(merged)
	if err == nil {
		err = files.Replace(v.viewFile(slices.Index(v.registry.Prefixes(), view.Prefix)), data)
	}
	if err != nil {
		v.log.Warn().Err(err).Str("keys", view.Prefix).Msg("writing the view to disk failed")
	}
}

// apply merges a view into the current one. A view with After 0 replaces it.
func (s *viewState) apply(view *vaults.View) {
	wasDown := !s.storeReachable
	s.storeReachable = true
	next := &vaults.View{Prefix: view.Prefix, Revision: view.Revision, AfterOutage: view.AfterOutage}
	if view.After == 0 {
		next.KeyValues = view.KeyValues
		s.changes, s.changesAfter = nil, view.Revision
		s.current = next
		s.notify()
		return
	}
	if len(view.KeyValues) == 0 {
		next.KeyValues, next.AfterOutage = s.current.KeyValues, false
		s.current = next
		if wasDown {
			s.notify()
		}
		return
	}
	for _, n := range s.current.KeyValues {
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
	s.current = next
	s.changes = append(s.changes, view)
	if len(s.changes) > maxChanges {
		s.changesAfter = s.changes[0].Revision
		s.changes = s.changes[1:]
	}
	s.notify()
}

// newerThan returns the changes after a revision, or nil. It returns the whole
// view if the changes since then are no longer kept.
func (s *viewState) newerThan(after int64) *vaults.View {
	if s.current.Revision <= after {
		return nil
	}
	if after < s.changesAfter || after == 0 {
		return s.current
	}
	v := &vaults.View{Prefix: s.current.Prefix, After: after, Revision: s.current.Revision}
	for _, c := range s.changes {
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

// viewFile returns the path of the file that holds a prefix's view.
func (v *Vault) viewFile(i int) string {
	return filepath.Join(v.site.Data, fmt.Sprintf("view-%d", i))
}

// loadViews reads the views that this host last wrote. Unreadable ones are
// skipped, because a newer view follows.
func (v *Vault) loadViews() {
	for i, prefix := range v.registry.Prefixes() {
		b := &viewState{current: &vaults.View{Prefix: prefix}, changed: make(chan struct{})}
		v.views[prefix] = b
		data, err := os.ReadFile(v.viewFile(i))
		if os.IsNotExist(err) {
			continue
		}
		view := &vaults.View{}
		if err == nil {
			err = cbor.Unmarshal(data, view)
		}
		if err != nil || view.Prefix != prefix {
			v.log.Warn().Err(err).Str("keys", prefix).Msg("view file unreadable; skipped")
			continue
		}
		b.current, b.changesAfter = view, view.Revision
	}
}

// answerAwaitView returns the changes after the revision that a gate knows. If
// there are none, it waits for one, at most as long as the gate asked and while
// the service is reachable.
func (v *Vault) answerAwaitView(m *vaults.AwaitView) *vaults.AwaitViewReply {
	end := time.After(min(m.Wait, maxViewWait))
	for {
		v.mu.Lock()
		answer := &vaults.AwaitViewReply{}
		if v.roster.Version > m.Roster {
			answer.Roster = v.roster
		}
		s := v.views[m.Prefix]
		if s == nil {
			v.mu.Unlock()
			return answer
		}
		answer.View, answer.StoreReachable = s.newerThan(m.After), s.storeReachable
		changed, current := s.changed, s.current
		v.mu.Unlock()
		if answer.View != nil && answer.StoreReachable && m.Brief {
			answer.Revision, answer.View = answer.View.Revision, nil
			return answer
		}
		if answer.View != nil && m.Packs {
			v.packView(m.After, s, current, answer)
		}
		if answer.Packed != nil || answer.View != nil || !answer.StoreReachable || m.Wait <= 0 {
			return answer
		}
		select {
		case <-changed:
		case <-end:
			answer.Age = v.viewAge(time.Now(), m.Prefix)
			return answer
		}
	}
}

// packView replaces the view of an answer, which was made of current, by its packed form.
func (v *Vault) packView(after int64, s *viewState, current *vaults.View, answer *vaults.AwaitViewReply) {
	v.mu.Lock()
	var data []byte
	if s.packedOf == current {
		data = s.packed[after]
	}
	v.mu.Unlock()
	if data == nil {
		var err error
		if data, err = v.pack(answer.View); err != nil {
			v.log.Error().Err(err).Str("keys", answer.View.Prefix).Msg("packing a view failed; it is sent as it is")
			return
		}
		v.mu.Lock()
		if s.packedOf != current && s.current == current {
			s.packed, s.packedOf = map[int64][]byte{}, current
		}
		if s.packedOf == current && len(s.packed) < maxPackedViews {
			s.packed[after] = data
		}
		v.mu.Unlock()
	}
	answer.Packed, answer.View = data, nil
}

// pack packs a value. One at a time: a writer takes a megabyte.
func (v *Vault) pack(value any) ([]byte, error) {
	v.packing.Lock()
	defer v.packing.Unlock()
	return pack.Encode(value)
}

// viewAge returns how long ago the service confirmed the view of a prefix, 0 if it has not
// since this process started.
func (v *Vault) viewAge(now time.Time, prefix string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	confirmedAt := v.views[prefix].confirmedAt
	if confirmedAt.IsZero() {
		return 0
	}
	return max(1, now.Sub(confirmedAt))
}

// followViews follows the key-value service for every prefix.
func (v *Vault) followViews(ctx context.Context) {
	for _, prefix := range v.registry.Prefixes() {
		go v.registry.Follow(ctx, prefix, viewReceiver{v})
	}
}
