// Package coord (stand-in) keeps in memory what the platform's key-value service
// holds for vaults and gates: the roster, spare and retiring hosts, and views.
package coord

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
)

// The errors of the stand-in.
var (
	// ErrDown means that the service does not answer.
	ErrDown = errors.New("coord: service is down")
	// ErrConflict means that the revision has changed since it was read.
	ErrConflict = errors.New("coord: revision conflict")
)

// pollInterval is the pause between two checks for a newer view.
const pollInterval = 20 * time.Millisecond

// Registry is the registry in memory. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	down     bool
	roster   seats.Roster
	revision int64
	spares   []seats.Seat
	// retiring holds the hosts that were asked to retire, retired those that reported
	// that they have handed over their data.
	retiring map[string]bool
	retired  map[string]bool
	prefixes []string
	views    map[string]*vaults.View
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{retiring: map[string]bool{}, retired: map[string]bool{}, views: map[string]*vaults.View{}}
}

// SetDown starts or ends an outage, in which calls fail with ErrDown.
func (a *Registry) SetDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
}

// Retire asks a host to hand over its data, so that it can be removed.
func (a *Registry) Retire(node string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retiring[node] = true
}

// Retired reports whether a host has finished retiring.
func (a *Registry) Retired(node string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retired[node]
}

// Roster returns the newest roster and its revision.
func (a *Registry) Roster(context.Context) (*seats.Roster, int64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return nil, 0, ErrDown
	}
	r := a.roster
	r.Seats = slices.Clone(r.Seats)
	return &r, a.revision, nil
}

// RecentRoster returns the newest roster.
func (a *Registry) RecentRoster(ctx context.Context) (*seats.Roster, error) {
	r, _, err := a.Roster(ctx)
	return r, err
}

// PutRoster replaces the roster if its revision is still the given one.
func (a *Registry) PutRoster(_ context.Context, r *seats.Roster, revision int64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.down:
		return ErrDown
	case revision != a.revision:
		return ErrConflict
	}
	a.roster = *r
	a.revision++
	return nil
}

// Spares returns the hosts that wait for a seat.
func (a *Registry) Spares(context.Context) ([]seats.Seat, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return nil, ErrDown
	}
	return slices.Clone(a.spares), nil
}

// PutSpare adds a host that waits for a seat.
func (a *Registry) PutSpare(_ context.Context, s seats.Seat) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return ErrDown
	}
	if !slices.Contains(a.spares, s) {
		a.spares = append(a.spares, s)
	}
	return nil
}

// Retiring reports whether a host was asked to retire.
func (a *Registry) Retiring(_ context.Context, node string) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return false, ErrDown
	}
	return a.retiring[node], nil
}

// PutRetired records whether a host has finished retiring.
func (a *Registry) PutRetired(_ context.Context, node string, done bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return ErrDown
	}
	a.retired[node] = done
	return nil
}

// Prefixes returns the prefixes that have a view.
func (a *Registry) Prefixes() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.prefixes)
}

// SetView publishes a view for its prefix.
func (a *Registry) SetView(v *vaults.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Contains(a.prefixes, v.Prefix) {
		a.prefixes = append(a.prefixes, v.Prefix)
	}
	a.views[v.Prefix] = v
}

// Follow passes each newer view of a prefix to consumer until ctx ends.
func (a *Registry) Follow(ctx context.Context, prefix string, consumer vaults.ViewReceiver) {
	for ctx.Err() == nil {
		a.mu.Lock()
		view, down := a.views[prefix], a.down
		a.mu.Unlock()
		switch {
		case consumer.SkipPoll(prefix):
		case down:
			consumer.StoreLost(prefix, ErrDown)
		case view != nil && view.Revision > consumer.AppliedRevision(prefix):
			consumer.ApplyView(view)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}
