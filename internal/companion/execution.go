package companion

import (
	"context"
	"errors"
	"time"

	"filbertusher/internal/intake"
	"filbertusher/internal/journal"
	"filbertusher/internal/ledger"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// execution is the run of one request, from its admission to its result.
type execution struct {
	companion *Companion
	args      *wire.SubmitArgs
	request   *ledger.Request
	cancel    context.CancelFunc
	// key is the journal entry of the request's key; nil for requests that may be
	// repeated.
	key *journal.KeyEntry
	// holding is what the body of the request holds of the process's memory.
	holding *intake.Holding
	// holdsRunLock is set while the request holds the run lock. exclusive is set if
	// it runs without others because it is suspected of a crash.
	holdsRunLock bool
	exclusive    bool
	dispatchedAt time.Time
	// backendID is the endpoint-side ID of a request that is not streamed. After a
	// pause it differs from the request's own ID, which the endpoint has cancelled.
	backendID usher.RequestID
}

// backendRequestID returns the ID by which the endpoint knows the request.
func (e *execution) backendRequestID() usher.RequestID {
	if e.backendID != "" {
		return e.backendID
	}
	return e.args.Header.ID
}

// complete stores the result of the request under its ID and its key.
func (e *execution) complete(response *usher.Response, refusal *usher.Refusal) {
	e.request.Finish(response, refusal)
	if e.key != nil {
		e.key.Finish(response, refusal)
	}
}

// noMemoryRetryAfter is the Retry-After of requests whose bodies find no memory.
const noMemoryRetryAfter = time.Second

// admit returns a slot, or a refusal, or neither if there is no capacity and the
// entry does not allow the request to wait. With a slot, the request holds memory for
// its body, also while it waits.
func (e *execution) admit(ctx context.Context) (usher.Slot, *usher.Refusal) {
	if memory := e.companion.Memory; memory != nil {
		e.holding = memory.Hold(nil)
		if err := e.holding.Grow(ctx, int64(len(e.args.Call.Body))); err != nil {
			return nil, usher.NewRefusal(usher.RefusalOverloaded, err.Error()).WithRetryAfter(noMemoryRetryAfter)
		}
	}
	slot, refusal := e.awaitSlot(ctx)
	if slot == nil {
		e.holding.Close()
	}
	return slot, refusal
}

// awaitSlot returns what admit does.
func (e *execution) awaitSlot(ctx context.Context) (usher.Slot, *usher.Refusal) {
	c := e.companion
	if slot := c.reservations.claim(e.request.Header.ID, e.args.Grant); slot != nil {
		return slot, nil
	}
	if !e.args.MayWait {
		slot, _ := c.Admission.TryAdmit(&e.request.Header)
		return slot, nil
	}
	admitCtx, stop := c.drain.contextUntilDrain(ctx)
	defer stop()
	slot, err := c.Admission.Admit(admitCtx, &e.request.Header)
	if err != nil && admitCtx.Err() != nil && ctx.Err() == nil {
		// The request was only queued, so another endpoint can still run it.
		c.drain.handBack()
		return nil, usher.NewRefusal(usher.RefusalLeaving, "the endpoint is leaving")
	}
	if err != nil {
		return nil, toRefusal(err, usher.OutcomeNotRun)
	}
	return slot, nil
}

// dispatch sends the request to the endpoint, unless it was withdrawn.
func (e *execution) dispatch(ctx context.Context, slot usher.Slot) wire.SubmitReply {
	c := e.companion
	refusal := e.acquireRunLock(ctx)
	if refusal == nil {
		refusal = e.checkStop()
	}
	if refusal != nil {
		e.release(slot)
		e.complete(nil, refusal)
		return c.refusedReply(refusal)
	}
	if !e.request.Dispatch() {
		e.release(slot)
		if e.key != nil {
			e.key.Finish(nil, usher.NewAttemptRefusal(usher.RefusalCancelled, "the request was withdrawn"))
		}
		return c.awaitResult(e.request)
	}
	c.metrics.dispatched(1)
	e.dispatchedAt = time.Now()
	if e.args.Header.Stream {
		return e.stream(ctx, slot)
	}
	response, slot, elapsed, err := e.callWithPauses(ctx, slot)
	defer e.release(slot)
	if err != nil {
		e.recordIfCrashed(ctx, err)
		e.cancelAtEndpoint()
		refusal := e.failure(ctx, err)
		e.complete(nil, refusal)
		return c.refusedReply(refusal)
	}
	e.clearSuspicion()
	observe(slot, elapsed, response.Usage)
	e.complete(response, nil)
	return wire.SubmitReply{Status: c.status(), State: wire.StateAnswered, Answer: response}
}

// checkStop refuses a request that has become too late for the stop of a process since it
// was admitted, while its key was stored or a suspected request ran alone.
func (e *execution) checkStop() *usher.Refusal {
	limit, stops := e.companion.Admission.StopLimit(&e.request.Header)
	if !stops {
		return nil
	}
	begins := limit.Left > limit.Expected
	e.companion.Log.Info().Str("requestId", string(e.request.Header.ID)).Int64("leftMs", limit.Left.Milliseconds()).
		Int64("expectedMs", limit.Expected.Milliseconds()).Bool("begins", begins).Msg("lateDispatch")
	if begins {
		return nil
	}
	return usher.NewRefusal(usher.RefusalLeaving, "too little time is left before the instance stops").WithRetryAfter(time.Second)
}

// release releases what the request holds. slot is nil if the request gave up its
// slot before it ended.
func (e *execution) release(slot usher.Slot) {
	if slot != nil {
		slot.Release()
	}
	e.releaseRunLock()
	e.holding.Close()
	e.cancel()
	e.companion.drain.done()
}

// observe reports the duration of a complete response and its mean time per token,
// because its tokens have no separate times.
func observe(slot usher.Slot, elapsed time.Duration, usage usher.Usage) {
	slot.ObserveDuration(elapsed)
	if usage.AnswerTokens > 0 {
		slot.ObserveToken(elapsed / time.Duration(usage.AnswerTokens))
		slot.ObserveResponse(usage.AnswerTokens)
	}
}

// failure returns the refusal of a request that was dispatched but not answered.
func (e *execution) failure(ctx context.Context, err error) *usher.Refusal {
	refusal := toRefusal(err, usher.OutcomeUnknown)
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		refusal.Kind = usher.RefusalDeadlineExceeded
		refusal.Message = "the deadline passed while the request ran"
	}
	return refusal
}

// cancelAtEndpoint cancels a failed request at the endpoint, so that the endpoint
// does not compute a response that is not needed.
func (e *execution) cancelAtEndpoint() { e.companion.canceller.cancel(e.backendRequestID()) }
