package entry

import (
	"context"
	"errors"
	"time"

	"filbertusher/internal/link"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// settleTimeout bounds the questions after an unsure outcome.
	settleTimeout = 2 * time.Second
	// settleAttempts is how often a peer is asked.
	settleAttempts = 3
	// settleDelay is the pause between two questions.
	settleDelay = 100 * time.Millisecond
)

// settle finds out what became of a request whose reply is missing, by asking
// the companion instead of guessing. final is false when it certainly did not
// run and will not.
func (e *Entry) settle(ctx context.Context, accepted *request, peer *peer, stream *incoming, cause error) (result, bool) {
	var unreachable *link.UnreachableError
	if errors.As(cause, &unreachable) {
		return result{}, false
	}
	e.metrics.settled(1)
	if ctx.Err() != nil {
		return refused(e.withdraw(accepted, peer, endOf(ctx))), true
	}
	reply, err := e.fetch(ctx, accepted, peer)
	if err == nil {
		accepted.reply = reply
		got, _ := e.judge(reply, stream)
		return got, true
	}
	refusal := e.withdraw(accepted, peer, usher.RefusalEndpointFailed)
	return refused(refusal), refusal.Outcome != usher.OutcomeNotRun
}

// fetch asks for the outcome of a request until there is a reply.
func (e *Entry) fetch(ctx context.Context, accepted *request, peer *peer) (*wire.SubmitReply, error) {
	var err error
	for range settleAttempts {
		reply := &wire.SubmitReply{}
		args := &wire.FetchArgs{Caller: e.caller(), ID: accepted.ID}
		if err = peer.link.Call(ctx, wire.MethodFetch, args, reply); err == nil {
			return reply, nil
		}
		sleep(ctx, settleDelay)
	}
	return nil, err
}

// withdraw takes the request back and says what is known of it. It does not
// use the request's context, which may have ended.
func (e *Entry) withdraw(accepted *request, peer *peer, kind usher.RefusalKind) *usher.Refusal {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	reply := &wire.WithdrawReply{}
	args := &wire.WithdrawArgs{Caller: e.caller(), ID: accepted.ID, Cancel: true}
	if err := peer.link.Call(ctx, wire.MethodWithdraw, args, reply); err != nil {
		return usher.NewUnknown(kind, "the endpoint's companion can't be asked: "+err.Error())
	}
	return &usher.Refusal{Kind: kind, Message: "the request was withdrawn", Outcome: reply.Outcome}
}

func endOf(ctx context.Context) usher.RefusalKind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return usher.RefusalDeadline
	}
	return usher.RefusalCancelled
}

func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
