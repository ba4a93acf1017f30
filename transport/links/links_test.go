package links_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/transport/keys"
	"github.com/cowslipstage/cowslipstage/transport/links"
)

// eventTimeout bounds how long a test waits for an event.
const eventTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	// The proxy leaks goroutines when it is stopped under load.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/Shopify/toxiproxy/v2/toxics.(*ToxicStub).Run"),
		goleak.IgnoreAnyFunction("github.com/Shopify/toxiproxy/v2.(*ToxicLink).read"),
		goleak.IgnoreAnyFunction("github.com/Shopify/toxiproxy/v2.(*ToxicLink).write"))
}

// testNode is one node's links with their own listener.
type testNode struct {
	*links.Links
	addr   string
	meters *metrics.Set
	got    map[string]<-chan *message.Message
}

func newTestNode(t *testing.T, node string, adjust func(o *links.Options)) *testNode {
	t.Helper()
	k := keys.New(keys.Options{Secret: "s"}, zerolog.Nop())
	n := &testNode{meters: metrics.NewSet(), got: map[string]<-chan *message.Message{}}
	o := links.Options{
		Node: node, Keys: k, PingInterval: 20 * time.Millisecond, SilenceTimeout: eventTimeout, Metrics: n.meters,
	}
	if adjust != nil {
		adjust(&o)
	}
	n.Links = links.New(o, zerolog.Nop())
	mux := http.NewServeMux()
	mux.Handle("/link", n.Links)
	s := httptest.NewUnstartedServer(mux)
	if s.TLS = o.Keys.ServerTLS(); s.TLS != nil {
		s.StartTLS()
	} else {
		s.Start()
	}
	n.addr = s.Listener.Addr().String()
	t.Cleanup(func() {
		_ = n.Close()
		s.CloseClientConnections()
		s.Close()
	})
	return n
}

func (n *testNode) subscribe(t *testing.T, topic string) <-chan *message.Message {
	t.Helper()
	c, err := n.Subscribe(context.Background(), topic)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return c
}

func (n *testNode) send(to, topic, body string) error {
	data, err := frame.Encode(body)
	if err != nil {
		return err
	}
	m := message.NewMessage("", data)
	m.Metadata.Set(links.To, to)
	return n.Publish(topic, m)
}

func (n *testNode) count(name string) uint64 { return n.meters.GetOrCreateCounter(name).Get() }

// receive returns the next message's body, or "" after a timeout.
func receive(c <-chan *message.Message) string {
	select {
	case m := <-c:
		var s string
		_ = frame.Decode(m.Payload, &s)
		m.Ack()
		return s
	case <-time.After(eventTimeout):
		return ""
	}
}

func isError(reference error) func(error) bool {
	return func(err error) bool { return errors.Is(err, reference) }
}

func connected(n *testNode) func() []string { return n.Connected }

func newProxy(t *testing.T, upstream string) *toxiproxy.Proxy {
	t.Helper()
	s := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	p := toxiproxy.NewProxy(s, t.Name(), "127.0.0.1:0", upstream)
	NewWithT(t).Expect(p.Start()).To(Succeed())
	t.Cleanup(p.Stop)
	return p
}

