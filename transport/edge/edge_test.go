package edge_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
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
	"github.com/cowslipstage/cowslipstage/state/burn"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/transport/edge"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// script is a backend that plays one owner after another: step n gets the nth
// request about a stream, and returns its owner and the replies.
type script struct {
	edge  *edge.Edge
	steps []step

	mu      sync.Mutex
	submits []frame.Submit
	asks    []frame.Ask
	left    chan string
}

type step func(stream string) (edge.Owner, []frame.Reply)

func (s *script) play(stream string) edge.Owner {
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

func (s *script) Submit(f frame.Submit) edge.Owner {
	s.mu.Lock()
	s.submits = append(s.submits, f)
	s.mu.Unlock()
	return s.play(f.Stream)
}

func (s *script) Ask(a frame.Ask) edge.Owner {
	s.mu.Lock()
	s.asks = append(s.asks, a)
	s.mu.Unlock()
	return s.play(a.Stream)
}

func (s *script) Close(c frame.Close) edge.Owner { return s.play(c.Stream) }

func (s *script) Leave(stream, _, _ string) { s.left <- stream }

var (
	ownerA = edge.Owner{Node: "a", Epoch: 1}
	ownerB = edge.Owner{Node: "b", Epoch: 2}
)

func says(o edge.Owner, replies ...frame.Reply) step {
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

// serve starts an edge before a script; options may be changed.
func serve(t *testing.T, change func(*edge.Options), steps ...step) (*script, string) {
	s := &script{steps: steps, left: make(chan string, 16)}
	o := edge.Options{
		Silence: 20 * time.Millisecond, MaxBody: 1 << 10, Patience: 5 * time.Second,
		Beat: time.Minute, Stall: time.Second,
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

// heard is what came with a body.
type heard struct {
	StatusCode int
	Header     http.Header
}

// chat sends one model call and returns the response with its body.
func chat(t *testing.T, url, fields string, headers ...string) (heard, string) {
	t.Helper()
	body := `{"model":"gate","messages":[{"role":"user","content":"hi"}]` + fields + `}`
	return post(t, url+"/v1/chat/completions", body, headers...)
}

func post(t *testing.T, url, body string, headers ...string) (heard, string) {
	t.Helper()
	return send(t, http.MethodPost, url, body, headers...)
}

func send(t *testing.T, method, url, body string, headers ...string) (heard, string) {
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
	return heard{response.StatusCode, response.Header}, string(data)
}

const streamed = `,"stream":true,"stream_options":{"include_usage":true}`

func TestStreamInPieces(t *testing.T) {
	g := NewWithT(t)
	_, url := serve(t, nil, says(ownerA, piece(0, "he"), piece(0, "hel"), piece(3, "lo"), done("hello")))
	response, body := chat(t, url, streamed, "Idempotency-Key", "k1")
	g.Expect(response.Header.Get("Content-Type")).To(Equal("text/event-stream"))
	events := strings.Split(strings.TrimSpace(body), "\n\n")
	g.Expect(events).To(HaveLen(5))
	g.Expect(events[0]).To(ContainSubstring(`"content":"he"`))
	g.Expect(events[1]).To(ContainSubstring(`"content":"l"`), "a repeated beginning is not sent again")
	g.Expect(events[2]).To(ContainSubstring(`"content":"lo"`))
	g.Expect(events[3]).To(And(
		ContainSubstring(`"finish_reason":"stop"`), ContainSubstring(`"content":"hello"`),
		ContainSubstring(`"total_tokens":9`), ContainSubstring(`"prompt_tokens_details":{"cached_tokens":3}`)))
	g.Expect(events[4]).To(Equal("data: [DONE]"))
}

func TestMissingTextIsAskedForOnce(t *testing.T) {
	g := NewWithT(t)
	s, url := serve(t, func(o *edge.Options) { o.Silence = time.Minute },
		says(ownerA, piece(0, "he"), piece(4, "o"), piece(5, "!")),
		says(ownerA, piece(2, "llo!"), done("hello!")))
	_, body := chat(t, url, streamed)
	g.Expect(body).To(ContainSubstring(`"content":"llo!"`))
	g.Expect(s.submits).To(HaveLen(2))
	g.Expect(s.submits[1].Partial).To(Equal("he"))
}

func TestFinalCarriesTheRest(t *testing.T) {
	g := NewWithT(t)
	s, url := serve(t, nil, says(ownerA, piece(0, "he"), done("hello")))
	_, body := chat(t, url, streamed)
	g.Expect(body).To(ContainSubstring(`"delta":{"role":"assistant","content":"llo"}`))
	g.Expect(s.submits).To(HaveLen(1))
}

func TestSilentOwnerIsAskedAgain(t *testing.T) {
	g := NewWithT(t)
	s, url := serve(t, nil, says(ownerA, piece(0, "he")), says(ownerA), says(ownerB, done("hello")))
	response, body := chat(t, url, "")
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	g.Expect(body).To(ContainSubstring(`"content":"hello"`))
	g.Expect(s.submits[2].Partial).To(Equal("he"))
}

func TestRefusalIsHonest(t *testing.T) {
	for name, c := range map[string]struct {
		steps   []step
		outcome string
		status  int
	}{
		"the only owner refuses":             {[]step{says(ownerA, refused())}, "notrun", 503},
		"the owner refuses when asked again": {[]step{says(ownerA), says(ownerA, refused())}, "notrun", 503},
		"an untouched call moved": {
			[]step{says(ownerA, frame.Reply{Moved: true}), says(ownerB, refused())}, "notrun", 503,
		},
		"an owner that was asked twice moved it": {
			[]step{says(ownerA), says(ownerA, frame.Reply{Moved: true}), says(ownerB, refused())}, "unknown", 502,
		},
		"a touched call moved": {
			[]step{says(ownerA, frame.Reply{Moved: true, Touched: true}), says(ownerB, refused())}, "unknown", 502,
		},
		"the first owner fell silent": {[]step{says(ownerA), says(ownerB, refused())}, "unknown", 502},
		"the owner restarted": {
			[]step{says(ownerA), says(edge.Owner{Node: "a", Epoch: 3}, refused())}, "unknown", 502,
		},
		"text had come already": {[]step{says(ownerA, piece(0, "he"), refused())}, "unknown", 502},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, url := serve(t, nil, c.steps...)
			response, body := chat(t, url, "", "Idempotency-Key", "k1", "X-Tries", "1")
			g.Expect(response.StatusCode).To(Equal(c.status))
			g.Expect(response.Header.Get("X-Outcome")).To(Equal(c.outcome))
			g.Expect(response.Header.Get("Retry-After")).To(Equal("2"))
			g.Expect(body).To(And(ContainSubstring(`"outcome":"`+c.outcome+`"`),
				ContainSubstring(`"key":"k1"`), ContainSubstring(`"retry_after_ms":1500`)))
		})
	}
}

// TestRefusalOfARetry: an earlier attempt may have run at an owner whose memory
// is gone, unless the call is in the journal before it is dispatched.
func TestRefusalOfARetry(t *testing.T) {
	c := config.New()
	c.Revision = 1
	c.Services["yard"] = &config.Service{Operations: map[string]*config.Operation{"book": {}, "space": {Idempotent: true}}}
	nobody := says(edge.Owner{}, frame.Reply{Moved: true})
	for _, x := range []struct {
		path, tries string
		step        step
		outcome     string
	}{
		{"/v1/chat/completions", "1", says(ownerA, refused()), "notrun"},
		{"/v1/chat/completions", "2", says(ownerA, refused()), "unknown"},
		{"/v1/chat/completions", "", says(ownerA, refused()), "unknown"},
		{"/v1/services/yard/space", "2", says(ownerA, refused()), "unknown"},
		{"/v1/services/yard/book", "2", says(ownerA, refused()), "notrun"},
		{"/v1/services/yard/book", "1", nobody, "notrun"},
		{"/v1/services/yard/book", "2", nobody, "unknown"},
	} {
		_, url := serve(t, func(o *edge.Options) { o.Config = func() *config.Config { return c } }, x.step)
		response, _ := post(t, url+x.path, `{"model":"gate","messages":[{"role":"user","content":"hi"}]}`,
			"Idempotency-Key", "k1", "X-Tries", x.tries, "X-Deadline-Ms", "30")
		NewWithT(t).Expect(response.Header.Get("X-Outcome")).To(Equal(x.outcome), x.path+" "+x.tries)
	}
}

func TestOwnersThatNeverAnswer(t *testing.T) {
	g := NewWithT(t)
	_, url := serve(t, nil, says(ownerA))
	response, _ := chat(t, url, "", "X-Deadline-Ms", "30")
	g.Expect(response.Header.Get("X-Outcome")).To(Equal("unknown"))
	_, url = serve(t, nil, says(edge.Owner{}, frame.Reply{Moved: true}))
	response, _ = chat(t, url, "", "X-Deadline-Ms", "30")
	g.Expect(response.Header.Get("X-Outcome")).To(Equal("notrun"), "nothing was sent")
}

func TestAnswerBegunAnew(t *testing.T) {
	for _, second := range []frame.Reply{piece(0, "other"), done("other answer")} {
		g := NewWithT(t)
		_, url := serve(t, nil, says(ownerA, piece(0, "hello")), says(ownerB, second))
		_, body := chat(t, url, streamed)
		g.Expect(body).To(And(ContainSubstring(`"reason":"diverged"`), ContainSubstring(`"outcome":"unknown"`)))
		g.Expect(body).NotTo(ContainSubstring("other"))
	}
}

func TestCallerWhoWaitsHearsComments(t *testing.T) {
	g := NewWithT(t)
	s, url := serve(t, func(o *edge.Options) { o.Beat, o.Silence = time.Millisecond, time.Minute }, says(ownerA))
	r, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions",
		strings.NewReader(`{"model":"gate","stream":true,"messages":[{"role":"user","content":"hi"}]}`))
	g.Expect(err).NotTo(HaveOccurred())
	r.Header.Set("X-Customer", "acme")
	response, err := http.DefaultClient.Do(r)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewReader(response.Body)
	g.Expect(lines.ReadString('\n')).To(Equal(": waiting\n"))
	f := refused()
	s.mu.Lock()
	f.Stream = s.submits[0].Stream
	s.mu.Unlock()
	s.edge.Deliver("a", f)
	rest, err := io.ReadAll(lines)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(rest)).To(ContainSubstring(`"outcome":"notrun"`))
}

