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
	// leftTime is how long a caller waits for an answer.
	leftTime = 3 * time.Second
	// againTime is the pause before a failed request is tried through another gate.
	againTime = 120 * time.Millisecond
	// turnsMost is the longest line of turns of a program.
	turnsMost = 7
	// budgetTurns is how many turns a program's budget holds; some want more.
	budgetTurns = 6
	// answerBytes bounds what is read of an answer.
	answerBytes = 1 << 20
)

// caller runs one program after the other. It keeps its connections for as long
// as they hold, also to a gate that is about to stop.
type caller struct {
	name   string
	ledger *ledger
	gates  []string
	client *http.Client
	random *rand.Rand
	// count numbers the attempts; tries of the same request are attempts too.
	count int
}

// line is a chain of turns that ended whole, as the caller knows it.
type line struct {
	program string
	last    string
	text    string
}

// run goes on until ctx ends and returns the lines whose last turn is kept.
func (c *caller) run(ctx context.Context) []*line {
	var lines []*line
	for n := 0; ctx.Err() == nil; n++ {
		l := &line{program: fmt.Sprintf("%s-p%d", c.name, n)}
		for range 1 + c.random.IntN(turnsMost) {
			if ctx.Err() != nil || !c.turn(ctx, l) {
				break
			}
			if c.random.IntN(3) == 0 {
				c.call(ctx, l.program, fake.LookupPath, lookup)
			}
			if c.random.IntN(4) == 0 {
				c.call(ctx, l.program, fake.OrderPath, order)
			}
		}
		if l.last != "" {
			lines = append(lines, l)
		}
	}
	return lines
}

func (c *caller) id() string {
	c.count++
	return fmt.Sprintf("%s-%d", c.name, c.count)
}

// turn adds a turn to a line, trying again through other gates, and tells whether
// the line goes on.
func (c *caller) turn(ctx context.Context, l *line) bool {
	const most = eventCount * fake.TokensPerEvent
	for tries := 0; ctx.Err() == nil; tries++ {
		id := c.id()
		input := fmt.Sprintf("%s asks %d\n", id, c.random.IntN(1000))
		c.ledger.ask(id, conversation, l.text+input)
		status, seal, body, err := c.send(ctx, fake.ConversationPath, input, fake.Request{
			ID: id, Program: l.program, Previous: l.last, Budget: budgetTurns * most, PromptTokens: len(l.text+input) / 2, MaxTokens: most, Timeout: leftTime,
		})
		if status == http.StatusOK {
			c.ledger.hand(l.program, strings.Count(body, "\n\n"), budgetTurns*most, most)
		}
		switch {
		case err == nil && status == http.StatusOK:
			c.ledger.success(id, seal, body)
			l.last, l.text = id, l.text+input+output(id)
			return true
		case err == nil && status == http.StatusPaymentRequired:
			c.ledger.deny(id, status)
			return false
		case err == nil && (status == http.StatusNotFound || status == http.StatusGone):
			c.ledger.lost(id, l.last, status)
			return false
		case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
			c.ledger.deny(id, status)
		default:
			c.ledger.fail()
		}
		wait(ctx, againTime)
	}
	return false
}

// call asks a plain service once more only where that is allowed.
func (c *caller) call(ctx context.Context, program, path string, k kind) {
	for range 4 {
		id := c.id()
		c.ledger.ask(id, k, id)
		status, seal, body, err := c.send(ctx, path, id, fake.Request{ID: id, Program: program, Timeout: leftTime})
		switch {
		case err == nil && status == http.StatusOK:
			c.ledger.success(id, seal, body)
			return
		case err == nil && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
			c.ledger.deny(id, status)
		default:
			c.ledger.fail()
			if k == order {
				return // its outcome is not known
			}
		}
		wait(ctx, againTime)
	}
}

// send sends one attempt through one gate. Without an error the answer is whole.
func (c *caller) send(ctx context.Context, path, input string, t fake.Request) (status int, seal, body string, err error) {
	ctx, cancel := context.WithTimeout(ctx, leftTime)
	defer cancel()
	gate := c.gates[c.random.IntN(len(c.gates))]
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gate+path+t.ID, strings.NewReader(input))
	if err != nil {
		return 0, "", "", err
	}
	r.Host = fake.RouteHost
	r.GetBody = nil // the client must not repeat it by itself
	t.SetHeaders(r.Header)
	a, err := c.client.Do(r)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = a.Body.Close() }() // it has been read, or is of no use
	data, err := io.ReadAll(io.LimitReader(a.Body, answerBytes))
	return a.StatusCode, fake.ServerSeal(a.Header), string(data), err
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
