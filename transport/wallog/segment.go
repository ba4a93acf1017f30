package wallog

import (
	"io"
	"os"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// segment is one file of the log.
type segment struct {
	path  string
	bytes int64

	mu sync.Mutex
	// live holds the records that have not been released, whose size is liveSize.
	live     map[*Location]bool
	liveSize int64
}

func newSegment(path string) *segment { return &segment{path: path, live: map[*Location]bool{}} }

func (s *segment) liveBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.liveSize
}

// locations returns the records that have not been released, in the order in which they lie.
func (s *segment) locations() []*Location {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*Location, 0, len(s.live))
	for at := range s.live {
		all = append(all, at)
	}
	slices.SortFunc(all, func(a, b *Location) int { return int(a.position().offset - b.position().offset) })
	return all
}

func (s *segment) add(at *Location) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.live[at] = true
	s.liveSize += at.bytes
}

func (s *segment) remove(at *Location) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.live[at] {
		delete(s.live, at)
		s.liveSize -= at.bytes
	}
}

// position is a place on disk.
type position struct {
	segment *segment
	// offset is that of the record's header.
	offset int64
}

// Location is where a record lies on disk, also after it has been moved. It may be used once
// the Sync that wrote the record has succeeded, by any goroutine.
type Location struct {
	// bytes is the size of the record with its header.
	bytes int64
	// at is nil until the record is on disk.
	at atomic.Pointer[position]

	mu sync.Mutex
	// pins counts who keeps the record. Once it is 0, it stays so.
	pins int
}

// newLocation returns the location of a record that one keeps.
func newLocation(size int) *Location {
	return &Location{bytes: int64(size) + headerBytes, pins: 1}
}

func (l *Location) position() position { return *l.at.Load() }

// place notes that the record lies in a segment now, and no longer where it lay before.
func (l *Location) place(s *segment, offset int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.at.Swap(&position{s, offset})
	if l.pins > 0 {
		s.add(l)
	}
	if old != nil {
		old.segment.remove(l)
	}
}

// Pin keeps the record until Release is called once more. Whoever calls it keeps the record
// already.
func (l *Location) Pin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pins++
}

// Release gives the record up. The first call counts for whoever added or opened it.
func (l *Location) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pins--
	if at := l.at.Load(); l.pins == 0 && at != nil {
		at.segment.remove(l)
	}
}

// Size returns the length of the record.
func (l *Location) Size() int { return int(l.bytes - headerBytes) }

// Read returns the record.
func (l *Location) Read() ([]byte, error) {
	at := l.position()
	data, err := at.read()
	if moved := l.position(); err != nil && moved != at {
		return moved.read() // its segment was removed in between
	}
	return data, err
}

func (p position) read() ([]byte, error) {
	f, err := os.Open(p.segment.path)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "wallog: opening"), ErrDisk)
	}
	defer func() { _ = f.Close() }() // opened read-only
	if _, err := f.Seek(p.offset, io.SeekStart); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "wallog: seeking"), ErrDisk)
	}
	data, err := ReadRecord(f)
	return data, errors.Wrapf(err, "wallog: %s at %d", p.segment.path, p.offset)
}
