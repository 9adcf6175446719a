package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"filbertusher/internal/link"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// result is how a request ended: with an answer, a stream, or a refusal.
type result struct {
	answer  *usher.Answer
	stream  *incoming
	refusal *usher.Refusal
}

func refused(refusal *usher.Refusal) result { return result{refusal: refusal} }

// handle runs an accepted request and delivers what came of it.
func (e *Entry) handle(w http.ResponseWriter, r *http.Request, accepted *request) {
	e.metrics.requests(1)
	defer e.inflight.enter(accepted)()
	if err := e.Recorder.Accept(accepted.Rank); err != nil {
		e.end(w, accepted, nil, asRefusal(err))
		return
	}
	limits, _ := accepted.snapshot.Limits(accepted.Tier)
	permit, refusal := e.limits.Acquire(&accepted.RequestHeader, limits, e.Placer.Entries(accepted.Service))
	if refusal != nil {
		e.end(w, accepted, nil, refusal)
		return
	}
	defer permit.Release()
	ctx, cancel := context.WithDeadline(r.Context(), accepted.Deadline)
	defer cancel()
	got := e.dispatch(ctx, accepted)
	if got.stream != nil {
		e.deliverStream(ctx, w, accepted, got.stream)
		return
	}
	e.end(w, accepted, got.answer, got.refusal)
}

// dispatch finds the request an endpoint. Requests that may run only once go
// where their key is remembered, all others wherever they finish first.
func (e *Entry) dispatch(ctx context.Context, accepted *request) result {
	if accepted.Key != "" && !accepted.Idempotent {
		return e.dispatchKeyed(ctx, accepted)
	}
	return e.dispatchAny(ctx, accepted)
}

// offer sends the request to one endpoint. final is false when it certainly
// did not run there and may be offered elsewhere.
func (e *Entry) offer(ctx context.Context, accepted *request, endpoint usher.EndpointName, mayWait bool, grant uint64) (got result, final bool) {
	peer := e.peers.of(endpoint)
	if peer == nil {
		return result{}, false
	}
	if refusal := e.suspected(accepted); refusal != nil {
		return refused(refusal), true
	}
	accepted.Attempt++
	accepted.endpoint = endpoint
	e.Placer.Assigned(endpoint, &accepted.RequestHeader)
	defer func() {
		e.Placer.Released(endpoint, &accepted.RequestHeader, got.answer != nil || got.stream != nil)
	}()
	stream := peer.open(accepted)
	args := &wire.SubmitArgs{
		Caller: e.caller(), Header: accepted.RequestHeader, Remaining: time.Until(accepted.Deadline),
		Call: accepted.call, MayWait: mayWait, Grant: grant, Stream: stream.number,
		Record: accepted.recordContext(),
	}
	reply := &wire.SubmitReply{}
	accepted.offeredTo(endpoint)
	err := peer.submit(ctx, stream, args, reply)
	if err == nil {
		accepted.reply = reply
		e.Config.Hear(peer.link.Address(), reply.ConfigVersion)
		got, final = e.judge(reply, stream)
	} else {
		got, final = e.settle(ctx, accepted, peer, stream, err)
	}
	if got.stream == nil {
		stream.close()
	}
	return got, final
}

// judge turns a reply into a result. A refusal of a request that did not run
// is not final where another endpoint may still take it.
func (e *Entry) judge(reply *wire.SubmitReply, stream *incoming) (result, bool) {
	e.Placer.Observe(reply.Load)
	e.Suspects.Merge(reply.Suspects)
	switch reply.State {
	case wire.StateAnswered:
		return result{answer: reply.Answer}, true
	case wire.StateStreaming:
		return result{stream: stream}, true
	case wire.StateRefused:
		return refused(reply.Refusal), !mayTryElsewhere(reply.Refusal)
	default:
		return result{}, false
	}
}

func mayTryElsewhere(refusal *usher.Refusal) bool {
	if refusal.Outcome != usher.OutcomeNotRun {
		return false
	}
	switch refusal.Kind {
	case usher.RefusalLeaving, usher.RefusalOverloaded, usher.RefusalDeadline, usher.RefusalEndpointFailed, usher.RefusalRecordFull:
		return true
	default:
		return false
	}
}

func (e *Entry) caller() wire.Caller {
	return wire.Caller{Incarnation: e.options.Incarnation, ConfigVersion: e.Config.Current().Version, Peer: e.options.Peer}
}

func asRefusal(err error) *usher.Refusal {
	var refusal *usher.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var unreachable *link.UnreachableError
	if errors.As(err, &unreachable) {
		return usher.NewRefusal(usher.RefusalEndpointFailed, err.Error())
	}
	return usher.NewUnknown(usher.RefusalEndpointFailed, err.Error())
}
