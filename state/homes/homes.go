// Package homes (state layer) remembers which endpoint last ran each session, so that
// the next turn can be sent where its prompt is cached. Load pattern: sessions whose
// turns the system does not keep, and that reach another gate with each turn.
package homes

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxAge is how long a home counts. By then an engine under load has evicted the
// prompts of a session that paused that long.
const maxAge = 30 * time.Second

// maxName bounds the names of a program and a session together. Callers send at most some
// tens of bytes, and without a bound could send headers of 64 KB.
const maxName = 1 << 10

// Home is where a session's prompt is probably cached.
type Home struct {
	Endpoint string
	// StartedAt is the start of the endpoint's lifetime in Unix milliseconds. A later
	// lifetime has nothing cached.
	StartedAt int64
	// Tokens is the length of the prompt and the output of the session's last turn.
	Tokens int
}

// entry is a home and when it was learned.
type entry struct {
	Home
	// session is the session that the home was learned from.
	session string
	at      time.Time
}

// Homes holds the homes of the most recently used sessions. It is not safe for
// concurrent use.
type Homes struct {
	// sessions holds homes by program and session. firstLines holds the home of each
	// program's first session, because the prompt of a sub-agent begins with that of
	// its parent.
	sessions, firstLines *simplelru.LRU[string, entry]
}

// New returns a Homes for at most the given number of sessions.
func New(most int) *Homes {
	h := &Homes{}
	h.sessions, _ = simplelru.NewLRU[string, entry](max(1, most), nil)
	h.firstLines, _ = simplelru.NewLRU[string, entry](max(1, most), nil)
	return h
}

func key(program, session string) string { return program + "\x00" + session }

// Put notes where a session's last turn ran, unless the names are too long.
func (h *Homes) Put(now time.Time, program, session string, home Home) {
	if session == "" || home.Endpoint == "" || len(program)+len(session) > maxName {
		return
	}
	e := entry{Home: home, session: session, at: now}
	h.sessions.Add(key(program, session), e)
	if program == "" {
		return
	}
	if first, ok := h.firstLines.Get(program); !ok || first.session == session || now.Sub(first.at) > maxAge {
		h.firstLines.Add(program, e)
	}
}

// Get returns the home of a session, or, for a session without one, that of its
// program's first session.
func (h *Homes) Get(now time.Time, program, session string) (Home, bool) {
	e, ok := h.sessions.Get(key(program, session))
	if !ok && program != "" {
		e, ok = h.firstLines.Get(program)
	}
	if !ok || now.Sub(e.at) > maxAge {
		return Home{}, false
	}
	return e.Home, true
}

// Size returns how many sessions are remembered.
func (h *Homes) Size() int { return h.sessions.Len() }
