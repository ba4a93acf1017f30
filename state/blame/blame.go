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
	// SureCrashes is how many crashes block a content though others ran at all of them. They
	// are blocked, too.
	SureCrashes = Crashes + 1
	// watchedCrashes is the number of crashes from which a content that ends well is to be
	// reported.
	watchedCrashes = Crashes - 1
	// BlockTime is how long a block lasts, and how long a crash counts.
	BlockTime = 10 * time.Minute
	// endAge is how long others are told that a content ran to its end.
	endAge = 10 * time.Second
	// maxContents bounds the contents that are remembered. When it is exceeded, the oldest
	// are dropped.
	maxContents = 4096
	// SettleTime is how long reports of one crash are awaited before Decide counts it: gates
	// notice it within some milliseconds.
	SettleTime = 30 * time.Millisecond
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
	// targetBlocks holds by target when a content sent there was last blocked, targetEnds when
	// any last ran to its end since.
	targetBlocks, targetEnds map[string]time.Time
	// ran holds the contents that ran at each crash.
	ran map[Crash][]string
	// undecided holds when each crash was first reported that Decide has not yet seen.
	undecided map[Crash]time.Time
	lastSweep time.Time
	// revision changes with what Verdicts returns. It does not repeat after a restart and is
	// never 0.
	revision uint64
}

type record struct {
	// crashes holds when the content was last said to have run at a crash.
	crashes map[Crash]time.Time
	// blockedAt is when the content was blocked, endedAt when it last ran to its end. It
	// is blocked if blockedAt is the later one.
	blockedAt, endedAt time.Time
	touchedAt          time.Time
	// target is what the content was sent to, "" if that is not known.
	target string
}

func (r *record) blocked(now time.Time) bool {
	return r.blockedAt.After(r.endedAt) && now.Sub(r.blockedAt) < BlockTime
}

// New returns a Blame without crashes. enough is how many crashes block a content that
// alone explains them: Crashes for one that hears of all crashes, SureCrashes for one
// that does not.
func New(enough int) *Blame {
	return &Blame{
		enough: enough, contents: map[string]*record{}, targetBlocks: map[string]time.Time{}, targetEnds: map[string]time.Time{},
		ran: map[Crash][]string{}, undecided: map[Crash]time.Time{}, revision: 1,
	}
}

// AddCrash records that a content ran at an endpoint that ended. target is what the content
// was sent to.
func (b *Blame) AddCrash(now, at time.Time, content, target string, c Crash) {
	b.sweep(now)
	r := b.recordOf(now, content)
	r.target = target
	if _, known := r.crashes[c]; known || !at.After(r.endedAt) || now.Sub(at) >= BlockTime {
		return
	}
	r.crashes[c] = at
	b.ran[c] = append(b.ran[c], content)
	if _, open := b.undecided[c]; !open {
		b.undecided[c] = now
	}
}

