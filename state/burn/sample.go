// Package burn (state layer) keeps how calls meet their services' objectives.
package burn

import (
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
)

// Sample is one finished call as its caller saw it.
type Sample struct {
	Customer string
	Service  string
	Program  string
	Key      string
	Outcome  answer.Outcome
	Reason   string
	// Began is when the edge took the call; Whole is the time to the complete answer.
	Began time.Time
	Whole time.Duration
	// First is the time to the first piece of text; 0 if there was none.
	First time.Duration
	// Gap is the mean time between two pieces of text; 0 with fewer than two.
	Gap time.Duration
	// Tokens are the generated tokens.
	Tokens int
}
