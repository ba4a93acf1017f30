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
	// retiring holds the hosts that the operators want emptied, retired those whose
	// emptying is done.
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
func (r *Registry) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

// Retire requests that a host be emptied, so that it can be removed.
func (r *Registry) Retire(node string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retiring[node] = true
}

// Retired reports whether the emptying of a host is done.
func (r *Registry) Retired(node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retired[node]
}

// Roster returns the newest roster and its revision.
func (r *Registry) Roster(context.Context) (*seats.Roster, int64, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return nil, 0, ErrDown
	}
	roster := r.roster
	roster.Seats = slices.Clone(roster.Seats)
	return &roster, r.revision, nil
}

// RecentRoster returns the newest roster.
func (r *Registry) RecentRoster(ctx context.Context) (*seats.Roster, error) {
	roster, _, err := r.Roster(ctx)
	return roster, err
}

// PutRoster replaces the roster if its revision is still the given one.
func (r *Registry) PutRoster(_ context.Context, roster *seats.Roster, revision int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.down:
		return ErrDown
	case revision != r.revision:
		return ErrConflict
	}
	r.roster = *roster
	r.revision++
	return nil
}

// Spares returns the hosts that wait for a seat.
func (r *Registry) Spares(context.Context) ([]seats.Seat, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return nil, ErrDown
	}
	return slices.Clone(r.spares), nil
}

// PutSpare adds a host that waits for a seat.
func (r *Registry) PutSpare(_ context.Context, s seats.Seat) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return ErrDown
	}
	if !slices.ContainsFunc(r.spares, func(known seats.Seat) bool { return known.Node == s.Node }) {
		r.spares = append(r.spares, s)
	}
	return nil
}

// Retiring reports whether the operators want a host emptied.
func (r *Registry) Retiring(_ context.Context, node string) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return false, ErrDown
	}
	return r.retiring[node], nil
}

// PutRetired records whether the emptying of a host is done.
func (r *Registry) PutRetired(_ context.Context, node string, done bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return ErrDown
	}
	r.retired[node] = done
	return nil
}

// Prefixes returns the prefixes that have a view.
func (r *Registry) Prefixes() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.prefixes)
}

// SetView publishes a view for its prefix.
func (r *Registry) SetView(v *vaults.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !slices.Contains(r.prefixes, v.Prefix) {
		r.prefixes = append(r.prefixes, v.Prefix)
	}
	r.views[v.Prefix] = v
}

// Follow passes each newer view of a prefix to receiver until ctx ends.
func (r *Registry) Follow(ctx context.Context, prefix string, receiver vaults.ViewReceiver) {
	var lostAt time.Time
	for ctx.Err() == nil {
		now := time.Now()
		r.mu.Lock()
		view, down := r.views[prefix], r.down
		r.mu.Unlock()
		switch {
		case receiver.SkipPoll(prefix):
		case down:
			receiver.StoreLost(prefix, ErrDown)
			if lostAt.IsZero() {
				lostAt = now
			}
		case view != nil:
			if view.Revision > receiver.AppliedRevision(prefix) {
				receiver.ApplyView(view)
			}
			receiver.Confirm(prefix, now)
			if !lostAt.IsZero() {
				receiver.StoreRegained(prefix, now.Sub(lostAt))
				lostAt = time.Time{}
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}
