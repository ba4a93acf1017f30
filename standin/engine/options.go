package engine

import (
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Options are the engine's costs and bounds. Times are those of the engine
// that is played; Speed shortens them all.
type Options struct {
	// Speed divides every time; 0 means 1.
	Speed float64 `ini:"speed"`
	// Decode is the time of a step whatever its batch.
	Decode time.Duration `ini:"decode"`
	// Stream is the time that each running stream adds to a step.
	Stream time.Duration `ini:"stream"`
	// Prefill is prompt tokens per second.
	Prefill int `ini:"prefill"`
	// Budget bounds the prompt tokens of one step.
	Budget int `ini:"budget"`
	// Slots bounds the streams running at once.
	Slots int `ini:"slots"`
	// Waiting bounds the calls that wait for a slot.
	Waiting int `ini:"waiting"`
	// Memory is the cache size in tokens.
	Memory int `ini:"memory"`
	// Block is the cache's unit in tokens.
	Block int `ini:"block"`
	// Flush is the least time between two chunks of a stream.
	Flush time.Duration `ini:"flush"`
	// Lag is how old the published load and cache events are.
	Lag time.Duration `ini:"lag"`
	// Drop is the share of cache events that is lost, between 0 and 1.
	Drop float64 `ini:"drop"`
	// Transfer is cached tokens per second of an import.
	Transfer int `ini:"transfer"`
	// Fencing makes the engine refuse fencing numbers lower than the highest seen.
	Fencing bool `ini:"fencing"`
	// Strict makes the engine refuse models that it has not loaded.
	Strict bool `ini:"strict"`
	// Seed fixes which events are lost.
	Seed uint64 `ini:"seed"`
}

// The costs of options that are left at zero.
const (
	defaultDecode   = 20 * time.Millisecond
	defaultPrefill  = 20000
	defaultBudget   = 2048
	defaultSlots    = 16
	defaultWaiting  = 64
	defaultMemory   = 200000
	defaultBlock    = 32
	defaultTransfer = 200000
)

func (o Options) filled() Options {
	fill(&o.Speed, 1)
	fill(&o.Decode, defaultDecode)
	fill(&o.Prefill, defaultPrefill)
	fill(&o.Budget, defaultBudget)
	fill(&o.Slots, defaultSlots)
	fill(&o.Waiting, defaultWaiting)
	fill(&o.Memory, defaultMemory)
	fill(&o.Block, defaultBlock)
	fill(&o.Transfer, defaultTransfer)
	return o
}

func fill[T int | float64 | time.Duration](value *T, standard T) {
	if *value == 0 {
		*value = standard
	}
}

// wall converts a time of the engine that is played into one of the clock.
func (o Options) wall(d time.Duration) time.Duration {
	return time.Duration(float64(d) / o.Speed)
}

// Load reads the options in the [engine] section of a file.
func Load(file string) (Options, error) {
	f, err := ini.Load(file)
	if err != nil {
		return Options{}, errors.Wrapf(err, "engine: %s", file)
	}
	var o Options
	if err := f.Section("engine").StrictMapTo(&o); err != nil {
		return Options{}, errors.Wrapf(err, "engine: %s: [engine]", file)
	}
	return o, nil
}
