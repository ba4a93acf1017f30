package allot_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	gates  = 75
	always = time.Hour
	// length is how long most replays last; hotFrom to hotTo a customer is hot.
	length         = 20 * time.Second
	hotFrom, hotTo = 5 * time.Second, 11 * time.Second
)

// usual returns a customer that sends a number of requests a second under a limit of 1.6
// times that. A sixth of them begin a program.
func usual(name string, perSecond float64) *demand {
	rate := max(3, 1.6*perSecond)
	return &demand{name: name, rate: rate, burst: rate, begins: 1.0 / 6, perSecond: func(time.Duration) float64 { return perSecond }}
}

// customers returns 85 customers of some 1,800 requests a second, the k-th of which sends as
// 1/k^1.2, and at least 2.
func customers() []*demand {
	var all []*demand
	for k := range 85 {
		all = append(all, usual(fmt.Sprint("c", k), max(2, 520/math.Pow(float64(k+1), 1.2))))
	}
	return all
}

// hot makes a customer send a multiple of its usual use for some seconds.
func (d *demand) hot(factor float64) *demand {
	before := d.perSecond
	d.perSecond = func(at time.Duration) float64 {
		if at >= hotFrom && at < hotTo {
			return factor * before(at)
		}
		return before(at)
	}
	return d
}

// expect checks the guarantee for each customer, and that at most a part of its requests is
// refused falsely.
func expect(t *testing.T, falsely float64, all ...*demand) {
	t.Helper()
	g := gomega.NewWithT(t)
	sent, wrong := 0, 0
	for _, d := range all {
		g.Expect(float64(d.most(0, always))).To(gomega.BeNumerically("<=", d.bound()), "window of %s", d.name)
		sent += d.sent
		wrong += d.falsely()
		if d == all[0] || d.falsely() > 0 || len(all) < 3 {
			t.Logf("%s: rate %.0f, sent %d, passed %d, refused %d of which falsely %d and in progress %d; most %d of %.0f",
				d.name, d.rate, d.sent, len(d.passed), d.overs, d.falsely(), d.cuts, d.most(0, always), d.bound())
		}
	}
	t.Logf("refused falsely: %d of %d", wrong, sent)
	g.Expect(float64(wrong)).To(gomega.BeNumerically("<=", falsely*float64(sent)))
}

// Below its limit nobody is refused, large or small.
func TestUsualUseIsNotRefused(t *testing.T) {
	for seed := range uint64(3) {
		f, all := newFleet(gates, seed), customers()
		f.run(length, all...)
		expect(t, 0.0005, all...)
		t.Logf("%.1f reports a second and gate", float64(f.reports)/gates/length.Seconds())
	}
}

func TestAHotCustomerIsKeptToItsLimit(t *testing.T) {
	for _, k := range []int{0, 1, 5, 20, 84} {
		for _, factor := range []float64{3, 7.5, 20} {
			t.Run(fmt.Sprint(k, " times ", factor), func(t *testing.T) {
				f, all := newFleet(gates, uint64(k)), customers()
				all[0], all[k] = all[k].hot(factor), all[0]
				f.run(length, all...)
				expect(t, 0.01, all...)
			})
		}
	}
}
