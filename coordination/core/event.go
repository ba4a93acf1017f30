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

// ShardAcquired says that this node owns a shard from now on.
type ShardAcquired struct {
	Shard int
	// Epoch is the shard's fencing number; it only rises.
	Epoch uint64
	// Records are the journal from its beginning or last snapshot, in order.
	Records []record.Record
}

// ShardLost says that this node no longer owns a shard.
type ShardLost struct {
	Shard int
	Epoch uint64
}

// LeaseRenewed says until when this node's lease surely stands.
type LeaseRenewed struct{ Until time.Time }

// Submitted is a call to be scheduled. Submitting the same call again attaches
// another route to it.
type Submitted struct {
	Call *call.Call
	From Route
	// Partial is the text that the caller has already; generation continues after it.
	Partial string
}

// AnswerRequested wants a call's answer by key without submitting the call.
type AnswerRequested struct {
	Customer string
	Program  string
	Key      string
	From     Route
	// Partial is the text that the caller has already.
	Partial string
}

// CallerLeft says that nobody waits at the route any more.
type CallerLeft struct{ From Route }

// CloseRequested asks that a program end.
type CloseRequested struct {
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

// AttemptStarted says that an endpoint accepted a dispatch.
type AttemptStarted struct{ Attempt uint64 }

// CacheCopied says how long the copy of a conversation's cache took; the dispatch
// goes on whether it succeeded or not.
type CacheCopied struct {
	Attempt  uint64
	Duration time.Duration
	Err      error
}

// Piece is generated text.
type Piece struct {
	Attempt uint64
	// Offset is the text's position in bytes from the answer's beginning.
	Offset int
	Text   string
}

// AttemptFinished is an endpoint's whole answer.
type AttemptFinished struct {
	Attempt uint64
	Text    string
	Body    []byte
	Status  int
	Usage   answer.Usage
}

// AttemptFailed says that a dispatch gave no answer.
type AttemptFailed struct {
	Attempt uint64
	// NotRun is true only when surely nothing ran: nothing was written to
	// the endpoint, or the endpoint itself refused.
	NotRun bool
	// RetryAfter is the endpoint's wish, 0 if it had none.
	RetryAfter time.Duration
	Reason     string
	// Usage is what the broken attempt is known to have spent.
	Usage answer.Usage
}

// InquiryAnswered is an endpoint's answer to an Inquire.
type InquiryAnswered struct {
	Inquiry uint64
	// Found says that the call ran; Status and Body are then its answer. When
	// it is false the call may still be on its way to the endpoint.
	Found  bool
	Status int
	Body   []byte
}

// OrderEnded says that an order to an engine has ended, well or not.
type OrderEnded struct {
	Endpoint string
	Err      error
}

// LoadReported is an endpoint's load, late as it is.
type LoadReported struct {
	Endpoint string
	Report   load.Report
}

// PrefixCached is an engine's message about one cached prefix.
type PrefixCached struct {
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

// ProgramsListed is an engine's own full listing of the programs it holds memory for.
type ProgramsListed struct {
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

// EndpointsLeaving is the platform's lagging list of endpoints that are leaving.
type EndpointsLeaving struct{ Leaving []string }

// Ticked lets time-driven work run.
type Ticked struct{}

// DrainRequested asks the core to take no new work and to let go of its shards.
type DrainRequested struct{}

// HandOverRequested asks the core to let go of one shard, for balance.
type HandOverRequested struct{ Shard int }

// PeerLoadReported is what another node has in flight, by endpoint.
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
