package speech_test

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/standin/speech"
	"github.com/cowslipstage/cowslipstage/state/call"
)

func TestSpeech(t *testing.T) {
	g := gomega.NewWithT(t)
	talk := []call.Message{{Role: "system", Content: "Be brief."}, {Role: "user", Content: "code " + speech.Mark(7)}}
	g.Expect(speech.Length(talk, 0)).To(gomega.Equal(7))
	g.Expect(speech.Length(talk, 3)).To(gomega.Equal(3))
	tokens := speech.Tokens(talk, 7)
	g.Expect(tokens).To(gomega.HaveLen(7))
	g.Expect(strings.Join(tokens, "")).To(gomega.Equal(speech.Answer(talk, 7)))
	// A shorter answer is the beginning of a longer one.
	g.Expect(speech.Answer(talk, 9)).To(gomega.HavePrefix(speech.Answer(talk, 7)))
	// Where one message ends and the next begins matters.
	other := []call.Message{{Role: "system", Content: "Be brief.\x01user"}, {Role: "user", Content: "code"}}
	g.Expect(speech.Digest(other)).NotTo(gomega.Equal(speech.Digest(talk)))
	text, system := speech.Bytes(talk)
	g.Expect(system).To(gomega.Equal(len("system\x00Be brief.\x01")))
	g.Expect(speech.Count(talk)).To(gomega.Equal(len(text) / speech.CharsPerToken))
}
