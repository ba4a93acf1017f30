package wsrpc

import "sync"

// Group holds one client per vault address. The zero value is ready to use. It is
// safe for concurrent use.
type Group struct {
	mu      sync.Mutex
	direct  DialFunc
	detour  DialFunc
	clients map[string]*Client
	// messages bounds what the clients receive.
	messages Messages
}

// SetMessages sets where clients that are created from now on book what they receive.
func (g *Group) SetMessages(m Messages) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.messages = m
}

// SetDials sets how clients that are created from now on connect to a vault: directly, and by a
// detour where that fails.
func (g *Group) SetDials(direct, detour DialFunc) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.direct, g.detour = direct, detour
}

// Client returns the client of the vault at addr (IP:port), creating it if needed.
func (g *Group) Client(addr string) *Client {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.clients[addr]
	if c == nil {
		if g.clients == nil {
			g.clients = map[string]*Client{}
		}
		c = NewClient(addr)
		c.messages = g.messages
		if c.detour = g.detour; g.direct != nil {
			c.direct = g.direct
		}
		g.clients[addr] = c
	}
	return c
}
