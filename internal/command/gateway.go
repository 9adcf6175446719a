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
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"filbertusher/internal/admin"
	"filbertusher/internal/blame"
	"filbertusher/internal/connlimit"
	"filbertusher/internal/discovery"
	"filbertusher/internal/dispatch"
	"filbertusher/internal/drain"
	"filbertusher/internal/gateway"
	"filbertusher/internal/hedge"
	"filbertusher/internal/intake"
	"filbertusher/internal/pause"
	"filbertusher/internal/peering"
	"filbertusher/internal/peerrpc"
	"filbertusher/internal/quota"
	"filbertusher/internal/record"
	"filbertusher/internal/retrybudget"
	"filbertusher/internal/roster"
	"filbertusher/internal/routing"
	"filbertusher/internal/streamorigin"
	"filbertusher/internal/telemetry"
	"filbertusher/internal/upstream"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
	"filbertusher/platform"
)

const (
	// logBufferLines is how many log lines are buffered; if the buffer is full, the
	// newest line is dropped.
	logBufferLines = 4096
	// logFlushInterval is how often buffered log lines are written.
	logFlushInterval = 20 * time.Millisecond
	// memoryLimitFraction is the Go runtime's soft memory limit as a fraction of the
	// limit in the platform's settings. Above it, garbage is collected more often.
	memoryLimitFraction = 0.7
	// takeRequestsFor is how long after the signal to stop callers may send requests that
	// the instance runs, at most. The platform allows an instance to cut those that were
	// sent within that time and that still run at the end of the grace period.
	takeRequestsFor = 3 * time.Second
	// signalDelay is how late a process may notice a signal. The platform gives a process
	// its share of a processor in intervals of this length.
	signalDelay = 100 * time.Millisecond
	// readinessDelay is how long a stopping instance serves before it stops to accept
	// connections. The load balancer needs two seconds to notice that it is not ready.
	readinessDelay = takeRequestsFor - drain.AcceptTime
	// shutdownMargin is the time between cancelling the requests that are still in
	// flight and the end of the grace period, when the platform kills the process.
	shutdownMargin = 400 * time.Millisecond
	// cancelTimeout bounds how long a stopping process waits for the responses to the
	// requests that it has cancelled.
	cancelTimeout = 50 * time.Millisecond
	// settingsPollInterval is how often the settings file is checked for changes,
	// which may come without a signal.
	settingsPollInterval = 2 * time.Second
	// finalStoreTimeout bounds the last calls of a stopping process to the store: to
	// flush the record and to withdraw its registration.
	finalStoreTimeout = 300 * time.Millisecond
	// poolSweepInterval is how often stale connections to endpoints are closed.
	poolSweepInterval = time.Second
	// seedRetryInterval is the pause between two rounds of contacting all seeds.
	seedRetryInterval = 300 * time.Millisecond
	// recordBatchInterval is how long decisions are collected into a batch before it
	// is stored. The decisions of that time are lost if the process crashes.
	recordBatchInterval = 5 * time.Second
	// recordWriteFraction is the fraction of the store's write rate that the record
	// may use. Decisions that are not stored yet may use the process's memory limit
	// divided by recordMemoryDivisor.
	recordWriteFraction = 0.1
	recordMemoryDivisor = 10
	// clientMemoryFraction is the fraction of the process's memory limit that all who connect
	// to it may hold together, and responseMemoryDivisor gives the part of the limit that
	// buffered responses may use of it.
	clientMemoryFraction  = 0.375
	responseMemoryDivisor = 8
	// maxCopies bounds the share of requests, and of work, that copies may take, and
	// defaultCopiesWork is the default of the latter.
	maxCopies         = 0.25
	defaultCopiesWork = 0.05
	// maxReadinessConnections bounds the open connections for readiness checks, and
	// maxReadinessHeaderBytes the header of one.
	maxReadinessConnections = 32
	maxReadinessHeaderBytes = 4 << 10
	// A readiness check has readinessHeaderTimeout for its header, and its connection may be
	// idle for readinessIdleTimeout.
	readinessHeaderTimeout = time.Second
	readinessIdleTimeout   = time.Minute
	// defaultMetricsPort is the default port of the admin server.
	defaultMetricsPort = 9101
	// maxZoneCost bounds the time, in milliseconds, that a KiB within the zone is worth.
	maxZoneCost = 1000
)

