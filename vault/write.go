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

// maxWaiting bounds the records that wait for a hanging disk: some seconds of
// the busiest vault's.
const maxWaiting = 8192

var errClosed = errors.New("vault: stopping")

// entry is a record on its way to disk.
type entry struct {
	data []byte
	keep time.Time
	// done is called once the record lasts, or could not be made to.
	done func(error)
}

// writer puts records on disk, as many with one sync as have come meanwhile.
type writer struct {
	log     zerolog.Logger
	latency *metrics.Histogram
	ended   chan struct{}

	mu      sync.Mutex
	filled  *sync.Cond
	waiting []entry
	// expired is the time up to which segments may go; zero asks for nothing.
	expired time.Time
	stopped bool

	// wal belongs to run.
	wal *wallog.Log
}

func newWriter(l *wallog.Log, latency *metrics.Histogram, log zerolog.Logger) *writer {
	w := &writer{wal: l, latency: latency, log: log, ended: make(chan struct{})}
	w.filled = sync.NewCond(&w.mu)
	return w
}

// add queues records; done is called once, from another goroutine.
func (w *writer) add(done func(error), records ...chains.Record) {
	entries := make([]entry, 0, len(records))
	for _, r := range records {
		data, err := chains.Encode(nil, r)
		if err != nil {
			done(err)
			return
		}
		entries = append(entries, entry{data: data, keep: chains.ExpiresAt(r)})
	}
	if len(entries) == 0 {
		done(nil)
		return
	}
	entries[len(entries)-1].done = done
	w.mu.Lock()
	if w.stopped || len(w.waiting) > maxWaiting {
		w.mu.Unlock()
		done(errors.Wrap(errClosed, "or the disk hangs"))
		return
	}
	w.waiting = append(w.waiting, entries...)
	w.mu.Unlock()
	w.filled.Signal()
}

// expire lets segments go whose records have expired.
func (w *writer) expire(now time.Time) {
	w.mu.Lock()
	w.expired = now
	w.mu.Unlock()
	w.filled.Signal()
}

func (w *writer) run() {
	defer close(w.ended)
	failing := false
	for {
		w.mu.Lock()
		for len(w.waiting) == 0 && !w.stopped && w.expired.IsZero() {
			w.filled.Wait()
		}
		batch, expired, stopped := w.waiting, w.expired, w.stopped
		w.waiting, w.expired = nil, time.Time{}
		w.mu.Unlock()
		if !expired.IsZero() {
			if err := w.wal.Expire(expired); err != nil {
				w.log.Warn().Err(err).Msg("expired records stay on disk")
			}
		}
		if len(batch) > 0 {
			failing = w.sync(batch, failing)
		} else if stopped {
			return
		}
	}
}

// sync writes a batch and tells whether the disk refuses.
func (w *writer) sync(batch []entry, failing bool) bool {
	begun := time.Now()
	for _, e := range batch {
		w.wal.Add(e.data, e.keep)
	}
	err := w.wal.Sync()
	w.latency.UpdateDuration(begun)
	if failed := err != nil; failed != failing {
		w.log.Warn().Err(err).Bool("failing", failed).Msg("disk changed its state")
	}
	for _, e := range batch {
		if e.done != nil {
			e.done(err)
		}
	}
	return err != nil
}

// stop writes what waits and closes the log.
func (w *writer) stop() error {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.filled.Signal()
	<-w.ended
	return w.wal.Close()
}