func TestCallerWhoLeaves(t *testing.T) {
	g := NewWithT(t)
	asked := make(chan string, 1)
	s, url := serve(t, func(o *edge.Options) { o.Silence = time.Minute }, func(stream string) (edge.Owner, []frame.Reply) {
		asked <- stream
		return ownerA, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/services/yard/book", strings.NewReader("{}"))
	g.Expect(err).NotTo(HaveOccurred())
	r.Header.Set("X-Customer", "acme")
	gone := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(r) //nolint:bodyclose // The call always fails.
		gone <- err
	}()
	stream := <-asked
	cancel()
	g.Expect(<-gone).To(MatchError(context.Canceled))
	g.Expect(<-s.left).To(Equal(stream))
}

func TestFetchAgain(t *testing.T) {
	g := NewWithT(t)
	s, url := serve(t, nil, says(ownerA, done("hello")))
	_, body := send(t, http.MethodGet, url+"/v1/requests/k7", "")
	g.Expect(body).To(ContainSubstring(`"content":"hello"`))
	g.Expect(s.asks[0].Program).To(Equal("k7"), "without a program the key names it")
	_, body = send(t, http.MethodGet, url+"/v1/requests/k7?stream=true", "", "X-Program", "p")
	g.Expect(body).To(HaveSuffix("data: [DONE]\n\n"))
	g.Expect(s.asks[1].Program).To(Equal("p"))
}

func TestMetadataNamesTheProgram(t *testing.T) {
	g := NewWithT(t)
	s, url := serve(t, nil, says(ownerA, done("hello")))
	response, _ := chat(t, url, `,"metadata":{"program":"p9"}`)
	g.Expect(s.submits[0].Call.Program).To(Equal("p9"))
	g.Expect(s.submits[0].Call.End).To(BeFalse())
	g.Expect(response.Header.Get("X-Program")).To(Equal("p9"))
}

func TestBadRequests(t *testing.T) {
	g := NewWithT(t)
	s, url := serve(t, nil, says(ownerA, done("hello")))
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
	s, url := serve(t, func(o *edge.Options) { o.Config = func() *config.Config { return c } }, says(ownerA, done("hello")))
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

	private := s.edge.Operators(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) }))
	for token, status := range map[string]int{"op": 204, "s3cret": 401, "": 401} {
		w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/v1/report", nil)
		r.Header.Set("Authorization", "Bearer "+token)
		private.ServeHTTP(w, r)
		g.Expect(w.Code).To(Equal(status))
	}
}

