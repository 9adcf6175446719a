package entry

import (
	"context"
	"errors"
	"time"

	"filbertusher/internal/pause"
	"filbertusher/internal/peerrpc"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// resolveWithdrawTimeout is the timeout for withdrawing a request whose outcome
	// is unknown, including the wait for a peer that was not tried yet.
	resolveWithdrawTimeout = 2 * time.Second
	// maxFetchAttempts is the maximum number of Fetch calls for one outcome.
	maxFetchAttempts = 3
	// maxUnknownAttempts is the maximum number of attempts of an idempotent
	// request that may end with an unknown outcome.
	maxUnknownAttempts = 2
)

// resolveOutcome asks the companion for the outcome of a request whose reply is
// missing. The second result is false if the request may be offered again: it
// did not and will not run, or it is safe to repeat.
func (e *Entry) resolveOutcome(ctx context.Context, req *request, peer *peer, stream *incomingStream, cause error) (result, bool) {
	var unreachable *peerrpc.UnreachableError
	if errors.As(cause, &unreachable) && ctx.Err() == nil {
		return result{}, false
	}
	if errors.As(cause, &unreachable) {
		return refusalResult(usher.NewRefusal(contextRefusalKind(ctx), "the request was not sent")), true
	}
	e.metrics.outcomesResolved(1)
	if res, final, known := e.fetchOutcome(ctx, req, peer, stream); known {
		return res, final
	}
	kind := usher.RefusalEndpointFailed
	if ctx.Err() != nil {
		kind = contextRefusalKind(ctx)
	}
	refusal := e.withdraw(req, peer, stream, kind)
	if ctx.Err() == nil {
		return e.retryUnknown(req, refusal)
	}
	return refusalResult(refusal), true
}

// retryUnknown allows another attempt if this one did not run. If its outcome is
// unknown, it allows another attempt only of an idempotent request.
func (e *Entry) retryUnknown(req *request, refusal *usher.Refusal) (result, bool) {
	if refusal.Outcome == usher.OutcomeNotRun {
		return result{}, false
	}
	if req.Idempotent && len(req.unknownRefusals) < maxUnknownAttempts-1 {
		req.unknownRefusals = append(req.unknownRefusals, refusal)
		return result{}, false
	}
	return refusalResult(refusal), true
}

// fetchOutcome asks for the outcome of a request while the incarnation that it
// was sent to is reachable. known is false if the outcome was not received.
func (e *Entry) fetchOutcome(ctx context.Context, req *request, peer *peer, stream *incomingStream) (res result, final, known bool) {
	for range maxFetchAttempts {
		current, err := peer.awaitReachable(ctx, true)
		if err != nil || current.incarnation != stream.connState.incarnation {
			return result{}, false, false
		}
		reply := &wire.SubmitReply{}
		args := &wire.FetchArgs{Caller: e.caller(), ID: req.ID, Stream: stream.number}
		if err := peer.call(ctx, wire.MethodFetch, args, reply); err != nil {
			pause.For(ctx, reconnectDelay)
			continue
		}
		if reply.State == wire.StateUnknownRequest || reply.Incarnation != stream.connState.incarnation {
			return result{}, false, false
		}
		req.reply = reply
		res, final = e.interpretReply(reply, stream)
		return res, final, true
	}
	return result{}, false, false
}

// withdraw cancels the request and returns a refusal with its outcome. It does
// not use the request's context, which may be done. Only the incarnation that
// the request was sent to can confirm that it did not and will not run.
func (e *Entry) withdraw(req *request, peer *peer, stream *incomingStream, kind usher.RefusalKind) *usher.Refusal {
	ctx, cancel := context.WithTimeout(context.Background(), resolveWithdrawTimeout)
	defer cancel()
	reply := &wire.WithdrawReply{}
	// A request with a key runs to completion, because its caller may ask for
	// the outcome by sending the key again.
	args := &wire.WithdrawArgs{Caller: e.caller(), ID: req.ID, Cancel: req.Key == ""}
	_, err := peer.awaitReachable(ctx, false)
	if err == nil {
		err = peer.call(ctx, wire.MethodWithdraw, args, reply)
	}
	if err != nil {
		if args.Cancel {
			peer.queueWithdrawal(req.ID)
		}
		return usher.NewUnknownOutcome(kind, "the endpoint's companion can't be asked: "+err.Error())
	}
	if reply.Incarnation != stream.connState.incarnation {
		return usher.NewUnknownOutcome(kind, "the endpoint's companion was restarted")
	}
	return &usher.Refusal{Kind: kind, Message: "the request was withdrawn", Outcome: reply.Outcome}
}

func contextRefusalKind(ctx context.Context) usher.RefusalKind {
	stopping := new(StoppingError)
	switch {
	case errors.As(context.Cause(ctx), &stopping):
		return usher.RefusalLeaving
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return usher.RefusalDeadlineExceeded
	default:
		return usher.RefusalCancelled
	}
}
