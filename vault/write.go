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

// maxQueued bounds the records that wait for a hanging disk: what the busiest
// vault gets in some seconds.
const maxQueued = 8192

var errClosed = errors.New("vault: stopping")

// storedTurn is a turn and where its record is on disk.
type storedTurn struct {
	id, owner string
	at        *wallog.Location
}

// entry is a record to be written to disk.
type entry struct {
	data    []byte
	expires time.Time
	// turn and owner identify the turn that the record holds; turn is "" if it holds none.
	turn, owner string
	// done is called once the record is on disk or could not be written.
	done func(error)
}

// writer writes records to disk. One sync covers all records that were queued
// during the previous one.
type writer struct {
	log         zerolog.Logger
	syncSeconds *metrics.Histogram
	finished    chan struct{}
	// onStored is called with the turns of each batch that was written.
	onStored func([]storedTurn)

	mu     sync.Mutex
	wakeup *sync.Cond
	queue  []entry
	// expireBefore asks run to remove segments whose records expired by then.
	// Zero asks for nothing.
	expireBefore time.Time
	stopped      bool

	// wal belongs to run.
	wal *wallog.Log
}

func newWriter(l *wallog.Log, onStored func([]storedTurn), latency *metrics.Histogram, log zerolog.Logger) *writer {
	w := &writer{wal: l, onStored: onStored, syncSeconds: latency, log: log, finished: make(chan struct{})}
	w.wakeup = sync.NewCond(&w.mu)
	return w
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
		e := entry{data: data, expires: chains.ExpiresAt(r)}
		if t, ok := r.(*chains.Turn); ok {
			e.turn, e.owner = t.ID, t.Owner
		}
		entries = append(entries, e)
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
	w.mu.Unlock()
	w.wakeup.Signal()
}

// expire asks for the removal of segments whose records have all expired.
func (w *writer) expire(now time.Time) {
	w.mu.Lock()
	w.expireBefore = now
	w.mu.Unlock()
	w.wakeup.Signal()
}

// run writes queued records until stop is called and the queue is empty.
func (w *writer) run() {
	defer close(w.finished)
	failing := false
	for {
		w.mu.Lock()
		for len(w.queue) == 0 && !w.stopped && w.expireBefore.IsZero() {
			w.wakeup.Wait()
		}
		batch, expired, stopped := w.queue, w.expireBefore, w.stopped
		w.queue, w.expireBefore = nil, time.Time{}
		w.mu.Unlock()
		if !expired.IsZero() {
			if err := w.wal.Expire(expired); err != nil {
				w.log.Warn().Err(err).Msg("removing expired records failed")
			}
		}
		if len(batch) > 0 {
			failing = w.writeBatch(batch, failing)
		} else if stopped {
			return
		}
	}
}

// writeBatch writes and syncs a batch and reports whether the disk failed.
func (w *writer) writeBatch(batch []entry, failing bool) bool {
	started := time.Now()
	var turns []storedTurn
	for _, e := range batch {
		if at := w.wal.Add(e.data, e.expires); e.turn != "" {
			turns = append(turns, storedTurn{e.turn, e.owner, at})
		}
	}
	err := w.wal.Sync()
	if err == nil && len(turns) > 0 {
		w.onStored(turns)
	}
	w.syncSeconds.UpdateDuration(started)
	if failed := err != nil; failed != failing {
		w.log.Warn().Err(err).Bool("failing", failed).Msg("disk began or stopped failing")
	}
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
