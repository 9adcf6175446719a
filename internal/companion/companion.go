// Package companion implements the sidecar process of an endpoint. It is the only
// process that sends requests to the endpoint. It decides which requests are
// admitted and when, remembers the outcome of each one, and returns responses to
// the entries, the processes that accept requests from callers.
//
// submit handles requests that may be repeated and submitKeyed those that may run
// only once. Both build on execution, the run of one admitted request at the
// endpoint.
package companion

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/blame"
	"filbertusher/internal/config"
	"filbertusher/internal/intake"
	"filbertusher/internal/journal"
	"filbertusher/internal/ledger"
	"filbertusher/internal/suspect"
	"filbertusher/internal/telemetry"
	"filbertusher/internal/ticket"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// Options configures a companion.
type Options struct {
	Endpoint    usher.EndpointName
	Incarnation usher.Incarnation
	// TicketLifetime is how long a ticket can be used, and TicketRetention how much
	// longer its outcome is remembered.
	TicketLifetime  time.Duration
	TicketRetention time.Duration
	// MaxUsedTickets bounds the number of used tickets that are remembered.
	MaxUsedTickets int
	// MaxCrashes is the number of endpoint crashes during a request's execution at
	// which the request is refused.
	MaxCrashes int
}

// Dependencies are the components that a companion uses.
type Dependencies struct {
	Config    *config.Holder
	Backend   usher.Backend
	Admission usher.Admission
	Ledger    *ledger.Ledger
	Journal   *journal.SlotTable
	Suspects  *suspect.Table
	Blame     *blame.Table
	// Fence returns the fencing token of this incarnation, or 0 if it has none.
	Fence         func() usher.FencingToken
	RecordReplica usher.RecordReplica
	// Memory is charged for the bodies of requests that wait or run. It may be nil.
	Memory *intake.Budget
	Log    zerolog.Logger
}

// Companion is the state of the process. RPC exposes it to other processes.
type Companion struct {
	Dependencies
	reservations *reservations
	options      Options
	queues       *eventQueues
	metrics      metrics
	drain        *drain
	issuer       *ticket.Issuer
	ticketSlot   *journal.Slot
	runLock      *suspect.RunLock
	canceller    *canceller
	crashes      crashCounter
	// stopping is set by a planned shutdown, which can't be cancelled.
	stopping atomic.Bool
}

// metrics holds the functions that add to the companion's counters. busy counts
// offers rejected for lack of capacity, paused how often requests gave up their
// slot, resumed reconnections to streams, and events the stream events sent to
// entries.
type metrics struct {
	submitted  func(int64)
	dispatched func(int64)
	busy       func(int64)
	resumed    func(int64)
	paused     func(int64)
	events     func(int64)
}

// New returns a companion.
func New(options Options, dependencies Dependencies) *Companion {
	group := telemetry.NewMetrics("companion")
	return &Companion{
		Dependencies: dependencies,
		options:      options,
		queues:       newEventQueues(),
		reservations: newReservations(),
		issuer:       ticket.NewIssuer(ticket.Owner{Endpoint: options.Endpoint, Incarnation: options.Incarnation}),
		runLock:      suspect.NewRunLock(),
		canceller:    newCanceller(dependencies.Backend.Cancel, dependencies.Log),
		crashes:      crashCounter{endpoint: options.Endpoint, incarnation: options.Incarnation},
		ticketSlot:   journal.NewLocalSlot(options.TicketLifetime+options.TicketRetention, options.MaxUsedTickets),
		drain:        newDrain(),
		metrics: metrics{
			submitted:  group.Counter("submitted").Add,
			dispatched: group.Counter("dispatched").Add,
			busy:       group.Counter("busy").Add,
			paused:     group.Counter("requestsPaused").Add,
			resumed:    group.Counter("streamsResumed").Add,
			events:     group.Counter("streamEvents").Add,
		},
	}
}

// status returns the status that is embedded in every reply.
func (c *Companion) status() wire.Status {
	load := c.Admission.Report()
	load.Leaving = load.Leaving || c.drain.isDraining()
	load.Entries = c.queues.count()
	return wire.Status{
		Incarnation:   c.options.Incarnation,
		ConfigVersion: c.Config.Current().Version,
		Load:          load,
		Suspects:      c.Suspects.Recent(),
		Blame:         c.Blame.Report(),
	}
}

// submit handles an offered request: it registers the request in the ledger,
// admits it, dispatches it and returns the response.
func (c *Companion) submit(args *wire.SubmitArgs) wire.SubmitReply {
	c.metrics.submitted(1)
	header := args.Header
	header.Deadline, header.Entry = time.Now().Add(args.Remaining), args.Incarnation
	if header.Key != "" && !header.Idempotent {
		return c.submitKeyed(args, header)
	}
	ctx, cancel := context.WithDeadline(c.queues.context(args), header.Deadline)
	request, isNew := c.Ledger.Open(header, cancel)
	if !isNew {
		cancel()
		return c.awaitResult(request)
	}
	if !c.drain.add() {
		cancel()
		return c.notAdmitted(request, usher.NewRefusal(usher.RefusalLeaving, "the endpoint is leaving"))
	}
	execution := &execution{companion: c, args: args, request: request, cancel: cancel}
	slot, refusal := execution.admit(ctx)
	if slot == nil {
		cancel()
		c.drain.done()
		return c.notAdmitted(request, refusal)
	}
	return execution.dispatch(ctx, slot)
}

// notAdmitted ends a request that was not admitted. A nil refusal means that the
// endpoint was busy; the ID then stays free for a later attempt.
func (c *Companion) notAdmitted(request *ledger.Request, refusal *usher.Refusal) wire.SubmitReply {
	if refusal == nil {
		c.metrics.busy(1)
		c.Ledger.Forget(request)
		return wire.SubmitReply{Status: c.status(), State: wire.StateBusy}
	}
	request.Finish(nil, refusal)
	return c.refusedReply(refusal)
}

func (c *Companion) refusedReply(refusal *usher.Refusal) wire.SubmitReply {
	return wire.SubmitReply{Status: c.status(), State: wire.StateRefused, Refusal: refusal}
}

// awaitResult waits until a request that is already in the ledger has a result or
// its response starts to stream.
func (c *Companion) awaitResult(request *ledger.Request) wire.SubmitReply {
	select {
	case <-request.Done():
	case <-request.StreamStarted():
		return wire.SubmitReply{Status: c.status(), State: wire.StateStreaming}
	}
	response, refusal := request.Result()
	if refusal != nil {
		return c.refusedReply(refusal)
	}
	return wire.SubmitReply{Status: c.status(), State: wire.StateAnswered, Answer: response}
}

// toRefusal converts an error of a lower layer into the refusal that the entry
// receives. outcome is the outcome if the error does not determine it.
func toRefusal(err error, outcome usher.Outcome) *usher.Refusal {
	var refusal *usher.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var backend *usher.BackendError
	if errors.As(err, &backend) && !backend.Reached {
		outcome = usher.OutcomeNotRun
	}
	return &usher.Refusal{Kind: usher.RefusalEndpointFailed, Message: err.Error(), Outcome: outcome}
}
