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
	// resumeAttempts is the maximum number of consecutive attempts to resume a broken
	// stream that make no progress.
	resumeAttempts = 3
	// resumeDelay is the delay before a broken stream is resumed.
	resumeDelay = 50 * time.Millisecond
)

// stream starts a streamed response. It returns once the endpoint has accepted the
// request; the events go to the entry's event queue.
func (e *execution) stream(ctx context.Context, slot usher.Slot) wire.SubmitReply {
	c := e.companion
	started := time.Now()
	stream, response, err := e.openStream(ctx)
	if err != nil {
		defer e.release(slot)
		e.recordIfCrashed(ctx, err)
		e.cancelAtEndpoint()
		refusal := e.failure(ctx, err)
		e.complete(nil, refusal)
		return c.refusedReply(refusal)
	}
	if stream == nil {
		defer e.release(slot)
		e.complete(response, nil)
		return wire.SubmitReply{Status: c.status(), State: wire.StateAnswered, Answer: response}
	}
	e.request.MarkStreamStarted()
	go e.relayStream(ctx, slot, stream, started)
	return wire.SubmitReply{Status: c.status(), State: wire.StateStreaming}
}

// openStream sends the request. If the connection broke before the response began,
// the endpoint may still have received the request, so openStream asks for its
// events instead of sending the request a second time.
func (e *execution) openStream(ctx context.Context) (usher.EventStream, *usher.Response, error) {
	c := e.companion
	stream, response, err := c.Backend.Stream(ctx, e.args.Header.ID, c.Fence(), &e.args.Call)
	var broken *usher.BackendError
	if !errors.As(err, &broken) || !broken.Reached {
		return stream, response, err
	}
	for attempt := 0; attempt < resumeAttempts && ctx.Err() == nil; attempt++ {
		pause.For(ctx, resumeDelay)
		resumed, errResume := c.Backend.Resume(ctx, e.args.Header.ID, 0)
		if errResume == nil {
			c.metrics.resumed(1)
			return resumed, nil, nil
		}
	}
	return nil, nil, err
}

// relayStream copies the events of a stream to the event queue until the stream
// ends. A broken stream is resumed after the last event that was delivered.
func (e *execution) relayStream(ctx context.Context, slot usher.Slot, stream usher.EventStream, started time.Time) {
	defer e.release(slot)
	reader := &streamReader{
		queue: e.companion.queues.forEntry(e.args.Incarnation), streamID: e.args.Stream,
		digest: sha256.New(), slot: slot, lastEventAt: started, promptTokens: e.args.Header.Cost.PromptTokens,
	}
	err := reader.copy(ctx, stream)
	for failures := 0; err != nil && ctx.Err() == nil && failures < resumeAttempts; {
		before := reader.nextOffset
		err = e.resume(ctx, reader, err)
		failures++
		if reader.nextOffset > before {
			failures = 0
		}
	}
	e.endStream(ctx, reader, err)
}

// resume continues a stream that broke with an error. If the endpoint can't resume it,
// that error remains, because it says that the request has reached the endpoint.
func (e *execution) resume(ctx context.Context, reader *streamReader, broken error) error {
	pause.For(ctx, resumeDelay)
	stream, err := e.companion.Backend.Resume(ctx, e.args.Header.ID, reader.nextOffset)
	if err != nil {
		e.companion.Log.Debug().Err(err).Str("requestId", string(e.args.Header.ID)).Msg("streamNotResumed")
		return broken
	}
	e.companion.metrics.resumed(1)
	return reader.copy(ctx, stream)
}

// endStream tells the entry whether it has received the complete response.
func (e *execution) endStream(ctx context.Context, reader *streamReader, err error) {
	if err != nil {
		e.recordIfCrashed(ctx, err)
		refusal := e.failure(ctx, err)
		e.complete(nil, refusal)
		event := wire.Event{Stream: reader.streamID, Offset: reader.nextOffset, End: wire.EndIncomplete, Refusal: refusal}
		e.companion.holdStreamEnd(e.args, &event, reader.totalBytes)
		reader.sendEnd(event)
		e.cancelAtEndpoint()
		return
	}
	e.clearSuspicion()
	reader.slot.ObserveResponse(usher.Tokens(reader.nextOffset))
	e.request.Finish(&usher.Response{}, nil)
	if e.key != nil {
		e.key.Finish(nil, streamNotKept())
	}
	event := wire.Event{
		Stream: reader.streamID, Offset: reader.nextOffset, End: wire.EndComplete,
		Digest: usher.Digest(hex.EncodeToString(reader.digest.Sum(nil))),
	}
	e.companion.holdStreamEnd(e.args, &event, reader.totalBytes)
	reader.sendEnd(event)
}

// streamReader copies the events of a stream, each offset once and in order.
type streamReader struct {
	queue        *eventQueue
	streamID     uint64
	nextOffset   uint64
	totalBytes   int64
	digest       hash.Hash
	slot         usher.Slot
	lastEventAt  time.Time
	promptTokens usher.Tokens
}

// GapError is returned if a stream skips an event.
type GapError struct{ Expected, Got uint64 }

// Error implements error.
func (e *GapError) Error() string { return "the stream skipped an event" }

// EntryGoneError is returned if the entry that receives the stream is gone.
type EntryGoneError struct{}

// Error implements error.
func (*EntryGoneError) Error() string { return "the entry that asked is gone" }

// sendEnd enqueues the last event. It uses the queue's context because the event
// must be delivered even after the request's context has ended; a full queue
// delays it only until the entry collects or is gone.
func (r *streamReader) sendEnd(event wire.Event) { r.queue.enqueue(r.queue.ctx, event) }

// copy returns nil if the stream ended with a complete response.
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
		if event.Offset < r.nextOffset {
			continue
		}
		if event.Offset > r.nextOffset {
			return &GapError{Expected: r.nextOffset, Got: event.Offset}
		}
		if !r.deliver(ctx, event) {
			return &EntryGoneError{}
		}
	}
}

func (r *streamReader) deliver(ctx context.Context, event usher.StreamEvent) bool {
	now := time.Now()
	if r.nextOffset == 0 {
		r.slot.ObserveFirstToken(now.Sub(r.lastEventAt), r.promptTokens)
	} else {
		r.slot.ObserveToken(now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
	r.nextOffset++
	r.digest.Write(event.Data)
	r.totalBytes += int64(len(event.Data))
	return r.queue.enqueue(ctx, wire.Event{Stream: r.streamID, Offset: event.Offset, Data: event.Data})
}
