package command

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"filbertusher/internal/admission"
	"filbertusher/internal/companion"
	"filbertusher/internal/endpoint"
	"filbertusher/internal/journal"
	"filbertusher/internal/ledger"
	"filbertusher/internal/link"
	"filbertusher/internal/record"
	"filbertusher/internal/suspect"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// companionProcessors is how many threads of the process run at once by default.
const companionProcessors = 2

// companionProcess is the settings of the companion.
type companionProcess struct {
	process
	tuning
	dryRun
	listen          string
	endpointName    string
	endpointAddress string
	protocol        string
	running         int
	waiting         int
	waitingTokens   int
	tokenPace       time.Duration
	retention       time.Duration
	recordSilence   time.Duration
	recordLimit     int
	keyRetention    time.Duration
	journalWrites   int
	ticketLife      time.Duration
	maxKeys         int
	maxCrashes      int
}

func newCompanionCommand() *Command {
	command := New("companion", "stand beside an endpoint and send it its work")
	p := &companionProcess{}
	p.declare(command.Settings)
	p.declareTuning(command.Settings, companionProcessors)
	p.declareDryRun(command.Settings)
	command.Settings.Address(&p.listen, "listen", "127.0.0.1:9090", true, "where entries reach this process")
	command.Settings.Text(&p.endpointName, "endpoint", "", true, "the name of the endpoint's declaration")
	command.Settings.Address(&p.endpointAddress, "endpoint-address", "", true, "where the endpoint itself is reached")
	command.Settings.Choice(&p.protocol, "protocol", string(usher.ServiceModel), []string{string(usher.ServiceModel), string(usher.ServicePlain)}, "how the endpoint is spoken to")
	command.Settings.Int(&p.running, "max-running", 256, 1, 4096, "how many requests may be in the endpoint at once; for model engines fewer are let in, as their pace allows")
	command.Settings.Duration(&p.tokenPace, "token-pace", 25*time.Millisecond, time.Millisecond, time.Minute, "the mean time between two tokens of an answer that is not to be passed")
	command.Settings.Int(&p.waiting, "max-waiting", 1000, 0, 1000000, "how many requests may wait for the endpoint")
	command.Settings.Int(&p.waitingTokens, "max-waiting-tokens", 4<<20, 1, 1<<30, "how many prompt tokens the waiting requests may have together")
	command.Settings.Duration(&p.retention, "retention", 10*time.Minute, time.Second, 24*time.Hour, "how long ended requests are remembered")
	command.Settings.Duration(&p.recordSilence, "record-silence", 30*time.Second, 100*time.Millisecond, time.Hour, "how long an entry may be silent before its part of the record is stored from here; three times the entries' record-interval or more")
	command.Settings.Int(&p.recordLimit, "record-memory", 16<<20, 64<<10, 1<<30, "what copies for the record may take in memory, in bytes")
	command.Settings.Duration(&p.keyRetention, "key-retention", 24*time.Hour, time.Minute, 30*24*time.Hour, "how long idempotency keys are remembered where the service declares no time")
	command.Settings.Int(&p.journalWrites, "journal-writes", 5, 1, 1000, "how many writes a second may go to the journal of one slot of keys")
	command.Settings.Duration(&p.ticketLife, "ticket-life", 10*time.Minute, time.Second, 24*time.Hour, "how long a ticket can be used")
	command.Settings.Int(&p.maxKeys, "max-keys", 20000, 1, 1000000, "how many keys one slot, and all tickets together, may remember")
	command.Settings.Int(&p.maxCrashes, "max-crashes", 2, 1, 100, "how often a request may be in an endpoint that crashes before it is refused")
	command.Run = p.run
	return command
}

func (p *companionProcess) backend() usher.Backend {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: p.running, DisableCompression: true}}
	if p.protocol == string(usher.ServicePlain) {
		return endpoint.NewPlain(p.endpointAddress, client)
	}
	return endpoint.NewModel(p.endpointAddress, client)
}

// outcomeDelay is how long an outcome may wait for another write to share.
const outcomeDelay = time.Second

// book returns the journals of the slots that this companion will hold.
func (p *companionProcess) book(name usher.EndpointName) *journal.Book {
	address := func(endpoint usher.EndpointName) (string, bool) {
		declared, ok := p.config.Current().Endpoints[endpoint]
		if !ok {
			return "", false
		}
		return declared.Companion, true
	}
	prober := companion.NewProber(address, wire.Caller{Incarnation: p.incarnation})
	return journal.NewBook(journal.Options{
		Holder:    journal.Holder{Endpoint: name, Incarnation: p.incarnation},
		Retention: p.keyRetention, WritesPerSecond: float64(p.journalWrites), OutcomeDelay: outcomeDelay, MaxKeys: p.maxKeys,
	}, p.store, prober)
}

func (p *companionProcess) run(signalled context.Context, out, errOut io.Writer) error {
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
	name := usher.EndpointName(p.endpointName)
	keeper := record.NewKeeper(record.KeeperOptions{
		Incarnation: p.incarnation, Silence: p.recordSilence, Limit: int64(p.recordLimit),
	}, p.store, p.log)
	room := admission.New(name, admission.Options{
		Running: p.running, Waiting: p.waiting, WaitingTokens: usher.Tokens(p.waitingTokens),
		TargetTokenInterval: p.tokenPace, FixedLimit: p.protocol == string(usher.ServicePlain), Share: p.config.ShareOf, AllowPreemption: p.config.Preempts,
	})
	suspects := suspect.NewTable()
	p.group.Go(func() error { return suspects.Sync(ctx, p.store, true, p.log) })
	p.admin.Section("suspects", suspects.State)
	fence := companion.NewFence(p.store, name, p.incarnation, p.log)
	beside := companion.New(companion.Options{
		Endpoint: name, Incarnation: p.incarnation,
		TicketLife: p.ticketLife, TicketRetention: p.retention, MaxTickets: p.maxKeys,
		MaxCrashes: p.maxCrashes,
	}, companion.Dependencies{
		Suspects: suspects, Journal: p.book(name), Fence: fence.Current,
		Config: p.config, Backend: p.backend(),
		Admission: room,
		Ledger:    ledger.New(p.retention), Keeper: keeper, Log: p.log,
	})
	p.admin.Section("companion", beside.State)
	p.admin.Section("admission", room.State)
	p.admin.Section("record", keeper.State)
	server := link.NewServer(listener)
	if err := server.Register("Companion", companion.NewRPC(beside)); err != nil {
		return err
	}
	if err := server.Register("Record", record.NewKeeperRPC(keeper)); err != nil {
		return err
	}
	if err := p.follow(ctx, server, listener.Addr().String(), name); err != nil {
		return err
	}
	p.group.Go(func() error { return keeper.Run(ctx) })
	p.group.Go(func() error { return fence.Run(ctx) })
	p.group.Go(func() error { return beside.FollowLeaving(ctx) })
	p.log.Info().Str("listen", listener.Addr().String()).Msg("listening")
	go p.ready(ctx)
	// A stop that cut a request does not exit with status 0.
	var drained error
	go func() {
		p.awaitStop(signalled)
		limit, stop := context.WithTimeout(ctx, p.drainTimeout)
		defer stop()
		drained = beside.Drain(limit)
		keeper.Close(limit)
		cancel()
	}()
	return errors.Join(p.group.Wait(), drained)
}
