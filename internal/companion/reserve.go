package companion

import (
	"context"
	"sync"
	"time"

	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// grantTimeout is how long a granted slot is kept free for the request. It covers
// only a few round trips, because the engine's capacity is unused meanwhile.
const grantTimeout = 500 * time.Millisecond

// reservations are requests that wait for capacity here while the entry keeps
// their bodies. A granted reservation holds a slot until the request arrives with
// the number of the grant, is withdrawn, or grantTimeout has passed.
type reservations struct {
	mu        sync.Mutex
	byID      map[usher.RequestID]*reservation
	lastGrant uint64
}

// reservation is one reservation. slot, grant and expiry are set once it is
// granted.
type reservation struct {
	cancel context.CancelFunc
	slot   usher.Slot
	grant  uint64
	expiry *time.Timer
}

func newReservations() *reservations {
	return &reservations{byID: make(map[usher.RequestID]*reservation)}
}

// open adds a reservation. It returns false if the request already has one.
func (r *reservations) open(id usher.RequestID, cancel context.CancelFunc) (*reservation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.byID[id]; ok {
		return nil, false
	}
	opened := &reservation{cancel: cancel}
	r.byID[id] = opened
	return opened, true
}

// grant keeps the slot for the request and returns the number of the grant. It
// returns 0 if the reservation was withdrawn in the meantime.
func (r *reservations) grant(id usher.RequestID, granted *reservation, slot usher.Slot) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID[id] != granted {
		return 0
	}
	r.lastGrant++
	granted.grant, granted.slot = r.lastGrant, slot
	granted.expiry = time.AfterFunc(grantTimeout, func() { r.end(id, granted) })
	return granted.grant
}

// claim removes a grant and returns its slot, or nil if the grant has ended.
func (r *reservations) claim(id usher.RequestID, grant uint64) usher.Slot {
	r.mu.Lock()
	defer r.mu.Unlock()
	held, ok := r.byID[id]
	if !ok || held.grant != grant || grant == 0 {
		return nil
	}
	held.expiry.Stop()
	delete(r.byID, id)
	return held.slot
}

// withdraw ends the reservation of a request.
func (r *reservations) withdraw(id usher.RequestID) {
	r.mu.Lock()
	held, ok := r.byID[id]
	r.mu.Unlock()
	if ok {
		r.end(id, held)
	}
}

func (r *reservations) end(id usher.RequestID, ended *reservation) {
	r.mu.Lock()
	current := r.byID[id] == ended
	if current {
		delete(r.byID, id)
	}
	r.mu.Unlock()
	if !current {
		return
	}
	ended.cancel()
	if ended.slot != nil {
		ended.expiry.Stop()
		ended.slot.Release()
	}
}

func (r *reservations) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byID)
}

// reserve waits for capacity for a request whose body stays at the entry.
func (c *Companion) reserve(args *wire.ReserveArgs) wire.ReserveReply {
	header := args.Header
	header.Deadline, header.Entry = time.Now().Add(args.Remaining), args.Incarnation
	ctx, cancel := context.WithDeadline(context.Background(), header.Deadline)
	defer cancel()
	if c.drain.isDraining() {
		return c.notGranted(usher.NewRefusal(usher.RefusalLeaving, "the endpoint is leaving"))
	}
	opened, ok := c.reservations.open(header.ID, cancel)
	if !ok {
		return c.notGranted(usher.NewRefusal(usher.RefusalCancelled, "the request has a reservation already"))
	}
	admitCtx, stop := c.drain.contextUntilDrain(ctx)
	defer stop()
	slot, err := c.Admission.Admit(admitCtx, &header)
	if c.drain.isDraining() && ctx.Err() == nil {
		if err == nil {
			slot.Release()
		}
		err = usher.NewRefusal(usher.RefusalLeaving, "the endpoint is leaving")
	}
	if err != nil {
		c.reservations.end(header.ID, opened)
		return c.notGranted(toRefusal(err, usher.OutcomeNotRun))
	}
	grant := c.reservations.grant(header.ID, opened, slot)
	if grant == 0 {
		slot.Release()
		return c.notGranted(usher.NewRefusal(usher.RefusalCancelled, "the reservation was withdrawn"))
	}
	return wire.ReserveReply{Status: c.status(), Grant: grant}
}

func (c *Companion) notGranted(refusal *usher.Refusal) wire.ReserveReply {
	return wire.ReserveReply{Status: c.status(), Refusal: refusal}
}
