package command

import (
	"context"
	"io"
	"net"
	"time"

	"filbertusher/internal/entry"
	"filbertusher/internal/link"
	"filbertusher/internal/member"
	"filbertusher/internal/placement"
	"filbertusher/internal/record"
	"filbertusher/internal/suspect"
	"filbertusher/pkg/usher"
)

// entryProcessors is how many threads of the process run at once by default.
const entryProcessors = 4

// entryProcess is the settings of the entry.
type entryProcess struct {
	process
	maxCrashes int
	tuning
	dryRun
	listen         string
	peerListen     string
	maxBody        int
	maxTimeout     time.Duration
	bodyTimeout    time.Duration
	readinessDelay time.Duration
	record         record.Options
	recordLimit    int
	lateDecision   bool
	reservations   int
	subset         int
	subsetOther    int
}

func newEntryCommand() *Command {
	command := New("entry", "serve callers")
	p := &entryProcess{}
	p.declare(command.Settings)
	p.declareTuning(command.Settings, entryProcessors)
	p.declareDryRun(command.Settings)
	command.Settings.Address(&p.listen, "listen", "127.0.0.1:8080", true, "where callers reach this process")
	command.Settings.Address(&p.peerListen, "peer-listen", "127.0.0.1:0", true, "where other processes of the system reach this one")
	command.Settings.Int(&p.maxBody, "max-body", 8<<20, 1<<10, 256<<20, "the largest body of a request, in bytes")
	command.Settings.Duration(&p.maxTimeout, "max-timeout", 10*time.Minute, time.Second, 24*time.Hour, "the longest timeout a caller may ask for")
	command.Settings.Duration(&p.bodyTimeout, "body-timeout", 10*time.Second, 100*time.Millisecond, 10*time.Minute, "how long a caller may take to send a request")
	command.Settings.Duration(&p.readinessDelay, "readiness-delay", time.Second, 0, time.Minute, "how long a planned stop waits for the balancer to notice")
	command.Settings.Duration(&p.record.Interval, "record-interval", 10*time.Second, 50*time.Millisecond, time.Minute, "how long decisions are gathered before they are stored in the record")
	command.Settings.Float(&p.record.WritesPerSecond, "record-writes", 100, 0.1, 100000, "the share of the store's writes a second that all entries together use for the record")
	command.Settings.Int(&p.recordLimit, "record-memory", 16<<20, 64<<10, 1<<30, "what the record may hold in memory while it can't be stored, in bytes")
	command.Settings.Int(&p.subset, "endpoints", 16, 1, 10000, "how many endpoints of each service this process works with")
	command.Settings.Bool(&p.lateDecision, "late-decision", true, "reserve room at a second endpoint for a request that has to wait")
	command.Settings.Int(&p.reservations, "reservations-per-second", 1000, 1, 1000000, "how many of these reservations this process makes at most; each costs about half a kilobyte")
	command.Settings.Int(&p.subsetOther, "endpoints-elsewhere", 2, 0, 10000, "how many of them are kept in other availability zones")
	command.Settings.Int(&p.maxCrashes, "max-crashes", 2, 1, 100, "how often a request may be in an endpoint that crashes before it is refused")
	command.Run = p.run
	return command
}

func (p *entryProcess) run(signalled context.Context, out, errOut io.Writer) error {
	if p.done(out) {
		return nil
	}
	p.tune()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ctx, err := p.start(ctx, errOut)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", p.listen)
	if err != nil {
		return err
	}
	peerListener, err := net.Listen("tcp", p.peerListen)
	if err != nil {
		return err
	}
	subset := member.Subset{Self: p.incarnation, Zone: usher.AvailabilityZone(p.zone), Size: p.subset, Elsewhere: min(p.subset, p.subsetOther)}
	p.config.Choose(subset.Choose)
	peerAddress := peerListener.Addr().String()
	if err := p.follow(ctx, link.NewServer(peerListener), peerAddress, ""); err != nil {
		return err
	}
	placer := placement.New(p.config, usher.AvailabilityZone(p.zone))
	p.record.Limit = int64(p.recordLimit)
	recorder := record.NewRecorder(p.record, p.store, p.incarnation, p.log)
	suspects := suspect.NewTable()
	p.group.Go(func() error { return suspects.Sync(ctx, p.store, false, p.log) })
	p.admin.Section("suspects", suspects.State)
	server := entry.New(entry.Options{
		Incarnation: p.incarnation, MaxBody: int64(p.maxBody), MaxTimeout: p.maxTimeout, BodyTimeout: p.bodyTimeout, Peer: peerAddress, LateDecision: p.lateDecision, ReservationRate: p.reservations,
		MaxCrashes: p.maxCrashes,
	}, entry.Dependencies{Suspects: suspects, Config: p.config, Placer: placer, Recorder: recorder, Log: p.log})
	p.admin.Section("entry", server.State)
	p.admin.Section("placement", placer.State)
	p.admin.Section("record", recorder.State)

	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	p.group.Go(func() error { return server.Run(ctx) })
	p.group.Go(func() error { return recorder.Run(ctx, server.RecordPeers()) })
	p.group.Go(func() error {
		defer cancel()
		err := server.Serve(serving, listener, p.drainTimeout)
		limit, stop := context.WithTimeout(ctx, p.drainTimeout)
		defer stop()
		recorder.Close(limit)
		return err
	})
	p.log.Info().Str("listen", listener.Addr().String()).Msg("listening")
	go p.ready(ctx)
	go func() {
		p.awaitStop(signalled)
		time.Sleep(p.readinessDelay)
		stopServing()
	}()
	return p.group.Wait()
}
