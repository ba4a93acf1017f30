package vaults_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/chains"
)

var messages = []vaults.Message{
	&vaults.Begin{Version: 3, Hold: &chains.Hold{Program: "p", Turn: "t", MaxTokens: 9}, Budget: 12, Chain: "s", Load: &vaults.Load{Node: "n", Calls: map[string]int{"e": 1}}},
	&vaults.BeginReply{Status: vaults.SenderStale, Roster: &seats.Roster{Version: 4}},
	&vaults.End{Version: 3, Turn: &chains.Turn{ID: "t", Input: []byte("in"), Output: []byte("out")}},
	&vaults.EndReply{}, &vaults.Fetch{Chain: "t"}, &vaults.FetchReply{Authoritative: true}, &vaults.List{}, &vaults.ListReply{More: true},
	&vaults.Get{Turns: []string{"t"}}, &vaults.GetReply{}, &vaults.Adopt{}, &vaults.AdoptReply{}, &vaults.AwaitView{Prefix: "p"}, &vaults.AwaitViewReply{StoreReachable: true},
	&vaults.Load{Node: "n", WantOthers: true}, &vaults.LoadReply{FailingEndpoints: []string{"e"}},
}

func TestMessagesRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, m := range messages {
		data, err := vaults.Encode(m)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(vaults.Decode(data)).To(gomega.Equal(m))
	}
}

// FuzzDecode checks that Decode returns a message or ErrMalformed for any bytes
// that a connection may deliver.
func FuzzDecode(f *testing.F) {
	for _, m := range messages {
		data, err := vaults.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := gomega.NewWithT(t)
		m, err := vaults.Decode(data)
		if err != nil {
			g.Expect(errors.Is(err, vaults.ErrMalformed)).To(gomega.BeTrue())
			return
		}
		again, err := vaults.Encode(m)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(again[0]).To(gomega.Equal(data[0]))
	})
}
