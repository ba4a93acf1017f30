package core

import (
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/state/load"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// Event is something that happened outside the core.
type Event interface{ event() }

// Route is the way back to the caller: the node whose edge took the call and
// the stream there. The core treats it as opaque.
type Route struct {
	Node   string
	Stream string
}

// Acquired says that this node owns a shard from now on.
type Acquired struct {
	Shard int
	// Epoch is the shard's fencing number; it only rises.
	Epoch uint64
	// Records are the journal from its beginning or last snapshot, in order.
	Records []record.Record
}

// Lost says that this node no longer owns a shard.
type Lost struct {
	Shard int
	Epoch uint64
}

// Renewed says until when this node's lease surely stands.
type Renewed struct{ Until time.Time }

// Submitted is a call to be scheduled. Submitting the same call again attaches
// another route to it.
type Submitted struct {
	Call *call.Call
	From Route
	// Partial is the text that the caller has already; generation continues after it.
	Partial string
}

// Asked wants a call's answer by key without submitting the call.
type Asked struct {
	Customer string
	Program  string
	Key      string
	From     Route
	// Partial is the text that the caller has already.
	Partial string
}

// Left says that nobody waits at the route any more.
type Left struct{ From Route }

// Closed asks that a program end.
type Closed struct {
	Customer string
	Program  string
	From     Route
}

// Committed reports a journal append.
type Committed struct {
	Ref uint64
	// Err is nil when the records are safe; otherwise the shard is lost.
	Err error
}

// Started says that an endpoint accepted a dispatch.
type Started struct{ Flight uint64 }

// Copied says how long the copy of a conversation's cache took; the dispatch
// goes on whether it succeeded or not.
type Copied struct {
	Flight uint64
	Took   time.Duration
	Err    error
}

// Piece is generated text.
type Piece struct {
	Flight uint64
	// Offset is the text's position in bytes from the answer's beginning.
	Offset int
	Text   string
}

// Finished is an endpoint's whole answer.
type Finished struct {
	Flight uint64
	Text   string
	Body   []byte
	Status int
	Usage  answer.Usage
}

// Failed says that a dispatch gave no answer.
type Failed struct {
	Flight uint64
	// Untouched is true only when surely nothing ran: nothing was written to
	// the endpoint, or the endpoint itself refused.
	Untouched bool
	// RetryAfter is the endpoint's wish, 0 if it had none.
	RetryAfter time.Duration
	Reason     string
	// Usage is what the broken attempt is known to have spent.
	Usage answer.Usage
}

// Told is an endpoint's answer to an Inquire.
type Told struct {
	Inquiry uint64
	// Found says that the call ran; Status and Body are then its answer. When
	// it is false the call may still be on its way to the endpoint.
	Found  bool
	Status int
	Body   []byte
}

// Ordered says that an order to an engine has ended, well or not.
type Ordered struct {
	Endpoint string
	Err      error
}

// Reported is an endpoint's load, late as it is.
type Reported struct {
	Endpoint string
	Report   load.Report
}

// Cached is an engine's message about one cached prefix.
type Cached struct {
	Endpoint string
	// Serial rises by one with each event of an endpoint; a gap means loss.
	Serial uint64
	// Program and Agent own the prefix.
	Customer string
	Program  string
	Agent    string
	// Tokens is the length now cached; 0 after eviction or release.
	Tokens int
}

// Held is an engine's own full listing of the programs it holds memory for.
type Held struct {
	Endpoint string
	// Programs are "customer/program" names.
	Programs []string
}

// Released says that an endpoint confirmed it holds nothing for a program.
type Released struct {
	Endpoint string
	Customer string
	Program  string
}

// Configured replaces the configuration; older revisions are ignored.
type Configured struct{ Config *config.Config }

// Listed is the platform's lagging list of endpoints that are leaving.
type Listed struct{ Leaving []string }

// Ticked lets time-driven work run.
type Ticked struct{}

// Drained asks the core to take no new work and to let go of its shards.
type Drained struct{}

// Surrendered asks the core to let go of one shard, for balance.
type Surrendered struct{ Shard int }

// Shared is what another node has in flight, by endpoint.
type Shared struct {
	Node  string
	Sent  map[string]int
	Taken time.Time
}

func (Acquired) event()    {}
func (Lost) event()        {}
func (Renewed) event()     {}
func (Submitted) event()   {}
func (Asked) event()       {}
func (Left) event()        {}
func (Closed) event()      {}
func (Committed) event()   {}
func (Started) event()     {}
func (Copied) event()      {}
func (Piece) event()       {}
func (Finished) event()    {}
func (Failed) event()      {}
func (Told) event()        {}
func (Ordered) event()     {}
func (Reported) event()    {}
func (Cached) event()      {}
func (Held) event()        {}
func (Released) event()    {}
func (Configured) event()  {}
func (Listed) event()      {}
func (Ticked) event()      {}
func (Drained) event()     {}
func (Surrendered) event() {}
func (Shared) event()      {}
