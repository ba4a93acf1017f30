package edge_test

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/transport/edge"
)

func TestBadRequests(t *testing.T) {
	g := NewWithT(t)
	s, url := serve(t, nil, ownerReplies(ownerA, done("hello")))
	for _, c := range []struct {
		body, header, value string
		status              int
		message             string
	}{
		{"", "X-Customer", "a/b", 400, "X-Customer: must be"},
		{"", "X-Program", "a b", 400, "X-Program: must be"},
		{"", "Idempotency-Key", strings.Repeat("k", 129), 400, "Idempotency-Key: must be"},
		{"", "X-Seq", "0", 400, "X-Seq: must be a whole number from 1"},
		{"", "X-Deadline-Ms", "-1", 400, "X-Deadline-Ms: must be from 1"},
		{"", "X-End", "yes", 400, "X-End: must be true or false"},
		{`,"pad":"` + strings.Repeat("x", 2000) + `"`, "X-Tries", "1", 413, "larger than 1024 bytes"},
	} {
		response, body := chat(t, url, c.body, c.header, c.value)
		g.Expect(response.StatusCode).To(Equal(c.status), c.message)
		g.Expect(body).To(And(ContainSubstring(c.message), ContainSubstring(`"outcome":"notrun"`)))
	}
	g.Expect(s.submits).To(BeEmpty())
}

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func TestTokens(t *testing.T) {
	g := NewWithT(t)
	c := config.New()
	c.Revision = 1
	c.Customers["acme"] = &config.Customer{Token: digest("s3cret")}
	c.Customers["open"] = &config.Customer{}
	c.Operators["ana"] = &config.Operator{Token: digest("op")}
	s, url := serve(t, func(o *edge.Options) { o.Config = func() *config.Config { return c } }, ownerReplies(ownerA, done("hello")))
	for _, x := range []struct {
		customer, token string
		status          int
	}{
		{"acme", "", 401},
		{"acme", "wrong", 401},
		{"acme", "s3cret", 200},
		{"open", "", 200},
		{"nobody", "", 403},
		{"", "s3cret", 200},
		{"", "wrong", 401},
		{"", "", 400},
	} {
		header := ""
		if x.token != "" {
			header = "Bearer " + x.token
		}
		response, body := chat(t, url, "", "X-Customer", x.customer, "Authorization", header)
		g.Expect(response.StatusCode).To(Equal(x.status), x.customer+" "+x.token)
		g.Expect(body).NotTo(ContainSubstring("s3cret"))
	}
	g.Expect(s.submits[2].Call.Customer).To(Equal("acme"))

	handler := s.edge.RequireOperator(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) }))
	for token, status := range map[string]int{"op": 204, "s3cret": 401, "": 401} {
		w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/v1/report", nil)
		r.Header.Set("Authorization", "Bearer "+token)
		handler.ServeHTTP(w, r)
		g.Expect(w.Code).To(Equal(status))
	}
}

func TestOperatorsBeforeOneIsDeclared(t *testing.T) {
	s, _ := serve(t, nil, ownerReplies(ownerA))
	handler := s.edge.RequireOperator(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) }))
	for from, status := range map[string]int{"127.0.0.1:9": 204, "[::1]:9": 204, "10.0.0.1:9": 401, "": 401} {
		w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/v1/report", nil)
		r.RemoteAddr = from
		handler.ServeHTTP(w, r)
		NewWithT(t).Expect(w.Code).To(Equal(status), from)
	}
}

func TestNodeWithoutConfiguration(t *testing.T) {
	g := NewWithT(t)
	s, url := serve(t, func(o *edge.Options) { o.Config = config.New }, ownerReplies(ownerA, done("hello")))
	for _, c := range []struct{ key, tries, outcome string }{
		{"", "", "notrun"}, {"k1", "1", "notrun"}, {"k1", "2", "unknown"}, {"k1", "", "unknown"},
	} {
		response, body := chat(t, url, "", "Idempotency-Key", c.key, "X-Tries", c.tries)
		g.Expect(response.Header.Get("Retry-After")).To(Equal("1"))
		g.Expect(body).To(And(ContainSubstring(`"reason":"starting"`), ContainSubstring(`"outcome":"`+c.outcome+`"`)))
	}
	g.Expect(s.submits).To(BeEmpty())
}

func TestLimitRefusalOfARetry(t *testing.T) {
	overLimit := &answer.Answer{Outcome: answer.NotRun, Reason: "limit", RetryAfter: 100 * time.Millisecond}
	for _, c := range []struct{ key, tries, outcome string }{
		{"", "", "notrun"}, {"k1", "1", "notrun"}, {"k1", "2", "unknown"}, {"k1", "", "unknown"},
	} {
		g := NewWithT(t)
		s, url := serve(t, func(o *edge.Options) {
			o.Admit = func(time.Time, *call.Call) (func(), *answer.Answer) { return nil, overLimit }
		}, ownerReplies(ownerA, done("hello")))
		response, body := chat(t, url, "", "Idempotency-Key", c.key, "X-Tries", c.tries)
		g.Expect(response.StatusCode).To(Equal(http.StatusTooManyRequests))
		g.Expect(response.Header.Get("Retry-After")).To(Equal("1"))
		g.Expect(body).To(ContainSubstring(`"outcome":"` + c.outcome + `"`))
		g.Expect(s.submits).To(BeEmpty())
	}
}
