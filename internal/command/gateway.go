package command

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/sync/errgroup"

	"filbertusher/internal/admin"
	"filbertusher/internal/discovery"
	"filbertusher/internal/dispatch"
	"filbertusher/internal/gateway"
	"filbertusher/internal/link"
	"filbertusher/internal/pause"
	"filbertusher/internal/peering"
	"filbertusher/internal/quota"
	"filbertusher/internal/record"
	"filbertusher/internal/retrybudget"
	"filbertusher/internal/roster"
	"filbertusher/internal/routing"
	"filbertusher/internal/suspect"
	"filbertusher/internal/telemetry"
	"filbertusher/internal/upstream"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
	"filbertusher/platform"
)

const (
	// logLines is how many lines wait to be written before the newest is dropped.
	logLines = 4096
	// logPoll is how often lines that wait are written.
	logPoll = 20 * time.Millisecond
	// memoryShare is the part of the memory limit from which on garbage is
	// collected more eagerly.
	memoryShare = 0.7
	// settleTime is how long the balancer needs to take an instance that is no
	// longer ready out of rotation, with a second to spare.
	settleTime = 3 * time.Second
	// lastMoment is how long before the platform ends the process what is still
	// in flight is cut.
	lastMoment = 400 * time.Millisecond
	// settingsEvery is how often the settings file is looked at, as it may change
	// without a signal.
	settingsEvery = 2 * time.Second
	// withdrawTimeout bounds the last call of a process to the store.
	withdrawTimeout = 300 * time.Millisecond
	// poolSweepEvery is how often connections to endpoints are looked at.
	poolSweepEvery = time.Second
	// seedsEvery is the pause between two rounds of asking seeds.
	seedsEvery = 300 * time.Millisecond
	// recordInterval is how long decisions are gathered, and so how many are lost
	// with a process.
	recordInterval = 5 * time.Second
	// recordWrites is the part of the store's writes that the record may use, and
	// recordMemoryPart the part of the memory, as a divisor.
	recordWrites     = 0.1
	recordMemoryPart = 10
	// defaultMetricsPort is where metrics are served.
	defaultMetricsPort = 9101
)

// gatewayProcess is one gateway and all that belongs to it.
type gatewayProcess struct {
	config      string
	metricsPort int
	logLevel    string

	// hangup gets the signals that tell of changed settings.
	hangup    chan os.Signal
	settings  atomic.Pointer[platform.Settings]
	log       zerolog.Logger
	admin     *admin.Server
	routes    *routing.Holder
	roster    *roster.Roster
	scheduler *dispatch.Scheduler
	pool      *upstream.Pool
	quota     *quota.Quota
	budget    *retrybudget.Budget
	suspects  *suspect.Table
	follower  *discovery.Watcher
	peering   *peering.Peering
	gateway   *gateway.Gateway
	recorder  *record.Recorder
}

// noPeers says that no other process holds copies of the record.
type noPeers struct{}

// Names implements record.Peers.
func (noPeers) Names() []usher.EndpointName { return nil }

// Exchange implements record.Peers; it is never called without names.
func (noPeers) Exchange(_ context.Context, endpoint usher.EndpointName, _ *wire.RecordArgs) (*wire.RecordReply, error) {
	return nil, &usher.NotFoundError{Key: usher.ObjectKey(endpoint)}
}

func newGatewayCommand() *Command {
	command := New("gateway", "serve callers of the platform and send to endpoints directly")
	p := &gatewayProcess{hangup: make(chan os.Signal, 1)}
	command.Settings.Text(&p.config, "config", "/etc/filbertusher/settings.toml", true, "the platform's settings file")
	command.Settings.Int(&p.metricsPort, "metrics-port", defaultMetricsPort, 1, 65535, "where metrics and the dump are served")
	command.Settings.Choice(&p.logLevel, "log-level", "info", []string{"debug", "info", "warn", "error"}, "the least severe lines to write")
	command.Run = p.run
	return command
}

func (p *gatewayProcess) run(signalled context.Context, out, _ io.Writer) error {
	// Before the settings are read: a change that is signalled while the process
	// starts would end it otherwise.
	signal.Notify(p.hangup, syscall.SIGHUP)
	defer signal.Stop(p.hangup)
	settings, err := platform.Load(p.config)
	if err != nil {
		return err
	}
	p.settings.Store(settings)
	level, err := zerolog.ParseLevel(p.logLevel)
	if err != nil {
		return err
	}
	lines := telemetry.NewMetrics("log")
	writer := diode.NewWriter(out, logLines, logPoll, func(missed int) { lines.Add("dropped", int64(missed)) })
	defer writer.Close()
	p.log = telemetry.NewLogger(writer, level)
	telemetry.RedirectStandardLog(p.log)
	debug.SetMemoryLimit(int64(float64(settings.MemoryLimitBytes) * memoryShare))
	p.build(settings)
	return p.serve(signalled, settings)
}

