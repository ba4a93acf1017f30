// Package frame (protocol layer) defines what nodes say to each other.
package frame

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/coordination/limit"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/load"
)

// The frame versions that this program speaks, both ends included. A new
// version is first understood by all nodes and only then made the newest.
const (
	OldestVersion = 1
	NewestVersion = 1
)

// ErrMalformed means that bytes are no valid frame.
var ErrMalformed = errors.New("frame: not a valid frame")

// The topics of frames; each has one body type.
const (
	TopicSubmit        = "submit"
	TopicAsk           = "ask"
	TopicClose         = "close"
	TopicLeave         = "leave"
	TopicReply         = "reply"
	TopicGossip        = "gossip"
	TopicConfig        = "config"
	TopicConfigRequest = "want"
	TopicHold          = "hold"
	TopicHeld          = "held"
	TopicSeal          = "seal"
	TopicSealed        = "sealed"
)

// Frame is one message between two nodes, in the version that their link agreed on.
type Frame struct {
	Topic string `cbor:"2,keyasint"`
	// ID follows the message through logs; messages that are not followed have none.
	ID string `cbor:"3,keyasint,omitempty"`
	// From is the sending node.
	From string          `cbor:"4,keyasint"`
	Body cbor.RawMessage `cbor:"5,keyasint"`
}

// Urgent tells whether a topic's frames go before traffic: they are small, and
// leases, journals and membership wait for them.
func Urgent(topic string) bool {
	switch topic {
	case TopicGossip, TopicConfigRequest, TopicConfig, TopicHold, TopicHeld, TopicSeal, TopicSealed:
		return true
	default:
		return false
	}
}

// OrderKey names the order that a topic's frames are kept in: those of one lane
// are handled in the order in which their node sent them.
func OrderKey(topic string) string {
	switch topic {
	case TopicSubmit, TopicAsk, TopicClose, TopicLeave:
		return TopicSubmit
	default:
		return topic
	}
}

// Submit asks the owner to schedule a call, or to attach to it.
type Submit struct {
	Call    *call.Call `cbor:"1,keyasint"`
	Stream  string     `cbor:"2,keyasint"`
	Partial string     `cbor:"3,keyasint,omitempty"`
}

// Ask asks the owner for the answer with a key.
type Ask struct {
	Customer string `cbor:"1,keyasint"`
	Program  string `cbor:"2,keyasint"`
	Key      string `cbor:"3,keyasint"`
	Stream   string `cbor:"4,keyasint"`
	Partial  string `cbor:"5,keyasint,omitempty"`
}

// Close asks the owner to end a program.
type Close struct {
	Customer string `cbor:"1,keyasint"`
	Program  string `cbor:"2,keyasint"`
	Stream   string `cbor:"3,keyasint"`
}

// Leave says that nobody waits for a stream any more.
type Leave struct {
	Stream string `cbor:"1,keyasint"`
}

// Reply carries part of an answer to the node that took the call.
type Reply struct {
	Stream string         `cbor:"1,keyasint"`
	Offset int            `cbor:"2,keyasint"`
	Text   string         `cbor:"3,keyasint,omitempty"`
	Final  *answer.Answer `cbor:"4,keyasint,omitempty"`
	Moved  bool           `cbor:"5,keyasint,omitempty"`
	// MayHaveRun says of a moved call that it may have run.
	MayHaveRun bool `cbor:"6,keyasint,omitempty"`
}

// Gossip is what a node tells its peers about itself: everything when a link
// comes up, then what has changed. The frame's From is the node.
type Gossip struct {
	Centre string `cbor:"2,keyasint,omitempty"`
	// Addr is where the node listens for links; "" in gossip of changes.
	Addr string `cbor:"3,keyasint,omitempty"`
	// Owned holds the shards owned, with their epochs; nil says nothing of them.
	Owned map[int]uint64 `cbor:"4,keyasint,omitempty"`
	// Revision is the configuration in force at the node.
	Revision uint64 `cbor:"5,keyasint"`
	// Leaving says that the node takes no new work.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Loads are new reports of the endpoints that the node polls.
	Loads map[string]Load `cbor:"7,keyasint,omitempty"`
	// InFlight is the node's dispatches in flight, by endpoint, where they have changed.
	InFlight map[string]int `cbor:"8,keyasint,omitempty"`
	// Boot names the node's memory; it changes when the node restarts without it.
	Boot string `cbor:"9,keyasint,omitempty"`
	// Released holds the shards that the node has just given back, with their epochs.
	Released map[int]uint64 `cbor:"10,keyasint,omitempty"`
	// LimitUsage holds what the node lets through of bounds that it uses much of.
	LimitUsage map[string]limit.Usage `cbor:"11,keyasint,omitempty"`
	// Start rises with each start of the node's process.
	Start uint64 `cbor:"12,keyasint,omitempty"`
	// Exiting says that the node's process ends now.
	Exiting bool `cbor:"13,keyasint,omitempty"`
	// Unavailable is what the node read in the platform's host list, nil unless it
	// reads it: the names that are not live, with their states.
	Unavailable map[string]string `cbor:"14,keyasint"`
	// RefusingEndpoints are endpoints that refuse new work as leaving.
	RefusingEndpoints []string `cbor:"15,keyasint,omitempty"`
	// Peers are the shard owners that the node knows.
	Peers []Peer `cbor:"16,keyasint,omitempty"`
	// InFlightComplete says that Sent is all there is.
	InFlightComplete bool `cbor:"17,keyasint,omitempty"`
	// LinkCount is how many links the node has.
	LinkCount int `cbor:"18,keyasint,omitempty"`
}

