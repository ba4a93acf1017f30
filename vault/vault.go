// Package vault runs one host with a disk: it keeps copies of chains and
// accounts and their log, holds a seat in the roster, and answers gates and
// other vaults.
package vault

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/coordination/growth"
	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/blame"
	"github.com/cowslipstage/cowslipstage/state/caps"
	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/state/homes"
	"github.com/cowslipstage/cowslipstage/state/leave"
	"github.com/cowslipstage/cowslipstage/state/memory"
	"github.com/cowslipstage/cowslipstage/state/peers"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/state/tally"
	"github.com/cowslipstage/cowslipstage/state/tenure"
	"github.com/cowslipstage/cowslipstage/state/usage"
	"github.com/cowslipstage/cowslipstage/transport/files"
	"github.com/cowslipstage/cowslipstage/transport/intake"
	"github.com/cowslipstage/cowslipstage/transport/wallog"
	"github.com/cowslipstage/cowslipstage/transport/window"
	"github.com/cowslipstage/cowslipstage/transport/wsrpc"
)

// Registry is the state in the platform's key-value service that vaults share.
type Registry interface {
	Roster(ctx context.Context) (*seats.Roster, int64, error)
	RecentRoster(ctx context.Context) (*seats.Roster, error)
	PutRoster(ctx context.Context, r *seats.Roster, revision int64) error
	Spares(ctx context.Context) ([]seats.Seat, error)
	PutSpare(ctx context.Context, s seats.Seat) error
	Retiring(ctx context.Context, node string) (bool, error)
	PutRetired(ctx context.Context, node string, done bool) error
	Prefixes() []string
	Follow(ctx context.Context, prefix string, taker vaults.ViewReceiver)
}

const (
	// seatFile holds the roster version since which the data folder is a
	// complete copy for its seat. rosterFile holds the newest roster seen.
	seatFile   = "seat"
	rosterFile = "roster"
	// claimFile holds the roster version that this host last tried to write to get
	// its seat. A host with an empty disk does not have it.
	claimFile = "claim"
	// tenureFile holds all seats that this host has had with its disk, and what seatFile and
	// claimFile said then: the build before writes only those.
	tenureFile = "tenure"
	logFolder  = "log"
	// diskShare is the fraction of the disk that the log may take. The rest is
	// for the file system and for the files above.
	diskShare = 0.9
	// expireEvery is the pause between two removals of expired records.
	expireEvery = 5 * time.Second
	// mailboxSize bounds the messages that wait for the control goroutine.
	mailboxSize = 4096
	// homeBytes is the memory for which a vault remembers the home of one session: some
	// thousand sessions on the smallest hosts, at a hundredth of their memory.
	homeBytes = 32 << 10
	// keptShare is the part of the memory, without what the process takes itself, that programs and
	// turns may take.
	keptShare = 0.64
	ownBytes  = 36 << 20
	// maxWait is how long a gate's message may wait for the control goroutine. The
	// gate has asked another vault by then, and work on what it no longer awaits would keep
	// a vault behind that has fallen behind once.
	maxWait = 250 * time.Millisecond
)

// event is handled by the control goroutine.
type event interface{ event() }

// request is a message that expects an answer.
type request struct {
	message    vaults.Message
	answer     func(vaults.Message)
	receivedAt time.Time
}

// outdated reports whether the sender no longer waits for the answer. Other vaults
// wait longer than gates.
func (r request) outdated(now time.Time) bool {
	switch r.message.(type) {
	case *vaults.List, *vaults.Get:
		return false
	default:
		return now.Sub(r.receivedAt) > maxWait
	}
}

// decline says that nothing was done, so that the sender asks another vault at once. Senders of
// other messages notice by their timeouts.
func (r request) decline() {
	r.answer(vaults.Decline(vaults.Kind(r.message)))
}

// copied holds records from another vault that are already on this disk.
type copied struct{ records []chains.Record }

// stored holds records that are on disk now.
type stored struct{ records []storedRecord }

// task is a function to run on the control goroutine.
type task struct{ run func() }

func (request) event() {}
func (copied) event()  {}
func (stored) event()  {}
func (task) event()    {}

