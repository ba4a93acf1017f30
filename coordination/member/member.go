// Package member (coordination layer) decides which nodes and endpoints are
// available, from leases, the platform's delayed host list and the links.
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

// State is the assumed state of a node.
type State uint8

// The states of a node.
const (
	// Unknown nodes were never heard of.
	Unknown State = iota
	// Live nodes hold a lease or were heard recently.
	Live
	// Suspect nodes have neither. They may be dead, paused or disconnected.
	Suspect
	// Leaving nodes still work but get no new work.
	Leaving
	// Gone nodes announced their exit, or were silent for longer than
	// SuspectTimeout.
	Gone
)

// String returns the state's name for logs.
func (s State) String() string {
	return [...]string{"unknown", "live", "suspect", "leaving", "gone"}[s]
}

// Reason names the source that a state is based on.
type Reason string

// The reasons of states.
const (
	// Linked means that the node was heard on a link within LinkTimeout.
	Linked Reason = "linked"
	// Leased means that the node's lease was valid when the store was last read.
	Leased Reason = "leased"
	// Listed means that the platform's host list gives the state.
	Listed Reason = "listed"
	// Announced means that the node itself announced the state.
	Announced Reason = "said"
	// Silent means that no source has heard of the node recently.
	Silent Reason = "silent"
	// Refused means that an endpoint refused new work because it is leaving.
	Refused Reason = "refused"
)

// Options are the name and the timeouts of a view.
type Options struct {
	// Self is this node's name. It is always live.
	Self string
	// LinkTimeout is how long a node counts as live after it was heard on a link.
	LinkTimeout time.Duration
	// LeaseTimeout is how long a lease counts as valid after it was read.
	LeaseTimeout time.Duration
	// SuspectTimeout is how long a silent node stays suspect before it counts as
	// gone.
	SuspectTimeout time.Duration
	// RefusalTimeout is how long an endpoint's refusal counts unless it is
	// repeated.
	RefusalTimeout time.Duration
}

// Record is a node's own description.
type Record struct {
	Node   string
	Centre string
	// LinkAddr is the address where the node listens for links.
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
	// hostLists holds the entries of the host list that are not live, nodes and
	// endpoints with their states, by the node that read the list.
	hostLists map[string]map[string]string
	// refused holds the endpoints that refused work because they are leaving.
	refused map[string]refusal
}

// node is what is known of one node.
type node struct {
	// record belongs to the newest incarnation. Older ones never replace it.
	record Record
	// firstHeard is when the node was first heard of.
	firstHeard time.Time
	// lastHeard is when the node was last heard on a link. Zero means never.
	lastHeard time.Time
	// leaseSeen is when a valid lease was last read. Zero means never.
	leaseSeen time.Time
	// exited is the newest incarnation that announced its exit.
	exited uint64
}

// refusal is an endpoint's newest refusal.
type refusal struct {
	at time.Time
	// observed reports whether this node received the refusal itself. Only such
	// refusals are sent to other nodes.
	observed bool
}

// New returns a view without nodes.
func New(o Options) *View {
	return &View{options: o, nodes: map[string]*node{}, refused: map[string]refusal{}, hostLists: map[string]map[string]string{}}
}

