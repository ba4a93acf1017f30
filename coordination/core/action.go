package core

import (
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// Action is an operation that the core requests from the node.
type Action interface{ action() }

// Dispatch sends one attempt of a call to an endpoint.
type Dispatch struct {
	// Attempt identifies this attempt; this process never reuses the number.
	Attempt  uint64
	Call     *call.Call
	Service  *config.Service
	Endpoint string
	Target   *config.Endpoint
	// History is the agent's conversation before the call.
	History []call.Message
	// Source is the engine whose cache of the conversation is copied before the
	// call is sent; nil means that nothing is copied.
	Source *config.Endpoint
	// Epoch is the shard's fencing number.
	Epoch uint64
	// Priority is higher for more urgent calls.
	Priority int
	// MaxTokens bounds the generated tokens. The budget reservation covers it.
	MaxTokens int
	// Partial is the text that was already generated; the endpoint continues after it.
	Partial string
	// SendDeadline is the time after which the request must not be written to the
	// endpoint any more.
	SendDeadline time.Time
	// Timeout bounds the attempt.
	Timeout time.Duration
	// Repeatable reports whether the attempt may be cancelled while it runs.
	Repeatable bool
}

// Abort cancels an attempt whose answer is no longer needed.
type Abort struct{ Attempt uint64 }

// Order tells an engine to change its role or its loaded models. The core gets an
// OrderEnded event when the order has ended.
type Order struct {
	Endpoint string
	Target   *config.Endpoint
	// Kind is "load", "unload" or "role".
	Kind string
	// Model is "model/adapter/version".
	Model string
	Role  string
	Epoch uint64
}

// Inquire asks an endpoint for the outcome of a call that is not repeatable. The
// core gets an InquiryAnswered event, also when the endpoint cannot be reached.
type Inquire struct {
	Inquiry  uint64
	Endpoint string
	Target   *config.Endpoint
	Call     *call.Call
	Epoch    uint64
}

// Append journals records. The core gets a Committed event with the same Ref.
type Append struct {
	Ref     uint64
	Shard   int
	Epoch   uint64
	Records []record.Record
}

// Reply sends part of an answer to a caller.
type Reply struct {
	To Route
	// Offset is the position of Text in the whole answer, in bytes.
	Offset int
	Text   string
	// Final is the recorded answer; it is nil for a part of the text.
	Final *answer.Answer
	// Moved reports that another node owns the program now; the edge retries there.
	Moved bool
	// MayHaveRun reports that the moved call may have run at an endpoint.
	MayHaveRun bool
}

// Release asks an engine to free the memory that it holds for a program.
type Release struct {
	Endpoint string
	Target   *config.Endpoint
	Customer string
	Program  string
	// Agents limits the release to these agents' conversations; nil means all.
	Agents []string
	Epoch  uint64
}

// HandOver hands a shard over. The core has no request or append of it left.
type HandOver struct {
	Shard int
	Epoch uint64
}

func (Dispatch) action() {}
func (Abort) action()    {}
func (Order) action()    {}
func (Inquire) action()  {}
func (Append) action()   {}
func (Reply) action()    {}
func (Release) action()  {}
func (HandOver) action() {}
