package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/burn"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/transport/edge"
)

func TestStreamInPieces(t *testing.T) {
	g := NewWithT(t)
	_, url := serve(t, nil, ownerReplies(ownerA, piece(0, "he"), piece(0, "hel"), piece(3, "lo"), done("hello")))
	response, body := chat(t, url, streamFields, "Idempotency-Key", "k1")
	g.Expect(response.Header.Get("Content-Type")).To(Equal("text/event-stream"))
	events := strings.Split(strings.TrimSpace(body), "\n\n")
	g.Expect(events).To(HaveLen(5))
	g.Expect(events[0]).To(ContainSubstring(`"content":"he"`))
	g.Expect(events[1]).To(ContainSubstring(`"content":"l"`), "a repeated prefix is not sent again")
	g.Expect(events[2]).To(ContainSubstring(`"content":"lo"`))
	g.Expect(events[3]).To(And(
		ContainSubstring(`"finish_reason":"stop"`), ContainSubstring(`"content":"hello"`),
		ContainSubstring(`"total_tokens":9`), ContainSubstring(`"prompt_tokens_details":{"cached_tokens":3}`)))
	g.Expect(events[4]).To(Equal("data: [DONE]"))
}

func TestMissingTextIsRequestedOnce(t *testing.T) {
	g := NewWithT(t)
	s, url := serve(t, func(o *edge.Options) { o.ResendAfter = time.Minute },
		ownerReplies(ownerA, piece(0, "he"), piece(4, "o"), piece(5, "!")),
		ownerReplies(ownerA, piece(2, "llo!"), done("hello!")))
	_, body := chat(t, url, streamFields)
	g.Expect(body).To(ContainSubstring(`"content":"llo!"`))
	g.Expect(s.submits).To(HaveLen(2))
	g.Expect(s.submits[1].Partial).To(Equal("he"))
}

func TestFinalReplyCompletesText(t *testing.T) {
	g := NewWithT(t)
	s, url := serve(t, nil, ownerReplies(ownerA, piece(0, "he"), done("hello")))
	_, body := chat(t, url, streamFields)
	g.Expect(body).To(ContainSubstring(`"delta":{"role":"assistant","content":"llo"}`))
	g.Expect(s.submits).To(HaveLen(1))
}

func TestSilentOwnerIsAskedAgain(t *testing.T) {
	g := NewWithT(t)
	s, url := serve(t, nil, ownerReplies(ownerA, piece(0, "he")), ownerReplies(ownerA), ownerReplies(ownerB, done("hello")))
	response, body := chat(t, url, "")
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	g.Expect(body).To(ContainSubstring(`"content":"hello"`))
	g.Expect(s.submits[2].Partial).To(Equal("he"))
}

