package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/blame"
)

// crashNewsAge is how long the vaults are told of a crash, so that a report that was lost
// is repeated.
const crashNewsAge = 5 * time.Second

// suspects holds what this gate knows of requests that crash endpoints. The gate's mutex
// guards it.
type suspects struct {
	// blame counts this gate's own requests only and takes over what vaults decide. The
	// gate decides only while it reaches no vault that does.
	blame *blame.Blame
	// watched holds the contents and targets of which the vaults want to know that a request
	// ran to its end.
	watched map[string]bool
	// news holds this gate's recent reports, oldest first.
	news []crashNews
	// revisions holds the revision of each vault's verdicts that this gate has. Vaults of
	// earlier builds, which decide nothing, have none.
	revisions map[string]uint64
}

type crashNews struct {
	vaults.CrashReport
	at time.Time
}

func newSuspects() suspects {
	return suspects{blame: blame.New(blame.SureCrashes), watched: map[string]bool{}, revisions: map[string]uint64{}}
}

// blockLeft returns how much longer a request is blocked because it crashes endpoints, 0 if
// it is not.
func (g *Gate) blockLeft(now time.Time, q *request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspects.blame.Empty() {
		return 0
	}
	return g.suspects.blame.BlockLeft(now, q.content())
}

// refuseBlocked refuses a request that is blocked, and reports whether it is.
func (g *Gate) refuseBlocked(now time.Time, q *request) bool {
	q.blockLeft = g.blockLeft(now, q)
	if q.blockLeft <= 0 {
		return false
	}
	g.meters.blocked.Inc()
	g.refuse(q, http.StatusServiceUnavailable, "it has crashed endpoints one after another; it has not run")
	return true
}

// addCrash records that an endpoint ended while it ran a request, and tells the vaults.
func (g *Gate) addCrash(now time.Time, q *request, c blame.Crash) {
	s := &g.suspects
	g.mu.Lock()
	s.news = append(s.news, crashNews{vaults.CrashReport{Content: q.content(), Target: q.target(), Crash: c}, now})
	s.blame.AddCrash(now, now, q.content(), q.target(), c)
	g.mu.Unlock()
	g.signalSuspects()
}

// decideAlone blocks what this gate has seen crash endpoints too often. Other gates' requests
// may explain some of these crashes.
func (g *Gate) decideAlone(now time.Time) {
	g.mu.Lock()
	blocked := g.suspects.blame.Decide(now)
	g.mu.Unlock()
	g.logBlocked(blocked, g.site.Node)
}

// addEnd records that a request ran to its end, if it is under suspicion.
func (g *Gate) addEnd(now time.Time, q *request) {
	s := &g.suspects
	g.mu.Lock()
	if s.blame.Empty() {
		g.mu.Unlock()
		return
	}
	suspected := s.watched[q.content()] || s.blame.CrashCount(now, q.content()) > 0 || s.blame.BlockLeft(now, q.content()) > 0
	if suspected {
		s.blame.AddEnd(now, now, q.content())
	}
	if s.watched[q.target()] {
		delete(s.watched, q.target())
		s.blame.AddEnd(now, now, q.target())
		suspected = true
	}
	g.mu.Unlock()
	if suspected {
		g.signalSuspects()
	}
}

// signalSuspects makes suspectsLoop report at once.
func (g *Gate) signalSuspects() {
	select {
	case g.suspectsChanged <- struct{}{}:
	default:
	}
}

// suspectsLoop reports crashes to the vaults as they are noticed, and asks vaults that have
// become reachable for their verdicts. What is lost is repeated with the offers to relay.
func (g *Gate) suspectsLoop(ctx context.Context) {
	for {
		select {
		case <-g.suspectsChanged:
		case <-g.vaults.moreConnectedSignal():
		case <-ctx.Done():
			return
		}
		decided := false
		for _, addr := range g.vaults.vaultAddrs() {
			if g.vaults.connection(addr).Connected() {
				decided = decided || g.verdictsRevision(addr) != 0
				go g.sendSuspects(ctx, addr)
			}
		}
		pause := loadPause
		if !decided {
			pause = blame.SettleTime
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		if !decided {
			g.decideAlone(time.Now())
		}
	}
}

// sendSuspects tells one vault what this gate knows and stores what the vault knows.
func (g *Gate) sendSuspects(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	l := &vaults.Load{Node: g.site.Node, Partial: true}
	g.addSuspects(time.Now(), addr, l)
	m, err := g.vaults.connection(addr).Call(ctx, l)
	if err != nil {
		g.log.Debug().Err(err).Str("vault", addr).Msg("reporting crashes failed; the next offer to relay repeats it")
		return
	}
	if reply, ok := m.(*vaults.LoadReply); ok {
		g.receiveVerdicts(addr, reply)
	}
}

// addSuspects adds to a message what the vault at addr has to know.
func (g *Gate) addSuspects(now time.Time, addr string, l *vaults.Load) {
	s := &g.suspects
	g.mu.Lock()
	defer g.mu.Unlock()
	l.VerdictsRevision = s.revisions[addr]
	if s.blame.Empty() {
		return
	}
	for len(s.news) > 0 && now.Sub(s.news[0].at) > crashNewsAge {
		s.news = s.news[1:]
	}
	for _, n := range s.news {
		r := n.CrashReport
		r.Age = now.Sub(n.at)
		l.Crashes = append(l.Crashes, r)
	}
	if l.Verdicts = s.blame.Verdicts(now); l.Verdicts != nil {
		l.Verdicts.Watched = nil // only a vault hears of all crashes
	}
}

// verdictsRevision returns the revision of the verdicts of the vault at addr that this
// gate has, 0 if the vault has sent none.
func (g *Gate) verdictsRevision(addr string) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspects.revisions[addr]
}

// receiveVerdicts stores what the vault at addr knows, if it sent that.
func (g *Gate) receiveVerdicts(addr string, reply *vaults.LoadReply) {
	if reply.VerdictsRevision == 0 {
		return
	}
	s := &g.suspects
	g.mu.Lock()
	blocked := s.blame.Merge(time.Now(), reply.Verdicts)
	s.revisions[addr] = reply.VerdictsRevision
	s.watched = map[string]bool{}
	if reply.Verdicts != nil {
		for _, content := range reply.Verdicts.Watched {
			s.watched[content] = true
		}
		for target := range reply.Verdicts.Targets {
			s.watched[target] = true
		}
	}
	g.mu.Unlock()
	g.logBlocked(blocked, addr)
}

func (g *Gate) logBlocked(contents []string, decidedBy string) {
	for _, content := range contents {
		g.log.Warn().Str("content", content).Str("by", decidedBy).Msg("a request crashes one endpoint after another; blocked")
	}
}
