// Package setup reads and checks a node's settings from an INI file.
package setup

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"github.com/cowslipstage/cowslipstage/protocol/schema"
)

// Settings holds the settings of one node, which it reads at its start.
type Settings struct {
	Node   Node   `ini:"node"`
	Store  Store  `ini:"store"`
	Hosts  Hosts  `ini:"hosts"`
	Links  Links  `ini:"links"`
	Policy Policy `ini:"policy"`
	Shards Shards `ini:"shards"`
}

// Node holds the node's identity, addresses and limits.
type Node struct {
	Name string `ini:"name"`
	// Centre is the node's data centre.
	Centre string `ini:"centre"`
	// Listen is the IP:port where callers and operators connect.
	Listen string `ini:"listen"`
	// Link is the IP:port where other nodes connect.
	Link string `ini:"link"`
	// Advertise is the IP:port announced to other nodes; "" means Link.
	Advertise string `ini:"advertise"`
	// Data is the directory for bulk data; "" stores none.
	Data string `ini:"data"`
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64 `ini:"body"`
	// Memory is what the process may take, in bytes. A quarter of it is for callers.
	Memory int64 `ini:"memory"`
	// MaxConns bounds the connections of callers, 0 for nearly half of the descriptors.
	MaxConns int `ini:"connections"`
	// DrainNotice is how long a stopping node still accepts callers, until the load
	// balancer has seen that it is not ready.
	DrainNotice time.Duration `ini:"notice"`
	// StopTimeout bounds how long a planned stop waits for running calls.
	StopTimeout time.Duration `ini:"grace"`
}

// AdvertisedAddr returns the address where other nodes reach this one.
func (n *Node) AdvertisedAddr() string {
	if n.Advertise != "" {
		return n.Advertise
	}
	return n.Link
}

// Store sets the access to the platform's key-value service.
type Store struct {
	Addr    string        `ini:"addr"`
	Timeout time.Duration `ini:"timeout"`
	// Lease is how long a node keeps its claims without renewing them.
	Lease time.Duration `ini:"lease"`
	// StandbyDelay is how long the store may take to record a batch before it is sent
	// to standbys.
	StandbyDelay time.Duration `ini:"delay"`
	// WriteLimit bounds the journal batches that all nodes together write per second.
	WriteLimit int `ini:"writes"`
	// MaxPendingBytes bounds the bytes of one shard that wait for the store.
	MaxPendingBytes int `ini:"bound"`
	// StandbyTimeout is how long a new owner waits for a standby that does not
	// respond.
	StandbyTimeout time.Duration `ini:"abandon"`
}

// Hosts sets the access to the platform's host list.
type Hosts struct {
	Addr string        `ini:"addr"`
	Poll time.Duration `ini:"poll"`
}

// Links sets the links between nodes.
type Links struct {
	Secret string `ini:"secret"`
	// Secrets is a file with one secret per line. The node sends the first and accepts
	// all.
	Secrets string `ini:"secrets"`
	// Cert, Key and CA are PEM files; together they enable mutual TLS.
	Cert           string        `ini:"cert"`
	Key            string        `ini:"key"`
	CA             string        `ini:"ca"`
	PingInterval   time.Duration `ini:"ping"`
	SilenceTimeout time.Duration `ini:"silence"`
	// MaxFrameBytes bounds a message between nodes.
	MaxFrameBytes int `ini:"frame"`
	// GossipBudget bounds the gossip that a node sends, in bytes per second.
	GossipBudget int `ini:"budget"`
	// Peers are the "node=IP:port" seeds, used until the store has answered.
	Peers []string `ini:"peers"`
}

// Policy sets how calls are scheduled.
type Policy struct {
	Queue string `ini:"queue"`
	Route string `ini:"route"`
	Seed  uint64 `ini:"seed"`
	// Hedge also sends model calls that are slow to start to a second engine.
	Hedge bool `ini:"hedge"`
	// CopyCache copies a conversation's cache between engines where that is faster
	// than recomputing it.
	CopyCache bool `ini:"copy"`
	// Release tells engines which cached data no active program will use. It is
	// disabled only for comparisons with schedulers that do not do so.
	Release bool `ini:"release"`
	// CacheWeight is the weight of wasted cache against latency, from 0 to 1.
	CacheWeight float64 `ini:"weight"`
	// LoadInterval is the time between two reads of an endpoint's load.
	LoadInterval time.Duration `ini:"load"`
	// ListInterval is the time between two reads of an engine's list of held programs.
	ListInterval time.Duration `ini:"list"`
	// StreamTimeout is how long an engine's stream may deliver no data; twice as long
	// before its first part.
	StreamTimeout time.Duration `ini:"quiet"`
}

