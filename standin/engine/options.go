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
	// TimePerStream is the time that each running stream adds to a step.
	TimePerStream time.Duration `ini:"stream"`
	// PrefillRate is prompt tokens per second.
	PrefillRate int `ini:"prefill"`
	// MaxStepTokens bounds the prompt tokens of one step.
	MaxStepTokens int `ini:"budget"`
	// Slots bounds the streams running at once.
	Slots int `ini:"slots"`
	// MaxWaiting bounds the calls that wait for a slot.
	MaxWaiting int `ini:"waiting"`
	// CacheTokens is the cache size in tokens.
	CacheTokens int `ini:"memory"`
	// BlockTokens is the cache's unit in tokens.
	BlockTokens int `ini:"block"`
	// Flush is the least time between two chunks of a stream.
	Flush time.Duration `ini:"flush"`
	// ReportLag is how old the published load and cache events are.
	ReportLag time.Duration `ini:"lag"`
	// EventLoss is the share of cache events that is lost, between 0 and 1.
	EventLoss float64 `ini:"drop"`
	// ImportRate is cached tokens per second of an import.
	ImportRate int `ini:"transfer"`
	// Fencing makes the engine refuse fencing numbers lower than the highest seen.
	Fencing bool `ini:"fencing"`
	// RequireLoaded makes the engine refuse models that it has not loaded.
	RequireLoaded bool `ini:"strict"`
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

func (o Options) withDefaults() Options {
	setDefault(&o.Speed, 1)
	setDefault(&o.Decode, defaultDecode)
	setDefault(&o.PrefillRate, defaultPrefill)
	setDefault(&o.MaxStepTokens, defaultBudget)
	setDefault(&o.Slots, defaultSlots)
	setDefault(&o.MaxWaiting, defaultWaiting)
	setDefault(&o.CacheTokens, defaultMemory)
	setDefault(&o.BlockTokens, defaultBlock)
	setDefault(&o.ImportRate, defaultTransfer)
	return o
}

func setDefault[T int | float64 | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

// wallTime converts a time of the engine that is played into one of the clock.
func (o Options) wallTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / o.Speed)
}

// LoadOptions reads the options in the [engine] section of a file.
func LoadOptions(file string) (Options, error) {
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
