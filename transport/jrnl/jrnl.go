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
	// runDone ends when Run has returned.
	runDone chan struct{}
	// sealReplies carries the standbys' answers to Open.
	sealReplies     chan sealReply
	holdReplies     chan holdReply
	standbyRequests chan []claim.Standby
	// writeResults and renamed carry the ends of the writes in flight.
	writeResults    chan writeResult
	changeResults   chan changeResult
	snapshotResults chan snapshotJob

	// What follows belongs to Open and then to Run alone.
	writer     *commit.Writer
	ring       ring
	writeLimit *rate.Limiter
	// waiters are the appends whose batches are not safe yet, in order.
	waiters []waiter
	// writing, renaming and cutting tell what is in flight.
	writing          bool
	changingStandbys bool
	snapshotting     bool
	// standbys are those that the claim names, next those that are wanted.
	standbys     []claim.Standby
	nextStandbys []claim.Standby
	// lastStored is when the store last confirmed a batch.
	lastStored time.Time
	tail       tail
	latest     snapshotState

	mu sync.Mutex
	// queue are the appends that wait for a batch.
	queue []pendingAppend
	ended bool
	wake  chan struct{}
	// flushWaiters are closed once the store has everything.
	flushWaiters []chan struct{}
}

type pendingAppend struct {
	data []byte
	done func(error)
}

type waiter struct {
	number uint64
	done   func(error)
}

type holdReply struct {
	from claim.Standby
	body frame.Held
}

type sealReply struct {
	from claim.Standby
	body frame.Sealed
}

type writeResult struct {
	slot  uint64
	group []hold.Batch
	err   error
}

type changeResult struct {
	standbys []claim.Standby
	err      error
}

// New returns a journal that is to be opened, once.
func New(o Options) *Journal {
	if o.WriteLimit == nil {
		o.WriteLimit = rate.NewLimiter(rate.Inf, 1)
	}
	return &Journal{
		options: o, writeLimit: o.WriteLimit, runDone: make(chan struct{}), standbys: o.Standbys,
		sealReplies: make(chan sealReply, 64), holdReplies: make(chan holdReply, 1024), standbyRequests: make(chan []claim.Standby, 1),
		writeResults: make(chan writeResult, 1), changeResults: make(chan changeResult, 1), snapshotResults: make(chan snapshotJob, 1),
		wake: make(chan struct{}, 1),
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
	j.queue = append(j.queue, pendingAppend{data: data, done: done})
	j.signal()
}

func (j *Journal) signal() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// Flush waits until the store has everything, the journal ends, or ctx does.
func (j *Journal) Flush(ctx context.Context) {
	done := make(chan struct{})
	j.mu.Lock()
	j.flushWaiters = append(j.flushWaiters, done)
	j.signal()
	j.mu.Unlock()
	select {
	case <-done:
	case <-j.runDone:
	case <-ctx.Done():
	}
}

// HandleHeld takes a standby's acknowledgement; one too many is dropped and comes again.
func (j *Journal) HandleHeld(from claim.Standby, h frame.Held) {
	select {
	case j.holdReplies <- holdReply{from, h}:
	default:
	}
}

// HandleSealed takes a standby's answer to a seal; one too many is dropped and comes again.
func (j *Journal) HandleSealed(from claim.Standby, s frame.Sealed) {
	select {
	case j.sealReplies <- sealReply{from, s}:
	default:
	}
}

// ReplaceStandbys asks for other standbys.
func (j *Journal) ReplaceStandbys(standbys []claim.Standby) {
	select {
	case j.standbyRequests <- standbys:
	case <-j.runDone:
	}
}
