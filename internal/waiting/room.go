// Package waiting holds requests in front of an engine that knows no
// priorities, and decides which one enters next and which one has to go.
package waiting

import (
	"context"
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// Options bound a room.
type Options struct {
	// Running is how many requests may be in the engine at once.
	Running int
	// Waiting is how many requests may wait.
	Waiting int
}

// Room admits requests by tier, then by deadline. It implements
// usher.Admission.
type Room struct {
	endpoint usher.EndpointName
	options  Options

	mu      sync.Mutex
	running int
	waiting []*ticket
}

var _ usher.Admission = (*Room)(nil)

// ticket is one waiting request. ready gets nil on admission or a refusal.
type ticket struct {
	header *usher.RequestHeader
	ready  chan error
}

// New returns an empty room in front of an endpoint.
func New(endpoint usher.EndpointName, options Options) *Room {
	return &Room{endpoint: endpoint, options: options}
}

// TryAdmit implements usher.Admission.
func (r *Room) TryAdmit(_ *usher.RequestHeader) (usher.Slot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.options.Running || len(r.waiting) > 0 {
		return nil, false
	}
	r.running++
	return &slot{room: r}, true
}

// Admit implements usher.Admission.
func (r *Room) Admit(ctx context.Context, header *usher.RequestHeader) (usher.Slot, error) {
	t, err := r.enter(header)
	if err != nil {
		return nil, err
	}
	select {
	case err := <-t.ready:
		if err != nil {
			return nil, err
		}
		return &slot{room: r}, nil
	case <-ctx.Done():
		return nil, r.leave(ctx, t)
	}
}

// enter puts a request in line. When the room is full, the least urgent
// request has to go, which may be the new one.
func (r *Room) enter(header *usher.RequestHeader) (*ticket, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &ticket{header: header, ready: make(chan error, 1)}
	at := len(r.waiting)
	for at > 0 && before(header, r.waiting[at-1].header) {
		at--
	}
	r.waiting = append(r.waiting, nil)
	copy(r.waiting[at+1:], r.waiting[at:])
	r.waiting[at] = t
	r.admitNext()
	if len(r.waiting) > r.options.Waiting {
		last := r.waiting[len(r.waiting)-1]
		r.waiting = r.waiting[:len(r.waiting)-1]
		refusal := usher.NewRefusal(usher.RefusalOverloaded, "the waiting room is full").WithRetryAfter(time.Second)
		if last == t {
			return nil, refusal
		}
		last.ready <- refusal
	}
	return t, nil
}

// leave takes a request out of line whose context ended. If it was admitted at
// the same moment, its place goes to the next one.
func (r *Room) leave(ctx context.Context, t *ticket) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.waiting {
		if other == t {
			r.waiting = append(r.waiting[:i], r.waiting[i+1:]...)
			return waitEnded(ctx)
		}
	}
	if err := <-t.ready; err != nil {
		return err
	}
	r.running--
	r.admitNext()
	return waitEnded(ctx)
}

func waitEnded(ctx context.Context) error {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return usher.NewRefusal(usher.RefusalDeadline, "the deadline passed while the request waited")
	}
	return usher.NewRefusal(usher.RefusalCancelled, "the request was withdrawn while it waited")
}

func before(a, b *usher.RequestHeader) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	return a.Deadline.Before(b.Deadline)
}

func (r *Room) admitNext() {
	for len(r.waiting) > 0 && r.running < r.options.Running {
		r.running++
		r.waiting[0].ready <- nil
		r.waiting = r.waiting[1:]
	}
}

// Report implements usher.Admission.
func (r *Room) Report() usher.LoadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := usher.LoadReport{
		Endpoint: r.endpoint, Running: r.running, Waiting: len(r.waiting),
		Limit: r.options.Running, LowestKept: -1,
	}
	if len(r.waiting) > 0 {
		report.LowestKept = r.waiting[len(r.waiting)-1].header.Rank
	}
	return report
}

// slot implements usher.Slot.
type slot struct {
	room *Room
	once sync.Once
}

// FirstToken implements usher.Slot.
func (s *slot) FirstToken(time.Duration, usher.Tokens) {}

// Token implements usher.Slot.
func (s *slot) Token(time.Duration) {}

// Release implements usher.Slot.
func (s *slot) Release() {
	s.once.Do(func() {
		s.room.mu.Lock()
		defer s.room.mu.Unlock()
		s.room.running--
		s.room.admitNext()
	})
}
