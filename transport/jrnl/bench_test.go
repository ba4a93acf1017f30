package jrnl_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/cowslipstage/cowslipstage/standin/keyval"
	"github.com/cowslipstage/cowslipstage/state/snap"
	"github.com/cowslipstage/cowslipstage/transport/jrnl"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

// BenchmarkAppend measures appends by one or by many concurrent callers to a
// store with a fixed response delay. With a slow store, the standbys hold the
// batches.
func BenchmarkAppend(b *testing.B) {
	for _, delay := range []int{0, 2, 2000} {
		for _, callers := range []int{1, 16, 64} {
			b.Run(fmt.Sprintf("store=%dms/callers=%d", delay, callers), func(b *testing.B) { benchmarkAppends(b, delay, callers, 0) })
		}
	}
	b.Run("store=2ms/callers=64/pace=20", func(b *testing.B) { benchmarkAppends(b, 2, 64, 20) })
}

func benchmarkAppends(b *testing.B, delay, callers int, pace float64) {
	k := keyval.New()
	server := httptest.NewServer(k)
	defer server.Close()
	s := newStandbys()
	limit := rate.NewLimiter(rate.Inf, 1)
	if pace > 0 {
		limit = rate.NewLimiter(rate.Limit(pace), int(pace))
	}
	j := jrnl.New(jrnl.Options{
		Store: store.New(strings.TrimPrefix(server.URL, "http://"), 10*time.Second), Peers: s,
		Shard: 3, Epoch: 1, Standbys: testStandbys(), WriteLimit: limit, StandbyDelay: 50 * time.Millisecond, MaxPendingBytes: 1 << 30,
		Retention: snap.Retention{Answers: time.Hour, Keys: time.Hour}, Log: zerolog.Nop(),
	})
	s.journals = append(s.journals, j)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if _, err := j.Open(ctx); err != nil {
		b.Fatal(err)
	}
	go j.Run(ctx)
	k.SetFault(keyval.Fault{Delay: delay})
	before := k.CallCounts()["put"]
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	ends := make(chan time.Duration, callers)
	send := func(i int) {
		began := time.Now()
		j.Append(turnRecords("p", fmt.Sprint(i), "a short answer"), func(error) { ends <- time.Since(began) })
	}
	sent := 0
	for b.Loop() {
		if sent < callers {
			send(sent)
			sent++
			continue
		}
		_ = h.RecordValue(int64(<-ends))
		send(sent)
		sent++
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1e6, "p50-ms")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1e6, "p99-ms")
	b.ReportMetric(float64(k.CallCounts()["put"]-before)/float64(sent), "puts/append")
	b.ReportMetric(float64(k.CallCounts()["put"]-before)/b.Elapsed().Seconds(), "puts/s")
}
