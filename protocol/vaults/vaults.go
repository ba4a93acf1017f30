// Package vaults (protocol layer) defines the messages between gates and vaults,
// encoded as CBOR and sent over a WebSocket.
package vaults

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/cowslipstage/cowslipstage/coordination/grant"
	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/state/blame"
	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/state/peers"
	"github.com/cowslipstage/cowslipstage/state/spend"
	"github.com/cowslipstage/cowslipstage/state/tenure"
	"github.com/cowslipstage/cowslipstage/state/usage"
)

// Message is implemented by every request and reply of the protocol.
type Message interface{ kind() uint8 }

// Status reports how a vault handled a message.
type Status uint8

// The results of handling a message.
const (
	// Done: the request is carried out, and on disk where it must be durable.
	Done Status = iota
	// SenderStale: the sender's roster is older than the vault's; nothing was done.
	SenderStale
	// VaultStale: the vault's roster is older than the sender's; nothing was done.
	VaultStale
	// Unseated: the vault has no seat or has not caught up, so it does not count
	// as a copy.
	Unseated
	// Failed: the write to disk failed.
	Failed
	// Full: the vault has no room for a further turn now; nothing was done. Gates of earlier
	// builds take it for Failed.
	Full
)

// Begin records what a turn may spend before it runs, and requests its chain.
type Begin struct {
	Version uint64 `cbor:"1,keyasint"`
	// Hold is nil for a turn without a budget.
	Hold   *chains.Hold `cbor:"2,keyasint,omitempty"`
	Budget int          `cbor:"3,keyasint,omitempty"`
	// Chain is the turn whose chain is requested, "" if none is.
	Chain string `cbor:"4,keyasint,omitempty"`
	Load  *Load  `cbor:"5,keyasint,omitempty"`
	// Owner is the customer that continues the chain, "" if the request has none. Turns of
	// other customers are answered like turns that are not stored.
	Owner string `cbor:"6,keyasint,omitempty"`
	// Session requests the home of a session of the hold's program, "" if none is wanted.
	Session string `cbor:"7,keyasint,omitempty"`
	// Size is about how long the texts are that the turn's end will have, if it is long.
	Size int `cbor:"8,keyasint,omitempty"`
}

// Home is the endpoint that ran a session's last turn, as in homes.Home.
type Home struct {
	Program   string `cbor:"1,keyasint,omitempty"`
	Session   string `cbor:"2,keyasint,omitempty"`
	Endpoint  string `cbor:"3,keyasint,omitempty"`
	StartedAt int64  `cbor:"4,keyasint,omitempty"`
	Tokens    int    `cbor:"5,keyasint,omitempty"`
}

// Load reports a gate's running and recently ended calls.
type Load struct {
	// Node is the gate, Calls its count of running calls by endpoint.
	Node  string         `cbor:"1,keyasint,omitempty"`
	Calls map[string]int `cbor:"2,keyasint,omitempty"`
	// Succeeded and Failed count the calls that ended within the last second, by
	// endpoint.
	Succeeded map[string]int `cbor:"4,keyasint,omitempty"`
	Failed    map[string]int `cbor:"5,keyasint,omitempty"`
	// WantOthers requests the counts of all other gates.
	WantOthers bool `cbor:"3,keyasint,omitempty"`
	// Leaving holds the endpoints that said that they are leaving, with the start of
	// the lifetime in Unix milliseconds, if the vault may lack some. LeavingCount is
	// how many the gate knows.
	Leaving      map[string]int64 `cbor:"6,keyasint,omitempty"`
	LeavingCount int              `cbor:"7,keyasint,omitempty"`
	// Limits is nil if the gate knows of no endpoint that named a limit.
	Limits *Limits `cbor:"8,keyasint,omitempty"`
	// Partial says that the message holds no running calls and no outcomes.
	Partial bool `cbor:"9,keyasint,omitempty"`
	// Relay is the gate's offer to connect others to endpoints; without an address it is
	// withdrawn. WantRelays requests the others' offers.
	Relay      *peers.Peer `cbor:"10,keyasint,omitempty"`
	WantRelays bool        `cbor:"11,keyasint,omitempty"`
	// Crashes holds the gate's requests that were in progress at endpoints that ended.
	Crashes []CrashReport `cbor:"12,keyasint,omitempty"`
	// Verdicts is nil if the gate knows of no request that crashed endpoints.
	// VerdictsRevision is that of the vault's verdicts that the gate has, 0 for none.
	Verdicts         *blame.Verdicts `cbor:"13,keyasint,omitempty"`
	VerdictsRevision uint64          `cbor:"14,keyasint,omitempty"`
	// Allowances is nil if no customer has a quota.
	Allowances *Allowances `cbor:"15,keyasint,omitempty"`
}

