// Package blame (state layer) holds which requests were in progress at endpoints that
// ended, and blocks those that end one endpoint after another. Load pattern: a request
// crashes each endpoint that runs it, and callers send it again.
package blame

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// Crashes is how many crashes block a content that nothing else explains.
	Crashes = 3
	// SureCrashes is how many crashes block a content though others ran at all of them.
	SureCrashes = Crashes + 1
	// watchedCrashes is the number of crashes from which a content that ends well is to be
	// reported.
	watchedCrashes = Crashes - 1
	// BlockTime is how long a block lasts, and how long a crash counts.
	BlockTime = 10 * time.Minute
	// maxContents bounds the contents that are remembered. When it is exceeded, the oldest
	// are dropped.
	maxContents = 4096
	// sweepEvery is the pause between two removals of what no longer counts.
	sweepEvery = time.Second
)

// Crash is the end of one lifetime of an endpoint.
type Crash struct {
	Endpoint string `cbor:"1,keyasint"`
	// StartedAt is the start of the lifetime, in Unix milliseconds; 0 if it is not known.
	StartedAt int64 `cbor:"2,keyasint,omitempty"`
}

// Blame holds the crashes by the content of the requests that ran then. What the gates
// report may arrive in any order and more than once. Blame is not safe for concurrent use.
type Blame struct {
	// enough is how many crashes block a content that alone explains them.
	enough   int
	contents map[string]*record
	// ran holds the contents that ran at each crash.
	ran       map[Crash][]string
	lastSweep time.Time
	// revision changes with what Verdicts returns. It does not repeat after a restart.
	revision uint64
}

type record struct {
	// crashes holds when the content was last said to have run at a crash.
	crashes map[Crash]time.Time
	// blockedAt is when the content was blocked, endedAt when it last ran to its end. It
	// is blocked if blockedAt is the later one.
	blockedAt, endedAt time.Time
	touchedAt          time.Time
}

func (r *record) blocked(now time.Time) bool {
	return r.blockedAt.After(r.endedAt) && now.Sub(r.blockedAt) < BlockTime
}

// New returns a Blame without crashes. enough is how many crashes block a content that
// alone explains them: Crashes for one that hears of all crashes, SureCrashes for one
// that does not.
func New(enough int) *Blame {
	return &Blame{enough: enough, contents: map[string]*record{}, ran: map[Crash][]string{}}
}

// AddCrash records that a content ran at an endpoint that ended. It returns the contents
// that are blocked from now on.
func (b *Blame) AddCrash(now, at time.Time, content string, c Crash) []string {
	b.sweep(now)
	r := b.recordOf(now, content)
	_, known := r.crashes[c]
	if known || !at.After(r.endedAt) || now.Sub(at) >= BlockTime {
		return nil
	}
	r.crashes[c] = at
	b.ran[c] = append(b.ran[c], content)
	return b.decide(now, b.ran[c])
}

// AddEnd records that a content ran to its end, which clears it of earlier crashes.
func (b *Blame) AddEnd(now, at time.Time, content string) {
	r := b.recordOf(now, content)
	if !at.After(r.endedAt) {
		return
	}
	if r.blocked(now) || len(r.crashes) >= watchedCrashes {
		b.change(now)
	}
	r.endedAt = at
	maps.DeleteFunc(r.crashes, func(c Crash, crashedAt time.Time) bool {
		if crashedAt.After(at) {
			return false
		}
		b.forgetRun(c, content)
		return true
	})
}

// AddBlock records that another process blocked a content. It reports whether that is news.
func (b *Blame) AddBlock(now, at time.Time, content string) bool {
	r := b.recordOf(now, content)
	if !at.After(r.blockedAt) || !at.After(r.endedAt) || now.Sub(at) >= BlockTime {
		return false
	}
	was := r.blocked(now)
	if was {
		return false
	}
	r.blockedAt = at
	b.change(now)
	return true
}

// BlockLeft returns how much longer a content is blocked, 0 if it is not.
func (b *Blame) BlockLeft(now time.Time, content string) time.Duration {
	if r := b.contents[content]; r != nil && r.blocked(now) {
		return r.blockedAt.Add(BlockTime).Sub(now)
	}
	return 0
}

// Blocks reports whether anything is blocked or watched. A false result is certain.
func (b *Blame) Empty() bool { return len(b.contents) == 0 }

// Crashes returns how many crashes a content may have caused.
func (b *Blame) CrashCount(now time.Time, content string) int {
	r := b.contents[content]
	if r == nil {
		return 0
	}
	return len(b.unexplained(now, content, r))
}

