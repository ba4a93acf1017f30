package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

const (
	// unkeptEvery is how many programs a caller runs for each whose turns the system does
	// not keep.
	unkeptEvery = 3
	// maxCheckedPrograms bounds the stopped programs of each caller that are run again
	// after all vaults lost power.
	maxCheckedPrograms = 10
)

// outcome is how a turn of a program that the system does not keep ended.
type outcome int

const (
	answered outcome = iota
	// stopped means that the program's budget does not cover the turn.
	stopped
	// abandoned means that there was no time left.
	abandoned
)

// runUnkept runs a program that never ends by itself, on a route whose turns the system
// does not keep. Some of its turns run beside one of a sub-agent.
func (c *caller) runUnkept(ctx context.Context, program string) {
	history := ""
	for ctx.Err() == nil {
		var agent chan outcome
		if c.agent != nil && c.extra.IntN(3) == 0 {
			agent = make(chan outcome, 1)
			go func() {
				_, o := c.agent.runUnkeptTurn(ctx, program, program+"-agent", history)
				agent <- o
			}()
		}
		text, o := c.runUnkeptTurn(ctx, program, program, history)
		if agent != nil {
			<-agent // its budget is the program's, so its end is seen by the next turn
		}
		if history = text; o == stopped {
			c.stopped = append(c.stopped, program)
			c.ledger.countStopped()
			return
		}
		c.probe(ctx)
	}
}

// runUnkeptTurn runs one turn after the given history, with retries through random gates.
// It returns the history with the turn.
func (c *caller) runUnkeptTurn(ctx context.Context, program, session, history string) (string, outcome) {
	const budget = budgetTurns * maxTurnTokens
	for ctx.Err() == nil {
		id := c.nextID()
		text := history + fmt.Sprintf("%s asks %d\n", id, c.extra.IntN(1000))
		c.ledger.recordRequest(id, conversation, text)
		status, seal, body, err := c.send(ctx, fake.UnkeptPath, text, fake.Request{
			ID: id, Program: program, Session: session, Budget: budget, PromptTokens: len(text) / 2, MaxTokens: maxTurnTokens, Timeout: requestTimeout,
		})
		if status == http.StatusOK {
			c.ledger.recordTokens(program, strings.Count(body, "\n\n"), budget, maxTurnTokens)
		}
		switch {
		case err == nil && status == http.StatusOK:
			c.ledger.checkAnswer(id, seal, body)
			return text + turnOutput(id), answered
		case err == nil && status == http.StatusPaymentRequired:
			c.ledger.recordNotRun(id, status)
			c.ledger.checkSpent(id, program, budget, maxTurnTokens)
			return history, stopped
		case err == nil && status == http.StatusUnauthorized:
			c.recordUnauthorized(id)
		case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
			c.ledger.recordNotRun(id, status)
		default:
			c.ledger.recordFailure(ctx, id, status, err)
		}
		wait(ctx, retryPause)
	}
	return history, abandoned
}

// checkStopped runs programs that were stopped by their budget until they are stopped
// again. Tokens of an account that was lost would be delivered a second time.
func (c *caller) checkStopped(ctx context.Context, programs []string) {
	for _, p := range programs[max(0, len(programs)-maxCheckedPrograms):] {
		for o := answered; o != stopped; {
			if _, o = c.runUnkeptTurn(ctx, p, p, ""); o == abandoned {
				c.ledger.recordNotRecovered(p + " is not stopped again")
				return
			}
		}
	}
}
