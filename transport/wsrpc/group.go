package wsrpc

import "sync"

// Group holds one client per vault address. The zero value is ready to use. It is
// safe for concurrent use.
type Group struct {
	mu      sync.Mutex
	clients map[string]*Client
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
		g.clients[addr] = c
	}
	return c
}
