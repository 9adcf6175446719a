package companion

import (
	"context"
	"errors"
	"time"

	"filbertusher/internal/journal"
	"filbertusher/internal/peerrpc"
	"filbertusher/internal/ticket"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// keyedGrace is how much longer than its deadline a dispatched request with a
	// key may run. Cancelling it at the deadline would leave the outcome of the key
	// unknown, while the response of a completed run can still be fetched by sending
	// the key again.
	keyedGrace = time.Minute
	// confirmTimeout bounds the store read that is needed before a refusal may
	// state that the key did not run.
	confirmTimeout = 500 * time.Millisecond
)

// keyedExecution is the execution of a request that may run only once.
type keyedExecution struct {
	execution
	header  usher.RequestHeader
	keySlot *journal.Slot
	hash    journal.KeyHash
}

// submitKeyed handles a request that may run only once. Its key is looked up in
// the journal, and recorded there before the request is dispatched. The journal
// groups keys in key slots; they are not the slots of admission.
func (c *Companion) submitKeyed(args *wire.SubmitArgs, header usher.RequestHeader) wire.SubmitReply {
	ctx, cancel := context.WithDeadline(context.Background(), header.Deadline)
	request, isNew := c.Ledger.Open(header, cancel)
	if !isNew {
		cancel()
		return c.awaitResult(request)
	}
	e := &keyedExecution{
		execution: execution{companion: c, args: args, request: request, cancel: cancel},
		header:    header, hash: journal.HashKey(header.Workspace, header.Key),
	}
	reply := e.run(ctx)
	if reply.State != wire.StateStreaming {
		cancel()
	}
	if e.keySlot != nil {
		reply.Slot = toKeySlotView(e.keySlot.View())
	}
	return reply
}

func toKeySlotView(view journal.View) wire.KeySlotView {
	return wire.KeySlotView{Holder: view.Holder.Endpoint, Fence: view.Fence, Epoch: view.Epoch}
}

// run looks up the key slot and the key. If an earlier request is running with the
// key, it waits for that request, and takes its place if that one was not
// dispatched.
func (e *keyedExecution) run(ctx context.Context) wire.SubmitReply {
	if refusal := e.findKeySlot(ctx); refusal != nil {
		return *refusal
	}
	lastKnown := journal.View{Fence: e.args.Slot.Fence, Epoch: e.args.Slot.Epoch}
	for {
		key, isNew, err := e.keySlot.GetOrCreate(e.hash, e.header.Digest, e.header.ID, lastKnown)
		if err != nil {
			return e.journalErrorReply(err)
		}
		if isNew {
			e.key = key
			return e.runNew(ctx)
		}
		select {
		case <-key.Done():
		case <-ctx.Done():
			return e.refuse(usher.NewUnknownOutcome(usher.RefusalKeyInProgress, "the request is still running").WithRetryAfter(time.Second))
		}
		response, refusal := key.Result()
		if refusal != nil && refusal.NotDispatched() && ctx.Err() == nil {
			continue
		}
		e.request.Finish(response, refusal)
		return e.companion.awaitResult(e.request)
	}
}

// findKeySlot sets keySlot, or returns the reply that says why there is none.
func (e *keyedExecution) findKeySlot(ctx context.Context) *wire.SubmitReply {
	if ticket.Is(e.header.Key) {
		return e.checkTicket()
	}
	c := e.companion
	var retention time.Duration
	if service, ok := c.Config.Current().Services[e.header.Service]; ok {
		retention = time.Duration(service.KeyRetention)
	}
	slot, err := c.Journal.Slot(ctx, e.header.Service, e.hash.Slot(), retention)
	if err != nil {
		reply := e.journalErrorReply(err)
		return &reply
	}
	e.keySlot = slot
	return nil
}

