// Package fresh (coordination layer) decides whether a gate may still trust its
// configuration while nobody confirms that it is current.
package fresh

import "time"

// Fresh holds when the configuration was last confirmed. It is not safe for concurrent use.
type Fresh struct {
	// limit is how long a confirmation counts; 0 if the configuration never expires.
	limit time.Duration
	// confirmedAt is the latest time as of which the configuration is known to have been
	// current, zero if that was never confirmed. It only moves later.
	confirmedAt time.Time
}

// New returns a Fresh without a confirmation, which counts for limit. With a limit of 0 the
// configuration never expires.
func New(limit time.Duration) *Fresh { return &Fresh{limit: limit} }

// Confirm notes that the configuration was current at asOf.
func (f *Fresh) Confirm(asOf time.Time) {
	if asOf.After(f.confirmedAt) {
		f.confirmedAt = asOf
	}
}

// Expired reports whether the last confirmation is too old for the configuration to be
// trusted. A configuration that was never confirmed may be of any age, such as one that a
// vault read from its disk.
func (f *Fresh) Expired(now time.Time) bool {
	return f.limit > 0 && (f.confirmedAt.IsZero() || now.Sub(f.confirmedAt) >= f.limit)
}