func TestOperatorsBeforeOneIsDeclared(t *testing.T) {
	s, _ := serve(t, nil, says(ownerA))
	private := s.edge.Operators(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) }))
	for from, status := range map[string]int{"127.0.0.1:9": 204, "[::1]:9": 204, "10.0.0.1:9": 401, "": 401} {
		w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/v1/report", nil)
		r.RemoteAddr = from
		private.ServeHTTP(w, r)
		NewWithT(t).Expect(w.Code).To(Equal(status), from)
	}
}

func TestFinishedCallsAreObserved(t *testing.T) {
	g := NewWithT(t)
	seen := make(chan burn.Sample, 1)
	_, url := serve(t, func(o *edge.Options) { o.Observe = func(s burn.Sample) { seen <- s } }, says(ownerA, piece(0, "he"), done("hello")))
	chat(t, url, streamed, "Idempotency-Key", "k1")
	s := <-seen
	g.Expect(s.Customer + s.Service + s.Key).To(Equal("acmegatek1"))
	g.Expect(s.Outcome).To(Equal(answer.Done))
	g.Expect(s.Tokens).To(Equal(2))
	g.Expect(s.First).To(BeNumerically("<=", s.Whole))
}

func TestNodeWithoutConfiguration(t *testing.T) {
	g := NewWithT(t)
	s, url := serve(t, func(o *edge.Options) { o.Config = config.New }, says(ownerA, done("hello")))
	for _, c := range []struct{ key, tries, outcome string }{
		{"", "", "notrun"}, {"k1", "1", "notrun"}, {"k1", "2", "unknown"}, {"k1", "", "unknown"},
	} {
		response, body := chat(t, url, "", "Idempotency-Key", c.key, "X-Tries", c.tries)
		g.Expect(response.Header.Get("Retry-After")).To(Equal("1"))
		g.Expect(body).To(And(ContainSubstring(`"reason":"starting"`), ContainSubstring(`"outcome":"`+c.outcome+`"`)))
	}
	g.Expect(s.submits).To(BeEmpty())
}

