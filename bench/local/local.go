// Package local runs a complete deployment in one process on loopback: real nodes, and
// stand-ins for the platform and the endpoints.
package local

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"gopkg.in/ini.v1"

	"github.com/cowslipstage/cowslipstage/node"
	"github.com/cowslipstage/cowslipstage/protocol/ticket"
	"github.com/cowslipstage/cowslipstage/setup"
	"github.com/cowslipstage/cowslipstage/standin/desk"
	"github.com/cowslipstage/cowslipstage/standin/engine"
	"github.com/cowslipstage/cowslipstage/standin/fault"
	"github.com/cowslipstage/cowslipstage/standin/hosts"
	"github.com/cowslipstage/cowslipstage/standin/keyval"
	"github.com/cowslipstage/cowslipstage/state/config"
	"github.com/cowslipstage/cowslipstage/transport/store"
)

// Options configures a deployment.
type Options struct {
	// Ticket is the text of the first ticket. Its endpoints are stand-ins.
	Ticket []byte
	// Nodes is the number of nodes.
	Nodes  int
	Engine engine.Options
	Desk   desk.Options
	// Adjust changes a node's settings before it starts. It may be nil.
	Adjust func(s *setup.Settings)
	Log    zerolog.Logger
}

// Deployment is a running deployment.
type Deployment struct {
	options Options
	context context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	servers []*http.Server
	addrs   []string
	// stops holds a function for each node that stops it and waits for its end.
	stops     []func()
	hostsAddr string
	storeAddr string
	keyval    *keyval.Server
	hosts     *hosts.Server
	engines   map[string]*engine.Server
	desks     map[string]*desk.Server
}

// Start starts a deployment and waits until its nodes are ready.
func Start(o Options) (*Deployment, error) {
	d := &Deployment{
		options: o, keyval: keyval.New(), hosts: hosts.New(time.Second),
		engines: map[string]*engine.Server{}, desks: map[string]*desk.Server{},
	}
	var err error
	if d.storeAddr, err = d.serve(d.keyval); err != nil {
		return nil, err
	}
	hostsAddr, err := d.serve(d.hosts)
	if err != nil {
		return nil, err
	}
	if err := d.applyTicket(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.hostsAddr, d.context = hostsAddr, ctx
	for i := range o.Nodes {
		if err := d.startNode(ctx, i, hostsAddr); err != nil {
			d.Stop()
			return nil, err
		}
	}
	return d, d.waitReady()
}

// serve serves h on a free loopback port and returns its address.
func (d *Deployment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "local: listening")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	if f, ok := h.(interface{ Fault() *fault.Injector }); ok {
		f.Fault().Track(s)
	}
	d.servers = append(d.servers, s)
	d.running.Go(func() { _ = s.Serve(l) })
	return l.Addr().String(), nil
}

// applyTicket starts a stand-in for each endpoint of the ticket, sets the endpoints'
// addresses in the ticket and applies it to the configuration.
func (d *Deployment) applyTicket() error {
	f, err := ini.Load(d.options.Ticket)
	if err != nil {
		return errors.Wrap(err, "local: ticket")
	}
	for _, s := range f.Sections() {
		name, ok := strings.CutPrefix(s.Name(), "endpoint ")
		if !ok {
			continue
		}
		addr, err := d.serve(d.newStandIn(name, s.Key("kind").String(), s.Key("fencing").MustBool(false)))
		if err != nil {
			return err
		}
		s.Key("addr").SetValue(addr)
	}
	var text bytes.Buffer
	if _, err := f.WriteTo(&text); err != nil {
		return errors.Wrap(err, "local: ticket")
	}
	t, err := ticket.Parse("ticket", text.Bytes())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err = node.UpdateConfig(ctx, store.New(d.storeAddr, time.Second), func(c *config.Config) (*config.Config, error) {
		return t.Apply(c)
	})
	return err
}

