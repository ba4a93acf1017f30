// Package allot (coordination layer) decides at one gate which requests a customer's quota
// allows. The quota holds for all gates together, and no gate asks anyone before a request:
// each computes the customer's token bucket from what all gates passed, as vaults add it up,
// and takes a part of the room that is left. Load pattern: a few large customers, and many
// small ones whose requests reach every gate seldom.
package allot

import (
	"math/rand/v2"
	"time"

	"github.com/cowslipstage/cowslipstage/state/usage"
)

const (
	// extraBurst is added to each burst. Small customers have bursts of two or three
	// requests, and refusing the fourth would be within the guarantee's slack of 20 but
	// of no use. The rest of the slack is for what gates do not know of each other yet.
	extraBurst = 6
	// beginReserve is the part of the burst that requests that begin a program leave to
	// those in progress.
	beginReserve = 0.2
	// soloPart is the part of a full bucket that one gate may take between two reports
	// beyond its share, so that demand may move to it. It falls as the bucket empties.
	soloPart = 0.125
	// fewRequests is how many requests a gate may pass between two reports however small
	// its share is, with a probability that falls as the bucket empties. Fractions pass by
	// chance. Larger customers have a few more, so that all gates together use at most
	// fewSlack of the guarantee's slack for them.
	fewRequests = 2
	fewSlack    = 0.5
	// sureLevel is the part of the bucket from which these requests pass for sure.
	sureLevel = 0.5
	// urgentRequests is how many requests at least have passed when a report is urgent.
	urgentRequests = 2
	// overshoot and slack are the guarantee's: in any 5 s at most 1 + overshoot times the
	// limit and slack requests.
	overshoot = 0.1
	slack     = 20
	window    = 5 * time.Second
	// nearLevel is the part of the bucket below which a customer is near its quota.
	nearLevel = 0.6
	// equalPart is the part of a share that does not follow the gate's recent requests.
	equalPart = 0.4
	// shareIntervals is the time over which these are counted (2 s).
	shareIntervals = 8
	// freshAge is how long a view counts. After that a gate has its part of the limit
	// only, and after cutOffAge half of it.
	freshAge  = time.Second
	cutOffAge = 4 * time.Second
	// missingPart is the part of its share that a cut-off gate uses.
	missingPart = 0.5
	// assumedGates is how many gates there are before the first view.
	assumedGates = 100
	// maxRetryAfter bounds the time to retry.
	maxRetryAfter = 5 * time.Second
)

// Verdict is the decision on a request: Pass or Over.
type Verdict interface{ verdict() }

// Pass lets a request pass.
type Pass struct{}

// Over refuses a request, which may have room after a time.
type Over struct{ RetryAfter time.Duration }

func (Pass) verdict() {}
func (Over) verdict() {}

// Allot holds what this gate passed by customer, and its last views of what all gates
// passed. One goroutine at a time may use it.
type Allot struct {
	customers map[string]*customer
	random    *rand.Rand
	// gates report to the vaults, missing ones did until recently.
	gates, missing int
	// sentAt is when the report was sent that the last view answers, and receivedAt when
	// the view came.
	sentAt, receivedAt time.Time
	// reportAt is when the last report was made.
	reportAt time.Time
	reports  uint64
	// nearAt is when a view of all customers near their quota was last wanted.
	nearAt time.Time
	// viewed is the number of the report that the last view answers.
	viewed uint64
}

// customer is what is known of one customer.
type customer struct {
	// passed counts this gate's requests, total since its start.
	passed usage.Ring
	total  int64
	// seen is the part of total that the view contains.
	seen int64
	// rate and burst are the limit at the last request.
	rate, burst float64
	// view holds what all gates passed, by interval, as of viewedAt; viewPhase is the part
	// of its first interval. Without one the bucket was full at the last exchange.
	view      []int
	viewedAt  time.Time
	viewPhase time.Duration
	// level is the bucket's level as of viewedAt under the limit of levelRate, levelBurst
	// and levelMissing.
	level, levelRate, levelBurst float64
	// part and partAt are the bucket of a gate without fresh views.
	part   float64
	partAt time.Time
	// askedAt is the last request, reportAt the last report with this customer.
	askedAt, reportAt time.Time
	// urgent says that a report is due soon, because much of what may pass until then has
	// passed.
	urgent bool
}

// New returns an Allot of a gate that has passed nothing.
func New(random *rand.Rand) *Allot {
	return &Allot{customers: map[string]*customer{}, random: random, gates: assumedGates}
}

