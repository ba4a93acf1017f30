package jrnl

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/protocol/frame"
)

const (
	// maxGatherBytes is the size at which a batch accepts no further append.
	maxGatherBytes = 256 << 10
	// maxBatchBytes bounds one batch; longer data is split over several.
	maxBatchBytes = 600 << 10
	// maxSlotBytes bounds the total size of the batches in one slot.
	maxSlotBytes = 640 << 10
	// holdInterval is how often Run checks for batches that wait too long for
	// the store.
	holdInterval = 10 * time.Millisecond
	// resendInterval is the time after which a standby without an answer is asked again.
	resendInterval = 200 * time.Millisecond
)

// Run writes the appended records until ctx ends or the shard is lost.
func (j *Journal) Run(ctx context.Context) {
	err := j.loop(ctx)
	if ctx.Err() != nil {
		// A write that ctx cancelled does not show that the shard was lost.
		err = errors.Mark(ctx.Err(), ErrDeposed)
	}
	j.mu.Lock()
	j.ended = true
	queue := j.queue
	j.queue = nil
	j.mu.Unlock()
	close(j.runDone)
	if ctx.Err() == nil {
		j.countEvent("journal_deposed_total")
	}
	for _, w := range j.waiters {
		w.done(err)
	}
	for _, e := range queue {
		e.done(err)
	}
}

func (j *Journal) loop(ctx context.Context) error {
	for {
		j.formBatches(time.Now())
		j.startWrite(ctx)
		j.holdOverdue(time.Now())
		j.completeAppends()
		j.changeStandbys(ctx)
		j.startSnapshot(ctx, time.Now())
		var tick <-chan time.Time
		if n, _ := j.writer.Pending(); n > 0 {
			tick = time.After(holdInterval)
		}
		var err error
		select {
		case <-ctx.Done():
			return errors.Mark(ctx.Err(), ErrDeposed)
		case <-j.wake:
		case <-tick:
		case j.nextStandbys = <-j.standbyRequests:
		case r := <-j.writeResults:
			err = j.writeDone(r)
		case r := <-j.changeResults:
			err = j.standbysChanged(r)
		case h := <-j.holdReplies:
			err = j.addHoldReply(h)
		case s := <-j.snapshotResults:
			err = j.snapshotDone(s)
		}
		if err != nil {
			return err
		}
	}
}

// replaceWait bounds the time since the store's last answer within which a pending
// change of standbys holds back new batches.
const replaceWait = time.Second

// formBatches forms batches from the queued appends. Standbys can be replaced
// only while no batch is pending. Under load that never happens by itself, so
// formBatches pauses for a pending change while the store is answering.
func (j *Journal) formBatches(now time.Time) {
	pending, _ := j.writer.Pending()
	if j.nextStandbys != nil && pending > 0 && now.Sub(j.lastStored) < replaceWait {
		return
	}
	for j.writer.Ready() {
		j.mu.Lock()
		n, size := 0, 0
		for n < len(j.queue) && size < maxGatherBytes {
			size += len(j.queue[n].data)
			n++
		}
		appends := j.queue[:n]
		j.queue = j.queue[n:]
		j.mu.Unlock()
		if n == 0 {
			return
		}
		data := make([]byte, 0, size)
		for _, e := range appends {
			data = append(data, e.data...)
		}
		number := j.addBatches(now, data)
		for _, e := range appends {
			j.waiters = append(j.waiters, waiter{number: number, done: e.done})
		}
	}
}

// addBatches splits data into batches and returns the number of the last one.
func (j *Journal) addBatches(now time.Time, data []byte) uint64 {
	for len(data) > maxBatchBytes {
		j.writer.Add(now, data[:maxBatchBytes:maxBatchBytes], true)
		data = data[maxBatchBytes:]
	}
	return j.writer.Add(now, data, false)
}

