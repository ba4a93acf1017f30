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

// ask is one call to the engine.
type ask struct {
	Model    string         `json:"model"`
	Messages []call.Message `json:"messages"`
	Priority int            `json:"priority"`
	Partial  string         `json:"partial"`
	Program  string         `json:"program"`
	Agent    string         `json:"agent"`
	Key      string         `json:"key"`
	epoch    string
}

// told is what the engine answered.
type told struct {
	status int
	text   string
	prompt int
	cached int
	whole  bool
}

func say(program, text string, tokens int) ask {
	return ask{Program: program, Key: program, Messages: []call.Message{
		{Role: "system", Content: strings.Repeat("shared. ", 64)},
		{Role: "user", Content: text + " " + model.LengthMarker(tokens)},
	}}
}

// post sends a body to the engine at url and returns its answer's body.
func post(ctx context.Context, url, epoch string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	Expect(err).NotTo(HaveOccurred())
	q.Header.Set("X-Epoch", epoch)
	return http.DefaultClient.Do(q)
}

func (a ask) send(ctx context.Context, url string) told {
	r, err := post(ctx, url+"/v1/chat/completions", a.epoch, a)
	if err != nil {
		return told{}
	}
	defer func() { _ = r.Body.Close() }()
	data, _ := io.ReadAll(r.Body)
	t := told{status: r.StatusCode}
	for _, line := range strings.Split(string(data), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if data == "[DONE]" {
			t.whole = true
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

func start(o engine.Options) (*engine.Server, string) {
	e := engine.New(o)
	s := httptest.NewServer(e)
	DeferCleanup(s.Close)
	return e, s.URL
}

func order(url string, body any) int {
	r, err := post(context.Background(), url+"/orders", "", body)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode
}

type release struct {
	Kind    string `json:"kind"`
	Program string `json:"program"`
	Epoch   uint64 `json:"epoch"`
}

var quick = engine.Options{Decode: time.Millisecond}

var _ = Describe("an engine's answers", func() {
	It("are a function of the conversation", func(ctx SpecContext) {
		_, url := start(quick)
		a := say("p", "hello", 9)
		t := a.send(ctx, url)
		Expect(t.whole).To(BeTrue())
		Expect(t.text).To(Equal(model.Answer(a.Messages, 9)))
	})

	It("go on after a partial text", func(ctx SpecContext) {
		_, url := start(quick)
		a := say("p", "hello", 9)
		whole := model.Answer(a.Messages, 9)
		a.Partial = whole[:len(model.Answer(a.Messages, 4))]
		Expect(a.Partial + a.send(ctx, url).text).To(Equal(whole))
	})

	It("share the steps of a batch", func(ctx SpecContext) {
		e, url := start(engine.Options{Decode: 2 * time.Millisecond, Slots: 8})
		var wait sync.WaitGroup
		for i := range 8 {
			wait.Go(func() { say(fmt.Sprint(i), "hello", 100).send(ctx, url) })
		}
		wait.Wait()
		for _, l := range e.Ledger() {
			Expect(l.OutputTokens).To(Equal(100))
		}
		u := e.Usage(time.Now())
		// One after the other they would need 800 steps of 2 ms.
		Expect(u.BusySeconds).To(BeNumerically("<", 0.8))
		Expect(u.StreamSeconds).To(BeNumerically(">", 2*u.BusySeconds))
	})
})

var _ = Describe("an engine's queue", func() {
	It("runs the most urgent first", func(ctx SpecContext) {
		e, url := start(engine.Options{Decode: time.Millisecond, Slots: 1})
		hold, cancel := context.WithCancel(ctx)
		defer cancel()
		go say("first", "x", 100000).send(hold, url)
		Eventually(e.Ledger).Should(HaveLen(1))
		var wait sync.WaitGroup
		for i, p := range []int{-2, 0, -1} {
			a := say(fmt.Sprint(p), "x", 1)
			a.Priority = p
			wait.Go(func() { a.send(ctx, url) })
			Eventually(waiting(url)).Should(Equal(i + 1))
		}
		cancel()
		wait.Wait()
		var ran []string
		for _, l := range e.Ledger()[1:] {
			ran = append(ran, l.Program)
		}
		Expect(ran).To(Equal([]string{"0", "-1", "-2"}))
		Expect(e.Ledger()[0].Done).To(BeFalse())
	})

	It("is bounded, and closed when the engine leaves", func(ctx SpecContext) {
		e, url := start(engine.Options{Decode: time.Millisecond, Slots: 1, MaxWaiting: 1})
		hold, cancel := context.WithCancel(ctx)
		defer cancel()
		go say("a", "x", 100000).send(hold, url)
		Eventually(e.Ledger).Should(HaveLen(1))
		go say("b", "x", 100000).send(hold, url)
		Eventually(waiting(url)).Should(Equal(1))
		Expect(say("c", "x", 1).send(ctx, url).status).To(Equal(http.StatusServiceUnavailable))
		e.SetLeaving(true)
		Expect(say("d", "x", 1).send(ctx, url).status).To(Equal(http.StatusServiceUnavailable))
		Expect(e.Refusals()).To(HaveExactElements(HaveField("Reason", "full"), HaveField("Reason", "leaving")))
		Expect(e.Ledger()).To(HaveLen(1))
	})

	It("drops a call by order", func(ctx SpecContext) {
		e, url := start(quick)
		whole := make(chan bool, 1)
		go func() { whole <- say("a", "x", 100000).send(ctx, url).whole }()
		Eventually(e.Ledger).Should(HaveLen(1))
		Expect(order(url, struct {
			Kind    string `json:"kind"`
			Program string `json:"program"`
			Key     string `json:"key"`
		}{"cancel", "a", "a"})).To(Equal(http.StatusOK))
		Eventually(whole).Should(Receive(BeFalse()))
		Expect(e.Ledger()[0].Done).To(BeFalse())
	})
})

// waiting reads the calls that the engine reports as waiting.
func waiting(url string) func() int {
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
	long := strings.Repeat("word ", 200)

	It("finds a program's own prefix and a shared one", func(ctx SpecContext) {
		_, url := start(quick)
		a := say("p", long, 40)
		t := a.send(ctx, url)
		Expect(t.cached).To(BeZero())
		a.Messages = append(a.Messages, call.Message{Role: "assistant", Content: t.text}, call.Message{Role: "user", Content: "more " + model.LengthMarker(4)})
		again := a.send(ctx, url)
		Expect(again.cached).To(BeNumerically(">", t.prompt))
		Expect(again.cached).To(BeNumerically("<=", again.prompt))
		other := say("q", "something else", 4).send(ctx, url)
		Expect(other.cached).To(BeNumerically("~", 128, 32))
	})

	It("forgets the least recently used when its memory is full", func(ctx SpecContext) {
		e, url := start(engine.Options{Decode: time.Millisecond, CacheTokens: 1200})
		for _, p := range []string{"a", "b", "c", "d", "e"} {
			say(p, p+long, 4).send(ctx, url)
		}
		held := e.HeldTokens()
		Expect(held["e"]).To(BeNumerically(">", held["a"]))
		Expect(say("e", "e"+long, 4).send(ctx, url).cached).To(BeNumerically(">", 200))
		Expect(say("a", "a"+long, 4).send(ctx, url).cached).To(BeNumerically("<", 200))
	})

	It("is given back by order, but for what others share", func(ctx SpecContext) {
		e, url := start(quick)
		say("a", long, 4).send(ctx, url)
		say("b", long, 4).send(ctx, url)
		Expect(e.HeldTokens()).To(HaveLen(2))
		Expect(order(url, release{Kind: "release", Program: "a"})).To(Equal(http.StatusOK))
		Expect(e.HeldTokens()).To(And(HaveLen(1), HaveKey("b")))
		Expect(say("b", long, 4).send(ctx, url).cached).To(BeNumerically(">", 200))
		Expect(order(url, release{Kind: "release", Program: "b"})).To(Equal(http.StatusOK))
		Expect(e.HeldTokens()).To(BeEmpty())
		// The service's prompt stays.
		Expect(say("c", long, 4).send(ctx, url).cached).To(BeNumerically("~", 128, 32))
	})

	It("counts what ended programs hold as wasted, but for what is shared", func(ctx SpecContext) {
		e, url := start(quick)
		now := time.Now()
		say("a", long, 4).send(ctx, url)
		say("b", long, 4).send(ctx, url)
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

	It("is exported and imported", func(ctx SpecContext) {
		_, from := start(quick)
		to, url := start(quick)
		a := say("a", long, 4)
		a.send(ctx, from)
		r, err := post(ctx, from+"/orders", "", release{Kind: "export", Program: "a"})
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = r.Body.Close() }()
		var given struct {
			Kind    string            `json:"kind"`
			Program string            `json:"program"`
			Talks   []json.RawMessage `json:"talks"`
		}
		Expect(json.NewDecoder(r.Body).Decode(&given)).To(Succeed())
		Expect(given.Talks).To(HaveLen(1))
		given.Kind, given.Program = "import", "a"
		Expect(order(url, given)).To(Equal(http.StatusOK))
		Expect(to.HeldTokens()).To(HaveKey("a"))
		Expect(a.send(ctx, url).cached).To(BeNumerically(">", 300))
	})
})

var _ = Describe("an engine's fencing", func() {
	DescribeTable("of an old number", func(fencing bool, status int) {
		e, url := start(engine.Options{Decode: time.Millisecond, Fencing: fencing})
		a := say("p", "x", 2)
		a.epoch = "7"
		Expect(a.send(context.Background(), url).status).To(Equal(http.StatusOK))
		a.epoch = "6"
		Expect(a.send(context.Background(), url).status).To(Equal(status))
		Expect(order(url, release{Kind: "release", Program: "p", Epoch: 6})).To(Equal(status))
		if fencing {
			Expect(e.Ledger()).To(HaveLen(1))
		}
	},
		Entry("refuses", true, http.StatusPreconditionFailed),
		Entry("ignores", false, http.StatusOK),
	)
})

var _ = Describe("an engine's news", func() {
	It("is late", func(ctx SpecContext) {
		e, url := start(engine.Options{Decode: time.Millisecond, ReportLag: time.Hour})
		go say("a", "x", 100000).send(ctx, url)
		Eventually(e.Ledger).Should(HaveLen(1))
		Expect(waiting(url)()).To(BeZero())
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

	It("has gaps", func(ctx SpecContext) {
		_, url := start(engine.Options{Decode: time.Millisecond, EventLoss: 0.5, Seed: 1})
		for i := range 30 {
			say(fmt.Sprint(i), strings.Repeat("word ", 60), 2).send(ctx, url)
		}
		r, err := http.Get(url + "/events?since=0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = r.Body.Close() }()
		var news struct {
			Serial uint64         `json:"serial"`
			Events []engine.Event `json:"events"`
		}
		Expect(json.NewDecoder(r.Body).Decode(&news)).To(Succeed())
		Expect(news.Serial).To(BeNumerically(">=", 30))
		Expect(len(news.Events)).To(BeNumerically("~", int(news.Serial)/2, int(news.Serial)/4))
	})
})

var _ = Describe("an engine's models", func() {
	It("have to be loaded from the shared store when it is strict", func(ctx SpecContext) {
		store := weight.New(weight.Options{Rate: 100000, ModelSize: 640})
		e, url := start(engine.Options{Decode: time.Millisecond, RequireLoaded: true})
		e.SetWeightStore(store)
		a := say("p", "x", 2)
		a.Model = "m"
		Expect(a.send(ctx, url).status).To(Equal(http.StatusServiceUnavailable))
		load := struct {
			Kind  string `json:"kind"`
			Model string `json:"model"`
		}{"load", "m"}
		Expect(order(url, load)).To(Equal(http.StatusOK))
		Expect(a.send(ctx, url).status).To(Equal(http.StatusOK))
		load.Kind = "unload"
		Expect(order(url, load)).To(Equal(http.StatusOK))
		Expect(a.send(ctx, url).status).To(Equal(http.StatusServiceUnavailable))
	})
})

var _ = Describe("a fault on demand", func() {
	DescribeTable("spoils answers", func(p fault.Plan, check func(told)) {
		e, url := start(quick)
		r, err := post(context.Background(), url+"/fault", "", p)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Body.Close()).To(Succeed())
		check(say("p", "x", 5).send(context.Background(), url))
		e.Fault().Set(fault.Plan{})
		Expect(say("q", "x", 5).send(context.Background(), url).whole).To(BeTrue())
	},
		Entry("refuse", fault.Plan{Refuse: true}, func(t told) { Expect(t.status).To(Equal(http.StatusServiceUnavailable)) }),
		Entry("garbage", fault.Plan{Garbage: true}, func(t told) { Expect(t.whole).To(BeFalse()) }),
		Entry("cut", fault.Plan{CutAfter: 150}, func(t told) { Expect(t.whole).To(BeFalse()) }),
		Entry("another path", fault.Plan{PathPrefix: "/load", Refuse: true}, func(t told) { Expect(t.whole).To(BeTrue()) }),
	)

	It("concerns as many requests as it says", func(ctx SpecContext) {
		e, url := start(quick)
		e.Fault().Set(fault.Plan{Refuse: true, MaxRequests: 1})
		Expect(say("p", "x", 2).send(ctx, url).status).To(Equal(http.StatusServiceUnavailable))
		Expect(say("p", "x", 2).send(ctx, url).status).To(Equal(http.StatusOK))
	})

	It("hangs without doing any work", func(ctx SpecContext) {
		e, url := start(quick)
		e.Fault().Set(fault.Plan{Hang: true})
		patient, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		Expect(say("p", "x", 2).send(patient, url)).To(Equal(told{}))
		Expect(e.Ledger()).To(BeEmpty())
	})
})
