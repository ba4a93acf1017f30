package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cowslipstage/cowslipstage/standin/engine"
	"github.com/cowslipstage/cowslipstage/standin/fault"
	"github.com/cowslipstage/cowslipstage/standin/model"
	"github.com/cowslipstage/cowslipstage/standin/weight"
	"github.com/cowslipstage/cowslipstage/state/call"
)

func TestEngine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine")
}

// chatRequest is the body of one call to the engine.
type chatRequest struct {
	Model    string         `json:"model"`
	Messages []call.Message `json:"messages"`
	Priority int            `json:"priority"`
	Partial  string         `json:"partial"`
	Program  string         `json:"program"`
	Agent    string         `json:"agent"`
	Key      string         `json:"key"`
	epoch    string
}

// chatResult is the engine's answer; complete means that it had an end mark.
type chatResult struct {
	status   int
	text     string
	prompt   int
	cached   int
	complete bool
}

func newRequest(program, text string, tokens int) chatRequest {
	return chatRequest{Program: program, Key: program, Messages: []call.Message{
		{Role: "system", Content: strings.Repeat("shared. ", 64)},
		{Role: "user", Content: text + " " + model.LengthMarker(tokens)},
	}}
}

// post sends a body as JSON to url with an epoch.
func post(ctx context.Context, url, epoch string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	q.Header.Set("X-Epoch", epoch)
	return http.DefaultClient.Do(q)
}

func (a chatRequest) send(ctx context.Context, url string) chatResult {
	r, err := post(ctx, url+"/v1/chat/completions", a.epoch, a)
	if err != nil {
		return chatResult{}
	}
	defer func() { _ = r.Body.Close() }()
	data, _ := io.ReadAll(r.Body)
	t := chatResult{status: r.StatusCode}
	for _, line := range strings.Split(string(data), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if data == "[DONE]" {
			t.complete = true
		}
		var c struct {
			Choices []struct {
				Delta call.Message `json:"delta"`
			} `json:"choices"`
			Usage struct {
				Prompt int `json:"prompt_tokens"`
				Cached int `json:"cached_tokens"`
			} `json:"usage"`
		}
		if !ok || json.Unmarshal([]byte(data), &c) != nil {
			continue
		}
		if len(c.Choices) > 0 {
			t.text += c.Choices[0].Delta.Content
		}
		t.prompt, t.cached = c.Usage.Prompt, c.Usage.Cached
	}
	return t
}

func startEngine(o engine.Options) (*engine.Server, string) {
	e := engine.New(o)
	s := httptest.NewServer(e)
	DeferCleanup(s.Close)
	return e, s.URL
}

func postOrder(url string, body any) int {
	r, err := post(context.Background(), url+"/orders", "", body)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode
}

type releaseOrder struct {
	Kind    string `json:"kind"`
	Program string `json:"program"`
	Epoch   uint64 `json:"epoch"`
}

var fastOptions = engine.Options{Decode: time.Millisecond}

var _ = Describe("an engine's answers", func() {
	It("depend only on the conversation", func(ctx SpecContext) {
		_, url := startEngine(fastOptions)
		a := newRequest("p", "hello", 9)
		t := a.send(ctx, url)
		Expect(t.complete).To(BeTrue())
		Expect(t.text).To(Equal(model.Answer(a.Messages, 9)))
	})

	It("continue a partial text", func(ctx SpecContext) {
		_, url := startEngine(fastOptions)
		a := newRequest("p", "hello", 9)
		full := model.Answer(a.Messages, 9)
		a.Partial = full[:len(model.Answer(a.Messages, 4))]
		Expect(a.Partial + a.send(ctx, url).text).To(Equal(full))
	})

	It("are computed in batches", func(ctx SpecContext) {
		e, url := startEngine(engine.Options{Decode: 2 * time.Millisecond, Slots: 8})
		var wait sync.WaitGroup
		for i := range 8 {
			wait.Go(func() { newRequest(fmt.Sprint(i), "hello", 100).send(ctx, url) })
		}
		wait.Wait()
		for _, l := range e.Ledger() {
			Expect(l.OutputTokens).To(Equal(100))
		}
		u := e.Usage(time.Now())
		// One after the other, the calls would take 800 steps of 2 ms.
		Expect(u.BusySeconds).To(BeNumerically("<", 0.8))
		Expect(u.StreamSeconds).To(BeNumerically(">", 2*u.BusySeconds))
	})
})

