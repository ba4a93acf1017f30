package dialer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/standin/engine"
	"github.com/cowslipstage/cowslipstage/standin/fault"
	"github.com/cowslipstage/cowslipstage/standin/model"
	"github.com/cowslipstage/cowslipstage/state/call"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/transport/dialer"
)

func TestDialer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dialer")
}

// run performs a dispatch and returns its last event.
func run(o dialer.Options, a core.Dispatch) core.Event {
	var last core.Event
	d := dialer.New(o, func(e core.Event) { last = e })
	d.Prepare(context.Background(), a)()
	return last
}

func chat(addr string) core.Dispatch {
	return core.Dispatch{
		Attempt: 7, Target: &config.Endpoint{Addr: addr}, Service: &config.Service{Model: "m"},
		Call: &call.Call{
			Key: "k", Customer: "c", Program: "p", Kind: call.Chat,
			Messages: []call.Message{{Role: "user", Content: "hello " + model.LengthMarker(5)}},
		},
		MaxTokens: 64, Timeout: 10 * time.Second, Repeatable: true,
	}
}

func plain(addr string, repeatable bool, body string) core.Dispatch {
	return core.Dispatch{
		Attempt: 7, Target: &config.Endpoint{Addr: addr}, Service: &config.Service{},
		Call:    &call.Call{Key: "k", Customer: "c", Program: "p", Kind: call.Plain, Operation: "order", Body: []byte(body)},
		Timeout: 10 * time.Second, Repeatable: repeatable,
	}
}

// serve starts a loopback server with a handler and returns its address.
func serve(h http.Handler) string {
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return s.Listener.Addr().String()
}

func textHandler(body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
}

const (
	firstEvent = "data: {\"id\":\"k\",\"offset\":0,\"choices\":[{\"delta\":{\"content\":\"one\"}}]}\n\n"
	nextEvent  = "data: {\"id\":\"k\",\"offset\":3,\"choices\":[{\"delta\":{\"content\":\" two\"}}]}\n\n"
	usageEvent = "data: {\"id\":\"k\",\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\n"
	endEvent   = "data: [DONE]\n\n"
)

var _ = Describe("a reused connection that the endpoint closes", func() {
	// The listener answers a connection's first request, by its attempt's name. It reads the
	// second one, which counts as a run, and closes the connection without an answer.
	var addr string
	var runs atomic.Int32
	BeforeEach(func() {
		runs.Store(0)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		addr = l.Addr().String()
		go serveOneAnswerPerConn(l, &runs)
	})

	DescribeTable("never leads to two runs or a false NotRun",
		func(repeatable bool, body string) {
			var last core.Event
			d := dialer.New(dialer.Options{}, func(e core.Event) { last = e })
			for n := range 2 { // after the first, connections are kept
				d.Prepare(context.Background(), plain(addr, true, body))()
				Expect(last).To(BeAssignableToTypeOf(core.AttemptFinished{}))
				Expect(runs.Load()).To(BeEquivalentTo(n + 1))
			}
			d.Prepare(context.Background(), plain(addr, repeatable, body))()
			Expect(runs.Load()).To(BeEquivalentTo(3))
			if repeatable {
				Expect(last).To(Equal(core.AttemptFailed{Attempt: 7, Reason: "connection"}))
				return
			}
			// A non-repeatable call gets a new connection.
			Expect(last).To(BeAssignableToTypeOf(core.AttemptFinished{}))
		},
		Entry("repeatable", true, `{"a":1}`),
		Entry("repeatable without a body", true, ""),
		Entry("with an effect", false, `{"a":1}`),
		Entry("with an effect, without a body", false, ""),
	)
})

// serveOneAnswerPerConn closes each connection at its second request.
func serveOneAnswerPerConn(l net.Listener, runs *atomic.Int32) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			for n := 1; n <= 2; n++ {
				if readRequest(c) != nil {
					return
				}
				runs.Add(1)
				if n == 1 {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Attempt: 7\r\nContent-Length: 2\r\n\r\n{}")
				}
			}
		}()
	}
}

// readRequest reads a request with a chunked body, a 7-byte body or none.
func readRequest(c net.Conn) error {
	data, b := "", make([]byte, 4096)
	for {
		n, err := c.Read(b)
		if err != nil {
			return err
		}
		data += string(b[:n])
		head, body, ok := strings.Cut(data, "\r\n\r\n")
		switch {
		case !ok:
		case strings.Contains(head, "chunked") && !strings.HasSuffix(body, "0\r\n\r\n"):
		case strings.Contains(head, "Content-Length: 7") && len(body) < 7:
		default:
			return nil
		}
	}
}