// gatewayProcess holds the settings and the components of a gateway and runs it.
type gatewayProcess struct {
	settingsPath string
	metricsPort  int
	logLevel     string
	copyLimits   hedge.Limits
	// zoneCost is in milliseconds for each KiB.
	zoneCost int

	// reloadSignals receives SIGHUP, which announces changed settings.
	reloadSignals chan os.Signal
	settings      atomic.Pointer[platform.Settings]
	log           zerolog.Logger
	admin         *admin.Server
	routes        *routing.Holder
	roster        *roster.Roster
	// descriptors is how many the process may open, and memory what those who connect to it
	// hold.
	descriptors int
	memory      *intake.Budget
	scheduler   *dispatch.Scheduler
	pool        *upstream.Pool
	quota       *quota.Quota
	budget      *retrybudget.Budget
	copies      *hedge.Policy
	blame       *blame.Table
	streams     *streamorigin.Table
	watcher     *discovery.Watcher
	peering     *peering.Peering
	gateway     *gateway.Gateway
	recorder    *record.Recorder
	store       usher.Store
	// rollouts is nil where operators order no rollouts.
	rollouts *rolloutRunner

	// updateMu keeps an update of the scheduler from passing on a roster that is older than
	// the one of another update.
	updateMu sync.Mutex
}

// noPeers implements record.Peers for gateways, whose decisions no other process
// holds copies of.
type noPeers struct{}

// Names implements record.Peers.
func (noPeers) Names() []usher.EndpointName { return nil }

// Exchange implements record.Peers. It is never called, because Names is empty.
func (noPeers) Exchange(_ context.Context, endpoint usher.EndpointName, _ *wire.RecordArgs) (*wire.RecordReply, error) {
	return nil, &usher.NotFoundError{Key: usher.ObjectKey(endpoint)}
}

func newGatewayCommand() *Command {
	command := New("gateway", "accept requests from the platform's callers and send them directly to endpoints")
	p := &gatewayProcess{reloadSignals: make(chan os.Signal, 1)}
	command.Settings.String(&p.settingsPath, "config", "/etc/filbertusher/settings.toml", true, "the platform's settings file")
	command.Settings.Int(&p.metricsPort, "metrics-port", defaultMetricsPort, 1, 65535, "the port of the admin server, which serves metrics and the dump")
	command.Settings.Choice(&p.logLevel, "log-level", "info", []string{"debug", "info", "warn", "error"}, "the lowest level that is logged")
	command.Settings.Float(&p.copyLimits.Requests, "copies", 0, 0, maxCopies, "the share of the requests that may be repeated of which a second copy may be sent, against the slowest answers; 0 sends none")
	command.Settings.Float(&p.copyLimits.Work, "copies-work", defaultCopiesWork, 0, maxCopies, "the share of the endpoints' work up to the first event that copies may add")
	command.Settings.Int(&p.zoneCost, "zone-cost", 0, 0, maxZoneCost, "how much later, in milliseconds, a request may finish for each KiB that stays in the availability zone")
	command.Run = p.run
	return command
}

func (p *gatewayProcess) run(signalCtx context.Context, out, _ io.Writer) error {
	// This must come before the settings are read, and last until the process has exited:
	// SIGHUP would otherwise kill it if the settings change during startup or a stop.
	signal.Notify(p.reloadSignals, syscall.SIGHUP)
	settings, err := platform.Load(p.settingsPath)
	if err != nil {
		return err
	}
	p.settings.Store(settings)
	level, err := zerolog.ParseLevel(p.logLevel)
	if err != nil {
		return err
	}
	logMetrics := telemetry.NewMetrics("log")
	logWriter := diode.NewWriter(out, logBufferLines, logFlushInterval, func(dropped int) { logMetrics.Add("dropped", int64(dropped)) })
	defer logWriter.Close()
	p.log = telemetry.NewLogger(logWriter, level)
	telemetry.RedirectStandardLog(p.log)
	debug.SetMemoryLimit(int64(float64(settings.MemoryLimitBytes) * memoryLimitFraction))
	if p.descriptors, err = descriptors(settings.MaxOpenFiles); err != nil {
		return err
	}
	p.build(settings, callerConnections(p.descriptors))
	listeners, err := p.listen(settings)
	if err != nil {
		return err
	}
	return p.serve(signalCtx, settings, listeners)
}

