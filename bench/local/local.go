// Package local runs a whole deployment in one process: stand-ins for the
// platform and the endpoints on loopback, and real nodes.
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

// Options describe a deployment.
type Options struct {
	// Ticket is the first ticket's text; its endpoints are played by stand-ins.
	Ticket []byte
	// Nodes is how many nodes run.
	Nodes  int
	Engine engine.Options
	Desk   desk.Options
	// Adjust changes a node's settings before it starts; nil changes nothing.
	Adjust func(s *setup.Settings)
	Log    zerolog.Logger
}

// Deployment is one running deployment.
type Deployment struct {
	options Options
	context context.Context
	cancel  context.CancelFunc
	wait    sync.WaitGroup
	servers []*http.Server
	addrs   []string
	// stops ends the nodes one by one; each waits for its node.
	stops   []func()
	list    string
	store   string
	keyval  *keyval.Server
	hosts   *hosts.Server
	engines map[string]*engine.Server
	desks   map[string]*desk.Server
}

// Start starts a deployment and waits until its nodes are ready.
func Start(o Options) (*Deployment, error) {
	d := &Deployment{
		options: o, keyval: keyval.New(), hosts: hosts.New(time.Second),
		engines: map[string]*engine.Server{}, desks: map[string]*desk.Server{},
	}
	var err error
	if d.store, err = d.serve(d.keyval); err != nil {
		return nil, err
	}
	list, err := d.serve(d.hosts)
	if err != nil {
		return nil, err
	}
	if err := d.declare(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.list, d.context = list, ctx
	for i := range o.Nodes {
		if err := d.startNode(ctx, i, list); err != nil {
			d.Stop()
			return nil, err
		}
	}
	return d, d.ready()
}

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
	d.wait.Go(func() { _ = s.Serve(l) })
	return l.Addr().String(), nil
}

// declare starts a stand-in for each endpoint of the ticket and applies it
// with their addresses.
func (d *Deployment) declare() error {
	f, err := ini.Load(d.options.Ticket)
	if err != nil {
		return errors.Wrap(err, "local: ticket")
	}
	for _, s := range f.Sections() {
		name, ok := strings.CutPrefix(s.Name(), "endpoint ")
		if !ok {
			continue
		}
		addr, err := d.serve(d.standin(name, s.Key("kind").String(), s.Key("fencing").MustBool(false)))
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
	_, err = node.UpdateConfig(ctx, store.New(d.store, time.Second), func(c *config.Config) (*config.Config, error) {
		return t.Apply(c)
	})
	return err
}

// standin makes the stand-in for an endpoint; it fences where the ticket says so.
func (d *Deployment) standin(name, kind string, fencing bool) http.Handler {
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

func (d *Deployment) startNode(ctx context.Context, i int, list string) error {
	s := setup.Default()
	s.Node.Name = fmt.Sprintf("node-%d", i+1)
	s.Node.Centre = fmt.Sprintf("centre-%d", i%3+1)
	s.Store.Addr, s.Hosts.Addr = d.store, list
	s.Links.Secret = "loopback"
	// No balancer has to learn of a planned stop.
	s.Node.DrainNotice = 0
	public, err := open()
	if err != nil {
		return err
	}
	private, err := open()
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
	d.wait.Go(func() {
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
	if err := d.startNode(d.context, len(d.addrs), d.list); err != nil {
		return "", err
	}
	return d.addrs[len(d.addrs)-1], d.ready()
}

// StopNode stops a node gracefully and waits for its end.
func (d *Deployment) StopNode(i int) { d.stops[i]() }

// open listens on a free loopback address.
func open() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return l, errors.Wrap(err, "local: listening")
}

// startTimeout bounds the start of a deployment.
const startTimeout = 20 * time.Second

func (d *Deployment) ready() error {
	end := time.Now().Add(startTimeout)
	for _, addr := range d.addrs {
		for !answers(addr) {
			if time.Now().After(end) {
				return errors.Newf("local: node at %s is not ready", addr)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func answers(addr string) bool {
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
func (d *Deployment) Store() string { return d.store }

// Keyval returns the key-value stand-in.
func (d *Deployment) Keyval() *keyval.Server { return d.keyval }

// Hosts returns the host list stand-in.
func (d *Deployment) Hosts() *hosts.Server { return d.hosts }

// Engines returns the engine stand-ins by endpoint.
func (d *Deployment) Engines() map[string]*engine.Server { return d.engines }

// Desks returns the desk stand-ins by endpoint.
func (d *Deployment) Desks() map[string]*desk.Server { return d.desks }

// Stop stops the nodes gracefully and then the stand-ins.
func (d *Deployment) Stop() {
	d.cancel()
	end := time.Now().Add(startTimeout)
	for _, addr := range d.addrs {
		for listening(addr) && time.Now().Before(end) {
			time.Sleep(10 * time.Millisecond)
		}
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.wait.Wait()
}

func listening(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