func TestSilentLinkIsReplaced(t *testing.T) {
	g := NewWithT(t)
	shortSilence := func(o *links.Options) { o.SilenceTimeout = 300 * time.Millisecond }
	a, b := newTestNode(t, "a", shortSilence), newTestNode(t, "b", nil)
	got := b.subscribe(t, frame.TopicReply)
	p := newProxy(t, b.addr)
	a.Connect("b", p.Listen)
	g.Eventually(connected(a), eventTimeout).Should(ConsistOf("b"))
	g.Expect(a.send("b", frame.TopicReply, "before")).To(Succeed())
	g.Expect(receive(got)).To(Equal("before"))
	for _, stream := range []string{"upstream", "downstream"} {
		_, err := p.Toxics.AddToxicJson(strings.NewReader(
			`{"name":"` + stream + `","type":"timeout","stream":"` + stream + `","attributes":{"timeout":0}}`))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(func() uint64 { return a.count("links_silent_total") }, eventTimeout).
		Should(BeNumerically(">=", 1), "the silence is detected although the connection is not closed")
	for _, stream := range []string{"upstream", "downstream"} {
		g.Expect(p.Toxics.RemoveToxic(context.Background(), stream)).To(Succeed())
	}
	g.Eventually(connected(a), eventTimeout).Should(ConsistOf("b"))
	g.Eventually(func() error { return a.send("b", frame.TopicReply, "after") }, eventTimeout).Should(Succeed())
	g.Expect(receive(got)).To(Equal("after"))
}

func TestOrderIsKeptAcrossReconnects(t *testing.T) {
	g := NewWithT(t)
	shortSilence := func(o *links.Options) { o.SilenceTimeout = 300 * time.Millisecond }
	a, b := newTestNode(t, "a", shortSilence), newTestNode(t, "b", shortSilence)
	got := b.subscribe(t, frame.TopicReply)
	p := newProxy(t, b.addr)
	a.Connect("b", p.Listen)
	const messages, cuts = 3000, 3
	last := -1
	next := 0
	for next < messages {
		g.Eventually(connected(a), eventTimeout).Should(ConsistOf("b"))
		for end := next + messages/cuts; next < end; next++ {
			_ = a.send("b", frame.TopicReply, strconv.Itoa(next))
		}
		p.Stop()
		g.Expect(p.Start()).To(Succeed())
	}
	// Messages may be lost with their link, so the last number is sent until it
	// arrives.
	stop := make(chan struct{})
	var sender sync.WaitGroup
	sender.Go(func() {
		for {
			_ = a.send("b", frame.TopicReply, strconv.Itoa(messages))
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
			}
		}
	})
	for last < messages {
		n, err := strconv.Atoi(receive(got))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(n).To(BeNumerically(">", last))
		last = n
	}
	close(stop)
	sender.Wait()
}

func TestTopicsOfOneLaneKeepTheirOrder(t *testing.T) {
	g := NewWithT(t)
	a, b := newTestNode(t, "a", nil), newTestNode(t, "b", nil)
	topics := []string{frame.TopicSubmit, frame.TopicLeave, frame.TopicAsk, frame.TopicClose}
	bodies := make(chan string)
	for _, topic := range topics {
		c := b.subscribe(t, topic)
		go func() {
			for m := range c {
				var s string
				_ = frame.Decode(m.Payload, &s)
				bodies <- s
				m.Ack()
			}
		}()
	}
	a.Connect("b", b.addr)
	g.Eventually(connected(a), eventTimeout).Should(ConsistOf("b"))
	for i := range 400 {
		g.Expect(a.send("b", topics[i%len(topics)], strconv.Itoa(i))).To(Succeed())
	}
	for i := range 400 {
		g.Eventually(bodies, eventTimeout).Should(Receive(Equal(strconv.Itoa(i))))
	}
}

func TestSlowTopicDoesNotBlockOthers(t *testing.T) {
	g := NewWithT(t)
	a, b := newTestNode(t, "a", func(o *links.Options) { o.MaxQueuedFrames = 1 << 15 }), newTestNode(t, "b", nil)
	_ = b.subscribe(t, frame.TopicReply)
	gossip := b.subscribe(t, frame.TopicGossip)
	a.Connect("b", b.addr)
	g.Eventually(connected(a), eventTimeout).Should(ConsistOf("b"))
	for range 20000 {
		g.Expect(a.send("b", frame.TopicReply, "flood")).To(Succeed())
	}
	g.Expect(a.send("b", frame.TopicGossip, "news")).To(Succeed())
	g.Expect(receive(gossip)).To(Equal("news"))
	g.Eventually(func() uint64 { return b.count(`links_drops_total{reason="busy"}`) }, eventTimeout).
		Should(BeNumerically(">", 0))
}

func TestFullQueueIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	a := newTestNode(t, "a", func(o *links.Options) { o.MaxQueuedFrames = 4 })
	stop := make(chan struct{})
	nonReader := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{"cowslipstage.v1"}})
		if err != nil {
			return
		}
		<-stop
		_ = c.CloseNow()
	}))
	t.Cleanup(nonReader.Close)
	t.Cleanup(func() { close(stop) })
	a.Connect("b", nonReader.Listener.Addr().String())
	g.Eventually(connected(a), eventTimeout).Should(ConsistOf("b"))
	big := strings.Repeat("x", 1<<20)
	g.Eventually(func() error { return a.send("b", frame.TopicReply, big) }, eventTimeout).Should(Satisfy(isError(links.ErrNoLink)))
	g.Expect(a.count(`links_drops_total{reason="full"}`)).To(BeNumerically(">", 0))
	g.Expect(a.send("c", frame.TopicReply, "x")).To(Satisfy(isError(links.ErrNoLink)))
}

func TestTooLargeMessageIsRefused(t *testing.T) {
	g := NewWithT(t)
	a := newTestNode(t, "a", func(o *links.Options) { o.MaxFrameBytes = 1000 })
	g.Expect(a.send("b", frame.TopicReply, strings.Repeat("x", 1001))).To(Satisfy(isError(links.ErrTooLarge)))
}

func TestUnknownPeersAreRefused(t *testing.T) {
	wrong := keys.New(keys.Options{Secret: "wrong"}, zerolog.Nop())
	for name, adjust := range map[string]func(o *links.Options){
		"wrong secret": func(o *links.Options) { o.Keys = wrong },
		"version mismatch": func(o *links.Options) {
			o.OldestVersion, o.NewestVersion = frame.NewestVersion+1, frame.NewestVersion+2
		},
		"name of the host": func(o *links.Options) { o.Node = "b" },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a, b := newTestNode(t, "a", adjust), newTestNode(t, "b", nil)
			a.Connect("peer", b.addr)
			g.Eventually(func() uint64 { return a.count(`links_drops_total{reason="refused"}`) }, eventTimeout).
				Should(BeNumerically(">=", 1))
			g.Expect(a.Connected()).To(BeEmpty())
			g.Expect(b.count(`links_drops_total{reason="refused"}`)).To(BeNumerically(">=", 1))
		})
	}
}

func TestNewerNodeUsesTheCommonVersion(t *testing.T) {
	g := NewWithT(t)
	a, b := newTestNode(t, "a", func(o *links.Options) { o.NewestVersion = frame.NewestVersion + 1 }), newTestNode(t, "b", nil)
	got := a.subscribe(t, frame.TopicReply)
	a.Connect("b", b.addr)
	b.Connect("a", a.addr)
	g.Eventually(connected(a), eventTimeout).Should(ConsistOf("b"))
	g.Eventually(connected(b), eventTimeout).Should(ConsistOf("a"))
	g.Expect(b.send("a", frame.TopicReply, "old")).To(Succeed())
	g.Expect(receive(got)).To(Equal("old"))
	replies := b.subscribe(t, frame.TopicReply)
	g.Expect(a.send("b", frame.TopicReply, "new")).To(Succeed())
	g.Expect(receive(replies)).To(Equal("new"))
}

