// Package heard (coordination layer) decides which vaults a gate asks about the use of quotas.
// Load pattern: a vault that is cut off from a part of the gates, that gates connect to one after
// the other, or that has lost its disk, knows a part of what passed, and others know all of it.
package heard

import (
	"cmp"
	"slices"
	"time"
)

const (
	// knowingPart is the least part of the gates heard by the best vault that a vault must hear to
	// be asked. It is below one, as gates that restart are missing at some vaults for a moment.
	knowingPart = 0.9
	// answerAge is how long an answer counts. Gates report at least three times a second.
	answerAge = time.Second
	// decidingAge replaces answerAge for the majority that a question needs. Until a cut is noticed
	// both sides of it use the whole quota, and a gate reports a customer that it asks about ten times
	// a second.
	decidingAge = 500 * time.Millisecond
)

// Heard holds what vaults last said of themselves when they answered this gate's reports.
type Heard struct{ answers map[string]answer }

// answer is what one vault said.
type answer struct {
	// gates is how many gates the vault hears, 0 if it did not say.
	gates int
	// settled says that the vault knows what passed before it started.
	settled bool
	at      time.Time
	// lost says that the vault has left a report unanswered since.
	lost bool
}

// New returns a Heard of a gate that no vault has answered.
func New() *Heard { return &Heard{answers: map[string]answer{}} }

// Answer notes that a vault answered a report, and how many gates it hears. Vaults of earlier
// builds may not say it, which is 0; they are asked last.
func (h *Heard) Answer(now time.Time, vault string, gates int, settled bool) {
	h.answers[vault] = answer{gates: gates, settled: settled, at: now}
}

// Lose notes that a vault did not answer a report. Views come from another one, but questions still
// go to it while it has answered lately: where gates ask different vaults, these do not know what
// the others let pass.
func (h *Heard) Lose(vault string) {
	if a, ok := h.answers[vault]; ok {
		a.lost = true
		h.answers[vault] = a
	}
}

// Forget notes that a vault may have restarted.
func (h *Heard) Forget(vault string) {
	if a, ok := h.answers[vault]; ok {
		a.gates = 0
		h.answers[vault] = a
	}
}

// Quorum reports whether a number of the vaults have answered lately, also if they may have restarted
// since.
func (h *Heard) Quorum(now time.Time, vaults []string, quorum int) bool {
	return h.answering(now, vaults, answerAge) >= quorum
}

func (h *Heard) answering(now time.Time, vaults []string, age time.Duration) int {
	n := 0
	for _, v := range vaults {
		if a, ok := h.answers[v]; ok && now.Sub(a.at) <= age {
			n++
		}
	}
	return n
}

// Deciding returns the vaults that may be asked for requests, in the given order: the connected ones
// that know enough, and none unless a quorum of all vaults has just answered.
func (h *Heard) Deciding(now time.Time, all []string, quorum int, connected []string) []string {
	if h.answering(now, all, decidingAge) < quorum {
		return nil
	}
	return h.Knowing(now, connected)
}

// Knowing returns those of the vaults that know enough, in the given order.
func (h *Heard) Knowing(now time.Time, vaults []string) []string {
	most := 0
	for _, v := range vaults {
		if a := h.answers[v]; a.knows(now) {
			most = max(most, a.gates)
		}
	}
	var all []string
	for _, v := range vaults {
		if a := h.answers[v]; a.knows(now) && float64(a.gates) >= knowingPart*float64(most) {
			all = append(all, v)
		}
	}
	return all
}

// Order returns the vaults in the given order, those that know enough and answered the last report
// first.
func (h *Heard) Order(now time.Time, vaults []string) []string {
	knowing := h.Knowing(now, vaults)
	rank := func(vault string) int {
		switch {
		case !slices.Contains(knowing, vault):
			return 2
		case h.answers[vault].lost:
			return 1
		}
		return 0
	}
	all := slices.Clone(vaults)
	slices.SortStableFunc(all, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return all
}

// knows reports whether the vault knows of all that the gates passed that it hears.
func (a answer) knows(now time.Time) bool {
	return a.gates > 0 && a.settled && now.Sub(a.at) <= answerAge
}
