package wsrpc

import "sync"

// Group holds one client for each vault that is called. The zero value is empty
// and ready; it is safe for concurrent use.
type Group struct {
	mu      sync.Mutex
	clients map[string]*Client
}

// Client returns the client of the vault at addr (IP:port).
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