// Take decides on a request of a customer with a limit, and counts it if it passes. begins
// says that it begins a program: such requests are refused first.
func (a *Allot) Take(now time.Time, name string, rate, burst float64, begins bool) Verdict {
	c := a.customers[name]
	if c == nil {
		c = &customer{partAt: now}
		a.customers[name] = c
	}
	if c.rate != rate || c.burst != burst {
		c.rate, c.burst, c.levelRate = rate, burst, -1
	}
	c.askedAt = now
	var pass bool
	var wait time.Duration
	if now.Sub(a.sentAt) <= freshAge {
		pass, wait = a.takeShared(now, c, begins)
	} else {
		pass, wait = a.takePart(now, c, begins)
	}
	if !pass {
		wait = time.Duration(float64(wait) * (1 + a.random.Float64()/2)) // not all come back at once
		return Over{min(wait, maxRetryAfter)}
	}
	c.total++
	c.passed.Add(now, 1)
	return Pass{}
}

// Return takes back a request that passed and reached no endpoint.
func (a *Allot) Return(now time.Time, name string) {
	if c := a.customers[name]; c != nil && c.total > 0 {
		c.total--
		c.passed.Add(now, -1)
	}
}

// takeShared decides by the level that all gates see.
func (a *Allot) takeShared(now time.Time, c *customer, begins bool) (bool, time.Duration) {
	full := c.burst + extraBurst
	level := min(full, a.levelAt(c)+c.rate*a.presentPart()*now.Sub(c.viewedAt).Seconds())
	if c.viewedAt.IsZero() {
		level = full
	}
	if begins {
		level -= beginReserve * full
	}
	unseen := float64(c.total - c.seen)
	own := a.share(now, c) * level
	c.urgent = c.urgent || unseen+1 >= max(own/2, urgentRequests)
	if level < 1 {
		return false, seconds((1 - level) / c.rate)
	}
	if unseen+1 <= max(own, soloPart*level*level/full) || a.random.Float64() < min(1, c.few(a.gates)-unseen)*level/full/sureLevel {
		return true, 0
	}
	return false, usage.Interval
}

// few returns how many requests a gate may pass between two reports whatever its share.
func (c *customer) few(gates int) float64 {
	spare := fewSlack * (overshoot*(c.rate*window.Seconds()+c.burst) + slack - extraBurst)
	return max(fewRequests, (c.burst+spare)/float64(gates))
}

// takePart decides without knowing what other gates pass: this gate has an equal part of the
// limit. Parts of small customers are less than one request; then chance decides, so that all
// gates together keep to the limit on average.
func (a *Allot) takePart(now time.Time, c *customer, begins bool) (bool, time.Duration) {
	part := 1 / float64(a.gates+a.missing)
	if now.Sub(a.receivedAt) > cutOffAge {
		part *= missingPart
	}
	full := (c.burst + extraBurst) * part
	c.part = min(full, c.part+c.rate*part*now.Sub(c.partAt).Seconds())
	c.partAt = now
	level := c.part
	if begins {
		level -= beginReserve * full
	}
	wait := seconds(max(0, 1-level) / (c.rate * part))
	switch {
	case level >= 1:
		c.part--
		return true, 0
	case full >= 1 || level <= 0:
		return false, wait
	}
	c.part -= level
	return a.random.Float64() < level, wait
}

// presentPart is the part of the limit that gates that report may use: others that went
// silent use theirs unheard.
func (a *Allot) presentPart() float64 {
	return 1 - missingPart*float64(a.missing)/float64(max(1, a.gates+a.missing))
}

// share returns this gate's part of the room: partly equal, partly by its part of what
// passed recently. The shares of all gates add up to one.
func (a *Allot) share(now time.Time, c *customer) float64 {
	equal := 1 / float64(max(1, a.gates))
	all := 0
	for _, n := range c.view[:min(len(c.view), shareIntervals)] {
		all += n
	}
	if all == 0 {
		return equal
	}
	own := min(1, float64(c.passed.Sum(now, shareIntervals))/float64(all))
	return equalPart*equal + (1-equalPart)*own
}

// levelAt returns the bucket's level as of the customer's view. Requests before the view's
// intervals are not known; the bucket was full then.
func (a *Allot) levelAt(c *customer) float64 {
	rate, full := c.rate*a.presentPart(), c.burst+extraBurst
	if c.levelRate == rate && c.levelBurst == full {
		return c.level
	}
	level := full
	for i := len(c.view) - 1; i >= 0; i-- {
		length := usage.Interval
		if i == 0 {
			length = c.viewPhase
		}
		level = min(full, level+rate*length.Seconds()) - float64(c.view[i]) // as if all passed at the interval's end
	}
	c.level, c.levelRate, c.levelBurst = level, rate, full
	return level
}

func seconds(s float64) time.Duration { return time.Duration(min(s, 3600) * float64(time.Second)) }
