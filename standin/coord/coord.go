// Package agreed stands in for the platform's key-value service as far as vaults
// and gates agree on things there.
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
	ErrDown = errors.New("agreed: down")
	// ErrConflict means that another write came first.
	ErrConflict = errors.New("agreed: conflict")
)

// pollInterval is the pause between two looks for a view.
const pollInterval = 20 * time.Millisecond

// Registry holds what is agreed on. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	down     bool
	roster   seats.Roster
	revision int64
	spares   []seats.Seat
	// retiring are the hosts to be emptied; retired those that said they are.
	retiring map[string]bool
	retired  map[string]bool
	prefixes []string
	views    map[string]*vaults.View
}

// New returns a service that has agreed on nothing.
func New() *Registry {
	return &Registry{retiring: map[string]bool{}, retired: map[string]bool{}, views: map[string]*vaults.View{}}
}

// SetDown takes the service away or brings it back.
func (a *Registry) SetDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
}

// Retire asks for a host to be emptied.
func (a *Registry) Retire(node string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retiring[node] = true
}

// Retired tells whether a host said that it is empty.
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

// PutRoster replaces the roster at a revision.
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

// Retiring tells whether a host is to be emptied.
func (a *Registry) Retiring(_ context.Context, node string) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return false, ErrDown
	}
	return a.retiring[node], nil
}

// PutRetired notes how far the emptying of a host is.
func (a *Registry) PutRetired(_ context.Context, node string, done bool) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		return ErrDown
	}
	a.retired[node] = done
	return nil
}

// Prefixes returns those of the views that were set.
func (a *Registry) Prefixes() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.prefixes)
}

// SetView makes what is below a prefix known.
func (a *Registry) SetView(v *vaults.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Contains(a.prefixes, v.Prefix) {
		a.prefixes = append(a.prefixes, v.Prefix)
	}
	a.views[v.Prefix] = v
}

// Follow tells taker of a view whenever another was set.
func (a *Registry) Follow(ctx context.Context, prefix string, consumer vaults.Taker) {
	for ctx.Err() == nil {
		a.mu.Lock()
		view, down := a.views[prefix], a.down
		a.mu.Unlock()
		switch {
		case consumer.Idle(prefix):
		case down:
			consumer.Lost(prefix, ErrDown)
		case view != nil && view.Revision > consumer.Applied(prefix):
			consumer.Take(view)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}
