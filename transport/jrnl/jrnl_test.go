package jrnl_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/coordination/hold"
	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/standin/keyval"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/record"
	"github.com/cowslipstage/cowslipstage/state/snap"
	"github.com/cowslipstage/cowslipstage/transport/jrnl"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

func TestJrnl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jrnl")
}

// standbys simulates standby nodes in memory; messages reach them immediately.
type standbys struct {
	mu   sync.Mutex
	logs map[claim.Standby]*hold.Log
	// unreachable standbys receive nothing; restarted ones lost their batches.
	unreachable, restarted map[claim.Standby]bool
	journals               []*jrnl.Journal
}

func testStandbys() []claim.Standby {
	return []claim.Standby{{Node: "x", Boot: "1"}, {Node: "y", Boot: "1"}, {Node: "z", Boot: "1"}}
}

func newStandbys() *standbys {
	s := &standbys{logs: map[claim.Standby]*hold.Log{}, unreachable: map[claim.Standby]bool{}, restarted: map[claim.Standby]bool{}}
	for _, t := range testStandbys() {
		s.logs[t] = hold.New()
	}
	return s
}

func (s *standbys) SendHold(to claim.Standby, h frame.Hold) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable[to] || s.restarted[to] {
		return
	}
	b := hold.Batch{Number: h.Number, Epoch: h.Epoch}
	if len(h.Data) > 0 {
		must(cbor.Unmarshal(h.Data, &b))
	}
	reply := frame.Held{Shard: h.Shard, Epoch: h.Epoch, Number: h.Number, Boot: to.Boot}
	if !s.logs[to].Hold(b, h.DropBelow) {
		reply.SealedEpoch = s.logs[to].SealedEpoch()
	}
	for _, j := range s.journals {
		j.HandleHeld(to, reply)
	}
}

func (s *standbys) SendSeal(to claim.Standby, q frame.Seal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable[to] {
		return
	}
	reply := frame.Sealed{Shard: q.Shard, Epoch: q.Epoch, Boot: to.Boot, MemoryLost: s.restarted[to]}
	if !s.logs[to].Seal(q.Epoch) {
		reply.NewerEpoch = s.logs[to].SealedEpoch()
	}
	var batches []hold.Batch
	batches, reply.More = s.logs[to].After(q.After, 1)
	for _, b := range batches {
		data, err := cbor.Marshal(b)
		must(err)
		reply.Batches = append(reply.Batches, data)
	}
	for _, j := range s.journals {
		j.HandleSealed(to, reply)
	}
}

func (s *standbys) Alive(t claim.Standby) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unreachable[t]
}

func (s *standbys) SetStandbys(context.Context, int, uint64, []claim.Standby) error { return nil }

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// beMarkedWith matches errors marked with target.
func beMarkedWith(target error) types.GomegaMatcher {
	return WithTransform(func(err error) bool { return errors.Is(err, target) }, BeTrue())
}

// fixture is one shard with its store and standbys.
type fixture struct {
	keyval   *keyval.Server
	store    *store.Client
	standbys *standbys
	ctx      context.Context
}

func newFixture(ctx context.Context) *fixture {
	k := keyval.New()
	server := httptest.NewServer(k)
	DeferCleanup(server.Close)
	return &fixture{
		keyval: k, standbys: newStandbys(), ctx: ctx,
		store: store.New(strings.TrimPrefix(server.URL, "http://"), time.Second),
	}
}

func (f *fixture) options(epoch uint64) jrnl.Options {
	return jrnl.Options{
		Store: f.store, Peers: f.standbys, Shard: 3, Epoch: epoch, Standbys: testStandbys(),
		StandbyDelay: 20 * time.Millisecond, MaxPendingBytes: 1 << 20, StandbyTimeout: 50 * time.Millisecond,
		Retention: snap.Retention{Answers: time.Hour, Keys: 24 * time.Hour}, Log: zerolog.Nop(),
	}
}

