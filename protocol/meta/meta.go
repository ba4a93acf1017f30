// Package meta (protocol layer) defines the metadata that callers, this system
// and endpoints exchange with a request, independent of header names.
package meta

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHeader means that a header's value is malformed.
var ErrHeader = errors.New("talk: unusable header")

// Request is the metadata that a caller sends with a request.
type Request struct {
	// ID identifies the caller's attempt; every attempt has its own.
	ID string
	// TimeLeft is how long the caller waits, 0 if not given.
	TimeLeft time.Duration
	// Program and Session identify the program and its conversation.
	Program string
	Session string
	// ProgramTimeLeft is the time within which the program should end, if
	// HasProgramTimeLeft is set; 0 if that time is over.
	ProgramTimeLeft    time.Duration
	HasProgramTimeLeft bool
	// Budget bounds the program's tokens, -1 if not given.
	Budget int
	// PromptTokens is the length of the prompt. MaxOutputTokens bounds the tokens
	// generated.
	PromptTokens    int
	MaxOutputTokens int
	// Prefix identifies the first part of the prompt, which other requests share, ""
	// if not given. PrefixTokens is its length.
	Prefix       string
	PrefixTokens int
	// Key is the caller's credential, "" if not given. It must not be logged or passed on.
	Key string
	// Previous is the ID of the turn that this one continues.
	Previous string
}

// Forwarded is the metadata that this system adds for the endpoint.
type Forwarded struct {
	// Endpoint is the intended endpoint; any other refuses the request.
	Endpoint string
	// TimeLeft is how long the endpoint may work, 0 for no bound.
	TimeLeft time.Duration
	// Customer is the name of the caller's customer, "" if there is none.
	Customer string
}

// Answer is the metadata that an endpoint sends with its answer.
type Answer struct {
	// ID is the ID of the answered request, "" if not given.
	ID string
	// NotRun reports that the request has not run and will not run.
	NotRun bool
	// Moved reports that another endpoint has the address now.
	Moved bool
	// Leaving reports that the endpoint ends soon and gets no new work.
	Leaving bool
	// Limit is the number of requests a second that the endpoint takes from all gates
	// together, if HasLimit is set.
	Limit    float64
	HasLimit bool
	// BadLimit reports that a limit is named that cannot be read.
	BadLimit bool
}

// Dialect reads and writes the headers of one platform.
type Dialect interface {
	// ParseRequest reads a caller's headers; ErrHeader marks unusable ones.
	ParseRequest(h http.Header) (Request, error)
	// Forward rewrites a caller's headers for the endpoint.
	Forward(h http.Header, f Forwarded)
	// ParseAnswer reads an endpoint's status and headers.
	ParseAnswer(status int, h http.Header) Answer
	// RetryHeader returns the name of the header that tells callers when to retry.
	RetryHeader() string
	// ReadyPath returns the path of the load balancer's readiness check.
	ReadyPath() string
}
