// Package wallog (transport layer) is a write-ahead log: it keeps checksummed
// records in files that survive a power failure.
package wallog

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/transport/files"
)

// ErrDisk means that a disk operation failed or that the log is full.
var ErrDisk = errors.New("wallog: the disk failed")

const (
	folderMode = 0o700
	fileMode   = 0o600
	// segmentBytes is the size at which the next segment is started. It is small
	// so that the space of expired records is freed soon.
	segmentBytes = 4 << 20
	// headerBytes is the size of a record's header: its length and its checksum.
	headerBytes = 8
	// maxRecordBytes bounds a record; a greater length means a corrupt header.
	maxRecordBytes = 32 << 20
	// readBytes is how much of a segment is read at once.
	readBytes = 64 << 10
	suffix    = ".wal"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segment is one file of the log.
type segment struct {
	path  string
	bytes int64

	mu sync.Mutex
	// expiry is when the last of its records expires. It only moves later.
	expiry time.Time
	// pins counts the records that must stay whatever the time.
	pins int
}

func (s *segment) keepUntil(t time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.After(s.expiry) {
		s.expiry = t
	}
}

func (s *segment) expiresAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.expiry
}

func (s *segment) pin(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pins += n
}

// removable reports whether all records have expired and none is pinned.
func (s *segment) removable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pins == 0 && now.After(s.expiry)
}

// Location is where a record lies on disk. It may be used once the Sync that wrote
// the record has succeeded, by any goroutine.
type Location struct {
	segment *segment
	// offset is that of the record's header.
	offset int64
}

// Pin keeps the record, also beyond its expiry, until Release is called as often.
func (l *Location) Pin() { l.segment.pin(1) }

// Release undoes one call of Pin.
func (l *Location) Release() { l.segment.pin(-1) }

// Read returns the record.
func (l *Location) Read() ([]byte, error) {
	f, err := os.Open(l.segment.path)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "wallog: opening"), ErrDisk)
	}
	defer func() { _ = f.Close() }() // opened read-only
	if _, err := f.Seek(l.offset, io.SeekStart); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "wallog: seeking"), ErrDisk)
	}
	data, err := ReadRecord(f)
	return data, errors.Wrapf(err, "wallog: %s at %d", l.segment.path, l.offset)
}

// Log is a folder of segments. It is not safe for concurrent use.
type Log struct {
	folder     string
	maxBytes   int64
	lastNumber int
	closed     []*segment
	// file is the open segment; nil after a failed write.
	file *os.File
	open *segment
	// buffer holds the records added since the last successful Sync, and pending
	// their locations, with offsets in the buffer.
	buffer  []byte
	pending []*Location
}

// Open passes the records of a folder to each, in the order in which they were
// added, and returns a log that adds to them. The data is valid only during the call.
// It skips the torn end that a power failure can leave in a file. The log takes at
// most maxBytes.
func Open(folder string, maxBytes int64, each func(data []byte, at *Location) (expiry time.Time)) (*Log, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "wallog: folder"), ErrDisk)
	}
	if err := files.SyncDir(filepath.Dir(folder)); err != nil {
		return nil, errors.Mark(err, ErrDisk)
	}
	l := &Log{folder: folder, maxBytes: maxBytes, open: &segment{}}
	names, err := filepath.Glob(filepath.Join(folder, "*"+suffix))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "wallog: listing"), ErrDisk)
	}
	slices.Sort(names)
	for _, name := range names {
		s, err := readSegment(name, each)
		if err != nil {
			return nil, err
		}
		l.closed = append(l.closed, s)
		if _, err := fmt.Sscanf(strings.TrimSuffix(filepath.Base(name), suffix), "%d", &l.lastNumber); err != nil {
			return nil, errors.Mark(errors.Newf("wallog: %s is not a segment", name), ErrDisk)
		}
	}
	return l, l.openSegment()
}

// readSegment passes the records of one file to each, up to the first corrupt one.
func readSegment(path string, each func([]byte, *Location) time.Time) (*segment, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "wallog: opening"), ErrDisk)
	}
	defer func() { _ = f.Close() }() // opened read-only
	s := &segment{path: path}
	r := bufio.NewReaderSize(f, readBytes)
	var buffer []byte
	for {
		data, err := appendRecord(buffer[:0], r)
		buffer = data
		if errors.Is(err, io.EOF) || errors.Is(err, ErrCorrupt) {
			return s, nil
		}
		if err != nil {
			return s, errors.Mark(errors.Wrapf(err, "wallog: %s", path), ErrDisk)
		}
		s.keepUntil(each(data, &Location{s, s.bytes}))
		s.bytes += int64(len(data)) + headerBytes
	}
}