// Vault is one running host with a disk.
type Vault struct {
	site     *site.Site
	registry Registry
	log      zerolog.Logger
	set      *metrics.Set
	meters   meters
	mailbox  chan event
	writer   *writer
	// startedAt is when this process started.
	startedAt time.Time

	// chains and the tallies belong to the control goroutine. The tallies count
	// by endpoint the gates' running calls, and the recent ones that succeeded
	// or failed.
	chains                            *chains.Chains
	runningCalls, successes, failures *tally.Tally
	// sent counts by endpoint what gates recently sent to endpoints that named a limit.
	sent *tally.Tally
	// leaving, caps, relays and blame belong to the control goroutine, too. leaving last changed
	// at leavingLearnedAt.
	leaving          *leave.Marks
	leavingLearnedAt time.Time
	caps             *caps.Caps
	relays           *peers.Peers
	blame            *blame.Blame
	// homes holds the endpoints of sessions; it belongs to the control goroutine, too.
	homes *homes.Homes
	// usage counts what all gates pass by customer; it belongs to the control goroutine, too.
	usage *usage.Usage
	// growth bounds the programs and turns that are kept; it belongs to the control goroutine, too.
	growth *growth.Growth
	// expiring is set while other vaults are asked what they still keep; it belongs to the
	// control goroutine, too.
	expiring bool
	// verdicts and uses write what blame and usage hold to disk.
	verdicts, uses *saver

	peers wsrpc.Group
	// memory bounds what is held of messages, and of texts that are read for answers as one of loads.
	memory *memory.Budget
	loads  *memory.Group

	mu sync.Mutex
	// roster is the newest one known. Its version never decreases.
	roster *seats.Roster
	// caughtUpSince is the roster version since which this host holds all that
	// its seat must. 0 means that it does not count as a copy.
	caughtUpSince uint64
	// countedBefore says that this host had counted with the disk that it started with, and usesRead
	// that nothing of the use of quotas on it was unreadable.
	countedBefore, usesRead bool
	// claimedVersion is the content of claimFile, or 0.
	claimedVersion uint64
	// tenure holds the seats that this host has had with the disk that it has now.
	tenure tenure.Tenure
	// retiring is set once the operators want this host emptied. It then takes no
	// seat any more.
	retiring bool
	// draining is set while this host stores nothing in its seat, because it gives the seat up.
	// removalVersion is the last version of the roster without it that it tried to write.
	draining       bool
	removalVersion uint64
	// views holds what the key-value service holds below each prefix.
	views map[string]*viewState
	// syncing allows one catch-up at a time.
	syncing sync.Mutex
	// packing allows one value at a time to be packed.
	packing sync.Mutex
}

// meters holds a vault's metrics.
type meters struct {
	begins, ends, fetches, refused *metrics.Counter
	// full counts turns that were declined for want of room.
	full *metrics.Counter
	sync *metrics.Histogram
	// panics counts messages whose handling panicked.
	panics *metrics.Counter
	// formers counts the former holders of seats that were asked for their records.
	formers *metrics.Counter
}

// New returns a vault with the records of its data folder.
func New(s *site.Site, r Registry, set *metrics.Set, log zerolog.Logger) (*Vault, error) {
	v := &Vault{
		site: s, registry: r, log: log, set: set, startedAt: time.Now(),
		mailbox: make(chan event, mailboxSize), chains: chains.New(), runningCalls: tally.New(), successes: tally.New(), failures: tally.New(), sent: tally.New(), leaving: leave.New(), caps: caps.New(), relays: peers.New(), blame: blame.New(blame.Crashes), homes: homes.New(int(s.Memory / homeBytes)), usage: usage.New(s.Quota.Window()),
		verdicts: newSaver(s.Data, verdictsFile, log), uses: newSaver(s.Data, usesFile, log),
		roster: &seats.Roster{}, views: map[string]*viewState{}, growth: growth.New(keptBytes(s.Memory)),
		memory: memory.New(s.ClientBytes()),
	}
	v.loads = v.memory.Group(0)
	v.peers.SetMessages(wsrpc.NewMessages(v.memory))
	set.NewGauge("cowslipstage_client_bytes", func() float64 { return float64(v.memory.Taken()) })
	v.meters = meters{
		begins: set.NewCounter("cowslipstage_vault_begins_total"), ends: set.NewCounter("cowslipstage_vault_ends_total"),
		fetches: set.NewCounter("cowslipstage_vault_fetches_total"), refused: set.NewCounter("cowslipstage_vault_refused_total"),
		full: set.NewCounter("cowslipstage_vault_full_total"),
		sync: set.NewHistogram("cowslipstage_vault_sync_seconds"), panics: set.NewCounter("cowslipstage_vault_panics_total"),
		formers: set.NewCounter("cowslipstage_vault_formers_asked_total"),
	}
	if s.Data == "" {
		return nil, errors.New("vault: the settings name no data folder")
	}
	if err := v.loadData(); err != nil {
		return nil, err
	}
	return v, nil
}

