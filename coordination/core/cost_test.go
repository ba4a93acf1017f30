package core_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/load"
)

// BenchmarkPiece measures the handling of one piece of a streamed answer.
func BenchmarkPiece(b *testing.B) {
	c := benchCore(10)
	now := time.Unix(2000, 0)
	k := &call.Call{Key: "k", Customer: "c", Program: "p", Kind: call.Chat, Service: "chat", Messages: []call.Message{{Role: "user", Content: "Hello"}}}
	attempt := uint64(0)
	for _, a := range c.Step(now, core.Submitted{Call: k}) {
		if a, ok := a.(core.Append); ok {
			for _, a := range c.Step(now, core.Committed{Ref: a.Ref}) {
				if a, ok := a.(core.Dispatch); ok {
					attempt = a.Attempt
				}
			}
		}
	}
	b.ReportAllocs()
	at := 0
	for b.Loop() {
		c.Step(now, core.Piece{Attempt: attempt, Offset: at, Text: " ring"})
		at += len(" ring")
	}
}

// BenchmarkMemory measures the owner's memory per live program, by the length of
// the program's history.
func BenchmarkMemory(b *testing.B) {
	for _, turns := range []int{1, 10, 40, 120} {
		b.Run(fmt.Sprintf("turns=%d", turns), func(b *testing.B) {
			const programs = 500
			for b.Loop() {
				before := heapBytes()
				c := benchCore(10)
				for i := range programs * turns {
					runTurn(c, time.Unix(2000, 0), i, programs)
				}
				b.ReportMetric(float64(heapBytes()-before)/programs, "B/program")
				runtime.KeepAlive(c)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// runTurn runs one turn with 300 tokens of input and 300 of output, at four bytes
// a token.
func runTurn(c *core.Core, now time.Time, i, programs int) {
	text := func(s string) string { return strings.Repeat(s, 1200) }
	k := &call.Call{
		Key: fmt.Sprint(i), Customer: "c", Program: fmt.Sprint("p", i%programs), Kind: call.Chat, Service: "chat",
		Messages: []call.Message{{Role: "user", Content: text("a")}},
	}
	pending := c.Step(now, core.Submitted{Call: k})
	for len(pending) > 0 {
		a := pending[0]
		pending = pending[1:]
		switch a := a.(type) {
		case core.Append:
			pending = append(pending, c.Step(now, core.Committed{Ref: a.Ref})...)
		case core.Dispatch:
			e := core.AttemptFinished{Attempt: a.Attempt, Text: text("b"), Usage: answer.Usage{Prompt: 300, Output: 300}}
			pending = append(pending, c.Step(now, e)...)
		}
	}
}

// BenchmarkReports measures the handling of one load report of every endpoint.
func BenchmarkReports(b *testing.B) {
	for _, n := range []int{27, 54, 215, 430, 860} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := benchCore(n)
			now := time.Unix(2000, 0)
			for b.Loop() {
				now = now.Add(time.Second)
				for i := range n {
					c.Step(now, core.LoadReported{Endpoint: fmt.Sprintf("engine-%d", i), Report: load.Report{Running: i % 16, MeasuredAt: now}})
				}
			}
		})
	}
}
