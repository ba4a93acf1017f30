// Package dialer (transport layer) is the adapter to the endpoints: model
// engines and plain desks.
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

// ErrEndpoint means that an endpoint did not do what it was asked.
var ErrEndpoint = errors.New("dialer: endpoint failed")

// Options are the settings of a dialer.
type Options struct {
	// IdleTimeout is how long a stream may give nothing, twice as long before its first
	// part; 0 means no bound.
	IdleTimeout time.Duration
	// ConnectTimeout bounds the making of a connection; 0 means the standard.
	ConnectTimeout time.Duration
	// MaxAnswerBytes bounds an answer in bytes; 0 means the standard.
	MaxAnswerBytes int64
}

// The standards for options left at zero.
const (
	defaultConnectTimeout = 2 * time.Second
	defaultMaxAnswerBytes = 4 << 20
)

// Dialer runs dispatches. It is safe for concurrent use.
type Dialer struct {
	options Options
	// pooled keeps connections for calls that may be repeated.
	pooled *http.Client
	// singleUse makes a connection for each call: the library never sends a
	// request again that it wrote to a new connection.
	singleUse *http.Client
	emit      func(core.Event)

	mu sync.Mutex
	// cancels holds the dispatches under way.
	cancels map[uint64]context.CancelFunc
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
	}
}

// Prepare returns what performs one dispatch and reports its end as Finished or
// Failed. From the call of Prepare on, Abort finds the dispatch.
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

// finish ends what a dispatch holds.
func (d *Dialer) finish(id uint64) {
	d.Abort(id)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.cancels, id)
}

// Abort cancels a dispatch.
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
