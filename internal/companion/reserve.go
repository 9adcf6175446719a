package companion

import (
	"context"
	"sync"
	"time"

	"filbertusher/internal/wire"
	"filbertusher/pkg/usher"
)

// grantLife is how long a granted place is kept free for the request. It is a
// few round trips, because the engine idles meanwhile.
const grantLife = 500 * time.Millisecond

// reservations are requests that wait for room here while their bodies are
// elsewhere. A granted one holds a slot until the request arrives with the
// number of the grant, is withdrawn, or grantLife is over.
type reservations struct {
	mu   sync.Mutex
	byID map[usher.RequestID]*reservation
	last uint64
}

// reservation has a slot and the number of its grant once it was granted.
type reservation struct {
	cancel context.CancelFunc
	slot   usher.Slot
	grant  uint64
	expiry *time.Timer
}

func newReservations() *reservations {
	return &reservations{byID: make(map[usher.RequestID]*reservation)}
}

// open adds a reservation; a second one for the same request is refused.
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

// grant keeps the slot for the request. It returns 0 when the reservation was
// withdrawn meanwhile.
func (r *reservations) grant(id usher.RequestID, granted *reservation, slot usher.Slot) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID[id] != granted {
		return 0
	}
	r.last++
	granted.grant, granted.slot = r.last, slot
	granted.expiry = time.AfterFunc(grantLife, func() { r.end(id, granted) })
	return granted.grant
}

// take hands the slot of a grant over, or returns nil when it has ended.
func (r *reservations) take(id usher.RequestID, grant uint64) usher.Slot {
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

// reserve waits for room for a request whose body is elsewhere.
func (c *Companion) reserve(args *wire.ReserveArgs) wire.ReserveReply {
	header := args.Header
	header.Deadline = time.Now().Add(args.Remaining)
	ctx, cancel := context.WithDeadline(context.Background(), header.Deadline)
	defer cancel()
	if c.drain.started() {
		return c.notGranted(usher.NewRefusal(usher.RefusalLeaving, "the endpoint is leaving"))
	}
	opened, ok := c.reservations.open(header.ID, cancel)
	if !ok {
		return c.notGranted(usher.NewRefusal(usher.RefusalCancelled, "the request has a reservation already"))
	}
	slot, err := c.Admission.Admit(ctx, &header)
	if err != nil {
		c.reservations.end(header.ID, opened)
		return c.notGranted(asRefusal(err, usher.OutcomeNotRun))
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
