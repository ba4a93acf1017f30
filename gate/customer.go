package gate

import (
	"net/http"

	"github.com/cowslipstage/cowslipstage/state/table"
)

// authenticate finds the customer of a request, where the configuration has customers. It
// reports whether the request may go on; if not, the caller has been refused.
func (g *Gate) authenticate(q *request, t *table.Table) bool {
	customers := t.Keys()
	if customers == nil {
		return true
	}
	c, ok := customers.Find(q.Key)
	if !ok && !q.route.Public {
		g.refuse(q, http.StatusUnauthorized, "unknown key")
		return false
	}
	q.customer = c
	return true
}

// customerName returns the name of the request's customer, "" if it has none.
func (q *request) customerName() string {
	if q.customer == nil {
		return ""
	}
	return q.customer.Name()
}