// newStandIn returns a new stand-in for an endpoint. It supports fencing if the ticket
// or the options say so.
func (d *Deployment) newStandIn(name, kind string, fencing bool) http.Handler {
	if kind == "engine" {
		o := d.options.Engine
		o.Seed += xxhash.Sum64String(name)
		o.Fencing = o.Fencing || fencing
		d.engines[name] = engine.New(o)
		return d.engines[name]
	}
	o := d.options.Desk
	o.Seed += xxhash.Sum64String(name)
	o.Fencing = o.Fencing || fencing
	d.desks[name] = desk.New(o)
	return d.desks[name]
}

// startNode starts the i-th node with the host list at hostsAddr.
func (d *Deployment) startNode(ctx context.Context, i int, hostsAddr string) error {
	s := setup.Default()
	s.Node.Name = fmt.Sprintf("node-%d", i+1)
	s.Node.Centre = fmt.Sprintf("centre-%d", i%3+1)
	s.Store.Addr, s.Hosts.Addr = d.storeAddr, hostsAddr
	s.Links.Secret = "loopback"
	// There is no load balancer that needs notice of a planned stop.
	s.Node.DrainNotice = 0
	public, err := listen()
	if err != nil {
		return err
	}
	private, err := listen()
	if err != nil {
		return err
	}
	s.Node.Listen, s.Node.Link = public.Addr().String(), private.Addr().String()
	if d.options.Adjust != nil {
		d.options.Adjust(&s)
	}
	d.addrs = append(d.addrs, s.Node.Listen)
	n := node.New(&s, d.options.Log)
	n.UseListener(public)
	n.UseListener(private)
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	d.stops = append(d.stops, func() {
		cancel()
		<-ended
	})
	d.running.Go(func() {
		defer close(ended)
		defer cancel()
		if err := n.Run(ctx); err != nil {
			d.options.Log.Error().Err(err).Msg("node stopped")
		}
	})
	return nil
}

// AddNode starts one more node and returns its address for callers.
func (d *Deployment) AddNode() (string, error) {
	if err := d.startNode(d.context, len(d.addrs), d.hostsAddr); err != nil {
		return "", err
	}
	return d.addrs[len(d.addrs)-1], d.waitReady()
}

// StopNode stops the i-th node gracefully and waits for its end.
func (d *Deployment) StopNode(i int) { d.stops[i]() }

// listen listens on a free port of the loopback address.
func listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return l, errors.Wrap(err, "local: listening")
}

// startTimeout bounds the start of a deployment.
const startTimeout = 20 * time.Second

// waitReady waits until all nodes are ready.
func (d *Deployment) waitReady() error {
	end := time.Now().Add(startTimeout)
	for _, addr := range d.addrs {
		for !isReady(addr) {
			if time.Now().After(end) {
				return errors.Newf("local: node at %s is not ready", addr)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// isReady reports whether a node's readiness endpoint returns 200.
func isReady(addr string) bool {
	response, err := http.Get("http://" + addr + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Addrs returns the nodes' addresses for callers.
func (d *Deployment) Addrs() []string { return d.addrs }

// Store returns the key-value service's address.
func (d *Deployment) Store() string { return d.storeAddr }

// Keyval returns the stand-in for the key-value service.
func (d *Deployment) Keyval() *keyval.Server { return d.keyval }

// Hosts returns the stand-in for the host list.
func (d *Deployment) Hosts() *hosts.Server { return d.hosts }

// Engines returns the engine stand-ins by endpoint name.
func (d *Deployment) Engines() map[string]*engine.Server { return d.engines }

// Desks returns the desk stand-ins by endpoint name.
func (d *Deployment) Desks() map[string]*desk.Server { return d.desks }

// Stop stops the nodes gracefully and then the stand-ins.
func (d *Deployment) Stop() {
	d.cancel()
	end := time.Now().Add(startTimeout)
	for _, addr := range d.addrs {
		for isListening(addr) && time.Now().Before(end) {
			time.Sleep(10 * time.Millisecond)
		}
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.running.Wait()
}

// isListening reports whether addr accepts connections.
func isListening(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
