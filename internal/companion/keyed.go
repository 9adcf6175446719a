package companion

import (
	"context"
	"errors"
	"time"

	"filbertusher/internal/journal"
	"filbertusher/internal/link"
	"filbertusher/internal/ticket"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// keyedGrace is how much longer than its deadline a dispatched request
	// with a key may run. Cutting it off would leave the key unknown, while
	// its answer can still be fetched by sending the key again.
	keyedGrace = time.Minute
	// confirmTimeout bounds the question to the store that lets a refusal
	// promise that the key did not run.
	confirmTimeout = 500 * time.Millisecond
)

// keyedWork is one request that may run only once.
type keyedWork struct {
	work
	header usher.RequestHeader
	slot   *journal.Slot
	hash   journal.KeyHash
}

// submitKeyed takes a request that may run only once on its way: its key is
// found or written down before it is dispatched.
func (c *Companion) submitKeyed(args *wire.SubmitArgs, header usher.RequestHeader) wire.SubmitReply {
	ctx, cancel := context.WithDeadline(context.Background(), header.Deadline)
	entry, fresh := c.Ledger.Open(header, cancel)
	if !fresh {
		cancel()
		return c.outcome(entry)
	}
	w := &keyedWork{
		work:   work{companion: c, args: args, entry: entry, cancel: cancel},
		header: header, hash: journal.HashKey(header.Workspace, header.Key),
	}
	reply := w.run(ctx)
	if reply.State != wire.StateStreaming {
		cancel()
	}
	if w.slot != nil {
		reply.Slot = viewOf(w.slot.View())
	}
	return reply
}

func viewOf(view journal.View) wire.SlotView {
	return wire.SlotView{Holder: view.Holder.Endpoint, Fence: view.Fence, Epoch: view.Epoch}
}

// run finds the slot and the key. A key that is being run by an earlier request
// is waited for; if that one ends without having run, this one takes its place.
func (w *keyedWork) run(ctx context.Context) wire.SubmitReply {
	if refusal := w.find(ctx); refusal != nil {
		return *refusal
	}
	seen := journal.View{Fence: w.args.Slot.Fence, Epoch: w.args.Slot.Epoch}
	for {
		key, fresh, err := w.slot.Open(w.hash, w.header.Digest, w.header.ID, seen)
		if err != nil {
			return w.notOpened(err)
		}
		if fresh {
			w.key = key
			return w.first(ctx)
		}
		select {
		case <-key.Done():
		case <-ctx.Done():
			return w.refuse(usher.NewUnknown(usher.RefusalKeyInProgress, "the request is still running").WithRetryAfter(time.Second))
		}
		answer, refusal := key.Result()
		if refusal != nil && refusal.NotDispatched() && ctx.Err() == nil {
			continue
		}
		w.entry.Finish(answer, refusal)
		return w.companion.outcome(w.entry)
	}
}

// find sets the slot, or returns why there is none here.
func (w *keyedWork) find(ctx context.Context) *wire.SubmitReply {
	if ticket.Is(w.header.Key) {
		return w.findTicket()
	}
	c := w.companion
	var retention time.Duration
	if service, ok := c.Config.Current().Services[w.header.Service]; ok {
		retention = time.Duration(service.KeyRetention)
	}
	slot, err := c.Journal.Slot(ctx, w.header.Service, w.hash.Slot(), retention)
	if err != nil {
		reply := w.notOpened(err)
		return &reply
	}
	w.slot = slot
	return nil
}

// findTicket checks a ticket. An expired one is not run any more, but what
// came of it is told as long as it is remembered.
func (w *keyedWork) findTicket() *wire.SubmitReply {
	c := w.companion
	age, err := c.issuer.Check(w.header.Key, w.header.Workspace, w.header.Service)
	var foreign *ticket.ForeignError
	switch {
	case errors.As(err, &foreign):
		reply := w.refuse(usher.NewAttemptRefusal(usher.RefusalTicketExpired, err.Error()))
		return &reply
	case err != nil:
		reply := w.refuse(usher.NewRefusal(usher.RefusalTicketInvalid, err.Error()))
		return &reply
	case age <= c.options.TicketLife || c.tickets.Has(w.hash):
		w.slot = c.tickets
		return nil
	}
	refusal := usher.NewAttemptRefusal(usher.RefusalTicketExpired, "the ticket has expired")
	if age < c.options.TicketLife+c.options.TicketRetention {
		// Every ticket used in its life is still remembered.
		refusal = usher.NewRefusal(usher.RefusalTicketExpired, "the ticket has expired unused")
	}
	reply := w.refuse(refusal)
	return &reply
}

// notOpened turns an error of the journal into a reply.
func (w *keyedWork) notOpened(err error) wire.SubmitReply {
	var moved *journal.MovedError
	var stale *journal.StaleError
	var refusal *usher.Refusal
	switch {
	case errors.As(err, &moved):
		return w.elsewhere(wire.SlotView{Holder: moved.Holder.Endpoint})
	case errors.As(err, &stale):
		return w.elsewhere(viewOf(stale.View))
	case errors.As(err, &refusal) && refusal.Kind == usher.RefusalKeyConflict:
		return w.refuse(refusal)
	case errors.As(err, &refusal):
		return w.refuse(w.confirmed(refusal))
	default:
		return w.refuse(usher.NewAttemptRefusal(usher.RefusalStoreUnavailable, err.Error()).WithRetryAfter(time.Second))
	}
}

