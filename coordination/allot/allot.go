// Package allot (coordination layer) decides at one gate which requests a customer's quota
// allows. The quota holds for all gates together, and no gate asks anyone before a request:
// each computes the customer's token bucket from what all gates passed, as vaults add it up,
// and takes a part of the room that is left. Load pattern: a few large customers, and many
// small ones whose requests reach every gate seldom.
package allot

import (
	"math/rand/v2"
	"time"

	"github.com/cowslipstage/cowslipstage/state/bound"
	"github.com/cowslipstage/cowslipstage/state/usage"
)

const (
	// toleratedSlack and toleratedOvershoot are the parts of the guarantee's tolerance that
	// are added to each burst. One program of a small customer may need more requests than
	// its burst, and refusing them would be of no use. The rest is for what gates do not
	// know of each other yet, which is most with large customers.
	toleratedSlack     = 0.6
	toleratedOvershoot = 0.2
	// beginReserve is the part of the bucket that requests that begin a program leave to
	// those in progress. A program needs some ten further requests once it has begun.
	beginReserve = 0.15
	// soloPart is the part of a full bucket that one gate may take between two reports
	// beyond its share, so that demand may move to it. It falls as the bucket empties.
	soloPart = 0.125
	// fewRequests is how many requests a gate may pass between two reports however small
	// its share is, with a probability that falls as the bucket empties.
	fewRequests = 2
	// sureLevel is the part of the bucket from which these requests pass for sure.
	sureLevel = 0.5
	// urgentRequests is how many requests at least have passed when a report is urgent.
	urgentRequests = 2
	// smallLimits is how many times the slack a small customer's limit may be within a window.
	smallLimits = 6
	// unheardTime is the time for which gates may not have heard of each other's requests,
	// some three times the usual.
	unheardTime = 400 * time.Millisecond
	// nearLevel is the part of the bucket below which a customer is near its quota.
	nearLevel = 0.6
	// equalPart is the part of a share that does not follow the gate's recent requests.
	equalPart = 0.4
	// shareIntervals is the time over which these are counted (2 s).
	shareIntervals = 8
	// freshAge is how long a view counts, from when its report was sent. After that a gate
	// has its share of the limit only; and if no view has come for that long, it is cut off.
	freshAge = time.Second
	// missingPart is the part of an equal share that a cut-off gate uses.
	missingPart = 0.5
	// assumedGates is how many gates there are before the first view. Gates that have never
	// had one keep to all limits together up to twice as many.
	assumedGates = 400
	// maxRetryAfter bounds the time to retry.
	maxRetryAfter = 5 * time.Second
)

// Verdict is the decision on a request: Pass, Over or Ask.
type Verdict interface{ verdict() }

// Pass lets a request pass, by one of the ways that Use names.
type Pass struct{ By string }

// Over refuses a request, which may have room after a time.
type Over struct{ RetryAfter time.Duration }

// Ask means that the vault that decides for the customer is to be asked. If it does not let the
// request pass, there may be room after a time.
type Ask struct{ RetryAfter time.Duration }

func (Pass) verdict() {}
func (Over) verdict() {}
func (Ask) verdict()  {}

// Allot holds what this gate passed by customer, and its last views of what all gates
// passed. One goroutine at a time may use it.
type Allot struct {
	bound     bound.Bound
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
	// answered says that a vault answered the last question.
	answered bool
	// quorum says that a majority of the vaults answers this gate. Without it, the gates that it
	// does not hear of may have vaults of their own.
	quorum bool
}

