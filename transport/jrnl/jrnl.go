// Package jrnl (transport layer) writes the shards' journals to the platform's
// key-value service, and to standby nodes while the service is slow or down.
//
// The journal is a ring of slots in the store. Every write is a compare-and-swap
// on a slot's version, and versions only rise: whoever was overtaken, by however
// much, finds a version that it does not know and learns that it lost the shard.
package jrnl

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/coordination/commit"
	"github.com/cowslipstage/cowslipstage/coordination/hold"
	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/state/record"
	"github.com/cowslipstage/cowslipstage/state/snap"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

// The errors of the journal.
var (
	// ErrDeposed means that a later epoch has sealed the journal.
	ErrDeposed = errors.New("jrnl: another epoch owns the shard")
	// ErrUnreadable means that the store holds bytes that are no journal.
	ErrUnreadable = errors.New("jrnl: unreadable")
)

// Peers reach the standby nodes. Messages may be lost.
type Peers interface {
	SendHold(to claim.Standby, h frame.Hold)
	SendSeal(to claim.Standby, s frame.Seal)
	// Alive tells whether the standby's node shows a sign of life.
	Alive(s claim.Standby) bool
	// SetStandbys writes the shard's standbys to its claim, if the epoch still owns it.
	SetStandbys(ctx context.Context, shard int, epoch uint64, standbys []claim.Standby) error
}

// Options are what a journal works with.
type Options struct {
	Store *store.Client
	Peers Peers
	Shard int
	Epoch uint64
	// Standbys are those that the claim names.
	Standbys []claim.Standby
	// StandbyDelay is how long the store may take before the standbys are asked.
	StandbyDelay time.Duration
	// WriteLimit bounds the batches written to the store; the journals of a node
	// share it. Nil is no bound.
	WriteLimit *rate.Limiter
	// MaxPendingBytes is how many bytes may wait for the store.
	MaxPendingBytes int
	// StandbyTimeout is how long a standby that shows no sign of life is waited for.
	StandbyTimeout time.Duration
	Retention      snap.Retention
	Metrics        *metrics.Set
	Log            zerolog.Logger
}

// Journal is one shard's journal under one epoch.
type Journal struct {
	options Options
	// closed ends when Run has returned.
	closed chan struct{}
	// sealed carries the standbys' answers to Open.
	sealed chan sealed
	held   chan held
	wanted chan []claim.Standby
	// stored and renamed carry the ends of the writes in flight.
	stored  chan result
	renamed chan renamed
	cut     chan snapshot

	// What follows belongs to Open and then to Run alone.
	writer *commit.Writer
	ring   ring
	pace   *rate.Limiter
	// waiting are the appends whose batches are not safe yet, in order.
	waiting []waiter
	// writing, renaming and cutting tell what is in flight.
	writing  bool
	renaming bool
	cutting  bool
	// standbys are those that the claim names, next those that are wanted.
	standbys []claim.Standby
	next     []claim.Standby
	// answered is when the store last confirmed a batch.
	answered time.Time
	tail     tail
	past     past

	mu sync.Mutex
	// queue are the appends that wait for a batch.
	queue []entry
	ended bool
	more  chan struct{}
	// idle are closed once the store has everything.
	idle []chan struct{}
}

type entry struct {
	data []byte
	done func(error)
}

type waiter struct {
	number uint64
	done   func(error)
}

type held struct {
	from claim.Standby
	body frame.Held
}

type sealed struct {
	from claim.Standby
	body frame.Sealed
}

type result struct {
	slot  uint64
	group []hold.Batch
	err   error
}

type renamed struct {
	standbys []claim.Standby
	err      error
}

// New returns a journal that is to be opened, once.
func New(o Options) *Journal {
	if o.WriteLimit == nil {
		o.WriteLimit = rate.NewLimiter(rate.Inf, 1)
	}
	return &Journal{
		options: o, pace: o.WriteLimit, closed: make(chan struct{}), standbys: o.Standbys,
		sealed: make(chan sealed, 64), held: make(chan held, 1024), wanted: make(chan []claim.Standby, 1),
		stored: make(chan result, 1), renamed: make(chan renamed, 1), cut: make(chan snapshot, 1),
		more: make(chan struct{}, 1),
	}
}

// Append queues records; done is called once they are safe, or with ErrDeposed.
// It never blocks.
func (j *Journal) Append(records []record.Record, done func(error)) {
	data, err := record.Encode(records)
	if err != nil {
		go done(err)
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.ended {
		go done(errors.Mark(errors.New("jrnl: closed"), ErrDeposed))
		return
	}
	j.queue = append(j.queue, entry{data: data, done: done})
	j.poke()
}

func (j *Journal) poke() {
	select {
	case j.more <- struct{}{}:
	default:
	}
}

// Flush waits until the store has everything, the journal ends, or ctx does.
func (j *Journal) Flush(ctx context.Context) {
	done := make(chan struct{})
	j.mu.Lock()
	j.idle = append(j.idle, done)
	j.poke()
	j.mu.Unlock()
	select {
	case <-done:
	case <-j.closed:
	case <-ctx.Done():
	}
}

// HandleHeld takes a standby's acknowledgement; one too many is dropped and comes again.
func (j *Journal) HandleHeld(from claim.Standby, h frame.Held) {
	select {
	case j.held <- held{from, h}:
	default:
	}
}

// HandleSealed takes a standby's answer to a seal; one too many is dropped and comes again.
func (j *Journal) HandleSealed(from claim.Standby, s frame.Sealed) {
	select {
	case j.sealed <- sealed{from, s}:
	default:
	}
}

// ReplaceStandbys asks for other standbys.
func (j *Journal) ReplaceStandbys(standbys []claim.Standby) {
	select {
	case j.wanted <- standbys:
	case <-j.closed:
	}
}