// build creates the components and connects them.
func (p *gatewayProcess) build(s *platform.Settings, connections drain.Limits) {
	self := usher.GatewayInstance{
		Name: s.Name, Incarnation: usher.Incarnation(uuid.NewString()), Address: s.PeerAddress, Zone: s.Zone,
		Heartbeat: time.Now().UnixNano(),
	}
	p.routes = routing.NewHolder(func(oldVersion, newVersion usher.Version, source string) {
		p.log.Info().Uint64("from", uint64(oldVersion)).Uint64("to", uint64(newVersion)).Str("source", source).Msg("configurationInForce")
		p.updateScheduler()
	})
	p.roster = roster.New(s.Bounds.RegistrationGrace, time.Now, func(change usher.EndpointChange, reason string) {
		p.log.Info().Str("endpoint", string(change.Name)).Str("service", string(change.Service)).Str("address", change.Address).
			Bool("usable", change.Usable).Bool("leaving", change.Leaving).Str("why", reason).Msg("endpointChanged")
	})
	client := platform.NewClient(func() string { return p.settings.Load().StoreAddress })
	p.store = client
	directory := platform.NewDirectory(client)
	scheduling := dispatch.Options{Zone: s.Zone, Self: s.Name, ZoneCostPerKiB: time.Duration(p.zoneCost) * time.Millisecond}
	watching := discovery.Options{
		Directory: directory, Routes: p.routes, Roster: p.roster, Self: self, Log: p.log,
		RewriteGrace: s.Bounds.RegistrationGrace, Heartbeat: s.HeartbeatInterval, DrainTime: s.Bounds.DrainTime, OnInstances: p.setInstances, OnEndpointsChanged: p.updateScheduler,
	}
	if s.Rollouts {
		p.rollouts = p.newRolloutRunner(s, directory)
		scheduling.OnGrant, scheduling.OnEnd = p.rollouts.sent, p.rollouts.ended
		watching.Rollouts, watching.Orders = directory, p.rollouts.orders
	}
	p.scheduler = dispatch.New(scheduling)
	p.pool = upstream.New(platform.HeaderCodec{}, s.Zone)
	p.quota = quota.New(quota.Tolerance{
		Window: s.Bounds.QuotaWindow, Overage: s.Bounds.QuotaOverageFraction, Slack: s.Bounds.QuotaSlack,
	}, self.Incarnation, s.Bootstrap, time.Now)
	p.budget = retrybudget.New(retryBudgetLimits(s), time.Now)
	p.copies = hedge.New(p.copyLimits, time.Now)
	p.blame = newBlame(p.log)
	p.streams = streamorigin.New(time.Now)
	p.watcher = discovery.New(watching)
	p.peering = peering.New(self, s.SeedAddresses, peering.Dependencies{
		Routes: p.routes, Roster: p.roster, Scheduler: p.scheduler, Quota: p.quota, Blame: p.blame, Streams: p.streams, Rollouts: p.rollouts.tableOrNil(), Orders: watching.Orders,
		Log: p.log, OnStoreAnswered: p.watcher.StoreAnswered, OnEndpointsChanged: p.updateScheduler,
	})
	p.recorder = record.NewRecorder(record.RecorderOptions{
		BatchInterval: recordBatchInterval, WritesPerSecond: s.StoreWritesPerSecond * recordWriteFraction, MaxBacklogBytes: s.MemoryLimitBytes / recordMemoryDivisor,
	}, client, self.Incarnation, p.log)
	p.memory = intake.NewBudget(int64(float64(s.MemoryLimitBytes) * clientMemoryFraction))
	p.gateway = gateway.New(gateway.Options{
		MaxRevocationDelay: s.Bounds.MaxRevocationDelay, Memory: p.memory, ResponseMemory: s.MemoryLimitBytes / responseMemoryDivisor, Connections: connections,
	}, gateway.Dependencies{
		Codec: platform.HeaderCodec{}, Routes: p.routes, Scheduler: p.scheduler, Pool: p.pool,
		Quota: p.quota, Budget: p.budget, Copies: p.copies, Blame: p.blame, Streams: p.streams, Rollouts: p.rollouts.tableOrNil(), Versions: streamorigin.NewConfirmer(p.readVersions, p.peering.ConfirmRoster), Recorder: p.recorder, IDs: record.NewIDSource(self.Incarnation), Log: p.log,
		OnLeaving: p.markLeaving, RosterAge: p.roster.Age, HasNotRestarted: p.watcher.HasNotRestarted, ExchangeCrashes: p.peering.ExchangeCrashes,
	})
}

