// Package frame (protocol layer) defines the messages between nodes.
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

// The range of frame versions that this program supports, inclusive. Every node
// must be able to read a new version before NewestVersion is raised to it.
const (
	OldestVersion = 1
	NewestVersion = 1
)

// ErrMalformed means that bytes do not decode to a valid frame.
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
	// ID identifies the message in logs; "" for messages that are not traced.
	ID string `cbor:"3,keyasint,omitempty"`
	// From is the sending node.
	From string          `cbor:"4,keyasint"`
	Body cbor.RawMessage `cbor:"5,keyasint"`
}

// Urgent reports whether a topic's frames are sent ahead of calls and replies:
// they are small, and leases, journals and membership depend on them.
func Urgent(topic string) bool {
	switch topic {
	case TopicGossip, TopicConfigRequest, TopicConfig, TopicHold, TopicHeld, TopicSeal, TopicSealed:
		return true
	default:
		return false
	}
}

// OrderKey returns a topic's ordering key: frames of one node with the same key
// are handled in the order in which they were sent.
func OrderKey(topic string) string {
	switch topic {
	case TopicSubmit, TopicAsk, TopicClose, TopicLeave:
		return TopicSubmit
	default:
		return topic
	}
}

// Submit asks the owner to schedule a call, or to attach the stream to a call
// that it has already.
type Submit struct {
	Call    *call.Call `cbor:"1,keyasint"`
	Stream  string     `cbor:"2,keyasint"`
	Partial string     `cbor:"3,keyasint,omitempty"`
}

// Ask requests from the owner the answer to the call with an idempotency key.
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

// Leave tells the owner that no caller waits for a stream any more.
type Leave struct {
	Stream string `cbor:"1,keyasint"`
}

// Reply carries part of an answer to the node that received the call.
type Reply struct {
	Stream string         `cbor:"1,keyasint"`
	Offset int            `cbor:"2,keyasint"`
	Text   string         `cbor:"3,keyasint,omitempty"`
	Final  *answer.Answer `cbor:"4,keyasint,omitempty"`
	Moved  bool           `cbor:"5,keyasint,omitempty"`
	// MayHaveRun reports whether a moved call may have run.
	MayHaveRun bool `cbor:"6,keyasint,omitempty"`
}

// Gossip is a node's state as sent to its peers: all of it when a link is
// established, then only changes. The frame's From is the node.
type Gossip struct {
	Centre string `cbor:"2,keyasint,omitempty"`
	// Addr is the address where the node listens for links; "" in changes.
	Addr string `cbor:"3,keyasint,omitempty"`
	// Owned maps the node's shards to their epochs; nil if not reported.
	Owned map[int]uint64 `cbor:"4,keyasint,omitempty"`
	// Revision is the revision of the node's active configuration.
	Revision uint64 `cbor:"5,keyasint"`
	// Leaving reports that the node accepts no new work.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Loads holds new load reports of the endpoints that the node polls.
	Loads map[string]Load `cbor:"7,keyasint,omitempty"`
	// InFlight counts the node's running attempts, for endpoints where it changed.
	InFlight map[string]int `cbor:"8,keyasint,omitempty"`
	// Boot identifies the node's memory content; it changes when a restart loses it.
	Boot string `cbor:"9,keyasint,omitempty"`
	// Released maps the shards that the node has just released to their epochs.
	Released map[int]uint64 `cbor:"10,keyasint,omitempty"`
	// LimitUsage holds the node's use of the limits that it uses heavily.
	LimitUsage map[string]limit.Usage `cbor:"11,keyasint,omitempty"`
	// Start increases with each start of the node's process.
	Start uint64 `cbor:"12,keyasint,omitempty"`
	// Exiting reports that the node's process exits now.
	Exiting bool `cbor:"13,keyasint,omitempty"`
	// Unavailable maps the hosts that the platform's host list shows as not live to
	// their states; nil if the node does not read the list.
	Unavailable map[string]string `cbor:"14,keyasint"`
	// RefusingEndpoints are the endpoints that refuse new work because they leave.
	RefusingEndpoints []string `cbor:"15,keyasint,omitempty"`
	// Peers are the shard owners known to the node.
	Peers []Peer `cbor:"16,keyasint,omitempty"`
	// InFlightComplete reports whether InFlight lists all endpoints, not only changes.
	InFlightComplete bool `cbor:"17,keyasint,omitempty"`
	// LinkCount is the number of the node's links.
	LinkCount int `cbor:"18,keyasint,omitempty"`
}