// decide blocks those of some contents that are the only explanation of enough crashes.
func (b *Blame) decide(now time.Time, contents []string) []string {
	var blocked []string
	// The content with the most crashes first: its block explains crashes of the others.
	order := slices.Clone(contents)
	count := func(content string) int { return len(b.unexplained(now, content, b.contents[content])) }
	slices.SortStableFunc(order, func(x, y string) int { return cmp.Compare(count(y), count(x)) })
	for _, content := range order {
		r := b.contents[content]
		if r.blocked(now) {
			continue
		}
		crashes := b.unexplained(now, content, r)
		if len(crashes) < watchedCrashes {
			continue
		}
		b.change(now)
		if len(crashes) >= SureCrashes || len(crashes) >= b.enough && !b.hasRival(now, content, crashes) {
			r.blockedAt = now
			blocked = append(blocked, content)
		}
	}
	return blocked
}

// unexplained returns the crashes at which a content ran and no blocked one.
func (b *Blame) unexplained(now time.Time, content string, r *record) []Crash {
	var crashes []Crash
	for c := range r.crashes {
		explained := slices.ContainsFunc(b.ran[c], func(other string) bool {
			return other != content && b.contents[other].blocked(now)
		})
		if !explained {
			crashes = append(crashes, c)
		}
	}
	return crashes
}

// hasRival reports whether another content ran at all of some crashes.
func (b *Blame) hasRival(now time.Time, content string, crashes []Crash) bool {
	return slices.ContainsFunc(b.ran[crashes[0]], func(other string) bool {
		r := b.contents[other]
		if other == content || r.blocked(now) {
			return false
		}
		return !slices.ContainsFunc(crashes, func(c Crash) bool { _, ran := r.crashes[c]; return !ran })
	})
}

// Verdicts is what is known of contents that gates have to act on.
type Verdicts struct {
	// Blocked and Ended hold how long ago a content was blocked or ran to its end after
	// crashes.
	Blocked map[string]time.Duration `cbor:"1,keyasint,omitempty"`
	Ended   map[string]time.Duration `cbor:"2,keyasint,omitempty"`
	// Watched holds the contents of which it should be reported that they ran to their end.
	Watched []string `cbor:"3,keyasint,omitempty"`
}

// Verdicts returns what is known.
func (b *Blame) Verdicts(now time.Time) *Verdicts {
	b.sweep(now)
	v := &Verdicts{Blocked: map[string]time.Duration{}, Ended: map[string]time.Duration{}}
	for content, r := range b.contents {
		switch {
		case r.blocked(now):
			v.Blocked[content] = now.Sub(r.blockedAt)
		case !r.endedAt.IsZero():
			v.Ended[content] = now.Sub(r.endedAt)
		}
		if !r.blocked(now) && len(b.unexplained(now, content, r)) >= watchedCrashes {
			v.Watched = append(v.Watched, content)
		}
	}
	slices.Sort(v.Watched)
	return v
}

// Revision changes whenever Verdicts does. It is 0 before the first change.
func (b *Blame) Revision() uint64 { return b.revision }

func (b *Blame) change(now time.Time) { b.revision = max(b.revision+1, uint64(now.UnixMilli())) }

func (b *Blame) recordOf(now time.Time, content string) *record {
	r := b.contents[content]
	if r == nil {
		r = &record{crashes: map[Crash]time.Time{}}
		b.contents[content] = r
	}
	r.touchedAt = now
	return r
}

// forgetRun removes a content from those that ran at a crash.
func (b *Blame) forgetRun(c Crash, content string) {
	b.ran[c] = slices.DeleteFunc(b.ran[c], func(other string) bool { return other == content })
	if len(b.ran[c]) == 0 {
		delete(b.ran, c)
	}
}

func (b *Blame) drop(content string) {
	for c := range b.contents[content].crashes {
		b.forgetRun(c, content)
	}
	delete(b.contents, content)
}

// sweep removes what no longer counts.
func (b *Blame) sweep(now time.Time) {
	if now.Sub(b.lastSweep) < sweepEvery {
		return
	}
	b.lastSweep = now
	for content, r := range b.contents {
		if now.Sub(r.touchedAt) >= BlockTime {
			if r.blocked(now) {
				b.change(now)
			}
			b.drop(content)
		}
	}
	if over := len(b.contents) - maxContents; over > 0 {
		oldest := slices.SortedFunc(maps.Keys(b.contents), func(x, y string) int {
			return b.contents[x].touchedAt.Compare(b.contents[y].touchedAt)
		})
		for _, content := range oldest[:over] {
			b.drop(content)
		}
	}
}