// markLeaving keeps new requests from an endpoint that states in a response that it
// leaves.
func (p *gatewayProcess) markLeaving(endpoint *usher.Registration) {
	if p.roster.MarkLeaving(endpoint) {
		p.updateScheduler()
	}
}

// readVersions reads from the store which software versions serve and did lately.
func (p *gatewayProcess) readVersions(ctx context.Context) error {
	registered, err := p.watcher.ListEndpoints(ctx)
	if err != nil {
		return err
	}
	p.streams.Observe(registered)
	return p.streams.LoadVersions(ctx, p.store)
}

func retryBudgetLimits(s *platform.Settings) retrybudget.Limits {
	return retrybudget.Limits{Ratio: s.Bounds.RetryBudgetRatio, Extra: s.Bounds.RetryBudgetExtra, Window: s.Bounds.RetryBudgetWindow}
}

// setInstances passes the live gateway instances to the components that share limits
// or endpoints among them.
func (p *gatewayProcess) setInstances(ctx context.Context, instances []usher.GatewayInstance) {
	names := p.memberNames(instances)
	p.scheduler.SetMembers(names)
	p.budget.SetInstanceCount(len(names))
	p.copies.SetInstanceCount(len(names))
	p.quota.SetInstanceCount(len(names))
	p.streams.SetInstanceCount(len(names))
	p.rollouts.setInstanceCount(len(names))
	p.peering.SetInstances(ctx, instances)
}

// memberNames returns the names of the instances, including this one.
func (p *gatewayProcess) memberNames(instances []usher.GatewayInstance) []string {
	self := p.settings.Load().Name
	names := []string{self}
	for _, instance := range instances {
		if instance.Name != self {
			names = append(names, instance.Name)
		}
	}
	return names
}

// updateScheduler passes the endpoints of each configured service to the scheduler, and
// all endpoints to what keeps track of their software versions.
func (p *gatewayProcess) updateScheduler() {
	p.updateMu.Lock()
	defer p.updateMu.Unlock()
	snapshot := p.roster.Snapshot()
	p.streams.SetEndpoints(snapshot.ByName)
	index := p.routes.Index()
	if index == nil {
		return
	}
	for i := range index.Table.Services {
		service := &index.Table.Services[i]
		spec := dispatch.ServiceSpec{
			Engine: service.Engine, Slots: service.Slots, TokensPerEvent: service.TokensPerEvent,
			MaxConnections: service.MaxConnections, GapTarget: index.GapTarget(service.Name),
		}
		endpoints := snapshot.ByService[service.Name]
		if p.rollouts == nil {
			p.scheduler.SetEndpoints(service.Name, spec, endpoints)
		} else {
			current, candidates := p.rollouts.table.Pools(service.Name, endpoints)
			p.scheduler.SetPools(service.Name, spec, current, candidates)
		}
	}
}

// gatewayListeners are the listeners of a gateway process.
type gatewayListeners struct{ callers, readiness, peers, metrics net.Listener }

func (p *gatewayProcess) listen(s *platform.Settings) (*gatewayListeners, error) {
	var listeners gatewayListeners
	for _, l := range []struct {
		listener *net.Listener
		address  string
	}{
		{&listeners.callers, s.CallerAddress},
		{&listeners.readiness, s.ReadinessAddress},
		{&listeners.peers, s.PeerAddress},
		{&listeners.metrics, net.JoinHostPort(s.IP, strconv.Itoa(p.metricsPort))},
	} {
		var err error
		if *l.listener, err = net.Listen("tcp", l.address); err != nil {
			return nil, err
		}
	}
	return &listeners, nil
}

