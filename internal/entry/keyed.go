package entry

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertusher/internal/journal"
	"filbertusher/internal/link"
	"filbertusher/internal/pause"
	"filbertusher/internal/ticket"
	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// A request that may run only once goes to the companion that holds the slot of
// its key. The entry may send it again and elsewhere as often as it likes: the
// holder knows the key, and a companion that is not the holder does not run it.

const (
	// keyedReplyGrace is how long the companion's own refusal at the deadline
	// is waited for, because it knows more than the entry does.
	keyedReplyGrace = time.Second
	// keyedPause is the pause after all candidates were tried.
	keyedPause = 50 * time.Millisecond
	// ticketPatience is how long the companion of a ticket is tried to reach.
	ticketPatience = 2 * time.Second
)

// views remembers what is known of each slot. It holds as many views as there
// are slots, so it needs no bound of its own.
type views struct {
	mu     sync.RWMutex
	bySlot map[slotName]wire.SlotView
}

type slotName struct {
	service usher.ServiceName
	number  journal.SlotNumber
}

func newViews() *views { return &views{bySlot: make(map[slotName]wire.SlotView)} }

func (v *views) get(slot slotName) wire.SlotView {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.bySlot[slot]
}

// learn takes a newer view in. Replies can overtake each other, so an older
// one is passed over.
func (v *views) learn(slot slotName, view wire.SlotView) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.bySlot[slot]
	if view.Fence < known.Fence || view.Fence == known.Fence && view.Epoch < known.Epoch {
		return
	}
	v.bySlot[slot] = view
}

// keyedRoute is the search for the holder of one request's slot.
type keyedRoute struct {
	entry    *Entry
	accepted *request
	slot     slotName
	order    []usher.EndpointName
	next     int
	hint     usher.EndpointName
	// lost is set when a message was sent whose fate is unsure.
	lost bool
}

// dispatchKeyed offers a request that may run only once until its outcome is
// known or its deadline has passed. It goes on when the caller has gone, for
// the caller can ask for the outcome by sending the key again.
func (e *Entry) dispatchKeyed(ctx context.Context, accepted *request) result {
	if refusal := e.suspected(accepted); refusal != nil {
		return refused(refusal)
	}
	accepted.keyed = true
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), accepted.Deadline)
	defer cancel()
	if ticket.Is(accepted.Key) {
		return e.dispatchTicket(ctx, accepted)
	}
	route := e.newKeyedRoute(accepted)
	for ctx.Err() == nil {
		endpoint, ok := route.choose()
		if !ok {
			pause.For(ctx, keyedPause)
			continue
		}
		if got, final := route.try(ctx, endpoint); final {
			return got
		}
	}
	return refused(route.unsettled("the holder of the key can't be reached"))
}

func (e *Entry) newKeyedRoute(accepted *request) *keyedRoute {
	number := journal.HashKey(accepted.Workspace, accepted.Key).Slot()
	route := &keyedRoute{entry: e, accepted: accepted, slot: slotName{service: accepted.Service, number: number}}
	route.rank()
	route.hint = e.views.get(route.slot).Holder
	return route
}

// rank orders the endpoints of the service by a hash of the slot and their
// name, so that a change of the endpoints moves few slots. Leaving ones are
// left out; they may still hold slots, which other companions know.
func (r *keyedRoute) rank() {
	r.order, r.next = r.order[:0], 0
	scores := make(map[usher.EndpointName]uint64)
	for _, endpoint := range r.entry.Config.Current().ByService[r.slot.service] {
		if endpoint.Leaving {
			continue
		}
		scores[endpoint.Name] = xxhash.Sum64String(string(endpoint.Name) + "\x00" + string(r.slot.service) + "\x00" + string(rune('a'+r.slot.number)))
		r.order = append(r.order, endpoint.Name)
	}
	sort.Slice(r.order, func(i, j int) bool { return scores[r.order[i]] > scores[r.order[j]] })
}

// choose returns the endpoint to try next: the one that is said to hold the
// slot, then all others in order. false ends a round.
func (r *keyedRoute) choose() (usher.EndpointName, bool) {
	if r.hint != "" {
		hint := r.hint
		r.hint = ""
		return hint, true
	}
	if r.next >= len(r.order) {
		r.rank()
		return "", false
	}
	r.next++
	return r.order[r.next-1], true
}

