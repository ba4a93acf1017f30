package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

const (
	// defaultEventPause is the usual pause before each event, workTime the time of a plain request.
	defaultEventPause = 10 * time.Millisecond
	workTime          = 20 * time.Millisecond
)

// deadlyInput begins the input of a request that crashes each runner that begins to run it.
const deadlyInput = "a deadly question"

// endpoint is a runner that runs whatever is sent to it, as its page says.
type endpoint struct {
	id, service, addr string
	record            *record
	// tokens is how many tokens each stream has.
	tokens int
	// eventPause is the pause before each event. unframed streams have neither a length nor
	// chunks and end with their channel.
	eventPause time.Duration
	unframed   bool
	// onDeadly is called when a deadly request has begun to run; nil if none is.
	onDeadly func()
	listener net.Listener
	server   *http.Server
}

// listen accepts new channels at the endpoint's address from now on.
func (e *endpoint) listen() error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.addr, e.listener, e.server = l.Addr().String(), l, &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server) // until the listener is closed
	return nil
}

// crash closes the listener and all channels, as the end of a process does.
func (e *endpoint) crash() { _ = e.server.Close() } // nobody is left to be told

// refuse refuses new channels from now on. Open ones live on.
func (e *endpoint) refuse() { _ = e.listener.Close() } // it only stops accepting

// ServeHTTP runs one request.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, want := fake.ParseRequest(r.Header)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // it is incomplete and does not run
	}
	if want != "" && want != e.id {
		fake.SetNotRun(w.Header(), id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.record.ran(e.id, id, string(body))
	fake.SetAnswerHeaders(w.Header(), id, e.id)
	if e.service != "conselheiro" {
		time.Sleep(workTime)
		_, _ = io.WriteString(w, answerOf(id)) // the caller may have left
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	deadly := strings.HasPrefix(string(body), deadlyInput)
	if e.unframed {
		e.streamUnframed(w, id, deadly)
		return
	}
	if e.onDeadly != nil && deadly {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush() // the crash ends it anyway
		time.Sleep(e.eventPause)
		e.onDeadly()
		panic(http.ErrAbortHandler)
	}
	flush := http.NewResponseController(w)
	e.stream(r.Context().Done(), id, func(event string) error {
		if _, err := io.WriteString(w, event); err != nil {
			return err
		}
		return flush.Flush()
	})
}

// stream sends the events of an answer until send fails or the caller leaves.
func (e *endpoint) stream(left <-chan struct{}, id string, send func(event string) error) {
	for n := range e.tokens / tokensPerEvent {
		select {
		case <-time.After(e.eventPause):
		case <-left:
			return
		}
		if send(fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, eventOf(id, n))) != nil {
			return
		}
	}
	e.record.say("%s has sent all of %s", e.id, id)
}

// streamUnframed sends an answer that ends with its channel.
func (e *endpoint) streamUnframed(w http.ResponseWriter, id string, deadly bool) {
	header := w.Header().Clone()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // that ends the answer
	var head strings.Builder
	_ = header.Write(&head) // it cannot fail
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head.String()+"Connection: close\r\n\r\n"); err != nil {
		return
	}
	if e.onDeadly != nil && deadly {
		time.Sleep(e.eventPause)
		e.onDeadly()
		return
	}
	e.stream(nil, id, func(event string) error {
		_, err := io.WriteString(conn, event)
		return err
	})
}

func answerOf(id string) string { return "done " + id + "\n" }

func eventOf(id string, n int) string { return fmt.Sprintf("%s says %d", id, n) }

// outputOf returns what a turn adds to its chain: the data of each event and a line feed.
func outputOf(id string, tokens int) string {
	var text strings.Builder
	for n := range tokens / tokensPerEvent {
		text.WriteString(eventOf(id, n) + "\n")
	}
	return text.String()
}
