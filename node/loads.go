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

// loadTable holds the load of endpoints that nodes report to each other. It is
// safe for concurrent use.
type loadTable struct {
	mu sync.Mutex
	// attempts holds the endpoint of each attempt of this node in progress.
	attempts map[uint64]string
	// inFlight counts attempts by endpoint. changed marks the counts not yet
	// sent to other nodes.
	inFlight map[string]int
	changed  map[string]bool
	// pendingReports are not yet sent to other nodes. sentReports are the last
	// ones sent.
	pendingReports map[string]load.Report
	sentReports    map[string]sentReport
	// peers holds each other node's attempts in progress, by endpoint.
	peers map[string]map[string]int
}

// sentReport is the last report about an endpoint that other nodes were sent,
// and when.
type sentReport struct {
	report load.Report
	at     time.Time
}

func newLoadTable() *loadTable {
	return &loadTable{
		attempts: map[uint64]string{}, inFlight: map[string]int{}, changed: map[string]bool{},
		pendingReports: map[string]load.Report{}, sentReports: map[string]sentReport{}, peers: map[string]map[string]int{},
	}
}

func (t *loadTable) beginAttempt(attempt uint64, endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts[attempt] = endpoint
	t.inFlight[endpoint]++
	t.changed[endpoint] = true
}

// endAttempt notes that an attempt has ended and returns its endpoint, "" if it is not known.
func (t *loadTable) endAttempt(attempt uint64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	endpoint, ok := t.attempts[attempt]
	if !ok {
		return ""
	}
	delete(t.attempts, attempt)
	t.changed[endpoint] = true
	if t.inFlight[endpoint]--; t.inFlight[endpoint] == 0 {
		delete(t.inFlight, endpoint)
	}
	return endpoint
}

// reportRepeatInterval is how often an unchanged report is sent again.
const reportRepeatInterval = 2 * time.Second

// addReport queues an endpoint's report for the next round unless the same was
// sent recently.
func (t *loadTable) addReport(now time.Time, endpoint string, r load.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.sentReports[endpoint]
	same := old.report
	same.MeasuredAt = r.MeasuredAt
	if now.Sub(old.at) < reportRepeatInterval && reflect.DeepEqual(same, r) {
		return
	}
	t.pendingReports[endpoint] = r
}

// takeChanges returns and clears the counts and reports not yet sent to other
// nodes.
func (t *loadTable) takeChanges(now time.Time) (map[string]int, map[string]frame.Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := make(map[string]int, len(t.changed))
	for endpoint := range t.changed {
		sent[endpoint] = t.inFlight[endpoint]
	}
	loads := make(map[string]frame.Load, len(t.pendingReports))
	for endpoint, r := range t.pendingReports {
		loads[endpoint] = frame.NewLoad(r)
		t.sentReports[endpoint] = sentReport{report: r, at: now}
	}
	clear(t.changed)
	clear(t.pendingReports)
	return sent, loads
}

// allInFlight returns the number of this node's attempts in progress, by endpoint.
func (t *loadTable) allInFlight() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.inFlight)
}

// mergePeer merges the counts that a peer sent into the known ones and returns
// them all. If complete is set, the sent counts replace the known ones. Counts
// of 0 are returned once and then dropped.
func (t *loadTable) mergePeer(node string, sent map[string]int, complete bool) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.peers[node]
	if known == nil || complete {
		known = map[string]int{}
		t.peers[node] = known
	}
	maps.Copy(known, sent)
	all := maps.Clone(known)
	maps.DeleteFunc(known, func(_ string, calls int) bool { return calls == 0 })
	return all
}

// pollCostBytes is the size of one read of an endpoint's load, in bytes.
const pollCostBytes = 512

// pollLoads reads the load of the endpoints assigned to this node and shares
// it.
func (n *Node) pollLoads(ctx context.Context) {
	var assignment string
	var assigned []string
	var nextPoll time.Time
	every(ctx, n.settings.Policy.LoadInterval, func() {
		now := time.Now()
		if now.Before(nextPoll) {
			return
		}
		owners := n.linkedOwners(now)
		c := n.currentConfig()
		if k := strconv.FormatUint(c.Revision, 10) + " " + strings.Join(owners, " "); k != assignment {
			assignment, assigned = k, assigned[:0]
			for name := range c.Endpoints {
				if reader := member.Elect("load/"+name, owners, 1); len(reader) == 0 || reader[0] == n.settings.Node.Name {
					assigned = append(assigned, name)
				}
			}
		}
		for _, name := range assigned {
			n.wait.Go(func() { n.readLoad(ctx, name, c.Endpoints[name].Addr) })
		}
		if n.isLargeFleet() {
			nextPoll = now.Add(time.Duration(len(assigned)*pollCostBytes) * time.Second / time.Duration(n.gossipBudget()))
		}
	})
}

// isLargeFleet reports whether there are more nodes than may own shards. A
// node's control traffic is then bounded.
func (n *Node) isLargeFleet() bool {
	bound := n.settings.Shards.MaxOwners
	return bound > 0 && len(n.links.Connected()) >= bound
}

// readLoad reads one endpoint's load. If the endpoint refuses new work because
// it is leaving, the node announces that immediately.
func (n *Node) readLoad(ctx context.Context, name, addr string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := n.dialer.FetchLoad(ctx, addr)
	if err != nil {
		return
	}
	now := time.Now()
	n.emit(core.LoadReported{Endpoint: name, Report: r})
	n.loads.addReport(now, name, r)
	switch {
	case !r.Leaving:
		n.view.ClearRefusal(name)
	case n.view.NoteRefusal(now, name, true):
		n.log.Info().Str("endpoint", name).Msg("the endpoint refuses new work as leaving")
		n.updateDeparting(now)
		n.announce()
	}
}