// keptBytes returns how much of a host's memory is for programs and turns.
func keptBytes(memory int64) int64 {
	return int64(keptShare * float64(max(memory-ownBytes, memory/4)))
}

// loadData reads the data folder.
func (v *Vault) loadData() error {
	unreadable := 0
	l, err := wallog.Open(filepath.Join(v.site.Data, logFolder), int64(float64(v.site.Disk)*diskShare), func(data []byte, at *wallog.Location) {
		r, err := chains.DecodeFacts(data) // the texts stay on disk
		if err != nil {
			unreadable++
			at.Release()
			return
		}
		v.chains.Add(r)
		v.chains.SetSource(r, at)
	})
	if err != nil {
		return err
	}
	v.writer = newWriter(l, v.site.Memory, v.noteStored, v.meters.sync, v.log)
	if data, err := os.ReadFile(filepath.Join(v.site.Data, rosterFile)); err == nil {
		if err := json.Unmarshal(data, v.roster); err != nil {
			v.log.Warn().Err(err).Msg("roster file unreadable; using the registry's")
		}
	}
	v.caughtUpSince = v.loadVersion(seatFile)
	v.claimedVersion = v.loadVersion(claimFile)
	v.tenure = v.loadTenure()
	v.loadViews()
	v.loadVerdicts(time.Now())
	v.countedBefore, v.usesRead = v.caughtUpSince > 0, v.loadUses(time.Now())
	v.log.Info().Int("records", v.chains.Size()).Int("unreadable", unreadable).Uint64("caught", v.caughtUpSince).
		Stringer("roster", v.roster).Bool("fresh", v.site.FirstStart).Msg("data folder read")
	return nil
}

// loadVersion reads a roster version from a file. It returns 0 if there is none, in
// which case this host catches up.
func (v *Vault) loadVersion(name string) uint64 {
	data, err := os.ReadFile(filepath.Join(v.site.Data, name))
	if err != nil {
		return 0
	}
	version, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil {
		v.log.Warn().Err(err).Str("file", name).Msg("version file unreadable; skipped")
	}
	return version
}

// storeVersion writes a roster version to a file.
func (v *Vault) storeVersion(name string, version uint64) error {
	return files.Replace(filepath.Join(v.site.Data, name), strconv.AppendUint(nil, version, 10))
}

// Addr returns the address at which other processes reach this vault.
func (v *Vault) Addr() string {
	if v.site.Control != "" {
		return v.site.Control
	}
	return net.JoinHostPort(v.site.IP, strconv.Itoa(v.site.FirstPort))
}

// Run serves until ctx ends.
func (v *Vault) Run(ctx context.Context) error {
	listener, err := intake.Listen(v.Addr(), window.PeerBytes)
	if err != nil {
		return errors.Wrap(err, "vault: listening")
	}
	server := intake.New(wsrpc.NewHandler(ctx, v.handle, wsrpc.NewMessages(v.memory), v.log), intake.Options{
		Name: "control", Budget: v.memory, Conns: v.site.PeerConns(intake.ConnBytes), Set: v.set, Log: v.log,
	})
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			v.log.Error().Err(err).Msg("listener failed")
		}
	}()
	go v.writer.run()
	go v.verdicts.run(ctx.Done())
	go v.uses.run(ctx.Done())
	go v.seatLoop(ctx)
	go v.retireLoop(ctx)
	v.followViews(ctx)
	v.controlLoop(ctx)
	_ = server.Close() // callers of open calls retry at other seats
	return v.writer.stop()
}