// build makes the parts and wires them up.
func (p *gatewayProcess) build(s *platform.Settings) {
	self := usher.GatewayInstance{
		Name: s.Name, Incarnation: usher.Incarnation(uuid.NewString()), Address: s.PeerAddress, Zone: s.Zone,
		Beat: time.Now().UnixNano(),
	}
	p.routes = routing.NewHolder(func(from, to usher.Version, source string) {
		p.log.Info().Uint64("from", uint64(from)).Uint64("to", uint64(to)).Str("source", source).Msg("configurationInForce")
		p.feedScheduler()
	})
	p.roster = roster.New(s.Bounds.RegistrationGrace, time.Now, func(change usher.EndpointChange, why string) {
		p.log.Info().Str("endpoint", string(change.Name)).Str("service", string(change.Service)).Str("address", change.Address).
			Bool("usable", change.Usable).Bool("leaving", change.Leaving).Str("why", why).Msg("endpointChanged")
	})
	p.scheduler = dispatch.New(dispatch.Options{Zone: s.Zone, Self: s.Name})
	p.pool = upstream.New(platform.Dialect{})
	p.quota = quota.New(quota.Tolerance{
		Window: s.Bounds.QuotaWindow, Overage: s.Bounds.QuotaOverageFraction, Slack: s.Bounds.QuotaSlack,
	}, self.Incarnation, s.Bootstrap, time.Now)
	p.budget = retrybudget.New(budgetRules(s), time.Now)
	p.suspects = suspect.NewTable()
	client := platform.NewClient(func() string { return p.settings.Load().StoreAddress })
	p.follower = discovery.New(discovery.Options{
		Directory: platform.NewDirectory(client), Routes: p.routes, Roster: p.roster, Self: self, Log: p.log,
		OnInstances: p.setInstances, OnEndpointsChanged: p.feedScheduler,
	})
	p.peering = peering.New(self, s.SeedAddresses, peering.Parts{
		Routes: p.routes, Roster: p.roster, Scheduler: p.scheduler, Quota: p.quota, Suspects: p.suspects,
		Log: p.log, RosterAge: p.follower.RosterAge, EndpointsChanged: p.feedScheduler,
	})
	p.recorder = record.NewRecorder(record.Options{
		Interval: recordInterval, WritesPerSecond: s.StoreWritesPerSecond * recordWrites, Limit: s.MemoryLimitBytes / recordMemoryPart,
	}, client, self.Incarnation, p.log)
	p.gateway = gateway.New(gateway.Options{MaxRevocationDelay: s.Bounds.MaxRevocationDelay}, gateway.Dependencies{
		Dialect: platform.Dialect{}, Routes: p.routes, Scheduler: p.scheduler, Pool: p.pool,
		Quota: p.quota, Budget: p.budget, Suspects: p.suspects, Recorder: p.recorder, IDs: record.NewIDSource(self.Incarnation), Log: p.log,
	})
}

func budgetRules(s *platform.Settings) retrybudget.Limits {
	return retrybudget.Limits{Ratio: s.Bounds.RetryBudgetRatio, Extra: s.Bounds.RetryBudgetExtra, Window: s.Bounds.RetryBudgetWindow}
}

// setInstances tells all parts which instances there are.
func (p *gatewayProcess) setInstances(ctx context.Context, instances []usher.GatewayInstance) {
	names := make([]string, 0, len(instances))
	for _, instance := range instances {
		names = append(names, instance.Name)
	}
	p.scheduler.SetMembers(names)
	p.budget.SetInstanceCount(len(names))
	p.quota.SetInstanceCount(len(names))
	p.peering.SetInstances(ctx, instances)
}

// feedScheduler passes on the endpoints of each service in the configuration.
func (p *gatewayProcess) feedScheduler() {
	index := p.routes.Index()
	if index == nil {
		return
	}
	snapshot := p.roster.Snapshot()
	for i := range index.Table.Services {
		service := &index.Table.Services[i]
		p.scheduler.SetEndpoints(service.Name, dispatch.ServiceSpec{
			Engine: service.Engine, Slots: service.Slots, TokensPerEvent: service.TokensPerEvent,
		}, snapshot.ByService[service.Name])
	}
}

