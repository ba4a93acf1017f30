package frame_test

import (
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/protocol/frame"
)

// bodies returns an empty body of every topic.
func bodies() []any {
	return []any{
		&frame.Submit{}, &frame.Ask{}, &frame.Close{}, &frame.Leave{}, &frame.Reply{}, &frame.Gossip{},
		&frame.Hold{}, &frame.Held{}, &frame.Seal{}, &frame.Sealed{}, &frame.ConfigRequest{}, &frame.Config{},
	}
}

func pack(t testing.TB, f frame.Frame) []byte {
	data, err := frame.Encode(f)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return data
}

func TestDecodeNextReturnsOneFrame(t *testing.T) {
	g := NewWithT(t)
	body, err := frame.Encode(frame.ConfigRequest{Revision: 7})
	g.Expect(err).NotTo(HaveOccurred())
	first := pack(t, frame.Frame{Topic: frame.TopicConfigRequest, From: "a", Body: body})
	second := pack(t, frame.Frame{Topic: frame.TopicConfigRequest, From: "b", Body: body})
	f, rest, err := frame.DecodeNext(append(append([]byte{}, first...), second...))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.From).To(Equal("a"))
	g.Expect(rest).To(Equal(second))
	var want frame.ConfigRequest
	g.Expect(frame.Decode(f.Body, &want)).To(Succeed())
	g.Expect(want.Revision).To(Equal(uint64(7)))
	for length := 1; length < len(first); length++ {
		_, _, err := frame.DecodeNext(first[:length])
		g.Expect(errors.Is(err, frame.ErrMalformed)).To(BeTrue(), "cut at %d", length)
	}
}

func FuzzFrame(f *testing.F) {
	for _, body := range bodies() {
		data, err := frame.Encode(body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(pack(f, frame.Frame{Topic: frame.TopicSubmit, ID: "1", From: "a", Body: data}))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for len(data) > 0 {
			one, rest, err := frame.DecodeNext(data)
			if err != nil {
				if !errors.Is(err, frame.ErrMalformed) {
					t.Fatalf("not marked as bad: %v", err)
				}
				return
			}
			if len(rest) >= len(data) {
				t.Fatal("no progress")
			}
			for _, body := range bodies() {
				_ = frame.Decode(one.Body, body)
			}
			data = rest
		}
	})
}

// TestFieldsHaveTheirOwnNumbers guards against two fields with the same number:
// the codec would silently omit both.
func TestFieldsHaveTheirOwnNumbers(t *testing.T) {
	for _, body := range append(bodies(), &frame.Frame{}) {
		kind := reflect.TypeOf(body).Elem()
		seen := map[string]string{}
		for i := range kind.NumField() {
			number, _, _ := strings.Cut(kind.Field(i).Tag.Get("cbor"), ",")
			NewWithT(t).Expect(seen).NotTo(HaveKey(number), "%s.%s", kind.Name(), kind.Field(i).Name)
			seen[number] = kind.Field(i).Name
		}
	}
}
