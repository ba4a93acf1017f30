package engine

import (
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Options are the engine's costs and limits. Durations are those of the simulated
// engine; Speed shortens them all.
type Options struct {
	// Speed divides every duration; 0 means 1.
	Speed float64 `ini:"speed"`
	// Decode is the base duration of a step, whatever its batch size.
	Decode time.Duration `ini:"decode"`
	// TimePerStream is added to a step for each running stream.
	TimePerStream time.Duration `ini:"stream"`
	// PrefillRate is in prompt tokens per second.
	PrefillRate int `ini:"prefill"`
	// MaxStepTokens bounds the prompt tokens that one step computes.
	MaxStepTokens int `ini:"budget"`
	// Slots bounds the streams running at once.
	Slots int `ini:"slots"`
	// MaxWaiting bounds the calls that wait for a slot.
	MaxWaiting int `ini:"waiting"`
	// CacheTokens is the capacity of the cache.
	CacheTokens int `ini:"memory"`
	// BlockTokens is the size of a cache block.
	BlockTokens int `ini:"block"`
	// Flush is the minimum time between two chunks of a stream.
	Flush time.Duration `ini:"flush"`
	// ReportLag is the age at which load and cache events are published.
	ReportLag time.Duration `ini:"lag"`
	// EventLoss is the share of cache events that is lost, between 0 and 1.
	EventLoss float64 `ini:"drop"`
	// ImportRate is in cached tokens per second of an import.
	ImportRate int `ini:"transfer"`
	// Fencing makes the engine refuse an epoch lower than the highest that the program
	// has sent.
	Fencing bool `ini:"fencing"`
	// RequireLoaded makes the engine refuse models that it has not loaded.
	RequireLoaded bool `ini:"strict"`
	// Seed seeds the choice of lost events.
	Seed uint64 `ini:"seed"`
}

// The defaults of options that are zero.
const (
	defaultDecode      = 20 * time.Millisecond
	defaultPrefillRate = 20000
	defaultStepTokens  = 2048
	defaultSlots       = 16
	defaultMaxWaiting  = 64
	defaultCacheTokens = 200000
	defaultBlockTokens = 32
	defaultImportRate  = 200000
)

func (o Options) withDefaults() Options {
	setDefault(&o.Speed, 1)
	setDefault(&o.Decode, defaultDecode)
	setDefault(&o.PrefillRate, defaultPrefillRate)
	setDefault(&o.MaxStepTokens, defaultStepTokens)
	setDefault(&o.Slots, defaultSlots)
	setDefault(&o.MaxWaiting, defaultMaxWaiting)
	setDefault(&o.CacheTokens, defaultCacheTokens)
	setDefault(&o.BlockTokens, defaultBlockTokens)
	setDefault(&o.ImportRate, defaultImportRate)
	return o
}

func setDefault[T int | float64 | time.Duration](value *T, fallback T) {
	if *value == 0 {
		*value = fallback
	}
}

// wallTime converts a duration of the simulated engine into one of the clock.
func (o Options) wallTime(d time.Duration) time.Duration {
	return time.Duration(float64(d) / o.Speed)
}

// LoadOptions reads the options from the [engine] section of a file.
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
