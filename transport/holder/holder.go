// Package holder (transport layer) keeps journal batches as a standby for the
// owners of other shards: in memory, and in the data folder if the host has one.
package holder

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/cowslipstage/cowslipstage/coordination/hold"
	"github.com/cowslipstage/cowslipstage/protocol/frame"
)

// Errors that a holder's operations are marked with.
var (
	// ErrFull means that a batch would exceed the holder's size limit.
	ErrFull = errors.New("holder: full")
	// ErrBadBatch means that a batch is malformed, or is addressed to another boot.
	ErrBadBatch = errors.New("holder: bad batch")
	// ErrDisk means that the data folder cannot be used.
	ErrDisk = errors.New("holder: data folder")
)

// Holder holds the batches that a node keeps as a standby. It is safe for
// concurrent use.
type Holder struct {
	maxBytes int

	mu sync.Mutex
	// boot identifies the held batches; it changes when they are lost.
	boot string
	disk *disk
	logs map[int]*hold.Log
	// size is the number of bytes in all logs.
	size int
}

// NewInMemory returns a holder without a folder that holds at most maxBytes.
func NewInMemory(maxBytes int) *Holder {
	return &Holder{boot: uuid.NewString(), maxBytes: maxBytes, logs: map[int]*hold.Log{}}
}

// New returns a holder that holds at most maxBytes. With a folder, it loads the
// batches and the boot of an earlier process from there.
func New(folder string, maxBytes int) (*Holder, error) {
	h := NewInMemory(maxBytes)
	if folder == "" {
		return h, nil
	}
	var err error
	if h.disk, err = openDisk(folder, h.boot); err != nil {
		return nil, err
	}
	h.boot = h.disk.boot
	if err := h.disk.load(h.shardLog); err != nil {
		return nil, err
	}
	for _, l := range h.logs {
		h.size += l.Size()
	}
	return h, nil
}

// Boot returns the identity of the held batches, which changes when they are lost.
func (h *Holder) Boot() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.boot
}

// shardLog returns the log of a shard. The caller holds the lock.
func (h *Holder) shardLog(shard int) *hold.Log {
	l := h.logs[shard]
	if l == nil {
		l = hold.New()
		h.logs[shard] = l
	}
	return l
}

// editLog applies an edit to a shard's log, in memory and on disk.
func (h *Holder) editLog(shard int, edit func(l *hold.Log)) error {
	l := h.shardLog(shard)
	before := l.Size()
	var old []hold.Batch
	if h.disk != nil {
		old, _ = l.After(0, l.Size()+1)
	}
	sealed := l.SealedEpoch()
	edit(l)
	h.size += l.Size() - before
	if h.disk == nil {
		return nil
	}
	batches, _ := l.After(0, l.Size()+1)
	err := h.disk.save(shard, sealed, l.SealedEpoch(), old, batches)
	if err != nil {
		h.switchToMemory()
	}
	return err
}

// switchToMemory continues without the folder and under a new boot, because the
// last edit is not on disk. The folder still has all batches acknowledged under
// the old boot.
func (h *Holder) switchToMemory() {
	h.boot, h.disk, h.size = uuid.NewString(), nil, 0
	h.logs = map[int]*hold.Log{}
}

// Hold keeps a batch and drops those that the store has. The caller sends the
// reply if it is not nil.
func (h *Holder) Hold(q frame.Hold) (*frame.Held, error) {
	b := hold.Batch{Number: q.Number, Epoch: q.Epoch}
	if len(q.Data) > 0 {
		if err := cbor.Unmarshal(q.Data, &b); err != nil {
			return nil, errors.Mark(errors.Wrap(err, "holder: batch"), ErrBadBatch)
		}
	}
	if b.Epoch != q.Epoch || b.Number != q.Number {
		return nil, errors.Mark(errors.New("holder: batch and frame differ"), ErrBadBatch)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if q.Boot != h.boot {
		return nil, errors.Mark(errors.Newf("holder: boot %s is gone", q.Boot), ErrBadBatch)
	}
	if len(b.Data) > 0 && h.size+len(b.Data) > h.maxBytes {
		return nil, ErrFull
	}
	kept := false
	if err := h.editLog(q.Shard, func(l *hold.Log) { kept = l.Hold(b, q.DropBelow) }); err != nil {
		return nil, err
	}
	reply := &frame.Held{Shard: q.Shard, Epoch: q.Epoch, Number: q.Number, Boot: h.boot}
	if !kept {
		reply.SealedEpoch = h.shardLog(q.Shard).SealedEpoch()
		return reply, nil
	}
	if q.Number == 0 {
		return nil, nil
	}
	return reply, nil
}

// Supersede drops the batches of owners before epoch, which has sealed the journal.
func (h *Holder) Supersede(shard int, epoch uint64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.logs[shard]
	if l == nil || l.SealedEpoch() >= epoch && l.Size() == 0 {
		return nil
	}
	return h.editLog(shard, func(l *hold.Log) { l.Supersede(epoch) })
}

// maxSealBytes bounds the batches in one reply to a seal.
const maxSealBytes = 1 << 20

// Seal refuses further batches of epochs before q.Epoch, and returns the batches
// held after q.After to the new owner.
func (h *Holder) Seal(q frame.Seal) (frame.Sealed, error) {
	reply := frame.Sealed{Shard: q.Shard, Epoch: q.Epoch, Boot: q.Boot}
	h.mu.Lock()
	defer h.mu.Unlock()
	if q.Boot != h.boot {
		reply.MemoryLost = true
		return reply, nil
	}
	sealed := false
	if err := h.editLog(q.Shard, func(l *hold.Log) { sealed = l.Seal(q.Epoch) }); err != nil {
		return reply, err
	}
	l := h.shardLog(q.Shard)
	if !sealed {
		reply.NewerEpoch = l.SealedEpoch()
		return reply, nil
	}
	var batches []hold.Batch
	batches, reply.More = l.After(q.After, maxSealBytes)
	for _, b := range batches {
		data, err := cbor.Marshal(b)
		if err != nil {
			return reply, errors.Wrap(err, "holder: encoding")
		}
		reply.Batches = append(reply.Batches, data)
	}
	return reply, nil
}
