package model_test

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/standin/model"
	"github.com/cowslipstage/cowslipstage/state/call"
)

func TestAnswersFollowTheConversation(t *testing.T) {
	g := gomega.NewWithT(t)
	conversation := []call.Message{{Role: "system", Content: "Be brief."}, {Role: "user", Content: "code " + model.LengthMarker(7)}}
	g.Expect(model.AnswerLength(conversation, 0)).To(gomega.Equal(7))
	g.Expect(model.AnswerLength(conversation, 3)).To(gomega.Equal(3))
	tokens := model.AnswerTokens(conversation, 7)
	g.Expect(tokens).To(gomega.HaveLen(7))
	g.Expect(strings.Join(tokens, "")).To(gomega.Equal(model.Answer(conversation, 7)))
	// A shorter answer is a prefix of a longer one.
	g.Expect(model.Answer(conversation, 9)).To(gomega.HavePrefix(model.Answer(conversation, 7)))
	// The digest depends on the boundaries between messages.
	other := []call.Message{{Role: "system", Content: "Be brief.\x01user"}, {Role: "user", Content: "code"}}
	g.Expect(model.Digest(other)).NotTo(gomega.Equal(model.Digest(conversation)))
	text, system := model.Encode(conversation)
	g.Expect(system).To(gomega.Equal(len("system\x00Be brief.\x01")))
	g.Expect(model.PromptTokens(conversation)).To(gomega.Equal(len(text) / model.CharsPerToken))
}
