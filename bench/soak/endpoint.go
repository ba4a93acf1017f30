package soak

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

const (
	// eventPause is the pause between two events of a stream.
	eventPause = 15 * time.Millisecond
	// workTime is what a plain service's call takes.
	workTime = 15 * time.Millisecond
	// readTime bounds the reading of a request's head at an endpoint.
	readTime = 5 * time.Second
)

// endpoint is one stand-in engine or desk. Its address stays; each life has
// another name, so that what is meant for an earlier life is told apart.
type endpoint struct {
	ledger *ledger
	addr   string

	mu     sync.Mutex
	id     string
	server *http.Server
}

// begin starts a life.
func (e *endpoint) begin(id string) error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addr, e.id = l.Addr().String(), id
	e.server = &http.Server{Handler: e.handler(id), ReadHeaderTimeout: readTime}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server) // ends with the life
	return nil
}

// end cuts a life off in the middle of whatever it does.
func (e *endpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.server.Close() // it is a crash
}

func (e *endpoint) name() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

func (e *endpoint) handler(id string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		attempt, meant := fake.ParseRequest(r.Header)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the request broke off; it does not run
		}
		if meant != "" && meant != id {
			fake.SetNotRun(w.Header(), attempt)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		e.ledger.run(attempt, string(body))
		fake.SetAnswerHeaders(w.Header(), attempt, id)
		if !strings.HasPrefix(r.URL.Path, fake.ConversationPath) {
			pause(r, workTime)
			_, _ = io.WriteString(w, expected(lookup, attempt)) // a caller that left does not matter
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		flush := http.NewResponseController(w)
		for n := range eventCount {
			pause(r, eventPause)
			if _, err := io.WriteString(w, fake.Event(n, data(attempt, n))); err != nil || flush.Flush() != nil {
				return
			}
		}
	}
}

func pause(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}
