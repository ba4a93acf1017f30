// Package call (state layer) describes one request of an agent program.
package call

import (
	"path"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind tells which sort of endpoint a call needs.
type Kind uint8

// The kinds of call.
const (
	// Chat is a model call: it adds a turn to its agent's conversation.
	Chat Kind = iota + 1
	// Plain is an operation of a plain service: a tool call, an order, a booking.
	Plain
)

// Message is one entry of a conversation.
type Message struct {
	// Role is "system", "user", "assistant" or "tool".
	Role string `cbor:"1,keyasint" json:"role"`
	// Content is the text; it is never split between messages.
	Content string `cbor:"2,keyasint" json:"content"`
}

// Call is one request of a program. It travels between nodes and into the
// journal, so its fields are exported for the codec; treat a Call as read-only
// once it was submitted.
type Call struct {
	// Key is the caller's idempotency key; it is unique within the customer and never empty.
	Key string `cbor:"1,keyasint"`
	// Customer names who pays; limits apply to it. It never contains a slash.
	Customer string `cbor:"2,keyasint"`
	// Program is the id of the whole program, equal for all its agents.
	Program string `cbor:"3,keyasint"`
	// Agent is the path of the sub-agent within the program; "" is the root agent.
	Agent string `cbor:"4,keyasint,omitempty"`
	// Seq is the call's position within its agent, from 1; 0 leaves the order to arrival.
	Seq uint64 `cbor:"5,keyasint,omitempty"`
	// Kind selects which of the following fields are in use.
	Kind Kind `cbor:"6,keyasint"`
	// Service names the declared agent service or plain service.
	Service string `cbor:"7,keyasint"`
	// Operation names the operation of a plain service.
	Operation string `cbor:"8,keyasint,omitempty"`
	// Messages are the new messages of a model call, without the history.
	Messages []Message `cbor:"9,keyasint,omitempty"`
	// Body is the request body of a plain operation, passed on unchanged.
	Body []byte `cbor:"10,keyasint,omitempty"`
	// MaxTokens bounds the tokens generated; 0 means the service's bound.
	MaxTokens int `cbor:"11,keyasint,omitempty"`
	// Deadline is when the caller stops waiting; the zero time means the service's timeout.
	Deadline time.Time `cbor:"12,keyasint,omitempty"`
	// Tries counts the caller's attempts with this key, from 1; 0 when the caller does not say.
	Tries int `cbor:"13,keyasint,omitempty"`
	// End asks that the program end once this call is done.
	End bool `cbor:"14,keyasint,omitempty"`
	// Received is when the first node took the call.
	Received time.Time `cbor:"15,keyasint"`
	// Digest names the content as the caller sent it; the same key must come
	// with the same digest.
	Digest uint64 `cbor:"16,keyasint"`
}

// ComputeDigest returns the digest of what the caller asked for.
func (c *Call) ComputeDigest() uint64 {
	d := xxhash.New()
	for _, s := range []string{c.Service, c.Operation, c.Agent, string(c.Body)} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	for _, m := range c.Messages {
		_, _ = d.WriteString(m.Role)
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(m.Content)
		_, _ = d.WriteString("\x01")
	}
	return d.Sum64()
}

// ID is the call's identity across the system: the customer and its key.
func (c *Call) ID() string { return c.Customer + "/" + c.Key }

// QueueName names the order the call belongs to: its program and agent.
func (c *Call) QueueName() string { return c.Customer + "/" + c.Program + "/" + c.Agent }

// QualifiedProgram names the program across customers; it selects the shard.
func (c *Call) QualifiedProgram() string { return c.Customer + "/" + c.Program }

// Shard returns which of count shards keeps the call's program.
func (c *Call) Shard(count int) int { return Shard(c.Customer, c.Program, count) }

// Shard returns which of count shards keeps a customer's program.
func Shard(customer, program string, count int) int {
	return int(xxhash.Sum64String(customer+"/"+program) % uint64(count))
}

// Parent returns the agent that started agent, and false for the root agent.
func Parent(agent string) (string, bool) {
	if agent == "" {
		return "", false
	}
	up := path.Dir(agent)
	if up == "." {
		up = ""
	}
	return strings.Trim(up, "/"), true
}