var _ = Describe("an engine's queue", func() {
	It("runs the highest priority first", func(ctx SpecContext) {
		e, url := startEngine(engine.Options{Decode: time.Millisecond, Slots: 1})
		holdCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		go newRequest("first", "x", 100000).send(holdCtx, url)
		Eventually(e.Ledger).Should(HaveLen(1))
		var wait sync.WaitGroup
		for i, p := range []int{-2, 0, -1} {
			a := newRequest(fmt.Sprint(p), "x", 1)
			a.Priority = p
			wait.Go(func() { a.send(ctx, url) })
			Eventually(waitingCalls(url)).Should(Equal(i + 1))
		}
		cancel()
		wait.Wait()
		var programs []string
		for _, l := range e.Ledger()[1:] {
			programs = append(programs, l.Program)
		}
		Expect(programs).To(Equal([]string{"0", "-1", "-2"}))
		Expect(e.Ledger()[0].Done).To(BeFalse())
	})

	It("refuses calls when it is full or the engine is leaving", func(ctx SpecContext) {
		e, url := startEngine(engine.Options{Decode: time.Millisecond, Slots: 1, MaxWaiting: 1})
		holdCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		go newRequest("a", "x", 100000).send(holdCtx, url)
		Eventually(e.Ledger).Should(HaveLen(1))
		go newRequest("b", "x", 100000).send(holdCtx, url)
		Eventually(waitingCalls(url)).Should(Equal(1))
		Expect(newRequest("c", "x", 1).send(ctx, url).status).To(Equal(http.StatusServiceUnavailable))
		e.SetLeaving(true)
		Expect(newRequest("d", "x", 1).send(ctx, url).status).To(Equal(http.StatusServiceUnavailable))
		Expect(e.Refusals()).To(HaveExactElements(HaveField("Reason", "full"), HaveField("Reason", "leaving")))
		Expect(e.Ledger()).To(HaveLen(1))
	})

	It("drops a call on a cancel order", func(ctx SpecContext) {
		e, url := startEngine(fastOptions)
		complete := make(chan bool, 1)
		go func() { complete <- newRequest("a", "x", 100000).send(ctx, url).complete }()
		Eventually(e.Ledger).Should(HaveLen(1))
		Expect(postOrder(url, struct {
			Kind    string `json:"kind"`
			Program string `json:"program"`
			Key     string `json:"key"`
		}{"cancel", "a", "a"})).To(Equal(http.StatusOK))
		Eventually(complete).Should(Receive(BeFalse()))
		Expect(e.Ledger()[0].Done).To(BeFalse())
	})
})

// waitingCalls returns a function that reads how many calls wait at the engine.
func waitingCalls(url string) func() int {
	return func() int {
		r, err := http.Get(url + "/load")
		if err != nil {
			return -1
		}
		defer func() { _ = r.Body.Close() }()
		var l struct {
			Waiting int `json:"waiting"`
		}
		_ = json.NewDecoder(r.Body).Decode(&l)
		return l.Waiting
	}
}

