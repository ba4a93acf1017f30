package edge_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/transport/edge"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// scriptedBackend answers the nth request with the nth step, which returns the
// owner and its replies. The last step repeats.
type scriptedBackend struct {
	edge  *edge.Edge
	steps []step

	mu       sync.Mutex
	submits  []frame.Submit
	asks     []frame.Ask
	detached chan string
}

type step func(stream string) (edge.Owner, []frame.Reply)

func (s *scriptedBackend) play(stream string) edge.Owner {
	s.mu.Lock()
	n := min(len(s.submits)+len(s.asks), len(s.steps)) - 1
	s.mu.Unlock()
	owner, replies := s.steps[n](stream)
	for _, r := range replies {
		r.Stream = stream
		s.edge.Deliver(owner.Node, r)
	}
	return owner
}

func (s *scriptedBackend) Submit(f frame.Submit) edge.Owner {
	s.mu.Lock()
	s.submits = append(s.submits, f)
	s.mu.Unlock()
	return s.play(f.Stream)
}

func (s *scriptedBackend) Ask(a frame.Ask) edge.Owner {
	s.mu.Lock()
	s.asks = append(s.asks, a)
	s.mu.Unlock()
	return s.play(a.Stream)
}

func (s *scriptedBackend) Close(c frame.Close) edge.Owner { return s.play(c.Stream) }

func (s *scriptedBackend) Leave(stream, _, _ string) { s.detached <- stream }

var (
	ownerA = edge.Owner{Node: "a", Epoch: 1}
	ownerB = edge.Owner{Node: "b", Epoch: 2}
)

func ownerReplies(o edge.Owner, replies ...frame.Reply) step {
	return func(string) (edge.Owner, []frame.Reply) { return o, replies }
}

func piece(offset int, text string) frame.Reply { return frame.Reply{Offset: offset, Text: text} }

func done(text string) frame.Reply {
	return frame.Reply{Offset: len(text), Final: &answer.Answer{
		Outcome: answer.Done, Text: text, Usage: answer.Usage{Prompt: 7, Cached: 3, Output: 2},
	}}
}

func refused() frame.Reply {
	return frame.Reply{Final: &answer.Answer{
		Outcome: answer.NotRun, Reason: "busy", Detail: "no endpoint is free", RetryAfter: 1500 * time.Millisecond,
	}}
}

// serve starts an edge with a scripted backend. change may adjust the options.
func serve(t *testing.T, change func(*edge.Options), steps ...step) (*scriptedBackend, string) {
	s := &scriptedBackend{steps: steps, detached: make(chan string, 16)}
	o := edge.Options{
		ResendAfter: 20 * time.Millisecond, MaxBody: 1 << 10, DefaultTimeout: 5 * time.Second,
		KeepaliveInterval: time.Minute, WriteTimeout: time.Second,
	}
	if change != nil {
		change(&o)
	}
	s.edge = edge.New(o, s, zerolog.Nop())
	server := httptest.NewServer(s.edge)
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		server.Close()
	})
	return s, server.URL
}

// responseHead is a response without its body.
type responseHead struct {
	StatusCode int
	Header     http.Header
}

// chat sends one chat call and returns the response's head and body.
func chat(t *testing.T, url, fields string, headers ...string) (responseHead, string) {
	t.Helper()
	body := `{"model":"gate","messages":[{"role":"user","content":"hi"}]` + fields + `}`
	return post(t, url+"/v1/chat/completions", body, headers...)
}

func post(t *testing.T, url, body string, headers ...string) (responseHead, string) {
	t.Helper()
	return send(t, http.MethodPost, url, body, headers...)
}

func send(t *testing.T, method, url, body string, headers ...string) (responseHead, string) {
	t.Helper()
	g := NewWithT(t)
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	r.Header.Set("X-Customer", "acme")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return responseHead{response.StatusCode, response.Header}, string(data)
}

const streamFields = `,"stream":true,"stream_options":{"include_usage":true}`
