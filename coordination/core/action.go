package core

import (
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// Action is something the core wants done outside.
type Action interface{ action() }

// Dispatch sends a call to an endpoint, once.
type Dispatch struct {
	// Attempt names this attempt; it is never used again by this process.
	Attempt  uint64
	Call     *call.Call
	Service  *config.Service
	Endpoint string
	Target   *config.Endpoint
	// History is the agent's conversation before the call.
	History []call.Message
	// Source is the engine to copy the conversation's cache from before the
	// call is sent; nil copies nothing.
	Source *config.Endpoint
	// Epoch is the fencing number.
	Epoch uint64
	// Priority is higher for more urgent calls.
	Priority int
	// MaxTokens bounds the generated tokens; it is covered by the reservation.
	MaxTokens int
	// Partial is the text already generated; the answer continues after it.
	Partial string
	// SendDeadline is the time after which the dispatch must not be written any more.
	SendDeadline time.Time
	// Timeout bounds the attempt.
	Timeout time.Duration
	// Repeatable tells that the attempt may be cancelled half-way.
	Repeatable bool
}

// Abort cancels an attempt whose answer is no longer wanted.
type Abort struct{ Attempt uint64 }

// Order tells an engine to change; the answer is an Ordered event.
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

// Inquire asks an endpoint what became of a call with an effect; the answer is
// a Told event, also when the endpoint cannot be reached.
type Inquire struct {
	Inquiry  uint64
	Endpoint string
	Target   *config.Endpoint
	Call     *call.Call
	Epoch    uint64
}

// Append journals records; the answer is a Committed event with the same Ref.
type Append struct {
	Ref     uint64
	Shard   int
	Epoch   uint64
	Records []record.Record
}

// Reply sends part of an answer to a caller.
type Reply struct {
	To Route
	// Offset is the position of Text in bytes from the answer's beginning.
	Offset int
	Text   string
	// Final is nil until the answer is complete and recorded.
	Final *answer.Answer
	// Moved says that another node owns the program now; the edge asks there.
	Moved bool
	// MayHaveRun says of a moved call that it may have run here.
	MayHaveRun bool
}

// Release asks an engine to drop what it holds for a program.
type Release struct {
	Endpoint string
	Target   *config.Endpoint
	Customer string
	Program  string
	// Agents limits the release to some conversations; nil means all.
	Agents []string
	Epoch  uint64
}

// HandOver gives up a shard: nothing of it is in flight any more.
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
