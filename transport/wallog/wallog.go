// Package wallog (transport layer) is a write-ahead log: it keeps checksummed
// records in files that survive a power failure, each until it is released.
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
	// compactShare is the fraction of its space from which on the log is compacted.
	compactShare = 2
	suffix       = ".wal"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is a folder of segments. It is not safe for concurrent use, but for its Locations.
type Log struct {
	folder     string
	maxBytes   int64
	lastNumber int
	closed     []*segment
	// file is the open segment; nil after a failed write.
	file *os.File
	open *segment
	// buffer holds the records added or moved since the last successful Sync, and pending
	// their locations.
	buffer  buffer
	pending []pendingRecord
}

// pendingRecord is a record in the buffer.
type pendingRecord struct {
	at *Location
	// offset is that of its header in the buffer.
	offset int64
}

// Open passes the records of a folder to each, in the order in which they were
// added, and returns a log that adds to them. The data is valid only during the call, and the
// record is kept until its location is released. It skips the torn end that a power failure can
// leave in a file. The log takes at most maxBytes.
func Open(folder string, maxBytes int64, each func(data []byte, at *Location)) (*Log, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "wallog: folder"), ErrDisk)
	}
	if err := files.SyncDir(filepath.Dir(folder)); err != nil {
		return nil, errors.Mark(err, ErrDisk)
	}
	l := &Log{folder: folder, maxBytes: maxBytes, open: newSegment("")}
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
func readSegment(path string, each func([]byte, *Location)) (*segment, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "wallog: opening"), ErrDisk)
	}
	defer func() { _ = f.Close() }() // opened read-only
	s := newSegment(path)
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
		at := newLocation(len(data))
		at.place(s, s.bytes)
		s.bytes += at.bytes
		each(data, at)
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
	l.file, l.open = f, newSegment(path)
	if err := files.SyncDir(l.folder); err != nil {
		return errors.Mark(err, ErrDisk)
	}
	return nil
}

// Add buffers a record, and returns where it will lie. The data must not change until it is on disk.
func (l *Log) Add(data []byte) *Location {
	at := newLocation(len(data))
	l.write(data, at)
	return at
}

// write buffers a record that will lie at a location.
func (l *Log) write(data []byte, at *Location) {
	l.pending = append(l.pending, pendingRecord{at, l.buffer.size})
	var header [headerBytes]byte
	binary.LittleEndian.PutUint32(header[:4], uint32(len(data)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(data, castagnoli))
	l.buffer.add(header[:])
	l.buffer.add(data)
}

// Sync writes the added records and syncs them to disk. After a failed write, the
// next Sync writes the same records again, to another file.
func (l *Log) Sync() error {
	if l.Size()+l.buffer.size > l.maxBytes {
		return errors.Mark(errors.Newf("wallog: full at %d bytes", l.Size()), ErrDisk)
	}
	if l.file == nil || l.open.bytes >= segmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	err := l.buffer.writeTo(l.file)
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		l.closeFailed(err)
		return errors.Mark(errors.Wrap(err, "wallog: writing"), ErrDisk)
	}
	for _, p := range l.pending {
		p.at.place(l.open, l.open.bytes+p.offset)
	}
	l.pending = l.pending[:0]
	l.open.bytes += l.buffer.size
	l.buffer.clear()
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
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return errors.Mark(errors.Wrap(err, "wallog: closing"), ErrDisk)
		}
		l.closed = append(l.closed, l.open)
		l.file = nil
	}
	return l.openSegment()
}

// MaxBytes returns how many bytes the log may take on disk.
func (l *Log) MaxBytes() int64 { return l.maxBytes }

// Buffered returns how many bytes wait for a Sync that succeeds.
func (l *Log) Buffered() int64 { return l.buffer.size }

// Size returns the number of bytes on disk.
func (l *Log) Size() int64 {
	total := l.open.bytes
	for _, s := range l.closed {
		total += s.bytes
	}
	return total
}

// Clean removes the closed segments all of whose records have been released.
func (l *Log) Clean() error {
	var err error
	l.closed = slices.DeleteFunc(l.closed, func(s *segment) bool {
		if s.liveBytes() > 0 {
			return false
		}
		removeErr := os.Remove(s.path)
		err = errors.CombineErrors(err, removeErr)
		return removeErr == nil
	})
	return errors.Wrap(err, "wallog: removing")
}

// Compact moves the records of the emptiest closed segment to the open one, if the log takes
// much of its space and at least half of that segment has been released. Else a few records that
// are kept for long would hold a whole segment each.
func (l *Log) Compact() error {
	if l.Size() < l.maxBytes/compactShare {
		return nil
	}
	var emptiest *segment
	for _, s := range l.closed {
		if s.liveBytes() > 0 && (emptiest == nil || s.liveBytes() < emptiest.liveBytes()) {
			emptiest = s
		}
	}
	if emptiest == nil || emptiest.liveBytes() > emptiest.bytes/2 {
		return nil
	}
	for _, at := range emptiest.locations() {
		data, err := at.Read()
		if err != nil {
			return err
		}
		l.write(data, at)
	}
	return l.Sync()
}

// Close closes the open segment.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return errors.Wrap(l.file.Close(), "wallog: closing")
}
