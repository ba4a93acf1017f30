package commit_test

import (
	"fmt"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/coordination/commit"
	"github.com/cowslipstage/cowslipstage/coordination/hold"
	"github.com/cowslipstage/cowslipstage/coordination/seal"
)

// guard names a rule of the protocol that a run of the model may leave out.
type guard string

const (
	none   guard = ""
	swap   guard = "the store's compare-and-swap on a slot"
	refuse guard = "a sealed standby refuses older epochs"
	quorum guard = "a successor seals enough standbys"
	retain guard = "a new claim keeps the old standbys until the journal is sealed"
	joint  guard = "a batch needs both lists while standbys change"
	newest guard = "only batches of the last epoch are taken from standbys"
	boot   guard = "a restarted standby is not its former self"
	freeze guard = "a value sent to the store is sent again unchanged"
)

var guards = []guard{swap, refuse, quorum, retain, joint, newest, boot, freeze}

// value is one slot of the model's store.
type value struct {
	epoch   uint64
	batches []hold.Batch
}

func (v value) equal(w value) bool { return fmt.Sprint(v) == fmt.Sprint(w) }

// owner is one process that owns or owned the shard. It goes on for as long
// as it does not know that it is deposed.
type owner struct {
	epoch  uint64
	writer *commit.Writer
	// slot is the next slot; frozen is what was sent there.
	slot   int
	frozen *value
	// round is nil once the journal is open.
	round   *seal.Round
	changed []claim.Standby
	dead    bool
	safe    uint64
}

// note is a message on its way: a hold or its acknowledgement.
type note struct {
	from  *owner
	to    claim.Standby
	batch hold.Batch
	below uint64
	ack   bool
}

// model is the platform's store, the standbys and the owners.
type model struct {
	without guard
	draw    func(n int, label string) int
	now     time.Time
	store   []value
	claim   claim.Claim
	owners  []*owner
	notes   []note
	logs    map[claim.Standby]*hold.Log
	boots   map[string]int
	crashes int
	// down tells whether the store answers nobody.
	down   bool
	serial int
	// acknowledged is what some owner told its callers is safe.
	acknowledged []string
	// fault is a promise that was broken on the way.
	fault error
}

var nodes = []string{"w", "x", "y", "z"}

func newModel(without guard, draw func(int, string) int) *model {
	m := &model{
		without: without, draw: draw, now: time.Unix(1000, 0),
		logs: map[claim.Standby]*hold.Log{}, boots: map[string]int{},
	}
	for _, n := range nodes {
		m.logs[m.standby(n)] = hold.New()
	}
	m.claim.Standbys = []claim.Standby{m.standby("x"), m.standby("y"), m.standby("z")}
	return m
}

func (m *model) standby(node string) claim.Standby {
	return claim.Standby{Node: node, Boot: fmt.Sprint(m.boots[node])}
}

// actions are the steps of a run; each does nothing when it cannot happen.
func (m *model) actions() []func() {
	return []func(){
		m.takeover, m.sealOne, m.open, m.append, m.append, m.hold, m.hold,
		m.deliver, m.deliver, m.deliver, m.lose, m.repeat, m.put, m.change, m.changed, m.crash, m.die, m.outage,
	}
}

func (m *model) step() {
	all := m.actions()
	all[m.draw(len(all), "action")]()
	m.now = m.now.Add(time.Second)
	m.note()
}

// note collects what the owners have told their callers.
func (m *model) note() {
	for _, o := range m.owners {
		if o.dead || o.round != nil {
			continue
		}
		for safe := o.writer.Safe(); o.safe < safe; o.safe++ {
			m.acknowledged = append(m.acknowledged, fmt.Sprintf("%d/%d", o.epoch, o.safe+1))
		}
	}
}

// pick draws a living owner that is open, or opening.
func (m *model) pick(open bool) *owner {
	var some []*owner
	for _, o := range m.owners {
		if !o.dead && (o.round == nil) == open {
			some = append(some, o)
		}
	}
	if len(some) == 0 {
		return nil
	}
	return some[m.draw(len(some), "owner")]
}

func (m *model) takeover() {
	if m.down || len(m.owners) > 0 && m.draw(3, "patience") > 0 {
		return
	}
	m.claim.Epoch++
	round := seal.New(m.claim.Standbys)
	o := &owner{epoch: m.claim.Epoch, round: round}
	if m.without == retain {
		m.claim.Standbys = []claim.Standby{m.standby("w")}
	}
	m.owners = append(m.owners, o)
}

func (m *model) sealOne() {
	o := m.pick(false)
	if o == nil {
		return
	}
	missing := o.round.Unanswered()
	if len(missing) == 0 {
		return
	}
	s := missing[m.draw(len(missing), "standby")]
	log, ok := m.logs[s]
	if !ok && m.without == boot {
		log, ok = m.logs[m.standby(s.Node)], true
	}
	if !ok {
		o.round.MarkLost(s)
		return
	}
	if !log.Seal(o.epoch) {
		o.dead = true
		return
	}
	batches, _ := log.After(0, 1<<20)
	o.round.AddBatches(s, batches, false)
	if m.without == refuse {
		m.logs[s] = hold.New()
		for _, b := range batches {
			m.logs[s].Hold(b, 0)
		}
	}
}

func (m *model) enough(o *owner) bool {
	if m.without == quorum {
		return len(o.round.Unanswered()) < max(1, len(m.claim.Standbys))
	}
	return o.round.State() == seal.QuorumReached
}

// open seals the store's journal after what the standbys hold beyond its end.
func (m *model) open() {
	o := m.pick(false)
	if o == nil || m.down || !m.enough(o) {
		return
	}
	last, epoch := uint64(0), uint64(0)
	for _, v := range m.store {
		if v.epoch > o.epoch {
			o.dead = true
			return
		}
		for _, b := range v.batches {
			last, epoch = b.Number, b.Epoch
		}
	}
	beyond := o.round.BatchesAfter(last, epoch)
	if m.without == newest {
		beyond = m.anyEpoch(o, last)
	}
	if len(beyond) > 0 {
		last = beyond[len(beyond)-1].Number
	}
	v := value{epoch: o.epoch, batches: append(beyond, hold.Batch{Number: last + 1, Epoch: o.epoch})}
	m.store = append(m.store, v)
	o.round, o.slot, o.safe = nil, len(m.store), last+1
	options := commit.Options{StandbyDelay: time.Second, ResendAfter: time.Second, MaxPendingBytes: 1 << 20}
	o.writer = commit.New(options, o.epoch, last+2, m.claim.Standbys)
}

// anyEpoch is what a round gives when epochs are not looked at.
func (m *model) anyEpoch(o *owner, last uint64) []hold.Batch {
	for epoch := uint64(1); epoch < o.epoch; epoch++ {
		if b := o.round.BatchesAfter(last, epoch); len(b) > 0 {
			return b
		}
	}
	return nil
}

// create writes a slot if it is free.
func (m *model) create(slot int, v value) bool {
	switch {
	case slot == len(m.store):
		m.store = append(m.store, v)
		return true
	case m.without == swap:
		m.store[slot] = v
		return true
	default:
		return false
	}
}
