package burn

import "time"

// ring counts calls in buckets of equal duration. New buckets overwrite the oldest.
type ring struct {
	step time.Duration
	// buckets holds the last len(buckets) steps; step n is at index n modulo the length.
	buckets []bucket
}

// bucket counts the calls of one step.
type bucket struct {
	// number is the step's number since the Unix epoch; a bucket with an older number is
	// stale.
	number int32
	total  uint32
	bad    uint32
}

func (r *ring) stepNumber(now time.Time) int32 { return int32(now.UnixNano() / int64(r.step)) }

func (r *ring) add(now time.Time, bad bool) {
	n := r.stepNumber(now)
	b := &r.buckets[int(n)%len(r.buckets)]
	if b.number != n {
		*b = bucket{number: n}
	}
	b.total++
	if bad {
		b.bad++
	}
}

// sum counts the calls of the last span, rounded to whole steps.
func (r *ring) sum(now time.Time, span time.Duration) (total, bad uint64) {
	n, steps := r.stepNumber(now), int32(span/r.step)
	for _, b := range r.buckets {
		if b.number > n-steps && b.number <= n {
			total += uint64(b.total)
			bad += uint64(b.bad)
		}
	}
	return total, bad
}

// windowSpans are the time spans over which burn rates are reported.
var windowSpans = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// maxExamples bounds the examples kept per series.
const maxExamples = 3

// maxExampleAge is the age beyond which any newer miss may replace an example.
const maxExampleAge = time.Hour

// series holds the counts and examples of one customer of one service.
type series struct {
	objective time.Duration
	target    float64
	// fine covers one hour and coarse three days.
	fine, coarse ring
	// examples are the worst recent misses, unordered.
	examples []Example
}

func newSeries() *series {
	return &series{
		fine:   ring{step: time.Minute, buckets: make([]bucket, 60)},
		coarse: ring{step: time.Hour, buckets: make([]bucket, 72)},
	}
}

func (s *series) add(now time.Time, x Sample) {
	bad := x.Misses(s.objective)
	s.fine.add(now, bad)
	s.coarse.add(now, bad)
	if bad {
		s.keepExample(now, x)
	}
}

func (s *series) sum(now time.Time, span time.Duration) (total, bad uint64) {
	if span <= time.Hour {
		return s.fine.sum(now, span)
	}
	return s.coarse.sum(now, span)
}

// keepExample adds a miss to the examples. When they are full, it replaces the
// lowest-ranked one unless that one ranks higher than the miss.
func (s *series) keepExample(now time.Time, x Sample) {
	e := Example{
		Customer: x.Customer, Program: x.Program, Key: x.Key, Began: x.Began,
		Outcome: string(x.Outcome), Reason: x.Reason, Latency: x.TotalLatency.Milliseconds(),
	}
	if len(s.examples) < maxExamples {
		s.examples = append(s.examples, e)
		return
	}
	least := 0
	for i := range s.examples {
		if s.rank(now, i) < s.rank(now, least) {
			least = i
		}
	}
	if s.rank(now, least) <= e.Latency {
		s.examples[least] = e
	}
}

// rank returns an example's latency, or -1 if it is older than maxExampleAge.
func (s *series) rank(now time.Time, i int) int64 {
	if now.Sub(s.examples[i].Began) > maxExampleAge {
		return -1
	}
	return s.examples[i].Latency
}
