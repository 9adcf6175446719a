package command

import (
	"context"
	"io"
	"net"
	"time"

	"filbertusher/internal/blame"
	"filbertusher/internal/endpointset"
	"filbertusher/internal/entry"
	"filbertusher/internal/peerrpc"
	"filbertusher/internal/placement"
	"filbertusher/internal/record"
	"filbertusher/internal/suspect"
	"filbertusher/pkg/usher"
)

// defaultEntryProcessors is the default of --processors for entries: the number of
// threads that may run at the same time.
const defaultEntryProcessors = 4

// entryProcess holds the settings of an entry and runs it. maxBody and recordMemory
// are in bytes.
type entryProcess struct {
	process
	maxCrashes int
	runtimeSettings
	dryRun
	listenAddress         string
	peerListenAddress     string
	maxBody               int
	maxTimeout            time.Duration
	bodyTimeout           time.Duration
	readinessDelay        time.Duration
	record                record.RecorderOptions
	recordMemory          int
	lateBinding           bool
	reservationsPerSecond int
	endpointsPerService   int
	endpointsInOtherZones int
}

func newEntryCommand() *Command {
	command := New("entry", "accept requests from callers and send them to companions")
	p := &entryProcess{}
	p.declare(command.Settings)
	p.declareRuntime(command.Settings, defaultEntryProcessors)
	p.declareDryRun(command.Settings)
	command.Settings.Address(&p.listenAddress, "listen", "127.0.0.1:8080", true, "the address that callers connect to")
	command.Settings.Address(&p.peerListenAddress, "peer-listen", "127.0.0.1:0", true, "the address that other processes of the system connect to")
	command.Settings.Int(&p.maxBody, "max-body", 8<<20, 1<<10, 256<<20, "the largest body of a request, in bytes")
	command.Settings.Duration(&p.maxTimeout, "max-timeout", 10*time.Minute, time.Second, 24*time.Hour, "the longest timeout a caller may ask for")
	command.Settings.Duration(&p.bodyTimeout, "body-timeout", 10*time.Second, 100*time.Millisecond, 10*time.Minute, "how long a caller may take to send the header of a request, and again to send the body")
	command.Settings.Duration(&p.readinessDelay, "readiness-delay", time.Second, 0, time.Minute, "how long a graceful stop waits for the load balancer to notice that the process is not ready")
	command.Settings.Duration(&p.record.BatchInterval, "record-interval", 10*time.Second, 50*time.Millisecond, time.Minute, "how long decisions are collected into a batch before it is stored in the record")
	command.Settings.Float(&p.record.WritesPerSecond, "record-writes", 100, 0.1, 100000, "how many of the store's writes per second all entries together may use for the record")
	command.Settings.Int(&p.recordMemory, "record-memory", 16<<20, 64<<10, 1<<30, "how much of the record may be held in memory while it can't be stored, in bytes")
	command.Settings.Int(&p.endpointsPerService, "endpoints", 16, 1, 10000, "how many endpoints of each service this process sends requests to")
	command.Settings.Bool(&p.lateBinding, "late-decision", true, "reserve capacity at a second endpoint for a request that has to wait")
	command.Settings.Int(&p.reservationsPerSecond, "reservations-per-second", 1000, 1, 1000000, "the maximum number of reservations at second endpoints that this process makes per second; each costs about half a kilobyte")
	command.Settings.Int(&p.endpointsInOtherZones, "endpoints-elsewhere", 2, 0, 10000, "how many of the endpoints that --endpoints allows are in other availability zones")
	command.Settings.Int(&p.maxCrashes, "max-crashes", 2, 1, 100, "how many times endpoints may crash while running a request before it is refused")
	command.Run = p.run
	return command
}

func (p *entryProcess) run(signalCtx context.Context, out, errOut io.Writer) error {
	if p.finishDryRun(out) {
		return nil
	}
	p.applyRuntime()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := p.start(ctx, errOut); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", p.listenAddress)
	if err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp", p.peerListenAddress)
	if err != nil {
		return err
	}
	selector := endpointset.Subset{Self: p.incarnation, Zone: usher.AvailabilityZone(p.zone), Size: p.endpointsPerService, OtherZones: min(p.endpointsPerService, p.endpointsInOtherZones)}
	p.config.SetEndpointSelector(selector.Choose)
	peerAddress := peerListener.Addr().String()
	openFiles, err := descriptors(0)
	if err != nil {
		return err
	}
	memory := p.clientMemory()
	p.parts.runUntilDone(func() { memory.LogTo(ctx, p.log) })
	peers := peerrpc.NewServer(peerListener, peerrpc.LargeMessages)
	peers.Limit(peerConnections(openFiles), memory)
	if err := p.syncConfig(ctx, peers, peerAddress, ""); err != nil {
		return err
	}
	placer := placement.New(p.config, usher.AvailabilityZone(p.zone))
	p.record.MaxBacklogBytes = int64(p.recordMemory)
	recorder := record.NewRecorder(p.record, p.store, p.incarnation, p.log)
	suspects := suspect.NewTable()
	p.parts.run(func() error { return suspects.Sync(ctx, p.store, false, p.log) })
	p.admin.AddSection("suspects", suspects.State)
	crashBlame := newBlame(p.log)
	p.parts.runUntilDone(func() { crashBlame.Sync(ctx, p.store, blame.ReadRegularly, p.log) })
	p.admin.AddSection("crashCauses", crashBlame.State)
	server := entry.New(entry.Options{
		Connections: callerConnections(openFiles),
		Incarnation: p.incarnation, MaxBody: int64(p.maxBody), Memory: memory, MaxTimeout: p.maxTimeout, BodyTimeout: p.bodyTimeout, Peer: peerAddress, LateBinding: p.lateBinding, ReservationRate: p.reservationsPerSecond,
		MaxCrashes: p.maxCrashes,
	}, entry.Dependencies{Suspects: suspects, Blame: crashBlame, Config: p.config, Placer: placer, Recorder: recorder, Log: p.log})
	p.admin.AddSection("entry", server.State)
	p.admin.AddSection("placement", placer.State)
	p.admin.AddSection("record", recorder.State)

	serveCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	p.parts.run(func() error { return server.Run(ctx) })
	p.parts.run(func() error { return recorder.Run(ctx, server.RecordPeers()) })
	p.parts.run(func() error {
		defer cancel()
		err := server.Serve(serveCtx, listener, entry.StopTimes{ReadinessDelay: p.readinessDelay, Grace: p.drainTimeout})
		drainCtx, cancelDrain := context.WithTimeout(ctx, p.drainTimeout)
		defer cancelDrain()
		recorder.Close(drainCtx)
		return err
	})
	p.log.Info().Str("listen", listener.Addr().String()).Msg("listening")
	go p.awaitConfig(ctx)
	go func() {
		p.awaitStop(signalCtx)
		stopServing()
	}()
	return p.parts.wait()
}