// CrashReport says that a request was in progress at an endpoint that ended some time ago.
type CrashReport struct {
	// Content identifies the request, whatever the attempt, and Target what it was sent to.
	Content string        `cbor:"1,keyasint"`
	Crash   blame.Crash   `cbor:"2,keyasint"`
	Age     time.Duration `cbor:"3,keyasint,omitempty"`
	Target  string        `cbor:"4,keyasint,omitempty"`
}

// Cap is what an endpoint said about its limit some time ago, as in caps.Cap.
type Cap struct {
	Rate      float64       `cbor:"1,keyasint,omitempty"`
	Lifted    bool          `cbor:"2,keyasint,omitempty"`
	StartedAt int64         `cbor:"3,keyasint,omitempty"`
	Age       time.Duration `cbor:"4,keyasint,omitempty"`
}

// Limits reports what a gate knows and does about limits that endpoints named.
type Limits struct {
	// Sent counts the gate's recent requests by limited endpoint.
	Sent map[string]int `cbor:"1,keyasint,omitempty"`
	// Heard holds what the gate heard from endpoints itself.
	Heard map[string]Cap `cbor:"2,keyasint,omitempty"`
	// WantOthers requests what the other gates reported.
	WantOthers bool `cbor:"3,keyasint,omitempty"`
}

// LimitsReply answers Limits.
type LimitsReply struct {
	// OtherGates is how many other gates there are. OtherSent counts their recent
	// requests by limited endpoint.
	OtherGates int            `cbor:"1,keyasint,omitempty"`
	OtherSent  map[string]int `cbor:"2,keyasint,omitempty"`
	// Ranks holds the gate's place among all gates by limited endpoint, as in quota.Rank.
	Ranks map[string]int `cbor:"4,keyasint,omitempty"`
	// Heard is the newest that any gate heard from an endpoint.
	Heard map[string]Cap `cbor:"3,keyasint,omitempty"`
}

// Allowances reports what a gate passed by customer, of those that have a quota.
type Allowances struct {
	// Lifetime is the start of the gate's process in Unix milliseconds.
	Lifetime int64                  `cbor:"1,keyasint,omitempty"`
	Counts   map[string]usage.Count `cbor:"2,keyasint,omitempty"`
	// WantView requests what all gates passed for these customers, and WantNear for those
	// near their quota as well.
	WantView bool `cbor:"3,keyasint,omitempty"`
	WantNear bool `cbor:"4,keyasint,omitempty"`
	// Ends says that the gate passes no further requests.
	Ends bool `cbor:"5,keyasint,omitempty"`
	// Question asks for requests of Customer, nil for none. WantView and Counts are set for
	// that customer.
	Customer string          `cbor:"6,keyasint,omitempty"`
	Question *grant.Question `cbor:"7,keyasint,omitempty"`
}

// AllowancesReply answers Allowances, as in allot.View.
type AllowancesReply struct {
	// Gates and Missing are set in every answer, the rest if the gate wants a view.
	Gates   int              `cbor:"1,keyasint,omitempty"`
	Missing int              `cbor:"2,keyasint,omitempty"`
	Phase   time.Duration    `cbor:"3,keyasint,omitempty"`
	Passed  map[string][]int `cbor:"4,keyasint,omitempty"`
	// Answer is nil unless the gate asked a question.
	Answer *grant.Answer `cbor:"5,keyasint,omitempty"`
	// Unsettled says that the vault may lack what passed before it started.
	Unsettled bool `cbor:"6,keyasint,omitempty"`
}

