package gate

import (
	"maps"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/assign"
	"github.com/cowslipstage/cowslipstage/state/fleet"
)

// load is what this gate's calls have shown of one endpoint.
type load struct {
	calls int
	// pace is the mean time of a step there: the pause between two events of a
	// stream, or the time of a call, in seconds; 0 when not known.
	pace float64
	// seen is when pace was last measured; an old one says little.
	seen time.Time
}

const (
	// paceWeight is the weight of the newest measurement in the mean.
	paceWeight = 0.15
	// paceAge is how long a measurement counts; a slow endpoint that gets no
	// calls is tried again after it.
	paceAge = 3 * time.Second
	// bytesPerToken is a token's usual length in a text.
	bytesPerToken = 2
)

func (g *Gate) loadOf(id string) *load {
	l := g.loads[id]
	if l == nil {
		l = &load{}
		g.loads[id] = l
	}
	return l
}

// choose picks an endpoint of the request's service that is not among those
// tried, and counts the call there until release. cached is the one that ran the
// chain's last turn.
func (g *Gate) choose(now time.Time, q *request, cached string) (fleet.Entry, bool) {
	usable := g.fleet.Usable(now, q.service.Name)
	others, age := g.bank.share.others(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.convict(now, usable)
	usual := g.usualPace(now, usable)
	homes := g.homes(q.Prefix, usable)
	var entries []fleet.Entry
	var choices []assign.Candidate
	for _, e := range usable {
		if q.tried[e.ID] {
			continue
		}
		l := g.loadOf(e.ID)
		c := assign.Candidate{
			ID: e.ID, OwnCalls: l.calls, OtherCalls: others[e.ID], Slots: e.Slots, SameCentre: e.Centre == g.site.Centre,
			CachedTokens: q.held(e.ID, cached, homes), Slowdown: 1, Share: g.judge.Share(now, e.ID), WarmupLeft: e.WarmUp,
			Connected: g.pool.Open(now, e.Addr),
		}
		if g.pulse.Stalled(now, e.ID) {
			c.Share = 0
		}
		if usual > 0 && l.pace > 0 && now.Sub(l.seen) < paceAge {
			c.Slowdown = l.pace / usual
		}
		entries = append(entries, e)
		choices = append(choices, c)
	}
	i := assign.Pick(choices, q.PromptTokens, g.random)
	if i < 0 {
		return fleet.Entry{}, false
	}
	g.loadOf(entries[i].ID).calls++
	g.bank.share.change()
	g.pulse.CallSent(now, entries[i].ID)
	c := choices[i]
	g.routine.Info().Str("request", q.ID).Str("program", q.Program).Str("route", q.route.Name).Uint64("version", q.version).
		Str("service", q.service.Name).Str("endpoint", c.ID).Int("of", len(choices)).Int("mine", c.OwnCalls).Int("others", c.OtherCalls).
		Dur("othersAge", age).Float64("slow", c.Slowdown).Float64("share", c.Share).Bool("near", c.SameCentre).Int("held", c.CachedTokens).Msg("placed")
	return entries[i], true
}

// homes returns which endpoints cache a prompt's head: some in each data centre,
// so that the way to one is short.
func (g *Gate) homes(head string, entries []fleet.Entry) map[string]bool {
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

// held estimates the tokens of the prompt that an endpoint has cached: all but
// the new input where the chain's last turn ran, or the shared head.
func (q *request) held(id, cached string, homes map[string]bool) int {
	switch {
	case cached != "" && id == cached:
		return max(0, q.PromptTokens-len(q.body)/bytesPerToken)
	case homes[id]:
		return q.PrefixTokens
	}
	return 0
}

// usualPace returns the mean pace of the endpoints, or 0 if none is known.
func (g *Gate) usualPace(now time.Time, entries []fleet.Entry) float64 {
	total, known := 0.0, 0
	for _, e := range entries {
		if l := g.loads[e.ID]; l != nil && l.pace > 0 && now.Sub(l.seen) < paceAge {
			total += l.pace
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return total / float64(known)
}

func (g *Gate) release(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loadOf(id).calls--
	g.bank.share.change()
	g.pulse.CallEnded(time.Now(), id)
}

// heard notes a sign of life of an endpoint.
func (g *Gate) heard(now time.Time, id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pulse.Heard(now, id)
}

// running returns this gate's calls by endpoint, for the other gates.
func (g *Gate) running() map[string]int {
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

// paced notes how long a step took at an endpoint.
func (g *Gate) paced(now time.Time, id string, step time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.loadOf(id)
	if l.pace == 0 || now.Sub(l.seen) > paceAge {
		l.pace = step.Seconds()
	} else {
		l.pace += paceWeight * (step.Seconds() - l.pace)
	}
	l.seen = now
}

// judged notes whether an endpoint answered as it should.
func (g *Gate) judged(now time.Time, service, id string, ok bool) {
	var names []string
	for _, e := range g.fleet.Usable(now, service) {
		names = append(names, e.ID)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if ok {
		g.good.Add(now, id)
		g.judge.Succeed(id)
		return
	}
	g.bad.Add(now, id)
	g.judge.Fail(now, id, names)
	g.bank.share.change()
}

// convict keeps work away from endpoints that other gates saw fail. It is called
// with the mutex held.
func (g *Gate) convict(now time.Time, usable []fleet.Entry) {
	for _, id := range g.bank.share.suspects(now) {
		if g.judge.Ejected(now, id) {
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
			continue // it is of another service
		}
		if g.judge.EjectByReports(now, id, pool); g.judge.Ejected(now, id) {
			g.log.Warn().Str("endpoint", id).Str("service", service).Msg("endpoint fails at other gates; kept from work")
		}
	}
}

// ended returns the calls by endpoint that ended well or failed lately.
func (g *Gate) ended() (good, bad map[string]int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.good.Counts(now), g.bad.Counts(now)
}

// unreached notes that an endpoint could not even be sent a request.
func (g *Gate) unreached(now time.Time, service, id string) {
	var names []string
	for _, e := range g.fleet.Usable(now, service) {
		names = append(names, e.ID)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bad.Add(now, id)
	g.judge.Unreachable(now, id, names)
	g.bank.share.change()
}
