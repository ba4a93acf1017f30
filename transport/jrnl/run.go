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
	// gatherBytes is the size from which a batch takes no further append.
	gatherBytes = 256 << 10
	// fragmentBytes bounds one batch; longer ones are cut.
	fragmentBytes = 600 << 10
	// slotBytes bounds the batches of one slot.
	slotBytes = 640 << 10
	// holdTick is how often waiting batches are looked at.
	holdTick = 10 * time.Millisecond
	// repeat is the time after which a standby that did not answer is asked again.
	repeat = 200 * time.Millisecond
)

// Run writes what is appended until ctx ends or the shard is lost.
func (j *Journal) Run(ctx context.Context) {
	err := j.loop(ctx)
	if ctx.Err() != nil {
		// A put that the end of ctx broke off says nothing about the shard.
		err = errors.Mark(ctx.Err(), ErrDeposed)
	}
	j.mu.Lock()
	j.ended = true
	queue := j.queue
	j.queue = nil
	j.mu.Unlock()
	close(j.closed)
	if ctx.Err() == nil {
		j.count("journal_deposed_total")
	}
	for _, w := range j.waiting {
		w.done(err)
	}
	for _, e := range queue {
		e.done(err)
	}
}

func (j *Journal) loop(ctx context.Context) error {
	for {
		j.gather(time.Now())
		j.put(ctx)
		j.hold(time.Now())
		j.release()
		j.rename(ctx)
		j.snapshot(ctx, time.Now())
		var tick <-chan time.Time
		if n, _ := j.writer.Pending(); n > 0 {
			tick = time.After(holdTick)
		}
		var err error
		select {
		case <-ctx.Done():
			return errors.Mark(ctx.Err(), ErrDeposed)
		case <-j.more:
		case <-tick:
		case j.next = <-j.wanted:
		case r := <-j.stored:
			err = j.landed(r)
		case r := <-j.renamed:
			err = j.changed(r)
		case h := <-j.held:
			err = j.acknowledged(h)
		case s := <-j.cut:
			err = j.cutDone(s)
		}
		if err != nil {
			return err
		}
	}
}

// recent is how lately the store must have answered for appends to wait until
// the standbys can be replaced.
const recent = time.Second

// gather forms the next batches of what waits. Standbys are replaced between
// batches, which under load needs a moment without any.
func (j *Journal) gather(now time.Time) {
	pending, _ := j.writer.Pending()
	if j.next != nil && pending > 0 && now.Sub(j.answered) < recent {
		return
	}
	for j.writer.Ready() {
		j.mu.Lock()
		n, size := 0, 0
		for n < len(j.queue) && size < gatherBytes {
			size += len(j.queue[n].data)
			n++
		}
		taken := j.queue[:n]
		j.queue = j.queue[n:]
		j.mu.Unlock()
		if n == 0 {
			return
		}
		data := make([]byte, 0, size)
		for _, e := range taken {
			data = append(data, e.data...)
		}
		number := j.add(now, data)
		for _, e := range taken {
			j.waiting = append(j.waiting, waiter{number: number, done: e.done})
		}
	}
}

// add cuts data into batches and returns the number of the last one.
func (j *Journal) add(now time.Time, data []byte) uint64 {
	for len(data) > fragmentBytes {
		j.writer.Add(now, data[:fragmentBytes:fragmentBytes], true)
		data = data[fragmentBytes:]
	}
	return j.writer.Add(now, data, false)
}

// put writes the next slot unless one is being written.
func (j *Journal) put(ctx context.Context) {
	if j.writing || j.ring.full() {
		return
	}
	group := slices.Clone(j.writer.Group(slotBytes))
	if len(group) == 0 || !j.pace.Allow() {
		return
	}
	j.writing = true
	slot := j.ring.next
	go func() {
		err := j.write(ctx, slot, value{Slot: slot, Epoch: j.options.Epoch, Batches: group})
		j.stored <- result{slot: slot, group: group, err: err}
	}()
}

func (j *Journal) landed(r result) error {
	j.writing = false
	if r.err != nil {
		return r.err
	}
	j.ring.next = r.slot + 1
	j.answered = time.Now()
	last := r.group[len(r.group)-1].Number
	if j.writer.SentToStandbys() {
		j.forget(last + 1)
	}
	j.writer.Stored(last)
	j.tail.add(r.slot, r.group)
	return nil
}

// forget lets the standbys drop what the store has.
func (j *Journal) forget(below uint64) {
	for _, s := range j.writer.Standbys() {
		j.options.Peers.SendHold(s, frame.Hold{
			Shard: j.options.Shard, Epoch: j.options.Epoch, DropBelow: below, Boot: s.Boot,
		})
	}
}

// hold sends batches that the store keeps waiting to the standbys.
func (j *Journal) hold(now time.Time) {
	paced := !j.writing && j.pace.TokensAt(now) < 1
	for _, b := range j.writer.Due(now, paced) {
		data, err := cbor.Marshal(b)
		if err != nil {
			j.options.Log.Error().Err(err).Msg("encoding a batch")
			return
		}
		j.count("journal_holds_total")
		for _, s := range j.writer.Standbys() {
			j.options.Peers.SendHold(s, frame.Hold{
				Shard: j.options.Shard, Epoch: j.options.Epoch, Number: b.Number, Data: data,
				DropBelow: j.writer.FirstUnstored(), Boot: s.Boot,
			})
		}
	}
}

func (j *Journal) acknowledged(h held) error {
	if h.body.SealedEpoch > j.options.Epoch {
		return errors.Mark(errors.Newf("jrnl: a standby is sealed by epoch %d", h.body.SealedEpoch), ErrDeposed)
	}
	if h.body.Epoch == j.options.Epoch {
		j.writer.Acked(h.from, h.body.Number)
	}
	return nil
}

// release tells the appends whose batches are safe, in order.
func (j *Journal) release() {
	safe := j.writer.Safe()
	for len(j.waiting) > 0 && j.waiting[0].number <= safe {
		j.waiting[0].done(nil)
		j.waiting = j.waiting[1:]
	}
	if n, _ := j.writer.Pending(); n > 0 || j.writing {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.queue) > 0 {
		return
	}
	for _, done := range j.idle {
		close(done)
	}
	j.idle = nil
}

// rename replaces the standbys once nothing is held by the old ones alone.
func (j *Journal) rename(ctx context.Context) {
	if j.next == nil || j.renaming {
		return
	}
	next := j.next
	if slices.Equal(next, j.standbys) {
		j.next = nil
		return
	}
	if !j.writer.BeginStandbyChange(next) {
		return
	}
	j.next, j.renaming = nil, true
	go func() {
		err := j.options.Peers.SetStandbys(ctx, j.options.Shard, j.options.Epoch, next)
		j.renamed <- renamed{standbys: next, err: err}
	}()
}

func (j *Journal) changed(r renamed) error {
	j.renaming = false
	if r.err != nil {
		return errors.Mark(r.err, ErrDeposed)
	}
	j.standbys = r.standbys
	j.writer.EndStandbyChange(r.standbys)
	return nil
}

func (j *Journal) count(name string) {
	if j.options.Metrics != nil {
		j.options.Metrics.GetOrCreateCounter(name).Inc()
	}
}
