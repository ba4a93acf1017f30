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
	s := NewInMemory(maxBytes)
	if folder == "" {
		return s, nil
	}
	var err error
	if s.disk, err = openDisk(folder, s.boot); err != nil {
		return nil, err
	}
	s.boot = s.disk.boot
	if err := s.disk.load(s.shardLog); err != nil {
		return nil, err
	}
	for _, l := range s.logs {
		s.size += l.Size()
	}
	return s, nil
}

// Boot returns the identity of the held batches, which changes when they are lost.
func (s *Holder) Boot() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boot
}

// shardLog returns the log of a shard. The caller holds the lock.
func (s *Holder) shardLog(shard int) *hold.Log {
	l := s.logs[shard]
	if l == nil {
		l = hold.New()
		s.logs[shard] = l
	}
	return l
}

// editLog applies an edit to a shard's log, in memory and on disk.
func (s *Holder) editLog(shard int, edit func(l *hold.Log)) error {
	l := s.shardLog(shard)
	before := l.Size()
	var old []hold.Batch
	if s.disk != nil {
		old, _ = l.After(0, l.Size()+1)
	}
	sealed := l.SealedEpoch()
	edit(l)
	s.size += l.Size() - before
	if s.disk == nil {
		return nil
	}
	batches, _ := l.After(0, l.Size()+1)
	err := s.disk.save(shard, sealed, l.SealedEpoch(), old, batches)
	if err != nil {
		s.switchToMemory()
	}
	return err
}

// switchToMemory continues without the folder and under a new boot, because the
// last edit is not on disk. The folder still has all batches acknowledged under
// the old boot.
func (s *Holder) switchToMemory() {
	s.boot, s.disk, s.size = uuid.NewString(), nil, 0
	s.logs = map[int]*hold.Log{}
}

// Hold keeps a batch and drops those that the store has. The caller sends the
// reply if it is not nil.
func (s *Holder) Hold(h frame.Hold) (*frame.Held, error) {
	b := hold.Batch{Number: h.Number, Epoch: h.Epoch}
	if len(h.Data) > 0 {
		if err := cbor.Unmarshal(h.Data, &b); err != nil {
			return nil, errors.Mark(errors.Wrap(err, "holder: batch"), ErrBadBatch)
		}
	}
	if b.Epoch != h.Epoch || b.Number != h.Number {
		return nil, errors.Mark(errors.New("holder: batch and frame differ"), ErrBadBatch)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Boot != s.boot {
		return nil, errors.Mark(errors.Newf("holder: boot %s is gone", h.Boot), ErrBadBatch)
	}
	if len(b.Data) > 0 && s.size+len(b.Data) > s.maxBytes {
		return nil, ErrFull
	}
	kept := false
	if err := s.editLog(h.Shard, func(l *hold.Log) { kept = l.Hold(b, h.DropBelow) }); err != nil {
		return nil, err
	}
	reply := &frame.Held{Shard: h.Shard, Epoch: h.Epoch, Number: h.Number, Boot: s.boot}
	if !kept {
		reply.SealedEpoch = s.shardLog(h.Shard).SealedEpoch()
		return reply, nil
	}
	if h.Number == 0 {
		return nil, nil
	}
	return reply, nil
}

// Supersede drops the batches of owners before epoch, which has sealed the journal.
func (s *Holder) Supersede(shard int, epoch uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.logs[shard]
	if l == nil || l.SealedEpoch() >= epoch && l.Size() == 0 {
		return nil
	}
	return s.editLog(shard, func(l *hold.Log) { l.Supersede(epoch) })
}

// maxSealBytes bounds the batches in one reply to a seal.
const maxSealBytes = 1 << 20

// Seal refuses further batches of epochs before q.Epoch, and returns the batches
// held after q.After to the new owner.
func (s *Holder) Seal(q frame.Seal) (frame.Sealed, error) {
	reply := frame.Sealed{Shard: q.Shard, Epoch: q.Epoch, Boot: q.Boot}
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Boot != s.boot {
		reply.MemoryLost = true
		return reply, nil
	}
	sealed := false
	if err := s.editLog(q.Shard, func(l *hold.Log) { sealed = l.Seal(q.Epoch) }); err != nil {
		return reply, err
	}
	l := s.shardLog(q.Shard)
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
