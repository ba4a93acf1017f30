// Package cache (state layer) keeps what is believed of the prefixes in the
// engines' caches: what the engines said, plus what was sent to them since.
package cache

import "time"

// Index holds the prefixes believed cached, by conversation and endpoint.
type Index struct {
	// prefixes maps a conversation to its prefix on each endpoint.
	prefixes map[string]map[string]prefix
	// shared maps a service to when it last ran on each endpoint.
	shared map[string]map[string]time.Time
	// serials holds the last event seen of each endpoint.
	serials map[string]uint64
	// gaps holds when events of an endpoint were last lost.
	gaps map[string]time.Time
}

type prefix struct {
	// tokens is the length in tokens, above 0.
	tokens int
	// noted is when it was last confirmed by an event or an answer.
	noted time.Time
}

// doubt divides a prefix's length when events that might be its eviction were lost.
const doubt = 2

// New returns an empty index.
func New() *Index {
	return &Index{
		prefixes: map[string]map[string]prefix{},
		shared:   map[string]map[string]time.Time{},
		serials:  map[string]uint64{},
		gaps:     map[string]time.Time{},
	}
}

// SetPrefix says that the endpoint has just cached the conversation's first tokens.
func (x *Index) SetPrefix(now time.Time, conversation, endpoint string, tokens int) {
	if tokens <= 0 {
		x.RemovePrefix(conversation, endpoint)
		return
	}
	m := x.prefixes[conversation]
	if m == nil {
		m = map[string]prefix{}
		x.prefixes[conversation] = m
	}
	m[endpoint] = prefix{tokens: tokens, noted: now}
}

// RemovePrefix says that the endpoint holds nothing of the conversation.
func (x *Index) RemovePrefix(conversation, endpoint string) {
	delete(x.prefixes[conversation], endpoint)
	if len(x.prefixes[conversation]) == 0 {
		delete(x.prefixes, conversation)
	}
}

// RemoveConversation forgets a conversation everywhere.
func (x *Index) RemoveConversation(conversation string) { delete(x.prefixes, conversation) }

// RecordService notes that a service ran on the endpoint, so that its prompt is cached there.
func (x *Index) RecordService(now time.Time, service, endpoint string) {
	m := x.shared[service]
	if m == nil {
		m = map[string]time.Time{}
		x.shared[service] = m
	}
	m[endpoint] = now
}

// HasService tells whether the service ran on the endpoint.
func (x *Index) HasService(service, endpoint string) bool {
	t, ok := x.shared[service][endpoint]
	return ok && t.After(x.gaps[endpoint])
}

// ApplyEvent takes over an engine's event. Events that are older than the newest
// one are ignored; a gap makes earlier knowledge of the endpoint doubtful.
func (x *Index) ApplyEvent(now time.Time, conversation, endpoint string, serial uint64, tokens int) {
	last := x.serials[endpoint]
	if serial <= last {
		return
	}
	if last != 0 && serial != last+1 {
		x.gaps[endpoint] = now
	}
	x.serials[endpoint] = serial
	x.SetPrefix(now, conversation, endpoint, tokens)
}

// ResetEndpoint forgets an endpoint whose memory is gone.
func (x *Index) ResetEndpoint(endpoint string) {
	for c := range x.prefixes {
		x.RemovePrefix(c, endpoint)
	}
	for _, m := range x.shared {
		delete(m, endpoint)
	}
	delete(x.serials, endpoint)
}

// Tokens estimates how much of the conversation the endpoint has cached.
func (x *Index) Tokens(conversation, endpoint string) int {
	p := x.prefixes[conversation][endpoint]
	if p.noted.Before(x.gaps[endpoint]) {
		return p.tokens / doubt
	}
	return p.tokens
}

// Holders returns the endpoints believed to hold some of the conversation.
func (x *Index) Holders(conversation string) []string {
	var names []string
	for n := range x.prefixes[conversation] {
		names = append(names, n)
	}
	return names
}
