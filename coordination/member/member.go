// Package member (coordination layer) decides which nodes and endpoints are
// there, from leases, the platform's lagging host list and the links together.
package member

import (
	"maps"
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is held to be true of a node.
type State uint8

// The states of a node.
const (
	// Unknown nodes were never heard of.
	Unknown State = iota
	// Live nodes hold a lease or were heard lately.
	Live
	// Suspect nodes have neither; they may be dead, paused or cut off.
	Suspect
	// Leaving nodes still work but get nothing new.
	Leaving
	// Gone nodes said goodbye, or were silent until they were given up.
	Gone
)

// String returns the state's name for logs.
func (s State) String() string {
	return [...]string{"unknown", "live", "suspect", "leaving", "gone"}[s]
}

// Reason says which source a state rests on.
type Reason string

// The reasons of states.
const (
	// Linked means that the node was heard on a link within the silence.
	Linked Reason = "linked"
	// Leased means that the node's lease stood when the store was last read.
	Leased Reason = "leased"
	// Listed means that the platform's host list says so.
	Listed Reason = "listed"
	// Announced means that the node itself said so.
	Announced Reason = "said"
	// Silent means that no source has heard of the node lately.
	Silent Reason = "silent"
	// Refused means that an endpoint refused new work as leaving.
	Refused Reason = "refused"
)

// Options are the times that the view decides by.
type Options struct {
	// Self is the own node, which is always there.
	Self string
	// LinkTimeout is how long a node that was heard counts as live.
	LinkTimeout time.Duration
	// LeaseTimeout is how long a lease counts as standing after it was read.
	LeaseTimeout time.Duration
	// SuspectTimeout is how long a silent node stays suspect before it is gone.
	SuspectTimeout time.Duration
	// RefusalTimeout is how long an endpoint's refusal holds without further news.
	RefusalTimeout time.Duration
}

// Record is a node's own description.
type Record struct {
	Node   string
	Centre string
	// LinkAddr is where the node listens for links.
	LinkAddr string
	// Incarnation rises with each start of the node's process.
	Incarnation uint64
	// Leaving nodes take no new work.
	Leaving bool
}

// View is what one node knows of the others. It is safe for concurrent use.
type View struct {
	options Options

	mu    sync.Mutex
	nodes map[string]*node
	// lists holds, by who read it, the host list's names that are not live:
	// nodes and endpoints with their states.
	lists map[string]map[string]string
	// refused holds the endpoints that refused work as leaving.
	refused map[string]refused
}

// node is what is known of one node.
type node struct {
	// record belongs to the newest incarnation; older ones never replace it.
	record Record
	// known is when the node was first heard of.
	known time.Time
	// heard is the last sign of life on a link; zero means never.
	heard time.Time
	// leased is when the lease was last seen standing; zero means never.
	leased time.Time
	// bye is the newest incarnation that said goodbye.
	bye uint64
}

// refused is an endpoint's newest refusal.
type refused struct {
	at time.Time
	// own tells that this node saw it; only then does it tell others.
	own bool
}

// New returns a view that knows nobody.
func New(o Options) *View {
	return &View{options: o, nodes: map[string]*node{}, refused: map[string]refused{}, lists: map[string]map[string]string{}}
}

// take notes a record and returns its node, or nil if a newer incarnation is known.
func (v *View) take(now time.Time, r Record) *node {
	n, ok := v.nodes[r.Node]
	if !ok {
		n = &node{record: r, known: now}
		v.nodes[r.Node] = n
		return n
	}
	if r.Incarnation < n.record.Incarnation {
		return nil
	}
	leaving := r.Leaving || r.Incarnation == n.record.Incarnation && n.record.Leaving
	n.record = r
	n.record.Leaving = leaving
	return n
}

// UpdateLeases takes over the records whose leases stand, all of them, as read at now.
func (v *View) UpdateLeases(now time.Time, records []Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, n := range v.nodes {
		n.leased = time.Time{}
	}
	for _, r := range records {
		if n := v.take(now, r); n != nil {
			n.leased = now
		}
	}
}

// Gossip takes over what a node said of itself on a link.
func (v *View) Gossip(now time.Time, r Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n := v.take(now, r); n != nil {
		n.heard = now
	}
}

// GossipRelayed takes over what one node said of another, which is no sign of life.
func (v *View) GossipRelayed(now time.Time, r Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.take(now, r)
}

// SetLinkTimeout sets how long a node that was heard counts as live, once links with
// little to carry are probed more rarely.
func (v *View) SetLinkTimeout(silence time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.options.LinkTimeout = silence
}

// Heard notes a sign of life on a link with a node.
func (v *View) Heard(at time.Time, name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n, ok := v.nodes[name]; ok && at.After(n.heard) {
		n.heard = at
	}
}

// MarkExited notes that a node's process says it has ended; only a newer incarnation
// brings the node back.
func (v *View) MarkExited(now time.Time, name string, incarnation uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	n, ok := v.nodes[name]
	if !ok {
		n = &node{record: Record{Node: name, Incarnation: incarnation}, known: now}
		v.nodes[name] = n
	}
	n.bye = max(n.bye, incarnation)
}

// UpdateHostList takes over what a reader found in the platform's host list: the names
// that are not live, "leaving" or "gone". It tells whether that is news.
func (v *View) UpdateHostList(reader string, away map[string]string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	news := !maps.Equal(v.lists[reader], away)
	v.lists[reader] = away
	return news
}

// listed returns a name's state in the host list, "" for live. Readers lag
// behind each other, so one of them suffices; readers that are not there do
// not count.
func (v *View) listed(now time.Time, name string) string {
	found := ""
	for reader, away := range v.lists {
		state := away[name]
		if state == "" || state == found || !v.present(now, reader) {
			continue
		}
		if found == "" || state == "leaving" {
			found = state
		}
	}
	return found
}

// present tells whether a node gave a sign of life lately.
func (v *View) present(now time.Time, name string) bool {
	if name == v.options.Self {
		return true
	}
	n, ok := v.nodes[name]
	return ok && (within(now, n.heard, v.options.LinkTimeout) || within(now, n.leased, v.options.LeaseTimeout))
}

// State returns what is held to be true of a node, and why.
func (v *View) State(now time.Time, name string) (State, Reason) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.state(now, name)
}

