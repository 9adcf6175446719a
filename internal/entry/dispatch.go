package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"filbertusher/internal/peerrpc"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// result is the result of a request: exactly one of a complete response, a
// stream or a refusal, or none if the request may be offered elsewhere.
type result struct {
	response *usher.Response
	stream   *incomingStream
	refusal  *usher.Refusal
}

func refusalResult(refusal *usher.Refusal) result { return result{refusal: refusal} }

// handle dispatches an accepted request and writes its result.
func (e *Entry) handle(w http.ResponseWriter, r *http.Request, req *request) {
	e.metrics.requests(1)
	defer e.inFlight.add(req)()
	if e.isTooLate(req.Deadline) {
		e.respond(w, req, nil, usher.NewRefusal(usher.RefusalLeaving, "the instance is stopping"))
		return
	}
	if err := e.Recorder.CheckCapacity(req.Rank); err != nil {
		e.respond(w, req, nil, asRefusal(err))
		return
	}
	limits, _ := req.snapshot.Limits(req.Tier)
	permit, refusal := e.limiter.Acquire(&req.RequestHeader, limits, e.Placer.Entries(req.Service))
	if refusal != nil {
		e.respond(w, req, nil, refusal)
		return
	}
	defer permit.Release()
	e.stop.countArrival()
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	res := e.dispatch(ctx, req)
	if res.stream != nil {
		e.deliverStream(ctx, w, req, res.stream)
		return
	}
	e.respond(w, req, res.response, res.refusal)
}

// dispatch sends the request to an endpoint. A non-idempotent request with a
// key goes to the companion that holds the key's slot, any other to the endpoint
// with the earliest expected finish.
func (e *Entry) dispatch(ctx context.Context, req *request) result {
	if req.Key != "" && !req.Idempotent {
		return e.dispatchKeyed(ctx, req)
	}
	return e.dispatchAny(ctx, req)
}

// offer sends the request to one endpoint. final is false if the request may be
// offered again elsewhere, because it did not run or may safely be repeated.
func (e *Entry) offer(ctx context.Context, req *request, endpoint usher.EndpointName, mayWait bool, grant uint64) (res result, final bool) {
	peer := e.peers.get(endpoint)
	if peer == nil {
		return result{}, false
	}
	if refusal := e.checkCrashLimit(ctx, req); refusal != nil {
		return refusalResult(refusal), true
	}
	req.Attempt++
	req.endpoint = endpoint
	e.Placer.Assigned(endpoint, &req.RequestHeader)
	defer func() {
		e.Placer.Released(endpoint, &req.RequestHeader, res.response != nil || res.stream != nil)
	}()
	stream := peer.openStream(req)
	args := &wire.SubmitArgs{
		Caller: e.caller(), Header: req.RequestHeader, Remaining: time.Until(req.Deadline),
		Call: req.call, MayWait: mayWait, Grant: grant, Stream: stream.number,
		Record: req.recordContext(),
	}
	reply := &wire.SubmitReply{}
	req.noteOffer(endpoint)
	err := peer.submit(ctx, stream, args, reply)
	if err == nil {
		req.reply = reply
		e.Config.ReportPeerVersion(peer.link.Address(), reply.ConfigVersion)
		res, final = e.interpretReply(reply, stream)
	} else {
		res, final = e.resolveOutcome(ctx, req, peer, stream, err)
	}
	if res.stream == nil {
		stream.close()
	}
	return res, final
}

// interpretReply converts a reply into a result. A refusal is not final if the
// request did not run and another endpoint may still take it.
func (e *Entry) interpretReply(reply *wire.SubmitReply, stream *incomingStream) (result, bool) {
	e.Placer.Observe(reply.Load)
	e.Suspects.Merge(reply.Suspects)
	e.Blame.Merge(reply.Blame)
	switch reply.State {
	case wire.StateAnswered:
		return result{response: reply.Answer}, true
	case wire.StateStreaming:
		return result{stream: stream}, true
	case wire.StateRefused:
		return refusalResult(reply.Refusal), !retryableElsewhere(reply.Refusal)
	default:
		return result{}, false
	}
}

func retryableElsewhere(refusal *usher.Refusal) bool {
	if refusal.Outcome != usher.OutcomeNotRun {
		return false
	}
	switch refusal.Kind {
	case usher.RefusalLeaving, usher.RefusalOverloaded, usher.RefusalDeadlineExceeded, usher.RefusalEndpointFailed, usher.RefusalRecordFull:
		return true
	default:
		return false
	}
}

func (e *Entry) caller() wire.Caller {
	return wire.Caller{Incarnation: e.options.Incarnation, ConfigVersion: e.Config.Current().Version, Peer: e.options.Peer, StopsIn: e.stop.timeLeft()}
}

func asRefusal(err error) *usher.Refusal {
	var refusal *usher.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	var unreachable *peerrpc.UnreachableError
	if errors.As(err, &unreachable) {
		return usher.NewRefusal(usher.RefusalEndpointFailed, err.Error())
	}
	return usher.NewUnknownOutcome(usher.RefusalEndpointFailed, err.Error())
}
