package command

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"filbertusher/internal/admin"
	"filbertusher/internal/config"
	"filbertusher/internal/link"
	"filbertusher/internal/member"
	"filbertusher/internal/operator"
	"filbertusher/internal/settings"
	"filbertusher/internal/spread"
	"filbertusher/internal/telemetry"
	"filbertusher/pkg/usher"
	"filbertusher/platform"
)

// process is what every long-running process has: its settings of the store
// and of the operators' listener, a log, and the configuration it follows.
type process struct {
	storeAddress string
	adminAddress string
	zone         string
	logLevel     string
	drainTimeout time.Duration
	peers        []string

	log         zerolog.Logger
	incarnation usher.Incarnation
	store       *platform.Client
	config      *config.Holder
	admin       *admin.Server
	group       *errgroup.Group
}

// declare adds the settings that every process has.
func (p *process) declare(set *settings.Set) {
	set.Address(&p.storeAddress, "store", "", true, "the platform's object API")
	set.Address(&p.adminAddress, "admin", "127.0.0.1:0", true, "where operators reach this process")
	set.Text(&p.zone, "zone", "", true, "the availability zone of this instance")
	set.Choice(&p.logLevel, "log-level", "info", []string{"debug", "info", "warn", "error"}, "the least important level that is logged")
	set.Addresses(&p.peers, "peers", "", "processes to fetch the configuration from when this one starts, for a start while the store is down")
	set.Duration(&p.drainTimeout, "drain-timeout", 30*time.Second, 0, time.Hour, "how long a planned stop waits for requests in flight")
}

// start opens the operators' listener.
func (p *process) start(ctx context.Context, errOut io.Writer) (context.Context, error) {
	level, err := zerolog.ParseLevel(p.logLevel)
	if err != nil {
		return ctx, err
	}
	p.log = telemetry.NewLogger(errOut, level)
	telemetry.RedirectStandardLog(p.log)
	p.incarnation = usher.Incarnation(uuid.NewString())
	p.store = platform.NewClientAt(p.storeAddress)
	p.config = config.NewHolder()
	listener, err := net.Listen("tcp", p.adminAddress)
	if err != nil {
		return ctx, err
	}
	p.admin = admin.New(listener)
	group, ctx := errgroup.WithContext(ctx)
	p.group = group
	group.Go(func() error { return p.admin.Serve(ctx) })
	p.log.Info().Str("admin", listener.Addr().String()).Str("incarnation", string(p.incarnation)).Msg("started")
	return ctx, nil
}

// follow keeps the configuration up to date and serves it to peers, which
// reach this process at the server's address. endpoint is empty for entries.
func (p *process) follow(ctx context.Context, server *link.Server, address string, endpoint usher.EndpointName) error {
	spreading := spread.New(spread.Self{
		Endpoint: endpoint, Incarnation: p.incarnation, Zone: usher.AvailabilityZone(p.zone), Address: address, Seeds: p.peers,
	}, p.store, p.config, p.log)
	if err := server.Register("Peer", spread.NewRPC(spreading)); err != nil {
		return err
	}
	p.admin.Section("config", spreading.State)
	p.group.Go(func() error { return spreading.Run(ctx) })
	p.group.Go(func() error { return server.Serve(ctx) })
	hints := member.NewHints(p.store, operator.New(p.store, "filbertusher"), p.config, spreading.WatchesStore, p.log)
	p.group.Go(func() error { return hints.Run(ctx) })
	return nil
}

// ready says that the process may get work once it knows a configuration.
func (p *process) ready(ctx context.Context) {
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

// awaitStop returns when a planned stop was asked for, by a signal or by an
// operator.
func (p *process) awaitStop(signalled context.Context) {
	select {
	case <-signalled.Done():
	case <-p.admin.Stopped():
	}
	p.admin.SetReady(false)
	p.log.Info().Msg("stopping")
}
