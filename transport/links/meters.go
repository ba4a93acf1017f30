package links

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// meters holds the links' metrics.
type meters struct {
	set      *metrics.Set
	sent     traffic
	received traffic
	redials  *metrics.Counter
	silent   *metrics.Counter
	rtt      *metrics.Histogram
}

// traffic counts the frames and bytes of one direction.
type traffic struct {
	frames *metrics.Counter
	bytes  *metrics.Counter
}

func newMeters(s *metrics.Set, l *Links) meters {
	s.GetOrCreateGauge("links_live", func() float64 { return float64(len(l.Connected())) })
	return meters{
		set:      s,
		sent:     newTraffic(s, "sent"),
		received: newTraffic(s, "received"),
		redials:  s.GetOrCreateCounter("links_redials_total"),
		silent:   s.GetOrCreateCounter("links_silent_total"),
		rtt:      s.GetOrCreateHistogram("links_rtt_seconds"),
	}
}

func newTraffic(s *metrics.Set, direction string) traffic {
	return traffic{
		frames: s.GetOrCreateCounter(fmt.Sprintf("links_frames_total{direction=%q}", direction)),
		bytes:  s.GetOrCreateCounter(fmt.Sprintf("links_bytes_total{direction=%q}", direction)),
	}
}

// drops returns the counter of messages and links dropped for a reason.
func (m meters) drops(reason string) *metrics.Counter {
	return m.set.GetOrCreateCounter(fmt.Sprintf("links_drops_total{reason=%q}", reason))
}
