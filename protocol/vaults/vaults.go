// Package vaults (protocol layer) is what gates and vaults say to each other, as
// CBOR over a WebSocket.
package vaults

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/state/spend"
)

// Message is one of the messages below.
type Message interface{ kind() uint8 }

// Status says how a vault took a message.
type Status uint8

// The ways to take a message.
const (
	// Done: what was asked is done, and on disk where that matters.
	Done Status = iota
	// SenderStale: the sender's roster is older than the vault's; nothing was done.
	SenderStale
	// VaultStale: the vault's roster is older than the sender's; nothing was done.
	VaultStale
	// Unseated: the vault has no seat, or has not caught up; it does not count
	// as a copy.
	Unseated
	// Failed: the disk refused.
	Failed
)

// Begin notes what a turn may spend before it runs, and asks for its chain.
type Begin struct {
	Version uint64 `cbor:"1,keyasint"`
	// Hold is nil for a turn without a budget.
	Hold   *chains.Hold `cbor:"2,keyasint,omitempty"`
	Budget int          `cbor:"3,keyasint,omitempty"`
	// Chain is the turn whose chain is wanted; "" wants none.
	Chain string `cbor:"4,keyasint,omitempty"`
	Load  *Load  `cbor:"5,keyasint,omitempty"`
}

// Load tells of a gate's running calls.
type Load struct {
	// Node is the gate, Calls its count of running calls by endpoint.
	Node  string         `cbor:"1,keyasint,omitempty"`
	Calls map[string]int `cbor:"2,keyasint,omitempty"`
	// Succeeded and Bad count the calls by endpoint that ended well or failed there
	// within the last second.
	Succeeded map[string]int `cbor:"4,keyasint,omitempty"`
	Failed    map[string]int `cbor:"5,keyasint,omitempty"`
	// WantOthers asks for those of all other gates.
	WantOthers bool `cbor:"3,keyasint,omitempty"`
}

// LoadReply answers Load.
type LoadReply struct {
	OtherCalls map[string]int `cbor:"1,keyasint,omitempty"`
	// FailingEndpoints are the endpoints that fail as the gates together saw it.
	FailingEndpoints []string `cbor:"2,keyasint,omitempty"`
}

// BeginReply answers Begin.
type BeginReply struct {
	Status Status        `cbor:"1,keyasint"`
	Roster *seats.Roster `cbor:"2,keyasint,omitempty"`
	// Summary is what this copy has of the program's account; Account its entries, if
	// they alone are beyond the budget.
	Summary spend.Summary          `cbor:"7,keyasint,omitempty"`
	Account map[string]spend.Entry `cbor:"3,keyasint,omitempty"`
	// Turns is the chain as far as it is here, newest first; Whole says that it
	// reaches its first turn.
	Turns         []*chains.Turn `cbor:"4,keyasint,omitempty"`
	ChainComplete bool           `cbor:"5,keyasint,omitempty"`
	// Load answers the load that was told, if that was wanted.
	Load *LoadReply `cbor:"6,keyasint,omitempty"`
}

// End notes what a turn has spent, or the whole turn.
type End struct {
	Version uint64        `cbor:"1,keyasint"`
	Turn    *chains.Turn  `cbor:"2,keyasint,omitempty"`
	Spent   *chains.Spent `cbor:"3,keyasint,omitempty"`
}

// EndReply answers End.
type EndReply struct {
	Status Status        `cbor:"1,keyasint"`
	Roster *seats.Roster `cbor:"2,keyasint,omitempty"`
}

// Fetch asks for a chain, from a vault that may have no seat any more.
type Fetch struct {
	Chain string `cbor:"1,keyasint"`
}

// FetchReply answers Fetch. Certain says that the vault counts as a copy, so that
// what it lacks was not kept there.
type FetchReply struct {
	Turns         []*chains.Turn `cbor:"1,keyasint,omitempty"`
	ChainComplete bool           `cbor:"2,keyasint,omitempty"`
	Authoritative bool           `cbor:"3,keyasint,omitempty"`
	Version       uint64         `cbor:"4,keyasint,omitempty"`
}

// List asks for records in the order in which they came, turns without texts.
type List struct {
	Cursor uint64 `cbor:"1,keyasint,omitempty"`
	// Roster is the asker's; an older one at the vault is replaced.
	Roster *seats.Roster `cbor:"2,keyasint,omitempty"`
}

// ListReply answers List.
type ListReply struct {
	Status  Status        `cbor:"1,keyasint"`
	Roster  *seats.Roster `cbor:"2,keyasint,omitempty"`
	Records [][]byte      `cbor:"3,keyasint,omitempty"`
	Turns   []string      `cbor:"4,keyasint,omitempty"`
	Next    uint64        `cbor:"5,keyasint,omitempty"`
	More    bool          `cbor:"6,keyasint,omitempty"`
	// CaughtUp says that the vault itself counts as a copy.
	CaughtUp bool `cbor:"7,keyasint,omitempty"`
}

// Get asks for turns with their texts.
type Get struct {
	Turns []string `cbor:"1,keyasint"`
}

// GetReply answers Get.
type GetReply struct {
	Turns []*chains.Turn `cbor:"1,keyasint,omitempty"`
}

