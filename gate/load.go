package gate

import (
	"maps"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/assign"
	"github.com/cowslipstage/cowslipstage/state/fleet"
	"github.com/cowslipstage/cowslipstage/state/toggle"
)

// load is what this gate's calls have shown of one endpoint.
type load struct {
	calls int
	// stepSeconds is the mean time of a step there: the pause between two
	// events of a stream, or the time of a plain call. 0 means that it is not
	// known.
	stepSeconds float64
	// measuredAt is when stepSeconds was last updated. It counts only for
	// stepAge.
	measuredAt time.Time
}

const (
	// stepWeight is the weight of the newest measurement in the mean.
	stepWeight = 0.15
	// stepAge is how long a measurement counts. After that, a slow endpoint
	// that gets no calls is tried again.
	stepAge = 3 * time.Second
	// bytesPerToken is a token's usual length in a text.
	bytesPerToken = 2
)

// loadOf returns the load of an endpoint. The caller holds the mutex.
func (g *Gate) loadOf(id string) *load {
	l := g.loads[id]
	if l == nil {
		l = &load{}
		g.loads[id] = l
	}
	return l
}

// placement is the endpoint that was chosen for a call, and what was known there.
type placement struct {
	fleet.Entry
	// unread is how many prompt tokens were thought not to be cached there.
	unread int
	// load is the number of calls there, relative to its slots.
	load float64
	// wait is how long the request waits because of the endpoint's limit.
	wait time.Duration
}

