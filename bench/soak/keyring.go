package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

const (
	customerCount = 4
	// keyPrefix begins every key, so that keys are found in headers and logs.
	keyPrefix = "soakkey-"
	// applyTime is the promised bound on using a configuration after it was confirmed (3 s).
	applyTime = 3 * time.Second
	// forgedCustomer is the name that callers send in the header that only gates set.
	forgedCustomer = "forged"
)

// customer has one key that is never revoked, and one that is replaced from time to time.
type customer struct {
	name, steady, extra string
	// rate and burst are its quota, 0 for none.
	rate, burst float64
	// changes counts the keys so far.
	changes int
}

// keyState is when a key was added and revoked, as the store confirmed it.
type keyState struct {
	customer         string
	added, revokedAt time.Time
	// revoking is set before the configuration without the key is written.
	revoking bool
}

// keyring holds the customers and what holds for each key. It is safe for concurrent use.
type keyring struct {
	outages *outages

	mu        sync.Mutex
	customers []*customer
	states    map[string]*keyState
	// revoked lists the revoked keys.
	revoked []string
}

// newKeyring returns a keyring whose keys are valid since the first configuration.
func newKeyring(o *outages) *keyring {
	k := &keyring{outages: o, states: map[string]*keyState{}}
	for i := range customerCount {
		c := &customer{name: fmt.Sprint("customer-", i)}
		c.steady, c.extra = keyPrefix+c.name+"-steady", c.nextKey()
		k.customers = append(k.customers, c)
		k.states[c.steady], k.states[c.extra] = &keyState{customer: c.name}, &keyState{customer: c.name}
	}
	return k
}

func (c *customer) nextKey() string {
	c.changes++
	return fmt.Sprintf("%s%s-%d", keyPrefix, c.name, c.changes)
}

// config returns the customers as the configuration has them.
func (k *keyring) config() []fake.Customer {
	k.mu.Lock()
	defer k.mu.Unlock()
	var all []fake.Customer
	for _, c := range k.customers {
		all = append(all, fake.Customer{Name: c.name, Keys: []string{c.steady, c.extra}, Rate: c.rate, Burst: c.burst})
	}
	return all
}

// replace replaces the key of a random customer that is not steady, in a configuration
// that publish writes.
func (k *keyring) replace(r *rand.Rand, publish func()) {
	k.mu.Lock()
	c := k.customers[r.IntN(len(k.customers))]
	old, key := c.extra, c.nextKey()
	k.states[old].revoking = true
	c.extra = key
	k.states[key] = &keyState{customer: c.name, revoking: true} // not used before it was written
	k.mu.Unlock()
	publish()
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	k.states[old].revokedAt = now
	k.states[key].added, k.states[key].revoking = now, false
	k.revoked = append(k.revoked, old)
}

// setQuota sets the quota of the first customer.
func (k *keyring) setQuota(rate, burst float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.customers[0].rate, k.customers[0].burst = rate, burst
}

// usable returns the customer's key that is replaced from time to time, or, while it is
// being replaced, the steady one.
func (k *keyring) usable(c *customer) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.states[c.extra].revoking {
		return c.steady
	}
	return c.extra
}

// revokedKey returns a revoked key, preferably one of the last, or "".
func (k *keyring) revokedKey(r *rand.Rand) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.revoked) == 0 {
		return ""
	}
	return k.revoked[max(0, len(k.revoked)-1-r.IntN(customerCount))]
}

// pass is what must hold for a request by the key that it carries.
type pass struct {
	// customer is the name that the endpoint must get, "" for none.
	customer string
	// forbidden says why the request must not run, "" if it may.
	forbidden string
	// known is set if the key must be accepted unless it was revoked meanwhile.
	known bool
	key   string
}

// judge returns what holds for a request that is sent now to a gate.
func (k *keyring) judge(now time.Time, key, gate string) pass {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.states[key]
	if s == nil {
		return pass{key: key, forbidden: "an unknown key"}
	}
	p := pass{customer: s.customer, key: key}
	switch {
	case !s.revokedAt.IsZero():
		if k.outages.connected(gate, s.revokedAt, now) > applyTime {
			p.forbidden = fmt.Sprintf("a key that was revoked %s before it was sent to %s", now.Sub(s.revokedAt), gate)
		}
	case !s.revoking:
		p.known = s.added.IsZero() || k.outages.connected(gate, s.added, now) > applyTime
	}
	return p
}

// accepted reports whether a key is valid now and not being revoked.
func (k *keyring) accepted(key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.states[key]
	return s != nil && !s.revoking
}
