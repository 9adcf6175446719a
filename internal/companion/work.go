package companion

import (
	"context"
	"errors"
	"time"

	"filbertusher/internal/journal"
	"filbertusher/internal/ledger"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// cancelTimeout bounds the call that cancels work in the endpoint.
	cancelTimeout = 2 * time.Second
)

// work is one request on its way through the companion.
type work struct {
	companion *Companion
	args      *wire.SubmitArgs
	entry     *ledger.Entry
	cancel    context.CancelFunc
	// key is the entry of the request's key; nil for requests that may repeat.
	key *journal.Entry
	// entered is set while the request is in the endpoint, alone when it is
	// there by itself because it is suspected of a crash.
	entered bool
	alone   bool
	// engineID is the id in the endpoint of a request that was paused; the
	// endpoint has cancelled the request's own id then.
	engineID usher.RequestID
}

// idInEndpoint is the id under which the endpoint knows the request.
func (w *work) idInEndpoint() usher.RequestID {
	if w.engineID != "" {
		return w.engineID
	}
	return w.args.Header.ID
}

// end keeps what came of the request under its id and under its key.
func (w *work) end(answer *usher.Answer, refusal *usher.Refusal) {
	w.entry.Finish(answer, refusal)
	if w.key != nil {
		w.key.Finish(answer, refusal)
	}
}

// admit returns a slot, or a refusal, or neither when there is no room and the
// caller does not want to wait.
func (w *work) admit(ctx context.Context) (usher.Slot, *usher.Refusal) {
	c := w.companion
	if slot := c.reservations.take(w.entry.Header.ID, w.args.Grant); slot != nil {
		return slot, nil
	}
	if !w.args.MayWait {
		slot, _ := c.Admission.TryAdmit(&w.entry.Header)
		return slot, nil
	}
	waiting, stop := c.drain.untilLeaving(ctx)
	defer stop()
	slot, err := c.Admission.Admit(waiting, &w.entry.Header)
	if err != nil && waiting.Err() != nil && ctx.Err() == nil {
		// The request only waited, so another endpoint can still run it.
		return nil, usher.NewRefusal(usher.RefusalLeaving, "the endpoint is leaving")
	}
	if err != nil {
		return nil, asRefusal(err, usher.OutcomeNotRun)
	}
	return slot, nil
}

// dispatch sends the request to the endpoint, unless it was withdrawn.
func (w *work) dispatch(ctx context.Context, slot usher.Slot) wire.SubmitReply {
	c := w.companion
	if refusal := w.enter(ctx); refusal != nil {
		w.finished(slot)
		w.end(nil, refusal)
		return c.refused(refusal)
	}
	if !w.entry.Dispatch() {
		w.finished(slot)
		if w.key != nil {
			w.key.Finish(nil, usher.NewAttemptRefusal(usher.RefusalCancelled, "the request was withdrawn"))
		}
		return c.outcome(w.entry)
	}
	c.metrics.dispatched(1)
	if w.args.Header.Stream {
		return w.stream(ctx, slot)
	}
	answer, slot, elapsed, err := w.call(ctx, slot)
	defer w.finished(slot)
	if err != nil {
		w.noteCrash(ctx, err)
		w.cancelInEndpoint()
		refusal := w.failure(ctx, err)
		w.end(nil, refusal)
		return c.refused(refusal)
	}
	w.survived()
	observe(slot, elapsed, answer.Usage)
	w.end(answer, nil)
	return wire.SubmitReply{Status: c.status(), State: wire.StateAnswered, Answer: answer}
}

// finished gives back what the request held. slot is nil when the request lost
// its place before it ended.
func (w *work) finished(slot usher.Slot) {
	if slot != nil {
		slot.Release()
	}
	w.leave()
	w.cancel()
	w.companion.drain.end()
}

// observe reports the pace of a whole answer, whose tokens can't be told apart.
func observe(slot usher.Slot, elapsed time.Duration, usage usher.Usage) {
	if usage.AnswerTokens > 0 {
		slot.Token(elapsed / time.Duration(usage.AnswerTokens))
		slot.Answered(usage.AnswerTokens)
	}
}

// failure is the refusal for a request that was dispatched and not answered.
func (w *work) failure(ctx context.Context, err error) *usher.Refusal {
	refusal := asRefusal(err, usher.OutcomeUnknown)
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		refusal.Kind = usher.RefusalDeadline
		refusal.Message = "the deadline passed while the request ran"
	}
	return refusal
}

// cancelInEndpoint ends the work of a request that has failed, so that the
// endpoint does not compute an answer that nobody waits for.
func (w *work) cancelInEndpoint() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := w.companion.Backend.Cancel(ctx, w.idInEndpoint()); err != nil {
		w.companion.Log.Debug().Err(err).Str("requestId", string(w.args.Header.ID)).Msg("cancelFailed")
	}
}
