// Package cache (state layer) estimates which conversation prefixes the engines have
// cached, from their events and from the calls sent to them since.
package cache

import "time"

// Index holds the known prefixes by conversation and endpoint.
type Index struct {
	// prefixes maps a conversation to its prefix on each endpoint.
	prefixes map[string]map[string]prefix
	// services maps a service to when it last ran on each endpoint.
	services map[string]map[string]time.Time
	// serials holds the serial number of the last event of each endpoint.
	serials map[string]uint64
	// gaps holds when events of an endpoint were last lost.
	gaps map[string]time.Time
}

type prefix struct {
	// tokens is the prefix's length in tokens, above 0.
	tokens int
	// confirmedAt is when an event or an answer last confirmed the prefix.
	confirmedAt time.Time
}

// gapDivisor reduces the estimate of a prefix after lost events, because they may have
// included its eviction.
const gapDivisor = 2

// New returns an empty index.
func New() *Index {
	return &Index{
		prefixes: map[string]map[string]prefix{},
		services: map[string]map[string]time.Time{},
		serials:  map[string]uint64{},
		gaps:     map[string]time.Time{},
	}
}

// SetPrefix records that the endpoint has just cached the conversation's first tokens;
// with 0 tokens it removes the prefix.
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
	m[endpoint] = prefix{tokens: tokens, confirmedAt: now}
}

// RemovePrefix records that the endpoint holds nothing of the conversation.
func (x *Index) RemovePrefix(conversation, endpoint string) {
	delete(x.prefixes[conversation], endpoint)
	if len(x.prefixes[conversation]) == 0 {
		delete(x.prefixes, conversation)
	}
}

// RemoveConversation removes a conversation from all endpoints.
func (x *Index) RemoveConversation(conversation string) { delete(x.prefixes, conversation) }

// RecordService records that a service ran on the endpoint, so that its system prompt is
// cached there.
func (x *Index) RecordService(now time.Time, service, endpoint string) {
	m := x.services[service]
	if m == nil {
		m = map[string]time.Time{}
		x.services[service] = m
	}
	m[endpoint] = now
}

// HasService reports whether the service ran on the endpoint since events were last lost.
func (x *Index) HasService(service, endpoint string) bool {
	t, ok := x.services[service][endpoint]
	return ok && t.After(x.gaps[endpoint])
}

// ApplyEvent applies an engine's event. Events not newer than the last one are ignored. A
// gap in the serial numbers makes earlier knowledge of the endpoint uncertain.
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

// ResetEndpoint removes everything about an endpoint that has lost its cache.
func (x *Index) ResetEndpoint(endpoint string) {
	for c := range x.prefixes {
		x.RemovePrefix(c, endpoint)
	}
	for _, m := range x.services {
		delete(m, endpoint)
	}
	delete(x.serials, endpoint)
}

// Tokens estimates how many of the conversation's tokens the endpoint has cached.
func (x *Index) Tokens(conversation, endpoint string) int {
	p := x.prefixes[conversation][endpoint]
	if p.confirmedAt.Before(x.gaps[endpoint]) {
		return p.tokens / gapDivisor
	}
	return p.tokens
}

// Holders returns the endpoints known to hold part of the conversation.
func (x *Index) Holders(conversation string) []string {
	var names []string
	for n := range x.prefixes[conversation] {
		names = append(names, n)
	}
	return names
}