// Peer is a node's address for links.
type Peer struct {
	Node   string `cbor:"1,keyasint"`
	Centre string `cbor:"2,keyasint,omitempty"`
	Addr   string `cbor:"3,keyasint"`
	Start  uint64 `cbor:"4,keyasint,omitempty"`
}

// Load is the compact encoding of an endpoint's load report.
type Load struct {
	Running int      `cbor:"1,keyasint,omitempty"`
	Waiting int      `cbor:"2,keyasint,omitempty"`
	Pending int      `cbor:"3,keyasint,omitempty"`
	Cached  int      `cbor:"4,keyasint,omitempty"`
	Leaving bool     `cbor:"5,keyasint,omitempty"`
	Role    string   `cbor:"6,keyasint,omitempty"`
	Models  []string `cbor:"7,keyasint,omitempty"`
	// MeasuredAt is the time of the endpoint's measurement, in microseconds since 1970.
	MeasuredAt int64 `cbor:"8,keyasint"`
}

// NewLoad returns the compact form of a report.
func NewLoad(r load.Report) Load {
	return Load{
		Running: r.Running, Waiting: r.Waiting, Pending: r.Pending, Cached: r.Cached,
		Leaving: r.Leaving, Role: r.Role, Models: r.Models, MeasuredAt: r.MeasuredAt.UnixMicro(),
	}
}

// Report undoes NewLoad.
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
	// Number is the batch's number in the shard's journal, 0 if only DropBelow is set.
	Number uint64 `cbor:"3,keyasint"`
	// Data is the encoded batch.
	Data []byte `cbor:"4,keyasint,omitempty"`
	// DropBelow allows the standby to drop batches with lower numbers.
	DropBelow uint64 `cbor:"5,keyasint,omitempty"`
	// Boot is the standby's boot that the Hold is meant for.
	Boot string `cbor:"6,keyasint"`
}

// Held answers a Hold.
type Held struct {
	Shard  int    `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	Number uint64 `cbor:"3,keyasint"`
	// SealedEpoch is the epoch that the standby accepts, if higher than the Hold's.
	SealedEpoch uint64 `cbor:"4,keyasint,omitempty"`
	// Boot is the standby's boot whose memory holds the batch.
	Boot string `cbor:"5,keyasint"`
}

// Seal asks a standby to refuse older epochs from now on and to return the batches
// that it holds.
type Seal struct {
	Shard int    `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	// Boot is the standby's boot that the Seal is meant for.
	Boot string `cbor:"3,keyasint"`
	// After requests only batches with higher numbers.
	After uint64 `cbor:"4,keyasint,omitempty"`
}

// Sealed answers a Seal.
type Sealed struct {
	Shard int    `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
	// Batches holds encoded batches in the order of their numbers.
	Batches [][]byte `cbor:"3,keyasint,omitempty"`
	// Boot is the boot that the Seal was meant for.
	Boot string `cbor:"4,keyasint"`
	// More reports whether the standby holds later batches too.
	More bool `cbor:"5,keyasint,omitempty"`
	// MemoryLost reports that the standby has lost the memory of that boot.
	MemoryLost bool `cbor:"6,keyasint,omitempty"`
	// NewerEpoch is a later epoch that has sealed the standby, 0 if none has.
	NewerEpoch uint64 `cbor:"7,keyasint,omitempty"`
}

// ConfigRequest requests a peer's configuration.
type ConfigRequest struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// Config carries a complete configuration record, compressed by Compress.
type Config struct {
	Data []byte `cbor:"1,keyasint"`
}

// Encode returns the CBOR encoding of a body.
func Encode(body any) ([]byte, error) {
	data, err := cbor.Marshal(body)
	return data, errors.Wrap(err, "frame: encoding")
}

// Decode undoes Encode; errors are marked with ErrMalformed.
func Decode(data []byte, body any) error {
	if err := cbor.Unmarshal(data, body); err != nil {
		return errors.Mark(errors.Wrap(err, "frame: decoding"), ErrMalformed)
	}
	return nil
}

// DecodeNext returns the first frame of a message and the remaining bytes. A
// message holds one or more frames.
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

// maxConfigBytes bounds an uncompressed configuration record.
const maxConfigBytes = 16 << 20

// Compress returns data compressed with DEFLATE.
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

// Decompress undoes Compress; errors for malformed or oversized data are marked
// with ErrMalformed.
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
