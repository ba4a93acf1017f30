// Package setup reads a node's settings from an INI file and checks them.
package setup

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"

	"github.com/cowslipstage/cowslipstage/protocol/schema"
)

// Settings are what one node is told at its start.
type Settings struct {
	Node   Node   `ini:"node"`
	Store  Store  `ini:"store"`
	Hosts  Hosts  `ini:"hosts"`
	Links  Links  `ini:"links"`
	Policy Policy `ini:"policy"`
	Shards Shards `ini:"shards"`
}

// Node says who the node is.
type Node struct {
	Name string `ini:"name"`
	// Centre is the data centre.
	Centre string `ini:"centre"`
	// Listen is the IP:port for callers and operators.
	Listen string `ini:"listen"`
	// Link is the IP:port for other nodes.
	Link string `ini:"link"`
	// Advertise is the IP:port that other nodes are told; "" means Link.
	Advertise string `ini:"advertise"`
	// Data is a folder for bulk data; "" keeps nothing.
	Data string `ini:"data"`
	// MaxBodyBytes bounds a request's body in bytes.
	MaxBodyBytes int64 `ini:"body"`
	// DrainNotice is how long a stopping node still takes callers, while the
	// balancer learns that it is not ready.
	DrainNotice time.Duration `ini:"notice"`
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration `ini:"grace"`
}

// AdvertisedAddr returns where other nodes reach this one.
func (n *Node) AdvertisedAddr() string {
	if n.Advertise != "" {
		return n.Advertise
	}
	return n.Link
}

// Store says where the platform's key-value service is.
type Store struct {
	Addr    string        `ini:"addr"`
	Timeout time.Duration `ini:"timeout"`
	// Lease is how long a node without renewal keeps its claims.
	Lease time.Duration `ini:"lease"`
	// StandbyDelay is how long the store may take to record a batch before standbys are asked.
	StandbyDelay time.Duration `ini:"delay"`
	// WriteLimit is how many journal batches a second all nodes together may write.
	WriteLimit int `ini:"writes"`
	// MaxPendingBytes is how many bytes of one shard may wait for the store.
	MaxPendingBytes int `ini:"bound"`
	// StandbyTimeout is how long a new owner waits for a standby without a sign of life.
	StandbyTimeout time.Duration `ini:"abandon"`
}

// Hosts says where the platform's host list is.
type Hosts struct {
	Addr string        `ini:"addr"`
	Poll time.Duration `ini:"poll"`
}

// Links sets the links between nodes.
type Links struct {
	Secret string `ini:"secret"`
	// Secrets is a file of secrets, one a line; the first is shown, all are accepted.
	Secrets string `ini:"secrets"`
	// Cert, Key and CA are PEM files; together they turn mutual TLS on.
	Cert           string        `ini:"cert"`
	Key            string        `ini:"key"`
	CA             string        `ini:"ca"`
	PingInterval   time.Duration `ini:"ping"`
	SilenceTimeout time.Duration `ini:"silence"`
	// MaxFrameBytes bounds a message between nodes in bytes.
	MaxFrameBytes int `ini:"frame"`
	// GossipBudget bounds the gossip that a node sends, in bytes a second.
	GossipBudget int `ini:"budget"`
	// Peers are "node=IP:port" seeds.
	Peers []string `ini:"peers"`
}

// Policy chooses how calls are scheduled.
type Policy struct {
	Queue string `ini:"queue"`
	Route string `ini:"route"`
	Seed  uint64 `ini:"seed"`
	// Hedge sends model calls that are late to begin to a second engine.
	Hedge bool `ini:"hedge"`
	// CopyCache copies a conversation's cache between engines where that beats computing it.
	CopyCache bool `ini:"copy"`
	// Release tells engines what no live program will use. It is off for
	// comparisons with schedulers that do not.
	Release bool `ini:"release"`
	// CacheWeight is the weight of wasted cache against latency, from 0 to 1.
	CacheWeight float64 `ini:"weight"`
	// LoadInterval is the time between two reads of an endpoint's load.
	LoadInterval time.Duration `ini:"load"`
	// ListInterval is the time between two reads of an engine's list of held programs.
	ListInterval time.Duration `ini:"list"`
	// StreamTimeout is how long an engine's stream may give nothing; before its
	// first part twice as long.
	StreamTimeout time.Duration `ini:"quiet"`
}

// Shards sets how programs are divided.
type Shards struct {
	Count int `ini:"count"`
	// MaxOwners bounds the nodes that own shards, and so the store's load; 0 means no bound.
	MaxOwners int `ini:"owners"`
	// AnswerRetention is how long an ended program's answers can be fetched by key.
	AnswerRetention time.Duration `ini:"answers"`
	// KeyRetention is how long the keys of non-idempotent calls are remembered.
	KeyRetention time.Duration `ini:"keys"`
	// StandbyBytes is how many bytes the node keeps for other owners.
	StandbyBytes int `ini:"standby"`
}

// Default returns the settings that a file need not give.
func Default() Settings {
	return Settings{
		Node: Node{Listen: "127.0.0.1:7070", Link: "127.0.0.1:7071", MaxBodyBytes: 8 << 20, DrainNotice: 2 * time.Second, StopTimeout: time.Minute},
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

// Load reads the settings in a file; the error names everything wrong with it.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "setup: settings file")
	}
	return Parse(file, data)
}

// Parse reads settings; name is their file's name, for errors. The error is a
// schema.CheckErrors with everything that is wrong.
func Parse(name string, data []byte) (*Settings, error) {
	f, err := schema.Read(name, data, Table())
	if err != nil {
		return nil, err
	}
	checked := ini.Empty()
	for _, p := range f.Sections() {
		for _, key := range p.Keys() {
			_, err = checked.Section(p.FullName()).NewKey(key, p.Text(key))
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

// check finds values that don't go together.
func (s *Settings) check(f *schema.File) schema.CheckErrors {
	var problems schema.CheckErrors
	if p := f.Section("links"); p != nil && s.Links.SilenceTimeout < 2*s.Links.PingInterval {
		problems = append(problems, f.Problem(p, "silence", "must be at least twice ping, which is "+s.Links.PingInterval.String()))
	}
	if p := f.Section("store"); p != nil && s.Store.Lease < s.Store.Timeout {
		problems = append(problems, f.Problem(p, "lease", "must be at least timeout, which is "+s.Store.Timeout.String()))
	}
	return append(problems, s.checkFrame(f)...)
}

// frameOverhead is what a message between nodes needs besides a request's body, in bytes.
const frameOverhead = 1 << 20

// checkFrame wants requests to fit into the messages between nodes: a longer
// message would end its link.
func (s *Settings) checkFrame(f *schema.File) schema.CheckErrors {
	maxBody := int64(s.Links.MaxFrameBytes) - frameOverhead
	if s.Node.MaxBodyBytes <= maxBody {
		return nil
	}
	if p := f.Section("links"); p != nil && p.Has("frame") {
		return schema.CheckErrors{f.Problem(p, "frame", fmt.Sprintf("must be at least [node] body and %d, which is %d", frameOverhead, s.Node.MaxBodyBytes+frameOverhead))}
	}
	return schema.CheckErrors{f.Problem(f.Section("node"), "body", fmt.Sprintf("must be at most [links] frame less %d, which is %d", frameOverhead, maxBody))}
}
