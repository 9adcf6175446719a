package command

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"filbertusher/internal/admission"
	"filbertusher/internal/blame"
	"filbertusher/internal/companion"
	"filbertusher/internal/endpoint"
	"filbertusher/internal/httpresponse"
	"filbertusher/internal/journal"
	"filbertusher/internal/ledger"
	"filbertusher/internal/peerrpc"
	"filbertusher/internal/record"
	"filbertusher/internal/suspect"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// defaultCompanionProcessors is the default of --processors for companions: the
// number of threads that may run at the same time.
const defaultCompanionProcessors = 2

// companionProcess holds the settings of a companion and runs it. recordMemory is in
// bytes.
type companionProcess struct {
	process
	runtimeSettings
	dryRun
	listenAddress          string
	endpointName           string
	endpointAddress        string
	protocol               string
	maxRunning             int
	maxWaiting             int
	maxWaitingTokens       int
	targetTokenInterval    time.Duration
	requestRetention       time.Duration
	entrySilenceTimeout    time.Duration
	recordMemory           int
	keyRetention           time.Duration
	journalWritesPerSecond int
	ticketLifetime         time.Duration
	maxKeys                int
	maxCrashes             int
}

func newCompanionCommand() *Command {
	command := New("companion", "run the sidecar of an endpoint, which admits requests and sends them to it")
	p := &companionProcess{}
	p.declare(command.Settings)
	p.declareRuntime(command.Settings, defaultCompanionProcessors)
	p.declareDryRun(command.Settings)
	command.Settings.Address(&p.listenAddress, "listen", "127.0.0.1:9090", true, "the address that entries connect to")
	command.Settings.String(&p.endpointName, "endpoint", "", true, "the name of the endpoint's declaration")
	command.Settings.Address(&p.endpointAddress, "endpoint-address", "", true, "the address of the endpoint itself")
	command.Settings.Choice(&p.protocol, "protocol", string(usher.ServiceModel), []string{string(usher.ServiceModel), string(usher.ServicePlain)}, "the protocol that the endpoint speaks")
	command.Settings.Int(&p.maxRunning, "max-running", 256, 1, 4096, "how many requests may run in the endpoint at the same time; for model engines the limit is lowered as far as token-pace requires")
	command.Settings.Duration(&p.targetTokenInterval, "token-pace", 25*time.Millisecond, time.Millisecond, time.Minute, "the longest acceptable mean time between two tokens of an answer")
	command.Settings.Int(&p.maxWaiting, "max-waiting", 1000, 0, 1000000, "how many requests may wait for the endpoint")
	command.Settings.Int(&p.maxWaitingTokens, "max-waiting-tokens", 4<<20, 1, 1<<30, "how many prompt tokens the waiting requests may have in total")
	command.Settings.Duration(&p.requestRetention, "retention", 10*time.Minute, time.Second, 24*time.Hour, "how long finished requests are remembered")
	command.Settings.Duration(&p.entrySilenceTimeout, "record-silence", 30*time.Second, 100*time.Millisecond, time.Hour, "how long an entry may send no messages before this process stores its copies of the entry's decisions in the record; at least three times the entries' record-interval")
	command.Settings.Int(&p.recordMemory, "record-memory", 16<<20, 64<<10, 1<<30, "how much memory the copies of decisions for the record may use, in bytes")
	command.Settings.Duration(&p.keyRetention, "key-retention", 24*time.Hour, time.Minute, 30*24*time.Hour, "how long idempotency keys are remembered, unless the service declares a time")
	command.Settings.Int(&p.journalWritesPerSecond, "journal-writes", 5, 1, 1000, "the maximum number of writes per second to the journal of one slot of keys")
	command.Settings.Duration(&p.ticketLifetime, "ticket-life", 10*time.Minute, time.Second, 24*time.Hour, "how long a ticket is valid")
	command.Settings.Int(&p.maxKeys, "max-keys", 20000, 1, 1000000, "how many idempotency keys may be remembered for one slot, and how many used tickets in total")
	command.Settings.Int(&p.maxCrashes, "max-crashes", 2, 1, 100, "how many times endpoints may crash while running a request before it is refused")
	command.Run = p.run
	return command
}

const (
	// maxEndpointHeaderBytes bounds the header of an endpoint's response.
	maxEndpointHeaderBytes = 64 << 10
	// companionResponseMemoryDivisor gives the part of --memory-limit that the bodies of the
	// endpoint's responses may use while they are read.
	companionResponseMemoryDivisor = 4
	// keptResponsesDivisor gives the part of --memory-limit that the responses of finished
	// requests may use, which are kept for entries that have lost the reply.
	keptResponsesDivisor = 8
)

func (p *companionProcess) backend() usher.Backend {
	client := &http.Client{Transport: httpresponse.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: p.maxRunning, DisableCompression: true, MaxResponseHeaderBytes: maxEndpointHeaderBytes,
	})}
	responseMemory := int64(p.memoryLimit) * mebibyte / companionResponseMemoryDivisor
	if p.protocol == string(usher.ServicePlain) {
		return endpoint.NewPlainClient(p.endpointAddress, client, responseMemory)
	}
	return endpoint.NewModelClient(p.endpointAddress, client, responseMemory)
}

