// Package record (state layer) holds the journal's entries: the facts about
// programs that a successor needs.
package record

import (
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
)

// Record is one journal entry. Exactly one field is set: the struct is the
// codec's form of a sum type.
type Record struct {
	Opened  *Opened  `cbor:"1,keyasint,omitempty"`
	Grant   *Grant   `cbor:"2,keyasint,omitempty"`
	Intent  *Intent  `cbor:"3,keyasint,omitempty"`
	Turn    *Turn    `cbor:"4,keyasint,omitempty"`
	Ended   *Ended   `cbor:"5,keyasint,omitempty"`
	Swept   *Swept   `cbor:"6,keyasint,omitempty"`
	Forfeit *Forfeit `cbor:"7,keyasint,omitempty"`
}

// Forfeit counts a program's outstanding grant as spent: the owner that held
// it is gone, and nobody knows which part of it was used.
type Forfeit struct {
	Customer string `cbor:"1,keyasint"`
	Program  string `cbor:"2,keyasint"`
}

// Opened begins a program.
type Opened struct {
	Customer string `cbor:"1,keyasint"`
	Program  string `cbor:"2,keyasint"`
	// Service is the root agent's service; it sets budget and turn cap.
	Service string    `cbor:"3,keyasint"`
	Time    time.Time `cbor:"4,keyasint"`
	// Tokens and Money are the program's budget; 0 means no bound.
	Tokens int64 `cbor:"5,keyasint,omitempty"`
	Money  int64 `cbor:"6,keyasint,omitempty"`
}

// Grant raises what may be spent by calls that are not settled yet. A
// successor counts the whole outstanding grant as spent.
type Grant struct {
	Customer string `cbor:"1,keyasint"`
	Program  string `cbor:"2,keyasint"`
	// Tokens and Money are the new outstanding totals, not differences.
	Tokens int64 `cbor:"3,keyasint"`
	Money  int64 `cbor:"4,keyasint"`
}

// Intent says that a non-idempotent call is about to be dispatched. Only the
// process that wrote the intent may dispatch it, once.
type Intent struct {
	Call *call.Call `cbor:"1,keyasint"`
	// Endpoint is the only endpoint that may receive the call.
	Endpoint string `cbor:"2,keyasint"`
	// Epoch is the fencing number that the dispatch carries.
	Epoch uint64 `cbor:"3,keyasint"`
}

// Turn settles a call: its answer is final.
type Turn struct {
	Call   *call.Call     `cbor:"1,keyasint"`
	Answer *answer.Answer `cbor:"2,keyasint"`
	// Tokens and Money are the outstanding grant after this turn.
	Tokens int64     `cbor:"3,keyasint"`
	Money  int64     `cbor:"4,keyasint"`
	Time   time.Time `cbor:"5,keyasint"`
	// LostTokens and Lost are the tokens and the money that attempts without an
	// answer may have spent.
	LostTokens int64 `cbor:"6,keyasint,omitempty"`
	LostMoney  int64 `cbor:"7,keyasint,omitempty"`
	// Retryable says that the key may be tried again.
	Retryable bool `cbor:"8,keyasint,omitempty"`
	// NonIdempotent marks a call that had an Intent, when a snapshot has dropped the Intent.
	NonIdempotent bool `cbor:"9,keyasint,omitempty"`
}

// Ended closes a program; its engine memory is to be released.
type Ended struct {
	Customer string `cbor:"1,keyasint"`
	Program  string `cbor:"2,keyasint"`
	// Reason is "caller", "idle", "turns" or "budget".
	Reason string    `cbor:"3,keyasint"`
	Time   time.Time `cbor:"4,keyasint"`
}

// Swept says that every endpoint has confirmed the release of a program's memory.
type Swept struct {
	Customer string `cbor:"1,keyasint"`
	Program  string `cbor:"2,keyasint"`
}

// QualifiedProgram returns the program that the record is about, as "customer/program";
// "" for records about the whole shard.
func (r *Record) QualifiedProgram() string {
	switch {
	case r.Opened != nil:
		return r.Opened.Customer + "/" + r.Opened.Program
	case r.Grant != nil:
		return r.Grant.Customer + "/" + r.Grant.Program
	case r.Intent != nil:
		return r.Intent.Call.QualifiedProgram()
	case r.Turn != nil:
		return r.Turn.Call.QualifiedProgram()
	case r.Ended != nil:
		return r.Ended.Customer + "/" + r.Ended.Program
	case r.Swept != nil:
		return r.Swept.Customer + "/" + r.Swept.Program
	case r.Forfeit != nil:
		return r.Forfeit.Customer + "/" + r.Forfeit.Program
	}
	return ""
}