func (p *gatewayProcess) serve(signalled context.Context, s *platform.Settings) error {
	callers, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		return err
	}
	readiness, err := net.Listen("tcp", s.ReadinessAddress)
	if err != nil {
		return err
	}
	peers, err := net.Listen("tcp", s.PeerAddress)
	if err != nil {
		return err
	}
	metrics, err := net.Listen("tcp", net.JoinHostPort(s.IP, strconv.Itoa(p.metricsPort)))
	if err != nil {
		return err
	}
	p.admin = admin.New(metrics)
	p.admin.Section("gateway", p.gateway.State)
	p.admin.Section("dispatch", p.scheduler.State)
	p.admin.Section("peers", p.peering.State)
	p.admin.Section("suspects", p.suspects.State)
	p.admin.Section("record", p.recorder.State)

	// requests holds the requests in flight; it ends at the last moment, the
	// rest of the process after them.
	requests, cutRequests := context.WithCancel(context.Background())
	defer cutRequests()
	running, stop := context.WithCancel(context.Background())
	defer stop()
	group, ctx := errgroup.WithContext(running)
	group.Go(func() error { return p.gateway.Serve(requests, callers) })
	group.Go(func() error { return p.serveReadiness(ctx, readiness) })
	group.Go(func() error { return p.peering.Serve(ctx, link.NewServer(peers)) })
	group.Go(func() error { return p.admin.Serve(ctx) })
	group.Go(func() error { return p.follower.Run(ctx) })
	group.Go(func() error { return p.recorder.Run(ctx, noPeers{}) })
	group.Go(func() error { p.askSeeds(ctx); return nil })
	group.Go(func() error { pause.Every(ctx, poolSweepEvery, p.sweepPool); return nil })
	group.Go(func() error { p.reload(ctx); return nil })
	group.Go(func() error {
		defer stop()
		select {
		case <-signalled.Done():
		case <-ctx.Done():
			return nil
		}
		p.leave(cutRequests)
		return nil
	})
	p.log.Info().Str("node", s.Name).Str("callers", s.CallerAddress).Str("store", s.StoreAddress).Bool("fresh", s.Bootstrap).Msg("started")
	err = group.Wait()
	p.log.Info().AnErr("cause", err).Msg("stopped")
	return err
}

// serveReadiness answers the balancer, whatever it asks for.
func (p *gatewayProcess) serveReadiness(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		ReadHeaderTimeout: time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !p.gateway.Ready() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}),
	}
	release := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer release()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// leave is a planned stop: the balancer is told, what comes meanwhile is still
// served, and the process ends when the last request has.
func (p *gatewayProcess) leave(cut context.CancelFunc) {
	grace := p.settings.Load().Bounds.ShutdownGrace
	began := time.Now()
	p.log.Info().Dur("grace", grace).Msg("stopping")
	p.gateway.StartDraining()
	time.Sleep(min(settleTime, grace/2))
	limit, cancel := context.WithDeadline(context.Background(), began.Add(grace-lastMoment))
	defer cancel()
	if err := p.gateway.Shutdown(limit); err != nil {
		p.log.Warn().Err(err).Msg("requestsCut")
		cut()
	}
	last, done := context.WithTimeout(context.Background(), withdrawTimeout)
	defer done()
	p.recorder.Close(last)
	if err := p.follower.Withdraw(last); err != nil {
		p.log.Warn().Err(err).Msg("notWithdrawn")
	}
}

// askSeeds asks other instances for a configuration until there is one, in case
// the store is away when the process starts.
func (p *gatewayProcess) askSeeds(ctx context.Context) {
	ticker := time.NewTicker(seedsEvery)
	defer ticker.Stop()
	for p.routes.Index() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		found, members := p.peering.AskSeeds(ctx)
		if len(found) == 0 {
			continue
		}
		p.log.Info().Int("instances", len(found)).Int("members", members).Uint64("version", uint64(p.routes.Version())).Msg("seedsAnswered")
		if !p.follower.KnowsInstances() && members > 1 {
			// Peers pass proofs on, without which nothing is served while the store
			// is away.
			p.peering.SetInstances(ctx, found)
			p.quota.SetInstanceCount(members)
			p.budget.SetInstanceCount(members)
		}
	}
}

// sweepPool closes connections to endpoints that are gone.
func (p *gatewayProcess) sweepPool() {
	snapshot := p.roster.Snapshot()
	p.pool.Sweep(func(name string, born int64, address string) bool {
		r, known := snapshot.ByName[usher.EndpointName(name)]
		return known && r.Born == born && r.Address == address
	})
}

// reload takes in changes of the settings file, on a signal and without one.
func (p *gatewayProcess) reload(ctx context.Context) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	modified := modifiedAt(p.config)
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.hangup:
		case <-ticker.C:
			if now := modifiedAt(p.config); now.Equal(modified) {
				continue
			}
		}
		modified = modifiedAt(p.config)
		p.takeSettings()
	}
}

func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// takeSettings puts changed settings into force. Addresses to listen on stay
// until the process starts again.
func (p *gatewayProcess) takeSettings() {
	s, err := platform.Load(p.config)
	if err != nil {
		p.log.Error().Err(err).Msg("settingsKept")
		return
	}
	p.settings.Store(s)
	p.budget.SetLimits(budgetRules(s))
	p.gateway.SetOptions(gateway.Options{MaxRevocationDelay: s.Bounds.MaxRevocationDelay})
	p.log.Info().Str("store", s.StoreAddress).Msg("settingsReloaded")
}
