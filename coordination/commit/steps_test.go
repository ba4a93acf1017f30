package commit_test

import (
	"fmt"

	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/coordination/hold"
)

func (m *model) append() {
	o := m.pickOwner(true)
	if o == nil || !o.writer.Ready() {
		return
	}
	for more := m.draw(3, "fragments"); more >= 0; more-- {
		m.serial++
		o.writer.Add(m.now, fmt.Append(nil, m.serial), more > 0)
	}
}

func (m *model) sendBatches() {
	o := m.pickOwner(true)
	if o == nil {
		return
	}
	for _, b := range o.writer.Due(m.now, m.draw(2, "throttled") == 1) {
		for _, s := range o.writer.Standbys() {
			m.messages = append(m.messages, message{from: o, to: s, batch: b, firstUnstored: o.writer.FirstUnstored()})
		}
	}
}

// deliver delivers a message drawn at random, so that messages are reordered.
func (m *model) deliver() {
	if len(m.messages) == 0 {
		return
	}
	i := m.draw(len(m.messages), "message")
	n := m.messages[i]
	m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
	if n.ack {
		if !n.from.dead {
			n.from.writer.Acked(n.to, n.batch.Number)
		}
		return
	}
	log := m.logs[n.to]
	if log == nil {
		return
	}
	if log.Hold(n.batch, n.firstUnstored) {
		n.ack = true
		m.messages = append(m.messages, n)
	} else {
		n.from.dead = true
	}
}

func (m *model) dropMessage() {
	if len(m.messages) > 0 && m.draw(2, "lose") == 0 {
		i := m.draw(len(m.messages), "message")
		m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
	}
}

func (m *model) duplicateMessage() {
	if len(m.messages) > 0 {
		m.messages = append(m.messages, m.messages[m.draw(len(m.messages), "message")])
	}
}

// writeSlot writes an owner's next slot. The store's reply may be lost.
func (m *model) writeSlot() {
	o := m.pickOwner(true)
	if o == nil || m.storeDown {
		return
	}
	if o.unconfirmed == nil || m.disabled == freeze {
		group := o.writer.Group(1 << 20)
		if len(group) == 0 {
			return
		}
		o.unconfirmed = &slotValue{epoch: o.epoch, batches: append([]hold.Batch(nil), group...)}
	}
	v := *o.unconfirmed
	stored := m.create(o.slot, v)
	if m.draw(3, "answer lost") == 0 {
		return
	}
	if !stored && !m.store[o.slot].equal(v) {
		if o.epoch == m.claim.Epoch {
			m.violated = fmt.Errorf("epoch %d was deposed by its own lost answer", o.epoch)
		}
		o.dead = true
		return
	}
	o.unconfirmed = nil
	o.slot++
	o.writer.Stored(v.batches[len(v.batches)-1].Number)
}

// beginStandbyChange begins to replace an owner's standbys.
func (m *model) beginStandbyChange() {
	o := m.pickOwner(true)
	if o == nil || o.newStandbys != nil {
		return
	}
	var fresh []claim.Standby
	skip := m.draw(len(nodes), "left out")
	for i, n := range nodes {
		if i != skip {
			fresh = append(fresh, m.standby(n))
		}
	}
	if !o.writer.BeginStandbyChange(fresh) {
		return
	}
	o.newStandbys = fresh
	if m.disabled == joint {
		o.writer.EndStandbyChange(fresh)
	}
}

// endStandbyChange writes the new standbys to the claim unless a newer epoch
// exists.
func (m *model) endStandbyChange() {
	o := m.pickOwner(true)
	if o == nil || o.newStandbys == nil || m.storeDown {
		return
	}
	if m.claim.Epoch != o.epoch {
		o.dead = true
		return
	}
	m.claim.Standbys = o.newStandbys
	if m.draw(3, "answer lost") == 0 {
		return
	}
	o.writer.EndStandbyChange(o.newStandbys)
	o.newStandbys = nil
}

// toggleOutage begins or ends an outage of the store.
func (m *model) toggleOutage() { m.storeDown = !m.storeDown }

// restartStandby restarts a standby, which loses its memory. The protocol
// survives one such loss, so a run has at most one.
func (m *model) restartStandby() {
	if m.crashes > 0 || m.draw(2, "crash") > 0 {
		return
	}
	m.crashes++
	n := nodes[m.draw(len(nodes), "node")]
	delete(m.logs, m.standby(n))
	m.boots[n]++
	m.logs[m.standby(n)] = hold.New()
}

// killOwner ends an owner's process.
func (m *model) killOwner() {
	if o := m.pickOwner(true); o != nil && m.draw(4, "die") == 0 {
		o.dead = true
	}
}

// verify ends a run with one more takeover that reaches enough standbys, and
// returns the guarantee that was violated.
func (m *model) verify() error {
	if m.violated != nil {
		return m.violated
	}
	m.owners, m.storeDown = nil, false
	m.takeover()
	o := m.owners[0]
	for !m.hasSealQuorum(o) && len(o.round.Unanswered()) > 0 {
		m.sealOne()
	}
	if m.disabled == none && !m.hasSealQuorum(o) {
		return fmt.Errorf("the last takeover cannot end")
	}
	m.disabled = quorum
	m.open()
	found := map[string]int{}
	epoch, number := uint64(0), uint64(0)
	for _, v := range m.store {
		for _, b := range v.batches {
			if b.Epoch < epoch || b.Number != number+1 {
				return fmt.Errorf("batch %d/%d after %d/%d", b.Epoch, b.Number, epoch, number)
			}
			epoch, number = b.Epoch, b.Number
			found[fmt.Sprintf("%d/%d", b.Epoch, b.Number)]++
		}
	}
	for _, a := range m.acknowledged {
		if found[a] != 1 {
			return fmt.Errorf("batch %s was acknowledged and is %d times in the journal", a, found[a])
		}
	}
	return nil
}
