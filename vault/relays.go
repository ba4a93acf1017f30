package vault

import (
	"time"

	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/peers"
)

// exchangeRelays stores a gate's offer to relay and returns the others', if wanted.
func (v *Vault) exchangeRelays(now time.Time, l *vaults.Load) []peers.Peer {
	if l.Relay != nil {
		v.relays.Put(now, l.Node, *l.Relay)
	}
	if !l.WantRelays {
		return nil
	}
	return v.relays.Others(now, l.Node)
}
