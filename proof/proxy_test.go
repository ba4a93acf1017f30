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

// proxy is one network path through a proxy of its own.
type proxy struct{ proxy *toxiproxy.Proxy }

func (f *fleet) addProxy(name, target string) *proxy {
	p := toxiproxy.NewProxy(f.proxies, name, "127.0.0.1:0", target)
	Expect(p.Start()).To(Succeed())
	DeferCleanup(p.Stop)
	return &proxy{p}
}

func (p *proxy) addr() string { return p.proxy.Listen }

// cut closes the open connections and refuses new ones.
func (p *proxy) cut() { p.proxy.Stop() }

func (p *proxy) heal() { Expect(p.proxy.Start()).To(Succeed()) }

// muteToxic drops the data of the connections that were open when it was added, without
// closing them. Connections made after passNew was set work.
type muteToxic struct{ passNew atomic.Bool }

// NewState is called for each connection before data flows, and returns whether to mute
// it.
func (m *muteToxic) NewState() any { return !m.passNew.Load() }

// Pipe passes data on, or drops it if the connection is muted.
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

// muteOpenConnections drops all further data of the open connections in both directions,
// without closing them. New connections work.
func (p *proxy) muteOpenConnections() {
	p.removeToxics()
	for _, stream := range []string{"upstream", "downstream"} {
		m := p.addToxic("mute", stream, "").Toxic.(*muteToxic)
		m.passNew.Store(true)
	}
}

// delayAnswers delays all data from the target by ms milliseconds.
func (p *proxy) delayAnswers(ms int) {
	p.addToxic("latency", "downstream", fmt.Sprintf(`"latency": %d`, ms))
}

func (p *proxy) addToxic(kind, stream, attributes string) *toxics.ToxicWrapper {
	body := fmt.Sprintf(`{"name": %q, "type": %q, "stream": %q, "toxicity": 1, "attributes": {%s}}`,
		kind+"-"+stream, kind, stream, attributes)
	w, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	return w
}

func (p *proxy) removeToxics() { p.proxy.Toxics.ResetToxics(context.Background()) }