var _ = Describe("an engine's cache", func() {
	longText := strings.Repeat("word ", 200)

	It("reuses a program's own prefix and a shared one", func(ctx SpecContext) {
		_, url := startEngine(fastOptions)
		a := newRequest("p", longText, 40)
		t := a.send(ctx, url)
		Expect(t.cached).To(BeZero())
		a.Messages = append(a.Messages, call.Message{Role: "assistant", Content: t.text}, call.Message{Role: "user", Content: "more " + model.LengthMarker(4)})
		second := a.send(ctx, url)
		Expect(second.cached).To(BeNumerically(">", t.prompt))
		Expect(second.cached).To(BeNumerically("<=", second.prompt))
		other := newRequest("q", "something else", 4).send(ctx, url)
		Expect(other.cached).To(BeNumerically("~", 128, 32))
	})

	It("evicts the least recently used blocks when it is full", func(ctx SpecContext) {
		e, url := startEngine(engine.Options{Decode: time.Millisecond, CacheTokens: 1200})
		for _, p := range []string{"a", "b", "c", "d", "e"} {
			newRequest(p, p+longText, 4).send(ctx, url)
		}
		held := e.HeldTokens()
		Expect(held["e"]).To(BeNumerically(">", held["a"]))
		Expect(newRequest("e", "e"+longText, 4).send(ctx, url).cached).To(BeNumerically(">", 200))
		Expect(newRequest("a", "a"+longText, 4).send(ctx, url).cached).To(BeNumerically("<", 200))
	})

	It("is freed by a release order, except for shared blocks", func(ctx SpecContext) {
		e, url := startEngine(fastOptions)
		newRequest("a", longText, 4).send(ctx, url)
		newRequest("b", longText, 4).send(ctx, url)
		Expect(e.HeldTokens()).To(HaveLen(2))
		Expect(postOrder(url, releaseOrder{Kind: "release", Program: "a"})).To(Equal(http.StatusOK))
		Expect(e.HeldTokens()).To(And(HaveLen(1), HaveKey("b")))
		Expect(newRequest("b", longText, 4).send(ctx, url).cached).To(BeNumerically(">", 200))
		Expect(postOrder(url, releaseOrder{Kind: "release", Program: "b"})).To(Equal(http.StatusOK))
		Expect(e.HeldTokens()).To(BeEmpty())
		// The blocks of the shared system prompt stay cached.
		Expect(newRequest("c", longText, 4).send(ctx, url).cached).To(BeNumerically("~", 128, 32))
	})

	It("counts blocks that only ended programs hold as wasted, except shared ones", func(ctx SpecContext) {
		e, url := startEngine(fastOptions)
		now := time.Now()
		newRequest("a", longText, 4).send(ctx, url)
		newRequest("b", longText, 4).send(ctx, url)
		e.EndPrograms(now, "a")
		Expect(e.Sample(now).WastedTokens).To(BeZero())
		e.EndPrograms(now, "b")
		s := e.Sample(now)
		Expect(s.WastedTokens).To(BeNumerically("~", 250, 64))
		Expect(s.LiveTokens).To(BeNumerically("~", 128, 32))
		before := e.Usage(time.Now())
		later := e.Usage(time.Now().Add(10 * time.Second))
		Expect(later.WastedTokenSeconds - before.WastedTokenSeconds).To(BeNumerically("~", 10*float64(s.WastedTokens), float64(s.WastedTokens)))
	})

	It("can be exported to another engine", func(ctx SpecContext) {
		_, from := startEngine(fastOptions)
		to, url := startEngine(fastOptions)
		a := newRequest("a", longText, 4)
		a.send(ctx, from)
		r, err := post(ctx, from+"/orders", "", releaseOrder{Kind: "export", Program: "a"})
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = r.Body.Close() }()
		var prefixes struct {
			Kind    string            `json:"kind"`
			Program string            `json:"program"`
			Talks   []json.RawMessage `json:"talks"`
		}
		Expect(json.NewDecoder(r.Body).Decode(&prefixes)).To(Succeed())
		Expect(prefixes.Talks).To(HaveLen(1))
		prefixes.Kind, prefixes.Program = "import", "a"
		Expect(postOrder(url, prefixes)).To(Equal(http.StatusOK))
		Expect(to.HeldTokens()).To(HaveKey("a"))
		Expect(a.send(ctx, url).cached).To(BeNumerically(">", 300))
	})
})

var _ = Describe("an engine's fencing", func() {
	DescribeTable("of an old epoch", func(fencing bool, status int) {
		e, url := startEngine(engine.Options{Decode: time.Millisecond, Fencing: fencing})
		a := newRequest("p", "x", 2)
		a.epoch = "7"
		Expect(a.send(context.Background(), url).status).To(Equal(http.StatusOK))
		a.epoch = "6"
		Expect(a.send(context.Background(), url).status).To(Equal(status))
		Expect(postOrder(url, releaseOrder{Kind: "release", Program: "p", Epoch: 6})).To(Equal(status))
		if fencing {
			Expect(e.Ledger()).To(HaveLen(1))
		}
	},
		Entry("refuses", true, http.StatusPreconditionFailed),
		Entry("ignores", false, http.StatusOK),
	)
})