// choose picks an endpoint of the request's service that is not in q.tried, and
// counts the call there until release. previous is the endpoint that ran the
// chain's previous turn, or "". mayWait says whether the request may wait for an
// endpoint that is limited.
func (g *Gate) choose(now time.Time, q *request, previous string, mayWait bool) (placement, bool) {
	if g.revoked(q) {
		return placement{}, false
	}
	usable := g.fleet.Usable(now, q.service.Name)
	var others map[string]int
	var age time.Duration
	if g.site.Off.On(toggle.Exchange) {
		others, age = g.vaults.exchange.others(now)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ejectReported(now, usable)
	meanStep := g.meanStepSeconds(now, usable)
	cached := g.cachedTokens(q, previous, usable)
	home := q.home
	if !g.site.Off.On(toggle.Previous) {
		home.Endpoint = ""
	}
	var entries []fleet.Entry
	var choices []assign.Candidate
	for _, e := range usable {
		if q.tried[e.ID] {
			continue
		}
		c := g.candidate(now, e, meanStep)
		c.OtherCalls, c.CachedTokens, c.LimitWait = others[e.ID], cached(e.ID), g.limitWait(now, e)
		if e.ID == home.Endpoint && e.StartedAt == home.StartedAt {
			c.CachedTokens = max(c.CachedTokens, min(home.Tokens, q.PromptTokens))
		}
		entries = append(entries, e)
		choices = append(choices, c)
	}
	patience := time.Duration(0)
	if mayWait {
		patience = q.patience(now)
	}
	i, shortest := assign.PickWithin(choices, q.PromptTokens, patience, g.speedOf(q.service.Name).Speed(), g.random)
	q.limitWait = shortest
	if i < 0 {
		return placement{}, false
	}
	c := choices[i]
	if q.counted && len(q.tried) > 0 {
		g.meters.quotaRepeats.Inc()
	}
	g.loadOf(c.ID).calls++
	g.takeRoom(entries[i])
	limit, limited := g.caps.Rate(c.ID, entries[i].StartedAt)
	if limited {
		g.quota.Take(now, c.ID, c.LimitWait)
	}
	g.vaults.exchange.markChanged()
	g.stalls.CallSent(now.Add(c.LimitWait), c.ID)
	q.addCustomer(g.routine.Info()).Str("request", q.ID).Str("program", q.Program).Str("route", q.route.Name).Uint64("version", q.version).
		Str("service", q.service.Name).Str("endpoint", c.ID).Int("of", len(choices)).Int("mine", c.OwnCalls).Int("others", c.OtherCalls).
		Dur("othersAge", age).Float64("slow", c.Slowdown).Float64("share", c.Share).Bool("near", c.SameCentre).Int("held", c.CachedTokens).
		Float64("limit", limit).Dur("wait", c.LimitWait).Int("attempt", len(q.tried)).Msg("placed")
	return placement{
		Entry: entries[i], unread: max(0, q.PromptTokens-c.CachedTokens), load: float64(c.OwnCalls+c.OtherCalls) / float64(c.Slots), wait: c.LimitWait,
	}, true
}

// candidate returns what this gate knows of an endpoint. The caller holds the mutex.
func (g *Gate) candidate(now time.Time, e fleet.Entry, meanStep float64) assign.Candidate {
	off := g.site.Off
	l := g.loadOf(e.ID)
	c := assign.Candidate{
		ID: e.ID, OwnCalls: l.calls, Slots: e.Slots, Slowdown: 1, Share: g.share(now, e.ID),
		SameCentre: e.Centre == g.site.Centre || !off.On(toggle.Nearness),
		Connected:  !off.On(toggle.Connections) || g.pool.HasFreshConn(now, e.Addr),
	}
	if off.On(toggle.Warmup) {
		c.WarmupLeft = e.WarmupLeft
	}
	if off.On(toggle.Slowness) && meanStep > 0 && l.stepSeconds > 0 && now.Sub(l.measuredAt) < stepAge {
		c.Slowdown = l.stepSeconds / meanStep
	}
	return c
}

// prefixHomes returns the endpoints that are to cache a prompt's shared head: some in
// each data centre, so that one is always near.
func (g *Gate) prefixHomes(head string, entries []fleet.Entry) map[string]bool {
	if head == "" {
		return nil
	}
	centres := map[string][]string{}
	for _, e := range entries {
		centres[e.Centre] = append(centres[e.Centre], e.ID)
	}
	homes := map[string]bool{}
	for _, ids := range centres {
		maps.Copy(homes, assign.PrefixHomes(head, ids))
	}
	return homes
}

// cachedTokens returns a function that estimates how many tokens of a prompt an
// endpoint has cached: all but the new input if it ran the chain's previous turn, or
// the shared head.
func (g *Gate) cachedTokens(q *request, previous string, usable []fleet.Entry) func(id string) int {
	if !g.site.Off.On(toggle.Previous) {
		previous = ""
	}
	var homes map[string]bool
	if g.site.Off.On(toggle.Homes) {
		homes = g.prefixHomes(q.Prefix, usable)
	}
	return func(id string) int {
		switch {
		case previous != "" && id == previous:
			return max(0, q.PromptTokens-len(q.body)/bytesPerToken)
		case homes[id]:
			return q.PrefixTokens
		}
		return 0
	}
}

// meanStepSeconds returns the mean step time of the endpoints, or 0 if none is
// known.
func (g *Gate) meanStepSeconds(now time.Time, entries []fleet.Entry) float64 {
	total, known := 0.0, 0
	for _, e := range entries {
		if l := g.loads[e.ID]; l != nil && l.stepSeconds > 0 && now.Sub(l.measuredAt) < stepAge {
			total += l.stepSeconds
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return total / float64(known)
}

// release ends the count of a call that choose began.
func (g *Gate) release(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loadOf(id).calls--
	g.vaults.exchange.markChanged()
	g.stalls.CallEnded(time.Now(), id)
}

// recordProgress notes that an endpoint sent something.
func (g *Gate) recordProgress(now time.Time, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stalls.Heard(now, id)
}

// runningCalls returns this gate's running calls by endpoint, for the other
// gates.
func (g *Gate) runningCalls() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	calls := map[string]int{}
	for id, l := range g.loads {
		if l.calls > 0 {
			calls[id] = l.calls
		}
	}
	return calls
}

// recordStep notes how long a step took at an endpoint.
func (g *Gate) recordStep(now time.Time, id string, step time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.loadOf(id)
	if l.stepSeconds == 0 || now.Sub(l.measuredAt) > stepAge {
		l.stepSeconds = step.Seconds()
	} else {
		l.stepSeconds += stepWeight * (step.Seconds() - l.stepSeconds)
	}
	l.measuredAt = now
}

// recordOutcome notes whether an endpoint answered as it should.
func (g *Gate) recordOutcome(now time.Time, service, id string, ok bool) {
	var names []string
	for _, e := range g.fleet.Usable(now, service) {
		names = append(names, e.ID)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if ok {
		g.successes.Add(now, id)
		g.outliers.Succeed(id)
		return
	}
	g.failures.Add(now, id)
	g.outliers.Fail(now, id, names)
	g.vaults.exchange.markChanged()
}

// ejectReported ejects endpoints that the gates together saw fail. The caller
// holds the mutex.
func (g *Gate) ejectReported(now time.Time, usable []fleet.Entry) {
	if !g.site.Off.On(toggle.Reports) {
		return
	}
	for _, id := range g.vaults.exchange.failingEndpoints(now) {
		if g.outliers.Ejected(now, id) {
			continue
		}
		var pool []string
		service := ""
		for _, e := range usable {
			pool = append(pool, e.ID)
			if e.ID == id {
				service = e.Service
			}
		}
		if service == "" {
			continue // an endpoint of another service
		}
		if g.outliers.EjectByReports(now, id, pool); g.outliers.Ejected(now, id) {
			g.log.Warn().Str("endpoint", id).Str("service", service).Msg("endpoint fails at other gates; ejected")
		}
	}
}

// recentOutcomes returns the recently ended calls by endpoint: those that
// succeeded and those that failed.
func (g *Gate) recentOutcomes() (good, bad map[string]int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.successes.Counts(now), g.failures.Counts(now)
}

// recordUnreachable notes that an endpoint could not be sent a request.
func (g *Gate) recordUnreachable(now time.Time, service, id string) {
	var names []string
	for _, e := range g.fleet.Usable(now, service) {
		names = append(names, e.ID)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures.Add(now, id)
	g.outliers.Unreachable(now, id, names)
	g.vaults.exchange.markChanged()
}
