// Package companion is the process beside an endpoint. It alone sends work to
// the endpoint; it decides what enters and when, remembers what it decided,
// and carries answers back to the entries.
package companion

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertusher/internal/config"
	"filbertusher/internal/journal"
	"filbertusher/internal/ledger"
	"filbertusher/internal/suspect"
	"filbertusher/internal/telemetry"
	"filbertusher/internal/ticket"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// Options of a companion.
type Options struct {
	Endpoint    usher.EndpointName
	Incarnation usher.Incarnation
	// TicketLife is how long a ticket can be used, and TicketRetention how
	// much longer its outcome is remembered.
	TicketLife      time.Duration
	TicketRetention time.Duration
	// MaxTickets bounds the used tickets that are remembered.
	MaxTickets int
	// MaxCrashes is how often a request may be in an endpoint that crashes
	// before it is refused.
	MaxCrashes int
}

// Dependencies are what a companion works with.
type Dependencies struct {
	Config    *config.Holder
	Backend   usher.Backend
	Admission usher.Admission
	Ledger    *ledger.Ledger
	Journal   *journal.Book
	Suspects  *suspect.Table
	// Fence returns the fencing number of this incarnation, 0 when it has none.
	Fence  func() usher.Fence
	Keeper usher.RecordKeeper
	Log    zerolog.Logger
}

// Companion is the state of the process. Its exported methods are in rpc.go.
type Companion struct {
	Dependencies
	reservations *reservations
	options      Options
	outlets      *outlets
	metrics      metrics
	drain        *drain
	issuer       *ticket.Issuer
	tickets      *journal.Slot
	gate         *suspect.RunLock
	// stopping is set by a planned stop, which can't be called off.
	stopping atomic.Bool
}

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
		outlets:      newOutlets(),
		reservations: newReservations(),
		issuer:       ticket.NewIssuer(ticket.Named{Endpoint: options.Endpoint, Incarnation: options.Incarnation}),
		gate:         suspect.NewRunLock(),
		tickets:      journal.NewLocal(options.TicketLife+options.TicketRetention, options.MaxTickets),
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

// status is embedded in every reply.
func (c *Companion) status() wire.Status {
	load := c.Admission.Report()
	load.Leaving = load.Leaving || c.drain.started()
	load.Entries = c.outlets.count()
	return wire.Status{
		Incarnation:   c.options.Incarnation,
		ConfigVersion: c.Config.Current().Version,
		Load:          load,
		Suspects:      c.Suspects.Recent(),
	}
}

// submit takes a request on its way through the companion: once in the ledger,
// admitted, dispatched, answered.
func (c *Companion) submit(args *wire.SubmitArgs) wire.SubmitReply {
	c.metrics.submitted(1)
	header := args.Header
	header.Deadline = time.Now().Add(args.Remaining)
	if header.Key != "" && !header.Idempotent {
		return c.submitKeyed(args, header)
	}
	ctx, cancel := context.WithDeadline(c.outlets.context(args), header.Deadline)
	entry, fresh := c.Ledger.Open(header, cancel)
	if !fresh {
		cancel()
		return c.outcome(entry)
	}
	if !c.drain.begin() {
		cancel()
		return c.notAdmitted(entry, usher.NewRefusal(usher.RefusalLeaving, "the endpoint is leaving"))
	}
	work := &work{companion: c, args: args, entry: entry, cancel: cancel}
	slot, refusal := work.admit(ctx)
	if slot == nil {
		cancel()
		c.drain.end()
		return c.notAdmitted(entry, refusal)
	}
	return work.dispatch(ctx, slot)
}

// notAdmitted ends a request that did not enter the endpoint. Without a
// refusal the endpoint was busy, and the id stays free for a later attempt.
func (c *Companion) notAdmitted(entry *ledger.Entry, refusal *usher.Refusal) wire.SubmitReply {
	if refusal == nil {
		c.metrics.busy(1)
		c.Ledger.Forget(entry)
		return wire.SubmitReply{Status: c.status(), State: wire.StateBusy}
	}
	entry.Finish(nil, refusal)
	return c.refused(refusal)
}

func (c *Companion) refused(refusal *usher.Refusal) wire.SubmitReply {
	return wire.SubmitReply{Status: c.status(), State: wire.StateRefused, Refusal: refusal}
}

// outcome waits for the end of a request that is known already.
func (c *Companion) outcome(entry *ledger.Entry) wire.SubmitReply {
	select {
	case <-entry.Done():
	case <-entry.Streaming():
		return wire.SubmitReply{Status: c.status(), State: wire.StateStreaming}
	}
	answer, refusal := entry.Result()
	if refusal != nil {
		return c.refused(refusal)
	}
	return wire.SubmitReply{Status: c.status(), State: wire.StateAnswered, Answer: answer}
}

// asRefusal turns an error of a lower layer into what the entry is told.
func asRefusal(err error, outcome usher.Outcome) *usher.Refusal {
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
