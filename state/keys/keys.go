// Package keys (state layer) holds the customers of one configuration version and finds
// the customer of a key.
package keys

import (
	"crypto/sha256"

	"github.com/cockroachdb/errors"
)

// ErrCustomers means that the customers of a configuration contradict each other.
var ErrCustomers = errors.New("keys: unusable customers")

// Customer is one customer of the deployment. It does not hold the keys themselves.
type Customer struct {
	name string
	// digests holds the digest of each key.
	digests [][sha256.Size]byte
	// priority is nil if the routes' priorities apply.
	priority *int
	// rate is in requests a second, 0 for no limit; burst is in requests.
	rate, burst float64
}

// NewCustomer returns a customer with its keys. A nil priority leaves the routes'
// priorities in force; a rate of 0 means no limit.
func NewCustomer(name string, apiKeys []string, priority *int, rate, burst float64) Customer {
	c := Customer{name: name, priority: priority, rate: rate, burst: burst}
	for _, k := range apiKeys {
		c.digests = append(c.digests, sha256.Sum256([]byte(k)))
	}
	return c
}

// Name returns the customer's name.
func (c *Customer) Name() string { return c.name }

// Priority returns the rank of the customer's requests, 0 first, and whether it replaces
// the route's.
func (c *Customer) Priority() (rank int, set bool) {
	if c.priority == nil {
		return 0, false
	}
	return *c.priority, true
}

// Rate returns how many requests a second the customer may send over all gates; 0 means
// no limit.
func (c *Customer) Rate() float64 { return c.rate }

// Burst returns how many requests the customer may send at once in addition.
func (c *Customer) Burst() float64 { return c.burst }

// Keys is an immutable set of customers.
type Keys struct {
	// byDigest holds each customer by the digests of its keys, so that the time of a
	// lookup depends neither on the number of keys nor on how much of one is guessed.
	byDigest map[[sha256.Size]byte]*Customer
	names    map[string]*Customer
}

// New returns a set of customers. The error, marked ErrCustomers, names every problem.
func New(customers []Customer) (*Keys, error) {
	k := &Keys{byDigest: map[[sha256.Size]byte]*Customer{}, names: map[string]*Customer{}}
	var problems error
	report := func(format string, args ...any) {
		problems = errors.CombineErrors(problems, errors.Newf(format, args...))
	}
	for i := range customers {
		c := &customers[i]
		switch {
		case c.name == "":
			report("customer %d has no name", i+1)
		case k.names[c.name] != nil:
			report("two customers have the name %q", c.name)
		}
		if c.rate < 0 || c.burst < 0 {
			report("customer %q has a negative rate or burst", c.name)
		}
		if c.rate == 0 && c.burst > 0 {
			report("customer %q has a burst without a rate", c.name)
		}
		k.names[c.name] = c
		for _, d := range c.digests {
			if other := k.byDigest[d]; other != nil {
				report("a key of customer %q is also one of %q", c.name, other.name)
			}
			k.byDigest[d] = c
		}
	}
	if problems != nil {
		return nil, errors.Mark(problems, ErrCustomers)
	}
	return k, nil
}

// Find returns the customer that holds a key, and false if nobody does.
func (k *Keys) Find(key string) (*Customer, bool) {
	c, ok := k.byDigest[sha256.Sum256([]byte(key))]
	return c, ok
}

// All returns the customers, in no order; none of a nil set.
func (k *Keys) All() []*Customer {
	if k == nil {
		return nil
	}
	all := make([]*Customer, 0, len(k.names))
	for _, c := range k.names {
		all = append(all, c)
	}
	return all
}

// Size returns how many customers there are.
func (k *Keys) Size() int { return len(k.names) }

// HasLimits reports whether any customer has a limit. A nil set has none.
func (k *Keys) HasLimits() bool {
	if k == nil {
		return false
	}
	for _, c := range k.names {
		if c.rate > 0 {
			return true
		}
	}
	return false
}
