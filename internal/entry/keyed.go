package entry

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertusher/internal/journal"
	"filbertusher/internal/pause"
	"filbertusher/internal/peerrpc"
	"filbertusher/internal/ticket"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// A request that may run only once goes to the companion that holds the key slot
// of its idempotency key. The entry may resend it any number of times, also to
// other companions: the holder deduplicates by key, and no other companion runs
// the request.

const (
	// keyedReplyGrace is how long after the deadline the entry waits for the
	// companion's refusal, which is more precise than the entry's own.
	keyedReplyGrace = time.Second
	// keyedRetryDelay is the delay before the endpoints, or the endpoint of a
	// ticket, are tried again.
	keyedRetryDelay = 50 * time.Millisecond
	// ticketRetryTimeout is how long the entry goes on to send a request to the
	// companion of its ticket after failed attempts.
	ticketRetryTimeout = 2 * time.Second
)

// keySlotViews caches the newest known view of each key slot. Its size is
// bounded by the number of slots.
type keySlotViews struct {
	mu     sync.RWMutex
	bySlot map[keySlotID]wire.KeySlotView
}

// keySlotID identifies a key slot: each service has its own numbering.
type keySlotID struct {
	service usher.ServiceName
	number  journal.SlotNumber
}

func newKeySlotViews() *keySlotViews {
	return &keySlotViews{bySlot: make(map[keySlotID]wire.KeySlotView)}
}

func (v *keySlotViews) get(slot keySlotID) wire.KeySlotView {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.bySlot[slot]
}

// update stores a view unless a newer one is known, because replies may arrive
// out of order.
func (v *keySlotViews) update(slot keySlotID, view wire.KeySlotView) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.bySlot[slot]
	if view.Fence < known.Fence || view.Fence == known.Fence && view.Epoch < known.Epoch {
		return
	}
	v.bySlot[slot] = view
}

// holderSearch searches for the companion that holds the slot of one request's
// key. hint is the endpoint last named as the holder, ranked the order in which
// endpoints are tried without a hint, and next the index in it.
type holderSearch struct {
	entry  *Entry
	req    *request
	slot   keySlotID
	ranked []usher.EndpointName
	next   int
	hint   usher.EndpointName
	// messageLost is set if a message was sent and got no reply.
	messageLost bool
}

// dispatchKeyed offers a request that may run only once until its outcome is
// known or its deadline has passed. It continues after the caller disconnects,
// because the caller can get the outcome by sending the key again.
func (e *Entry) dispatchKeyed(ctx context.Context, req *request) result {
	if refusal := e.checkCrashLimit(ctx, req); refusal != nil {
		return refusalResult(refusal)
	}
	req.refusalsCoverKey = true
	ctx, cancel := e.stop.detach(ctx, req.Deadline)
	defer cancel()
	if ticket.Is(req.Key) {
		return e.dispatchTicket(ctx, req)
	}
	search := e.newHolderSearch(req)
	for ctx.Err() == nil {
		endpoint, ok := search.nextEndpoint()
		if !ok {
			pause.For(ctx, keyedRetryDelay)
			continue
		}
		if res, final := search.try(ctx, endpoint); final {
			return res
		}
	}
	return refusalResult(search.timeoutRefusal(contextRefusalKind(ctx), "the holder of the key has not answered"))
}

func (e *Entry) newHolderSearch(req *request) *holderSearch {
	number := journal.HashKey(req.Workspace, req.Key).Slot()
	search := &holderSearch{entry: e, req: req, slot: keySlotID{service: req.Service, number: number}}
	search.rankEndpoints()
	search.hint = e.keySlotViews.get(search.slot).Holder
	return search
}

// rankEndpoints orders the endpoints of the service by rendezvous hashing of slot and
// endpoint name, so that adding or removing an endpoint moves few slots. It
// skips draining endpoints. These may still hold slots; other companions
// redirect to them.
func (s *holderSearch) rankEndpoints() {
	s.ranked, s.next = s.ranked[:0], 0
	scores := make(map[usher.EndpointName]uint64)
	for _, endpoint := range s.entry.Config.Current().EndpointsByService[s.slot.service] {
		if endpoint.Leaving {
			continue
		}
		scores[endpoint.Name] = xxhash.Sum64String(string(endpoint.Name) + "\x00" + string(s.slot.service) + "\x00" + string(rune('a'+s.slot.number)))
		s.ranked = append(s.ranked, endpoint.Name)
	}
	sort.Slice(s.ranked, func(i, j int) bool { return scores[s.ranked[i]] > scores[s.ranked[j]] })
}

// nextEndpoint returns the endpoint to try next: the hinted holder, then all
// endpoints in ranked order. It returns false at the end of a round.
func (s *holderSearch) nextEndpoint() (usher.EndpointName, bool) {
	if s.hint != "" {
		hint := s.hint
		s.hint = ""
		return hint, true
	}
	if s.next >= len(s.ranked) {
		s.rankEndpoints()
		return "", false
	}
	s.next++
	return s.ranked[s.next-1], true
}

