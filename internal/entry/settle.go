package entry

import (
	"context"
	"errors"
	"time"

	"filbertusher/internal/link"
	"filbertusher/internal/pause"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// settleTimeout bounds the withdrawal of a request.
	settleTimeout = 2 * time.Second
	// settleAttempts is how often a peer is asked for an outcome.
	settleAttempts = 3
	// maxUnsureAttempts is how often an idempotent request is offered at most
	// when the outcome of the attempts before is unknown.
	maxUnsureAttempts = 2
)

// settle finds out what became of a request whose reply is missing, by asking
// the companion instead of guessing. final is false when it certainly did not
// run and will not, or when it may be run again.
func (e *Entry) settle(ctx context.Context, accepted *request, peer *peer, stream *incoming, cause error) (result, bool) {
	var unreachable *link.UnreachableError
	if errors.As(cause, &unreachable) && ctx.Err() == nil {
		return result{}, false
	}
	if errors.As(cause, &unreachable) {
		return refused(usher.NewRefusal(endOf(ctx), "the request was not sent")), true
	}
	e.metrics.settled(1)
	if got, final, known := e.fetch(ctx, accepted, peer, stream); known {
		return got, final
	}
	kind := usher.RefusalEndpointFailed
	if ctx.Err() != nil {
		kind = endOf(ctx)
	}
	refusal := e.withdraw(accepted, peer, stream, kind)
	if ctx.Err() == nil {
		return e.unsure(accepted, refusal)
	}
	return refused(refusal), true
}

// unsure lets an attempt that certainly did not run be followed by another,
// and one whose outcome is unknown only where the request may be repeated.
func (e *Entry) unsure(accepted *request, refusal *usher.Refusal) (result, bool) {
	if refusal.Outcome == usher.OutcomeNotRun {
		return result{}, false
	}
	if accepted.Idempotent && len(accepted.unsure) < maxUnsureAttempts-1 {
		accepted.unsure = append(accepted.unsure, refusal)
		return result{}, false
	}
	return refused(refusal), true
}

// fetch asks for the outcome of a request while the incarnation that it was
// sent to can be reached. known is false when it did not tell.
func (e *Entry) fetch(ctx context.Context, accepted *request, peer *peer, stream *incoming) (got result, final, known bool) {
	for range settleAttempts {
		now, err := peer.await(ctx, true)
		if err != nil || now.incarnation != stream.contact.incarnation {
			return result{}, false, false
		}
		reply := &wire.SubmitReply{}
		args := &wire.FetchArgs{Caller: e.caller(), ID: accepted.ID, Stream: stream.number}
		if err := peer.call(ctx, wire.MethodFetch, args, reply); err != nil {
			pause.For(ctx, reconnectDelay)
			continue
		}
		if reply.State == wire.StateNotKnown || reply.Incarnation != stream.contact.incarnation {
			return result{}, false, false
		}
		accepted.reply = reply
		got, final = e.judge(reply, stream)
		return got, final, true
	}
	return result{}, false, false
}

// withdraw takes the request back and says what is known of it. It does not
// use the request's context, which may have ended. Only the incarnation that
// the request was sent to can promise that it did not and will not run.
func (e *Entry) withdraw(accepted *request, peer *peer, stream *incoming, kind usher.RefusalKind) *usher.Refusal {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	reply := &wire.WithdrawReply{}
	// A request with a key runs to its end, because its caller may ask for the
	// outcome again by the key.
	args := &wire.WithdrawArgs{Caller: e.caller(), ID: accepted.ID, Cancel: accepted.Key == ""}
	_, err := peer.await(ctx, false)
	if err == nil {
		err = peer.call(ctx, wire.MethodWithdraw, args, reply)
	}
	if err != nil {
		if args.Cancel {
			peer.withdrawLater(accepted.ID)
		}
		return usher.NewUnknown(kind, "the endpoint's companion can't be asked: "+err.Error())
	}
	if reply.Incarnation != stream.contact.incarnation {
		return usher.NewUnknown(kind, "the endpoint's companion was restarted")
	}
	return &usher.Refusal{Kind: kind, Message: "the request was withdrawn", Outcome: reply.Outcome}
}

func endOf(ctx context.Context) usher.RefusalKind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return usher.RefusalDeadline
	}
	return usher.RefusalCancelled
}