// ErrCorrupt means that the data is not a complete, valid record.
var ErrCorrupt = errors.New("wallog: corrupt record")

// ReadRecord reads one record. It returns io.EOF at the end, and ErrCorrupt for a
// torn or corrupt record.
func ReadRecord(r io.Reader) ([]byte, error) {
	data, err := appendRecord(nil, r)
	if err != nil {
		return nil, err
	}
	return data, nil
}

// appendRecord appends the next record to an empty buffer. The buffer grows as data
// arrives, because a corrupt header may claim any size.
func appendRecord(buffer []byte, r io.Reader) ([]byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return buffer, ErrCorrupt
		}
		return buffer, err
	}
	size := int(binary.LittleEndian.Uint32(header[:4]))
	if size == 0 || size > maxRecordBytes {
		return buffer, ErrCorrupt
	}
	for len(buffer) < size {
		part := min(size-len(buffer), readBytes)
		buffer = slices.Grow(buffer, part)
		n, err := io.ReadFull(r, buffer[len(buffer):len(buffer)+part])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
			return buffer, ErrCorrupt
		case err != nil:
			return buffer, err
		}
	}
	if crc32.Checksum(buffer, castagnoli) != binary.LittleEndian.Uint32(header[4:]) {
		return buffer, ErrCorrupt
	}
	return buffer, nil
}

// openSegment creates the next segment and syncs the folder.
func (l *Log) openSegment() error {
	l.lastNumber++
	path := filepath.Join(l.folder, fmt.Sprintf("%08d%s", l.lastNumber, suffix))
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "wallog: creating"), ErrDisk)
	}
	l.file, l.open = f, &segment{path: path}
	if err := files.SyncDir(l.folder); err != nil {
		return errors.Mark(err, ErrDisk)
	}
	return nil
}

// Add buffers a record that may be dropped after expiry, and returns where it will
// lie.
func (l *Log) Add(data []byte, expiry time.Time) *Location {
	at := &Location{offset: int64(len(l.buffer))}
	l.pending = append(l.pending, at)
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[:4], uint32(len(data)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(data, castagnoli))
	l.buffer = append(append(l.buffer, header[:]...), data...)
	l.open.keepUntil(expiry)
	return at
}

// Sync writes the added records and syncs them to disk. After a failed write, the
// next Sync writes the same records again, to another file.
func (l *Log) Sync() error {
	if l.Size()+int64(len(l.buffer)) > l.maxBytes {
		return errors.Mark(errors.Newf("wallog: full at %d bytes", l.Size()), ErrDisk)
	}
	if l.file == nil || l.open.bytes >= segmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	_, err := l.file.Write(l.buffer)
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		l.closeFailed(err)
		return errors.Mark(errors.Wrap(err, "wallog: writing"), ErrDisk)
	}
	for _, at := range l.pending {
		at.segment, at.offset = l.open, l.open.bytes+at.offset
	}
	l.pending = l.pending[:0]
	l.open.bytes += int64(len(l.buffer))
	if cap(l.buffer) > segmentBytes {
		l.buffer = nil
	}
	l.buffer = l.buffer[:0]
	return nil
}

// closeFailed closes the open segment after a failed write. Its content after the
// last sync is unknown, so no more records are added to it.
func (l *Log) closeFailed(cause error) {
	_ = errors.CombineErrors(cause, l.file.Close()) // the write's error is the one reported
	l.closed = append(l.closed, l.open)
	l.file = nil
}

// rotate closes the open segment and starts the next.
func (l *Log) rotate() error {
	expiry := l.open.expiresAt()
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return errors.Mark(errors.Wrap(err, "wallog: closing"), ErrDisk)
		}
		l.closed = append(l.closed, l.open)
		l.file = nil
	}
	err := l.openSegment()
	l.open.keepUntil(expiry)
	return err
}

// Size returns the number of bytes on disk.
func (l *Log) Size() int64 {
	total := l.open.bytes
	for _, s := range l.closed {
		total += s.bytes
	}
	return total
}

// Expire removes the closed segments whose records have all expired and are not pinned.
func (l *Log) Expire(now time.Time) error {
	var err error
	l.closed = slices.DeleteFunc(l.closed, func(s *segment) bool {
		if !s.removable(now) {
			return false
		}
		removeErr := os.Remove(s.path)
		err = errors.CombineErrors(err, removeErr)
		return removeErr == nil
	})
	return errors.Wrap(err, "wallog: removing")
}

// Close closes the open segment.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return errors.Wrap(l.file.Close(), "wallog: closing")
}