// handle passes a message from the network to its handler. A message is dropped
// if the mailbox is full.
func (v *Vault) handle(m vaults.Message, answer func(vaults.Message)) {
	switch m := m.(type) {
	case *vaults.Adopt:
		go func() {
			defer v.recoverPanic(request{message: m, answer: answer})
			v.answerAdopt(m, answer)
		}()
	case *vaults.AwaitView:
		go func() {
			defer v.recoverPanic(request{message: m, answer: answer})
			answer(v.answerAwaitView(m))
		}()
	default:
		select {
		case v.mailbox <- request{m, answer, time.Now()}:
		default:
			v.meters.refused.Inc()
			request{message: m, answer: answer}.decline()
		}
	}
}

// controlLoop is the control goroutine, which owns the chains and tallies.
func (v *Vault) controlLoop(ctx context.Context) {
	tick := time.NewTicker(expireEvery)
	defer tick.Stop()
	logged := time.NewTicker(usesEvery)
	defer logged.Stop()
	saved := time.NewTicker(usage.Interval)
	defer saved.Stop()
	for {
		select {
		case e := <-v.mailbox:
			v.handleEvent(e)
		case now := <-logged.C:
			v.logUses(now)
		case now := <-saved.C:
			if s, changed := v.usage.Save(now); changed {
				v.uses.put(s)
			}
		case now := <-tick.C:
			v.startExpiry(ctx, now)
		case <-ctx.Done():
			return
		}
	}
}

// handleEvent handles one event. A panic ends that event only: its sender gets no
// answer and asks another vault.
func (v *Vault) handleEvent(e event) {
	defer v.recoverPanic(e)
	switch e := e.(type) {
	case request:
		now := time.Now()
		if e.outdated(now) {
			v.meters.refused.Inc()
			e.decline()
			return
		}
		v.answerRequest(now, e)
	case copied:
		for _, r := range e.records {
			v.chains.Add(r)
		}
	case stored:
		for _, r := range e.records {
			v.chains.SetSource(r.record, r.at)
		}
	case task:
		e.run()
	}
}

// recoverPanic logs and counts a panic while something was handled.
func (v *Vault) recoverPanic(handled any) {
	if p := recover(); p != nil {
		v.meters.panics.Inc()
		r, isRequest := handled.(request)
		if isRequest {
			handled = r.message
		}
		v.log.Error().Interface("panic", p).Bytes("stack", debug.Stack()).Type("handled", handled).Msg("panic; only this message is dropped")
		if isRequest {
			r.answer(nil)
		}
	}
}

// noteStored notes where records are on disk. It reports false if too many events wait; then
// it is to be told again, since what nobody notes is never released.
func (v *Vault) noteStored(records []storedRecord) bool {
	select {
	case v.mailbox <- stored{records}:
		return true
	default:
		return false
	}
}

// runOnControl runs a function on the control goroutine and waits for it.
func (v *Vault) runOnControl(ctx context.Context, run func()) error {
	done := make(chan struct{})
	select {
	case v.mailbox <- task{func() { defer close(done); run() }}:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// seatState returns the newest roster and whether this host counts as a copy.
func (v *Vault) seatState() (*seats.Roster, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	seat := v.roster.Find(v.site.Node)
	return v.roster, seat != nil && seat.SinceVersion == v.caughtUpSince
}

// adopt stores and uses a roster if it is newer, and returns the newest.
func (v *Vault) adopt(r *seats.Roster) *seats.Roster {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r == nil || r.Version <= v.roster.Version {
		return v.roster
	}
	data, err := json.Marshal(r)
	if err == nil {
		err = files.Replace(filepath.Join(v.site.Data, rosterFile), data)
	}
	if err != nil {
		v.log.Error().Err(err).Stringer("roster", r).Msg("roster not adopted: writing it to disk failed")
		return v.roster
	}
	v.log.Info().Stringer("old", v.roster).Stringer("new", r).Msg("roster adopted")
	v.roster = r
	return r
}

// peer returns the client for another vault.
func (v *Vault) peer(addr string) *wsrpc.Client { return v.peers.Client(addr) }
