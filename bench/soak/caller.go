package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

const (
	// requestTimeout bounds one request, including the reading of its answer.
	requestTimeout = 3 * time.Second
	// retryPause is the pause before a failed request is sent again through a random gate.
	retryPause = 120 * time.Millisecond
	// maxTurns bounds the turns of a program.
	maxTurns = 7
	// budgetTurns is the number of turns that a program's budget covers. It is below
	// maxTurns, so that some programs run out of budget.
	budgetTurns = 6
	// maxTurnTokens is the most that one turn delivers.
	maxTurnTokens = eventCount * fake.TokensPerEvent
	// maxAnswerBytes bounds the part of an answer that is read.
	maxAnswerBytes = 1 << 20
)

// caller runs programs one after the other. It reuses its connections until they
// break, including connections to a gate that is about to stop.
type caller struct {
	name   string
	ledger *ledger
	gates  []string
	client *http.Client
	random *rand.Rand
	// keys is nil if requests need no key. The caller belongs to customer.
	keys     *keyring
	customer *customer
	// extra draws everything but turns, so that these stay those of the seed.
	extra *rand.Rand
	// refusedKey is set after an answer of 401, so that the next request takes the key
	// that is never revoked.
	refusedKey bool
	// agent runs turns of the caller's programs at the same time; nil at agents.
	agent *caller
	// stopped lists the programs that never end and that their budget stopped.
	stopped []string
	// maxPause bounds the pauses between the turns of a program.
	maxPause time.Duration
	// attempts numbers the requests sent. A retry gets a number of its own.
	attempts int
}

// chain is a program's chain of turns whose answers the caller received completely.
type chain struct {
	program  string
	lastTurn string
	history  string
	// endedAt is when the last turn ended.
	endedAt time.Time
}

// run runs programs until ctx ends and returns their chains that have at least one turn.
func (c *caller) run(ctx context.Context) []*chain {
	var chains []*chain
	for n := 0; ctx.Err() == nil; n++ {
		if c.keys != nil && n%unkeptEvery == 0 {
			c.runUnkept(ctx, fmt.Sprintf("%s-u%d", c.name, n))
			continue
		}
		ch := &chain{program: fmt.Sprintf("%s-p%d", c.name, n)}
		for range 1 + c.random.IntN(maxTurns) {
			if ctx.Err() != nil || !c.runTurn(ctx, ch) {
				break
			}
			if c.random.IntN(3) == 0 {
				c.callService(ctx, ch.program, fake.LookupPath, lookup)
			}
			if c.random.IntN(4) == 0 {
				c.callService(ctx, ch.program, fake.OrderPath, order)
			}
			c.probe(ctx)
			if c.maxPause > 0 {
				wait(ctx, time.Duration(c.random.Int64N(int64(c.maxPause))))
			}
		}
		if ch.lastTurn != "" {
			chains = append(chains, ch)
		}
	}
	return chains
}

// nextID returns the ID of the next request.
func (c *caller) nextID() string {
	c.attempts++
	return fmt.Sprintf("%s-%d", c.name, c.attempts)
}

// runTurn adds a turn to a chain, with retries through random gates, and reports
// whether the chain can be continued.
func (c *caller) runTurn(ctx context.Context, ch *chain) bool {
	refusals := 0
	for ctx.Err() == nil {
		id := c.nextID()
		input := fmt.Sprintf("%s asks %d\n", id, c.random.IntN(1000))
		c.ledger.recordRequest(id, conversation, ch.history+input)
		status, seal, body, err := c.send(ctx, fake.ConversationPath, input, fake.Request{
			ID: id, Program: ch.program, Previous: ch.lastTurn, Budget: budgetTurns * maxTurnTokens, PromptTokens: len(ch.history+input) / 2, MaxTokens: maxTurnTokens, Timeout: requestTimeout,
		})
		if status == http.StatusOK {
			c.ledger.recordTokens(ch.program, strings.Count(body, "\n\n"), budgetTurns*maxTurnTokens, maxTurnTokens)
		}
		switch {
		case err == nil && status == http.StatusOK:
			c.ledger.checkAnswer(id, seal, body)
			ch.lastTurn, ch.history, ch.endedAt = id, ch.history+input+turnOutput(id), time.Now()
			return true
		case err == nil && status == http.StatusPaymentRequired:
			c.ledger.recordNotRun(id, status)
			c.ledger.checkSpent(id, ch.program, budgetTurns*maxTurnTokens, maxTurnTokens)
			return false
		case err == nil && status == http.StatusUnauthorized:
			c.recordUnauthorized(id)
		case err == nil && (status == http.StatusNotFound || status == http.StatusGone):
			c.ledger.recordLostTurn(id, ch.lastTurn, status)
			return false
		case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
			c.ledger.recordNotRun(id, status)
			refusals++
			c.ledger.checkRefusals(id, ch.lastTurn, refusals)
		default:
			c.ledger.recordFailure(ctx, id, status, err)
		}
		wait(ctx, retryPause)
	}
	return false
}

// callService calls a plain service. It retries an order only if a gate answered
// that the order has not run, because orders are not idempotent.
func (c *caller) callService(ctx context.Context, program, path string, k requestKind) {
	for range 4 {
		id := c.nextID()
		c.ledger.recordRequest(id, k, id)
		status, seal, body, err := c.send(ctx, path, id, fake.Request{ID: id, Program: program, Timeout: requestTimeout})
		switch {
		case err == nil && status == http.StatusOK:
			c.ledger.checkAnswer(id, seal, body)
			return
		case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
			c.ledger.recordNotRun(id, status)
		case err == nil && status == http.StatusUnauthorized:
			c.recordUnauthorized(id)
		default:
			c.ledger.recordFailure(ctx, id, status, err)
			if k == order {
				return // the outcome is unknown, and an order must not run twice
			}
		}
		wait(ctx, retryPause)
	}
}

// send sends one request through a random gate. If err is nil, body is the complete answer.
func (c *caller) send(ctx context.Context, path, input string, t fake.Request) (status int, seal, body string, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	gate := c.gates[c.random.IntN(len(c.gates))]
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gate+path+t.ID, strings.NewReader(input))
	if err != nil {
		return 0, "", "", err
	}
	r.Host = fake.RouteHost
	r.GetBody = nil // keeps the HTTP client from sending the request again by itself
	if c.keys != nil {
		c.setKey(path, gate, &t)
	}
	if t.MaxTokens > 0 {
		c.ledger.recordHold(t.Program)
	}
	t.SetHeaders(r.Header)
	a, err := c.client.Do(r)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = a.Body.Close() }() // the body has been read, or the request has failed
	data, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	return a.StatusCode, fake.ServerSeal(a.Header), string(data), err
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
