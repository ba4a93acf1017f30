// Package dialer (transport layer) sends calls and orders to endpoints: model
// engines and desks. It reports results as events of the core.
package dialer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/state/call"
)

// ErrEndpoint marks errors of requests that an endpoint failed.
var ErrEndpoint = errors.New("dialer: endpoint failed")

// Options are the settings of a dialer.
type Options struct {
	// IdleTimeout bounds the time between parts of a stream, and twice it the wait
	// for the first part; 0 means no bound.
	IdleTimeout time.Duration
	// ConnectTimeout bounds connecting; 0 means the default.
	ConnectTimeout time.Duration
	// MaxAnswerBytes bounds an answer; 0 means the default.
	MaxAnswerBytes int64
}

// Defaults for options left at zero.
const (
	defaultConnectTimeout = 2 * time.Second
	defaultMaxAnswerBytes = 4 << 20
)

// Dialer runs dispatches. It is safe for concurrent use.
type Dialer struct {
	options Options
	// pooled reuses connections, for calls that may be repeated at endpoints whose answers
	// name their attempt, and for loads and listings.
	pooled *http.Client
	// singleUse opens a connection for each call: net/http never retries a request
	// that it wrote to a new connection, and an answer to an earlier one cannot arrive.
	singleUse *http.Client
	emit      func(core.Event)

	mu sync.Mutex
	// cancels holds the cancel functions of running dispatches, by attempt.
	cancels map[uint64]context.CancelFunc
	// naming holds the addresses of endpoints whose last answer named its attempt.
	naming map[string]bool
}

// New returns a dialer that reports through emit.
func New(o Options, emit func(core.Event)) *Dialer {
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	return &Dialer{
		options:   o,
		pooled:    newClient(o, false),
		singleUse: newClient(o, true),
		emit:      emit,
		cancels:   map[uint64]context.CancelFunc{},
		naming:    map[string]bool{},
	}
}

// Prepare returns a function that performs one dispatch and reports its end as
// AttemptFinished or AttemptFailed. Abort works as soon as Prepare has returned.
func (d *Dialer) Prepare(ctx context.Context, a core.Dispatch) func() {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	d.mu.Lock()
	d.cancels[a.Attempt] = cancel
	d.mu.Unlock()
	return func() {
		defer d.finish(a.Attempt)
		if a.Call.Kind == call.Chat {
			d.runChat(ctx, cancel, a)
			return
		}
		d.runPlain(ctx, a)
	}
}

// finish releases the resources of a dispatch.
func (d *Dialer) finish(id uint64) {
	d.Abort(id)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.cancels, id)
}

// Abort cancels the dispatch of an attempt, if it is running.
func (d *Dialer) Abort(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cancel := d.cancels[id]; cancel != nil {
		cancel()
	}
}

func (d *Dialer) fail(a core.Dispatch, notRun bool, reason string) {
	d.emit(core.AttemptFailed{Attempt: a.Attempt, NotRun: notRun, Reason: reason})
}
