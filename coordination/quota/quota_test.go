package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/quota"
)

const (
	// tick is the step of the simulated time.
	tick = 10 * time.Millisecond
	// settled is how long after an endpoint named its limit it must be kept.
	settled = 3 * time.Second
	// counted is the time over which the limit is counted.
	counted = 4 * time.Second
)

// fleet is a number of simulated gates that share one endpoint's limit.
type fleet struct {
	gates []*quota.Quota
	names []string
	// weights are the gates' parts of the requests.
	weights []float64
	random  *rand.Rand
	limit   float64
	sent    []time.Duration
	// refused counts the requests that found no room at once.
	refused int
}

func newFleet(gates int, limit float64, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), limit: limit}
	total := 0.0
	for i := range gates {
		f.names = append(f.names, fmt.Sprint("gate-", i))
		q := quota.New()
		q.Begin(epoch, "e")
		f.gates = append(f.gates, q)
		f.weights = append(f.weights, f.random.ExpFloat64())
		total += f.weights[len(f.weights)-1]
	}
	for i := range f.weights {
		f.weights[i] /= total
	}
	return f
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// run plays requests at a rate that depends on the time, while gates hear of each other
// each reportEvery, with a delay of up to lag.
func (f *fleet) run(length, reportEvery, lag time.Duration, perSecond func(at time.Duration) float64) {
	type report struct {
		due    time.Duration
		to     int
		counts int
	}
	var reports []report
	for at := time.Duration(0); at < length; at += tick {
		now := epoch.Add(at)
		for i, q := range f.gates {
			if f.random.Float64() < f.weights[i]*perSecond(at)*tick.Seconds() {
				if wait := q.Wait(now, "e", f.limit); wait > 0 {
					f.refused++
					continue
				}
				q.Take(now, "e", 0)
				f.sent = append(f.sent, at)
			}
		}
		if at%reportEvery == 0 {
			total := 0
			counts := make([]int, len(f.gates))
			for i, q := range f.gates {
				counts[i] = q.Counts(now)["e"]
				total += counts[i]
			}
			for i := range f.gates {
				delay := time.Duration(f.random.Float64() * float64(lag)).Truncate(tick)
				reports = append(reports, report{at + delay, i, total - counts[i]})
			}
		}
		kept := reports[:0]
		for _, r := range reports {
			if r.due > at {
				kept = append(kept, r)
				continue
			}
			f.gates[r.to].SetOthers(now, quota.Others{
				Gates: len(f.gates) - 1, Sent: map[string]int{"e": r.counts}, Ranks: map[string]int{"e": quota.Rank("e", f.names[r.to], f.names)},
			})
		}
		reports = kept
	}
}

// most returns the most requests within counted, from settled on.
func (f *fleet) most() int {
	most, first := 0, 0
	for i, at := range f.sent {
		for f.sent[first] < settled || at-f.sent[first] >= counted {
			if first++; first > i {
				break
			}
		}
		most = max(most, i-first+1)
	}
	return most
}

// Requests come in bursts of many times what an endpoint takes, after pauses in which
// every gate could have sent one. All gates together keep to one and a half times the
// limit and five requests more in any four seconds.
func TestGatesTogetherKeepToALimitInBursts(t *testing.T) {
	for _, gates := range []int{1, 7, 24, 100} {
		for _, limit := range []float64{0, 0.5, 2, 8, 40} {
			for seed := range uint64(6) {
				t.Run(fmt.Sprintf("%d gates, %v a second, seed %d", gates, limit, seed), func(t *testing.T) {
					f := newFleet(gates, limit, seed)
					f.run(40*time.Second, time.Duration(max(100, 5*gates))*time.Millisecond, 150*time.Millisecond, func(at time.Duration) float64 {
						if at%(12*time.Second) < 7*time.Second {
							return 0.3 * limit
						}
						return 20 + 6*limit
					})
					gomega.NewWithT(t).Expect(f.most()).To(gomega.BeNumerically("<=", 1.5*limit*counted.Seconds()+5))
				})
			}
		}
	}
}

// One gate has all requests. It may use what the others leave.
func TestAGateUsesWhatTheOthersLeave(t *testing.T) {
	f := newFleet(7, 8, 1)
	for i := range f.weights {
		f.weights[i] = 0
	}
	f.weights[0] = 1
	f.run(40*time.Second, 100*time.Millisecond, 100*time.Millisecond, func(time.Duration) float64 { return 60 })
	gomega.NewWithT(t).Expect(float64(len(f.sent)) / 40).To(gomega.BeNumerically(">", 8.0/7))
}

// A gate hears from no other, because no vault can be reached. It keeps to an equal part
// by the last report.
func TestAGateAloneKeepsToAnEqualPart(t *testing.T) {
	g := gomega.NewWithT(t)
	q := quota.New()
	q.Begin(epoch, "e")
	q.SetOthers(epoch, quota.Others{Gates: 3})
	sent := 0
	for at := 2 * time.Second; at < 12*time.Second; at += tick {
		if now := epoch.Add(at); q.Wait(now, "e", 8) == 0 {
			q.Take(now, "e", 0)
			sent++
		}
	}
	g.Expect(sent).To(gomega.BeNumerically("<=", 21), "two a second")
}

// Requests that wait for an endpoint go one after the other.
func TestWaitingRequestsQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	q := quota.New()
	q.SetOthers(epoch, quota.Others{})
	q.Begin(epoch, "e")
	var waits []time.Duration
	for range 3 {
		w := q.Wait(epoch, "e", 10)
		q.Take(epoch, "e", w)
		waits = append(waits, w)
	}
	g.Expect(waits).To(gomega.Equal([]time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond}))
	q.End("e")
	g.Expect(q.Wait(epoch, "e", 10)).To(gomega.BeZero())
}
