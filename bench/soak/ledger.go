package soak

import (
	"fmt"
	"strings"
	"sync"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

// kind is what may be done with a request.
type kind int

const (
	conversation kind = iota
	lookup
	order
)

// ledger knows what callers asked and what endpoints ran, and holds each promise
// against both. It is safe for concurrent use.
type ledger struct {
	mu sync.Mutex
	// asked is each attempt's kind and the text that its endpoint must get.
	asked map[string]attempt
	// ran counts the runs of an attempt; denied holds those that a gate said have
	// not run and will not, with the status.
	ran    map[string]int
	denied map[string]int
	// given is the tokens that a program's callers were handed.
	given map[string]int

	served, refused, failed int
	broken                  []string
}

type attempt struct {
	kind kind
	text string
}

func newLedger() *ledger {
	return &ledger{asked: map[string]attempt{}, ran: map[string]int{}, denied: map[string]int{}, given: map[string]int{}}
}

// breaks notes a broken promise. It is called with the mutex held.
func (l *ledger) breaks(format string, args ...any) {
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// ask notes an attempt before it is sent.
func (l *ledger) ask(id string, k kind, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked[id] = attempt{k, text}
}

// run notes that an endpoint runs what it received.
func (l *ledger) run(id, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.asked[id]
	switch {
	case !ok:
		l.breaks("UNASKED: an endpoint runs %q, which nobody asked", id)
		return
	case a.text != text:
		l.breaks("UNASKED: %s reaches its endpoint with %d bytes of other text than the %d asked", id, len(text), len(a.text))
	}
	l.ran[id]++
	if a.kind != lookup && l.ran[id] > 1 {
		l.breaks("TWICE: %s runs %d times", id, l.ran[id])
	}
	if status, ok := l.denied[id]; ok && a.kind != lookup {
		l.breaks("REFUSED: %s runs after it was answered %d", id, status)
	}
}

// deny notes an answer that promises that an attempt has not run.
func (l *ledger) deny(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused++
	l.denied[id] = status
	if l.ran[id] > 0 && l.asked[id].kind != lookup {
		l.breaks("REFUSED: %s has run and is answered %d", id, status)
	}
}

// success checks a whole answer of 200: its own, and not cut.
func (l *ledger) success(id, seal, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served++
	if !strings.HasSuffix(seal, "."+id) {
		l.breaks("MIXED: %s is answered with the seal %q", id, seal)
	}
	if want := expected(l.asked[id].kind, id); body != want {
		l.breaks("MIXED: %s is answered with %q instead of %q", id, body, want)
	}
}

// fail counts an answer that promises nothing.
func (l *ledger) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed++
}

// hand notes events that reached a caller.
func (l *ledger) hand(program string, events, budget, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.given[program] += events * fake.TokensPerEvent
	if l.given[program] > budget+most {
		l.breaks("BUDGET: %s was handed %d tokens of %d and %d", program, l.given[program], budget, most)
	}
}

// lost notes that a kept turn is said not to exist, or never found again.
func (l *ledger) lost(id, previous string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaks("LOST: %s goes on from the kept turn %s and is answered %d", id, previous, status)
}

// stuck notes that something did not come back in time.
func (l *ledger) stuck(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breaks("RECOVER: %s", what)
}

// eventCount is the events of a stream.
const eventCount = 4

// data is what a stream's n-th event says; the attempt is named so that answers
// that are mixed up show.
func data(id string, n int) string { return fmt.Sprintf("%s says %d", id, n) }

// expected is the whole answer to an attempt.
func expected(k kind, id string) string {
	if k != conversation {
		return "done " + id
	}
	var b strings.Builder
	for n := range eventCount {
		b.WriteString(fake.Event(n, data(id, n)))
	}
	return b.String()
}

// output is what a turn adds to its chain.
func output(id string) string {
	var b strings.Builder
	for n := range eventCount {
		b.WriteString(data(id, n) + "\n")
	}
	return b.String()
}
