// Package answer (state layer) defines the final result that a caller gets for a call.
package answer

import "time"

// Outcome says whether a call ran.
type Outcome string

// Outcomes of a call.
const (
	// Done means that the call ran and the answer is complete.
	Done Outcome = "done"
	// NotRun means that the call did not run and will not run for this request.
	NotRun Outcome = "notrun"
	// Unknown means that the call may have run; it will not be run again.
	Unknown Outcome = "unknown"
)

// Usage counts the tokens of one model call.
type Usage struct {
	// Prompt counts the tokens of the whole prompt, cached ones included.
	Prompt int `cbor:"1,keyasint" json:"prompt_tokens"`
	// Cached counts the prompt tokens that the engine found in its cache; at most Prompt.
	Cached int `cbor:"2,keyasint" json:"cached_tokens"`
	// Output counts the generated tokens.
	Output int `cbor:"3,keyasint" json:"completion_tokens"`
	// Money is the price of a plain operation, in the smallest currency unit.
	Money int64 `cbor:"4,keyasint" json:"money"`
}

// Answer is the final result of a call. An Answer is immutable.
type Answer struct {
	// Outcome is never empty.
	Outcome Outcome `cbor:"1,keyasint"`
	// Reason is a short machine-readable word when Outcome is not Done, such as "budget".
	Reason string `cbor:"2,keyasint,omitempty"`
	// Detail is the human-readable explanation of Reason.
	Detail string `cbor:"3,keyasint,omitempty"`
	// Text is the whole generated text of a model call.
	Text string `cbor:"4,keyasint,omitempty"`
	// Body is the whole response body of a plain operation.
	Body []byte `cbor:"5,keyasint,omitempty"`
	// Status is the endpoint's HTTP status for a plain operation; 0 when there was none.
	Status int `cbor:"6,keyasint,omitempty"`
	// Usage is what the call consumed, even if it did not finish.
	Usage Usage `cbor:"7,keyasint"`
	// RetryAfter is how long to wait before asking again; 0 if a retry makes no sense.
	RetryAfter time.Duration `cbor:"8,keyasint,omitempty"`
	// Endpoint names the endpoint that ran the call.
	Endpoint string `cbor:"9,keyasint,omitempty"`
}