// Adopt tells a vault of a roster.
type Adopt struct {
	Roster *seats.Roster `cbor:"1,keyasint"`
	// Sync asks the vault to catch up with all others before it answers.
	Sync bool `cbor:"2,keyasint,omitempty"`
	// Source is one more host to catch up from, which has no seat any more.
	Source *seats.Seat `cbor:"3,keyasint,omitempty"`
}

// AdoptReply answers Adopt.
type AdoptReply struct {
	Status   Status `cbor:"1,keyasint"`
	Version  uint64 `cbor:"2,keyasint,omitempty"`
	CaughtUp bool   `cbor:"3,keyasint,omitempty"`
}

// KeyValue is one key of the platform's key-value service as it was written. Vaults
// carry notes unread.
type KeyValue struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"`
	// Deleted says that the key was taken away.
	Deleted bool `cbor:"4,keyasint,omitempty"`
}

// View is what the service holds below a prefix as of a revision: all keys, or
// those that changed after an earlier revision.
type View struct {
	Prefix    string     `cbor:"1,keyasint"`
	Revision  int64      `cbor:"2,keyasint"`
	KeyValues []KeyValue `cbor:"3,keyasint,omitempty"`
	// After is 0 where all keys are told.
	After int64 `cbor:"4,keyasint,omitempty"`
	// AfterOutage says that the service was out of view before, so that what is gone
	// may only have lapsed.
	AfterOutage bool `cbor:"5,keyasint,omitempty"`
}

// ViewReceiver learns what the platform's key-value service holds below a prefix.
type ViewReceiver interface {
	// AppliedRevision returns the revision that is known; 0 asks for all keys.
	AppliedRevision(prefix string) int64
	// SkipPoll tells whether the store need not be asked now.
	SkipPoll(prefix string) bool
	ApplyView(v *View)
	// Lost and Regained tell of the store.
	StoreLost(prefix string, err error)
	StoreRegained(prefix string, away time.Duration)
}

// AwaitView asks for a view newer than a revision, and waits for one.
type AwaitView struct {
	Prefix string        `cbor:"1,keyasint"`
	After  int64         `cbor:"2,keyasint,omitempty"`
	Wait   time.Duration `cbor:"3,keyasint,omitempty"`
}

// AwaitViewReply answers Brief. View is nil if the vault knows nothing newer.
type AwaitViewReply struct {
	View   *View         `cbor:"1,keyasint,omitempty"`
	Roster *seats.Roster `cbor:"2,keyasint,omitempty"`
	// StoreReachable says that the vault itself hears from the service.
	StoreReachable bool `cbor:"3,keyasint,omitempty"`
}

func (*Begin) kind() uint8          { return 1 }
func (*BeginReply) kind() uint8     { return 2 }
func (*End) kind() uint8            { return 3 }
func (*EndReply) kind() uint8       { return 4 }
func (*Fetch) kind() uint8          { return 5 }
func (*FetchReply) kind() uint8     { return 6 }
func (*List) kind() uint8           { return 7 }
func (*ListReply) kind() uint8      { return 8 }
func (*Get) kind() uint8            { return 9 }
func (*GetReply) kind() uint8       { return 10 }
func (*Adopt) kind() uint8          { return 11 }
func (*AdoptReply) kind() uint8     { return 12 }
func (*AwaitView) kind() uint8      { return 13 }
func (*AwaitViewReply) kind() uint8 { return 14 }
func (*Load) kind() uint8           { return 15 }
func (*LoadReply) kind() uint8      { return 16 }

// ErrMalformed means that bytes are no message.
var ErrMalformed = errors.New("vaults: no message")

// Encode returns a message as bytes.
func Encode(m Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "vaults: encoding")
	}
	return append([]byte{m.kind()}, data...), nil
}

// Decode returns the message of bytes.
func Decode(data []byte) (Message, error) {
	if len(data) == 0 {
		return nil, errors.Wrap(ErrMalformed, "empty")
	}
	m := newMessage(data[0])
	if m == nil {
		return nil, errors.Wrapf(ErrMalformed, "kind %d", data[0])
	}
	if err := cbor.Unmarshal(data[1:], m); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "vaults: decoding"), ErrMalformed)
	}
	return m, nil
}

// newMessage returns a message of a kind to decode into, or nil.
func newMessage(kind uint8) Message {
	switch kind {
	case (*Begin)(nil).kind():
		return &Begin{}
	case (*BeginReply)(nil).kind():
		return &BeginReply{}
	case (*End)(nil).kind():
		return &End{}
	case (*EndReply)(nil).kind():
		return &EndReply{}
	case (*Fetch)(nil).kind():
		return &Fetch{}
	case (*FetchReply)(nil).kind():
		return &FetchReply{}
	case (*List)(nil).kind():
		return &List{}
	case (*ListReply)(nil).kind():
		return &ListReply{}
	case (*Get)(nil).kind():
		return &Get{}
	case (*GetReply)(nil).kind():
		return &GetReply{}
	case (*Adopt)(nil).kind():
		return &Adopt{}
	case (*AdoptReply)(nil).kind():
		return &AdoptReply{}
	case (*AwaitView)(nil).kind():
		return &AwaitView{}
	case (*AwaitViewReply)(nil).kind():
		return &AwaitViewReply{}
	case (*Load)(nil).kind():
		return &Load{}
	case (*LoadReply)(nil).kind():
		return &LoadReply{}
	}
	return nil
}