// try sends the request to one endpoint. The second result is false if the
// request has to be sent again, to the same or another endpoint.
func (s *holderSearch) try(ctx context.Context, endpoint usher.EndpointName) (result, bool) {
	peer := s.entry.peers.get(endpoint)
	if peer == nil {
		return result{}, false
	}
	reply, stream, err := s.entry.submitKeyed(ctx, s.req, peer, s.entry.keySlotViews.get(s.slot))
	var unreachable *peerrpc.UnreachableError
	switch {
	case errors.As(err, &unreachable):
		return result{}, false
	case err != nil:
		s.messageLost = true
		return result{}, false
	case reply.State == wire.StateWrongHolder:
		s.redirect(endpoint, reply.Slot)
		return result{}, false
	}
	if reply.Slot.Fence > 0 {
		s.entry.keySlotViews.update(s.slot, reply.Slot)
	}
	res, _ := s.entry.interpretReply(reply, stream)
	return clearAttemptIfLost(res, s.messageLost), true
}

// clearAttemptIfLost removes the outcome of this attempt from a refusal if an
// earlier message of the attempt got no reply, because that message may have run
// the request. The outcome for the key stays: the holder's statement about the
// key covers every message sent before.
func clearAttemptIfLost(res result, messageLost bool) result {
	if !messageLost || res.refusal == nil || res.refusal.Attempt == "" {
		return res
	}
	changed := *res.refusal
	changed.Attempt = ""
	return refusalResult(&changed)
}

// redirect handles a reply from a companion that does not hold the slot, or
// that holds it but needs the request resent with a newer view.
func (s *holderSearch) redirect(sender usher.EndpointName, view wire.KeySlotView) {
	// A view without a fencing token only names the supposed holder, if any.
	if view.Fence > 0 {
		s.entry.keySlotViews.update(s.slot, view)
	}
	if view.Holder != sender || view.Fence > 0 {
		s.hint = view.Holder
	}
}

// timeoutRefusal returns the refusal of a request that no companion answered before
// its deadline or the end of a stop. The outcome is unknown if a message was lost.
func (s *holderSearch) timeoutRefusal(kind usher.RefusalKind, message string) *usher.Refusal {
	if s.messageLost {
		return usher.NewUnknownOutcome(kind, message)
	}
	return usher.NewAttemptRefusal(kind, message)
}

// submitKeyed sends a request that may run only once to one companion. If the
// companion stops responding, the peer's collect loop resets the connection,
// which ends the call. The message may then be resent elsewhere.
func (e *Entry) submitKeyed(ctx context.Context, req *request, peer *peer, view wire.KeySlotView) (*wire.SubmitReply, *incomingStream, error) {
	req.Attempt++
	req.endpoint = peer.endpoint
	callCtx, cancel := e.stop.detach(ctx, req.Deadline.Add(keyedReplyGrace))
	defer cancel()
	stream := peer.openStream(req)
	args := &wire.SubmitArgs{
		Caller: e.caller(), Header: req.RequestHeader, Remaining: time.Until(req.Deadline),
		Call: req.call, MayWait: true, Stream: stream.number, Slot: view,
		Record: req.recordContext(),
	}
	reply := &wire.SubmitReply{}
	req.noteOffer(peer.endpoint)
	err := peer.submitWith(callCtx, false, stream, args, reply)
	if err == nil {
		req.reply = reply
	}
	if err != nil || reply.State != wire.StateStreaming {
		stream.close()
	}
	return reply, stream, err
}

// dispatchTicket offers a request only to the companion that issued its ticket.
func (e *Entry) dispatchTicket(ctx context.Context, req *request) result {
	parsed, ok := ticket.Parse(req.Key)
	if !ok {
		return refusalResult(usher.NewRefusal(usher.RefusalTicketInvalid, "the key is no ticket that was issued"))
	}
	if _, declared := e.Config.Current().Endpoints[parsed.Endpoint]; !declared {
		return refusalResult(usher.NewAttemptRefusal(usher.RefusalTicketExpired, "the endpoint of the ticket is not declared"))
	}
	giveUpAt := time.Now().Add(ticketRetryTimeout)
	messageLost := false
	var view wire.KeySlotView
	for ctx.Err() == nil && time.Now().Before(giveUpAt) {
		peer := e.peers.get(parsed.Endpoint)
		if peer == nil {
			pause.For(ctx, keyedRetryDelay)
			continue
		}
		reply, stream, err := e.submitKeyed(ctx, req, peer, view)
		var unreachable *peerrpc.UnreachableError
		switch {
		case err == nil && reply.State == wire.StateWrongHolder:
			view = reply.Slot
			continue
		case err == nil:
			res, _ := e.interpretReply(reply, stream)
			return clearAttemptIfLost(res, messageLost)
		case !errors.As(err, &unreachable):
			messageLost = true
		}
		pause.For(ctx, keyedRetryDelay)
	}
	kind := usher.RefusalEndpointFailed
	if stopping := contextRefusalKind(ctx); stopping == usher.RefusalLeaving {
		kind = stopping
	}
	if messageLost {
		return refusalResult(usher.NewUnknownOutcome(kind, "the companion of the ticket can't be reached"))
	}
	return refusalResult(usher.NewAttemptRefusal(kind, "the companion of the ticket can't be reached"))
}
