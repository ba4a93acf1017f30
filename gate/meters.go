package gate

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meters holds a gate's metrics.
type meters struct {
	set *metrics.Set
	// firstEvent is the time to a stream's first event, stream the time to its
	// end.
	firstEvent, stream *metrics.Histogram
	// call is the time of one call of a plain service.
	call *metrics.Histogram
	// streamsCut counts the streams that were cut after their first event.
	streamsCut *metrics.Counter
	// leaving counts the endpoints that said in an answer that they are leaving.
	leaving *metrics.Counter
	// limitChanges counts how often an endpoint named another limit, or none any more.
	limitChanges *metrics.Counter
	// cutOff is 1 while this gate reaches no endpoint.
	cutOff *metrics.Gauge
	// relayed counts the connections to endpoints that were asked for by other gates.
	relayed *metrics.Counter
	// crashes counts the endpoints that ended while they ran requests of this gate.
	crashes *metrics.Counter
	// blocked counts the requests refused because they crash endpoints.
	blocked *metrics.Counter
	// waited counts the calls that waited for room at the endpoints, shed those that were
	// refused because there was none, and resendsDenied those that were not sent again.
	waited, shed, resendsDenied *metrics.Counter
	// quotaQuestions counts the questions to vaults about customers' quotas.
	quotaQuestions *metrics.Counter
	// quotaRepeats counts the sends of requests under a quota after their first one.
	quotaRepeats *metrics.Counter
	// panics counts the calls of endpoints that ended with a panic.
	panics *metrics.Counter
	// hedges counts the copies of late requests, hedgesWon those that were answered
	// first, lostRetries the retries of requests whose answers are presumed lost.
	hedges, hedgesWon, lostRetries *metrics.Counter
}

func newMeters(set *metrics.Set) *meters {
	return &meters{
		set:            set,
		firstEvent:     set.NewHistogram("cowslipstage_gate_first_event_seconds"),
		stream:         set.NewHistogram("cowslipstage_gate_stream_seconds"),
		call:           set.NewHistogram("cowslipstage_gate_call_seconds"),
		streamsCut:     set.NewCounter("cowslipstage_gate_streams_cut_total"),
		limitChanges:   set.NewCounter("cowslipstage_gate_endpoint_limit_changes_total"),
		cutOff:         set.NewGauge("cowslipstage_gate_cut_off", nil),
		relayed:        set.NewCounter("cowslipstage_gate_relayed_connections_total"),
		crashes:        set.NewCounter("cowslipstage_gate_endpoint_crashes_total"),
		blocked:        set.NewCounter("cowslipstage_gate_requests_blocked_total"),
		waited:         set.NewCounter("cowslipstage_gate_calls_waited_total"),
		shed:           set.NewCounter("cowslipstage_gate_calls_shed_total"),
		resendsDenied:  set.NewCounter("cowslipstage_gate_resends_denied_total"),
		quotaQuestions: set.NewCounter("cowslipstage_gate_quota_questions_total"),
		quotaRepeats:   set.NewCounter("cowslipstage_gate_quota_repeats_total"),
		panics:         set.NewCounter("cowslipstage_gate_panics_total"),
		leaving:        set.NewCounter("cowslipstage_gate_endpoints_leaving_total"),
		hedges:         set.NewCounter("cowslipstage_gate_hedges_total"),
		hedgesWon:      set.NewCounter("cowslipstage_gate_hedges_won_total"),
		lostRetries:    set.NewCounter("cowslipstage_gate_lost_retries_total"),
	}
}

// countAnswer counts an answer of this gate or of an endpoint by its reason.
func (m *meters) countAnswer(reason string) {
	m.set.GetOrCreateCounter(`cowslipstage_gate_answers_total{reason="` + reason + `"}`).Inc()
}

// countBroken counts an answer that was none, or not whole, by its reason.
func (m *meters) countBroken(reason string) {
	m.set.GetOrCreateCounter(`cowslipstage_gate_broken_answers_total{reason="` + reason + `"}`).Inc()
}

// countDenied counts a hedge or a retry that was not sent, by its reason.
func (m *meters) countDenied(reason string) {
	m.set.GetOrCreateCounter(`cowslipstage_gate_hedges_denied_total{reason="` + reason + `"}`).Inc()
}

// countAllowance counts a request of a customer with a quota.
func (m *meters) countAllowance(customer string, passed bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cowslipstage_gate_customer_requests_total{customer=%q,passed="%t"}`, customer, passed)).Inc()
}

// countPass counts a request that passed a quota by a way of allot.Use.
func (m *meters) countPass(way string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cowslipstage_gate_quota_passes_total{by=%q}`, way)).Inc()
}

// gaugeShare serves a customer's share of the room under its quota.
func (m *meters) gaugeShare(customer string, share func() float64) {
	m.set.GetOrCreateGauge(fmt.Sprintf(`cowslipstage_gate_customer_share{customer=%q}`, customer), share)
}

// observeSince adds the time since started to a histogram.
func (m *meters) observeSince(h *metrics.Histogram, started time.Time) { h.UpdateDuration(started) }
