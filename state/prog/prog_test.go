package prog_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/prog"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// The answer of a call is kept for long, what the call said only as far as its conversation needs it.
func TestASettledCallKeepsItsAnswerOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	p := prog.New("c", "p", "s", 1000, 0)
	plain := &call.Call{Key: "k1", Kind: call.Plain, Body: []byte("a long body"), Digest: 7}
	chat := &call.Call{Key: "k2", Kind: call.Chat, Messages: []call.Message{{Role: "user", Content: "a question"}}, Digest: 8}
	for _, c := range []*call.Call{plain, chat} {
		p.Apply(&record.Record{Turn: &record.Turn{Call: c, Answer: &answer.Answer{Outcome: answer.Done, Text: "text"}, Time: time.Unix(1, 0)}})
		kept := p.Settled(c.Key)
		g.Expect(kept.Answer.Text).To(gomega.Equal("text"))
		g.Expect(kept.Call.Digest).To(gomega.Equal(c.Digest))
		g.Expect(kept.Call.Body).To(gomega.BeEmpty())
		g.Expect(kept.Call.Messages).To(gomega.BeEmpty())
	}
	g.Expect(plain.Body).NotTo(gomega.BeEmpty(), "the call itself is read-only")
	g.Expect(p.History("")).To(gomega.Equal([]call.Message{{Role: "user", Content: "a question"}, {Role: "assistant", Content: "text"}}))
}