// serve runs the components until a graceful stop has ended, which signalCtx or the
// failure of a component begins.
func (p *gatewayProcess) serve(signalCtx context.Context, s *platform.Settings, listeners *gatewayListeners) error {
	p.admin = admin.New(listeners.metrics)
	p.admin.AddSection("gateway", p.gateway.State)
	p.admin.AddSection("roster", p.roster.State)
	p.admin.AddSection("dispatch", p.scheduler.State)
	p.admin.AddSection("peers", p.peering.State)
	p.admin.AddSection("peerBytes", p.peering.BytesState)
	p.admin.AddSection("endpointBytes", p.pool.BytesState)
	p.admin.AddSection("suspects", p.blame.State)
	p.admin.AddSection("streams", p.streams.State)
	p.admin.AddSection("record", p.recorder.State)
	if p.rollouts != nil {
		p.admin.AddSection(sectionRollouts, p.rollouts.state)
	}
	p.admin.Handle("GET "+admin.PathExplain, &explainHandler{explain: p.gateway.Explain})

	// requestCtx is the context of the requests in flight. A graceful stop cancels it
	// if they don't finish in time, and cancels ctx, that of all other work, after they
	// have ended.
	requestCtx, cancelRequests := context.WithCancelCause(context.Background())
	defer cancelRequests(nil)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	parts := newComponents()
	parts.run(func() error { return p.gateway.Serve(requestCtx, listeners.callers) })
	parts.run(func() error { return p.serveReadiness(ctx, listeners.readiness) })
	peers := peerrpc.NewServer(listeners.peers, peerrpc.SmallMessages)
	peers.Limit(peerConnections(p.descriptors), p.memory)
	parts.run(func() error { return p.peering.Serve(ctx, peers) })
	parts.run(func() error { return p.admin.Serve(ctx) })
	parts.run(func() error { return p.watcher.Run(ctx) })
	parts.run(func() error { return p.recorder.Run(ctx, noPeers{}) })
	parts.runUntilDone(func() { p.blame.Sync(ctx, p.store, blame.ReadOnce, p.log) })
	parts.runUntilDone(func() { logRestorations(ctx, p.store, p.log) })
	parts.runUntilDone(func() { p.streams.Sync(ctx, p.store, s.Name, p.log) })
	parts.runUntilDone(func() { p.streams.Persist(ctx, p.store, s.Name, p.log) })
	parts.runUntilDone(func() { p.contactSeeds(ctx) })
	if p.rollouts != nil {
		parts.runUntilDone(func() { p.rollouts.run(ctx) })
	}
	parts.runUntilDone(func() { pause.Every(ctx, poolSweepInterval, p.closeStaleConnections) })
	parts.runUntilDone(func() { p.watchSettings(ctx) })
	parts.runUntilDone(func() { p.memory.LogTo(ctx, p.log) })
	parts.runUntilDone(func() {
		defer stop()
		select {
		case <-signalCtx.Done():
		case <-parts.failed:
			p.log.Error().Err(parts.cause).Msg("componentFailed")
		}
		p.shutdown(cancelRequests)
	})
	p.log.Info().Str("node", s.Name).Str("callers", s.CallerAddress).Str("store", s.StoreAddress).Bool("fresh", s.Bootstrap).Msg("started")
	err := parts.wait()
	p.log.Info().AnErr("cause", err).Msg("stopped")
	return err
}

// serveReadiness answers the readiness checks of the load balancer, on any path.
func (p *gatewayProcess) serveReadiness(ctx context.Context, listener net.Listener) error {
	limited := connlimit.New(listener, maxReadinessConnections, "readiness")
	server := &http.Server{
		ReadHeaderTimeout: readinessHeaderTimeout, IdleTimeout: readinessIdleTimeout, MaxHeaderBytes: maxReadinessHeaderBytes,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !p.gateway.Ready() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}),
	}
	limited.Track(server)
	stopAfterFunc := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stopAfterFunc()
	if err := server.Serve(limited); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// shutdown is a graceful stop. It fails the readiness check, serves the requests
