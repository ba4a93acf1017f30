package snap_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/prog"
	"github.com/cowslipstage/cowslipstage/state/record"
	"github.com/cowslipstage/cowslipstage/state/snap"
)

var (
	start     = time.Unix(1000, 0).UTC()
	retention = snap.Retention{Answers: time.Hour, Keys: 24 * time.Hour}
)

func chat(program, key string) *call.Call {
	return &call.Call{
		Key: key, Customer: "c", Program: program, Kind: call.Chat,
		Messages: []call.Message{{Role: "user", Content: "ask " + key}},
	}
}

func plain(program, key string) *call.Call {
	return &call.Call{Key: key, Customer: "c", Program: program, Kind: call.Plain, Body: []byte(key)}
}

func done(text string) *answer.Answer {
	return &answer.Answer{Outcome: answer.Done, Text: text, Usage: answer.Usage{Prompt: 3, Output: 2}}
}

// draw makes the journal of a few programs.
func draw(t *rapid.T) []record.Record {
	var records []record.Record
	for i := range 3 {
		records = append(records, record.Record{Opened: &record.Opened{
			Customer: "c", Program: fmt.Sprint(i), Time: start, Tokens: 1000, Money: 1000,
		}})
	}
	for i := range rapid.IntRange(0, 60).Draw(t, "records") {
		p, key := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "program")), fmt.Sprint("k", rapid.IntRange(0, 8).Draw(t, "key"))
		n := rapid.Int64Range(0, 9).Draw(t, "amount")
		var r record.Record
		switch rapid.IntRange(0, 4).Draw(t, "kind") {
		case 0:
			r.Grant = &record.Grant{Customer: "c", Program: p, Tokens: n, Money: n}
		case 1:
			r.Intent = &record.Intent{Call: plain(p, key)}
		case 2:
			r.Turn = &record.Turn{Call: plain(p, key), Answer: done(fmt.Sprint(i)), Tokens: n, Retryable: n == 0}
		case 3:
			r.Turn = &record.Turn{Call: chat(p, key), Answer: done(fmt.Sprint(i)), Tokens: n}
		case 4:
			r.Forfeit = &record.Forfeit{Customer: "c", Program: p}
		}
		records = append(records, r)
	}
	return records
}

// state is what a replay makes of one program.
type state struct {
	History         []call.Message
	Answers         map[string]string
	Intents         []string
	Spent, Granted  int64
	Money, Reserved int64
	Turns           int
}

func replay(records []record.Record) map[string]state {
	programs := map[string]*prog.Program{}
	for i := range records {
		if o := records[i].Opened; o != nil {
			programs[o.Program] = prog.New(o.Customer, o.Program, o.Service, o.Tokens, o.Money)
		}
		for id, p := range programs {
			if records[i].QualifiedProgram() == "c/"+id {
				p.Apply(&records[i])
			}
		}
	}
	states := map[string]state{}
	for id, p := range programs {
		s := state{History: p.History(""), Answers: map[string]string{}, Turns: p.Turns()}
		s.Spent, s.Money = p.Budget().Spent()
		s.Granted, s.Reserved = p.Budget().Granted()
		s.Intents = slices.Sorted(maps.Keys(p.Intents()))
		for k := range 9 {
			if t := p.Settled(fmt.Sprint("k", k)); t != nil {
				s.Answers[t.Call.Key] = t.Answer.Text
			}
		}
		states[id] = s
	}
	return states
}

func TestPackKeepsTheStateOfLivePrograms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := draw(t)
		cut := rapid.IntRange(0, len(records)).Draw(t, "cut")
		s := snap.New(retention)
		s.Observe(records[:cut])
		first := s.Compact(start, records[:cut])
		s.Observe(records[cut:])
		second := s.Compact(start, records[cut:])
		again := s.Compact(start, append(slices.Clone(first), second...))
		g := NewWithT(t)
		g.Expect(replay(append(first, second...))).To(Equal(replay(records)))
		g.Expect(replay(again)).To(Equal(replay(records)))
	})
}

func TestEndedProgramsAreForgottenInSteps(t *testing.T) {
	g := NewWithT(t)
	ended := start.Add(time.Minute)
	records := []record.Record{
		{Opened: &record.Opened{Customer: "c", Program: "p", Time: start}},
		{Turn: &record.Turn{Call: chat("p", "k1"), Answer: done("hello")}},
		{Intent: &record.Intent{Call: plain("p", "k2")}},
		{Turn: &record.Turn{Call: plain("p", "k2"), Answer: done("")}},
		{Ended: &record.Ended{Customer: "c", Program: "p", Time: ended}},
		{Swept: &record.Swept{Customer: "c", Program: "p"}},
	}
	s := snap.New(retention)
	s.Observe(records)
	s.AddSegment("one", map[string]int{"c/p": 100})
	kept := s.Compact(ended.Add(59*time.Minute), records)
	g.Expect(kept).To(HaveLen(5), "the intent is settled; the answers can still be fetched")
	g.Expect(kept[2].Turn.NonIdempotent).To(BeTrue())

	late := ended.Add(2 * time.Hour)
	dead, all := s.DeadBytes(late, "one")
	g.Expect([]int{dead, all}).To(Equal([]int{100, 100}))
	kept = s.Compact(late, kept)
	g.Expect(kept).To(HaveLen(4), "the key of the non-idempotent call is remembered")
	g.Expect(kept[1].Turn.Call.Body).To(BeEmpty())
	g.Expect(kept[1].Turn.Answer.Outcome).To(Equal(answer.Unknown), "no empty answer passes for a whole one")
	g.Expect(s.Compact(late, kept)).To(Equal(kept))

	g.Expect(s.Compact(ended.Add(25*time.Hour), kept)).To(BeEmpty())
	s.DropSegment("one")
	g.Expect(s.DeadBytes(late, "one")).To(BeZero())
}

func TestUnsweptProgramsStay(t *testing.T) {
	g := NewWithT(t)
	records := []record.Record{
		{Opened: &record.Opened{Customer: "c", Program: "p", Time: start}},
		{Ended: &record.Ended{Customer: "c", Program: "p", Time: start}},
	}
	s := snap.New(retention)
	s.Observe(records)
	g.Expect(s.Compact(start.Add(100*time.Hour), records)).To(Equal(records))
}

// journal is what 500 programs leave that answer 20 calls each.
func journal() []record.Record {
	var records []record.Record
	for i := range 10_000 {
		p := fmt.Sprint(i % 500)
		if i < 500 {
			records = append(records, record.Record{Opened: &record.Opened{Customer: "c", Program: p, Time: start}})
			continue
		}
		records = append(records, record.Record{Turn: &record.Turn{
			Call: chat(p, fmt.Sprint("k", i)), Answer: done(string(make([]byte, 1000))), Time: start,
		}})
	}
	return records
}

func BenchmarkEncode256(b *testing.B) {
	records := journal()[1000:1256]
	b.ReportAllocs()
	for b.Loop() {
		if _, err := record.Encode(records); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkReplay10000(b *testing.B) {
	data, err := record.Encode(journal())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		records, err := record.Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		programs := map[string]*prog.Program{}
		for i := range records {
			if o := records[i].Opened; o != nil {
				programs[records[i].QualifiedProgram()] = prog.New(o.Customer, o.Program, o.Service, 0, 0)
			}
			programs[records[i].QualifiedProgram()].Apply(&records[i])
		}
	}
}

func BenchmarkPack10000(b *testing.B) {
	records := journal()
	s := snap.New(retention)
	s.Observe(records)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := record.Encode(s.Compact(start, records)); err != nil {
			b.Fatal(err)
		}
	}
}