// customer is what is known of one customer.
type customer struct {
	// passed counts this gate's requests, total since its start.
	passed *usage.Ring
	total  int64
	// seen is the part of total that the view contains. told holds what each vault has stored,
	// by the vault's name; a vault that may have stored something else has no entry.
	seen int64
	told map[string]told
	// rate and burst are the limit at the last request.
	rate, burst float64
	// view holds what all gates passed, by interval, as of viewedAt; viewPhase is the part
	// of its first interval. Without one the bucket was full at the last exchange.
	view      []int
	viewedAt  time.Time
	viewPhase time.Duration
	// viewNumber is the number of the report or question that the view answers.
	viewNumber uint64
	// level is the bucket's level as of viewedAt under the limit of levelRate, levelBurst
	// and levelMissing.
	level, levelRate, levelBurst float64
	// share is this gate's part of the room as of the view.
	share float64
	// luck is the chance of this view by which fractions of a request pass, negative until
	// it is drawn.
	luck float64
	// part is the level of the bucket of a gate without fresh views, as of partAt. It is
	// zero while views are fresh.
	part   float64
	partAt time.Time
	// askedAt is the last request, reportAt the last report with this customer.
	askedAt, reportAt time.Time
	// urgent says that a report is due soon, because much of what may pass until then has
	// passed.
	urgent bool
	// asked is the vault that an open question was sent to, "" for none. Reports to it leave
	// the customer out meanwhile, since they would take back what it is about to grant.
	asked string
	// noneUntil is the time until which no request under way, and beginsNoneUntil until
	// which none that begins a program, passes by a question.
	noneUntil, beginsNoneUntil time.Time
	// ways counts what passed since the last call of Uses. viewed is what the vault of the view
	// counted, decided what the vault did that answered the last question.
	ways            map[string]int
	viewed, decided Counted
}

// told is the part of a customer's total that a vault has stored, as of a report or question.
type told struct {
	total    int64
	sequence uint64
}

// New returns an Allot of a gate that has passed nothing.
func New(b bound.Bound, random *rand.Rand) *Allot {
	return &Allot{bound: b, customers: map[string]*customer{}, random: random, gates: assumedGates}
}

// customer returns what is known of a customer, which is little at first.
func (a *Allot) customer(name string) *customer {
	c := a.customers[name]
	if c == nil {
		c = &customer{passed: usage.NewRing(a.bound.Window()), told: map[string]told{}}
		a.customers[name] = c
	}
	return c
}

// Take decides on a request of a customer with a limit, and counts it if it passes. begins
// says that it begins a program: such requests are refused first.
func (a *Allot) Take(now time.Time, name string, rate, burst float64, begins bool) Verdict {
	c := a.customer(name)
	if c.rate != rate || c.burst != burst {
		c.rate, c.burst, c.levelRate = rate, burst, -1
	}
	c.askedAt = now
	var way string
	var ask bool
	var wait time.Duration
	if a.Fresh(now) {
		c.partAt = time.Time{}
		way, ask, wait = a.takeShared(now, c, begins)
	} else {
		way, wait = a.takePart(now, c, begins)
	}
	if way != "" {
		c.pass(now, way, 1)
		return Pass{way}
	}
	wait = min(time.Duration(float64(wait)*(1+a.random.Float64()/2)), maxRetryAfter) // not all come back at once
	if ask && c.mayAsk(now, begins) && a.windowRoom(now, c) >= 1 {
		return Ask{wait}
	}
	return Over{wait}
}

// pass counts requests that pass by a way.
func (c *customer) pass(now time.Time, way string, requests int) {
	c.noteWay(way, requests)
	c.total += int64(requests)
	c.passed.Add(now, requests)
}

// Return takes back a request that passed and reached no endpoint.
func (a *Allot) Return(now time.Time, name string) {
	if c := a.customers[name]; c != nil && c.total > 0 {
		c.total--
		c.passed.Add(now, -1)
	}
}

// takeShared decides by the level that all gates see. It returns the way by which a request
// passes, or "". ask says that the vault may know of room for one that does not pass.
func (a *Allot) takeShared(now time.Time, c *customer, begins bool) (way string, ask bool, wait time.Duration) {
	rate, full := a.limit(c)
	seen := full // if the view is old, no gate found the customer near its quota since
	if age := now.Sub(c.viewedAt); age <= freshAge {
		seen = a.levelAt(c)
	}
	level := min(full, seen+rate*now.Sub(c.viewedAt).Seconds())
	if begins {
		level -= beginReserve * full
		seen -= beginReserve * full
	}
	if c.luck < 0 {
		c.luck = a.random.Float64()
	}
	unseen := float64(c.total - c.seen)
	own := a.share(c) * level
	c.urgent = c.urgent || unseen+1 >= max(own/2, urgentRequests)
	if level < 1 {
		return "", !begins, seconds((1 - level) / c.rate)
	}
	switch {
	case unseen+1 <= own+c.luck:
		return ByShare, false, 0
	case unseen < fewRequests && seen >= sureLevel*full:
		return ByFew, false, 0
	case a.answered: // the vault knows better than chance
		return "", true, usage.Interval
	case seen > 0 && unseen+1 <= soloPart*seen*seen/full:
		return BySolo, false, 0
	case unseen < fewRequests && a.random.Float64() < seen/full/sureLevel:
		return ByFew, false, 0
	case a.small(c) && level-c.unheard()-unseen >= 1:
		return BySlack, false, 0
	}
	return "", true, usage.Interval
}