var _ = Describe("a call that was not written", func() {
	It("is reported as not run when the port is closed", func() {
		Expect(run(dialer.Options{}, plain("127.0.0.1:1", false, "{}"))).
			To(Equal(core.AttemptFailed{Attempt: 7, NotRun: true, Reason: "connect"}))
	})

	It("is not written after its send deadline", func() {
		var requests atomic.Int32
		addr := serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
		a := plain(addr, false, "{}")
		a.SendDeadline = time.Now().Add(-time.Millisecond)
		Expect(run(dialer.Options{}, a)).To(Equal(core.AttemptFailed{Attempt: 7, NotRun: true, Reason: "late"}))
		Expect(requests.Load()).To(BeZero())
	})
})

var _ = Describe("an endpoint's refusal", func() {
	DescribeTable("is reported as not run", func(status int, reason string) {
		addr := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "3")
			w.WriteHeader(status)
		}))
		want := core.AttemptFailed{Attempt: 7, NotRun: true, Reason: reason, RetryAfter: 3 * time.Second}
		Expect(run(dialer.Options{}, plain(addr, false, "{}"))).To(Equal(want))
		Expect(run(dialer.Options{}, chat(addr))).To(Equal(want))
	},
		Entry("shutting down", http.StatusServiceUnavailable, "refused"),
		Entry("busy", http.StatusTooManyRequests, "refused"),
		Entry("an outdated fencing epoch", http.StatusPreconditionFailed, "fenced"),
	)
})

var _ = Describe("an abort", func() {
	It("cancels a dispatch that has not started", func() {
		calls := 0
		addr := serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls++ }))
		var end core.Event
		d := dialer.New(dialer.Options{}, func(e core.Event) { end = e })
		run := d.Prepare(context.Background(), chat(addr))
		d.Abort(7)
		run()
		Expect(end).To(HaveField("NotRun", true))
		Expect(calls).To(BeZero())
	})
})

var _ = Describe("a plain answer", func() {
	It("with status 409 is an answer, not a refusal", func() {
		addr := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte(`{"error":"the yard is taken"}`))
		}))
		end := run(dialer.Options{}, plain(addr, false, "{}"))
		Expect(end).To(BeAssignableToTypeOf(core.AttemptFinished{}))
		Expect(end.(core.AttemptFinished).Status).To(Equal(http.StatusConflict))
	})

	DescribeTable("that may be truncated is a failure", func(head, body, reason string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = readRequest(c)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+body)
			_ = c.Close()
		}()
		Expect(run(dialer.Options{MaxAnswerBytes: 64}, plain(l.Addr().String(), false, ""))).
			To(Equal(core.AttemptFailed{Attempt: 7, Reason: reason}))
	},
		Entry("truncated before its declared length", "Content-Length: 9\r\n", `{"a":`, "cut"),
		Entry("truncated between chunks", "Transfer-Encoding: chunked\r\n", "5\r\n{\"a\":\r\n", "cut"),
		Entry("without a length", "Connection: close\r\n", `{"a":1}`, "cut"),
		Entry("that is not JSON", "Content-Length: 5\r\n", "oops!", "garbage"),
		Entry("that is too long", "Content-Length: 100\r\n", strings.Repeat("1", 100), "cut"),
	)

	It("with a redirect is not followed", func() {
		other := serve(textHandler("{}"))
		addr := serve(http.RedirectHandler("http://"+other+"/v1/order", http.StatusTemporaryRedirect))
		last := run(dialer.Options{}, plain(addr, false, "{}"))
		Expect(last).To(HaveField("Status", http.StatusTemporaryRedirect))
	})
})

