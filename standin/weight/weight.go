// Package weight (stand-in) simulates the platform's rate-limited weight store, from
// which engines load models and adapters.
package weight

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// Options are the store's rate limit and sizes.
type Options struct {
	// Rate limits all readers together, in megabytes per second; 0 means no limit.
	Rate float64
	// ModelSize and AdapterSize are in megabytes.
	ModelSize   int
	AdapterSize int
}

// Store is one weight store. It is safe for concurrent use.
type Store struct {
	options Options
	limiter *rate.Limiter
}

// chunkMegabytes is the size of one read.
const chunkMegabytes = 64

// New returns a store.
func New(o Options) *Store {
	limit := rate.Inf
	if o.Rate > 0 {
		limit = rate.Limit(o.Rate)
	}
	return &Store{options: o, limiter: rate.NewLimiter(limit, chunkMegabytes)}
}

// ModelName returns the name of a model with its adapter and version.
func ModelName(model, adapter, version string) string { return model + "/" + adapter + "/" + version }

// Fetch reads a model and its adapter; speed divides the time that this takes.
func (s *Store) Fetch(ctx context.Context, _, adapter string, speed float64) error {
	size := s.options.ModelSize
	if adapter != "" {
		size += s.options.AdapterSize
	}
	for remaining := int(float64(size) / speed); remaining > 0; remaining -= chunkMegabytes {
		if err := s.limiter.WaitN(ctx, min(remaining, chunkMegabytes)); err != nil {
			return errors.Wrap(err, "weight: waiting for the rate limit")
		}
	}
	return nil
}