// outcomeBatchDelay is how long the journal holds back an outcome so that it can be
// stored together with later changes in one write.
const outcomeBatchDelay = time.Second

// newSlotTable returns the table of the key slots that this companion will hold.
func (p *companionProcess) newSlotTable(name usher.EndpointName) *journal.SlotTable {
	address := func(endpoint usher.EndpointName) (string, bool) {
		declared, ok := p.config.Current().Endpoints[endpoint]
		if !ok {
			return "", false
		}
		return declared.Companion, true
	}
	prober := companion.NewProber(address, wire.Caller{Incarnation: p.incarnation})
	return journal.NewSlotTable(journal.Options{
		Holder:    journal.Holder{Endpoint: name, Incarnation: p.incarnation},
		Retention: p.keyRetention, WritesPerSecond: float64(p.journalWritesPerSecond), OutcomeDelay: outcomeBatchDelay, MaxKeys: p.maxKeys,
	}, p.store, prober)
}

func (p *companionProcess) run(signalCtx context.Context, out, errOut io.Writer) error {
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
	openFiles, err := descriptors(0)
	if err != nil {
		return err
	}
	memory := p.clientMemory()
	p.parts.runUntilDone(func() { memory.LogTo(ctx, p.log) })
	name := usher.EndpointName(p.endpointName)
	replica := record.NewReplica(record.ReplicaOptions{
		Incarnation: p.incarnation, SilenceTimeout: p.entrySilenceTimeout, MaxCopyBytes: int64(p.recordMemory),
	}, p.store, p.log)
	admissionController := admission.New(name, admission.Options{
		MaxRunning: p.maxRunning, MaxWaiting: p.maxWaiting, MaxWaitingTokens: usher.Tokens(p.maxWaitingTokens),
		TargetTokenInterval: p.targetTokenInterval, FixedLimit: p.protocol == string(usher.ServicePlain), FairShareWeight: p.config.FairShareWeight, AllowPreemption: p.config.AllowsPreemption,
	})
	suspects := suspect.NewTable()
	p.parts.run(func() error { return suspects.Sync(ctx, p.store, true, p.log) })
	p.admin.AddSection("suspects", suspects.State)
	crashBlame := newBlame(p.log)
	p.parts.runUntilDone(func() { crashBlame.Sync(ctx, p.store, blame.ReadRegularly, p.log) })
	p.admin.AddSection("crashCauses", crashBlame.State)
	slotTable := p.newSlotTable(name)
	p.parts.run(func() error { return slotTable.KeepHeld(ctx) })
	fence := companion.NewFence(p.store, name, p.incarnation, p.log)
	requests := ledger.New(p.requestRetention)
	requests.KeepAtMost(int64(p.memoryLimit) * mebibyte / keptResponsesDivisor)
	comp := companion.New(companion.Options{
		Endpoint: name, Incarnation: p.incarnation,
		TicketLifetime: p.ticketLifetime, TicketRetention: p.requestRetention, MaxUsedTickets: p.maxKeys,
		MaxCrashes: p.maxCrashes,
	}, companion.Dependencies{
		Suspects: suspects, Blame: crashBlame, Journal: slotTable, Fence: fence.Current,
		Config: p.config, Backend: p.backend(),
		Admission: admissionController,
		Ledger:    requests, RecordReplica: replica, Memory: memory, Log: p.log,
	})
	p.admin.AddSection("companion", comp.State)
	p.admin.AddSection("admission", admissionController.State)
	p.admin.AddSection("record", replica.State)
	server := peerrpc.NewServer(listener, peerrpc.LargeMessages)
	server.Limit(peerConnections(openFiles), memory)
	if err := server.Register("Companion", companion.NewRPC(comp)); err != nil {
		return err
	}
	if err := server.Register("Record", record.NewReplicaRPC(replica)); err != nil {
		return err
	}
	if err := p.syncConfig(ctx, server, listener.Addr().String(), name); err != nil {
		return err
	}
	p.parts.run(func() error { return replica.Run(ctx) })
	p.parts.run(func() error { return fence.Run(ctx) })
	p.parts.run(func() error { return comp.WatchLeaving(ctx) })
	p.log.Info().Str("listen", listener.Addr().String()).Msg("listening")
	go p.awaitConfig(ctx)
	// If the drain timeout cuts a request off, the process must not exit with status 0.
	var drainErr error
	go func() {
		p.awaitStop(signalCtx)
		drainCtx, cancelDrain := context.WithTimeout(ctx, p.drainTimeout)
		defer cancelDrain()
		drainErr = comp.Drain(drainCtx)
		replica.Close(drainCtx)
		cancel()
	}()
	return errors.Join(p.parts.wait(), drainErr)
}
