// Package seal (coordination layer) decides when a new owner has sealed enough
// of its predecessor's standbys to open the journal.
package seal

import (
	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/coordination/hold"
)

// State is the progress of a round.
type State uint8

// The states of a round.
const (
	// Waiting means that standbys which may still answer are needed.
	Waiting State = iota
	// QuorumReached means that enough standbys are sealed: no acknowledged batch
	// can be missing.
	QuorumReached
	// QuorumLost means that QuorumReached is impossible because too many standbys
	// lost their memory.
	QuorumLost
)

// Round tracks the sealing of one claim's standbys and collects their batches.
type Round struct {
	standbys []claim.Standby
	answered map[claim.Standby]bool
	lost     map[claim.Standby]bool
	batches  map[batchKey]hold.Batch
}

type batchKey struct{ epoch, number uint64 }

// New returns a round over a claim's standbys.
func New(standbys []claim.Standby) *Round {
	return &Round{
		standbys: standbys, answered: map[claim.Standby]bool{}, lost: map[claim.Standby]bool{},
		batches: map[batchKey]hold.Batch{},
	}
}

// AddBatches adds one part of a standby's answer. The part without more is the
// last.
func (r *Round) AddBatches(s claim.Standby, batches []hold.Batch, more bool) {
	for _, b := range batches {
		r.batches[batchKey{b.Epoch, b.Number}] = b
	}
	if !more {
		r.answered[s] = true
	}
}

// MarkLost records that a standby's memory is lost for good.
func (r *Round) MarkLost(s claim.Standby) { r.lost[s] = true }

// Unanswered returns the standbys that have not answered completely and are
// not lost.
func (r *Round) Unanswered() []claim.Standby {
	var missing []claim.Standby
	for _, s := range r.standbys {
		if !r.answered[s] && !r.lost[s] {
			missing = append(missing, s)
		}
	}
	return missing
}

// State returns whether the successor may open the journal.
func (r *Round) State() State {
	sealed := 0
	for _, s := range r.standbys {
		if r.answered[s] {
			sealed++
		}
	}
	switch {
	case sealed >= claim.SealQuorum(len(r.standbys)):
		return QuorumReached
	case len(r.Unanswered()) == 0:
		return QuorumLost
	default:
		return Waiting
	}
}

// BatchesAfter returns the batches that follow the last one in the store,
// without a gap. Only those of the epoch that wrote the last one count:
// batches of older epochs were superseded when the newer epoch sealed the
// journal.
func (r *Round) BatchesAfter(last, epoch uint64) []hold.Batch {
	var beyond []hold.Batch
	for n := last + 1; ; n++ {
		b, ok := r.batches[batchKey{epoch, n}]
		if !ok {
			return beyond
		}
		beyond = append(beyond, b)
	}
}