var _ = Describe("a streamed answer", func() {
	DescribeTable("is complete only with its usage and end mark", func(body, reason string) {
		last := run(dialer.Options{MaxAnswerBytes: 64}, chat(serve(textHandler(body))))
		if reason != "" {
			Expect(last).To(Equal(core.AttemptFailed{Attempt: 7, Reason: reason}))
			return
		}
		Expect(last).To(HaveField("Text", "one two"))
		Expect(last).To(HaveField("Usage.Output", 2))
	},
		Entry("complete", firstEvent+nextEvent+usageEvent+endEvent, ""),
		Entry("with parts sent twice", firstEvent+firstEvent+nextEvent+firstEvent+nextEvent+usageEvent+endEvent, ""),
		Entry("without its end mark", firstEvent+nextEvent+usageEvent, "cut"),
		Entry("without its usage", firstEvent+nextEvent+endEvent, "garbage"),
		Entry("with a part missing", nextEvent+usageEvent+endEvent, "cut"),
		Entry("with a part of another call", firstEvent+strings.ReplaceAll(nextEvent, "\"k\"", "\"x\"")+usageEvent+endEvent, "mixed"),
		Entry("with bytes that are not an event", firstEvent+"\x00\xff\n\n", "garbage"),
		Entry("with an event that is not JSON", firstEvent+"data: {{\n\n", "garbage"),
		Entry("that is too long", firstEvent+strings.ReplaceAll(nextEvent, "two", strings.Repeat("x", 64)), "size"),
		Entry("that is empty", usageEvent+endEvent, "garbage"),
	)

	It("fails when it stalls after the first part", func() {
		addr := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, firstEvent)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}))
		Expect(run(dialer.Options{IdleTimeout: 50 * time.Millisecond}, chat(addr))).
			To(Equal(core.AttemptFailed{Attempt: 7, Reason: "silent"}))
	})

	It("ends when its dispatch is aborted", func() {
		ended := make(chan core.Event, 1)
		var d *dialer.Dialer
		disconnected := make(chan struct{})
		addr := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, firstEvent)
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			close(disconnected)
		}))
		d = dialer.New(dialer.Options{}, func(e core.Event) {
			switch e.(type) {
			case core.Piece:
				d.Abort(7)
			case core.AttemptFailed:
				ended <- e
			}
		})
		d.Prepare(context.Background(), chat(addr))()
		Eventually(ended).Should(Receive(Equal(core.AttemptFailed{Attempt: 7, Reason: "cut"})))
		Eventually(disconnected).Should(BeClosed())
	})

	DescribeTable("from a faulty engine", func(p fault.Plan, reason string) {
		e := engine.New(engine.Options{Decode: time.Millisecond})
		e.Fault().Set(p)
		last := run(dialer.Options{}, chat(serve(e)))
		if reason == "" {
			Expect(last).To(HaveField("Text", model.Answer(chat("").Call.Messages, 5)))
			return
		}
		Expect(last).To(HaveField("Reason", reason))
		Expect(last).To(HaveField("NotRun", false))
	},
		Entry("that sends each event twice", fault.Plan{Duplicate: true}, ""),
		Entry("that sends with a delay", fault.Plan{ChunkDelay: 2}, ""),
		Entry("that sends garbage", fault.Plan{Garbage: true}, "garbage"),
		Entry("that closes early", fault.Plan{CutAfter: 200}, "cut"),
	)
})

var _ = Describe("an engine's event feed", func() {
	It("reports cache events and the list of cached programs", func(ctx SpecContext) {
		e := engine.New(engine.Options{Decode: time.Millisecond})
		addr := serve(e)
		events := make(chan core.Event, 100)
		d := dialer.New(dialer.Options{}, func(e core.Event) { events <- e })
		a := chat(addr)
		a.Call.Messages[0].Content = strings.Repeat("word ", 100) + model.LengthMarker(3)
		d.Prepare(ctx, a)()
		followCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		go d.FollowEvents(followCtx, "e1", addr)
		Eventually(events).Should(Receive(And(
			BeAssignableToTypeOf(core.PrefixCached{}), HaveField("Program", "p"), HaveField("Tokens", BeNumerically(">", 90)),
		)))
		Expect(d.ListPrograms(ctx, "e1", addr)).To(Succeed())
		Eventually(events).Should(Receive(Equal(core.ProgramsListed{Endpoint: "e1", Programs: []string{"c/p"}})))
		d.Release(ctx, core.Release{Endpoint: "e1", Target: a.Target, Customer: "c", Program: "p"})
		Eventually(events).Should(Receive(Equal(core.Released{Endpoint: "e1", Customer: "c", Program: "p"})))
		Expect(e.HeldTokens()).To(BeEmpty())
	})

	It("is an error when an endpoint answers garbage", func(ctx SpecContext) {
		addr := serve(textHandler("\x00"))
		d := dialer.New(dialer.Options{}, func(core.Event) {})
		_, err := d.FetchLoad(ctx, addr)
		Expect(errors.Is(err, dialer.ErrEndpoint)).To(BeTrue())
		Expect(fmt.Sprint(err)).To(ContainSubstring("/load"))
	})
})

// repeatingEndpoint refuses the second request of each connection and runs the others. It writes
// a refusal once more in front of the next answer. If it names attempts, its answers repeat
// X-Attempt.
type repeatingEndpoint struct {
	naming bool
	// pause is the time between a refusal that is written again and the answer behind it.
	pause time.Duration
	conns atomic.Int32

	mu sync.Mutex
	// ran holds the attempts that have run.
	ran map[string]bool
}

