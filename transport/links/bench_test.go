package links_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/transport/keys"
	"github.com/cowslipstage/cowslipstage/transport/links"
)

// cpuTime returns the CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// star is a hub node with links to many other nodes in the same process.
type star struct {
	hub      *links.Links
	meters   *metrics.Set
	received atomic.Int64
	wait     sync.WaitGroup
}

func newStar(b *testing.B, nodes int) *star {
	s := &star{meters: metrics.NewSet()}
	k := keys.New(keys.Options{Secret: "s"}, zerolog.Nop())
	o := links.Options{Node: "hub", Keys: k, PingInterval: time.Hour, SilenceTimeout: 2 * time.Hour, Metrics: s.meters}
	s.hub = links.New(o, zerolog.Nop())
	b.Cleanup(func() { _ = s.hub.Close() })
	for i := range nodes {
		name := fmt.Sprintf("node-%03d", i)
		l := links.New(links.Options{Node: name, Keys: k, PingInterval: time.Hour, SilenceTimeout: 2 * time.Hour}, zerolog.Nop())
		c, err := l.Subscribe(b.Context(), frame.TopicGossip)
		NewWithT(b).Expect(err).NotTo(HaveOccurred())
		s.wait.Go(func() {
			for m := range c {
				m.Ack()
				s.received.Add(1)
			}
		})
		mux := http.NewServeMux()
		mux.Handle("/link", l)
		server := httptest.NewServer(mux)
		b.Cleanup(func() {
			_ = l.Close()
			server.Close()
		})
		s.hub.Connect(name, server.Listener.Addr().String())
	}
	NewWithT(b).Eventually(s.hub.Connected, eventTimeout).Should(HaveLen(nodes))
	return s
}

// BenchmarkBroadcast measures the bytes and CPU time, at both ends, of a 64-byte
// message to every peer, by the number of peers.
func BenchmarkBroadcast(b *testing.B) {
	for _, nodes := range []int{25, 50, 100, 200, 349} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			s := newStar(b, nodes)
			body, err := frame.Encode(strings.Repeat("x", 62))
			NewWithT(b).Expect(err).NotTo(HaveOccurred())
			sent := s.meters.GetOrCreateCounter(`links_bytes_total{direction="sent"}`)
			before, began := sent.Get(), cpuTime()
			for i := range b.N {
				NewWithT(b).Expect(s.hub.Publish(frame.TopicGossip, message.NewMessage("", body))).To(Succeed())
				for s.received.Load() < int64((i+1)*nodes) {
					time.Sleep(50 * time.Microsecond)
				}
			}
			rounds := float64(b.N)
			b.ReportMetric(float64(sent.Get()-before)/rounds, "bytes/round")
			b.ReportMetric(float64((cpuTime()-began).Microseconds())/rounds, "cpu-us/round")
		})
	}
}

// BenchmarkFrames measures the CPU time per frame, at both ends, by the number of
// frames published together.
func BenchmarkFrames(b *testing.B) {
	for _, burst := range []int{1, 4, 16, 64, 256} {
		b.Run(fmt.Sprint(burst), func(b *testing.B) {
			s := newStar(b, 1)
			body, err := frame.Encode(strings.Repeat("x", 62))
			NewWithT(b).Expect(err).NotTo(HaveOccurred())
			began := cpuTime()
			for i := range b.N {
				for range burst {
					NewWithT(b).Expect(s.hub.Publish(frame.TopicGossip, message.NewMessage("", body))).To(Succeed())
				}
				for s.received.Load() < int64((i+1)*burst) {
					time.Sleep(50 * time.Microsecond)
				}
			}
			b.ReportMetric(float64((cpuTime()-began).Nanoseconds())/float64(b.N*burst), "cpu-ns/frame")
		})
	}
}
