package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

const (
	// leadTime is how long the processes run before traffic.
	leadTime = 8 * time.Second
	// readyTimeout bounds the start of the deployment.
	readyTimeout = 20 * time.Second
	// tokensPerEvent is the engines' number of tokens in an event.
	tokensPerEvent = 10
	routeHost      = "ficu95.example"
	// talkPath is the route whose turns the system keeps, freePath one whose turns it does not.
	talkPath   = "/lohu930/"
	freePath   = "/pufi791/"
	orderPath  = "/pule252/"
	lookupPath = "/nari118/"
)

// deployment is a small deployment with stand-ins for the platform's store and the runners.
type deployment struct {
	folder, storeAddr string
	zones             []string
	seeds             []string
	net               [2]int
	store             *fake.Keyval
	gates, vaults     []*host
	endpoints         []*endpoint
	record            *record
	began             time.Time
}

// options describes a deployment.
type options struct {
	// gates and vaults list the zones of the processes, as indexes.
	gates, vaults []int
	retention     time.Duration
	engines       int
	// tokens is how many tokens a stream has.
	tokens int
	// eventPause and unframed are those of the endpoints.
	eventPause time.Duration
	unframed   bool
}

// newDeployment starts a deployment and waits until its gates are ready.
func newDeployment(folder string, r *record, o options) (*deployment, error) {
	d := &deployment{
		folder: folder, record: r, zones: []string{"recife", "fortaleza", "salvador"}, store: fake.NewKeyval(), began: time.Now(),
		net: [2]int{20 + os.Getpid()%200, 1 + os.Getpid()/200%200},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAddr = l.Addr().String()
	go func() { _ = (&http.Server{Handler: d.store, ReadHeaderTimeout: time.Second}).Serve(l) }() // until the driver ends
	d.store.Set(fake.ConfigKey, configuration(1, o.retention))
	for i := range o.engines {
		for _, service := range []string{"conselheiro", "balcao"} {
			e := &endpoint{
				id: fmt.Sprintf("i-%s-%d", service, i), service: service, addr: "127.0.0.1:0", record: r, tokens: o.tokens,
				eventPause: max(o.eventPause, defaultEventPause), unframed: o.unframed,
			}
			if err := e.listen(); err != nil {
				return nil, err
			}
			d.endpoints = append(d.endpoints, e)
			d.store.Set(fake.EndpointEntry(e.id, service, e.addr, d.zones[i%len(d.zones)], false, 1))
		}
	}
	for i, z := range o.vaults {
		h := d.newHost("vault", d.zones[z], i)
		d.vaults = append(d.vaults, h)
		if len(d.seeds) < 3 {
			d.seeds = append(d.seeds, h.addr(controlPort))
		}
	}
	for i, z := range o.gates {
		d.gates = append(d.gates, d.newHost("gate", d.zones[z], 100+i))
	}
	for _, h := range d.hosts() {
		h.settings["seeds"] = d.seeds
		if h.data != "" {
			if err := os.MkdirAll(h.data, 0o700); err != nil {
				return nil, err
			}
		}
		if err := h.start(true); err != nil {
			return nil, err
		}
	}
	return d, d.awaitReady()
}

func (d *deployment) hosts() []*host { return append(append([]*host{}, d.vaults...), d.gates...) }

// awaitReady waits until all gates are ready and leadTime has passed.
func (d *deployment) awaitReady() error {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(restartPause / 3) {
		ready := 0
		for _, g := range d.gates {
			if g.ready() {
				ready++
			}
		}
		if ready == len(d.gates) && time.Since(d.began) >= leadTime {
			return nil
		}
		if time.Now().After(end) {
			return errors.New("the gates are not ready")
		}
	}
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, h := range d.hosts() {
		if h.cmd != nil {
			h.kill()
		}
	}
}

// all runs a function for each number below n at the same time, at most width of them.
func all(n, width int, run func(i int)) {
	var running sync.WaitGroup
	slots := make(chan struct{}, width)
	for i := range n {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			run(i)
		})
	}
	running.Wait()
}

// configuration returns the operator's configuration.
func configuration(version int, retention time.Duration) string {
	route := func(name, prefix, kind, service string, timeout, aim, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "pathPrefix": prefix, "type": kind, "timeoutMs": timeout, "targetLatencyMs": aim, "priority": 1,
			"service": service, "maxAttempts": attempts,
		}
	}
	talk := route("r-talk", talkPath, "streaming", "conselheiro", 4000, 250, 2)
	free := route("r-free", freePath, "streaming", "conselheiro", 4000, 250, 2)
	for _, r := range []map[string]any{talk, free} {
		r["retentionS"], r["sticky"], r["resumable"], r["targetGapMs"] = retention.Seconds(), true, false, 200
	}
	talk["retained"], free["retained"] = true, false
	text, _ := json.Marshal(map[string]any{ // strings and numbers only
		"version": version,
		"routes": []any{
			talk, free,
			route("r-order", "/pule252/", "non_idempotent", "balcao", 3000, 400, 1),
			route("r-lookup", "/nari118/", "idempotent", "balcao", 1200, 120, 2),
		},
		"services": []any{
			map[string]any{"name": "conselheiro", "healthPath": "/healthz", "maxConns": 170, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 16, "kvCapacity": 127477, "chunkTokens": tokensPerEvent, "models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "balcao", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return string(text)
}