// AddEnd records that a content, or one sent to a target, ran to its end. That clears a
// content of earlier crashes.
func (b *Blame) AddEnd(now, at time.Time, content string) {
	if blockedAt, isTarget := b.targetBlocks[content]; isTarget {
		if at.After(blockedAt) && b.isTargetSuspected(now, content) {
			b.targetEnds[content] = at
			b.change(now)
		}
		return
	}
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

// Merge adds what another process knows. It returns the contents that are blocked from now
// on.
func (b *Blame) Merge(now time.Time, v *Verdicts) []string {
	if v == nil {
		return nil
	}
	for content, age := range v.Ended {
		b.AddEnd(now, now.Add(-max(0, age)), content)
	}
	for target, age := range v.Targets {
		at := now.Add(-max(0, age))
		if age < BlockTime && !b.isTargetSuspected(now, target) && at.After(b.targetEnds[target]) {
			b.targetBlocks[target] = at
			b.change(now)
		}
	}
	var blocked []string
	for content, age := range v.Blocked {
		at := now.Add(-max(0, age))
		r := b.recordOf(now, content)
		if r.blocked(now) || !at.After(r.endedAt) || age >= BlockTime {
			continue
		}
		r.blockedAt = at
		b.change(now)
		blocked = append(blocked, content)
	}
	return blocked
}

// BlockLeft returns how much longer a content is blocked, 0 if it is not.
func (b *Blame) BlockLeft(now time.Time, content string) time.Duration {
	if r := b.contents[content]; r != nil && r.blocked(now) {
		return r.blockedAt.Add(BlockTime).Sub(now)
	}
	return 0
}

// Empty reports whether nothing is known of any content.
func (b *Blame) Empty() bool { return len(b.contents) == 0 }

// CrashCount returns how many crashes a content may have caused.
func (b *Blame) CrashCount(now time.Time, content string) int {
	r := b.contents[content]
	if r == nil {
		return 0
	}
	return len(b.unexplained(now, content, r))
}

// Decide blocks the contents that are the only explanation of enough crashes, and returns
// them.
func (b *Blame) Decide(now time.Time) []string {
	var contents []string
	for c, reportedAt := range b.undecided {
		if now.Sub(reportedAt) >= SettleTime {
			delete(b.undecided, c)
			contents = append(contents, b.ran[c]...)
		}
	}
	if len(contents) == 0 {
		return nil
	}
	// The content with the most crashes first: its block explains crashes of the others.
	slices.Sort(contents)
	contents = slices.Compact(contents)
	slices.SortStableFunc(contents, func(x, y string) int { return cmp.Compare(b.CrashCount(now, y), b.CrashCount(now, x)) })
	var blocked []string
	for _, content := range contents {
		r := b.contents[content]
		crashes := b.unexplained(now, content, r)
		if r.blocked(now) || len(crashes) == 0 {
			continue
		}
		var found []string
		rivals := b.rivals(now, content, crashes)
		switch {
		case b.isTargetSuspected(now, r.target) || len(crashes) >= b.enough && len(rivals) == 0:
			found = []string{content}
		case len(crashes) >= SureCrashes:
			found = append(rivals, content)
		case len(crashes) >= watchedCrashes:
			b.change(now)
		}
		for _, name := range found {
			b.block(now, name)
		}
		blocked = append(blocked, found...)
	}
	return blocked
}

// isTargetSuspected reports whether what is sent to a target probably crashes endpoints:
// another content sent there was blocked, and nothing has run to its end since.
func (b *Blame) isTargetSuspected(now time.Time, target string) bool {
	blockedAt, ok := b.targetBlocks[target]
	return ok && now.Sub(blockedAt) < BlockTime && !b.targetEnds[target].After(blockedAt)
}

// unexplained returns the crashes that count at which a content ran and no blocked one.
func (b *Blame) unexplained(now time.Time, content string, r *record) []Crash {
	var crashes []Crash
	for c, at := range r.crashes {
		explained := now.Sub(at) >= BlockTime || slices.ContainsFunc(b.ran[c], func(other string) bool {
			return other != content && b.contents[other].blocked(now)
		})
		if !explained {
			crashes = append(crashes, c)
		}
	}
	return crashes
}

// rivals returns the other contents that ran at all of some crashes.
func (b *Blame) rivals(now time.Time, content string, crashes []Crash) []string {
	return slices.DeleteFunc(slices.Clone(b.ran[crashes[0]]), func(other string) bool {
		r := b.contents[other]
		return other == content || r.blocked(now) || slices.ContainsFunc(crashes, func(c Crash) bool { _, ran := r.crashes[c]; return !ran })
	})
}

func (b *Blame) block(now time.Time, content string) {
	r := b.contents[content]
	r.blockedAt = now
	if r.target != "" {
		b.targetBlocks[r.target] = now
	}
	b.change(now)
}

// Verdicts is what a process knows of contents that others have to act on.
type Verdicts struct {
	// Blocked and Ended hold how long ago contents were blocked, or ran to their end after
	// crashes.
	Blocked map[string]time.Duration `cbor:"1,keyasint,omitempty"`
	Ended   map[string]time.Duration `cbor:"2,keyasint,omitempty"`
	// Watched holds the contents of which it is to be told that they ran to their end.
	Watched []string `cbor:"3,keyasint,omitempty"`
	// Targets holds how long ago a content sent to a target was blocked, while nothing else
	// has run to its end there.
	Targets map[string]time.Duration `cbor:"4,keyasint,omitempty"`
}

// Verdicts returns what is known, or nil if that is nothing.
func (b *Blame) Verdicts(now time.Time) *Verdicts {
	b.sweep(now)
	v := &Verdicts{Blocked: map[string]time.Duration{}, Ended: map[string]time.Duration{}, Targets: map[string]time.Duration{}}
	for content, r := range b.contents {
		switch {
		case r.blocked(now):
			v.Blocked[content] = now.Sub(r.blockedAt)
			continue
		case now.Sub(r.endedAt) < endAge:
			v.Ended[content] = now.Sub(r.endedAt)
		}
		if len(b.unexplained(now, content, r)) >= watchedCrashes {
			v.Watched = append(v.Watched, content)
		}
	}
	for target, blockedAt := range b.targetBlocks {
		if b.isTargetSuspected(now, target) {
			v.Targets[target] = now.Sub(blockedAt)
		}
	}
	if len(v.Blocked)+len(v.Ended)+len(v.Watched)+len(v.Targets) == 0 {
		return nil
	}
	slices.Sort(v.Watched)
	return v
}

// Revision changes whenever Verdicts does. It is never 0.
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
	for target, blockedAt := range b.targetBlocks {
		if now.Sub(blockedAt) >= BlockTime {
			delete(b.targetBlocks, target)
			delete(b.targetEnds, target)
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