var _ = Describe("an engine's reports", func() {
	It("are delayed by the report lag", func(ctx SpecContext) {
		e, url := startEngine(engine.Options{Decode: time.Millisecond, ReportLag: time.Hour})
		go newRequest("a", "x", 100000).send(ctx, url)
		Eventually(e.Ledger).Should(HaveLen(1))
		Expect(waitingCalls(url)()).To(BeZero())
		r, err := http.Get(url + "/load")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = r.Body.Close() }()
		var l struct {
			Running int       `json:"running"`
			Taken   time.Time `json:"taken"`
		}
		Expect(json.NewDecoder(r.Body).Decode(&l)).To(Succeed())
		Expect(l.Running).To(BeZero())
		Expect(time.Since(l.Taken)).To(BeNumerically(">=", time.Hour))
	})

	It("lose events at the configured rate", func(ctx SpecContext) {
		_, url := startEngine(engine.Options{Decode: time.Millisecond, EventLoss: 0.5, Seed: 1})
		for i := range 30 {
			newRequest(fmt.Sprint(i), strings.Repeat("word ", 60), 2).send(ctx, url)
		}
		r, err := http.Get(url + "/events?since=0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = r.Body.Close() }()
		var reported struct {
			Serial uint64         `json:"serial"`
			Events []engine.Event `json:"events"`
		}
		Expect(json.NewDecoder(r.Body).Decode(&reported)).To(Succeed())
		Expect(reported.Serial).To(BeNumerically(">=", 30))
		Expect(len(reported.Events)).To(BeNumerically("~", int(reported.Serial)/2, int(reported.Serial)/4))
	})
})

var _ = Describe("an engine's models", func() {
	It("must be loaded from the shared store if the engine requires it", func(ctx SpecContext) {
		store := weight.New(weight.Options{Rate: 100000, ModelSize: 640})
		e, url := startEngine(engine.Options{Decode: time.Millisecond, RequireLoaded: true})
		e.SetWeightStore(store)
		a := newRequest("p", "x", 2)
		a.Model = "m"
		Expect(a.send(ctx, url).status).To(Equal(http.StatusServiceUnavailable))
		load := struct {
			Kind  string `json:"kind"`
			Model string `json:"model"`
		}{"load", "m"}
		Expect(postOrder(url, load)).To(Equal(http.StatusOK))
		Expect(a.send(ctx, url).status).To(Equal(http.StatusOK))
		load.Kind = "unload"
		Expect(postOrder(url, load)).To(Equal(http.StatusOK))
		Expect(a.send(ctx, url).status).To(Equal(http.StatusServiceUnavailable))
	})
})

var _ = Describe("an injected fault", func() {
	DescribeTable("changes the answers", func(p fault.Plan, check func(chatResult)) {
		e, url := startEngine(fastOptions)
		r, err := post(context.Background(), url+"/fault", "", p)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Body.Close()).To(Succeed())
		check(newRequest("p", "x", 5).send(context.Background(), url))
		e.Fault().Set(fault.Plan{})
		Expect(newRequest("q", "x", 5).send(context.Background(), url).complete).To(BeTrue())
	},
		Entry("refuse", fault.Plan{Refuse: true}, func(t chatResult) { Expect(t.status).To(Equal(http.StatusServiceUnavailable)) }),
		Entry("garbage", fault.Plan{Garbage: true}, func(t chatResult) { Expect(t.complete).To(BeFalse()) }),
		Entry("cut", fault.Plan{CutAfter: 150}, func(t chatResult) { Expect(t.complete).To(BeFalse()) }),
		Entry("another path", fault.Plan{PathPrefix: "/load", Refuse: true}, func(t chatResult) { Expect(t.complete).To(BeTrue()) }),
	)

	It("applies to the given number of requests", func(ctx SpecContext) {
		e, url := startEngine(fastOptions)
		e.Fault().Set(fault.Plan{Refuse: true, MaxRequests: 1})
		Expect(newRequest("p", "x", 2).send(ctx, url).status).To(Equal(http.StatusServiceUnavailable))
		Expect(newRequest("p", "x", 2).send(ctx, url).status).To(Equal(http.StatusOK))
	})

	It("hangs without doing any work", func(ctx SpecContext) {
		e, url := startEngine(fastOptions)
		e.Fault().Set(fault.Plan{Hang: true})
		shortCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		Expect(newRequest("p", "x", 2).send(shortCtx, url)).To(Equal(chatResult{}))
		Expect(e.Ledger()).To(BeEmpty())
	})
})
