package links

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// meters count what happens on the links.
type meters struct {
	set      *metrics.Set
	sent     volume
	received volume
	redials  *metrics.Counter
	silent   *metrics.Counter
	rtt      *metrics.Histogram
}

// volume is what went in one direction.
type volume struct {
	frames *metrics.Counter
	bytes  *metrics.Counter
}

func newMeters(s *metrics.Set, l *Links) meters {
	s.GetOrCreateGauge("links_live", func() float64 { return float64(len(l.Connected())) })
	return meters{
		set:      s,
		sent:     newVolume(s, "sent"),
		received: newVolume(s, "received"),
		redials:  s.GetOrCreateCounter("links_redials_total"),
		silent:   s.GetOrCreateCounter("links_silent_total"),
		rtt:      s.GetOrCreateHistogram("links_rtt_seconds"),
	}
}

func newVolume(s *metrics.Set, direction string) volume {
	return volume{
		frames: s.GetOrCreateCounter(fmt.Sprintf("links_frames_total{direction=%q}", direction)),
		bytes:  s.GetOrCreateCounter(fmt.Sprintf("links_bytes_total{direction=%q}", direction)),
	}
}

// drop counts messages and links that were dropped for a reason.
func (m meters) drop(reason string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("links_drops_total{reason=%q}", reason))
}
