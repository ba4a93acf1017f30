// Package site (state layer) describes a process and its environment.
package site

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cowslipstage/cowslipstage/state/bound"
	"github.com/cowslipstage/cowslipstage/state/toggle"
)

// Site holds what a process is configured with at its start.
type Site struct {
	Node string
	// Centre is the data centre.
	Centre string
	// Centres is how many data centres there are; 0 if that is not known.
	Centres int
	IP      string
	// Frontend and Ready are the IP:port for callers and for the load balancer's readiness
	// check; both are empty where callers do not connect.
	Frontend string
	Ready    string
	// Control is the IP:port at which other processes reach this one according to their
	// settings; "" if there is none.
	Control string
	// Seeds are control addresses of other processes, some of which may be gone.
	Seeds []string
	// FirstPort is the first port that is free for other processes of the system.
	FirstPort int
	// Data is the folder for bulk data; "" if there is no disk.
	Data string
	// Disk and Memory are bounds in bytes, Files is the bound on open descriptors; 0 if there is none.
	Disk   int64
	Memory int64
	Files  int
	// FirstStart is true only when the whole system starts for the first time.
	FirstStart bool
	// MaxLostHosts is how many hosts with disks may be lost at once.
	MaxLostHosts int
	// Store is the IP:port of the platform's key-value service.
	Store string
	// Grace is the time between the stop request and the forced kill.
	Grace time.Duration
	// Revocation is how long a gate checks keys by a configuration that nobody confirms;
	// 0 for any time.
	Revocation time.Duration
	// Quota is how far all gates together may exceed a customer's quota.
	Quota bound.Bound
	// Clients bounds what the process holds for its clients.
	Clients Clients
	// HedgeShare is the most copies of slow requests per request; 0 allows none.
	HedgeShare float64
	// Off holds the mechanisms that are switched off.
	Off toggle.Set
}

// Clients bounds what a process holds for its clients.
type Clients struct {
	// Share is the part of the memory that connections, requests and what follows from them may
	// take.
	Share float64
	// Conns is how many connections callers may have, 0 for as many as the descriptors allow.
	Conns int
}

// minShare and maxShare bound Clients.Share. The rest is for what the process holds itself.
const (
	minShare = 0.05
	maxShare = 0.5
)

// ErrClients means that bounds on clients cannot be used.
var ErrClients = errors.New("site: unusable bounds on clients")

// Check returns an error that names the first bound that cannot be used.
func (c Clients) Check() error {
	switch {
	case c.Share < minShare || c.Share > maxShare || c.Share != c.Share:
		return errors.Wrapf(ErrClients, "the share of the memory must be from %g to %g", minShare, maxShare)
	case c.Conns < 0:
		return errors.Wrap(ErrClients, "the connections must not be negative")
	}
	return nil
}

// DefaultClients is in force unless a flag says otherwise.
var DefaultClients = Clients{Share: 0.25}

const (
	// reservedFiles is how many descriptors are for other files than sockets.
	reservedFiles = 200
	// callerFiles is the part of the sockets that callers' connections may take. The requests on
	// them take about as many to endpoints.
	callerFiles = 0.45
	// defaultFiles is how many descriptors a process without a bound counts on.
	defaultFiles = 4096
)

// ClientBytes returns how much memory is for clients, 0 for any.
func (s *Site) ClientBytes() int64 {
	share := s.Clients.Share
	if share <= 0 {
		share = DefaultClients.Share
	}
	return int64(share * float64(s.Memory))
}

// Sockets returns how many sockets the process may have open.
func (s *Site) Sockets() int {
	files := s.Files
	if files <= 0 {
		files = defaultFiles
	}
	return max(files-reservedFiles, files/2)
}

// CallerConns returns how many connections callers may have.
func (s *Site) CallerConns() int {
	if s.Clients.Conns > 0 {
		return s.Clients.Conns
	}
	return int(callerFiles * float64(s.Sockets()))
}

const (
	// peerFiles and peerBytes are the parts of the sockets and of the memory for clients that
	// connections of other processes may take. Each process has one.
	peerFiles = 0.5
	peerBytes = 0.25
	// minPeers is how many other processes can always connect.
	minPeers = 64
)

// PeerConns returns how many connections other processes may have, each of which takes some memory.
func (s *Site) PeerConns(connBytes int) int {
	most := int(peerFiles * float64(s.Sockets()))
	if bytes := s.ClientBytes(); bytes > 0 {
		most = min(most, int(peerBytes*float64(bytes))/connBytes)
	}
	return max(most, minPeers)
}

// relayFiles is the part of the sockets that connections relayed for other processes may take, two
// each.
const relayFiles = 0.1

// RelayConns returns how many connections may be relayed for other processes.
func (s *Site) RelayConns() int { return max(1, int(relayFiles*float64(s.Sockets())/2)) }
