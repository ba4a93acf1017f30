package edge

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cowslipstage/cowslipstage/protocol/caller"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/config"
)

// tokenDigest returns the hex SHA-256 of a request's bearer token, or "" without one.
func tokenDigest(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// digestsEqual compares two digests in constant time.
func digestsEqual(a, b string) bool { return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1 }

// identifyCustomer returns the customer named in the header, checking its token
// if it has one. Without that header, the bearer token selects the customer.
func (e *Edge) identifyCustomer(r *http.Request) (string, *answer.Answer) {
	name, digest := r.Header.Get(caller.HeaderCustomer), tokenDigest(r)
	c := e.config()
	if name == "" {
		name = customerByToken(c, digest)
	}
	if err := caller.CheckID(caller.HeaderCustomer, name); err != nil {
		if digest != "" {
			return "", notRun("token", "the bearer token belongs to no customer")
		}
		return "", malformed(err)
	}
	switch {
	case e.options.Config != nil && c.Revision == 0:
		return "", notConfigured(r)
	case len(c.Customers) == 0:
		return name, nil
	}
	declared := c.Customers[name]
	switch {
	case declared == nil:
		return "", notRun("customer", "no customer is named "+name)
	case declared.Token != "" && !digestsEqual(declared.Token, digest):
		return "", notRun("token", "the customer's bearer token is needed")
	}
	return name, nil
}

// notConfigured refuses a call while the node has no configuration to identify
// customers by.
func notConfigured(r *http.Request) *answer.Answer {
	a := &answer.Answer{
		Outcome: answer.NotRun, Reason: "starting", RetryAfter: time.Second, Detail: "the node has no configuration yet",
	}
	firstAttempt := r.Header.Get(caller.HeaderTries) == "1" || r.Header.Get(caller.HeaderKey) == ""
	if r.Method == http.MethodPost && firstAttempt {
		return a
	}
	return withUnknownOutcome(a)
}

// customerByToken returns the customer whose token has this digest, or "". The
// first name in alphabetical order wins if several share it.
func customerByToken(c *config.Config, digest string) string {
	found := ""
	for name, x := range c.Customers {
		if digest != "" && x.Token != "" && digestsEqual(x.Token, digest) && (found == "" || name < found) {
			found = name
		}
	}
	return found
}

func (e *Edge) config() *config.Config {
	if e.options.Config == nil {
		return config.New()
	}
	return e.options.Config()
}

// RequireOperator passes only requests with an operator's token to next. Until an
// operator is configured, it passes requests from the loopback interface.
func (e *Edge) RequireOperator(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, digest := e.config(), tokenDigest(r)
		allowed := len(c.Operators) == 0 && isLoopback(r)
		for _, o := range c.Operators {
			allowed = digestsEqual(o.Token, digest) || allowed
		}
		if !allowed {
			e.refuse(w, "", notRun("token", "an operator's bearer token is needed"))
			return
		}
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(e.options.WriteTimeout))
		next.ServeHTTP(w, r)
	})
}

// isLoopback reports whether a request comes from the node's own host.
func isLoopback(r *http.Request) bool {
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	return err == nil && from.Addr().Unmap().IsLoopback()
}

func formatBytes(n int64) string { return strconv.FormatInt(n, 10) + " bytes" }
