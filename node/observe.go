package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/burn"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/record"
	"github.com/cowslipstage/cowslipstage/state/trace"
)

const (
	// traceLength bounds the events that a node keeps of its programs.
	traceLength = 32768
	// alertInterval is the time between two looks at the objectives.
	alertInterval = time.Minute
)

// observer keeps what operators ask a node about finished calls.
type observer struct {
	// mu guards calls. Reading many of them takes a while, so that the control
	// goroutine, which keeps events, has a lock apart.
	mu    sync.Mutex
	calls *burn.Recorder
	// events guards trace.
	events sync.Mutex
	trace  *trace.Log
}

func newObserver(node string) *observer {
	return &observer{calls: burn.New(node), trace: trace.New(traceLength)}
}

// observe records one finished call.
func (n *Node) observe(s burn.Sample) {
	v := n.current().Services[s.Service]
	n.count(s, v != nil)
	n.observer.mu.Lock()
	n.observer.calls.Add(time.Now(), s, v)
	n.observer.mu.Unlock()
	n.note(time.Now(), s.Customer, s.Program, s.Key, "answer", told(s.Outcome, s.Reason)+" after "+s.Latency.Round(time.Millisecond).String())
}

// count adds a call to the metrics. Services that nobody declared share a label.
func (n *Node) count(s burn.Sample, declared bool) {
	service, outcome := "(none)", string(s.Outcome)
	if declared {
		service = s.Service
	}
	if outcome == "" {
		outcome = "left"
	}
	label := "{service=" + strconv.Quote(service) + "}"
	n.metrics.GetOrCreateCounter(fmt.Sprintf("calls_total{service=%q,outcome=%q}", service, outcome)).Inc()
	if s.Outcome != answer.Done {
		return
	}
	n.metrics.GetOrCreateHistogram("call_seconds" + label).Update(s.Latency.Seconds())
	if s.TimeToFirst > 0 {
		n.metrics.GetOrCreateHistogram("first_token_seconds" + label).Update(s.TimeToFirst.Seconds())
	}
	if s.Gap > 0 {
		n.metrics.GetOrCreateHistogram("token_gap_seconds" + label).Update(s.Gap.Seconds())
	}
	n.metrics.GetOrCreateCounter("tokens_total" + label).Add(s.Tokens)
}

func told(o answer.Outcome, reason string) string { return strings.TrimSpace(string(o) + " " + reason) }

// note keeps one event of a program.
func (n *Node) note(at time.Time, customer, program, key, kind, detail string) {
	n.observer.events.Lock()
	defer n.observer.events.Unlock()
	n.observer.trace.Add(trace.Event{
		Time: at, Node: n.settings.Node.Name, Kind: kind,
		Customer: customer, Program: program, Key: key, Detail: detail,
	})
}

func (n *Node) noteCall(at time.Time, k *call.Call, kind, detail string) {
	n.note(at, k.Customer, k.Program, k.Key, kind, detail)
}

// noteAction keeps the events of an action.
func (n *Node) noteAction(at time.Time, action core.Action) {
	switch a := action.(type) {
	case core.Dispatch:
		// Both ends of the wait are the same clock only where edge and owner are one host.
		n.metrics.GetOrCreateHistogram(fmt.Sprintf("dispatch_wait_seconds{service=%q}", a.Call.Service)).
			Update(max(at.Sub(a.Call.Received), 0).Seconds())
		n.noteCall(at, a.Call, "dispatch", fmt.Sprintf("to %s, epoch %d", a.Endpoint, a.Epoch))
	case core.Inquire:
		n.noteCall(at, a.Call, "inquire", "of "+a.Endpoint)
	case core.Release:
		n.note(at, a.Customer, a.Program, "", "release", "at "+a.Endpoint)
	case core.Append:
		for i := range a.Records {
			n.noteRecord(at, &a.Records[i])
		}
	}
}

func (n *Node) noteRecord(at time.Time, r *record.Record) {
	switch {
	case r.Intent != nil:
		n.noteCall(at, r.Intent.Call, "intent", "for "+r.Intent.Endpoint)
	case r.Turn != nil:
		n.noteCall(at, r.Turn.Call, "settle", told(r.Turn.Answer.Outcome, r.Turn.Answer.Reason))
	case r.Ended != nil:
		n.note(at, r.Ended.Customer, r.Ended.Program, "", "end", "")
	}
}

// getReport answers GET /v1/report.
func (n *Node) getReport(w http.ResponseWriter, _ *http.Request) {
	n.observer.mu.Lock()
	r := n.observer.calls.Report(time.Now())
	n.observer.mu.Unlock()
	n.answer(w, r)
}

// getTrace answers GET /v1/trace/{key}.
func (n *Node) getTrace(w http.ResponseWriter, r *http.Request) {
	n.observer.events.Lock()
	events := n.observer.trace.Find(chi.URLParam(r, "key"))
	n.observer.events.Unlock()
	n.answer(w, events)
}

func (n *Node) answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		n.log.Debug().Err(err).Msg("an operator left before the answer")
	}
}

// alert looks at the objectives from time to time.
func (n *Node) alert(ctx context.Context) {
	last := map[[2]string]burn.Alert{}
	every(ctx, alertInterval, func() { n.judge(time.Now(), last) })
}

// judge logs each objective whose burn begins or ceases to be alarming; last
// holds the alerts that were logged.
func (n *Node) judge(now time.Time, last map[[2]string]burn.Alert) {
	n.observer.mu.Lock()
	r := n.observer.calls.Report(now)
	n.observer.mu.Unlock()
	for _, l := range r.Lines {
		pair := [2]string{l.Service, l.Customer}
		if l.Alert != last[pair] {
			n.tell(l)
		}
		last[pair] = l.Alert
	}
}

func (n *Node) tell(l burn.Line) {
	e, text := n.log.Warn(), "service-level budget burns"
	if l.Alert == "" {
		e, text = n.log.Info(), "service-level budget no longer burns"
	}
	for _, w := range l.Windows {
		e = e.Float64("burn_"+(time.Duration(w.Span)*time.Second).String(), w.Burn)
	}
	if len(l.Examples) > 0 {
		e = e.Str("worst", l.Examples[0].Key)
	}
	e.Str("service", l.Service).Str("customer", l.Customer).Str("alert", string(l.Alert)).
		Float64("left", l.Remaining).Msg(text)
}
