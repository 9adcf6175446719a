package companion

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"hash"
	"io"
	"time"

	"filbertusher/internal/ledger"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// resumeAttempts is how often a broken stream is resumed without progress.
	resumeAttempts = 3
	// resumeDelay is the pause before a broken stream is resumed.
	resumeDelay = 50 * time.Millisecond
	// cancelTimeout bounds the call that cancels work in the endpoint.
	cancelTimeout = 2 * time.Second
)

// work is one request on its way through the companion.
type work struct {
	companion *Companion
	args      *wire.SubmitArgs
	entry     *ledger.Entry
	cancel    context.CancelFunc
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
	slot, err := c.Admission.Admit(ctx, &w.entry.Header)
	if err != nil {
		return nil, asRefusal(err, usher.OutcomeNotRun)
	}
	return slot, nil
}

// dispatch sends the request to the endpoint, unless it was withdrawn.
func (w *work) dispatch(ctx context.Context, slot usher.Slot) wire.SubmitReply {
	c := w.companion
	if !w.entry.Dispatch() {
		w.finished(slot)
		return c.outcome(w.entry)
	}
	c.metrics.dispatched(1)
	if w.args.Header.Stream {
		return w.stream(ctx, slot)
	}
	defer w.finished(slot)
	started := time.Now()
	answer, err := c.Backend.Call(ctx, w.args.Header.ID, c.options.Fence, &w.args.Call)
	if err != nil {
		w.cancelInEndpoint(ctx)
		refusal := w.failure(ctx, err)
		w.entry.Finish(nil, refusal)
		return c.refused(refusal)
	}
	observe(slot, time.Since(started), answer.Usage)
	w.entry.Finish(answer, nil)
	return wire.SubmitReply{Status: c.status(), State: wire.StateAnswered, Answer: answer}
}

func (w *work) finished(slot usher.Slot) {
	slot.Release()
	w.cancel()
	w.companion.drain.end()
}

// observe reports the pace of a whole answer, whose tokens can't be told apart.
func observe(slot usher.Slot, elapsed time.Duration, usage usher.Usage) {
	if usage.AnswerTokens > 0 {
		slot.Token(elapsed / time.Duration(usage.AnswerTokens))
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

// cancelInEndpoint ends the work of a request whose context ended, so that the
// endpoint does not compute an answer that nobody waits for.
func (w *work) cancelInEndpoint(ctx context.Context) {
	if ctx.Err() == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if err := w.companion.Backend.Cancel(ctx, w.args.Header.ID); err != nil {
		w.companion.Log.Debug().Err(err).Str("requestId", string(w.args.Header.ID)).Msg("cancelFailed")
	}
}

// stream starts a streamed answer. It returns once the endpoint took the
// request; the events go to the entry's outlet.
func (w *work) stream(ctx context.Context, slot usher.Slot) wire.SubmitReply {
	c := w.companion
	started := time.Now()
	stream, answer, err := c.Backend.Stream(ctx, w.args.Header.ID, c.options.Fence, &w.args.Call)
	if err != nil {
		defer w.finished(slot)
		w.cancelInEndpoint(ctx)
		refusal := w.failure(ctx, err)
		w.entry.Finish(nil, refusal)
		return c.refused(refusal)
	}
	if stream == nil {
		defer w.finished(slot)
		w.entry.Finish(answer, nil)
		return wire.SubmitReply{Status: c.status(), State: wire.StateAnswered, Answer: answer}
	}
	w.entry.BeginStream()
	go w.pump(ctx, slot, stream, started)
	return wire.SubmitReply{Status: c.status(), State: wire.StateStreaming}
}

// pump carries the events of a stream to the outlet until it ends. A stream
// that breaks is resumed after the last event that was delivered.
func (w *work) pump(ctx context.Context, slot usher.Slot, stream usher.EventStream, started time.Time) {
	defer w.finished(slot)
	reader := &streamReader{
		outlet: w.companion.outlets.of(w.args.Incarnation), number: w.args.Stream,
		digest: sha256.New(), slot: slot, last: started, prompt: w.args.Header.Cost.PromptTokens,
		count: w.companion.metrics.events,
	}
	// A read does not notice the end of the context by itself.
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	err := reader.copy(stream)
	stop()
	for attempt := 0; err != nil && ctx.Err() == nil && attempt < resumeAttempts; attempt++ {
		before := reader.next
		err = w.resume(ctx, reader)
		if reader.next > before {
			attempt = 0
		}
	}
	w.endStream(ctx, reader, err)
}

func (w *work) resume(ctx context.Context, reader *streamReader) error {
	sleep(ctx, resumeDelay)
	stream, err := w.companion.Backend.Resume(ctx, w.args.Header.ID, reader.next)
	if err != nil {
		return err
	}
	w.companion.metrics.resumed(1)
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	return reader.copy(stream)
}

// endStream tells the entry whether it has the whole answer.
func (w *work) endStream(ctx context.Context, reader *streamReader, err error) {
	if err != nil {
		w.cancelInEndpoint(ctx)
		refusal := w.failure(ctx, err)
		w.entry.Finish(nil, refusal)
		reader.outlet.add(wire.Event{Stream: reader.number, Offset: reader.next, End: wire.EndBroken, Refusal: refusal})
		return
	}
	w.entry.Finish(&usher.Answer{}, nil)
	reader.outlet.add(wire.Event{
		Stream: reader.number, Offset: reader.next, End: wire.EndWhole,
		Digest: usher.Digest(hex.EncodeToString(reader.digest.Sum(nil))),
	})
}

// streamReader copies the events of a stream, each offset once and in order.
type streamReader struct {
	outlet *outlet
	number uint64
	next   uint64
	digest hash.Hash
	slot   usher.Slot
	last   time.Time
	prompt usher.Tokens
	count  func(int64)
}

// GapError is returned when a stream skips an event.
type GapError struct{ Expected, Got uint64 }

// Error implements error.
func (e *GapError) Error() string { return "the stream skipped an event" }

// copy returns nil after the end of a whole answer.
func (r *streamReader) copy(stream usher.EventStream) error {
	defer stream.Close()
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if event.Offset < r.next {
			continue
		}
		if event.Offset > r.next {
			return &GapError{Expected: r.next, Got: event.Offset}
		}
		r.take(event)
	}
}

func (r *streamReader) take(event usher.StreamEvent) {
	now := time.Now()
	if r.next == 0 {
		r.slot.FirstToken(now.Sub(r.last), r.prompt)
	} else {
		r.slot.Token(now.Sub(r.last))
	}
	r.last = now
	r.next++
	r.digest.Write(event.Data)
	r.count(1)
	r.outlet.add(wire.Event{Stream: r.number, Offset: event.Offset, Data: event.Data})
}

func sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
