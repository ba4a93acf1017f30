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

// chunkMegabytes is what one read takes, in megabytes.
const chunkMegabytes = 64

// New returns a store.
func New(o Options) *Store {
	limit := rate.Inf
	if o.Rate > 0 {
		limit = rate.Limit(o.Rate)
	}
	return &Store{options: o, limiter: rate.NewLimiter(limit, chunkMegabytes)}
}

// ModelName is the name of a model with its adapter and version.
func ModelName(model, adapter, version string) string { return model + "/" + adapter + "/" + version }

// Fetch reads a model and its adapter. Speed divides the time it takes.
func (s *Store) Fetch(ctx context.Context, _, adapter string, speed float64) error {
	size := s.options.ModelSize
	if adapter != "" {
		size += s.options.AdapterSize
	}
	for remaining := int(float64(size) / speed); remaining > 0; remaining -= chunkMegabytes {
		if err := s.limiter.WaitN(ctx, min(remaining, chunkMegabytes)); err != nil {
			return errors.Wrap(err, "weight: read")
		}
	}
	return nil
}
