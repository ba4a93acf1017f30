package crowd

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/cowslipstage/cowslipstage/platform/fake"
)

const (
	// endlessHead is how much of a head without end a client sends.
	endlessHead = 900 << 10
	doorClients = 100
)

// Heads of very many lines come at the listeners that are not for callers.
func TestOtherListeners(t *testing.T) {
	for _, k := range []struct {
		name string
		addr func(s *system) string
	}{
		{"ready", func(s *system) string { return s.gates[0].Ready }},
		{"metrics of a gate", func(s *system) string { return s.gates[0].metrics() }},
		{"control", func(s *system) string { return s.vaults[0].control() }},
		{"metrics of a vault", func(s *system) string { return s.vaults[0].metrics() }},
	} {
		for purpose, path := range map[string]string{"readiness": fake.ReadyPath, "metrics": "/metrics"} {
			t.Run(k.name+", path of "+purpose, func(t *testing.T) {
				s := startSystem(t, options{gateMB: gateMB, vaultMB: vaultMB})
				cr := gather(t, k.addr(s), doorClients, func(c net.Conn, _ int) error {
					return write(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n"+lines(endlessHead))
				})
				s.check("beside the crowd")
				cr.leave()
				s.check("after the crowd")
			})
		}
	}
}

// Connections to the listeners that are not for callers are many, and send nothing or the
// beginning of a request.
func TestConnectionsToOtherListeners(t *testing.T) {
	for _, k := range []struct {
		name, text string
		addr       func(s *system) string
	}{
		{"ready", "G", func(s *system) string { return s.gates[0].Ready }},
		{"metrics", "", func(s *system) string { return s.gates[0].metrics() }},
		{"relay", "127.0", func(s *system) string { return s.gates[0].relay() }},
	} {
		t.Run(k.name, func(t *testing.T) {
			s := startSystem(t, options{gateMB: gateMB, vaultMB: vaultMB, gateFDs: gateFDs})
			cr := gather(t, k.addr(s), 600, func(c net.Conn, _ int) error { return write(c, k.text) })
			s.check("beside the crowd")
			cr.leave()
			s.check("after the crowd")
		})
	}
}

// Connections are relayed to an endpoint for hosts that do nothing more with them.
func TestRelayedConnections(t *testing.T) {
	s := startSystem(t, options{gateMB: gateMB, vaultMB: vaultMB, gateFDs: gateFDs})
	cr := gather(t, s.gates[0].relay(), 600, func(c net.Conn, _ int) error { return write(c, s.endpoints[0]+" framed\n") })
	s.check("beside the crowd")
	cr.leave()
	s.check("after the crowd")
}

// Messages to a vault that never end come on many connections, or are as long as they may be.
func TestMessagesToAVault(t *testing.T) {
	const (
		clients = 20
		long    = 12 << 20
	)
	for _, k := range []struct {
		name  string
		whole bool
	}{{"without end", false}, {"that are whole", true}} {
		t.Run(k.name, func(t *testing.T) {
			s := startSystem(t, options{gateMB: gateMB, vaultMB: vaultMB})
			addr := s.vaults[0].control()
			cr := gather(t, addr, clients, func(c net.Conn, i int) error { return sendFrame(c, addr, byte(i), long, k.whole) })
			s.check("beside the crowd")
			cr.leave()
			s.check("after the crowd")
		})
	}
}

// sendFrame opens a WebSocket on a connection and sends a message on it that is not one of
// ours, less its last byte unless it is whole.
func sendFrame(c net.Conn, host string, fill byte, length int, whole bool) error {
	err := write(c, "GET /calls HTTP/1.1\r\nHost: "+host+"\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"+
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n")
	if err != nil {
		return err
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil) //nolint:bodyclose // the connection is the body
	if err != nil || answer.StatusCode != http.StatusSwitchingProtocols {
		return err
	}
	head := []byte{0x82, 0xff, 0, 0, 0, 0, byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length), 0, 0, 0, 0}
	if _, err := c.Write(head); err != nil {
		return err
	}
	if !whole {
		length--
	}
	data := make([]byte, 64<<10)
	for i := range data {
		data[i] = fill
	}
	for length > 0 {
		n, err := c.Write(data[:min(length, len(data))])
		if err != nil {
			return err
		}
		length -= n
	}
	return nil
}
