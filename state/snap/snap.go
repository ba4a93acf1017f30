// Package snap (state layer) decides which records of a shard's past a
// snapshot keeps, and in which segments.
package snap

import (
	"time"

	"github.com/cowslipstage/cowslipstage/state/answer"
	"github.com/cowslipstage/cowslipstage/state/record"
)

// Retention is how long ended programs are remembered.
type Retention struct {
	// Answers is how long the answers of an ended program can be fetched by key.
	Answers time.Duration
	// Keys is how long the keys of non-idempotent calls are remembered; it is
	// never shorter than Answers.
	Keys time.Duration
}

// Snap is what a snapshot knows of a shard's programs, apart from the records
// themselves.
type Snap struct {
	retention Retention
	// programs are those with a record in the snapshot.
	programs map[string]*program
	// segments hold the bytes of each program, by segment id.
	segments map[string]map[string]int
}

// program is how far a program has come.
type program struct {
	// ended is zero while the program goes on.
	ended time.Time
	swept bool
	// once are the keys of its non-idempotent calls.
	once map[string]bool
}

// New returns the knowledge of an empty snapshot.
func New(r Retention) *Snap {
	return &Snap{retention: r, programs: map[string]*program{}, segments: map[string]map[string]int{}}
}

// Observe learns from records that are, or are about to be, in the snapshot.
func (s *Snap) Observe(records []record.Record) {
	for i := range records {
		r := &records[i]
		owner := r.QualifiedProgram()
		if owner == "" {
			continue
		}
		p, ok := s.programs[owner]
		if !ok {
			p = &program{once: map[string]bool{}}
			s.programs[owner] = p
		}
		if r.Ended != nil {
			p.ended = r.Ended.Time
		}
		if r.Intent != nil {
			p.once[r.Intent.Call.Key] = true
		}
		if r.Turn != nil && r.Turn.NonIdempotent {
			p.once[r.Turn.Call.Key] = true
		}
		p.swept = p.swept || r.Swept != nil
	}
}

// age is what still has to be known of a program.
type age uint8

const (
	// live programs are kept whole.
	live age = iota
	// quiet programs keep only the keys of non-idempotent calls.
	quiet
	// over programs are dropped.
	over
)

func (s *Snap) age(now time.Time, owner string) age {
	p := s.programs[owner]
	switch {
	case p == nil || p.ended.IsZero() || now.Sub(p.ended) < s.retention.Answers:
		return live
	case !p.swept || now.Sub(p.ended) < s.retention.Keys:
		return quiet
	default:
		return over
	}
}

// Compact returns the records that a segment made of these must keep, in order.
// The records of one program must all be noted before.
func (s *Snap) Compact(now time.Time, records []record.Record) []record.Record {
	settled := turns(records)
	superseded := grants(records)
	var kept []record.Record
	for i, r := range records {
		a := s.age(now, r.QualifiedProgram())
		switch {
		case a == over, r.Grant != nil && (superseded[i] || a == quiet):
			continue
		case r.Intent != nil && settled[name{r.QualifiedProgram(), r.Intent.Call.Key}] > i:
			continue
		case r.Turn != nil:
			t := *r.Turn
			t.NonIdempotent = s.once(r.QualifiedProgram(), t.Call.Key)
			if a == quiet && !t.NonIdempotent {
				continue
			}
			if a == quiet && t.Answer.Reason != expired {
				t = slim(t)
			}
			r.Turn = &t
		}
		kept = append(kept, r)
	}
	return kept
}

// expired is the reason given for answers that are no longer kept.
const expired = "expired"

// slim drops all of a turn but that its call was made. A caller that asks for
// an answer no longer kept is told so, and not given an empty one.
func slim(t record.Turn) record.Turn {
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

// once tells whether a program's call is not idempotent.
func (s *Snap) once(owner, key string) bool {
	p := s.programs[owner]
	return p != nil && p.once[key]
}

// name is a call's key within its program.
type name struct{ owner, key string }

// turns returns the places of the calls' last turns.
func turns(records []record.Record) map[name]int {
	settled := map[name]int{}
	for i := range records {
		if t := records[i].Turn; t != nil {
			settled[name{records[i].QualifiedProgram(), t.Call.Key}] = i
		}
	}
	return settled
}

// grants returns the grants that a later one replaces before they are forfeited.
func grants(records []record.Record) map[int]bool {
	superseded, last := map[int]bool{}, map[string]int{}
	for i := range records {
		r := &records[i]
		switch owner := r.QualifiedProgram(); {
		case r.Forfeit != nil:
			delete(last, owner)
		case r.Grant != nil:
			if j, ok := last[owner]; ok {
				superseded[j] = true
			}
			last[owner] = i
		}
	}
	return superseded
}

// AddSegment notes which programs a segment holds, with their bytes.
func (s *Snap) AddSegment(segment string, bytes map[string]int) { s.segments[segment] = bytes }

// DropSegment forgets a segment, and the programs that are in no other.
func (s *Snap) DropSegment(segment string) {
	gone := s.segments[segment]
	delete(s.segments, segment)
	for _, rest := range s.segments {
		for owner := range rest {
			delete(gone, owner)
		}
	}
	for owner := range gone {
		delete(s.programs, owner)
	}
}

// DeadBytes returns how many bytes of a segment, of all, a rewrite would drop.
func (s *Snap) DeadBytes(now time.Time, segment string) (dead, all int) {
	for owner, n := range s.segments[segment] {
		all += n
		if owner != "" && s.age(now, owner) != live {
			dead += n
		}
	}
	return dead, all
}