func TestRefusalAfterOwnerChange(t *testing.T) {
	for name, c := range map[string]struct {
		steps   []step
		outcome string
		status  int
	}{
		"the only owner refuses":               {[]step{ownerReplies(ownerA, refused())}, "notrun", 503},
		"the owner refuses a repeated request": {[]step{ownerReplies(ownerA), ownerReplies(ownerA, refused())}, "notrun", 503},
		"a call that did not run moved": {
			[]step{ownerReplies(ownerA, frame.Reply{Moved: true}), ownerReplies(ownerB, refused())}, "notrun", 503,
		},
		"an owner that got two requests moved the program": {
			[]step{ownerReplies(ownerA), ownerReplies(ownerA, frame.Reply{Moved: true}), ownerReplies(ownerB, refused())}, "unknown", 502,
		},
		"a call that may have run moved": {
			[]step{ownerReplies(ownerA, frame.Reply{Moved: true, MayHaveRun: true}), ownerReplies(ownerB, refused())}, "unknown", 502,
		},
		"the first owner fell silent": {[]step{ownerReplies(ownerA), ownerReplies(ownerB, refused())}, "unknown", 502},
		"the owner restarted": {
			[]step{ownerReplies(ownerA), ownerReplies(edge.Owner{Node: "a", Epoch: 3}, refused())}, "unknown", 502,
		},
		"text was received before the refusal": {[]step{ownerReplies(ownerA, piece(0, "he"), refused())}, "unknown", 502},
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

// TestRefusalOfARetry guards against a false "not run" for a retry: an earlier
// attempt may have run at an owner that lost its record of it, unless the call is
// journaled before dispatch.
func TestRefusalOfARetry(t *testing.T) {
	c := config.New()
	c.Revision = 1
	c.Services["yard"] = &config.Service{Operations: map[string]*config.Operation{"book": {}, "space": {Idempotent: true}}}
	noOwner := ownerReplies(edge.Owner{}, frame.Reply{Moved: true})
	for _, x := range []struct {
		path, tries string
		step        step
		outcome     string
	}{
		{"/v1/chat/completions", "1", ownerReplies(ownerA, refused()), "notrun"},
		{"/v1/chat/completions", "2", ownerReplies(ownerA, refused()), "unknown"},
		{"/v1/chat/completions", "", ownerReplies(ownerA, refused()), "unknown"},
		{"/v1/services/yard/space", "2", ownerReplies(ownerA, refused()), "unknown"},
		{"/v1/services/yard/book", "2", ownerReplies(ownerA, refused()), "notrun"},
		{"/v1/services/yard/book", "1", noOwner, "notrun"},
		{"/v1/services/yard/book", "2", noOwner, "unknown"},
	} {
		_, url := serve(t, func(o *edge.Options) { o.Config = func() *config.Config { return c } }, x.step)
		response, _ := post(t, url+x.path, `{"model":"gate","messages":[{"role":"user","content":"hi"}]}`,
			"Idempotency-Key", "k1", "X-Tries", x.tries, "X-Deadline-Ms", "30")
		NewWithT(t).Expect(response.Header.Get("X-Outcome")).To(Equal(x.outcome), x.path+" "+x.tries)
	}
}

func TestOwnersThatNeverAnswer(t *testing.T) {
	g := NewWithT(t)
	_, url := serve(t, nil, ownerReplies(ownerA))
	response, _ := chat(t, url, "", "X-Deadline-Ms", "30")
	g.Expect(response.Header.Get("X-Outcome")).To(Equal("unknown"))
	_, url = serve(t, nil, ownerReplies(edge.Owner{}, frame.Reply{Moved: true}))
	response, _ = chat(t, url, "", "X-Deadline-Ms", "30")
	g.Expect(response.Header.Get("X-Outcome")).To(Equal("notrun"), "nothing was sent")
}

func TestDivergingAnswer(t *testing.T) {
	for _, second := range []frame.Reply{piece(0, "other"), done("other answer")} {
		g := NewWithT(t)
		_, url := serve(t, nil, ownerReplies(ownerA, piece(0, "hello")), ownerReplies(ownerB, second))
		_, body := chat(t, url, streamFields)
		g.Expect(body).To(And(ContainSubstring(`"reason":"diverged"`), ContainSubstring(`"outcome":"unknown"`)))
		g.Expect(body).NotTo(ContainSubstring("other"))
	}
}

func TestWaitingCallerGetsKeepaliveComments(t *testing.T) {
	g := NewWithT(t)
	s, url := serve(t, func(o *edge.Options) { o.KeepaliveInterval, o.ResendAfter = time.Millisecond, time.Minute }, ownerReplies(ownerA))
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

func TestDisconnectedCallerIsDetached(t *testing.T) {
	g := NewWithT(t)
	submitted := make(chan string, 1)
	s, url := serve(t, func(o *edge.Options) { o.ResendAfter = time.Minute }, func(stream string) (edge.Owner, []frame.Reply) {
		submitted <- stream
		return ownerA, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/services/yard/book", strings.NewReader("{}"))
	g.Expect(err).NotTo(HaveOccurred())
	r.Header.Set("X-Customer", "acme")
	callErr := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(r) //nolint:bodyclose // The call always fails.
		callErr <- err
	}()
	stream := <-submitted
	cancel()
	g.Expect(<-callErr).To(MatchError(context.Canceled))
	g.Expect(<-s.detached).To(Equal(stream))
}

func TestFetchByKey(t *testing.T) {
	g := NewWithT(t)
	s, url := serve(t, nil, ownerReplies(ownerA, done("hello")))
	_, body := send(t, http.MethodGet, url+"/v1/requests/k7", "")
	g.Expect(body).To(ContainSubstring(`"content":"hello"`))
	g.Expect(s.asks[0].Program).To(Equal("k7"), "without a program header the key is the program")
	_, body = send(t, http.MethodGet, url+"/v1/requests/k7?stream=true", "", "X-Program", "p")
	g.Expect(body).To(HaveSuffix("data: [DONE]\n\n"))
	g.Expect(s.asks[1].Program).To(Equal("p"))
}

func TestFetchUnknownKey(t *testing.T) {
	g := NewWithT(t)
	_, url := serve(t, nil, ownerReplies(ownerA, frame.Reply{Final: &answer.Answer{Outcome: answer.NotRun, Reason: "key", Detail: "no call with this key is known"}}))
	response, _ := send(t, http.MethodGet, url+"/v1/requests/k7", "")
	g.Expect(response.StatusCode).To(Equal(http.StatusNotFound))
	g.Expect(response.Header.Get("X-Outcome")).To(Equal("unknown"), "the call may be another program's")
}

func TestMetadataSetsTheProgram(t *testing.T) {
	g := NewWithT(t)
	s, url := serve(t, nil, ownerReplies(ownerA, done("hello")))
	response, _ := chat(t, url, `,"metadata":{"program":"p9"}`)
	g.Expect(s.submits[0].Call.Program).To(Equal("p9"))
	g.Expect(s.submits[0].Call.End).To(BeFalse())
	g.Expect(response.Header.Get("X-Program")).To(Equal("p9"))
}

func TestFinishedCallsAreObserved(t *testing.T) {
	g := NewWithT(t)
	samples := make(chan burn.Sample, 1)
	_, url := serve(t, func(o *edge.Options) { o.Observe = func(s burn.Sample) { samples <- s } }, ownerReplies(ownerA, piece(0, "he"), done("hello")))
	chat(t, url, streamFields, "Idempotency-Key", "k1")
	s := <-samples
	g.Expect(s.Customer + s.Service + s.Key).To(Equal("acmegatek1"))
	g.Expect(s.Outcome).To(Equal(answer.Done))
	g.Expect(s.Tokens).To(Equal(2))
	g.Expect(s.TimeToFirst).To(BeNumerically("<=", s.TotalLatency))
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
	s, _ := serve(t, nil, ownerReplies(ownerA, done("hello")))
	w := &slowWriter{httptest.NewRecorder(), make(chan struct{}), make(chan struct{})}
	r := httptest.NewRequest(http.MethodGet, "/v1/requests/k1", nil)
	r.Header.Set("X-Customer", "acme")
	finished := make(chan struct{})
	go func() {
		s.edge.ServeHTTP(w, r)
		close(finished)
	}()
	<-w.writing
	g.Expect(s.edge.ActiveRequests()).To(Equal(1), "a graceful shutdown must wait for the write")
	close(w.release)
	<-finished
	g.Expect(s.edge.ActiveRequests()).To(BeZero())
}

func TestCallerThatStopsReadingIsDisconnected(t *testing.T) {
	g := NewWithT(t)
	var s *scriptedBackend
	stop := make(chan struct{})
	s, url := serve(t, func(o *edge.Options) { o.WriteTimeout, o.DefaultTimeout = 50*time.Millisecond, time.Hour }, func(stream string) (edge.Owner, []frame.Reply) {
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
	<-s.detached
	close(stop)
}

func TestDefaultTimeoutUsesServiceTimeout(t *testing.T) {
	g := NewWithT(t)
	c := config.New()
	c.Revision = 1
	c.Services["gate"] = &config.Service{Timeout: 5 * time.Second}
	s, url := serve(t, func(o *edge.Options) {
		o.DefaultTimeout, o.Config = time.Millisecond, func() *config.Config { return c }
	}, ownerReplies(ownerA), ownerReplies(ownerA), ownerReplies(ownerA), ownerReplies(ownerA), ownerReplies(ownerA, done("hello")))
	response, _ := chat(t, url, "")
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	g.Expect(s.submits).To(HaveLen(5))
}

// discardWriter discards the response and signals each write.
type discardWriter struct {
	header http.Header
	wrote  chan struct{}
}

func (w discardWriter) Header() http.Header { return w.header }

func (w discardWriter) Write(data []byte) (int, error) {
	w.wrote <- struct{}{}
	return len(data), nil
}

func (discardWriter) WriteHeader(int)                   {}
func (discardWriter) FlushError() error                 { return nil }
func (discardWriter) SetWriteDeadline(time.Time) error  { return nil }
func (discardWriter) SetReadDeadline(_ time.Time) error { return nil }

// BenchmarkPiece measures the edge's work for one piece of a streamed answer.
func BenchmarkPiece(b *testing.B) {
	b.ReportAllocs()
	s := &scriptedBackend{detached: make(chan string, 1)}
	s.edge = edge.New(edge.Options{
		ResendAfter: time.Hour, MaxBody: 1 << 10, DefaultTimeout: time.Hour, KeepaliveInterval: time.Hour, WriteTimeout: time.Hour,
	}, s, zerolog.Nop())
	const text = " token"
	w := discardWriter{http.Header{}, make(chan struct{}, 4)}
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