// LoadReply answers Load.
type LoadReply struct {
	// OtherCalls counts the running calls of all other gates by endpoint.
	OtherCalls map[string]int `cbor:"1,keyasint,omitempty"`
	// FailingEndpoints are the endpoints that fail by the counts of all gates together.
	FailingEndpoints []string `cbor:"2,keyasint,omitempty"`
	// Leaving holds the endpoints that said to any gate that they are leaving, as in
	// Load, unless the gate knows as many. LeavingCount is how many the vault knows.
	Leaving      map[string]int64 `cbor:"3,keyasint,omitempty"`
	LeavingCount int              `cbor:"4,keyasint,omitempty"`
	// Limited says that some endpoint named a limit. Limits answers Load.Limits.
	Limited bool         `cbor:"5,keyasint,omitempty"`
	Limits  *LimitsReply `cbor:"6,keyasint,omitempty"`
	// Relays holds the other gates' offers if Load.WantRelays is set.
	Relays []peers.Peer `cbor:"7,keyasint,omitempty"`
	// Verdicts is nil unless the gate lacks this revision of them and there are any.
	Verdicts         *blame.Verdicts `cbor:"8,keyasint,omitempty"`
	VerdictsRevision uint64          `cbor:"9,keyasint,omitempty"`
	// Allowances answers Load.Allowances.
	Allowances *AllowancesReply `cbor:"10,keyasint,omitempty"`
}

// BeginReply answers Begin.
type BeginReply struct {
	Status Status        `cbor:"1,keyasint"`
	Roster *seats.Roster `cbor:"2,keyasint,omitempty"`
	// Summary sums up this copy of the program's account. Account holds the
	// entries if they alone exceed the budget.
	Summary spend.Summary          `cbor:"7,keyasint,omitempty"`
	Account map[string]spend.Entry `cbor:"3,keyasint,omitempty"`
	// Turns is the part of the chain that this vault has, newest first.
	// ChainComplete reports whether it reaches the chain's first turn.
	Turns         []*chains.Turn `cbor:"4,keyasint,omitempty"`
	ChainComplete bool           `cbor:"5,keyasint,omitempty"`
	// LoadReply answers Begin.Load if that set WantOthers.
	LoadReply *LoadReply `cbor:"6,keyasint,omitempty"`
	// Home answers Begin.Session; nil if none is known.
	Home *Home `cbor:"8,keyasint,omitempty"`
	// Age is how long ago the program's account was opened, 0 if that was just now.
	Age time.Duration `cbor:"9,keyasint,omitempty"`
}

// End records what a turn has spent, or the complete turn.
type End struct {
	Version uint64        `cbor:"1,keyasint"`
	Turn    *chains.Turn  `cbor:"2,keyasint,omitempty"`
	Spent   *chains.Spent `cbor:"3,keyasint,omitempty"`
	// Home is where the turn ran, nil if that need not be remembered.
	Home *Home `cbor:"4,keyasint,omitempty"`
}

// EndReply answers End.
type EndReply struct {
	Status Status        `cbor:"1,keyasint"`
	Roster *seats.Roster `cbor:"2,keyasint,omitempty"`
}

// Fetch requests a chain. It may go to a vault that no longer has a seat.
type Fetch struct {
	Chain string `cbor:"1,keyasint"`
	// Owner is the customer that may continue the chain, as in Begin.
	Owner string `cbor:"2,keyasint,omitempty"`
}

// FetchReply answers Fetch. Authoritative reports whether the vault counts as a
// copy: a turn that it lacks was then never stored there.
type FetchReply struct {
	Turns         []*chains.Turn `cbor:"1,keyasint,omitempty"`
	ChainComplete bool           `cbor:"2,keyasint,omitempty"`
	Authoritative bool           `cbor:"3,keyasint,omitempty"`
	Version       uint64         `cbor:"4,keyasint,omitempty"`
}

// List requests records in the order of their arrival, turns without their texts.
type List struct {
	Cursor uint64 `cbor:"1,keyasint,omitempty"`
	// Roster is the sender's roster; it replaces an older one at the vault.
	Roster *seats.Roster `cbor:"2,keyasint,omitempty"`
	// Packs says that the sender reads ListReply.Packed.
	Packs bool `cbor:"3,keyasint,omitempty"`
}