func TestSecretIsRotatedWithoutRestart(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	files := [2]string{filepath.Join(folder, "a"), filepath.Join(folder, "b")}
	writeSecrets := func(i int, text string) {
		g.Expect(os.WriteFile(files[i], []byte(text), 0o600)).To(Succeed())
	}
	writeSecrets(0, "old\n")
	writeSecrets(1, "old\n")
	var nodes [2]*testNode
	for i := range nodes {
		k := keys.New(keys.Options{SecretsFile: files[i]}, zerolog.Nop())
		g.Expect(k.Load()).To(Succeed())
		nodes[i] = newTestNode(t, "n"+strconv.Itoa(i), func(o *links.Options) { o.Keys = k })
	}
	reconnect := func() {
		nodes[0].Disconnect("n1")
		nodes[0].Connect("n1", nodes[1].addr)
	}
	reconnect()
	g.Eventually(connected(nodes[0]), eventTimeout).Should(ConsistOf("n1"))
	for _, step := range []struct {
		node int
		text string
	}{{0, "old\nnew\n"}, {1, "old\nnew\n"}, {0, "new\nold\n"}, {1, "new\nold\n"}, {0, "new\n"}, {1, "new\n"}} {
		writeSecrets(step.node, step.text)
		reconnect()
		g.Eventually(connected(nodes[0]), eventTimeout).Should(ConsistOf("n1"), step.text)
	}
	writeSecrets(0, "old\n")
	reconnect()
	g.Eventually(func() uint64 { return nodes[1].count(`links_drops_total{reason="refused"}`) }, eventTimeout).
		Should(BeNumerically(">=", 1), "the old secret is refused in the end")
}

// dialByHand opens a raw WebSocket to a node with valid handshake headers.
func dialByHand(t *testing.T, addr, node string) *websocket.Conn {
	t.Helper()
	header := http.Header{"Authorization": {"Bearer s"}, "X-Node": {node}}
	c, _, err := websocket.Dial(context.Background(), "ws://"+addr+"/link", &websocket.DialOptions{
		HTTPHeader: header, Subprotocols: []string{"cowslipstage.v1"},
	})
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.CloseNow() })
	return c
}

func TestHostileFramesEndOnlyTheirLink(t *testing.T) {
	g := NewWithT(t)
	a, b := newTestNode(t, "a", nil), newTestNode(t, "b", nil)
	got := b.subscribe(t, frame.TopicReply)
	a.Connect("b", b.addr)
	g.Eventually(connected(a), eventTimeout).Should(ConsistOf("b"))
	body, err := frame.Encode("forged")
	g.Expect(err).NotTo(HaveOccurred())
	template := frame.Frame{Topic: frame.TopicReply, From: "evil", Body: body}
	pack := func(adjust func(f *frame.Frame)) []byte {
		f := template
		adjust(&f)
		data, err := cbor.Marshal(f)
		g.Expect(err).NotTo(HaveOccurred())
		return data
	}
	valid := pack(func(*frame.Frame) {})
	for name, data := range map[string][]byte{
		"garbage":   {0xff, 0x00, 0x13},
		"truncated": valid[:len(valid)-3],
		"spoofed":   pack(func(f *frame.Frame) { f.From = "a" }),
		"no topic":  pack(func(f *frame.Frame) { f.Topic = "" }),
		"nested":    []byte(strings.Repeat("\x81", 1000)),
	} {
		c := dialByHand(t, b.addr, "evil")
		g.Expect(c.Write(context.Background(), websocket.MessageBinary, data)).To(Succeed())
		_, _, err := c.Read(context.Background())
		g.Expect(err).To(HaveOccurred(), name)
	}
	g.Expect(a.send("b", frame.TopicReply, "fine")).To(Succeed())
	g.Expect(receive(got)).To(Equal("fine"), "no hostile frame was delivered")
}

func TestFlushWaitsForTheQueue(t *testing.T) {
	g := NewWithT(t)
	a, b := newTestNode(t, "a", nil), newTestNode(t, "b", nil)
	got := b.subscribe(t, frame.TopicGossip)
	a.Connect("b", b.addr)
	g.Eventually(connected(a), eventTimeout).Should(ConsistOf("b"))
	g.Expect(a.send("b", frame.TopicGossip, "bye")).To(Succeed())
	a.Flush(context.Background())
	g.Expect(a.Close()).To(Succeed())
	g.Expect(receive(got)).To(Equal("bye"))
}

func TestConnectAfterCloseDoesNothing(t *testing.T) {
	g := NewWithT(t)
	a := newTestNode(t, "a", nil)
	g.Expect(a.Close()).To(Succeed())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	a.Connect("b", l.Addr().String())
	g.Expect(a.Connected()).To(BeEmpty())
}