// startWrite starts to write the next slot, unless a write is in progress, the ring
// is full, no batch is pending, or the write rate is exhausted.
func (j *Journal) startWrite(ctx context.Context) {
	if j.writing || j.ring.full() {
		return
	}
	group := slices.Clone(j.writer.Group(maxSlotBytes))
	if len(group) == 0 || !j.writeLimit.Allow() {
		return
	}
	j.writing = true
	slot := j.ring.next
	go func() {
		err := j.writeSlot(ctx, slot, slotValue{Slot: slot, Epoch: j.options.Epoch, Batches: group})
		j.writeResults <- writeResult{slot: slot, group: group, err: err}
	}()
}

func (j *Journal) writeDone(r writeResult) error {
	j.writing = false
	if r.err != nil {
		return r.err
	}
	j.ring.next = r.slot + 1
	j.lastStored = time.Now()
	last := r.group[len(r.group)-1].Number
	if j.writer.SentToStandbys() {
		j.dropStored(last + 1)
	}
	j.writer.Stored(last)
	j.tail.add(r.slot, r.group)
	return nil
}

// dropStored tells the standbys to drop the batches that the store has.
func (j *Journal) dropStored(below uint64) {
	for _, s := range j.writer.Standbys() {
		j.options.Peers.SendHold(s, frame.Hold{
			Shard: j.options.Shard, Epoch: j.options.Epoch, DropBelow: below, Boot: s.Boot,
		})
	}
}

// holdOverdue sends the batches that have waited too long for the store to the
// standbys.
func (j *Journal) holdOverdue(now time.Time) {
	paced := !j.writing && j.writeLimit.TokensAt(now) < 1
	for _, b := range j.writer.Due(now, paced) {
		data, err := cbor.Marshal(b)
		if err != nil {
			j.options.Log.Error().Err(err).Msg("batch could not be encoded")
			return
		}
		j.countEvent("journal_holds_total")
		for _, s := range j.writer.Standbys() {
			j.options.Peers.SendHold(s, frame.Hold{
				Shard: j.options.Shard, Epoch: j.options.Epoch, Number: b.Number, Data: data,
				DropBelow: j.writer.FirstUnstored(), Boot: s.Boot,
			})
		}
	}
}

func (j *Journal) addHoldReply(h holdReply) error {
	if h.body.SealedEpoch > j.options.Epoch {
		return errors.Mark(errors.Newf("jrnl: a standby is sealed by epoch %d", h.body.SealedEpoch), ErrDeposed)
	}
	if h.body.Epoch == j.options.Epoch {
		j.writer.Acked(h.from, h.body.Number)
	}
	return nil
}

// completeAppends calls done, in order, for the appends whose batches are safe,
// and ends Flush calls once the store has all appends.
func (j *Journal) completeAppends() {
	safe := j.writer.Safe()
	for len(j.waiters) > 0 && j.waiters[0].number <= safe {
		j.waiters[0].done(nil)
		j.waiters = j.waiters[1:]
	}
	if n, _ := j.writer.Pending(); n > 0 || j.writing {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.queue) > 0 {
		return
	}
	for _, done := range j.flushWaiters {
		close(done)
	}
	j.flushWaiters = nil
}

// changeStandbys replaces the standbys once no batch is held only by the old ones.
func (j *Journal) changeStandbys(ctx context.Context) {
	if j.nextStandbys == nil || j.changingStandbys {
		return
	}
	next := j.nextStandbys
	if slices.Equal(next, j.standbys) {
		j.nextStandbys = nil
		return
	}
	if !j.writer.BeginStandbyChange(next) {
		return
	}
	j.nextStandbys, j.changingStandbys = nil, true
	go func() {
		err := j.options.Peers.SetStandbys(ctx, j.options.Shard, j.options.Epoch, next)
		j.changeResults <- changeResult{standbys: next, err: err}
	}()
}

func (j *Journal) standbysChanged(r changeResult) error {
	j.changingStandbys = false
	if r.err != nil {
		return errors.Mark(r.err, ErrDeposed)
	}
	j.standbys = r.standbys
	j.writer.EndStandbyChange(r.standbys)
	return nil
}

func (j *Journal) countEvent(name string) {
	if j.options.Metrics != nil {
		j.options.Metrics.GetOrCreateCounter(name).Inc()
	}
}