func TestLimitIsHonest(t *testing.T) {
	over := &answer.Answer{Outcome: answer.NotRun, Reason: "limit", RetryAfter: 100 * time.Millisecond}
	for _, c := range []struct{ key, tries, outcome string }{
		{"", "", "notrun"}, {"k1", "1", "notrun"}, {"k1", "2", "unknown"}, {"k1", "", "unknown"},
	} {
		g := NewWithT(t)
		s, url := serve(t, func(o *edge.Options) {
			o.Admit = func(time.Time, *call.Call) (func(), *answer.Answer) { return nil, over }
		}, says(ownerA, done("hello")))
		response, body := chat(t, url, "", "Idempotency-Key", c.key, "X-Tries", c.tries)
		g.Expect(response.StatusCode).To(Equal(http.StatusTooManyRequests))
		g.Expect(response.Header.Get("Retry-After")).To(Equal("1"))
		g.Expect(body).To(ContainSubstring(`"outcome":"` + c.outcome + `"`))
		g.Expect(s.submits).To(BeEmpty())
	}
}

// slowWriter blocks in its first write.
type slowWriter struct {
	http.ResponseWriter
	writing chan struct{}
	release chan struct{}
}

func (w *slowWriter) Write(data []byte) (int, error) {
	close(w.writing)
	<-w.release
	return w.ResponseWriter.Write(data)
}