func (v *View) state(now time.Time, name string) (State, Reason) {
	if name == v.options.Self {
		return Live, Announced
	}
	n, ok := v.nodes[name]
	if !ok {
		return Unknown, Silent
	}
	if n.bye != 0 && n.bye >= n.record.Incarnation {
		return Gone, Announced
	}
	linked := within(now, n.heard, v.options.LinkTimeout)
	leased := within(now, n.leased, v.options.LeaseTimeout)
	switch {
	case !linked && v.listed(now, name) == "gone":
		return Gone, Listed
	case !linked && !leased:
		return v.silent(now, n)
	case n.record.Leaving:
		return Leaving, Announced
	case v.listed(now, name) == "leaving":
		return Leaving, Listed
	case linked:
		return Live, Linked
	default:
		return Live, Leased
	}
}

func (v *View) silent(now time.Time, n *node) (State, Reason) {
	last := n.known
	for _, t := range []time.Time{n.heard, n.leased} {
		if t.After(last) {
			last = t
		}
	}
	if now.Sub(last) > v.options.SuspectTimeout {
		return Gone, Silent
	}
	return Suspect, Silent
}

func within(now, at time.Time, bound time.Duration) bool {
	return !at.IsZero() && now.Sub(at) <= bound
}

// Alive tells whether a node's process works, leaving or not.
func (v *View) Alive(now time.Time, name string) bool {
	s, _ := v.State(now, name)
	return s == Live || s == Leaving
}

// SilentFor returns how long ago a node was last heard on a link; a node that was
// never heard is silent for longer than any bound.
func (v *View) SilentFor(now time.Time, name string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if name == v.options.Self {
		return 0
	}
	n, ok := v.nodes[name]
	if !ok || n.heard.IsZero() {
		return math.MaxInt64
	}
	return max(0, now.Sub(n.heard))
}

// Leaving tells whether a node gets nothing new: it said so, or is listed so.
func (v *View) Leaving(now time.Time, name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n, ok := v.nodes[name]; ok && (n.record.Leaving || n.bye != 0 && n.bye >= n.record.Incarnation) {
		return true
	}
	return v.listed(now, name) != ""
}

// Record returns the newest description of a node.
func (v *View) Record(name string) (Record, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	n, ok := v.nodes[name]
	if !ok {
		return Record{}, false
	}
	return n.record, true
}

// Nodes returns the known nodes in one of the states, by name.
func (v *View) Nodes(now time.Time, states ...State) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var names []string
	for name := range v.nodes {
		s, _ := v.state(now, name)
		for _, wanted := range states {
			if s == wanted {
				names = append(names, name)
			}
		}
	}
	sort.Strings(names)
	return names
}

// NoteRefusal notes that an endpoint refused work as leaving, as this node saw
// itself or heard, and tells whether that is news.
func (v *View) NoteRefusal(now time.Time, endpoint string, own bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.refused[endpoint]
	v.refused[endpoint] = refused{at: now, own: own}
	return !within(now, old.at, v.options.RefusalTimeout)
}

// ClearRefusal notes that an endpoint says it takes work again.
func (v *View) ClearRefusal(endpoint string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.refused, endpoint)
}

// OwnRefusals returns the endpoints whose refusal this node saw and still holds,
// by name.
func (v *View) OwnRefusals(now time.Time) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var names []string
	for name, r := range v.refused {
		if r.own && within(now, r.at, v.options.RefusalTimeout) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Departing returns every name that gets nothing new, by list or refusal.
func (v *View) Departing(now time.Time) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	found := map[string]bool{}
	for name, r := range v.refused {
		if within(now, r.at, v.options.RefusalTimeout) {
			found[name] = true
		}
	}
	for reader, away := range v.lists {
		if v.present(now, reader) {
			for name := range away {
				found[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// Elect returns at most bound of the names, by rendezvous hashing with a
// topic: all nodes with the same names choose alike, and a name that comes or
// goes changes at most one place.
func Elect(topic string, names []string, bound int) []string {
	score := make(map[string]uint64, len(names))
	chosen := make([]string, 0, len(names))
	for _, name := range names {
		if _, ok := score[name]; !ok {
			chosen = append(chosen, name)
		}
		score[name] = xxhash.Sum64String(topic + "/" + name)
	}
	sort.Slice(chosen, func(a, b int) bool {
		x, y := chosen[a], chosen[b]
		if score[x] != score[y] {
			return score[x] > score[y]
		}
		return x < y
	})
	return chosen[:min(bound, len(chosen))]
}