// try sends the request to one endpoint. final is false when it has to be sent
// again, here or elsewhere.
func (r *keyedRoute) try(ctx context.Context, endpoint usher.EndpointName) (result, bool) {
	peer := r.entry.peers.of(endpoint)
	if peer == nil {
		return result{}, false
	}
	reply, stream, err := r.entry.submitKeyed(ctx, r.accepted, peer, r.entry.views.get(r.slot))
	var unreachable *link.UnreachableError
	switch {
	case errors.As(err, &unreachable):
		return result{}, false
	case err != nil:
		r.lost = true
		return result{}, false
	case reply.State == wire.StateElsewhere:
		r.redirect(endpoint, reply.Slot)
		return result{}, false
	}
	if reply.Slot.Fence > 0 {
		r.entry.views.learn(r.slot, reply.Slot)
	}
	got, _ := r.entry.judge(reply, stream)
	return unsureOf(got, r.lost), true
}

// unsureOf takes back what a refusal says of this attempt when a message of it
// was lost before: that one may have run. What a holder says of the key stands,
// because it covers every message that was sent before.
func unsureOf(got result, lost bool) result {
	if !lost || got.refusal == nil || got.refusal.Attempt == "" {
		return got
	}
	changed := *got.refusal
	changed.Attempt = ""
	return refused(&changed)
}

// redirect follows a companion that does not hold the slot, or that holds it
// but wants the request sent with a newer view.
func (r *keyedRoute) redirect(asked usher.EndpointName, view wire.SlotView) {
	if view.Fence > 0 {
		r.entry.views.learn(r.slot, view)
	}
	if view.Holder != asked || view.Fence > 0 {
		r.hint = view.Holder
	}
}

// unsettled is the refusal of a request that no companion took in time.
func (r *keyedRoute) unsettled(message string) *usher.Refusal {
	if r.lost {
		return usher.NewUnknown(usher.RefusalDeadline, message)
	}
	return usher.NewAttemptRefusal(usher.RefusalDeadline, message)
}

// submitKeyed sends a request that may run only once to one companion. The
// collector of the peer ends the call when the companion has fallen silent; the
// message may be sent again elsewhere then.
func (e *Entry) submitKeyed(ctx context.Context, accepted *request, peer *peer, view wire.SlotView) (*wire.SubmitReply, *incoming, error) {
	accepted.Attempt++
	accepted.endpoint = peer.endpoint
	limit, cancel := context.WithDeadline(context.WithoutCancel(ctx), accepted.Deadline.Add(keyedReplyGrace))
	defer cancel()
	stream := peer.open(accepted)
	args := &wire.SubmitArgs{
		Caller: e.caller(), Header: accepted.RequestHeader, Remaining: time.Until(accepted.Deadline),
		Call: accepted.call, MayWait: true, Stream: stream.number, Slot: view,
		Record: accepted.recordContext(),
	}
	reply := &wire.SubmitReply{}
	accepted.offeredTo(peer.endpoint)
	err := peer.submitWith(limit, false, stream, args, reply)
	if err == nil {
		accepted.reply = reply
	}
	if err != nil || reply.State != wire.StateStreaming {
		stream.close()
	}
	return reply, stream, err
}

// dispatchTicket offers a request to the one companion that its ticket names.
func (e *Entry) dispatchTicket(ctx context.Context, accepted *request) result {
	named, ok := ticket.Read(accepted.Key)
	if !ok {
		return refused(usher.NewRefusal(usher.RefusalTicketInvalid, "the key is no ticket that was issued"))
	}
	if _, declared := e.Config.Current().Endpoints[named.Endpoint]; !declared {
		return refused(usher.NewAttemptRefusal(usher.RefusalTicketExpired, "the endpoint of the ticket is not declared"))
	}
	patience := time.Now().Add(ticketPatience)
	lost := false
	var view wire.SlotView
	for ctx.Err() == nil && time.Now().Before(patience) {
		peer := e.peers.of(named.Endpoint)
		if peer == nil {
			pause.For(ctx, keyedPause)
			continue
		}
		reply, stream, err := e.submitKeyed(ctx, accepted, peer, view)
		var unreachable *link.UnreachableError
		switch {
		case err == nil && reply.State == wire.StateElsewhere:
			view = reply.Slot
			continue
		case err == nil:
			got, _ := e.judge(reply, stream)
			return unsureOf(got, lost)
		case !errors.As(err, &unreachable):
			lost = true
		}
		pause.For(ctx, keyedPause)
	}
	if lost {
		return refused(usher.NewUnknown(usher.RefusalEndpointFailed, "the companion of the ticket can't be reached"))
	}
	return refused(usher.NewAttemptRefusal(usher.RefusalEndpointFailed, "the companion of the ticket can't be reached"))
}
