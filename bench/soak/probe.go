package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

// setKey gives a request the key of the caller's customer unless it has one or its route
// needs none, and records what must hold for it.
func (c *caller) setKey(path, gate string, t *fake.Request) {
	t.ForgedCustomer = forgedCustomer
	if path == fake.PublicPath {
		c.ledger.recordPass(t.ID, pass{})
		return
	}
	if t.Key == "" {
		t.Key = c.customer.steady
		if !c.refusedKey && c.extra.IntN(2) == 0 {
			t.Key = c.keys.usable(c.customer)
		}
		c.refusedKey = false
	}
	c.ledger.recordPass(t.ID, c.keys.judge(time.Now(), t.Key, gate))
}

// recordUnauthorized records an answer of 401.
func (c *caller) recordUnauthorized(id string) {
	c.refusedKey = true
	c.ledger.recordUnauthorized(id, c.keys)
}

// probe sends, on the caller's connections, now and then a request with a revoked or an
// unknown key, which must be refused, and one without a key on a public route.
func (c *caller) probe(ctx context.Context) {
	if c.keys == nil {
		return
	}
	switch c.extra.IntN(6) {
	case 0:
		c.probeKey(ctx, c.keys.revokedKey(c.extra))
	case 1:
		c.probeKey(ctx, fmt.Sprintf("%sguess-%d", keyPrefix, c.extra.IntN(1e6)))
	case 2:
		c.callService(ctx, c.name, fake.PublicPath, lookup)
	}
}

// probeKey sends one request with a key that may have been revoked or never existed.
func (c *caller) probeKey(ctx context.Context, key string) {
	if key == "" {
		return
	}
	id := c.nextID()
	path, k, text := fake.LookupPath, lookup, id
	t := fake.Request{ID: id, Program: c.name, Key: key, Timeout: requestTimeout}
	switch c.extra.IntN(3) {
	case 0:
		path, k = fake.OrderPath, order
	case 1:
		path, k = fake.UnkeptPath, conversation
	}
	c.ledger.recordRequest(id, k, text)
	status, seal, body, err := c.send(ctx, path, text, t)
	switch {
	case err != nil:
		c.ledger.recordFailure(ctx, id, status, err)
	case status == http.StatusUnauthorized:
		c.ledger.recordUnauthorized(id, c.keys)
	case status == http.StatusOK:
		c.ledger.checkAnswer(id, seal, body)
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		c.ledger.recordNotRun(id, status)
	default:
		c.ledger.recordFailure(ctx, id, status, err)
	}
}
