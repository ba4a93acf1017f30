package vault

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/transport/wallog"
)

const (
	// maxQueued bounds the records that wait for a hanging disk: what the busiest
	// vault gets in some seconds.
	maxQueued = 8192
	// longBytes is the size from which a record leaves a part of the disk to the others.
	longBytes = 64 << 10
	// longShare is the part of the disk that may be taken when a long record is written, waitingShare
	// the part of the memory for records that wait for the disk.
	longShare    = 0.5
	waitingShare = 1.0 / 16
)

var errClosed = errors.New("vault: stopping")

// storedRecord is a record and where it is on disk.
type storedRecord struct {
	record chains.Record
	at     *wallog.Location
}

// entry is a record to be written to disk.
type entry struct {
	record chains.Record
	data   []byte
	// done is called once the record is on disk or could not be written.
	done func(error)
}

// writer writes records to disk. One sync covers all records that were queued
// during the previous one.
type writer struct {
	log         zerolog.Logger
	syncSeconds *metrics.Histogram
	finished    chan struct{}
	// onStored is called with the records that were written, again until it reports that it
	// has noted them.
	onStored func([]storedRecord) bool

	// maxWaiting bounds the bytes that wait for the disk, 0 for any number. One record may always wait.
	maxWaiting int64

	mu     sync.Mutex
	wakeup *sync.Cond
	queue  []entry
	// queued is the size of the queue. written is the size of the log, and buffered that of what it
	// could not write yet, as of the last batch.
	queued, written, buffered int64
	// cleaning asks run to remove what has been released.
	cleaning bool
	stopped  bool

	// wal belongs to run, like unnoted: records that are on disk, or will be with the next
	// sync that succeeds, and have not been noted.
	wal     *wallog.Log
	unnoted []storedRecord
}

func newWriter(l *wallog.Log, memory int64, onStored func([]storedRecord) bool, latency *metrics.Histogram, log zerolog.Logger) *writer {
	w := &writer{wal: l, onStored: onStored, syncSeconds: latency, log: log, finished: make(chan struct{})}
	w.maxWaiting, w.written = int64(waitingShare*float64(memory)), l.Size()
	w.wakeup = sync.NewCond(&w.mu)
	return w
}

// hasRoom reports whether there is room for a record of so many bytes, on the disk and in what waits
// for it. A full disk would refuse each further record, and records that wait are not given up.
func (w *writer) hasRoom(bytes int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, waiting := int64(bytes), w.queued+w.buffered
	most := float64(w.wal.MaxBytes())
	if n >= longBytes {
		most *= longShare
	}
	return float64(w.written+waiting+n) <= most && (waiting == 0 || w.maxWaiting <= 0 || waiting+n <= w.maxWaiting)
}

// add queues records. done is called once, possibly before add returns and else
// from the writer's goroutine.
func (w *writer) add(done func(error), records ...chains.Record) {
	entries := make([]entry, 0, len(records))
	for _, r := range records {
		data, err := chains.Encode(nil, r)
		if err != nil {
			done(err)
			return
		}
		entries = append(entries, entry{record: r, data: data})
	}
	if len(entries) == 0 {
		done(nil)
		return
	}
	entries[len(entries)-1].done = done
	w.mu.Lock()
	if w.stopped || len(w.queue) > maxQueued {
		w.mu.Unlock()
		done(errors.Wrap(errClosed, "or too many records wait for the disk"))
		return
	}
	w.queue = append(w.queue, entries...)
	for _, e := range entries {
		w.queued += int64(len(e.data))
	}
	w.mu.Unlock()
	w.wakeup.Signal()
}

// clean asks for the removal of what has been released.
func (w *writer) clean() {
	w.mu.Lock()
	w.cleaning = true
	w.mu.Unlock()
	w.wakeup.Signal()
}

// run writes queued records until stop is called and the queue is empty.
func (w *writer) run() {
	defer close(w.finished)
	failing := false
	for {
		w.mu.Lock()
		for len(w.queue) == 0 && !w.stopped && !w.cleaning {
			w.wakeup.Wait()
		}
		batch, cleaning, stopped := w.queue, w.cleaning, w.stopped
		w.queue, w.cleaning = nil, false
		w.buffered, w.queued = w.buffered+w.queued, 0
		w.mu.Unlock()
		if cleaning {
			w.cleanLog()
		}
		if len(batch) > 0 {
			failing = w.writeBatch(batch, failing)
		} else if stopped {
			return
		}
		w.mu.Lock()
		w.written, w.buffered = w.wal.Size(), w.wal.Buffered()
		w.mu.Unlock()
	}
}

// cleanLog removes what has been released from the disk.
func (w *writer) cleanLog() {
	err := w.wal.Clean()
	if err == nil {
		err = w.wal.Compact()
	}
	if err != nil {
		w.log.Warn().Err(err).Msg("removing released records failed")
	}
}

// writeBatch writes and syncs a batch and reports whether the disk failed.
func (w *writer) writeBatch(batch []entry, failing bool) bool {
	started := time.Now()
	for _, e := range batch {
		w.unnoted = append(w.unnoted, storedRecord{e.record, w.wal.Add(e.data)})
	}
	err := w.wal.Sync()
	if err == nil && w.onStored(w.unnoted) {
		w.unnoted = nil
	}
	w.syncSeconds.UpdateDuration(started)
	if failed := err != nil; failed != failing {
		w.log.Warn().Err(err).Bool("failing", failed).Msg("disk began or stopped failing")
	}
	w.mu.Lock()
	w.written, w.buffered = w.wal.Size(), w.wal.Buffered()
	w.mu.Unlock()
	for _, e := range batch {
		if e.done != nil {
			e.done(err)
		}
	}
	return err != nil
}

// stop writes the queued records and closes the log.
func (w *writer) stop() error {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.wakeup.Signal()
	<-w.finished
	return w.wal.Close()
}
