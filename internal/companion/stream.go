package companion

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"hash"
	"io"
	"time"

	"filbertusher/internal/pause"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

const (
	// resumeAttempts is how often a broken stream is resumed without progress.
	resumeAttempts = 3
	// resumeDelay is the pause before a broken stream is resumed.
	resumeDelay = 50 * time.Millisecond
)

// stream starts a streamed answer. It returns once the endpoint took the
// request; the events go to the entry's outlet.
func (w *work) stream(ctx context.Context, slot usher.Slot) wire.SubmitReply {
	c := w.companion
	started := time.Now()
	stream, answer, err := w.openStream(ctx)
	if err != nil {
		defer w.finished(slot)
		w.noteCrash(ctx, err)
		w.cancelInEndpoint()
		refusal := w.failure(ctx, err)
		w.end(nil, refusal)
		return c.refused(refusal)
	}
	if stream == nil {
		defer w.finished(slot)
		w.end(answer, nil)
		return wire.SubmitReply{Status: c.status(), State: wire.StateAnswered, Answer: answer}
	}
	w.entry.BeginStream()
	go w.pump(ctx, slot, stream, started)
	return wire.SubmitReply{Status: c.status(), State: wire.StateStreaming}
}

// openStream sends the request. When the connection broke before the answer
// began, the endpoint may have the request all the same: it is asked for the
// events instead of being sent the request a second time.
func (w *work) openStream(ctx context.Context) (usher.EventStream, *usher.Answer, error) {
	c := w.companion
	stream, answer, err := c.Backend.Stream(ctx, w.args.Header.ID, c.Fence(), &w.args.Call)
	var broken *usher.BackendError
	if !errors.As(err, &broken) || !broken.Reached {
		return stream, answer, err
	}
	for attempt := 0; attempt < resumeAttempts && ctx.Err() == nil; attempt++ {
		pause.For(ctx, resumeDelay)
		resumed, errResume := c.Backend.Resume(ctx, w.args.Header.ID, 0)
		if errResume == nil {
			c.metrics.resumed(1)
			return resumed, nil, nil
		}
	}
	return nil, nil, err
}

// pump carries the events of a stream to the outlet until it ends. A stream
// that breaks is resumed after the last event that was delivered.
func (w *work) pump(ctx context.Context, slot usher.Slot, stream usher.EventStream, started time.Time) {
	defer w.finished(slot)
	reader := &streamReader{
		outlet: w.companion.outlets.of(w.args.Incarnation), number: w.args.Stream,
		digest: sha256.New(), slot: slot, last: started, prompt: w.args.Header.Cost.PromptTokens,
	}
	err := reader.copy(ctx, stream)
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
	pause.For(ctx, resumeDelay)
	stream, err := w.companion.Backend.Resume(ctx, w.args.Header.ID, reader.next)
	if err != nil {
		return err
	}
	w.companion.metrics.resumed(1)
	return reader.copy(ctx, stream)
}

// endStream tells the entry whether it has the whole answer.
func (w *work) endStream(ctx context.Context, reader *streamReader, err error) {
	if err != nil {
		w.noteCrash(ctx, err)
		refusal := w.failure(ctx, err)
		w.end(nil, refusal)
		event := wire.Event{Stream: reader.number, Offset: reader.next, End: wire.EndBroken, Refusal: refusal}
		w.companion.holdEnd(w.args, &event, reader.size)
		reader.finish(event)
		w.cancelInEndpoint()
		return
	}
	w.survived()
	reader.slot.Answered(usher.Tokens(reader.next))
	w.entry.Finish(&usher.Answer{}, nil)
	if w.key != nil {
		w.key.Finish(nil, streamGone())
	}
	event := wire.Event{
		Stream: reader.number, Offset: reader.next, End: wire.EndWhole,
		Digest: usher.Digest(hex.EncodeToString(reader.digest.Sum(nil))),
	}
	w.companion.holdEnd(w.args, &event, reader.size)
	reader.finish(event)
}

// streamReader copies the events of a stream, each offset once and in order.
type streamReader struct {
	outlet *outlet
	number uint64
	next   uint64
	size   int64
	digest hash.Hash
	slot   usher.Slot
	last   time.Time
	prompt usher.Tokens
}

// GapError is returned when a stream skips an event.
type GapError struct{ Expected, Got uint64 }

// Error implements error.
func (e *GapError) Error() string { return "the stream skipped an event" }

// CallerGoneError is returned when nobody waits for the stream any more.
type CallerGoneError struct{}

// Error implements error.
func (*CallerGoneError) Error() string { return "the entry that asked is gone" }

// finish hands the last event over. It is not held back by a full outlet whose
// entry is alive, and it has to arrive after the end of the request's context.
func (r *streamReader) finish(event wire.Event) { r.outlet.add(r.outlet.ctx, event) }

// copy returns nil after the end of a whole answer.
func (r *streamReader) copy(ctx context.Context, stream usher.EventStream) error {
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
		if !r.take(ctx, event) {
			return &CallerGoneError{}
		}
	}
}

func (r *streamReader) take(ctx context.Context, event usher.StreamEvent) bool {
	now := time.Now()
	if r.next == 0 {
		r.slot.FirstToken(now.Sub(r.last), r.prompt)
	} else {
		r.slot.Token(now.Sub(r.last))
	}
	r.last = now
	r.next++
	r.digest.Write(event.Data)
	r.size += int64(len(event.Data))
	return r.outlet.add(ctx, wire.Event{Stream: r.number, Offset: event.Offset, Data: event.Data})
}
