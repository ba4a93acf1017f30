package call

import "slices"

// After returns the call without the messages that repeat the agent's whole
// history; such callers send the conversation from its beginning each time. A
// call whose messages differ from the history, or add nothing to it, is
// returned as it is.
func (c *Call) After(history []Message) *Call {
	if len(history) == 0 || len(c.Messages) <= len(history) || !slices.Equal(c.Messages[:len(history)], history) {
		return c
	}
	rest := *c
	rest.Messages = c.Messages[len(history):]
	return &rest
}
