// Package snap (state layer) decides which records of a shard a snapshot keeps, and in
// which segments.
package snap

import (
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// Retention is how long data of ended programs is kept.
type Retention struct {
	// Answers is how long the answers of an ended program can be fetched by key.
	Answers time.Duration
	// Keys is how long the keys of non-idempotent calls are remembered; it is
	// never shorter than Answers.
	Keys time.Duration
}

// Snap tracks the programs and segments of a shard's snapshot, without the records
// themselves.
type Snap struct {
	retention Retention
	// programs holds the programs with a record in the snapshot.
	programs map[string]*program
	// segments holds the size of each program in bytes, by segment id.
	segments map[string]map[string]int
}

// program is the lifecycle of one program.
type program struct {
	// ended is zero while the program runs.
	ended time.Time
	swept bool
	// nonIdempotent holds the keys of the program's non-idempotent calls.
	nonIdempotent map[string]bool
}

// New returns the state of an empty snapshot.
func New(r Retention) *Snap {
	return &Snap{retention: r, programs: map[string]*program{}, segments: map[string]map[string]int{}}
}

// Observe updates the programs from records that are, or are about to be, in the snapshot.
func (s *Snap) Observe(records []record.Record) {
	for i := range records {
		r := &records[i]
		programID := r.QualifiedProgram()
		if programID == "" {
			continue
		}
		p, ok := s.programs[programID]
		if !ok {
			p = &program{nonIdempotent: map[string]bool{}}
			s.programs[programID] = p
		}
		if r.Ended != nil {
			p.ended = r.Ended.Time
		}
		if r.Intent != nil {
			p.nonIdempotent[r.Intent.Call.Key] = true
		}
		if r.Turn != nil && r.Turn.NonIdempotent {
			p.nonIdempotent[r.Turn.Call.Key] = true
		}
		p.swept = p.swept || r.Swept != nil
	}
}

// stage says how much of a program must be kept.
type stage uint8

const (
	// live programs are kept in full.
	live stage = iota
	// keysOnly programs keep only the keys of non-idempotent calls.
	keysOnly
	// forgotten programs are dropped.
	forgotten
)

func (s *Snap) stageOf(now time.Time, programID string) stage {
	p := s.programs[programID]
	switch {
	case p == nil || p.ended.IsZero() || now.Sub(p.ended) < s.retention.Answers:
		return live
	case !p.swept || now.Sub(p.ended) < s.retention.Keys:
		return keysOnly
	default:
		return forgotten
	}
}

// Compact returns, in order, the records that a segment made of these must keep. All
// records of their programs must have been observed before.
func (s *Snap) Compact(now time.Time, records []record.Record) []record.Record {
	settled := lastTurns(records)
	superseded := supersededGrants(records)
	var kept []record.Record
	for i, r := range records {
		keep := s.stageOf(now, r.QualifiedProgram())
		switch {
		case keep == forgotten, r.Grant != nil && (superseded[i] || keep == keysOnly):
			continue
		case r.Intent != nil && settled[callID{r.QualifiedProgram(), r.Intent.Call.Key}] > i:
			continue
		case r.Turn != nil:
			t := *r.Turn
			t.NonIdempotent = s.isNonIdempotent(r.QualifiedProgram(), t.Call.Key)
			if keep == keysOnly && !t.NonIdempotent {
				continue
			}
			if keep == keysOnly && t.Answer.Reason != expired {
				t = withoutAnswer(t)
			}
			r.Turn = &t
		}
		kept = append(kept, r)
	}
	return kept
}

// expired is the reason of answers that are no longer kept.
const expired = "expired"

// withoutAnswer returns a copy of a turn that only shows that its call was made. Done
// becomes Unknown, so that a caller does not take the empty answer for a complete one.
func withoutAnswer(t record.Turn) record.Turn {
	c := *t.Call
	c.Messages, c.Body = nil, nil
	t.Call = &c
	outcome := t.Answer.Outcome
	if outcome == answer.Done {
		outcome = answer.Unknown
	}
	t.Answer = &answer.Answer{
		Outcome: outcome, Reason: expired, Usage: t.Answer.Usage,
		Detail: "the call ended as " + string(t.Answer.Outcome) + "; its answer is no longer kept",
	}
	return t
}

// isNonIdempotent reports whether a program's call is not idempotent.
func (s *Snap) isNonIdempotent(programID, key string) bool {
	p := s.programs[programID]
	return p != nil && p.nonIdempotent[key]
}

// callID is a call's key within its program.
type callID struct{ programID, key string }

// lastTurns returns the index of each call's last turn.
func lastTurns(records []record.Record) map[callID]int {
	settled := map[callID]int{}
	for i := range records {
		if t := records[i].Turn; t != nil {
			settled[callID{records[i].QualifiedProgram(), t.Call.Key}] = i
		}
	}
	return settled
}

// supersededGrants returns the indexes of grants that a later grant replaces before a
// Forfeit.
func supersededGrants(records []record.Record) map[int]bool {
	superseded, last := map[int]bool{}, map[string]int{}
	for i := range records {
		r := &records[i]
		switch programID := r.QualifiedProgram(); {
		case r.Forfeit != nil:
			delete(last, programID)
		case r.Grant != nil:
			if j, ok := last[programID]; ok {
				superseded[j] = true
			}
			last[programID] = i
		}
	}
	return superseded
}

// AddSegment records which programs a segment holds, with their sizes in bytes.
func (s *Snap) AddSegment(segment string, bytes map[string]int) { s.segments[segment] = bytes }

// DropSegment removes a segment, and the programs that no other segment holds.
func (s *Snap) DropSegment(segment string) {
	orphaned := s.segments[segment]
	delete(s.segments, segment)
	for _, rest := range s.segments {
		for programID := range rest {
			delete(orphaned, programID)
		}
	}
	for programID := range orphaned {
		delete(s.programs, programID)
	}
}

// DeadBytes returns how many bytes of a segment a rewrite would drop, and the segment's
// size.
func (s *Snap) DeadBytes(now time.Time, segment string) (dead, all int) {
	for programID, n := range s.segments[segment] {
		all += n
		if programID != "" && s.stageOf(now, programID) != live {
			dead += n
		}
	}
	return dead, all
}