func TestRequestCountsUntilItsAnswerIsWritten(t *testing.T) {
	g := NewWithT(t)
	s, _ := serve(t, nil, says(ownerA, done("hello")))
	w := &slowWriter{httptest.NewRecorder(), make(chan struct{}), make(chan struct{})}
	r := httptest.NewRequest(http.MethodGet, "/v1/requests/k1", nil)
	r.Header.Set("X-Customer", "acme")
	over := make(chan struct{})
	go func() {
		s.edge.ServeHTTP(w, r)
		close(over)
	}()
	<-w.writing
	g.Expect(s.edge.Waiting()).To(Equal(1), "a planned stop would cut the answer off")
	close(w.release)
	<-over
	g.Expect(s.edge.Waiting()).To(BeZero())
}

func TestCallerWhoStopsReading(t *testing.T) {
	g := NewWithT(t)
	var s *script
	stop := make(chan struct{})
	s, url := serve(t, func(o *edge.Options) { o.Stall, o.Patience = 50*time.Millisecond, time.Hour }, func(stream string) (edge.Owner, []frame.Reply) {
		go func() {
			text := strings.Repeat("x", 64<<10)
			for at := 0; ; at += len(text) {
				select {
				case <-stop:
					return
				default:
					s.edge.Deliver("a", frame.Reply{Stream: stream, Offset: at, Text: text})
				}
			}
		}()
		return ownerA, nil
	})
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	body := `{"model":"gate","stream":true,"messages":[{"role":"user","content":"hi"}]}`
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Customer: acme\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	g.Expect(err).NotTo(HaveOccurred())
	<-s.left
	close(stop)
}

func TestPatienceFollowsTheService(t *testing.T) {
	g := NewWithT(t)
	c := config.New()
	c.Revision = 1
	c.Services["gate"] = &config.Service{Timeout: 5 * time.Second}
	s, url := serve(t, func(o *edge.Options) {
		o.Patience, o.Config = time.Millisecond, func() *config.Config { return c }
	}, says(ownerA), says(ownerA), says(ownerA), says(ownerA), says(ownerA, done("hello")))
	response, _ := chat(t, url, "")
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	g.Expect(s.submits).To(HaveLen(5))
}

// nowhere drops what is written to it, and tells of each write.
type nowhere struct {
	header http.Header
	wrote  chan struct{}
}

func (n nowhere) Header() http.Header { return n.header }

func (n nowhere) Write(data []byte) (int, error) {
	n.wrote <- struct{}{}
	return len(data), nil
}

func (nowhere) WriteHeader(int)                   {}
func (nowhere) FlushError() error                 { return nil }
func (nowhere) SetWriteDeadline(time.Time) error  { return nil }
func (nowhere) SetReadDeadline(_ time.Time) error { return nil }

// BenchmarkPiece is the edge's work for one piece of a streamed answer.
func BenchmarkPiece(b *testing.B) {
	b.ReportAllocs()
	s := &script{left: make(chan string, 1)}
	s.edge = edge.New(edge.Options{
		Silence: time.Hour, MaxBody: 1 << 10, Patience: time.Hour, Beat: time.Hour, Stall: time.Hour,
	}, s, zerolog.Nop())
	const text = " token"
	w := nowhere{http.Header{}, make(chan struct{}, 4)}
	s.steps = []step{func(stream string) (edge.Owner, []frame.Reply) {
		go func() {
			for i := range b.N {
				s.edge.Deliver("a", frame.Reply{Stream: stream, Offset: i * len(text), Text: text})
				<-w.wrote
			}
			whole := strings.Repeat(text, b.N)
			s.edge.Deliver("a", frame.Reply{Stream: stream, Final: &answer.Answer{Outcome: answer.Done, Text: whole}})
		}()
		return ownerA, nil
	}}
	r := httptest.NewRequest(http.MethodGet, "/v1/requests/k1?stream=true", nil)
	r.Header.Set("X-Customer", "acme")
	s.edge.ServeHTTP(w, r)
}
