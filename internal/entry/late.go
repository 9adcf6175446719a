package entry

import (
	"context"
	"time"

	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// offered is how an offer ended.
type offered struct {
	result
	final bool
}

// withdrawTimeout bounds how long an entry waits to take a waiting request
// back before it goes elsewhere.
const withdrawTimeout = time.Second

// waitAtTwo keeps the request with its body at first and reserves room at
// second. What grants first gets it.
//
// The request is dispatched at most once: a grant is used only after first
// has promised, by withdrawing the request, that it did not and will not run
// it. When first has dispatched it already, the grant is given back.
func (c *choice) waitAtTwo(ctx context.Context, first, second usher.EndpointName) (result, bool) {
	reserving, stop := context.WithCancel(ctx)
	defer stop()
	granted := make(chan *wire.ReserveReply, 1)
	// The header is copied first, because the offer counts its attempts in it.
	header := c.accepted.RequestHeader
	go func() { granted <- c.entry.reserve(reserving, header, second) }()
	done := make(chan offered, 1)
	go func() {
		got, final := c.entry.offer(ctx, c.accepted, first, true, 0)
		done <- offered{result: got, final: final}
	}()
	c.crossOff(first)
	for {
		select {
		case got := <-done:
			return c.firstEnded(ctx, got, second, granted, stop)
		case reply := <-granted:
			if reply == nil || reply.Grant == 0 {
				c.refusedBy(second, reply)
				got := <-done
				return got.result, got.final
			}
			return c.moveTo(ctx, first, second, reply.Grant, done)
		}
	}
}

// firstEnded is called when first has answered or refused. A reservation that
// is still open is withdrawn, unless the request needs it now.
func (c *choice) firstEnded(ctx context.Context, got offered, second usher.EndpointName, granted chan *wire.ReserveReply, stop func()) (result, bool) {
	if got.final || ctx.Err() != nil {
		stop()
		go c.entry.giveBack(c.accepted.ID, second, granted)
		return got.result, got.final
	}
	c.note(got.refusal)
	reply := <-granted
	if reply == nil || reply.Grant == 0 {
		c.refusedBy(second, reply)
		return got.result, false
	}
	c.crossOff(second)
	c.accepted.why = whyGrant
	return c.entry.offer(ctx, c.accepted, second, true, reply.Grant)
}

// moveTo takes the request back from first and dispatches it at second.
func (c *choice) moveTo(ctx context.Context, first, second usher.EndpointName, grant uint64, done chan offered) (result, bool) {
	taken := c.entry.takeBack(c.accepted.ID, first)
	if !taken {
		c.entry.release(c.accepted.ID, second)
	}
	// The offer ends in any case: with the answer when first had dispatched
	// it, else because it was taken back. The reply that says so can be lost
	// while the withdrawal was not.
	got := <-done
	switch {
	case !tookBack(got.refusal) && (got.final || !taken):
		if taken {
			c.entry.release(c.accepted.ID, second)
		}
		return got.result, got.final
	case !taken:
		return result{}, false
	}
	c.entry.metrics.moved(1)
	c.crossOff(second)
	c.accepted.why = whyGrant
	return c.entry.offer(ctx, c.accepted, second, true, grant)
}

// tookBack says whether an offer ended because it was taken back.
func tookBack(refusal *usher.Refusal) bool {
	return refusal != nil && refusal.Kind == usher.RefusalCancelled && refusal.Outcome == usher.OutcomeNotRun
}

func (c *choice) refusedBy(endpoint usher.EndpointName, reply *wire.ReserveReply) {
	if reply == nil || reply.Refusal == nil {
		return
	}
	c.note(reply.Refusal)
	if reply.Refusal.Kind != usher.RefusalCancelled {
		c.crossOff(endpoint)
	}
}

// reserve asks an endpoint for room and waits until it is granted or refused.
// It returns nil when there is no reply.
func (e *Entry) reserve(ctx context.Context, header usher.RequestHeader, endpoint usher.EndpointName) *wire.ReserveReply {
	peer := e.peers.of(endpoint)
	if peer == nil {
		return nil
	}
	e.metrics.reserved(1)
	// The prefix chose the endpoint already; the companion does not need it.
	header.Prefix = nil
	args := &wire.ReserveArgs{Caller: e.caller(), Header: header, Remaining: time.Until(header.Deadline)}
	reply := &wire.ReserveReply{}
	if err := peer.link.Call(ctx, wire.MethodReserve, args, reply); err != nil {
		return nil
	}
	e.Placer.Observe(reply.Load)
	return reply
}

// takeBack withdraws a waiting request and says whether it certainly did not
// run. A request that was dispatched already goes on.
func (e *Entry) takeBack(id usher.RequestID, endpoint usher.EndpointName) bool {
	reply := &wire.WithdrawReply{}
	args := &wire.WithdrawArgs{Caller: e.caller(), ID: id, TakeBack: true}
	return e.withdrawAt(endpoint, args, reply) && reply.Outcome == usher.OutcomeNotRun
}

// release gives a reservation back that is not needed. A reservation whose
// withdrawal is lost ends by itself.
func (e *Entry) release(id usher.RequestID, endpoint usher.EndpointName) {
	args := &wire.WithdrawArgs{Caller: e.caller(), ID: id, Reservation: true}
	e.withdrawAt(endpoint, args, &wire.WithdrawReply{})
}

func (e *Entry) withdrawAt(endpoint usher.EndpointName, args *wire.WithdrawArgs, reply *wire.WithdrawReply) bool {
	peer := e.peers.of(endpoint)
	if peer == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if err := peer.link.Call(ctx, wire.MethodWithdraw, args, reply); err != nil {
		return false
	}
	e.Placer.Observe(reply.Load)
	return true
}

// giveBack ends a reservation that is open or was just granted.
func (e *Entry) giveBack(id usher.RequestID, endpoint usher.EndpointName, granted chan *wire.ReserveReply) {
	select {
	case reply := <-granted:
		if reply != nil && reply.Grant == 0 {
			return
		}
	default:
	}
	e.release(id, endpoint)
}
