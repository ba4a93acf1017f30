// Package meta (protocol layer) says what callers, this system and endpoints
// tell each other around a request, whatever the headers are called.
package meta

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrHeader means that a header holds no usable value.
var ErrHeader = errors.New("talk: unusable header")

// Request is what a caller says of a request.
type Request struct {
	// ID names the attempt; each attempt has its own.
	ID string
	// TimeLeft is how long the caller waits; 0 when not said.
	TimeLeft time.Duration
	// Program and Session name the program and its line of turns.
	Program string
	Session string
	// ProgramTimeLeft is the time in which the whole program should end; 0 when not said.
	ProgramTimeLeft time.Duration
	// Budget bounds the tokens that the program may be given; -1 when not said.
	Budget int
	// PromptTokens and Most are the tokens read and the most that are generated.
	PromptTokens    int
	MaxOutputTokens int
	// Prefix names the first part of the prompt, which other requests share, and
	// HeadTokens is its length; "" when not said.
	Prefix       string
	PrefixTokens int
	// Previous is the ID of the turn that this one goes on from.
	Previous string
}

// Forwarded is what this system tells the endpoint beside what the caller said.
type Forwarded struct {
	// Endpoint is the one meant; another one refuses.
	Endpoint string
	// TimeLeft is how long the endpoint may work; 0 says nothing.
	TimeLeft time.Duration
}

// Answer is what an endpoint says around its answer.
type Answer struct {
	// ID is that of the request that is answered; "" when not said.
	ID string
	// NotRun says that the request has not run and will not.
	NotRun bool
	// Moved says that another endpoint has the address now.
	Moved bool
}

// Dialect reads and writes the headers of one platform.
type Dialect interface {
	// ParseRequest reads a caller's headers; ErrHeader marks unusable ones.
	ParseRequest(h http.Header) (Request, error)
	// Forward turns a caller's headers into those for the endpoint.
	Forward(h http.Header, s Forwarded)
	// ParseAnswer reads an endpoint's status and headers.
	ParseAnswer(status int, h http.Header) Answer
	// RetryHeader names the header by which callers learn when to come again.
	RetryHeader() string
	// ReadyPath is the path of the balancer's question.
	ReadyPath() string
}
