package cmds

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"os"
	"reflect"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/spf13/cobra"

	"github.com/cowslipstage/cowslipstage/coordination/hedge"
	"github.com/cowslipstage/cowslipstage/gate"
	"github.com/cowslipstage/cowslipstage/platform"
	"github.com/cowslipstage/cowslipstage/state/site"
	"github.com/cowslipstage/cowslipstage/state/toggle"
	"github.com/cowslipstage/cowslipstage/transport/intake"
	"github.com/cowslipstage/cowslipstage/transport/window"
	"github.com/cowslipstage/cowslipstage/vault"
)

const (
	// maxQueuedLogLines bounds the log lines that wait to be written. Further lines
	// are dropped and counted.
	maxQueuedLogLines = 4096
	// logPollInterval is how often the log writer checks for queued lines.
	logPollInterval = 50 * time.Millisecond
	// memoryLimitShare is the share of a process's memory that is set as the garbage
	// collector's limit. The rest is for socket buffers and bursts.
	memoryLimitShare = 0.6
	// programBytes is what the program's own text takes of the memory. On small machines the limit is
	// burstShare of the rest, since the collector exceeds it for moments.
	programBytes = 21 << 20
	burstShare   = 0.75
)

func gateCommand() *cobra.Command {
	o := &roleOptions{}
	var without string
	var hedgeShare float64
	c := &cobra.Command{
		Use:   "gate",
		Short: "Serve callers on the users' platform",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			off, err := toggle.Parse(without)
			if err != nil {
				return err
			}
			if err := hedge.CheckShare(hedgeShare); err != nil {
				return err
			}
			return o.run(c.Context(), "gate", func(r *role) error {
				r.site.Off, r.site.HedgeShare = off, hedgeShare
				if without != "" {
					r.log.Warn().Str("without", without).Msg("mechanisms are switched off")
				}
				g := gate.New(r.site, platform.Dialect{}, platform.NewRegistry(r.store), r.set, r.log)
				views := g.NewViewListener(platform.NewViewDecoder(g, r.log))
				// A gate that drains still serves requests, so that keys revoked meanwhile
				// must stop working there.
				untilStopped, cancel := context.WithCancel(context.WithoutCancel(r.context))
				defer cancel()
				views.Listen(untilStopped)
				for _, prefix := range platform.Prefixes() {
					go platform.Follow(untilStopped, r.store, prefix, views)
				}
				return g.Run(r.context)
			})
		},
	}
	o.register(c)
	c.Flags().StringVar(&without, "without", "", fmt.Sprintf("mechanisms to switch off, separated by commas: %v", toggle.All()))
	c.Flags().IntVar(&o.clients.Conns, "client-connections", 0, "connections that callers may have at once; 0 for nearly half of the descriptors")
	c.Flags().Float64Var(&hedgeShare, "hedges", 0, "most copies of slow requests per request, such as 0.05; 0 sends none")
	return c
}

func vaultCommand() *cobra.Command {
	o := &roleOptions{}
	c := &cobra.Command{
		Use:   "vault",
		Short: "Keep chains of turns and accounts on the platform's disks",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return o.run(c.Context(), "vault", func(r *role) error {
				v, err := vault.New(r.site, platform.NewRegistry(r.store), r.set, r.log)
				if err != nil {
					return err
				}
				return v.Run(r.context)
			})
		},
	}
	o.register(c)
	return c
}

// roleOptions holds the flags that the gate and vault commands share.
type roleOptions struct {
	settings string
	level    string
	metrics  string
	clients  site.Clients
}

func (o *roleOptions) register(c *cobra.Command) {
	c.Flags().StringVar(&o.settings, "settings", platform.SettingsPath(), "the platform's settings file")
	c.Flags().StringVar(&o.level, "log", "info", "log level")
	c.Flags().StringVar(&o.metrics, "metrics", "", "port for /metrics; empty serves none")
	c.Flags().Float64Var(&o.clients.Share, "client-memory", site.DefaultClients.Share, "share of the memory that is for clients: connections, requests and what follows from them")
}

// role holds the dependencies with which a gate or vault is started.
type role struct {
	context context.Context
	site    *site.Site
	store   *platform.Store
	set     *metrics.Set
	log     zerolog.Logger
}

func (o *roleOptions) run(ctx context.Context, name string, serve func(*role) error) error {
	signals := catchSignals()
	s, err := platform.LoadSettings(o.settings)
	if err != nil {
		return err
	}
	set := metrics.NewSet()
	dropped := set.NewCounter("cowslipstage_log_lines_dropped_total")
	out := diode.NewWriter(os.Stdout, maxQueuedLogLines, logPollInterval, func(n int) { dropped.Add(n) })
	defer func() { _ = out.Close() }() // a failure could not be logged
	level, err := zerolog.ParseLevel(o.level)
	if err != nil {
		return err
	}
	log := zerolog.New(out).Level(level).With().Timestamp().Str("node", s.Node).Logger()
	if s.Memory > 0 && s.Memory < math.MaxInt64/2 {
		debug.SetMemoryLimit(memoryLimit(s.Memory))
	}
	if err := o.clients.Check(); err != nil {
		return err
	}
	ctx, cancel := signals.stopContext(ctx)
	defer cancel()
	loaded := *s // without what the role's own flags set
	go o.reloadLoop(signals.reload, &loaded, log)
	s.Clients = o.clients
	if o.metrics != "" {
		go serveMetrics(s.IP+":"+o.metrics, set, log)
	}
	log.Info().Str("role", name).Str("centre", s.Centre).Bool("fresh", s.FirstStart).Int("losses", s.MaxLostHosts).Msg("starting")
	err = serve(&role{context: ctx, site: s, store: platform.NewStore(s.Store, set), set: set, log: log})
	log.Info().Err(err).Msg("ended")
	return err
}

// memoryLimit returns the garbage collector's limit for a process with so much memory.
func memoryLimit(memory int64) int64 {
	return int64(min(memoryLimitShare*float64(memory), burstShare*float64(max(memory-programBytes, memory/4))))
}

// reloadLoop reads the settings again at each request and logs whether they changed.
// Changes take effect only when the process starts again.
func (o *roleOptions) reloadLoop(requests <-chan os.Signal, old *site.Site, log zerolog.Logger) {
	for range requests {
		s, err := platform.LoadSettings(o.settings)
		if err != nil {
			log.Error().Err(err).Msg("settings not reloaded, keeping the previous ones")
			continue
		}
		log.Info().Bool("changed", !reflect.DeepEqual(s, old)).Msg("settings reloaded; changes take effect at the next start")
	}
}

func serveMetrics(addr string, set *metrics.Set, log zerolog.Logger) {
	mux := http.NewServeMux()
	mux.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	listener, err := intake.Listen(addr, window.Bytes)
	if err == nil {
		err = intake.NewBrief(mux, "metrics", set, log).Serve(listener)
	}
	log.Warn().Err(err).Msg("metrics server ended")
}
