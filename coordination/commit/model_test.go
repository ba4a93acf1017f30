package commit_test

import (
	"fmt"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/coordination/commit"
	"github.com/cowslipstage/cowslipstage/coordination/hold"
	"github.com/cowslipstage/cowslipstage/coordination/seal"
)

// guard names a rule of the protocol that a run of the model may disable.
type guard string

const (
	none   guard = ""
	swap   guard = "the store's compare-and-swap on a slot"
	refuse guard = "a sealed standby refuses older epochs"
	quorum guard = "a successor seals enough standbys"
	retain guard = "a new claim keeps the old standbys until the journal is sealed"
	joint  guard = "a batch needs both lists while standbys change"
	newest guard = "only batches of the last epoch are taken from standbys"
	boot   guard = "a restarted standby has another identity"
	freeze guard = "a value sent to the store is sent again unchanged"
)

var guards = []guard{swap, refuse, quorum, retain, joint, newest, boot, freeze}

// slotValue is the value of one slot in the model's store.
type slotValue struct {
	epoch   uint64
	batches []hold.Batch
}

func (v slotValue) equal(w slotValue) bool { return fmt.Sprint(v) == fmt.Sprint(w) }

// owner is one process that owns or owned the shard. It continues until it
// learns that it was deposed.
type owner struct {
	epoch  uint64
	writer *commit.Writer
	// slot is the next slot, unconfirmed the value that was sent for it.
	slot        int
	unconfirmed *slotValue
	// round is nil once the journal is open.
	round       *seal.Round
	newStandbys []claim.Standby
	dead        bool
	reported    uint64
}

// message is a batch on its way to a standby, or its acknowledgement.
type message struct {
	from          *owner
	to            claim.Standby
	batch         hold.Batch
	firstUnstored uint64
	ack           bool
}

// model holds the platform's store, the standbys and the owners.
type model struct {
	disabled guard
	draw     func(n int, label string) int
	now      time.Time
	store    []slotValue
	claim    claim.Claim
	owners   []*owner
	messages []message
	logs     map[claim.Standby]*hold.Log
	boots    map[string]int
	crashes  int
	// storeDown reports whether the store is in an outage.
	storeDown bool
	serial    int
	// acknowledged lists the batches that an owner reported to its callers as
	// safe.
	acknowledged []string
	// violated is a guarantee that was violated during the run.
	violated error
}

var nodes = []string{"w", "x", "y", "z"}

func newModel(disabled guard, draw func(int, string) int) *model {
	m := &model{
		disabled: disabled, draw: draw, now: time.Unix(1000, 0),
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

// actions returns the steps of a run. A step does nothing if it is not
// possible.
func (m *model) actions() []func() {
	return []func(){
		m.takeover, m.sealOne, m.open, m.append, m.append, m.sendBatches, m.sendBatches,
		m.deliver, m.deliver, m.deliver, m.dropMessage, m.duplicateMessage, m.writeSlot, m.beginStandbyChange, m.endStandbyChange, m.restartStandby, m.killOwner, m.toggleOutage,
	}
}

func (m *model) step() {
	all := m.actions()
	all[m.draw(len(all), "action")]()
	m.now = m.now.Add(time.Second)
	m.recordAcknowledged()
}

// recordAcknowledged records the batches that owners have reported to their
// callers.
func (m *model) recordAcknowledged() {
	for _, o := range m.owners {
		if o.dead || o.round != nil {
			continue
		}
		for safe := o.writer.Safe(); o.reported < safe; o.reported++ {
			m.acknowledged = append(m.acknowledged, fmt.Sprintf("%d/%d", o.epoch, o.reported+1))
		}
	}
}

// pickOwner draws a running owner whose journal is open, or one that is still
// opening it.
func (m *model) pickOwner(open bool) *owner {
	var candidates []*owner
	for _, o := range m.owners {
		if !o.dead && (o.round == nil) == open {
			candidates = append(candidates, o)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[m.draw(len(candidates), "owner")]
}

func (m *model) takeover() {
	if m.storeDown || len(m.owners) > 0 && m.draw(3, "patience") > 0 {
		return
	}
	m.claim.Epoch++
	round := seal.New(m.claim.Standbys)
	o := &owner{epoch: m.claim.Epoch, round: round}
	if m.disabled == retain {
		m.claim.Standbys = []claim.Standby{m.standby("w")}
	}
	m.owners = append(m.owners, o)
}

func (m *model) sealOne() {
	o := m.pickOwner(false)
	if o == nil {
		return
	}
	missing := o.round.Unanswered()
	if len(missing) == 0 {
		return
	}
	s := missing[m.draw(len(missing), "standby")]
	log, ok := m.logs[s]
	if !ok && m.disabled == boot {
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
	if m.disabled == refuse {
		m.logs[s] = hold.New()
		for _, b := range batches {
			m.logs[s].Hold(b, 0)
		}
	}
}

func (m *model) hasSealQuorum(o *owner) bool {
	if m.disabled == quorum {
		return len(o.round.Unanswered()) < max(1, len(m.claim.Standbys))
	}
	return o.round.State() == seal.QuorumReached
}

// open appends the batches that the standbys hold beyond the journal's end,
// and then a batch of the new epoch, which seals the journal in the store.
func (m *model) open() {
	o := m.pickOwner(false)
	if o == nil || m.storeDown || !m.hasSealQuorum(o) {
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
	if m.disabled == newest {
		beyond = m.anyEpoch(o, last)
	}
	if len(beyond) > 0 {
		last = beyond[len(beyond)-1].Number
	}
	v := slotValue{epoch: o.epoch, batches: append(beyond, hold.Batch{Number: last + 1, Epoch: o.epoch})}
	m.store = append(m.store, v)
	o.round, o.slot, o.reported = nil, len(m.store), last+1
	options := commit.Options{StandbyDelay: time.Second, ResendAfter: time.Second, MaxPendingBytes: 1 << 20}
	o.writer = commit.New(options, o.epoch, last+2, m.claim.Standbys)
}

// anyEpoch returns the round's batches regardless of their epoch.
func (m *model) anyEpoch(o *owner, last uint64) []hold.Batch {
	for epoch := uint64(1); epoch < o.epoch; epoch++ {
		if b := o.round.BatchesAfter(last, epoch); len(b) > 0 {
			return b
		}
	}
	return nil
}

// create writes a slot if it is free.
func (m *model) create(slot int, v slotValue) bool {
	switch {
	case slot == len(m.store):
		m.store = append(m.store, v)
		return true
	case m.disabled == swap:
		m.store[slot] = v
		return true
	default:
		return false
	}
}
