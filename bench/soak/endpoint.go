package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

const (
	// eventPause is the pause before each event of a stream.
	eventPause = 15 * time.Millisecond
	// serviceTime is how long a call of a plain service runs.
	serviceTime = 15 * time.Millisecond
	// headerTimeout bounds the reading of a request's headers at a stand-in.
	headerTimeout = 5 * time.Second
)

// endpoint is a stand-in engine or desk. It keeps its address across restarts, but
// each incarnation has a new name, so that it can reject requests for an earlier one.
type endpoint struct {
	ledger *ledger
	addr   string
	// slow requests take up to maxSlowTime.
	slow atomic.Bool

	mu     sync.Mutex
	id     string
	server *http.Server
}

// start starts an incarnation with the name id.
func (e *endpoint) start(id string) error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addr, e.id = l.Addr().String(), id
	e.server = &http.Server{Handler: e.handler(id), ReadHeaderTimeout: headerTimeout}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server) // returns once the server is closed
	return nil
}

// crash closes the server and its connections at once, also during requests.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.server.Close() // a crash reports no error
}

// workTime returns the usual time for a piece of work, or a random one up to most, rarely a long
// one, if the endpoint is slow.
func (e *endpoint) workTime(usual, most time.Duration) time.Duration {
	if !e.slow.Load() {
		return usual
	}
	share := rand.Float64()
	return time.Duration(share * share * share * float64(most))
}

func (e *endpoint) name() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

func (e *endpoint) handler(id string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		requestID, target := fake.ParseRequest(r.Header)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the request is incomplete and does not run
		}
		if target != "" && target != id {
			fake.SetNotRun(w.Header(), requestID)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		e.ledger.recordRun(requestID, string(body))
		e.ledger.recordReceived(time.Now(), requestID, fake.ReceivedCustomer(r.Header), findKeys(r))
		fake.SetAnswerHeaders(w.Header(), requestID, id)
		if !strings.HasPrefix(r.URL.Path, fake.ConversationPath) && !strings.HasPrefix(r.URL.Path, fake.UnkeptPath) {
			pause(r, e.workTime(serviceTime, maxSlowTime))
			_, _ = io.WriteString(w, expectedAnswer(lookup, requestID)) // the caller may have disconnected
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		flush := http.NewResponseController(w)
		step := e.workTime(eventPause, maxSlowTime/eventCount)
		for n := range eventCount {
			pause(r, step)
			if _, err := io.WriteString(w, fake.Event(n, eventData(requestID, n))); err != nil || flush.Flush() != nil {
				return
			}
		}
	}
}

// findKeys returns what of a request's address and headers contains a key.
func findKeys(r *http.Request) []string {
	var found []string
	if strings.Contains(r.RequestURI, keyPrefix) {
		found = append(found, r.RequestURI)
	}
	for name, values := range r.Header {
		for _, v := range values {
			if strings.Contains(v, keyPrefix) {
				found = append(found, name+": "+v)
			}
		}
	}
	return found
}

func pause(r *http.Request, d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
}