// ListReply answers List.
type ListReply struct {
	Status  Status        `cbor:"1,keyasint"`
	Roster  *seats.Roster `cbor:"2,keyasint,omitempty"`
	Records [][]byte      `cbor:"3,keyasint,omitempty"`
	Turns   []string      `cbor:"4,keyasint,omitempty"`
	Next    uint64        `cbor:"5,keyasint,omitempty"`
	More    bool          `cbor:"6,keyasint,omitempty"`
	// CaughtUp reports whether the vault itself counts as a copy. Fresh reports that
	// it took a free seat and has never counted in it.
	CaughtUp bool `cbor:"7,keyasint,omitempty"`
	Fresh    bool `cbor:"8,keyasint,omitempty"`
	// Owners holds the owner of each of Turns, up to the last that has one.
	Owners []string `cbor:"9,keyasint,omitempty"`
	// Packed holds Records in CBOR, compressed as in package pack. Either is empty.
	Packed []byte `cbor:"10,keyasint,omitempty"`
	// Tenure says which seats the vault has had with its disk.
	Tenure tenure.Tenure `cbor:"11,keyasint,omitempty"`
	// Started is when the vault's process started, in Unix ns. Pages of two processes are
	// not one listing.
	Started int64 `cbor:"12,keyasint,omitempty"`
}

// Get requests turns with their texts, or how long chains and accounts are kept.
type Get struct {
	Turns []string `cbor:"1,keyasint"`
	// Roots and Accounts are as in chains.Names. Version is that of the sender's roster.
	Roots    []string `cbor:"2,keyasint,omitempty"`
	Version  uint64   `cbor:"3,keyasint,omitempty"`
	Accounts []string `cbor:"4,keyasint,omitempty"`
}

// GetReply answers Get.
type GetReply struct {
	Turns []*chains.Turn `cbor:"1,keyasint,omitempty"`
	// Status says whether the vault counts as a copy under the sender's roster. RootsLeft and
	// AccountsLeft answer Get.Roots and Get.Accounts as in chains.Left.
	Status       Status          `cbor:"2,keyasint,omitempty"`
	RootsLeft    []time.Duration `cbor:"3,keyasint,omitempty"`
	AccountsLeft []time.Duration `cbor:"4,keyasint,omitempty"`
	// Started is as in ListReply. A turn that is not here has expired only if the process is
	// the one that listed it.
	Started int64 `cbor:"5,keyasint,omitempty"`
}

// Adopt sends a roster to a vault.
type Adopt struct {
	Roster *seats.Roster `cbor:"1,keyasint"`
	// Sync makes the vault catch up with all others before it answers.
	Sync bool `cbor:"2,keyasint,omitempty"`
	// Source is a further host to catch up from, which no longer has a seat.
	Source *seats.Seat `cbor:"3,keyasint,omitempty"`
}

// AdoptReply answers Adopt.
type AdoptReply struct {
	Status   Status `cbor:"1,keyasint"`
	Version  uint64 `cbor:"2,keyasint,omitempty"`
	CaughtUp bool   `cbor:"3,keyasint,omitempty"`
}

// KeyValue is one key of the platform's key-value service as it was written.
// Vaults pass it on without decoding the value.
type KeyValue struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"`
	// Deleted reports whether the key was deleted.
	Deleted bool `cbor:"4,keyasint,omitempty"`
}

// View is the content of the key-value service below a prefix as of a revision:
// all keys, or those that changed after an earlier revision.
type View struct {
	Prefix    string     `cbor:"1,keyasint"`
	Revision  int64      `cbor:"2,keyasint"`
	KeyValues []KeyValue `cbor:"3,keyasint,omitempty"`
	// After is the earlier revision, 0 if the view holds all keys.
	After int64 `cbor:"4,keyasint,omitempty"`
	// AfterOutage reports whether the service was unreachable before this view, so
	// that missing keys may only have expired in the meantime.
	AfterOutage bool `cbor:"5,keyasint,omitempty"`
}

// ViewReceiver receives the content of the platform's key-value service below a
// prefix.
type ViewReceiver interface {
	// AppliedRevision returns the last revision applied; 0 requests all keys.
	AppliedRevision(prefix string) int64
	// SkipPoll reports whether the service need not be polled now.
	SkipPoll(prefix string) bool
	ApplyView(v *View)
	// Confirm reports that the views applied so far are all that the service held below
	// the prefix at asOf.
	Confirm(prefix string, asOf time.Time)
	// StoreLost reports that the service became unreachable, StoreRegained that it
	// is reachable again after the given time.
	StoreLost(prefix string, err error)
	StoreRegained(prefix string, outage time.Duration)
}

