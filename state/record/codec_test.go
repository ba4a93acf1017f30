package record_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/record"
)

func TestSequencesCanBeJoined(t *testing.T) {
	g := NewWithT(t)
	one := []record.Record{{Ended: &record.Ended{Customer: "c", Program: "p", Reason: "idle"}}}
	two := []record.Record{{Swept: &record.Swept{Customer: "c", Program: "p"}}}
	a, err := record.Encode(one)
	g.Expect(err).NotTo(HaveOccurred())
	b, err := record.Encode(two)
	g.Expect(err).NotTo(HaveOccurred())
	all, err := record.Decode(append(a, b...))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(all).To(Equal(append(one, two...)))
}

func FuzzDecode(f *testing.F) {
	data, err := record.Encode([]record.Record{{Grant: &record.Grant{Customer: "c", Program: "p", Tokens: 7}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)-1])
	f.Add([]byte{0xbf})
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := record.Decode(data)
		if err != nil && !errors.Is(err, record.ErrMalformed) {
			t.Fatalf("error of another layer: %v", err)
		}
		for i := range records {
			_ = records[i].QualifiedProgram()
		}
	})
}