func (f *fixture) create(epoch uint64) *jrnl.Journal {
	j := jrnl.New(f.options(epoch))
	f.standbys.mu.Lock()
	f.standbys.journals = append(f.standbys.journals, j)
	f.standbys.mu.Unlock()
	return j
}

// open opens and runs a journal; stop cancels Run and waits for it.
func (f *fixture) open(epoch uint64) (j *jrnl.Journal, records []record.Record, stop func()) {
	j = f.create(epoch)
	records, err := j.Open(f.ctx)
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(f.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		j.Run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	DeferCleanup(stop)
	return j, records, stop
}

func turnRecords(program, key, text string) []record.Record {
	return []record.Record{{Turn: &record.Turn{
		Call:   &call.Call{Key: key, Customer: "c", Program: program, Kind: call.Chat},
		Answer: &answer.Answer{Outcome: answer.Done, Text: text},
	}}}
}

// appendTurn appends one turn and waits for the result.
func appendTurn(j *jrnl.Journal, key string) error {
	result := make(chan error, 1)
	j.Append(turnRecords("p", key, "text of "+key), func(err error) { result <- err })
	return <-result
}

func turnKeys(records []record.Record) []string {
	var all []string
	for _, r := range records {
		if r.Turn != nil {
			all = append(all, r.Turn.Call.Key)
		}
	}
	return all
}

func numberedKeys(n int) []string {
	var all []string
	for i := range n {
		all = append(all, fmt.Sprintf("k%d", i))
	}
	return all
}

var _ = Describe("a journal", func() {
	var f *fixture
	BeforeEach(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		DeferCleanup(cancel)
		f = newFixture(ctx)
	})

	It("stores an append once when the store's answer is lost", func() {
		j, _, stop := f.open(1)
		f.standbys.unreachable = map[claim.Standby]bool{testStandbys()[0]: true, testStandbys()[1]: true, testStandbys()[2]: true}
		for _, k := range numberedKeys(4) {
			f.keyval.SetFault(keyval.Fault{LostWrites: 1})
			Expect(appendTurn(j, k)).To(Succeed())
		}
		stop()
		f.standbys.unreachable = nil
		_, records, _ := f.open(2)
		Expect(turnKeys(records)).To(Equal(numberedKeys(4)))
	})

	It("continues during a store outage and recovers batches that only standbys held", func() {
		j, _, stop := f.open(1)
		Expect(appendTurn(j, "k0")).To(Succeed())
		f.keyval.SetFault(keyval.Fault{Down: true})
		Expect(appendTurn(j, "k1")).To(Succeed())
		Expect(appendTurn(j, "k2")).To(Succeed())
		stop()
		f.standbys.mu.Lock()
		f.standbys.unreachable[testStandbys()[0]] = true
		f.standbys.mu.Unlock()
		f.keyval.SetFault(keyval.Fault{})
		_, records, _ := f.open(2)
		Expect(turnKeys(records)).To(Equal(numberedKeys(3)))
	})

	It("writes the held batches once the store is back, and lets the standbys drop them", func() {
		j, _, stop := f.open(1)
		f.keyval.SetFault(keyval.Fault{Down: true})
		for _, k := range numberedKeys(20) {
			Expect(appendTurn(j, k)).To(Succeed())
		}
		f.keyval.SetFault(keyval.Fault{})
		j.Flush(f.ctx)
		stop()
		for _, l := range f.standbys.logs {
			Expect(l.Size()).To(BeZero())
		}
		for _, s := range testStandbys() {
			f.standbys.restarted[s] = true
		}
		_, records, _ := f.open(2)
		Expect(turnKeys(records)).To(Equal(numberedKeys(20)))
	})

	It("does not acknowledge an append that neither the store nor a quorum has", func() {
		j, _, stop := f.open(1)
		f.keyval.SetFault(keyval.Fault{Down: true})
		f.standbys.mu.Lock()
		f.standbys.unreachable[testStandbys()[0]], f.standbys.unreachable[testStandbys()[1]] = true, true
		f.standbys.mu.Unlock()
		result := make(chan error, 1)
		j.Append(turnRecords("p", "k0", "x"), func(err error) { result <- err })
		storeCalls := func() (n int) {
			for _, calls := range f.keyval.CallCounts() {
				n += calls
			}
			return n
		}
		before := storeCalls()
		Eventually(storeCalls).WithContext(f.ctx).Should(BeNumerically(">", before+3))
		Expect(result).NotTo(Receive())
		stop()
		Expect(<-result).To(beMarkedWith(jrnl.ErrDeposed))
	})

	It("refuses the append of an owner overtaken by whole rounds of the ring", func() {
		predecessor, _, _ := f.open(1)
		Expect(appendTurn(predecessor, "k0")).To(Succeed())
		successor, _, stop := f.open(2)
		for i := range 1200 {
			Expect(appendTurn(successor, fmt.Sprintf("y%d", i))).To(Succeed())
		}
		Expect(appendTurn(predecessor, "late")).To(beMarkedWith(jrnl.ErrDeposed))
		stop()
		_, records, _ := f.open(3)
		Expect(turnKeys(records)).To(HaveLen(1201))
		Expect(turnKeys(records)).NotTo(ContainElement("late"))
	})

	It("refuses the append of an owner when a standby is sealed by a later epoch", func() {
		predecessor, _, _ := f.open(1)
		f.keyval.SetFault(keyval.Fault{Down: true})
		Expect(f.standbys.logs[testStandbys()[0]].Seal(2)).To(BeTrue())
		Expect(appendTurn(predecessor, "late")).To(beMarkedWith(jrnl.ErrDeposed))
	})

	It("opens for the later epoch when two owners race", func() {
		var wait sync.WaitGroup
		errs := make([]error, 2)
		for i := range errs {
			j := f.create(uint64(i + 1))
			wait.Go(func() { _, errs[i] = j.Open(f.ctx) })
		}
		wait.Wait()
		Expect(errs[1]).NotTo(HaveOccurred(), "the later epoch always succeeds")
	})

	It("names the unreadable slot in the error", func() {
		j, _, stop := f.open(1)
		Expect(appendTurn(j, "k0")).To(Succeed())
		stop()
		p, err := f.store.Get(f.ctx, "journal/0003/0002")
		Expect(err).NotTo(HaveOccurred())
		_, err = f.store.Put(f.ctx, p.Key, p.Value[:len(p.Value)-3], p.Version, "")
		Expect(err).NotTo(HaveOccurred())
		_, err = f.create(2).Open(f.ctx)
		Expect(err).To(beMarkedWith(jrnl.ErrUnreadable))
		Expect(err).To(MatchError(ContainSubstring("journal/0003/0002")))
	})

	It("stores records larger than the store's maximum value size", func() {
		j, _, stop := f.open(1)
		result := make(chan error, 1)
		text := strings.Repeat("a long conversation ", 100_000)
		j.Append(turnRecords("p", "k0", text), func(err error) { result <- err })
		Expect(<-result).To(Succeed())
		stop()
		_, records, _ := f.open(2)
		Expect(turnKeys(records)).To(Equal(numberedKeys(1)))
		Expect(records[0].Turn.Answer.Text).To(Equal(text))
	})

	It("opens although standbys restarted or are unresponsive", func() {
		j, _, stop := f.open(1)
		Expect(appendTurn(j, "k0")).To(Succeed())
		stop()
		f.standbys.restarted[testStandbys()[0]], f.standbys.unreachable[testStandbys()[1]], f.standbys.unreachable[testStandbys()[2]] = true, true, true
		_, records, _ := f.open(2)
		Expect(turnKeys(records)).To(Equal(numberedKeys(1)))
	})
})
