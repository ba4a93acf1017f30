package proof

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/Shopify/toxiproxy/v2"
	"github.com/Shopify/toxiproxy/v2/toxics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// leg is one connection path behind its own proxy.
type leg struct{ proxy *toxiproxy.Proxy }

func (f *fleet) proxy(name, target string) *leg {
	p := toxiproxy.NewProxy(f.proxies, name, "127.0.0.1:0", target)
	Expect(p.Start()).To(Succeed())
	DeferCleanup(p.Stop)
	return &leg{p}
}

func (l *leg) addr() string { return l.proxy.Listen }

// cut refuses new connections and closes the open ones.
func (l *leg) cut() { l.proxy.Stop() }

func (l *leg) heal() { Expect(l.proxy.Start()).To(Succeed()) }

// muteToxic drops what the connections that were open when it was added
// carry, without an end; connections made after spare was set work.
type muteToxic struct{ spare atomic.Bool }

// NewState is called for each connection, before its data flows.
func (m *muteToxic) NewState() any { return !m.spare.Load() }

// Pipe passes data on, or nothing.
func (m *muteToxic) Pipe(s *toxics.ToxicStub) {
	if s.State != any(true) {
		new(toxics.NoopToxic).Pipe(s)
		return
	}
	for {
		select {
		case <-s.Interrupt:
			return
		case c := <-s.Input:
			if c == nil {
				s.Close()
				return
			}
		}
	}
}

func init() { toxics.Register("mute", new(muteToxic)) }

// silence lets the open connections carry nothing more in either direction,
// without an end, while new ones work.
func (l *leg) silence() {
	l.reset()
	for _, stream := range []string{"upstream", "downstream"} {
		m := l.add("mute", stream, "").Toxic.(*muteToxic)
		m.spare.Store(true)
	}
}

// slow delays every part that comes back, in milliseconds.
func (l *leg) slow(ms int) { l.add("latency", "downstream", fmt.Sprintf(`"latency": %d`, ms)) }

func (l *leg) add(kind, stream, attributes string) *toxics.ToxicWrapper {
	body := fmt.Sprintf(`{"name": %q, "type": %q, "stream": %q, "toxicity": 1, "attributes": {%s}}`,
		kind+"-"+stream, kind, stream, attributes)
	w, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	return w
}

// reset takes all toxics away.
func (l *leg) reset() { l.proxy.Toxics.ResetToxics(context.Background()) }