func (e *repeatingEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	e.conns.Add(1)
	reader, refusal := bufio.NewReader(c), ""
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		attempt, name := r.Header.Get("X-Attempt"), ""
		if e.naming {
			name = "X-Attempt: " + attempt + "\r\n"
		}
		if n == 2 {
			refusal = "HTTP/1.1 503 Busy\r\n" + name + "Content-Length: 0\r\n\r\n"
			_, _ = io.WriteString(c, refusal)
			continue
		}
		e.run(attempt)
		answer := "HTTP/1.1 200 OK\r\n" + name + "Content-Length: 2\r\n\r\n{}"
		if e.pause > 0 && refusal != "" {
			_, _ = io.WriteString(c, refusal)
			time.Sleep(e.pause)
			refusal = ""
		}
		_, _ = io.WriteString(c, refusal+answer)
		refusal = ""
	}
}

func (e *repeatingEndpoint) run(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ran[attempt] = true
}

func (e *repeatingEndpoint) hasRun(attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[attempt]
}

// An endpoint writes an earlier refusal once more, where the next answer is expected. The call
// that it arrives at may have run, and is not reported as not run. What follows on that connection
// answers earlier calls, so none is sent on it any more.
var _ = Describe("a refusal that is written again", func() {
	DescribeTable("refuses no other attempt", func(naming bool, pause time.Duration, conns int) {
		const attempts = 12
		e := &repeatingEndpoint{naming: naming, pause: pause, ran: map[string]bool{}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go e.serve(c)
			}
		}()
		var last core.Event
		d := dialer.New(dialer.Options{}, func(e core.Event) { last = e })
		var refused []string
		for n := range uint64(attempts) {
			a := plain(l.Addr().String(), true, "{}")
			a.Attempt = n
			d.Prepare(context.Background(), a)()
			if f, ok := last.(core.AttemptFailed); ok && f.NotRun {
				Expect(f.Attempt).To(Equal(n))
				refused = append(refused, fmt.Sprint(n))
			}
		}
		for _, name := range refused {
			Consistently(e.hasRun).WithArguments(name).WithTimeout(2*pause+time.Millisecond).Should(BeFalse(), "attempt %s ran and is reported as not run", name)
		}
		Expect(e.conns.Load()).To(BeEquivalentTo(conns))
		if naming {
			// The first attempt has a connection of its own; each later one serves three.
			Expect(refused).To(Equal([]string{"2", "5", "8", "11"}))
		}
	},
		Entry("of an endpoint that names attempts", true, time.Duration(0), 5),
		Entry("of one that does so and is slow", true, 20*time.Millisecond, 5),
		Entry("of one that does not: nothing shows whose an answer is", false, time.Duration(0), 12),
	)
})

// An endpoint writes each answer once more, where the next one is expected. Nothing in an outcome or in the answer to
// an order shows whose it is.
var _ = Describe("an answer that is written again", func() {
	It("is the outcome of no other call", func() {
		addr := serveRepeated(func(r *http.Request) (int, string) {
			return http.StatusOK, strconv.Quote(path.Base(r.URL.Path))
		})
		var last core.Event
		d := dialer.New(dialer.Options{}, func(e core.Event) { last = e })
		for n, key := range []string{"a", "b", "c"} {
			q := core.Inquire{Inquiry: uint64(n), Target: &config.Endpoint{Addr: addr}, Call: &call.Call{Key: key, Customer: "c", Program: "p"}}
			d.Inquire(context.Background(), q)
			Expect(last).To(Equal(core.InquiryAnswered{Inquiry: uint64(n), Found: true, Status: http.StatusOK, Body: []byte(strconv.Quote(key))}))
		}
	})

	It("confirms no other order", func() {
		var orders atomic.Int32
		addr := serveRepeated(func(*http.Request) (int, string) {
			if orders.Add(1) == 1 {
				return http.StatusOK, "{}"
			}
			return http.StatusServiceUnavailable, "{}"
		})
		var released []string
		d := dialer.New(dialer.Options{}, func(e core.Event) { released = append(released, e.(core.Released).Program) })
		for _, program := range []string{"a", "b", "c"} {
			d.Release(context.Background(), core.Release{Endpoint: "e", Target: &config.Endpoint{Addr: addr}, Customer: "c", Program: program})
		}
		Expect(released).To(Equal([]string{"a"}))
	})
})

// serveRepeated starts an endpoint that writes each answer once more in front of the next one on the
// connection, and returns its address.
func serveRepeated(answer func(*http.Request) (status int, body string)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		reader, before := bufio.NewReader(c), ""
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			status, body := answer(r)
			next := fmt.Sprintf("HTTP/1.1 %d Answer\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
			_, _ = io.WriteString(c, before+next)
			before = next
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}
