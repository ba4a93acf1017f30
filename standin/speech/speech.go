// Package speech (stand-in) says what the stand-in engines answer: a text that
// depends on the whole conversation, so that anyone who knows the conversation
// can check an answer.
package speech

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipstage/cowslipstage/state/call"
)

// words are what answers are made of.
var words = strings.Fields("ring post gold titanium yard gate crew code stock order size clean " +
	"deposit booking north south early late ready please thanks confirm check steel length width")

// Digest names a conversation.
func Digest(messages []call.Message) uint64 {
	d := xxhash.New()
	for _, m := range messages {
		_, _ = d.WriteString(m.Role)
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(m.Content)
		_, _ = d.WriteString("\x01")
	}
	return d.Sum64()
}

// Tokens returns the answer to a conversation as count tokens; the first one
// is the conversation's digest.
func Tokens(messages []call.Message, count int) []string {
	digest := Digest(messages)
	random := rand.New(rand.NewPCG(digest, 1))
	tokens := make([]string, 0, count)
	tokens = append(tokens, fmt.Sprintf("%016x", digest))
	for len(tokens) < count {
		tokens = append(tokens, " "+words[random.IntN(len(words))])
	}
	return tokens
}

// Answer returns the whole answer to a conversation.
func Answer(messages []call.Message, count int) string {
	return strings.Join(Tokens(messages, count), "")
}

// charsPerToken is how the stand-ins count prompt tokens.
const charsPerToken = 4

// Count returns the prompt length of a conversation, in tokens.
func Count(messages []call.Message) int {
	n := 0
	for _, m := range messages {
		n += 4 + len(m.Content)/charsPerToken
	}
	return n
}
