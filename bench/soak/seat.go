package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/platform/fake"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/transport/wsrpc"
)

const (
	// seatTime bounds the wait for a spare to take the seat of a vault that is away. Spares may be away
	// or catching up themselves.
	seatTime = 4 * time.Second
	seatPoll = 5 * time.Millisecond
	// runTime and stopTime are how a slowed vault runs and stands still in turn.
	runTime  = 20 * time.Millisecond
	stopTime = 700 * time.Millisecond
	// emptyTime bounds the emptying of a vault.
	emptyTime = 20 * time.Second
)

// absence is how a vault is away while another one takes its seat.
type absence struct {
	name string
	// begin takes the vault away. The function that it returns brings it back with its disk.
	begin func(h *host) (end func() error)
}

var absences = []absence{
	{"frozen", func(h *host) func() error {
		h.signal(syscall.SIGSTOP)
		return func() error { h.signal(syscall.SIGCONT); return nil }
	}},
	{"killed", func(h *host) func() error {
		h.kill()
		return h.start
	}},
	{"slowed", func(h *host) func() error {
		ended, done := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			for {
				h.signal(syscall.SIGSTOP)
				time.Sleep(stopTime)
				h.signal(syscall.SIGCONT)
				select {
				case <-time.After(runTime):
				case <-ended:
					return
				}
			}
		}()
		return func() error { close(ended); <-done; return nil }
	}},
}

// seatFaults lists the faults in which seats change hands.
func seatFaults() []fault {
	list := []fault{{"vault emptied and replaced", func(dp *deployment, r *rand.Rand, _ time.Duration) error {
		return dp.withHost(r, dp.vaults, dp.emptyVault)
	}}}
	for _, a := range absences {
		for _, twice := range []bool{false, true} {
			name := "seat of a vault taken, " + a.name
			if twice {
				name += ", twice"
			}
			list = append(list, fault{name, func(dp *deployment, r *rand.Rand, _ time.Duration) error {
				return dp.withHost(r, dp.vaults, func(h *host) error { return dp.loseSeat(r, h, a, twice) })
			}})
		}
	}
	return list
}

// loseSeat takes a vault away until another one has its seat, and has other vaults lose their disks at that
// moment, as many as may be lost. If twice is set, the vault that has taken the seat is away, too, until a
// third one has it. All seats must count again once all are back.
func (dp *deployment) loseSeat(r *rand.Rand, h *host, a absence, twice bool) error {
	if !dp.vaultLoss.TryLock() {
		return nil
	}
	defer dp.vaultLoss.Unlock()
	away := []func() error{a.begin(h)}
	taker := dp.awaitTaker(h)
	if twice && taker != nil && taker.faultLock.TryLock() {
		defer taker.faultLock.Unlock()
		away = append(away, a.begin(taker))
		dp.awaitTaker(taker)
	}
	var wiped []*host
	for _, i := range r.Perm(len(dp.vaults)) {
		v := dp.vaults[i]
		if len(wiped) == dp.options.losses() || v == h || v == taker || dp.roster().Find(v.Name) == nil || !v.faultLock.TryLock() {
			continue
		}
		defer v.faultLock.Unlock()
		v.kill()
		if err := v.wipeData(); err != nil {
			return err
		}
		wiped = append(wiped, v)
	}
	for _, end := range away {
		if err := end(); err != nil {
			return err
		}
	}
	for _, v := range wiped {
		if err := v.start(); err != nil {
			return err
		}
	}
	return dp.waitSeats()
}

// awaitTaker waits until a vault has no seat any more, and returns the one that took it, or nil if none did.
func (dp *deployment) awaitTaker(h *host) *host {
	before := dp.roster()
	for end := time.Now().Add(seatTime); time.Now().Before(end); time.Sleep(seatPoll) {
		roster := dp.roster()
		if roster.Find(h.Name) != nil {
			before = roster
			continue
		}
		for _, v := range dp.vaults {
			if s := roster.Find(v.Name); s != nil && before.Find(v.Name) == nil {
				return v
			}
		}
		return nil
	}
	return nil
}

// emptyVault has a vault emptied and starts it again with an empty disk, as a new one.
func (dp *deployment) emptyVault(h *host) error {
	if !dp.vaultLoss.TryLock() {
		return nil
	}
	defer dp.vaultLoss.Unlock()
	dp.store.Set(fake.RetireKey(h.Name), "{}")
	emptied := false
	for end := time.Now().Add(emptyTime); time.Now().Before(end) && !emptied; time.Sleep(seatPoll) {
		emptied = strings.Contains(dp.store.Get(fake.RetiredKey(h.Name)), "done")
	}
	dp.store.Set(fake.RetireKey(h.Name), "")
	dp.store.Set(fake.RetiredKey(h.Name), "")
	h.kill()
	if emptied { // else the operators leave it as it is
		if err := h.wipeData(); err != nil {
			return err
		}
	}
	if err := h.start(); err != nil {
		return err
	}
	return dp.waitSeats()
}

// roster returns the roster of the vaults' seats.
func (dp *deployment) roster() *seats.Roster {
	for {
		r, _, err := dp.registry.Roster(context.Background())
		if err == nil {
			return r
		}
		time.Sleep(seatPoll) // the service is away
	}
}

// waitSeats waits until all seats count. If they do not in time, a violation is recorded.
func (dp *deployment) waitSeats() error {
	var peers wsrpc.Group
	waiting := ""
	for end := time.Now().Add(2 * recoveryTimeout); time.Now().Before(end); time.Sleep(restartPause / 4) {
		roster := dp.roster()
		waiting = roster.String()
		if len(roster.Seats) >= roster.Quorum() && !slices.ContainsFunc(roster.Seats, func(s seats.Seat) bool { return !counts(&peers, s, roster.Version) }) {
			return nil
		}
	}
	dp.ledger.recordNotRecovered("not all seats of " + waiting + " count")
	return nil
}

// counts reports whether the holder of a seat says that it counts under a version of the roster.
func counts(peers *wsrpc.Group, s seats.Seat, version uint64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	m, err := peers.Client(s.Addr).Call(ctx, &vaults.Fetch{Chain: "none"})
	f, ok := m.(*vaults.FetchReply)
	return err == nil && ok && f.Authoritative && f.Version == version
}
