package gate

import (
	"context"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/allot"
	"github.com/cowslipstage/cowslipstage/coordination/grant"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/usage"
)

const (
	// questionTimeout bounds a question to a vault: some round trips between data centres.
	questionTimeout = 60 * time.Millisecond
	// questionWaitShare is the part of a request's target that it may wait for the answers.
	questionWaitShare = 0.25
)

// asking holds the requests of one customer that wait for a vault's decision.
type asking struct {
	waiting []*asker
	// open says that a question is under way. The requests that come meanwhile share the next.
	open bool
}

// asker is one request that waits.
type asker struct {
	begins bool
	// answer gets whether the request passes. left says that it no longer waits.
	answer chan bool
	left   bool
}

// askAllowance asks the vault that decides for a customer whether a request passes its quota.
// Without an answer in time it does not.
func (g *Gate) askAllowance(ctx context.Context, q *request, begins bool) bool {
	a, name := g.allowances, q.customer.Name()
	w := &asker{begins: begins, answer: make(chan bool, 1)}
	a.mu.Lock()
	waiting := a.asking[name]
	if waiting == nil {
		waiting = &asking{}
		a.asking[name] = waiting
	}
	waiting.waiting = append(waiting.waiting, w)
	if !waiting.open {
		waiting.open = true
		go g.ask(name, waiting)
	}
	a.mu.Unlock()
	timeout := 2 * questionTimeout
	if target := q.route.FirstByteTarget; target > 0 {
		timeout = min(timeout, time.Duration(questionWaitShare*float64(target)))
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case passes := <-w.answer:
		return passes
	case <-timer.C:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case passes := <-w.answer:
		return passes
	default:
		w.left = true
		return false
	}
}

// ask sends questions about a customer, one at a time, until no request waits.
func (g *Gate) ask(name string, waiting *asking) {
	a := g.allowances
	for {
		a.mu.Lock()
		askers := waiting.waiting
		waiting.waiting = nil
		if len(askers) == 0 {
			waiting.open = false
			delete(a.asking, name)
			a.mu.Unlock()
			return
		}
		underWay, beginning := 0, 0
		for _, w := range askers {
			switch {
			case w.left:
			case w.begins:
				beginning++
			default:
				underWay++
			}
		}
		a.mu.Unlock()
		answer := g.decide(name, underWay, beginning)
		a.mu.Lock()
		g.distribute(name, askers, answer)
		a.mu.Unlock()
	}
}

// distribute tells the requests that asked whether they pass. What nobody waits for any more is
// taken back. The caller holds the mutex of the allowances.
func (g *Gate) distribute(name string, askers []*asker, answer grant.Answer) {
	for _, w := range askers {
		left := &answer.UnderWay
		if w.begins {
			left = &answer.Beginning
		}
		passes := *left > 0 && !w.left
		if passes {
			*left--
			g.meters.countPass(allot.ByVault)
		}
		w.answer <- passes
	}
	for range answer.UnderWay + answer.Beginning {
		g.allowances.allot.Return(time.Now(), name)
	}
}

// maxAsked is how many vaults are asked one question.
const maxAsked = 2

// decide asks vaults how many requests of a customer pass, until one answers. All gates ask the
// same one first, as far as it knows enough. Without an answer none pass.
func (g *Gate) decide(name string, underWay, beginning int) grant.Answer {
	a := g.allowances
	ctx, cancel := context.WithTimeout(context.Background(), questionTimeout)
	defer cancel()
	connected := g.connectedVaults("", name)
	seated, quorum := g.seatedVaults()
	a.mu.Lock()
	deciding := a.heard.Deciding(time.Now(), seated, quorum, connected)
	a.mu.Unlock()
	for _, addr := range deciding[:min(len(deciding), maxAsked)] {
		if ctx.Err() != nil {
			break
		}
		a.mu.Lock()
		q := a.allot.Question(time.Now(), addr, name, underWay, beginning)
		a.mu.Unlock()
		reply := g.sendQuestion(ctx, q)
		a.mu.Lock()
		if reply != nil {
			a.allot.Grant(time.Now(), q, *reply.Answer, allot.View{Vault: q.Vault, Phase: reply.Phase, Passed: reply.Passed})
			a.mu.Unlock()
			return *reply.Answer
		}
		a.allot.LoseQuestion(q)
		a.mu.Unlock()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allot.Refuse(time.Now(), name, underWay, beginning)
	return grant.Answer{}
}

// sendQuestion returns a vault's answer to a question, nil if there is none.
func (g *Gate) sendQuestion(ctx context.Context, q allot.Question) *vaults.AllowancesReply {
	g.meters.quotaQuestions.Inc()
	m, err := g.vaults.connection(q.Vault).Call(ctx, &vaults.Load{Node: g.site.Node, Partial: true, Allowances: &vaults.Allowances{
		Lifetime: g.allowances.lifetime, Counts: map[string]usage.Count{q.Customer: q.Count}, WantView: true, Customer: q.Customer, Question: &q.Question,
	}})
	reply, ok := m.(*vaults.LoadReply)
	if err == nil && ok && reply.Allowances != nil && reply.Allowances.Answer != nil {
		return reply.Allowances
	}
	g.log.Debug().Err(err).Str("vault", q.Vault).Str("customer", q.Customer).Msg("question about a quota not answered")
	return nil
}
