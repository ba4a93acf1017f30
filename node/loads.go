package node

import (
	"context"
	"maps"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/core"
	"github.com/cowslipstage/cowslipstage/coordination/member"
	"github.com/cowslipstage/cowslipstage/protocol/frame"
	"github.com/cowslipstage/cowslipstage/state/load"
)

// shares is what nodes tell each other of the endpoints' load. It is safe for
// concurrent use.
type shares struct {
	mu sync.Mutex
	// flights holds the endpoint of each of the node's dispatches.
	flights map[uint64]string
	// sent counts flights by endpoint; changed marks those not shown yet.
	sent    map[string]int
	changed map[string]bool
	// reports are those not shown yet; shown are the last that were, with when.
	reports map[string]load.Report
	shown   map[string]shown
	// others holds what each other node has in flight, by endpoint.
	others map[string]map[string]int
}

// shown is a report that the other nodes have.
type shown struct {
	report load.Report
	at     time.Time
}

func newShares() *shares {
	return &shares{
		flights: map[uint64]string{}, sent: map[string]int{}, changed: map[string]bool{},
		reports: map[string]load.Report{}, shown: map[string]shown{}, others: map[string]map[string]int{},
	}
}

func (s *shares) begin(flight uint64, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flights[flight] = endpoint
	s.sent[endpoint]++
	s.changed[endpoint] = true
}

func (s *shares) end(flight uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	endpoint, ok := s.flights[flight]
	if !ok {
		return
	}
	delete(s.flights, flight)
	s.changed[endpoint] = true
	if s.sent[endpoint]--; s.sent[endpoint] == 0 {
		delete(s.sent, endpoint)
	}
}

// repeat is how often a report is shown again though nothing has changed.
const repeat = 2 * time.Second

// report notes an endpoint's report for the next round.
func (s *shares) report(now time.Time, endpoint string, r load.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.shown[endpoint]
	same := old.report
	same.MeasuredAt = r.MeasuredAt
	if now.Sub(old.at) < repeat && reflect.DeepEqual(same, r) {
		return
	}
	s.reports[endpoint] = r
}

// take returns what has changed since it was last called.
func (s *shares) take(now time.Time) (map[string]int, map[string]frame.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := make(map[string]int, len(s.changed))
	for endpoint := range s.changed {
		sent[endpoint] = s.sent[endpoint]
	}
	loads := make(map[string]frame.Load, len(s.reports))
	for endpoint, r := range s.reports {
		loads[endpoint] = frame.NewLoad(r)
		s.shown[endpoint] = shown{report: r, at: now}
	}
	clear(s.changed)
	clear(s.reports)
	return sent, loads
}

// all returns the node's dispatches in flight, by endpoint.
func (s *shares) all() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.sent)
}

// hear takes over what another node has in flight and returns all of it.
func (s *shares) hear(node string, sent map[string]int, whole bool) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.others[node]
	if known == nil || whole {
		known = map[string]int{}
		s.others[node] = known
	}
	maps.Copy(known, sent)
	all := maps.Clone(known)
	maps.DeleteFunc(known, func(_ string, calls int) bool { return calls == 0 })
	return all
}

// pollCost is what one read of an endpoint's load costs, in bytes.
const pollCost = 512

// poll reads the load of the endpoints that fall to this node, and shares it.
func (n *Node) poll(ctx context.Context) {
	var key string
	var mine []string
	var quiet time.Time
	every(ctx, n.settings.Policy.LoadInterval, func() {
		now := time.Now()
		if now.Before(quiet) {
			return
		}
		owners := n.linkedOwners(now)
		c := n.current()
		if k := strconv.FormatUint(c.Revision, 10) + " " + strings.Join(owners, " "); k != key {
			key, mine = k, mine[:0]
			for name := range c.Endpoints {
				if reader := member.Elect("load/"+name, owners, 1); len(reader) == 0 || reader[0] == n.settings.Node.Name {
					mine = append(mine, name)
				}
			}
		}
		for _, name := range mine {
			n.wait.Go(func() { n.read(ctx, name, c.Endpoints[name].Addr) })
		}
		if n.large() {
			quiet = now.Add(time.Duration(len(mine)*pollCost) * time.Second / time.Duration(n.budget()))
		}
	})
}

// large tells whether there are more nodes than may own shards, so that what
// a node spends on control is bounded.
func (n *Node) large() bool {
	bound := n.settings.Shards.MaxOwners
	return bound > 0 && len(n.links.Live()) >= bound
}

// read reads one endpoint's load. That it refuses work as leaving is shown to
// the other nodes at once.
func (n *Node) read(ctx context.Context, name, addr string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := n.dialer.Load(ctx, addr)
	if err != nil {
		return
	}
	now := time.Now()
	n.emit(core.LoadReported{Endpoint: name, Report: r})
	n.shares.report(now, name, r)
	switch {
	case !r.Leaving:
		n.view.ClearRefusal(name)
	case n.view.NoteRefusal(now, name, true):
		n.log.Info().Str("endpoint", name).Msg("the endpoint refuses new work as leaving")
		n.depart(now)
		n.announce()
	}
}