// that the load balancer sends until it notices, waits for all requests to finish,
// and cancels those that don't finish in time.
func (p *gatewayProcess) shutdown(cancelRequests context.CancelCauseFunc) {
	grace := p.settings.Load().Bounds.ShutdownGrace
	startedAt := time.Now()
	p.log.Info().Dur("grace", grace).Msg("stopping")
	serveFor := min(readinessDelay, grace/2)
	// Connections that wait to be accepted get their first requests until AcceptTime after
	// Shutdown was called.
	stop := drain.Stop{
		Began: startedAt, NoticedBy: startedAt.Add(serveFor),
		TakesUntil: startedAt.Add(serveFor + drain.AcceptTime - signalDelay), EndsAt: startedAt.Add(grace - shutdownMargin),
	}
	p.gateway.StartDraining(stop)
	time.Sleep(serveFor)
	drainCtx, cancel := context.WithDeadline(context.Background(), stop.EndsAt)
	defer cancel()
	if err := p.gateway.Shutdown(drainCtx); err != nil {
		p.log.Warn().Err(err).Msg("requestsCut")
		cancelRequests(&gateway.StoppingError{})
		p.awaitCancelled()
	}
	p.gateway.LogStop()
	finalCtx, cancelFinal := context.WithTimeout(context.Background(), finalStoreTimeout)
	defer cancelFinal()
	p.recorder.Close(finalCtx)
	if err := p.watcher.Withdraw(finalCtx); err != nil {
		p.log.Warn().Err(err).Msg("notWithdrawn")
	}
}

// awaitCancelled waits until the requests that were cancelled have got their responses.
func (p *gatewayProcess) awaitCancelled() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := p.gateway.Shutdown(ctx); err != nil {
		p.log.Warn().Err(err).Msg("responsesCut")
	}
}

// contactSeeds asks other instances for the configuration until there is one, in
// case the store is unavailable when the process starts.
func (p *gatewayProcess) contactSeeds(ctx context.Context) {
	ticker := time.NewTicker(seedRetryInterval)
	defer ticker.Stop()
	for p.routes.Index() == nil {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		instances, members := p.peering.ContactSeeds(ctx)
		if len(instances) == 0 {
			continue
		}
		p.log.Info().Int("instances", len(instances)).Int("members", members).Uint64("version", uint64(p.routes.Version())).Msg("seedsAnswered")
		if !p.watcher.KnowsInstances() && members > 1 {
			// Peers pass on the proof that the configuration is the newest, without
			// which no request is served while the store is unavailable. Without their
			// names, this instance would take all slots of the endpoints for its own.
			p.scheduler.SetMembers(p.memberNames(instances))
			p.peering.SetInstances(ctx, instances)
			p.quota.SetInstanceCount(max(members, len(instances)+1))
			p.budget.SetInstanceCount(max(members, len(instances)+1))
			p.rollouts.setInstanceCount(max(members, len(instances)+1))
		}
	}
}

// closeStaleConnections closes idle connections to endpoints that are gone or were
// replaced, and those past their idle limit.
func (p *gatewayProcess) closeStaleConnections() {
	snapshot := p.roster.Snapshot()
	p.pool.Sweep(func(name string, incarnation int64, address string) bool {
		registration, known := snapshot.ByName[usher.EndpointName(name)]
		return known && registration.Born == incarnation && registration.Address == address
	})
}

// watchSettings applies changes of the settings file, on SIGHUP and by polling.
func (p *gatewayProcess) watchSettings(ctx context.Context) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	modified := modifiedAt(p.settingsPath)
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.reloadSignals:
		case <-ticker.C:
			if changedAt := modifiedAt(p.settingsPath); changedAt.Equal(modified) {
				continue
			}
		}
		modified = modifiedAt(p.settingsPath)
		p.applySettings()
	}
}

func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// applySettings loads the settings file and applies the store's address, the grace
// period, the retry budget and the revocation delay. All other settings, such as
// listen addresses, stay as they are until the process restarts. If the file can't be
// loaded, no setting changes.
func (p *gatewayProcess) applySettings() {
	s, err := platform.Load(p.settingsPath)
	if err != nil {
		p.log.Error().Err(err).Msg("settingsKept")
		return
	}
	p.settings.Store(s)
	p.budget.SetLimits(retryBudgetLimits(s))
	p.gateway.SetOptions(gateway.Options{MaxRevocationDelay: s.Bounds.MaxRevocationDelay})
	p.log.Info().Str("store", s.StoreAddress).Msg("settingsReloaded")
}
