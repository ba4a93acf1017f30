package burn

import "time"

// ring counts calls in buckets of equal length; old buckets are overwritten.
type ring struct {
	step time.Duration
	// buckets holds the last len(buckets) steps; number n stands at n modulo
	// the length.
	buckets []bucket
}

// bucket is one step's count.
type bucket struct {
	// number is the step's number since the epoch; another number is stale.
	number int32
	total  uint32
	bad    uint32
}

func (r *ring) number(now time.Time) int32 { return int32(now.UnixNano() / int64(r.step)) }

func (r *ring) add(now time.Time, bad bool) {
	n := r.number(now)
	b := &r.buckets[int(n)%len(r.buckets)]
	if b.number != n {
		*b = bucket{number: n}
	}
	b.total++
	if bad {
		b.bad++
	}
}

// sum counts the calls of the last span, to one step.
func (r *ring) sum(now time.Time, span time.Duration) (total, bad uint64) {
	n, steps := r.number(now), int32(span/r.step)
	for _, b := range r.buckets {
		if b.number > n-steps && b.number <= n {
			total += uint64(b.total)
			bad += uint64(b.bad)
		}
	}
	return total, bad
}

// The windows over which burn is told.
var spans = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// maxExamples bounds the examples kept of each pair.
const maxExamples = 3

// exampleLife is after how long an example makes way for any newer one.
const exampleLife = time.Hour

// series is what is kept of one pair.
type series struct {
	objective time.Duration
	target    float64
	// fine covers an hour and coarse three days.
	fine, coarse ring
	// examples are the worst misses of late, in no order.
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
		s.keep(now, x)
	}
}

func (s *series) sum(now time.Time, span time.Duration) (total, bad uint64) {
	if span <= time.Hour {
		return s.fine.sum(now, span)
	}
	return s.coarse.sum(now, span)
}

// keep remembers a miss if it is worse, or newer by an hour, than the least
// that is remembered.
func (s *series) keep(now time.Time, x Sample) {
	e := Example{
		Customer: x.Customer, Program: x.Program, Key: x.Key, Began: x.Began,
		Outcome: string(x.Outcome), Reason: x.Reason, Latency: x.Latency.Milliseconds(),
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

// rank is how bad an example is; old ones count for nothing.
func (s *series) rank(now time.Time, i int) int64 {
	if now.Sub(s.examples[i].Began) > exampleLife {
		return -1
	}
	return s.examples[i].Latency
}