// elsewhere forgets the request, because it has to be sent again.
func (w *keyedWork) elsewhere(view wire.SlotView) wire.SubmitReply {
	w.companion.Ledger.Forget(w.entry)
	return wire.SubmitReply{Status: w.companion.status(), State: wire.StateElsewhere, Slot: view}
}

func (w *keyedWork) refuse(refusal *usher.Refusal) wire.SubmitReply {
	w.end(nil, refusal)
	return w.companion.refused(refusal)
}

// confirmed lets a refusal promise that the key did not run only if the store
// says that the slot is still held. Another holder may have run it otherwise.
func (w *keyedWork) confirmed(refusal *usher.Refusal) *usher.Refusal {
	if refusal.Outcome != usher.OutcomeNotRun {
		return refusal
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	if w.slot.Confirm(ctx) != nil {
		return refusal.ForAttempt()
	}
	return refusal
}

// first runs a request whose key was not known.
func (w *keyedWork) first(ctx context.Context) wire.SubmitReply {
	c := w.companion
	if !c.drain.begin() {
		return w.leave()
	}
	room, refusal := w.admit(ctx)
	if room == nil {
		c.drain.end()
		return w.notAdmitted(refusal)
	}
	if err := w.key.Commit(ctx); err != nil {
		room.Release()
		c.drain.end()
		w.key.Finish(nil, usher.NewAttemptRefusal(usher.RefusalStoreUnavailable, err.Error()))
		return w.notOpened(err)
	}
	// A process that was paused here may have lost the slot meanwhile. Its
	// successor found the key in the journal and will not run it.
	if !time.Now().Before(w.header.Deadline) {
		room.Release()
		c.drain.end()
		return w.refuse(w.confirmed(usher.NewRefusal(usher.RefusalDeadline, "the deadline passed before the request was dispatched")))
	}
	return w.send(room)
}

// notAdmitted ends a request that did not get into the endpoint.
func (w *keyedWork) notAdmitted(refusal *usher.Refusal) wire.SubmitReply {
	if refusal.Kind == usher.RefusalLeaving {
		return w.leave()
	}
	return w.refuse(w.confirmed(refusal))
}

// leave sends a request on to the successor. A ticket has none.
func (w *keyedWork) leave() wire.SubmitReply {
	leaving := usher.NewRefusal(usher.RefusalLeaving, "the endpoint is leaving")
	if ticket.Is(w.header.Key) {
		return w.refuse(leaving)
	}
	w.key.Finish(nil, leaving.ForAttempt())
	return w.elsewhere(wire.SlotView{})
}

// send dispatches the request. Its work is not tied to the caller any more.
func (w *keyedWork) send(room usher.Slot) wire.SubmitReply {
	ctx, cancel := context.WithDeadline(context.Background(), w.header.Deadline.Add(keyedGrace))
	w.cancel = cancel
	return w.dispatch(ctx, room)
}

func streamGone() *usher.Refusal {
	return &usher.Refusal{Kind: usher.RefusalAnswerGone, Message: "the request ran; its streamed answer is not kept", Outcome: usher.OutcomeRan}
}

// ticket issues a ticket, unless the endpoint is leaving.
func (c *Companion) ticket(args *wire.TicketArgs) wire.TicketReply {
	if c.drain.started() {
		return wire.TicketReply{Status: c.status(), Refusal: usher.NewRefusal(usher.RefusalLeaving, "the endpoint is leaving")}
	}
	return wire.TicketReply{
		Status: c.status(), Ticket: c.issuer.Issue(args.Workspace, args.Service), Expires: c.options.TicketLife,
	}
}

const (
	// pingTimeout bounds one question whether a holder still runs.
	pingTimeout = 500 * time.Millisecond
	// pingAttempts is how often a holder that does not reply is asked.
	pingAttempts = 2
)

// Prober asks the holder of a slot whether it still runs. It is wrong about a
// paused holder, which the journal is built for.
type Prober struct {
	config configReader
	caller wire.Caller
}

// configReader finds where a companion is reached.
type configReader func(usher.EndpointName) (address string, ok bool)

// NewProber returns a prober that finds companions by address.
func NewProber(address func(usher.EndpointName) (string, bool), caller wire.Caller) *Prober {
	return &Prober{config: address, caller: caller}
}

var _ journal.Prober = (*Prober)(nil)

// Gone implements journal.Prober. A companion that is not declared any more,
// can't be reached, does not reply or runs as another incarnation is gone.
func (p *Prober) Gone(ctx context.Context, holder journal.Holder) bool {
	address, ok := p.config(holder.Endpoint)
	if !ok {
		return true
	}
	peer := link.New(address)
	defer peer.Close()
	for range pingAttempts {
		limit, cancel := context.WithTimeout(ctx, pingTimeout)
		reply := &wire.PingReply{}
		err := peer.Call(limit, wire.MethodPing, &wire.PingArgs{Caller: p.caller}, reply)
		cancel()
		if err == nil {
			return reply.Incarnation != holder.Incarnation
		}
	}
	return true
}