// update stores a record and returns its node, or nil if a newer incarnation
// is known.
func (v *View) update(now time.Time, r Record) *node {
	n, ok := v.nodes[r.Node]
	if !ok {
		n = &node{record: r, firstHeard: now}
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

// UpdateLeases stores the records of all nodes with a valid lease, as read at
// now.
func (v *View) UpdateLeases(now time.Time, records []Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, n := range v.nodes {
		n.leaseSeen = time.Time{}
	}
	for _, r := range records {
		if n := v.update(now, r); n != nil {
			n.leaseSeen = now
		}
	}
}

// Gossip stores what a node sent about itself on a link.
func (v *View) Gossip(now time.Time, r Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n := v.update(now, r); n != nil {
		n.lastHeard = now
	}
}

// GossipRelayed stores what one node sent about another. It does not show that
// the other node is alive.
func (v *View) GossipRelayed(now time.Time, r Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.update(now, r)
}

// SetLinkTimeout sets how long a node that was heard counts as live. Links
// with little traffic are probed less often and need a longer timeout.
func (v *View) SetLinkTimeout(timeout time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.options.LinkTimeout = timeout
}

// Heard records that a node was heard on a link.
func (v *View) Heard(at time.Time, name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n, ok := v.nodes[name]; ok && at.After(n.lastHeard) {
		n.lastHeard = at
	}
}

// MarkExited records that a node's process announced its exit. Only a newer
// incarnation makes the node live again.
func (v *View) MarkExited(now time.Time, name string, incarnation uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	n, ok := v.nodes[name]
	if !ok {
		n = &node{record: Record{Node: name, Incarnation: incarnation}, firstHeard: now}
		v.nodes[name] = n
	}
	n.exited = max(n.exited, incarnation)
}

// UpdateHostList stores the entries of the platform's host list that are not
// live ("leaving" or "gone"), as read by one node. It reports whether they
// changed.
func (v *View) UpdateHostList(reader string, notLive map[string]string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := !maps.Equal(v.hostLists[reader], notLive)
	v.hostLists[reader] = notLive
	return changed
}

// listedState returns a name's state in the host list, or "" for live. Readers
// see the list with different delays, so one reader suffices. Readers that are
// not live are ignored.
func (v *View) listedState(now time.Time, name string) string {
	found := ""
	for reader, notLive := range v.hostLists {
		state := notLive[name]
		if state == "" || state == found || !v.recentlySeen(now, reader) {
			continue
		}
		if found == "" || state == "leaving" {
			found = state
		}
	}
	return found
}

// recentlySeen reports whether a node was heard, or its lease was valid,
// within the timeouts.
func (v *View) recentlySeen(now time.Time, name string) bool {
	if name == v.options.Self {
		return true
	}
	n, ok := v.nodes[name]
	return ok && (within(now, n.lastHeard, v.options.LinkTimeout) || within(now, n.leaseSeen, v.options.LeaseTimeout))
}

// State returns the assumed state of a node and the reason for it.
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
	if n.exited != 0 && n.exited >= n.record.Incarnation {
		return Gone, Announced
	}
	linked := within(now, n.lastHeard, v.options.LinkTimeout)
	leased := within(now, n.leaseSeen, v.options.LeaseTimeout)
	switch {
	case !linked && v.listedState(now, name) == "gone":
		return Gone, Listed
	case !linked && !leased:
		return v.silentState(now, n)
	case n.record.Leaving:
		return Leaving, Announced
	case v.listedState(now, name) == "leaving":
		return Leaving, Listed
	case linked:
		return Live, Linked
	default:
		return Live, Leased
	}
}

func (v *View) silentState(now time.Time, n *node) (State, Reason) {
	last := n.firstHeard
	for _, t := range []time.Time{n.lastHeard, n.leaseSeen} {
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

// Alive reports whether a node's process works, leaving or not.
func (v *View) Alive(now time.Time, name string) bool {
	s, _ := v.State(now, name)
	return s == Live || s == Leaving
}

// SilentFor returns how long ago a node was last heard on a link. For a node
// that was never heard it returns the longest duration.
func (v *View) SilentFor(now time.Time, name string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if name == v.options.Self {
		return 0
	}
	n, ok := v.nodes[name]
	if !ok || n.lastHeard.IsZero() {
		return math.MaxInt64
	}
	return max(0, now.Sub(n.lastHeard))
}

// Leaving reports whether a node gets no new work because it announced this or
// the host list says so.
func (v *View) Leaving(now time.Time, name string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if n, ok := v.nodes[name]; ok && (n.record.Leaving || n.exited != 0 && n.exited >= n.record.Incarnation) {
		return true
	}
	return v.listedState(now, name) != ""
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

// Nodes returns the known nodes in one of the states, sorted by name.
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

// NoteRefusal records that an endpoint refused work because it is leaving.
// observed says whether this node received the refusal itself. It reports
// whether the refusal is new.
func (v *View) NoteRefusal(now time.Time, endpoint string, observed bool) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.refused[endpoint]
	v.refused[endpoint] = refusal{at: now, observed: observed}
	return !within(now, old.at, v.options.RefusalTimeout)
}

// ClearRefusal records that an endpoint accepts work again.
func (v *View) ClearRefusal(endpoint string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.refused, endpoint)
}

// OwnRefusals returns the endpoints whose refusal this node received itself
// and that has not expired, sorted by name.
func (v *View) OwnRefusals(now time.Time) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var names []string
	for name, r := range v.refused {
		if r.observed && within(now, r.at, v.options.RefusalTimeout) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// Departing returns every name that gets no new work because of the host list
// or a refusal.
func (v *View) Departing(now time.Time) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	found := map[string]bool{}
	for name, r := range v.refused {
		if within(now, r.at, v.options.RefusalTimeout) {
			found[name] = true
		}
	}
	for reader, notLive := range v.hostLists {
		if v.recentlySeen(now, reader) {
			for name := range notLive {
				found[name] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// Elect returns at most bound of the names, by rendezvous hashing with a
// topic. All nodes with the same names choose the same, and a name that is
// added or removed changes at most one of the chosen names.
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
