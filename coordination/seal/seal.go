// Package seal (coordination layer) decides when a new owner has heard enough
// of its predecessor's standbys to go on.
package seal

import (
	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/coordination/hold"
)

// State is how far a round has come.
type State uint8

// The states of a round.
const (
	// Waiting lacks standbys that may still answer.
	Waiting State = iota
	// QuorumReached has sealed so many that no acknowledged batch can be missing.
	QuorumReached
	// QuorumLost cannot reach Enough any more: too many standbys lost their memory.
	QuorumLost
)

// Round seals the standbys of one claim.
type Round struct {
	standbys []claim.Standby
	done     map[claim.Standby]bool
	gone     map[claim.Standby]bool
	batches  map[key]hold.Batch
}

type key struct{ epoch, number uint64 }

// New returns a round over a claim's standbys.
func New(standbys []claim.Standby) *Round {
	return &Round{
		standbys: standbys, done: map[claim.Standby]bool{}, gone: map[claim.Standby]bool{},
		batches: map[key]hold.Batch{},
	}
}

// AddBatches takes over part of a standby's answer; the last part ends it.
func (r *Round) AddBatches(s claim.Standby, batches []hold.Batch, more bool) {
	for _, b := range batches {
		r.batches[key{b.Epoch, b.Number}] = b
	}
	if !more {
		r.done[s] = true
	}
}

// MarkLost says that a standby's memory is lost for good.
func (r *Round) MarkLost(s claim.Standby) { r.gone[s] = true }

// Unanswered returns the standbys that have not answered whole.
func (r *Round) Unanswered() []claim.Standby {
	var missing []claim.Standby
	for _, s := range r.standbys {
		if !r.done[s] && !r.gone[s] {
			missing = append(missing, s)
		}
	}
	return missing
}

// State tells whether the successor may go on.
func (r *Round) State() State {
	sealed := 0
	for _, s := range r.standbys {
		if r.done[s] {
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

// BatchesAfter returns the batches that follow the last one in the store, without a
// gap. Only those of the epoch that wrote the last one count: an older epoch's
// were overtaken by the seal of the newer one.
func (r *Round) BatchesAfter(last, epoch uint64) []hold.Batch {
	var beyond []hold.Batch
	for n := last + 1; ; n++ {
		b, ok := r.batches[key{epoch, n}]
		if !ok {
			return beyond
		}
		beyond = append(beyond, b)
	}
}
