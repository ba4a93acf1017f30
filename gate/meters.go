package gate

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// meters count what a gate does.
type meters struct {
	set *metrics.Set
	// first is the time to a stream's first event, whole that to the end.
	first, whole *metrics.Histogram
	// plain is the time of calls of plain services.
	plain *metrics.Histogram
	// cutOff counts the streams that were broken off after their first event.
	cutOff *metrics.Counter
}

func newMeters(set *metrics.Set) *meters {
	return &meters{
		set:    set,
		first:  set.NewHistogram("cowslipstage_gate_first_event_seconds"),
		whole:  set.NewHistogram("cowslipstage_gate_stream_seconds"),
		plain:  set.NewHistogram("cowslipstage_gate_call_seconds"),
		cutOff: set.NewCounter("cowslipstage_gate_streams_cut_total"),
	}
}

// answered counts an answer of this gate's or an endpoint's by its reason.
func (m *meters) answered(reason string) {
	m.set.GetOrCreateCounter(`cowslipstage_gate_answers_total{reason="` + reason + `"}`).Inc()
}

func (m *meters) since(h *metrics.Histogram, begun time.Time) { h.UpdateDuration(begun) }
