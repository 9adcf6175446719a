package command

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"filbertusher/internal/admin"
	"filbertusher/internal/blame"
	"filbertusher/internal/config"
	"filbertusher/internal/configsync"
	"filbertusher/internal/endpointset"
	"filbertusher/internal/operator"
	"filbertusher/internal/peerrpc"
	"filbertusher/internal/settings"
	"filbertusher/internal/telemetry"
	"filbertusher/pkg/usher"
	"filbertusher/platform"
)

// process holds what entries and companions have in common: settings, the log, the
// store's client, the current configuration, the admin server and the components.
type process struct {
	storeAddress  string
	adminAddress  string
	zone          string
	logLevel      string
	drainTimeout  time.Duration
	peerAddresses []string

	log         zerolog.Logger
	incarnation usher.Incarnation
	store       *platform.Client
	config      *config.Holder
	admin       *admin.Server
	parts       *components
}

// declare adds the common settings to set.
func (p *process) declare(set *settings.Set) {
	set.Address(&p.storeAddress, "store", "", true, "the address of the platform's object API")
	set.Address(&p.adminAddress, "admin", "127.0.0.1:0", true, "the address of the admin server")
	set.String(&p.zone, "zone", "", true, "the availability zone of this instance")
	set.Choice(&p.logLevel, "log-level", "info", []string{"debug", "info", "warn", "error"}, "the lowest level that is logged")
	set.Addresses(&p.peerAddresses, "peers", "", "addresses of processes to fetch the configuration from at startup, in case the store is down")
	set.Duration(&p.drainTimeout, "drain-timeout", 30*time.Second, 0, time.Hour, "how long a graceful stop waits for requests in flight")
}

// start sets up the log and the store's client and starts the admin server.
func (p *process) start(ctx context.Context, errOut io.Writer) error {
	level, err := zerolog.ParseLevel(p.logLevel)
	if err != nil {
		return err
	}
	p.log = telemetry.NewLogger(errOut, level)
	telemetry.RedirectStandardLog(p.log)
	p.incarnation = usher.Incarnation(uuid.NewString())
	p.store = platform.NewClientAt(p.storeAddress)
	p.config = config.NewHolder()
	listener, err := net.Listen("tcp", p.adminAddress)
	if err != nil {
		return err
	}
	p.admin = admin.New(listener)
	p.parts = newComponents()
	p.parts.run(func() error { return p.admin.Serve(ctx) })
	p.parts.runUntilDone(func() { logRestorations(ctx, p.store, p.log) })
	p.log.Info().Str("admin", listener.Addr().String()).Str("incarnation", string(p.incarnation)).Msg("started")
	return nil
}

// syncConfig keeps the configuration up to date and serves it to peers, which reach
// this process at address. It also serves server. endpoint is empty for entries.
func (p *process) syncConfig(ctx context.Context, server *peerrpc.Server, address string, endpoint usher.EndpointName) error {
	syncer := configsync.New(configsync.LocalProcess{
		Endpoint: endpoint, Incarnation: p.incarnation, Zone: usher.AvailabilityZone(p.zone), Address: address, Seeds: p.peerAddresses,
	}, p.store, p.config, p.log)
	if err := server.Register("Peer", configsync.NewPeerService(syncer)); err != nil {
		return err
	}
	p.admin.AddSection("config", syncer.State)
	p.parts.run(func() error { return syncer.Run(ctx) })
	p.parts.run(func() error { return server.Serve(ctx) })
	monitor := endpointset.NewInstanceMonitor(p.store, operator.New(p.store, "filbertusher"), p.config, syncer.WatchesStore, p.log)
	p.parts.run(func() error { return monitor.Run(ctx) })
	return nil
}

// awaitConfig marks the process as ready once it has a configuration.
func (p *process) awaitConfig(ctx context.Context) {
	for p.config.Current().Version == 0 {
		select {
		case <-p.config.Changed():
		case <-ctx.Done():
			return
		}
	}
	p.admin.SetReady(true)
	p.log.Info().Msg("ready")
}

// awaitStop waits until a signal or an operator requests a graceful stop or a component
// fails, and marks the process as not ready.
func (p *process) awaitStop(signalCtx context.Context) {
	select {
	case <-signalCtx.Done():
	case <-p.admin.StopRequested():
	case <-p.parts.failed:
		p.log.Error().Err(p.parts.cause).Msg("componentFailed")
	}
	p.admin.SetReady(false)
	p.log.Info().Msg("stopping")
}

// newBlame returns a table of what crashes endpoints, which logs what it finds.
func newBlame(log zerolog.Logger) *blame.Table {
	return blame.New(time.Now, func(trait blame.Trait, crashes int) {
		log.Warn().Str("label", trait.Label).Bool("whole", trait.Whole).Int("crashes", crashes).Msg("crashCauseFound")
	})
}

// logRestorations logs each time that the store went back to an earlier state, until
// ctx ends.
func logRestorations(ctx context.Context, store usher.EraSource, log zerolog.Logger) {
	for {
		select {
		case <-store.Restored():
			log.Warn().Uint16("era", uint16(store.Era())).Msg("storeWentBack")
		case <-ctx.Done():
			return
		}
	}
}
