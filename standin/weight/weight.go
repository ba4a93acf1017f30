// Package weight (stand-in) plays the platform's rate-limited weight store,
// from which engines load models and adapters.
package weight

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// Options are the store's bounds.
type Options struct {
	// Rate is the megabytes per second of all readers together; 0 means no bound.
	Rate float64
	// ModelSize and Adapter are their sizes in megabytes.
	ModelSize   int
	AdapterSize int
}

// Store is one weight store. It is safe for concurrent use.
type Store struct {
	options Options
	limiter *rate.Limiter
}

// chunk is what one read takes, in megabytes.
const chunk = 64

// New returns a store.
func New(o Options) *Store {
	limit := rate.Inf
	if o.Rate > 0 {
		limit = rate.Limit(o.Rate)
	}
	return &Store{options: o, limiter: rate.NewLimiter(limit, chunk)}
}

// ModelName is the name of a model with its adapter and version.
func ModelName(model, adapter, version string) string { return model + "/" + adapter + "/" + version }

// Fetch reads a model and its adapter. Speed divides the time it takes.
func (s *Store) Fetch(ctx context.Context, _, adapter string, speed float64) error {
	size := s.options.ModelSize
	if adapter != "" {
		size += s.options.AdapterSize
	}
	for left := int(float64(size) / speed); left > 0; left -= chunk {
		if err := s.limiter.WaitN(ctx, min(left, chunk)); err != nil {
			return errors.Wrap(err, "weight: read")
		}
	}
	return nil
}
