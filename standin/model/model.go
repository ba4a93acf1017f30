// Package speech (stand-in) says what the stand-in engines answer: a text that
// depends on the whole conversation, so that anyone who knows the conversation
// can check an answer.
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

// vocabulary are what answers are made of.
var vocabulary = strings.Fields("ring post gold titanium yard gate crew code stock order size clean " +
	"deposit booking north south early late ready please thanks confirm check steel length width")

// Digest names a conversation.
func Digest(messages []call.Message) uint64 {
	text, _ := Encode(messages)
	return xxhash.Sum64(text)
}

// Encode returns a conversation as one text, and how much of its beginning is
// the system prompt.
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

// AnswerTokens returns the answer to a conversation as count tokens; the first one
// is the conversation's digest.
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

// lengthPattern is how a message asks for the length of its answer.
var lengthPattern = regexp.MustCompile(`\[tokens=(\d{1,6})\]`)

// LengthMarker returns the text by which a message asks for an answer of count tokens.
func LengthMarker(count int) string { return fmt.Sprintf("[tokens=%d]", count) }

// AnswerLength returns how many tokens the answer to a conversation has: what its
// last message asks for, within the bound.
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

// CharsPerToken is how the stand-ins count prompt tokens.
const CharsPerToken = 4

// PromptTokens returns the prompt length of a conversation, in tokens.
func PromptTokens(messages []call.Message) int {
	n := 0
	for _, m := range messages {
		n += len(m.Role) + len(m.Content) + 2
	}
	return n / CharsPerToken
}
