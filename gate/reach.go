package gate

import (
	"context"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/await"
	"github.com/cowslipstage/cowslipstage/state/toggle"
	"github.com/cowslipstage/cowslipstage/transport/wsrpc"
)

const (
	// connectEvery is the pause between two attempts to reach unreachable
	// vaults. startingEvery replaces it while one of them is starting.
	connectEvery  = 200 * time.Millisecond
	startingEvery = 20 * time.Millisecond
	// startTime is how long after the gate's start vaults that it has never reached
	// count as starting. All hosts may have lost power together, and hosts with disks
	// take longer to start.
	startTime = 1500 * time.Millisecond
)

// connectLoop keeps dialing unreachable vaults, so that the gate notices
// without callers when they can be reached again.
func (c *vaultClient) connectLoop(ctx context.Context) {
	for ctx.Err() == nil {
		pause := connectEvery
		connected := 0
		for _, addr := range c.vaultAddrs() {
			conn := c.connection(addr)
			if conn.Connected() {
				connected++
				conn.Direct(time.Now())
				continue
			}
			conn.StartDial()
			if c.isStarting(time.Now(), conn) {
				pause = startingEvery
			}
		}
		c.setConnected(connected)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// hasDirectQuorum reports whether this gate reaches enough vaults without another gate's help.
func (c *vaultClient) hasDirectQuorum() bool {
	roster := c.currentRoster()
	direct := 0
	for _, s := range roster.Seats {
		if conn := c.connection(s.Addr); conn.Connected() && !conn.Detour() {
			direct++
		}
	}
	return direct >= roster.Quorum()
}

// setConnected stores how many vaults have an open connection, and wakes up those
// that wait for more.
func (c *vaultClient) setConnected(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > c.connectedVaults {
		close(c.moreConnected)
		c.moreConnected = make(chan struct{})
	}
	c.connectedVaults = n
}

// moreConnectedSignal returns a channel that is closed when more vaults can be
// reached than now.
func (c *vaultClient) moreConnectedSignal() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.moreConnected
}

// seatedVaults returns what is known of the vaults that have a seat.
func (c *vaultClient) seatedVaults(now time.Time) await.Vaults {
	roster := c.currentRoster()
	v := await.Vaults{Needed: min(roster.Quorum(), len(roster.Seats))}
	for _, s := range roster.Seats {
		switch conn := c.connection(s.Addr); {
		case c.isStarting(now, conn):
			v.Starting++
		case !conn.Unreachable():
			v.Connected++
		}
	}
	return v
}

// isStarting reports whether a vault that cannot be reached is probably starting.
func (c *vaultClient) isStarting(now time.Time, conn *wsrpc.Client) bool {
	if !c.off.On(toggle.Waiting) {
		return false
	}
	return conn.Refused() || now.Sub(c.started) < startTime && !conn.Reached()
}

// cutOff reports whether the roster is known and none of its vaults can be
// reached or is starting.
func (c *vaultClient) cutOff() bool {
	roster := c.currentRoster()
	now := time.Now()
	for _, s := range roster.Seats {
		if conn := c.connection(s.Addr); !conn.Unreachable() || c.isStarting(now, conn) {
			return false
		}
	}
	return len(roster.Seats) > 0
}