// checkTicket validates a ticket. An expired ticket does not run again, but its
// outcome is returned for as long as it is remembered.
func (e *keyedExecution) checkTicket() *wire.SubmitReply {
	c := e.companion
	age, err := c.issuer.Verify(e.header.Key, e.header.Workspace, e.header.Service)
	var wrongIncarnation *ticket.WrongIncarnationError
	switch {
	case errors.As(err, &wrongIncarnation):
		reply := e.refuse(usher.NewAttemptRefusal(usher.RefusalTicketExpired, err.Error()))
		return &reply
	case err != nil:
		reply := e.refuse(usher.NewRefusal(usher.RefusalTicketInvalid, err.Error()))
		return &reply
	case age <= c.options.TicketLifetime || c.ticketSlot.Has(e.hash):
		e.keySlot = c.ticketSlot
		return nil
	}
	refusal := usher.NewAttemptRefusal(usher.RefusalTicketExpired, "the ticket has expired")
	if age < c.options.TicketLifetime+c.options.TicketRetention {
		// Every ticket that was used during its lifetime is still remembered.
		refusal = usher.NewRefusal(usher.RefusalTicketExpired, "the ticket has expired unused")
	}
	reply := e.refuse(refusal)
	return &reply
}

// journalErrorReply converts an error of the journal into a reply.
func (e *keyedExecution) journalErrorReply(err error) wire.SubmitReply {
	var moved *journal.MovedError
	var stale *journal.StaleError
	var refusal *usher.Refusal
	switch {
	case errors.As(err, &moved):
		return e.redirect(wire.KeySlotView{Holder: moved.Holder.Endpoint})
	case errors.As(err, &stale):
		return e.redirect(toKeySlotView(stale.View))
	case errors.As(err, &refusal) && refusal.Kind == usher.RefusalKeyConflict:
		return e.refuse(refusal)
	case errors.As(err, &refusal):
		return e.refuse(e.confirmNotRun(refusal))
	default:
		return e.refuse(usher.NewAttemptRefusal(usher.RefusalStoreUnavailable, err.Error()).WithRetryAfter(time.Second))
	}
}

// redirect forgets the request and tells the entry to send it again.
func (e *keyedExecution) redirect(view wire.KeySlotView) wire.SubmitReply {
	e.companion.Ledger.Forget(e.request)
	return wire.SubmitReply{Status: e.companion.status(), State: wire.StateWrongHolder, Slot: view}
}

func (e *keyedExecution) refuse(refusal *usher.Refusal) wire.SubmitReply {
	e.complete(nil, refusal)
	return e.companion.refusedReply(refusal)
}

// confirmNotRun lets a refusal state that the key did not run only if the
// store confirms that the key slot is still held. Otherwise another holder may
// have run it.
func (e *keyedExecution) confirmNotRun(refusal *usher.Refusal) *usher.Refusal {
	if refusal.Outcome != usher.OutcomeNotRun {
		return refusal
	}
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	if e.keySlot.ConfirmHeld(ctx) != nil {
		return refusal.ForAttempt()
	}
	return refusal
}

// runNew runs a request whose key was not known.
func (e *keyedExecution) runNew(ctx context.Context) wire.SubmitReply {
	c := e.companion
	if !c.drain.add() {
		return e.redirectToSuccessor()
	}
	admitted, refusal := e.admit(ctx)
	if admitted == nil {
		c.drain.done()
		return e.notAdmitted(refusal)
	}
	if err := e.key.Commit(ctx); err != nil {
		admitted.Release()
		e.holding.Close()
		c.drain.done()
		e.key.Finish(nil, usher.NewAttemptRefusal(usher.RefusalStoreUnavailable, err.Error()))
		return e.journalErrorReply(err)
	}
	// If this process was suspended at this point, it may have lost the key slot. Its
	// successor found the key in the journal and will not run it.
	if !time.Now().Before(e.header.Deadline) {
		admitted.Release()
		e.holding.Close()
		c.drain.done()
		return e.refuse(e.confirmNotRun(usher.NewRefusal(usher.RefusalDeadlineExceeded, "the deadline passed before the request was dispatched")))
	}
	return e.dispatchDetached(admitted)
}

