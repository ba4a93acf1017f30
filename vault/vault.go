// Package vault wires one host with a disk together: the chains and accounts
// that it is a copy of, their log, its seat, and what it tells gates and other
// vaults.
package vault

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/cowslipstage/cowslipstage/coordination/seats"
	"github.com/cowslipstage/cowslipstage/protocol/vaults"
	"github.com/cowslipstage/cowslipstage/state/chains"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/state/tally"
	"github.com/cowslipstage/cowslipstage/transport/calls"
	"github.com/cowslipstage/cowslipstage/transport/files"
	"github.com/cowslipstage/cowslipstage/transport/wallog"
)

// Registry is what vaults agree on in the platform's key-value service.
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
	// seatFile says since which roster's version the folder holds all that a
	// seat must; rosterFile is the newest roster seen.
	seatFile   = "seat"
	rosterFile = "roster"
	logFolder  = "log"
	// diskShare is the part of the disk that the log may take; the rest is for
	// the file system and for the files above.
	diskShare = 0.9
	// expireEvery is the pause between two looks for expired records.
	expireEvery = 5 * time.Second
	// mailboxSize bounds the messages that wait for the control goroutine.
	mailboxSize = 4096
)

// event is something for the control goroutine.
type event interface{ event() }

// asked is a message that wants an answer.
type asked struct {
	message vaults.Message
	answer  func(vaults.Message)
}

// learned are records from another vault, already on disk here.
type learned struct{ records []chains.Record }

// task runs on the control goroutine.
type task struct{ run func() }

func (asked) event()   {}
func (learned) event() {}
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

	// chains and the tallies belong to the control goroutine: the gates' running
	// calls, and those that ended well or failed, by endpoint.
	chains           *chains.Chains
	calls, good, bad *tally.Tally

	peers calls.Group

	mu sync.Mutex
	// roster is the newest known; it never goes back.
	roster *seats.Roster
	// caught is the version since which this host holds all that its seat must;
	// 0 means that it does not count as a copy.
	caught uint64
	// boards are what the key-value service holds below each prefix.
	boards map[string]*board
	// syncing allows one catching up at a time.
	syncing sync.Mutex
}

type meters struct {
	begins, ends, fetches, refused *metrics.Counter
	sync                           *metrics.Histogram
}

// New returns a vault with the records of its data folder.
func New(s *site.Site, r Registry, set *metrics.Set, log zerolog.Logger) (*Vault, error) {
	v := &Vault{
		site: s, registry: r, log: log, set: set,
		mailbox: make(chan event, mailboxSize), chains: chains.New(), calls: tally.New(), good: tally.New(), bad: tally.New(),
		roster: &seats.Roster{}, boards: map[string]*board{},
	}
	v.meters = meters{
		begins: set.NewCounter("cowslipstage_vault_begins_total"), ends: set.NewCounter("cowslipstage_vault_ends_total"),
		fetches: set.NewCounter("cowslipstage_vault_fetches_total"), refused: set.NewCounter("cowslipstage_vault_refused_total"),
		sync: set.NewHistogram("cowslipstage_vault_sync_seconds"),
	}
	if s.Data == "" {
		return nil, errors.New("vault: the settings name no data folder")
	}
	if err := v.load(); err != nil {
		return nil, err
	}
	return v, nil
}

// load reads the data folder.
func (v *Vault) load() error {
	unreadable := 0
	l, err := wallog.Open(filepath.Join(v.site.Data, logFolder), int64(float64(v.site.Disk)*diskShare), func(data []byte) time.Time {
		r, err := chains.Decode(data)
		if err != nil {
			unreadable++
			return time.Time{}
		}
		v.chains.Add(r)
		return chains.ExpiresAt(r)
	})
	if err != nil {
		return err
	}
	v.writer = newWriter(l, v.meters.sync, v.log)
	if data, err := os.ReadFile(filepath.Join(v.site.Data, rosterFile)); err == nil {
		if err := json.Unmarshal(data, v.roster); err != nil {
			v.log.Warn().Err(err).Msg("roster file unreadable; the store's is used")
		}
	}
	if data, err := os.ReadFile(filepath.Join(v.site.Data, seatFile)); err == nil {
		if v.caught, err = strconv.ParseUint(string(data), 10, 64); err != nil {
			v.log.Warn().Err(err).Msg("seat file unreadable; catching up")
		}
	}
	v.loadViews()
	v.log.Info().Int("records", v.chains.Size()).Int("unreadable", unreadable).Uint64("caught", v.caught).
		Stringer("roster", v.roster).Bool("fresh", v.site.FirstStart).Msg("data folder read")
	return nil
}

// Addr returns where other processes reach this vault.
func (v *Vault) Addr() string {
	if v.site.Control != "" {
		return v.site.Control
	}
	return net.JoinHostPort(v.site.IP, strconv.Itoa(v.site.FirstPort))
}

// Run serves until ctx ends.
func (v *Vault) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", v.Addr())
	if err != nil {
		return errors.Wrap(err, "vault: listening")
	}
	server := &http.Server{Handler: calls.Serve(ctx, v.handle, v.log), ReadHeaderTimeout: time.Second}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			v.log.Error().Err(err).Msg("no longer listening")
		}
	}()
	go v.writer.run()
	go v.seatLoop(ctx)
	go v.retireLoop(ctx)
	v.follow(ctx)
	v.control(ctx)
	_ = server.Close() // open calls fail over to other seats
	return v.writer.stop()
}

// handle takes a message from the network.
func (v *Vault) handle(m vaults.Message, answer func(vaults.Message)) {
	switch m := m.(type) {
	case *vaults.Adopt:
		go v.answerAdopt(m, answer)
	case *vaults.AwaitView:
		go func() { answer(v.brief(m)) }()
	default:
		select {
		case v.mailbox <- asked{m, answer}:
		default:
			v.meters.refused.Inc() // the asker's timeout tells it
		}
	}
}

// control is the goroutine of the chains.
func (v *Vault) control(ctx context.Context) {
	tick := time.NewTicker(expireEvery)
	defer tick.Stop()
	for {
		select {
		case e := <-v.mailbox:
			v.step(e)
		case now := <-tick.C:
			v.chains.Expire(now)
			v.writer.expire(now)
		case <-ctx.Done():
			return
		}
	}
}

func (v *Vault) step(e event) {
	switch e := e.(type) {
	case asked:
		v.answer(time.Now(), e)
	case learned:
		for _, r := range e.records {
			v.chains.Add(r)
		}
	case task:
		e.run()
	}
}

// do runs a function on the control goroutine and waits for it.
func (v *Vault) do(ctx context.Context, run func()) error {
	done := make(chan struct{})
	select {
	case v.mailbox <- task{func() { run(); close(done) }}:
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

// standing returns the newest roster and whether this host counts as a copy.
func (v *Vault) standing() (*seats.Roster, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	seat := v.roster.Find(v.site.Node)
	return v.roster, seat != nil && seat.SinceVersion == v.caught
}

// adopt takes a roster if it is newer, and returns the newest.
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
		v.log.Error().Err(err).Stringer("roster", r).Msg("roster not adopted: the disk refused")
		return v.roster
	}
	v.log.Info().Stringer("old", v.roster).Stringer("new", r).Msg("roster adopted")
	v.roster = r
	return r
}

// peer returns the client of another vault.
func (v *Vault) peer(addr string) *calls.Client { return v.peers.Client(addr) }