// Shards sets how programs are divided between nodes.
type Shards struct {
	Count int `ini:"count"`
	// MaxOwners bounds the nodes that own shards and thereby the store's load; 0 means
	// no bound.
	MaxOwners int `ini:"owners"`
	// AnswerRetention is how long the answers of an ended program can be fetched by
	// key.
	AnswerRetention time.Duration `ini:"answers"`
	// KeyRetention is how long the keys of non-idempotent calls are kept.
	KeyRetention time.Duration `ini:"keys"`
	// StandbyBytes bounds the journal data that the node holds as a standby.
	StandbyBytes int `ini:"standby"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{
		Node: Node{Listen: "127.0.0.1:7070", Link: "127.0.0.1:7071", MaxBodyBytes: 8 << 20, Memory: 256 << 20, DrainNotice: 2 * time.Second, StopTimeout: time.Minute},
		Store: Store{
			Timeout: 2 * time.Second, Lease: 3 * time.Second,
			StandbyDelay: 50 * time.Millisecond, WriteLimit: 300, MaxPendingBytes: 32 << 20, StandbyTimeout: 10 * time.Second,
		},
		Hosts: Hosts{Poll: time.Second},
		Links: Links{
			PingInterval: 500 * time.Millisecond, SilenceTimeout: 2 * time.Second, MaxFrameBytes: 16 << 20, GossipBudget: 16384,
		},
		Policy: Policy{
			Queue: "program", Route: "finish", Seed: 1, Hedge: true, CopyCache: true, Release: true,
			LoadInterval: 200 * time.Millisecond, ListInterval: 2 * time.Second, StreamTimeout: 15 * time.Second,
		},
		Shards: Shards{Count: 16, MaxOwners: 16, AnswerRetention: time.Hour, KeyRetention: 24 * time.Hour, StandbyBytes: 64 << 20},
	}
}

// Load reads the settings in a file; the error lists every problem of the file.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "setup: settings file")
	}
	return Parse(file, data)
}

// Parse parses settings; name is the file name used in errors. The error is a
// schema.CheckErrors with every problem.
func Parse(name string, data []byte) (*Settings, error) {
	f, err := schema.Read(name, data, Table())
	if err != nil {
		return nil, err
	}
	checked := ini.Empty()
	for _, s := range f.Sections() {
		for _, key := range s.Keys() {
			_, err = checked.Section(s.FullName()).NewKey(key, s.Text(key))
			if err != nil {
				return nil, errors.Wrap(err, "setup: settings")
			}
		}
	}
	s := Default()
	if err := checked.StrictMapTo(&s); err != nil {
		return nil, errors.Wrap(err, "setup: settings")
	}
	if problems := s.check(f); len(problems) > 0 {
		return nil, problems
	}
	return &s, nil
}

// check returns the problems of values that conflict with each other.
func (s *Settings) check(f *schema.File) schema.CheckErrors {
	var problems schema.CheckErrors
	if section := f.Section("links"); section != nil && s.Links.SilenceTimeout < 2*s.Links.PingInterval {
		problems = append(problems, f.Problem(section, "silence", "must be at least twice ping, which is "+s.Links.PingInterval.String()))
	}
	if section := f.Section("store"); section != nil && s.Store.Lease < s.Store.Timeout {
		problems = append(problems, f.Problem(section, "lease", "must be at least timeout, which is "+s.Store.Timeout.String()))
	}
	return append(problems, s.checkFrame(f)...)
}

// frameOverhead is the size reserved in a message between nodes for everything but
// the request's body, in bytes.
const frameOverhead = 1 << 20

// checkFrame checks that a request of the maximum size fits into a message between
// nodes, because a longer message would end its link.
func (s *Settings) checkFrame(f *schema.File) schema.CheckErrors {
	maxBody := int64(s.Links.MaxFrameBytes) - frameOverhead
	if s.Node.MaxBodyBytes <= maxBody {
		return nil
	}
	if section := f.Section("links"); section != nil && section.Has("frame") {
		return schema.CheckErrors{f.Problem(section, "frame", fmt.Sprintf("must be at least [node] body and %d, which is %d", frameOverhead, s.Node.MaxBodyBytes+frameOverhead))}
	}
	return schema.CheckErrors{f.Problem(f.Section("node"), "body", fmt.Sprintf("must be at most [links] frame less %d, which is %d", frameOverhead, maxBody))}
}