// small reports whether the guarantee's slack covers what gates pass before they hear of each
// other, however fast the customer's requests come.
func (a *Allot) small(c *customer) bool {
	return a.bound.Quota(c.rate, c.burst) <= smallLimits*a.bound.Slack()
}

// unheard returns how many requests other gates may have passed that the view lacks, at the
// customer's recent pace.
func (c *customer) unheard() float64 {
	recent := 0
	for _, n := range c.view[:min(len(c.view), shareIntervals)] {
		recent += n
	}
	pace := float64(recent) / (shareIntervals * usage.Interval).Seconds()
	return 1 + pace*unheardTime.Seconds()
}

// takePart decides without knowing what other gates pass now: this gate has a part of the
// limit. Parts of small customers are less than one request; then chance decides, so that all
// gates together keep to the limit on average. It returns the way of takeShared.
func (a *Allot) takePart(now time.Time, c *customer, begins bool) (string, time.Duration) {
	part := missingPart / float64(a.gates+a.missing)
	if a.quorum && now.Sub(a.receivedAt) <= freshAge {
		part = a.share(c)
	}
	full := (c.burst + a.tolerated(c)) * part
	if c.partAt.IsZero() {
		c.part, c.partAt = usage.Level(c.passed.Counts(now), usage.Phase(now), c.rate*part, full), now
	}
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
		return ByPart, 0
	case full >= 1 || level <= 0:
		return "", wait
	}
	c.part -= level
	if a.random.Float64() < level {
		return ByPart, 0
	}
	return "", wait
}

// limit returns the rate and the size of the bucket for all gates that report. Others that
// went silent use their part unheard. Where they are few, the guarantee's overshoot is
// enough for them.
func (a *Allot) limit(c *customer) (rate, full float64) {
	missing := missingPart * float64(a.missing) / float64(a.gates+a.missing)
	present := min(1, 1+a.bound.Overshoot()/2-missing)
	return c.rate * present, c.burst*present + a.tolerated(c)
}

// tolerated returns how many requests are added to the customer's burst.
func (a *Allot) tolerated(c *customer) float64 {
	return toleratedSlack*a.bound.Slack() + toleratedOvershoot*a.bound.Overshoot()*a.bound.Quota(c.rate, c.burst)
}

// share returns this gate's part of the room. The shares of all gates add up to one.
func (a *Allot) share(c *customer) float64 {
	if c.viewedAt.IsZero() {
		return 1 / float64(a.gates)
	}
	return c.share
}

// shareOf returns a gate's part of the room of a view: partly equal, partly by its part of
// what passed recently. own is what the view contains of the gate's requests, so that the
// shares add up to one, however late the view is.
func (a *Allot) shareOf(own int, view []int) float64 {
	equal := 1 / float64(a.gates)
	all := 0
	for _, n := range view[:min(len(view), shareIntervals)] {
		all += n
	}
	if all == 0 {
		return equal
	}
	return equalPart*equal + (1-equalPart)*min(1, float64(own)/float64(all))
}

// levelAt returns the bucket's level as of the customer's view. Requests before the view's
// intervals are not known; the bucket was full then.
func (a *Allot) levelAt(c *customer) float64 {
	rate, full := a.limit(c)
	if c.levelRate == rate && c.levelBurst == full {
		return c.level
	}
	c.level, c.levelRate, c.levelBurst = usage.Level(c.view, c.viewPhase, rate, full), rate, full
	return c.level
}

func seconds(s float64) time.Duration { return time.Duration(min(s, 3600) * float64(time.Second)) }
