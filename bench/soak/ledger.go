package soak

import (
	"fmt"
	"strings"
	"sync"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

// requestKind is the kind of a request. It decides whether the request may run twice.
type requestKind int

const (
	conversation requestKind = iota
	lookup
	order
)

// ledger records the requests of callers and the runs at endpoints, and checks the
// system's promises against both. It is safe for concurrent use.
type ledger struct {
	mu sync.Mutex
	// requests holds the requests sent, by id.
	requests map[string]request
	// runs counts the runs of a request. notRun holds the status with which a gate
	// answered that a request has not run and will not run.
	runs   map[string]int
	notRun map[string]int
	// tokens is the number of tokens that each program's caller received.
	tokens map[string]int

	served, refused, failed int
	violations              []string
}

// request is a request that a caller sent.
type request struct {
	kind requestKind
	// text is the body that the endpoint must receive.
	text string
}

func newLedger() *ledger {
	return &ledger{requests: map[string]request{}, runs: map[string]int{}, notRun: map[string]int{}, tokens: map[string]int{}}
}

// addViolation records a broken promise. The caller holds the mutex.
func (l *ledger) addViolation(format string, args ...any) {
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

// recordRequest records a request before it is sent.
func (l *ledger) recordRequest(id string, k requestKind, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = request{k, text}
}

// recordRun records that an endpoint runs a request with the received text.
func (l *ledger) recordRun(id, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.requests[id]
	switch {
	case !ok:
		l.addViolation("UNASKED: an endpoint runs %q, which nobody asked", id)
		return
	case a.text != text:
		l.addViolation("UNASKED: %s reaches its endpoint with %d bytes of other text than the %d asked", id, len(text), len(a.text))
	}
	l.runs[id]++
	if a.kind != lookup && l.runs[id] > 1 {
		l.addViolation("TWICE: %s runs %d times", id, l.runs[id])
	}
	if status, ok := l.notRun[id]; ok && a.kind != lookup {
		l.addViolation("REFUSED: %s runs after it was answered %d", id, status)
	}
}

// recordNotRun records an answer that promises that a request has not run.
func (l *ledger) recordNotRun(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused++
	l.notRun[id] = status
	if l.runs[id] > 0 && l.requests[id].kind != lookup {
		l.addViolation("REFUSED: %s has run and is answered %d", id, status)
	}
}

// checkAnswer checks that an answer with status 200 belongs to its request and is complete.
func (l *ledger) checkAnswer(id, seal, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served++
	if !strings.HasSuffix(seal, "."+id) {
		l.addViolation("MIXED: %s is answered with the seal %q", id, seal)
	}
	if want := expectedAnswer(l.requests[id].kind, id); body != want {
		l.addViolation("MIXED: %s is answered with %q instead of %q", id, body, want)
	}
}

// countFailure counts a failed request whose outcome is unknown.
func (l *ledger) countFailure() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed++
}

// recordTokens records the events of an answer that reached a caller. A program may
// exceed its budget by one turn.
func (l *ledger) recordTokens(program string, events, budget, maxTurnTokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens[program] += events * fake.TokensPerEvent
	if l.tokens[program] > budget+maxTurnTokens {
		l.addViolation("BUDGET: %s was handed %d tokens of %d and %d", program, l.tokens[program], budget, maxTurnTokens)
	}
}

// recordLostTurn records that a gate answered that a completed turn does not exist.
func (l *ledger) recordLostTurn(id, previous string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation("LOST: %s goes on from the kept turn %s and is answered %d", id, previous, status)
}

// recordNotRecovered records that a part of the deployment did not recover in time.
func (l *ledger) recordNotRecovered(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation("RECOVER: %s", what)
}

// eventCount is the number of events of a stream.
const eventCount = 4

// eventData returns the data of a stream's n-th event. It names the request, so that
// mixed-up answers are detected.
func eventData(id string, n int) string { return fmt.Sprintf("%s says %d", id, n) }

// expectedAnswer returns the complete answer to a request.
func expectedAnswer(k requestKind, id string) string {
	if k != conversation {
		return "done " + id
	}
	var b strings.Builder
	for n := range eventCount {
		b.WriteString(fake.Event(n, eventData(id, n)))
	}
	return b.String()
}

// turnOutput returns the text that a turn's answer adds to the history of its chain.
func turnOutput(id string) string {
	var b strings.Builder
	for n := range eventCount {
		b.WriteString(eventData(id, n) + "\n")
	}
	return b.String()
}
