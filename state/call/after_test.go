package call_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/call"
)

func TestAfter(t *testing.T) {
	user, reply, more := call.Message{Role: "user", Content: "a"}, call.Message{Role: "assistant", Content: "b"}, call.Message{Role: "user", Content: "c"}
	for name, c := range map[string]struct{ history, sent, rest []call.Message }{
		"no history":         {nil, []call.Message{user}, []call.Message{user}},
		"only what is new":   {[]call.Message{user, reply}, []call.Message{more}, []call.Message{more}},
		"the whole history":  {[]call.Message{user, reply}, []call.Message{user, reply, more}, []call.Message{more}},
		"another history":    {[]call.Message{user, reply}, []call.Message{user, user, more}, []call.Message{user, user, more}},
		"nothing new":        {[]call.Message{user, reply}, []call.Message{user, reply}, []call.Message{user, reply}},
		"a part of history":  {[]call.Message{user, reply}, []call.Message{user}, []call.Message{user}},
		"repeated in itself": {[]call.Message{user}, []call.Message{user, user}, []call.Message{user}},
	} {
		k := &call.Call{Key: "k", Messages: c.sent}
		NewWithT(t).Expect(k.After(c.history).Messages).To(Equal(c.rest), name)
		NewWithT(t).Expect(k.Messages).To(Equal(c.sent), "the call itself must not change")
	}
}