// Peer says where a node listens for links.
type Peer struct {
	Node   string `cbor:"1,keyasint"`
	Centre string `cbor:"2,keyasint,omitempty"`
	Addr   string `cbor:"3,keyasint"`
	Start  uint64 `cbor:"4,keyasint,omitempty"`
}

// Load is an endpoint's report, in few bytes.
type Load struct {
	Running int      `cbor:"1,keyasint,omitempty"`
	Waiting int      `cbor:"2,keyasint,omitempty"`
	Pending int      `cbor:"3,keyasint,omitempty"`
	Cached  int      `cbor:"4,keyasint,omitempty"`
	Leaving bool     `cbor:"5,keyasint,omitempty"`
	Role    string   `cbor:"6,keyasint,omitempty"`
	Models  []string `cbor:"7,keyasint,omitempty"`
	// MeasuredAt is when the endpoint measured itself, in microseconds since 1970.
	MeasuredAt int64 `cbor:"8,keyasint"`
}

// NewLoad returns a report's short form.
func NewLoad(r load.Report) Load {
	return Load{
		Running: r.Running, Waiting: r.Waiting, Pending: r.Pending, Cached: r.Cached,
		Leaving: r.Leaving, Role: r.Role, Models: r.Models, MeasuredAt: r.MeasuredAt.UnixMicro(),
	}
}

// Report returns the report that the short form stands for.
func (l Load) Report() load.Report {
	return load.Report{
		Running: l.Running, Waiting: l.Waiting, Pending: l.Pending, Cached: l.Cached,
		Leaving: l.Leaving, Role: l.Role, Models: l.Models, MeasuredAt: time.UnixMicro(l.MeasuredAt),
	}
}

// Hold asks a standby to keep a journal batch while the store is slow or down.
type Hold struct {
	Shard int    `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	// Number is the batch's place in the shard's journal; 0 with Below alone.
	Number uint64 `cbor:"3,keyasint"`
	// Data is the encoded batch.
	Data []byte `cbor:"4,keyasint,omitempty"`
	// DropBelow lets the standby drop batches with lower numbers.
	DropBelow uint64 `cbor:"5,keyasint,omitempty"`
	// Boot is the memory that is asked.
	Boot string `cbor:"6,keyasint"`
}

// Held answers a Hold.
type Held struct {
	Shard  int    `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	Number uint64 `cbor:"3,keyasint"`
	// SealedEpoch is the epoch that the standby accepts now, when it is higher than the Hold's.
	SealedEpoch uint64 `cbor:"4,keyasint,omitempty"`
	// Boot is the memory that holds the batch.
	Boot string `cbor:"5,keyasint"`
}

// Seal asks a standby to accept no older epoch any more, and to hand over what it holds.
type Seal struct {
	Shard int    `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	// Boot is the memory that is asked.
	Boot string `cbor:"3,keyasint"`
	// After asks for the batches with higher numbers.
	After uint64 `cbor:"4,keyasint,omitempty"`
}

// Sealed answers a Seal.
type Sealed struct {
	Shard int    `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	// Batches are encoded, in the order of their numbers.
	Batches [][]byte `cbor:"3,keyasint,omitempty"`
	// Boot is the memory that was asked.
	Boot string `cbor:"4,keyasint"`
	// More says that the standby holds later batches too.
	More bool `cbor:"5,keyasint,omitempty"`
	// MemoryLost says that the standby no longer has the memory that was asked.
	MemoryLost bool `cbor:"6,keyasint,omitempty"`
	// NewerEpoch is the later epoch that sealed the standby, if any.
	NewerEpoch uint64 `cbor:"7,keyasint,omitempty"`
}

// ConfigRequest asks a peer for its configuration.
type ConfigRequest struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// Config carries a whole configuration record, compressed by Squeeze.
type Config struct {
	Data []byte `cbor:"1,keyasint"`
}

// Encode encodes a body.
func Encode(body any) ([]byte, error) {
	data, err := cbor.Marshal(body)
	return data, errors.Wrap(err, "frame: encoding")
}

// Decode decodes a body; the error is ErrBad for malformed bytes.
func Decode(data []byte, body any) error {
	if err := cbor.Unmarshal(data, body); err != nil {
		return errors.Mark(errors.Wrap(err, "frame: decoding"), ErrMalformed)
	}
	return nil
}

// DecodeNext takes the first frame off a message, which holds one frame or more, and
// returns the rest.
func DecodeNext(data []byte) (Frame, []byte, error) {
	var f Frame
	rest, err := cbor.UnmarshalFirst(data, &f)
	if err != nil {
		return f, nil, errors.Mark(errors.Wrap(err, "frame: decoding"), ErrMalformed)
	}
	if f.Topic == "" || f.From == "" || len(f.Body) == 0 {
		return f, rest, errors.Mark(errors.New("frame: topic, from and body are required"), ErrMalformed)
	}
	return f, rest, nil
}

// maxConfigBytes bounds a configuration record in bytes.
const maxConfigBytes = 16 << 20

// Compress compresses data.
func Compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "frame: compressing")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "frame: compressing")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "frame: compressing")
	}
	return b.Bytes(), nil
}

// Decompress undoes Squeeze; the error is ErrBad for malformed or oversized data.
func Decompress(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	expanded, err := io.ReadAll(io.LimitReader(r, maxConfigBytes+1))
	if err == nil && len(expanded) > maxConfigBytes {
		err = errors.New("frame: too large when expanded")
	}
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "frame: expanding"), ErrMalformed)
	}
	return expanded, nil
}