// AwaitView requests a view newer than a revision and waits for one.
type AwaitView struct {
	Prefix string        `cbor:"1,keyasint"`
	After  int64         `cbor:"2,keyasint,omitempty"`
	Wait   time.Duration `cbor:"3,keyasint,omitempty"`
	// Roster is the version of the sender's roster. An older one is answered with the
	// newer roster.
	Roster uint64 `cbor:"4,keyasint,omitempty"`
	// Packs says that the sender reads AwaitViewReply.Packed.
	Packs bool `cbor:"5,keyasint,omitempty"`
	// Brief requests only the revision of a newer view. The sender gets the view from
	// another vault.
	Brief bool `cbor:"6,keyasint,omitempty"`
}

// AwaitViewReply answers AwaitView. View and Packed are empty if the vault has nothing newer.
type AwaitViewReply struct {
	View   *View         `cbor:"1,keyasint,omitempty"`
	Roster *seats.Roster `cbor:"2,keyasint,omitempty"`
	// StoreReachable reports whether the vault itself reaches the service.
	StoreReachable bool `cbor:"3,keyasint,omitempty"`
	// Age is how long before this answer the service confirmed the vault's view. It is set
	// only when the wait has ended without a view; 0 says nothing.
	Age time.Duration `cbor:"4,keyasint,omitempty"`
	// Packed holds the view in CBOR, compressed as in package pack, instead of View.
	Packed []byte `cbor:"5,keyasint,omitempty"`
	// Revision is that of a newer view, 0 unless AwaitView.Brief was set and there is one.
	Revision int64 `cbor:"6,keyasint,omitempty"`
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

// ErrMalformed means that bytes do not decode to a message.
var ErrMalformed = errors.New("vaults: malformed message")

// Prepared is a message that has been encoded, to be sent several times.
type Prepared struct {
	Message
	data []byte
}

// Prepare encodes a message.
func Prepare(m Message) (*Prepared, error) {
	data, err := Encode(m)
	return &Prepared{m, data}, err
}

// encoding appends to a buffer, so that long texts are copied once.
var encoding = func() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err) // the default options are valid
	}
	return mode
}()

// fieldBytes is about how much a message takes beside its texts.
const fieldBytes = 512

// Encode returns the message's kind byte followed by its CBOR encoding.
func Encode(m Message) ([]byte, error) {
	if p, ok := m.(*Prepared); ok {
		return p.data, nil
	}
	var buffer bytes.Buffer
	if n := textBytes(m); n > 0 {
		buffer.Grow(n + fieldBytes)
	}
	buffer.WriteByte(m.kind())
	if err := encoding.MarshalToBuffer(m, &buffer); err != nil {
		return nil, errors.Wrap(err, "vaults: encoding")
	}
	return buffer.Bytes(), nil
}

// textBytes returns the length of the texts in a message.
func textBytes(m Message) int {
	var turns []*chains.Turn
	switch m := m.(type) {
	case *End:
		turns = append(turns, m.Turn)
	case *BeginReply:
		turns = m.Turns
	case *FetchReply:
		turns = m.Turns
	case *GetReply:
		turns = m.Turns
	}
	n := 0
	for _, t := range turns {
		if t != nil {
			n += len(t.Input) + len(t.Output) + len(t.ID) + len(t.Previous)
		}
	}
	return n
}

// Kind returns the kind of a message, the first byte of its encoding.
func Kind(m Message) uint8 { return m.kind() }

// Decline returns the answer to a message of a kind of which nothing was done, so that its sender asks
// another vault at once. It is nil for messages whose senders notice by their timeouts.
func Decline(kind uint8) Message {
	switch newMessage(kind).(type) {
	case *Begin:
		return &BeginReply{Status: Failed}
	case *End:
		return &EndReply{Status: Failed}
	}
	return nil
}

// Decode undoes Encode; errors are marked with ErrMalformed.
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

// newMessage returns an empty message of a kind, or nil for an unknown kind.
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
