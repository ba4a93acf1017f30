// Package model (stand-in) computes the answers of the stand-in engines. An answer
// depends on the whole conversation, so that a test that knows the conversation can
// check it.
package model

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cowslipstage/cowslipstage/state/call"
)

// vocabulary holds the words of the answers.
var vocabulary = strings.Fields("ring post gold titanium yard gate crew code stock order size clean " +
	"deposit booking north south early late ready please thanks confirm check steel length width")

// Digest returns a hash that identifies a conversation.
func Digest(messages []call.Message) uint64 {
	text, _ := Encode(messages)
	return xxhash.Sum64(text)
}

// Encode returns a conversation as one text, and the length of the system prompt at
// its beginning.
func Encode(messages []call.Message) (text []byte, system int) {
	for i, m := range messages {
		text = append(text, m.Role...)
		text = append(text, 0)
		text = append(text, m.Content...)
		text = append(text, 1)
		if i == 0 && m.Role == "system" {
			system = len(text)
		}
	}
	return text, system
}

// AnswerTokens returns the answer to a conversation as count tokens. The first one is
// the conversation's digest.
func AnswerTokens(messages []call.Message, count int) []string {
	digest := Digest(messages)
	random := rand.New(rand.NewPCG(digest, 1))
	tokens := make([]string, 0, count)
	tokens = append(tokens, fmt.Sprintf("%016x", digest))
	for len(tokens) < count {
		tokens = append(tokens, " "+vocabulary[random.IntN(len(vocabulary))])
	}
	return tokens
}

// Answer returns the whole answer to a conversation.
func Answer(messages []call.Message, count int) string {
	return strings.Join(AnswerTokens(messages, count), "")
}

// lengthPattern matches the text by which a message asks for the length of its answer.
var lengthPattern = regexp.MustCompile(`\[tokens=(\d{1,6})\]`)

// LengthMarker returns the text by which a message asks for an answer of count tokens.
func LengthMarker(count int) string { return fmt.Sprintf("[tokens=%d]", count) }

// AnswerLength returns the number of tokens of the answer to a conversation: the number
// that the last message asks for, or one derived from the digest. A positive maxTokens
// bounds it.
func AnswerLength(messages []call.Message, maxTokens int) int {
	count := 16 + int(Digest(messages)%32)
	if len(messages) > 0 {
		if m := lengthPattern.FindStringSubmatch(messages[len(messages)-1].Content); m != nil {
			count, _ = strconv.Atoi(m[1])
		}
	}
	if maxTokens > 0 {
		count = min(count, maxTokens)
	}
	return max(count, 1)
}

// CharsPerToken is the number of characters that the stand-ins count as one token.
const CharsPerToken = 4

// PromptTokens returns the prompt length of a conversation, in tokens.
func PromptTokens(messages []call.Message) int {
	n := 0
	for _, m := range messages {
		n += len(m.Role) + len(m.Content) + 2
	}
	return n / CharsPerToken
}
