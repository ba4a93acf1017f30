package core

import (
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/state/load"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// Event is an input of the core.
type Event interface{ event() }

// Route addresses a caller: the node whose edge accepted the call and the stream
// on that node. The core does not interpret it.
type Route struct {
	Node   string
	Stream string
}

// ShardAcquired reports that this node now owns a shard.
type ShardAcquired struct {
	Shard int
	// Epoch is the shard's fencing number; it only increases.
	Epoch uint64
	// Records is the journal since its beginning or its last snapshot, in order.
	Records []record.Record
}

// ShardLost reports that this node no longer owns a shard.
type ShardLost struct {
	Shard int
	Epoch uint64
}

// LeaseRenewed carries the time until which this node's lease is certainly valid.
type LeaseRenewed struct{ Until time.Time }

// Submitted is a call to be scheduled. Submitting a call again attaches another
// caller to it.
type Submitted struct {
	Call *call.Call
	From Route
	// Partial is the text that the caller already has; generation continues after it.
	Partial string
}

// AnswerRequested asks for the answer of a call by key, without submitting the call.
type AnswerRequested struct {
	Customer string
	Program  string
	Key      string
	From     Route
	// Partial is the text that the caller already has.
	Partial string
}

// CallerLeft reports that no caller waits at the route any more.
type CallerLeft struct{ From Route }

// CloseRequested asks the core to end a program.
type CloseRequested struct {
	Customer string
	Program  string
	From     Route
}

// Committed reports the result of a journal append.
type Committed struct {
	Ref uint64
	// Err is nil when the records are durable; otherwise the shard is lost.
	Err error
}

// AttemptStarted reports that an endpoint accepted an attempt.
type AttemptStarted struct{ Attempt uint64 }

// CacheCopied reports how long the copy of a conversation's cache took. The
// attempt continues whether the copy succeeded or not.
type CacheCopied struct {
	Attempt  uint64
	Duration time.Duration
	Err      error
}

// Piece is a piece of generated text.
type Piece struct {
	Attempt uint64
	// Offset is the position of Text in the whole answer, in bytes.
	Offset int
	Text   string
}

// AttemptFinished carries an endpoint's complete answer.
type AttemptFinished struct {
	Attempt uint64
	Text    string
	Body    []byte
	Status  int
	Usage   answer.Usage
}

// AttemptFailed reports that an attempt ended without an answer.
type AttemptFailed struct {
	Attempt uint64
	// NotRun is true only if the endpoint certainly did not run the call: nothing
	// was written to it, or it refused the call.
	NotRun bool
	// RetryAfter is the delay that the endpoint asked for, 0 if none.
	RetryAfter time.Duration
	Reason     string
	// Usage is the known usage of the failed attempt.
	Usage answer.Usage
}

// InquiryAnswered is the result of an Inquire.
type InquiryAnswered struct {
	Inquiry uint64
	// Found reports that the call ran and that Status and Body are its answer.
	// If false, the call may still be on its way to the endpoint.
	Found  bool
	Status int
	Body   []byte
}

// OrderEnded reports that an order to an engine succeeded or failed.
type OrderEnded struct {
	Endpoint string
	Err      error
}

// LoadReported carries an endpoint's load report, which may be out of date.
type LoadReported struct {
	Endpoint string
	Report   load.Report
}

// PrefixCached is an engine's notification about one cached prefix.
type PrefixCached struct {
	Endpoint string
	// Serial increases by one with each event of an endpoint; a gap shows that
	// events were lost.
	Serial uint64
	// Customer, Program and Agent own the prefix.
	Customer string
	Program  string
	Agent    string
	// Tokens is the cached length; 0 after an eviction or a release.
	Tokens int
}

// ProgramsListed is an engine's complete list of the programs it holds memory for.
type ProgramsListed struct {
	Endpoint string
	// Programs holds "customer/program" names.
	Programs []string
}

// Released reports that an endpoint holds no memory for a program any more.
type Released struct {
	Endpoint string
	Customer string
	Program  string
}

// Configured replaces the configuration. Older revisions are ignored.
type Configured struct{ Config *config.Config }

// EndpointsLeaving is the platform's list of endpoints that are leaving. It may
// be out of date.
type EndpointsLeaving struct{ Leaving []string }

// Ticked runs the time-driven work.
type Ticked struct{}

// DrainRequested asks the core to accept no new work and to hand over all shards.
type DrainRequested struct{}

// HandOverRequested asks the core to hand over one shard, to balance the nodes.
type HandOverRequested struct{ Shard int }

// PeerLoadReported carries another node's number of running attempts, by endpoint.
type PeerLoadReported struct {
	Node       string
	InFlight   map[string]int
	MeasuredAt time.Time
}

func (ShardAcquired) event()     {}
func (ShardLost) event()         {}
func (LeaseRenewed) event()      {}
func (Submitted) event()         {}
func (AnswerRequested) event()   {}
func (CallerLeft) event()        {}
func (CloseRequested) event()    {}
func (Committed) event()         {}
func (AttemptStarted) event()    {}
func (CacheCopied) event()       {}
func (Piece) event()             {}
func (AttemptFinished) event()   {}
func (AttemptFailed) event()     {}
func (InquiryAnswered) event()   {}
func (OrderEnded) event()        {}
func (LoadReported) event()      {}
func (PrefixCached) event()      {}
func (ProgramsListed) event()    {}
func (Released) event()          {}
func (Configured) event()        {}
func (EndpointsLeaving) event()  {}
func (Ticked) event()            {}
func (DrainRequested) event()    {}
func (HandOverRequested) event() {}
func (PeerLoadReported) event()  {}