// notAdmitted ends a request that was not admitted. A nil refusal means that the
// endpoint was busy; key and ID then stay free for a later attempt.
func (e *keyedExecution) notAdmitted(refusal *usher.Refusal) wire.SubmitReply {
	if refusal == nil {
		e.key.Finish(nil, usher.NewAttemptRefusal(usher.RefusalOverloaded, "the endpoint is full"))
		return e.companion.notAdmitted(e.request, nil)
	}
	if refusal.Kind == usher.RefusalLeaving && e.companion.drain.isDraining() {
		return e.redirectToSuccessor()
	}
	return e.refuse(e.confirmNotRun(refusal))
}

// redirectToSuccessor redirects a request to the key slot's next holder. A
// ticket has no other holder and is refused.
func (e *keyedExecution) redirectToSuccessor() wire.SubmitReply {
	leaving := usher.NewRefusal(usher.RefusalLeaving, "the endpoint is leaving")
	if ticket.Is(e.header.Key) {
		return e.refuse(leaving)
	}
	e.key.Finish(nil, leaving.ForAttempt())
	return e.redirect(wire.KeySlotView{})
}

// dispatchDetached dispatches the request with a context that outlives the
// deadline and the calling entry.
func (e *keyedExecution) dispatchDetached(admitted usher.Slot) wire.SubmitReply {
	ctx, cancel := context.WithDeadline(context.Background(), e.header.Deadline.Add(keyedGrace))
	e.cancel = cancel
	return e.dispatch(ctx, admitted)
}

func streamNotKept() *usher.Refusal {
	return &usher.Refusal{Kind: usher.RefusalResponseExpired, Message: "the request ran; its streamed answer is not kept", Outcome: usher.OutcomeRan}
}

// ticket issues a ticket, unless the endpoint is leaving.
func (c *Companion) ticket(args *wire.TicketArgs) wire.TicketReply {
	if c.drain.isDraining() {
		return wire.TicketReply{Status: c.status(), Refusal: usher.NewRefusal(usher.RefusalLeaving, "the endpoint is leaving")}
	}
	return wire.TicketReply{
		Status: c.status(), Ticket: c.issuer.Issue(args.Workspace, args.Service), Expires: c.options.TicketLifetime,
	}
}

const (
	// pingTimeout bounds one ping of a holder.
	pingTimeout = 500 * time.Millisecond
	// pingAttempts is the number of pings before a holder that does not reply counts
	// as gone.
	pingAttempts = 2
)

// Prober checks whether the holder of a key slot still runs. It treats a holder
// whose process is suspended as gone; the journal tolerates that.
type Prober struct {
	lookup addressLookup
	caller wire.Caller
}

// addressLookup returns the address of an endpoint's companion.
type addressLookup func(usher.EndpointName) (address string, ok bool)

// NewProber returns a prober that looks up companions with address.
func NewProber(address func(usher.EndpointName) (string, bool), caller wire.Caller) *Prober {
	return &Prober{lookup: address, caller: caller}
}

var _ journal.Prober = (*Prober)(nil)

// Gone implements journal.Prober. A companion is gone if it is not declared any
// more, can't be reached, does not reply or runs as another incarnation.
func (p *Prober) Gone(ctx context.Context, holder journal.Holder) bool {
	address, ok := p.lookup(holder.Endpoint)
	if !ok {
		return true
	}
	peer := peerrpc.New(address, peerrpc.LargeMessages)
	defer peer.Close()
	for range pingAttempts {
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		reply := &wire.PingReply{}
		err := peer.Call(pingCtx, wire.MethodPing, &wire.PingArgs{Caller: p.caller}, reply)
		cancel()
		if err == nil {
			return reply.Incarnation != holder.Incarnation
		}
	}
	return true
}
