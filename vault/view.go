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

// viewEvery is the pause between two looks at what gates need of the service.
// Gates learn changes from the service itself; a view only serves those that
// cannot reach it, and may be a second old.
const viewEvery = time.Second

// viewFile returns where the view of a prefix is kept.
func (v *Vault) viewFile(i int) string {
	return filepath.Join(v.site.Data, fmt.Sprintf("view-%d", i))
}

// loadViews reads the views that this host saw last. Unreadable ones are left
// out: a newer one follows.
func (v *Vault) loadViews() {
	for i, prefix := range v.registry.Prefixes() {
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
		v.views[prefix] = view
	}
}

// viewLoop keeps the views.
func (v *Vault) viewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		for i, prefix := range v.registry.Prefixes() {
			view, err := v.registry.View(ctx, prefix)
			if err != nil {
				v.log.Debug().Err(err).Str("keys", prefix).Msg("no newer view")
				continue
			}
			v.see(i, view)
		}
		select {
		case <-time.After(viewEvery):
		case <-ctx.Done():
		}
	}
}

// see takes a view, and puts it on disk if a key has changed.
func (v *Vault) see(i int, view *vaults.View) {
	v.mu.Lock()
	old := v.views[view.Prefix]
	newer := old == nil || view.Revision > old.Revision
	if newer {
		v.views[view.Prefix] = view
	}
	v.mu.Unlock()
	same := old != nil && slices.EqualFunc(old.Notes, view.Notes, func(a, b vaults.Note) bool {
		return a.Key == b.Key && a.Revision == b.Revision
	})
	if !newer || same {
		return
	}
	data, err := cbor.Marshal(view)
	if err == nil {
		err = files.Replace(v.viewFile(i), data)
	}
	if err != nil {
		v.log.Warn().Err(err).Str("keys", view.Prefix).Msg("view not kept on disk")
	}
}

// brief tells a gate what it may not be able to learn itself.
func (v *Vault) brief(m *vaults.Brief) *vaults.Briefed {
	v.mu.Lock()
	defer v.mu.Unlock()
	b := &vaults.Briefed{Roster: v.roster}
	if view := v.views[m.Prefix]; view != nil && view.Revision > m.After {
		b.View = view
	}
	return b
}
