package gate

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/state/table"
)

// labelledCustomers is how many customers a gate's metrics name at a time. With hundreds of
// gates, each label is as many series.
const labelledCustomers = 16

// Reasons for which a request that needs a key is refused, as the metrics name them.
const (
	refusedMissing     = "missing"
	refusedUnknown     = "unknown"
	refusedRevoked     = "revoked"
	refusedUnconfirmed = "unconfirmed"
)

// authenticate finds the customer of a request, where the configuration has customers. It
// reports whether the request may go on; if not, the caller has been refused.
func (g *Gate) authenticate(q *request, t *table.Table) bool {
	customers := t.Keys()
	if customers == nil {
		return true
	}
	if !q.route.Public && g.configurationExpired(q.started) {
		g.meters.countKeyRefusal(refusedUnconfirmed)
		g.refuse(q, http.StatusServiceUnavailable, "the configuration is not confirmed, so keys cannot be checked; it has not run")
		return false
	}
	c, ok := customers.Find(q.Key)
	switch {
	case !ok && q.route.Public:
		return true
	case !ok && q.Key == "":
		g.meters.countKeyRefusal(refusedMissing)
		g.refuse(q, http.StatusUnauthorized, "no key")
		return false
	case !ok:
		g.meters.countKeyRefusal(refusedUnknown)
		g.refuse(q, http.StatusUnauthorized, "unknown key")
		return false
	}
	q.customer = c
	g.countCustomer(c.Name())
	return true
}

// ConfirmRoutes notes that the routes in force were the operators' newest at asOf.
func (g *Gate) ConfirmRoutes(asOf time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.confirmed.Confirm(asOf)
}

// configurationExpired reports whether the configuration is too old to check keys by.
func (g *Gate) configurationExpired(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.confirmed.Expired(now)
}

// countCustomer counts a request with a known key. The largest customers are counted by
// name. The series of one that is no longer among them ends.
func (g *Gate) countCustomer(name string) {
	g.mu.Lock()
	label, replaced := g.customers.Add(name)
	g.mu.Unlock()
	g.meters.countCustomer(label)
	if replaced != "" {
		g.meters.removeCustomer(replaced)
	}
}

// revoked reports whether a newer configuration than the one that the request was accepted
// under denies its key. The request may have waited since.
func (g *Gate) revoked(q *request) bool {
	t := g.table.Load()
	if q.customer == nil || q.route.Public || t == nil || t.Version() == q.version || t.Keys() == nil {
		return false
	}
	c, ok := t.Keys().Find(q.Key)
	return !ok || c.Name() != q.customer.Name()
}

// refuseRevoked refuses a request that has not run and whose key has been revoked
// meanwhile. It reports whether that is so.
func (g *Gate) refuseRevoked(q *request) bool {
	if !g.revoked(q) {
		return false
	}
	g.meters.countKeyRefusal(refusedRevoked)
	g.refuse(q, http.StatusUnauthorized, "unknown key")
	return true
}

// customerName returns the name of the request's customer, "" if it has none.
func (q *request) customerName() string {
	if q.customer == nil {
		return ""
	}
	return q.customer.Name()
}

// account returns the key of the account and the homes of the request's program at the
// vaults. Customers choose the IDs of their programs, so two can choose the same one.
func (q *request) account() string { return chains.AccountKey(q.customerName(), q.Program) }

// addCustomer adds the request's customer to a log line, if it has one.
func (q *request) addCustomer(e *zerolog.Event) *zerolog.Event {
	if q.customer == nil {
		return e
	}
	return e.Str("customer", q.customer.Name())
}

// countCustomer counts a request under a customer's label.
func (m *meters) countCustomer(label string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`cowslipstage_gate_authenticated_requests_total{customer=%q}`, label)).Inc()
}

// removeCustomer ends the series that countCustomer has begun for a label.
func (m *meters) removeCustomer(label string) {
	m.set.UnregisterMetric(fmt.Sprintf(`cowslipstage_gate_authenticated_requests_total{customer=%q}`, label))
}

// countKeyRefusal counts a request that was refused because of its key.
func (m *meters) countKeyRefusal(reason string) {
	m.set.GetOrCreateCounter(`cowslipstage_gate_key_refusals_total{reason="` + reason + `"}`).Inc()
}
