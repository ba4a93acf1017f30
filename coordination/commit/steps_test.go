package commit_test

import (
	"fmt"

	"github.com/cowslipstage/cowslipstage/coordination/claim"
	"github.com/cowslipstage/cowslipstage/coordination/hold"
)

func (m *model) append() {
	o := m.pick(true)
	if o == nil || !o.writer.Ready() {
		return
	}
	for more := m.draw(3, "fragments"); more >= 0; more-- {
		m.serial++
		o.writer.Add(m.now, fmt.Append(nil, m.serial), more > 0)
	}
}

func (m *model) hold() {
	o := m.pick(true)
	if o == nil {
		return
	}
	for _, b := range o.writer.Due(m.now, m.draw(2, "paced") == 1) {
		for _, s := range o.writer.Standbys() {
			m.notes = append(m.notes, note{from: o, to: s, batch: b, below: o.writer.FirstUnstored()})
		}
	}
}

// deliver takes any message, so that messages overtake each other.
func (m *model) deliver() {
	if len(m.notes) == 0 {
		return
	}
	i := m.draw(len(m.notes), "message")
	n := m.notes[i]
	m.notes = append(m.notes[:i:i], m.notes[i+1:]...)
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
	if log.Hold(n.batch, n.below) {
		n.ack = true
		m.notes = append(m.notes, n)
	} else {
		n.from.dead = true
	}
}

func (m *model) lose() {
	if len(m.notes) > 0 && m.draw(2, "lose") == 0 {
		i := m.draw(len(m.notes), "message")
		m.notes = append(m.notes[:i:i], m.notes[i+1:]...)
	}
}

func (m *model) repeat() {
	if len(m.notes) > 0 {
		m.notes = append(m.notes, m.notes[m.draw(len(m.notes), "message")])
	}
}

// put writes an owner's next slot; the answer may be lost.
func (m *model) put() {
	o := m.pick(true)
	if o == nil || m.down {
		return
	}
	if o.frozen == nil || m.without == freeze {
		group := o.writer.Group(1 << 20)
		if len(group) == 0 {
			return
		}
		o.frozen = &value{epoch: o.epoch, batches: append([]hold.Batch(nil), group...)}
	}
	v := *o.frozen
	stored := m.create(o.slot, v)
	if m.draw(3, "answer lost") == 0 {
		return
	}
	if !stored && !m.store[o.slot].equal(v) {
		if o.epoch == m.claim.Epoch {
			m.fault = fmt.Errorf("epoch %d was deposed by its own lost answer", o.epoch)
		}
		o.dead = true
		return
	}
	o.frozen = nil
	o.slot++
	o.writer.Stored(v.batches[len(v.batches)-1].Number)
}

// change begins to replace an owner's standbys.
func (m *model) change() {
	o := m.pick(true)
	if o == nil || o.changed != nil {
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
	o.changed = fresh
	if m.without == joint {
		o.writer.EndStandbyChange(fresh)
	}
}

// changed writes the new standbys to the claim, unless the epoch is past.
func (m *model) changed() {
	o := m.pick(true)
	if o == nil || o.changed == nil || m.down {
		return
	}
	if m.claim.Epoch != o.epoch {
		o.dead = true
		return
	}
	m.claim.Standbys = o.changed
	if m.draw(3, "answer lost") == 0 {
		return
	}
	o.writer.EndStandbyChange(o.changed)
	o.changed = nil
}

// outage begins or ends an outage of the store.
func (m *model) outage() { m.down = !m.down }

// crash restarts a standby without its memory; one at a time is survived.
func (m *model) crash() {
	if m.crashes > 0 || m.draw(2, "crash") > 0 {
		return
	}
	m.crashes++
	n := nodes[m.draw(len(nodes), "node")]
	delete(m.logs, m.standby(n))
	m.boots[n]++
	m.logs[m.standby(n)] = hold.New()
}

// die kills an owner.
func (m *model) die() {
	if o := m.pick(true); o != nil && m.draw(4, "die") == 0 {
		o.dead = true
	}
}

// check ends a run with one more takeover that reaches enough standbys, and says
// which promise was broken.
func (m *model) check() error {
	if m.fault != nil {
		return m.fault
	}
	m.owners, m.down = nil, false
	m.takeover()
	o := m.owners[0]
	for !m.enough(o) && len(o.round.Unanswered()) > 0 {
		m.sealOne()
	}
	if m.without == none && !m.enough(o) {
		return fmt.Errorf("the last takeover cannot end")
	}
	m.without = quorum
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
