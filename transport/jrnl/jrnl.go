// Package jrnl (transport layer) writes the shards' journals to the platform's
// key-value service, and to standby nodes while the service is slow or down.
//
// The journal is a ring of slots in the store. Every write is a compare-and-swap
// on a slot's version, and versions only rise. An owner that a successor has
// overtaken, even by whole rounds of the ring, finds a version it does not know
// and so learns that it lost the shard.
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

// Errors that a journal's operations are marked with.
var (
	// ErrDeposed means that a later epoch has sealed the journal.
	ErrDeposed = errors.New("jrnl: another epoch owns the shard")
	// ErrUnreadable means that stored journal data cannot be decoded.
	ErrUnreadable = errors.New("jrnl: unreadable")
)

// Peers sends messages to the standby nodes. Messages may be lost.
type Peers interface {
	// SendHold asks a standby to hold a batch, or to drop stored ones.
	SendHold(to claim.Standby, h frame.Hold)
	// SendSeal asks a standby to seal the shard and return its batches.
	SendSeal(to claim.Standby, s frame.Seal)
	// Alive reports whether the standby's node counts as live.
	Alive(s claim.Standby) bool
	// SetStandbys writes the shard's standbys to its claim, if the epoch still owns it.
	SetStandbys(ctx context.Context, shard int, epoch uint64, standbys []claim.Standby) error
}

// Options configures a journal.
type Options struct {
	Store *store.Client
	Peers Peers
	Shard int
	Epoch uint64
	// Standbys are the standbys named in the shard's claim.
	Standbys []claim.Standby
	// StandbyDelay is how long a batch may wait for the store before it is
	// sent to the standbys.
	StandbyDelay time.Duration
	// WriteLimit limits the rate of slot writes to the store. The journals of
	// a node share it. Nil means no limit.
	WriteLimit *rate.Limiter
	// MaxPendingBytes bounds the bytes that wait to be written to the store.
	MaxPendingBytes int
	// StandbyTimeout is how long Open waits for an unresponsive standby.
	StandbyTimeout time.Duration
	Retention      snap.Retention
	Metrics        *metrics.Set
	Log            zerolog.Logger
}

// Journal is one shard's journal under one epoch.
type Journal struct {
	options Options
	// runDone is closed when Run has ended.
	runDone chan struct{}
	// sealReplies carries the standbys' answers to Open.
	sealReplies     chan sealReply
	holdReplies     chan holdReply
	standbyRequests chan []claim.Standby
	// writeResults, changeResults and snapshotResults carry the results of the
	// goroutines that write a slot, change the standbys and make a snapshot.
	writeResults    chan writeResult
	changeResults   chan changeResult
	snapshotResults chan snapshotJob

	// The fields down to mu are used by Open and then only by Run's goroutine.
	writer     *commit.Writer
	ring       ring
	writeLimit *rate.Limiter
	// waiters are the appends whose batches are not safe yet, in order.
	waiters []waiter
	// writing, changingStandbys and snapshotting report whether that operation
	// is in progress.
	writing          bool
	changingStandbys bool
	snapshotting     bool
	// standbys are named in the claim. nextStandbys, if not nil, are to replace
	// them.
	standbys     []claim.Standby
	nextStandbys []claim.Standby
	// lastStored is when the store last confirmed a batch.
	lastStored time.Time
	tail       tail
	latest     snapshotState

	mu sync.Mutex
	// queue holds the appends that are not in a batch yet.
	queue []pendingAppend
	ended bool
	wake  chan struct{}
	// flushWaiters are closed once all appends are in the store.
	flushWaiters []chan struct{}
}

// pendingAppend is an append that is not in a batch yet.
type pendingAppend struct {
	data []byte
	done func(error)
}

// waiter is an append whose last batch, number, is not safe yet.
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

// New returns a journal. The caller calls Open once, and then Run.
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

// Append queues records and never blocks. It calls done with nil once they are
// safe, that is, in the store or held by a quorum of the standbys. If the journal
// ends first, it calls done with an error marked ErrDeposed.
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

// Flush waits until all appends are in the store, Run returns, or ctx ends.
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

// HandleHeld queues a standby's acknowledgement for Run. It drops the message
// when the channel is full, and Run sends the batch again.
func (j *Journal) HandleHeld(from claim.Standby, h frame.Held) {
	select {
	case j.holdReplies <- holdReply{from, h}:
	default:
	}
}

// HandleSealed queues a standby's answer to a seal for Open. It drops the message
// when the channel is full, and Open asks the standby again.
func (j *Journal) HandleSealed(from claim.Standby, s frame.Sealed) {
	select {
	case j.sealReplies <- sealReply{from, s}:
	default:
	}
}

// ReplaceStandbys asks Run to replace the shard's standbys.
func (j *Journal) ReplaceStandbys(standbys []claim.Standby) {
	select {
	case j.standbyRequests <- standbys:
	case <-j.runDone:
	}
}
