package gate

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/coordination/allot"
	"github.com/cowslipstage/cowslipstage/coordination/heard"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/bound"
)

// allowances holds what this gate knows of the customers' quotas.
type allowances struct {
	// wake is signalled when a report is due before its usual pause is over.
	wake chan struct{}

	mu    sync.Mutex
	allot *allot.Allot
	// lifetime is the start of this process in Unix milliseconds.
	lifetime int64
	// heard tells which vaults know enough of what all gates pass, and knowing how many of the
	// connected ones last did.
	heard   *heard.Heard
	knowing int
	// ended says that this gate passes no further requests.
	ended bool
	// fresh says whether this gate last knew what the others pass.
	fresh bool
	// metered holds the customers that have metrics of their own.
	metered map[string]bool
	// usesAt is when the use of quotas was last logged.
	usesAt time.Time
	// dials is the number of the connection to each vault at the last report, by address.
	dials map[string]int
	// asking holds the requests of each customer that wait for a vault's decision.
	asking map[string]*asking
}

const (
	// maxMetered is how many customers have metrics of their own. otherCustomers is the
	// label of all others together.
	maxMetered     = 200
	otherCustomers = "(other)"
)

func newAllowances(now time.Time, b bound.Bound) *allowances {
	return &allowances{
		wake: make(chan struct{}, 1), lifetime: now.UnixMilli(), metered: map[string]bool{}, dials: map[string]int{}, asking: map[string]*asking{},
		heard: heard.New(), allot: allot.New(b, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
}

// signal makes allowancesLoop report as soon as the least pause allows.
func (a *allowances) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// takeAllowance counts a request against its customer's quota, and refuses it if the quota
// is spent. begins says that it begins a program. It reports whether the request may go on.
func (g *Gate) takeAllowance(ctx context.Context, now time.Time, q *request, begins bool) bool {
	c := q.customer
	if c == nil || c.Rate() <= 0 {
		return true
	}
	a := g.allowances
	a.mu.Lock()
	verdict := a.allot.Take(now, c.Name(), c.Rate(), c.Burst(), begins)
	urgent, fresh, status := a.allot.Urgent(c.Name()), a.allot.Fresh(now), a.allot.Status(now, c.Name())
	label := a.meter(g, c.Name())
	a.mu.Unlock()
	if urgent {
		a.signal()
	}
	var retryAfter time.Duration
	switch v := verdict.(type) {
	case allot.Pass:
		q.counted = true
		g.meters.countPass(v.By)
	case allot.Ask:
		q.counted, retryAfter = g.askAllowance(ctx, q, begins), v.RetryAfter
	case allot.Over:
		retryAfter = v.RetryAfter
	}
	g.meters.countAllowance(label, q.counted)
	if q.counted {
		return true
	}
	g.routine.Info().Str("request", q.ID).Str("program", q.Program).Str("customer", c.Name()).Float64("rate", c.Rate()).Float64("burst", c.Burst()).
		Bool("begins", begins).Float64("level", status.Level).Float64("share", status.Share).Dur("viewAge", status.Age).
		Dur("retryAfter", retryAfter).Msg("over the customer's quota")
	if !fresh {
		// Another gate may know that there is room.
		q.retryAfter = retryElsewhereMin + time.Duration(g.randomFloat()*float64(retryElsewhereSpread))
		g.refuse(q, http.StatusServiceUnavailable, "this gate does not know how much of the customer's quota is left; it has not run")
		return false
	}
	q.limitWait = retryAfter
	g.refuse(q, http.StatusTooManyRequests, "the customer's quota is spent; it has not run")
	return false
}

// meter returns the label of a customer's metrics, and creates those that are read when they
// are served. The caller holds the mutex.
func (a *allowances) meter(g *Gate, customer string) string {
	if a.metered[customer] {
		return customer
	}
	if len(a.metered) >= maxMetered {
		return otherCustomers
	}
	a.metered[customer] = true
	g.meters.gaugeShare(customer, func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.allot.Status(time.Now(), customer).Share
	})
	return customer
}

// viewAge returns the age in seconds of what this gate knows of the others, 0 if no customer
// has a quota.
func (g *Gate) viewAge() float64 {
	if t := g.table.Load(); t == nil || !t.Keys().HasLimits() {
		return 0
	}
	g.allowances.mu.Lock()
	defer g.allowances.mu.Unlock()
	return g.allowances.allot.Status(time.Now(), "").Age.Seconds()
}

// noteFresh logs when this gate begins or ceases to know what the others pass.
func (g *Gate) noteFresh(now time.Time) {
	a := g.allowances
	a.mu.Lock()
	fresh := a.allot.Fresh(now)
	changed := fresh != a.fresh
	a.fresh = fresh
	age := a.allot.Status(now, "").Age
	a.mu.Unlock()
	switch {
	case changed && fresh:
		g.log.Info().Msg("use of quotas is known; customers have their whole quotas")
	case changed:
		g.log.Warn().Dur("viewAge", age).Msg("use of quotas at other gates is not known; customers have this gate's part of their quotas")
	}
}

// usesEvery is the pause between two log lines on a customer near its quota.
const usesEvery = time.Second

// logUses logs what this gate passed for customers near their quota, beside what the vaults
// counted that it heard from.
func (g *Gate) logUses(now time.Time) {
	a := g.allowances
	a.mu.Lock()
	var uses []allot.Use
	if now.Sub(a.usesAt) >= usesEvery {
		uses, a.usesAt = a.allot.Uses(now), now
	}
	a.mu.Unlock()
	for _, u := range uses {
		passed := zerolog.Dict()
		for _, way := range slices.Sorted(maps.Keys(u.Passed)) {
			passed.Int(way, u.Passed[way])
		}
		g.log.Info().Str("customer", u.Customer).Float64("rate", u.Rate).Float64("burst", u.Burst).Dict("passed", passed).
			Float64("level", u.Level).Float64("share", u.Share).Int64("unseen", u.Unseen).
			Str("viewVault", u.Viewed.Vault).Int("viewCount", u.Viewed.Requests).Dur("viewAge", now.Sub(u.Viewed.At)).
			Str("askedVault", u.Decided.Vault).Int("askedCount", u.Decided.Requests).Dur("askedAge", now.Sub(u.Decided.At)).
			Msg("use of a quota at this gate")
	}
}

// returnAllowance takes a request back that was sent to no endpoint.
func (g *Gate) returnAllowance(now time.Time, q *request) {
	if !q.counted || len(q.tried) > 0 {
		return
	}
	q.counted = false
	g.allowances.mu.Lock()
	defer g.allowances.mu.Unlock()
	g.allowances.allot.Return(now, q.customer.Name())
}

// allowancesLoop tells the vaults what this gate passes by customer, and learns what all
// gates pass, while any customer has a quota.
func (g *Gate) allowancesLoop(ctx context.Context) {
	a := g.allowances
	for ctx.Err() == nil {
		if t := g.table.Load(); t == nil || !t.Keys().HasLimits() {
			select {
			case <-a.wake:
			case <-ctx.Done():
			}
			continue
		}
		g.noteFresh(time.Now())
		g.logUses(time.Now())
		a.mu.Lock()
		pause := a.allot.Pause(time.Now())
		a.mu.Unlock()
		if pause <= 0 {
			g.exchangeAllowances(ctx, time.Now())
			continue
		}
		select {
		case <-time.After(pause):
		case <-a.wake:
		case <-ctx.Done():
		}
	}
}

// connectedVaults returns the connected vaults in the order of seats.Roster.Order.
func (g *Gate) connectedVaults(centre, key string) []string {
	var addrs []string
	for _, s := range g.vaults.currentRoster().Order(centre, key) {
		if g.vaults.connection(s.Addr).Connected() {
			addrs = append(addrs, s.Addr)
		}
	}
	return addrs
}

// exchangeAllowances sends a report to every vault. The nearest one that knows enough is asked
// for what all gates passed.
func (g *Gate) exchangeAllowances(ctx context.Context, now time.Time) {
	a := g.allowances
	addrs := g.connectedVaults(g.site.Centre, "")
	a.mu.Lock()
	for _, addr := range addrs {
		if n := g.vaults.connection(addr).Dials(); a.dials[addr] != n { // it may have restarted
			a.allot.Forget(addr)
			a.heard.Forget(addr)
			a.dials[addr] = n
		}
	}
	if n := len(a.heard.Knowing(now, addrs)); n != a.knowing {
		g.log.Info().Int("knowing", n).Int("before", a.knowing).Int("connected", len(addrs)).Msg("vaults that know the use of quotas")
		a.knowing = n
	}
	addrs = a.heard.Order(now, addrs)
	g.noteQuorum(now)
	r := a.allot.Report(now, addrs)
	ended := a.ended
	a.mu.Unlock()
	for i, addr := range addrs {
		m := &vaults.Allowances{Lifetime: a.lifetime, Counts: r.Counts(addr), Ends: ended}
		if i == 0 {
			m.WantView, m.WantNear = true, r.WantNear
		}
		go g.sendAllowances(ctx, addr, r, m)
	}
}

// noteQuorum notes whether a majority of the vaults answers. The caller holds the mutex of the
// allowances.
func (g *Gate) noteQuorum(now time.Time) {
	seated, quorum := g.seatedVaults()
	g.allowances.allot.SetQuorum(g.allowances.heard.Quorum(now, seated, quorum))
}

// seatedVaults returns the addresses of the vaults with a seat, and how many of them are a quorum.
func (g *Gate) seatedVaults() (addrs []string, quorum int) {
	roster := g.vaults.currentRoster()
	for _, s := range roster.Seats {
		addrs = append(addrs, s.Addr)
	}
	return addrs, roster.Quorum()
}

// sendAllowances sends a report to one vault and stores its answer.
func (g *Gate) sendAllowances(ctx context.Context, addr string, r allot.Report, message *vaults.Allowances) {
	ctx, cancel := context.WithTimeout(ctx, vaultTimeout)
	defer cancel()
	m, err := g.vaults.connection(addr).Call(ctx, &vaults.Load{Node: g.site.Node, Allowances: message, Partial: true})
	a, now := g.allowances, time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	reply, ok := m.(*vaults.LoadReply)
	if err != nil || !ok {
		g.log.Debug().Err(err).Str("vault", addr).Msg("reporting use of quotas failed; the next report repeats it")
		a.allot.LoseReport(addr, r)
		a.heard.Lose(addr)
		return
	}
	v := reply.Allowances
	if a.dials[addr] == g.vaults.connection(addr).Dials() {
		a.allot.Confirm(addr, r)
		if v != nil {
			a.heard.Answer(now, addr, v.Gates, !v.Unsettled)
		} else { // a vault of an earlier build
			a.heard.Answer(now, addr, 0, true)
		}
		g.noteQuorum(now)
	}
	if message.WantView && v != nil {
		a.allot.SetView(now, r, allot.View{Vault: addr, Gates: v.Gates, Missing: v.Missing, Phase: v.Phase, Passed: v.Passed})
		a.signal()
	}
}

// endAllowances tells the vaults that this gate passes no further requests, so that its
// share returns to the others at once.
func (g *Gate) endAllowances(ctx context.Context) {
	if t := g.table.Load(); t == nil || !t.Keys().HasLimits() {
		return
	}
	g.allowances.mu.Lock()
	g.allowances.ended = true
	g.allowances.mu.Unlock()
	g.exchangeAllowances(ctx, time.Now())
}
