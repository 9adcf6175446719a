package companion

import (
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// RPC holds the methods that other processes call through net/rpc.
type RPC struct{ companion *Companion }

// NewRPC returns the remote methods of a companion.
func NewRPC(companion *Companion) *RPC { return &RPC{companion: companion} }

// observeCaller uses what a caller states about itself.
func (r *RPC) observeCaller(caller *wire.Caller) {
	r.companion.Config.ReportPeerVersion(caller.Peer, caller.ConfigVersion)
	// Without an incarnation it would be the end of this process.
	if caller.StopsIn > 0 && caller.Incarnation != "" {
		r.companion.Admission.EndWork(caller.Incarnation, caller.StopsIn)
	}
}

// Submit offers a request with its body.
func (r *RPC) Submit(args *wire.SubmitArgs, reply *wire.SubmitReply) error {
	r.observeCaller(&args.Caller)
	if err := r.companion.RecordReplica.CheckCapacity(args.Header.Rank); err != nil {
		refusal := toRefusal(err, usher.OutcomeNotRun)
		if args.Header.Key != "" && !args.Header.Idempotent {
			// The key was not looked up, so the refusal must not say whether it ran.
			refusal = refusal.ForAttempt()
		}
		*reply = r.companion.refusedReply(refusal)
		return nil
	}
	*reply = r.companion.submit(args)
	reply.Held = r.companion.holdDecision(args, reply)
	return nil
}

// Fetch returns the outcome of a request that was submitted before.
func (r *RPC) Fetch(args *wire.FetchArgs, reply *wire.SubmitReply) error {
	request, ok := r.companion.Ledger.Find(args.ID)
	if !ok {
		*reply = wire.SubmitReply{Status: r.companion.status(), State: wire.StateUnknownRequest}
		return nil
	}
	*reply = r.companion.awaitResult(request)
	reply.Held = r.companion.RecordReplica.Holds(args.ID)
	return nil
}

// Reserve waits for a slot for a request without its body.
func (r *RPC) Reserve(args *wire.ReserveArgs, reply *wire.ReserveReply) error {
	r.observeCaller(&args.Caller)
	*reply = r.companion.reserve(args)
	return nil
}

// Withdraw withdraws a request or a reservation.
func (r *RPC) Withdraw(args *wire.WithdrawArgs, reply *wire.WithdrawReply) error {
	if args.Reservation {
		r.companion.reservations.withdraw(args.ID)
		reply.Status = r.companion.status()
		return nil
	}
	if args.TakeBack {
		reply.Outcome = usher.OutcomeUnknown
		if r.companion.Ledger.TakeBack(args.ID) {
			reply.Outcome = usher.OutcomeNotRun
		}
		reply.Status = r.companion.status()
		return nil
	}
	reply.Outcome = r.companion.Ledger.Withdraw(args.ID, args.Cancel)
	reply.Status = r.companion.status()
	return nil
}

// Collect waits for events of the calling entry's streams.
func (r *RPC) Collect(args *wire.CollectArgs, reply *wire.CollectReply) error {
	r.observeCaller(&args.Caller)
	for _, id := range args.Withdraw {
		r.companion.Ledger.Withdraw(id, true)
	}
	queue := r.companion.queues.forEntry(args.Incarnation)
	reply.Session = queue.session
	reply.Batch, reply.Events = queue.collect(args.Session, args.Ack, args.Wait)
	r.companion.metrics.events(int64(len(reply.Events)))
	reply.Status = r.companion.status()
	return nil
}

// Ticket issues a ticket.
func (r *RPC) Ticket(args *wire.TicketArgs, reply *wire.TicketReply) error {
	*reply = r.companion.ticket(args)
	return nil
}

// Ping returns the status, which identifies the running incarnation.
func (r *RPC) Ping(args *wire.PingArgs, reply *wire.PingReply) error {
	r.observeCaller(&args.Caller)
	reply.Status = r.companion.status()
	return nil
}
