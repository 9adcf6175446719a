package entry

import (
	"context"
	"time"

	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// offerResult holds both results of offer.
type offerResult struct {
	result
	final bool
}

// withdrawTimeout is the timeout of a call that withdraws a queued request or a
// reservation.
const withdrawTimeout = time.Second

// waitWithReservation queues the request with its body at first and reserves
// capacity at second. The endpoint that has capacity earlier runs the request.
//
// The request is dispatched at most once: a grant of second is used only after
// first has withdrawn the request and thereby confirmed that it did not and will
// not run it. If first has already dispatched the request, the grant is released.
func (c *candidateSearch) waitWithReservation(ctx context.Context, first, second usher.EndpointName) (result, bool) {
	reserveCtx, cancelReserve := context.WithCancel(ctx)
	defer cancelReserve()
	granted := make(chan *wire.ReserveReply, 1)
	// Copy the header, because offer concurrently increments its attempt count.
	header := c.req.RequestHeader
	go func() { granted <- c.entry.reserve(reserveCtx, header, second) }()
	done := make(chan offerResult, 1)
	go func() {
		res, final := c.entry.offer(ctx, c.req, first, true, 0)
		done <- offerResult{result: res, final: final}
	}()
	c.markTried(first)
	for {
		select {
		case res := <-done:
			return c.handleFirstResult(ctx, res, second, granted, cancelReserve)
		case reply := <-granted:
			if reply == nil || reply.Grant == 0 {
				c.noteReservationRefusal(second, reply)
				res := <-done
				return res.result, res.final
			}
			return c.moveToSecond(ctx, first, second, reply.Grant, done)
		}
	}
}

// handleFirstResult handles the result of the offer to first. On a final result
// it withdraws the reservation at second; otherwise it waits for the grant and
// uses it.
func (c *candidateSearch) handleFirstResult(ctx context.Context, res offerResult, second usher.EndpointName, granted chan *wire.ReserveReply, cancelReserve func()) (result, bool) {
	if res.final || ctx.Err() != nil {
		cancelReserve()
		go c.entry.abandonReservation(c.req.ID, second, granted)
		return res.result, res.final
	}
	c.noteRefusal(res.refusal)
	reply := <-granted
	if reply == nil || reply.Grant == 0 {
		c.noteReservationRefusal(second, reply)
		return res.result, false
	}
	c.markTried(second)
	c.req.reason = reasonReservationGranted
	return c.entry.offer(ctx, c.req, second, true, reply.Grant)
}

// moveToSecond withdraws the request from first and dispatches it at second.
func (c *candidateSearch) moveToSecond(ctx context.Context, first, second usher.EndpointName, grant uint64, done chan offerResult) (result, bool) {
	withdrawn := c.entry.withdrawWaiting(c.req.ID, first)
	if !withdrawn {
		c.entry.releaseReservation(c.req.ID, second)
	}
	// The offer always ends: with the response if first had dispatched the
	// request, otherwise because it was withdrawn. The offer can report the
	// withdrawal even if the reply to the withdrawal itself was lost.
	res := <-done
	switch {
	case !wasWithdrawn(res.refusal) && (res.final || !withdrawn):
		if withdrawn {
			c.entry.releaseReservation(c.req.ID, second)
		}
		return res.result, res.final
	case !withdrawn:
		return result{}, false
	}
	c.entry.metrics.requestsMoved(1)
	c.markTried(second)
	c.req.reason = reasonReservationGranted
	return c.entry.offer(ctx, c.req, second, true, grant)
}

// wasWithdrawn reports whether an offer ended because it was withdrawn.
func wasWithdrawn(refusal *usher.Refusal) bool {
	return refusal != nil && refusal.Kind == usher.RefusalCancelled && refusal.Outcome == usher.OutcomeNotRun
}

func (c *candidateSearch) noteReservationRefusal(endpoint usher.EndpointName, reply *wire.ReserveReply) {
	if reply == nil || reply.Refusal == nil {
		return
	}
	c.noteRefusal(reply.Refusal)
	if reply.Refusal.Kind != usher.RefusalCancelled {
		c.markTried(endpoint)
	}
}

// reserve requests capacity at an endpoint and waits until it is granted or
// refused. It returns nil if there is no reply.
func (e *Entry) reserve(ctx context.Context, header usher.RequestHeader, endpoint usher.EndpointName) *wire.ReserveReply {
	peer := e.peers.get(endpoint)
	if peer == nil {
		return nil
	}
	e.metrics.reservationsMade(1)
	// Only placement uses the prefix; the companion does not need it.
	header.Prefix = nil
	args := &wire.ReserveArgs{Caller: e.caller(), Header: header, Remaining: time.Until(header.Deadline)}
	reply := &wire.ReserveReply{}
	if err := peer.link.Call(ctx, wire.MethodReserve, args, reply); err != nil {
		return nil
	}
	e.Placer.Observe(reply.Load)
	return reply
}

// withdrawWaiting withdraws a queued request and reports whether the companion
// confirmed that it did not run. A request that was already dispatched continues.
func (e *Entry) withdrawWaiting(id usher.RequestID, endpoint usher.EndpointName) bool {
	reply := &wire.WithdrawReply{}
	args := &wire.WithdrawArgs{Caller: e.caller(), ID: id, TakeBack: true}
	return e.withdrawAt(endpoint, args, reply) && reply.Outcome == usher.OutcomeNotRun
}

// releaseReservation withdraws a reservation that is not needed. If the message
// is lost, the reservation expires by itself.
func (e *Entry) releaseReservation(id usher.RequestID, endpoint usher.EndpointName) {
	args := &wire.WithdrawArgs{Caller: e.caller(), ID: id, Reservation: true}
	e.withdrawAt(endpoint, args, &wire.WithdrawReply{})
}

func (e *Entry) withdrawAt(endpoint usher.EndpointName, args *wire.WithdrawArgs, reply *wire.WithdrawReply) bool {
	peer := e.peers.get(endpoint)
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

// abandonReservation releases a reservation that is pending or was just granted.
func (e *Entry) abandonReservation(id usher.RequestID, endpoint usher.EndpointName, granted chan *wire.ReserveReply) {
	select {
	case reply := <-granted:
		if reply != nil && reply.Grant == 0 {
			return
		}
	default:
	}
	e.releaseReservation(id, endpoint)
}
