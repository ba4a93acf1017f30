package caller_test

import (
	"runtime"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/protocol/caller"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
)

func TestParseChat(t *testing.T) {
	g := NewWithT(t)
	c, err := caller.ParseChat([]byte(`{"model":"gate","temperature":0.2,"stream":true,"max_completion_tokens":9,
		"messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]},
		{"role":"assistant","content":null,"tool_calls":[]},{"role":"user","content":"c"}]}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c).To(Equal(&caller.Chat{Model: "gate", Stream: true, MaxTokens: 9, Messages: []call.Message{
		{Role: "user", Content: "ab"}, {Role: "assistant"}, {Role: "user", Content: "c"},
	}}))
}

func TestParseChatNamesTheField(t *testing.T) {
	for body, message := range map[string]string{
		`{`:                            "body: not valid JSON: unexpected end of JSON input",
		`[]`:                           "body: : a JSON array is not allowed here",
		`{"model":1}`:                  "body: model: a JSON number is not allowed here",
		`{"model":"a/"}`:               "model: must name a service in up to 128 printable characters",
		`{"model":"a"}`:                "messages: must be from 1 to 4096",
		`{"model":"a","max_tokens":0}`: "max_tokens: must be from 1 to 1048576",
		`{"model":"a","messages":[{"role":"boss","content":"x"}]}`:                                    "messages[0].role: must be system, user, assistant or tool",
		`{"model":"a","messages":[{"role":"user","content":1}]}`:                                      "messages[0].content: must be text or a list of text parts",
		`{"model":"a","messages":[{"role":"user","content":[{"type":"text"},{"type":"image_url"}]}]}`: "messages[0].content[1].type: must be text",
		`{"model":"a","n":2,"messages":[{"role":"user","content":"x"}]}`:                              "n: only 1 answer is given",
	} {
		_, err := caller.ParseChat([]byte(body))
		NewWithT(t).Expect(err).To(MatchError(message), body)
		NewWithT(t).Expect(errors.Is(err, caller.ErrBadRequest)).To(BeTrue())
	}
}

// An empty message takes three bytes of a body and some forty once it is decoded, so their number is checked
// before.
func TestManyMessagesAreNotDecoded(t *testing.T) {
	const size = 4 << 20
	list := "[{}" + strings.Repeat(",{}", size/3) + "]"
	for body, message := range map[string]string{
		`{"model":"a","messages":` + list + `}`:                                                                "messages: must be from 1 to 4096",
		`{"model":"a","messages":` + list + `,"messages":[{"role":"user"}]}`:                                   "messages: must be from 1 to 4096",
		`{"model":"a","messages":[{"role":"user","content":` + list + `}]}`:                                    "messages[0].content: must have at most 4096 parts",
		`{"model":"a","messages":[{"role":1}` + strings.Repeat(`,{"role":"user","content":",,[{"}`, 10) + `]}`: "body: messages.role: a JSON number is not allowed here",
	} {
		g := NewWithT(t)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := caller.ParseChat([]byte(body))
		runtime.ReadMemStats(&after)
		g.Expect(err).To(MatchError(message))
		g.Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<", 4*size), message)
	}
	most := `[{"role":"user","content":"x"}` + strings.Repeat(`,{"role":"user","content":"x"}`, caller.MaxMessages-1) + "]"
	c, err := caller.ParseChat([]byte(`{"model":"a","messages":` + most + `}`))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	NewWithT(t).Expect(c.Messages).To(HaveLen(caller.MaxMessages))
}

func TestFinishReason(t *testing.T) {
	g := NewWithT(t)
	a := &answer.Answer{Outcome: answer.Done, Usage: answer.Usage{Output: 4}}
	g.Expect(string(caller.EncodeCompletion("k", "m", a, 4, 1, false))).To(ContainSubstring(`"finish_reason":"length"`))
	g.Expect(string(caller.EncodeCompletion("k", "m", a, 5, 1, false))).To(ContainSubstring(`"finish_reason":"stop"`))
}

func FuzzChat(f *testing.F) {
	f.Add([]byte(`{"model":"gate","messages":[{"role":"user","content":"hi"}],"stream":true}`))
	f.Add([]byte(`{"model":"gate","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"metadata":{"program":"p"}}`))
	f.Add([]byte(`{"model":"gate","messages":[{"role":"tool","content":null}],"max_tokens":-1}`))
	f.Add([]byte(`{"model":{},"messages":{}}`))
	f.Add([]byte("{\"model\":\"\xff\"}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := caller.ParseChat(data)
		if err != nil {
			if !errors.Is(err, caller.ErrBadRequest) || strings.Contains(err.Error(), "Go struct") {
				t.Fatal(err)
			}
			return
		}
		for _, m := range c.Messages {
			if m.Role == "" || !utf8.ValidString(m.Content) {
				t.Fatalf("%q", m)
			}
		}
	})
}
