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
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/burn"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/record"
	"github.com/cowslipstage/cowslipstage/state/trace"
)

const (
	// traceLength bounds the trace events that a node keeps.
	traceLength = 32768
	// alertInterval is the time between two checks of the service-level
	// objectives.
	alertInterval = time.Minute
)

// observer holds the call statistics and trace events that operators query.
type observer struct {
	// mu guards calls. A report over many calls takes a while, so the trace,
	// which the control goroutine writes to, has a lock of its own.
	mu    sync.Mutex
	calls *burn.Recorder
	// traceLock guards trace.
	traceLock sync.Mutex
	trace     *trace.Log
	// broken logs some of the answers that are none.
	broken zerolog.Logger
}

func newObserver(node string, log zerolog.Logger) *observer {
	return &observer{
		calls: burn.New(node), trace: trace.New(traceLength),
		broken: log.With().Str("node", node).Logger().Sample(&zerolog.BurstSampler{Burst: brokenLines, Period: time.Second}),
	}
}

// recordCall records one finished call.
func (n *Node) recordCall(s burn.Sample) {
	v := n.currentConfig().Services[s.Service]
	n.countCall(s, v != nil)
	n.observer.mu.Lock()
	n.observer.calls.Add(time.Now(), s, v)
	n.observer.mu.Unlock()
	n.traceEvent(time.Now(), s.Customer, s.Program, s.Key, "answer", outcomeText(s.Outcome, s.Reason)+" after "+s.TotalLatency.Round(time.Millisecond).String())
}

// countCall adds a call to the metrics. Undeclared services share one label
// value.
func (n *Node) countCall(s burn.Sample, declared bool) {
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
	n.metrics.GetOrCreateHistogram("call_seconds" + label).Update(s.TotalLatency.Seconds())
	if s.TimeToFirst > 0 {
		n.metrics.GetOrCreateHistogram("first_token_seconds" + label).Update(s.TimeToFirst.Seconds())
	}
	if s.Gap > 0 {
		n.metrics.GetOrCreateHistogram("token_gap_seconds" + label).Update(s.Gap.Seconds())
	}
	n.metrics.GetOrCreateCounter("tokens_total" + label).Add(s.Tokens)
}

func outcomeText(o answer.Outcome, reason string) string {
	return strings.TrimSpace(string(o) + " " + reason)
}

// traceEvent adds one event of a program to the trace.
func (n *Node) traceEvent(at time.Time, customer, program, key, kind, detail string) {
	n.observer.traceLock.Lock()
	defer n.observer.traceLock.Unlock()
	n.observer.trace.Add(trace.Event{
		Time: at, Node: n.settings.Node.Name, Kind: kind,
		Customer: customer, Program: program, Key: key, Detail: detail,
	})
}

func (n *Node) traceCall(at time.Time, k *call.Call, kind, detail string) {
	n.traceEvent(at, k.Customer, k.Program, k.Key, kind, detail)
}

// traceAction adds the events of an action to the trace.
func (n *Node) traceAction(at time.Time, action core.Action) {
	switch a := action.(type) {
	case core.Dispatch:
		// Received is stamped by the edge's clock, so the difference may be
		// negative when edge and owner are different hosts.
		n.metrics.GetOrCreateHistogram(fmt.Sprintf("dispatch_wait_seconds{service=%q}", a.Call.Service)).
			Update(max(at.Sub(a.Call.Received), 0).Seconds())
		n.traceCall(at, a.Call, "dispatch", fmt.Sprintf("to %s, epoch %d", a.Endpoint, a.Epoch))
	case core.Inquire:
		n.traceCall(at, a.Call, "inquire", "of "+a.Endpoint)
	case core.Release:
		n.traceEvent(at, a.Customer, a.Program, "", "release", "at "+a.Endpoint)
	case core.Append:
		for i := range a.Records {
			n.traceRecord(at, &a.Records[i])
		}
	}
}

// brokenLines is how many log lines a second name endpoints whose answers are none.
const brokenLines = 5

// noteFailure counts an attempt that ended without an answer. It logs an endpoint whose answer was
// none; the other reasons also stand for attempts that were given up.
func (n *Node) noteFailure(f core.AttemptFailed, endpoint string) {
	n.metrics.GetOrCreateCounter(fmt.Sprintf("attempts_failed_total{reason=%q}", f.Reason)).Inc()
	if f.Reason == "garbage" || f.Reason == "mixed" {
		n.observer.broken.Warn().Str("endpoint", endpoint).Str("reason", f.Reason).Msg("endpoint sent what is no answer to its call")
	}
}

func (n *Node) traceRecord(at time.Time, r *record.Record) {
	switch {
	case r.Intent != nil:
		n.traceCall(at, r.Intent.Call, "intent", "for "+r.Intent.Endpoint)
	case r.Turn != nil:
		n.traceCall(at, r.Turn.Call, "settle", outcomeText(r.Turn.Answer.Outcome, r.Turn.Answer.Reason))
	case r.Ended != nil:
		n.traceEvent(at, r.Ended.Customer, r.Ended.Program, "", "end", "")
	}
}

// getReport answers GET /v1/report.
func (n *Node) getReport(w http.ResponseWriter, _ *http.Request) {
	n.observer.mu.Lock()
	r := n.observer.calls.Report(time.Now())
	n.observer.mu.Unlock()
	n.writeJSON(w, r)
}

// getTrace answers GET /v1/trace/{key}.
func (n *Node) getTrace(w http.ResponseWriter, r *http.Request) {
	n.observer.traceLock.Lock()
	events := n.observer.trace.Find(chi.URLParam(r, "key"))
	n.observer.traceLock.Unlock()
	n.writeJSON(w, events)
}

func (n *Node) writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(body); err != nil {
		n.log.Debug().Err(err).Msg("response to an operator not written")
	}
}

// runAlerts checks the service-level objectives at each alertInterval.
func (n *Node) runAlerts(ctx context.Context) {
	last := map[[2]string]burn.Alert{}
	every(ctx, alertInterval, func() { n.checkObjectives(time.Now(), last) })
}

// checkObjectives logs each objective whose burn rate starts or stops being
// alarming. last holds the alerts logged before.
func (n *Node) checkObjectives(now time.Time, last map[[2]string]burn.Alert) {
	n.observer.mu.Lock()
	r := n.observer.calls.Report(now)
	n.observer.mu.Unlock()
	for _, l := range r.Lines {
		pair := [2]string{l.Service, l.Customer}
		if l.Alert != last[pair] {
			n.logAlert(l)
		}
		last[pair] = l.Alert
	}
}

// logAlert logs that an objective's burn rate has become alarming, or no longer
// is.
func (n *Node) logAlert(l burn.Line) {
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
