// Package waiting holds requests in front of an engine that knows no
// priorities, and decides which one enters next and which one has to go.
//
// An engine runs whatever it is given in the order in which it came, so a
// request that was let in too early can't be overtaken any more. The room
// therefore lets in only as much as the engine runs at its target pace, keeps
// everything else here, where tiers and deadlines are known, and refuses what
// can't be answered in time before its prompt is computed.
package waiting

import (
	"context"
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// Options bound a room.
type Options struct {
	// Running is the most requests that may be in the engine at once. How many
	// are let in below it is learned from the engine's pace.
	Running int
	// Waiting is how many requests may wait, and WaitingTokens how many prompt
	// tokens they may have together; both bound the memory.
	Waiting       int
	WaitingTokens usher.Tokens
	// TokenPace is the time between two tokens that must not be passed.
	TokenPace time.Duration
	// Fixed is set for endpoints that are no model engines: they have no pace
	// to learn from, so Running is the limit.
	Fixed bool
	// Share weighs a workspace against others inside a tier. It is called
	// with the room locked and must not block.
	Share func(usher.WorkspaceName) int
	// Preempt says whether the preset in force allows preemption; nil forbids.
	Preempt func() bool
}

// Room admits requests by tier, then by workspace, then by deadline and size.
// It implements usher.Admission.
//
// One mutex guards the room. A companion serves one engine, so the mutex is
// taken some ten times for each request and never for a token.
type Room struct {
	endpoint usher.EndpointName
	options  Options
	now      func() time.Time
	pace     *pace

	mu      sync.Mutex
	line    *line
	running int
	// occupied is the expected time in the engine of all that runs there.
	occupied time.Duration
	prefill  prefillWindow
	demand   demand
	preempt  preemption
	// byRank counts what runs, for the places that are kept for more urgent
	// tiers.
	byRank map[usher.Rank]int
	counts Counts
}

var _ usher.Admission = (*Room)(nil)

// Counts is what the room has decided since it was made.
type Counts struct {
	Admitted int64 `json:"admitted"`
	// Hopeless requests were refused because they could not end in time.
	Hopeless  int64 `json:"hopeless"`
	Full      int64 `json:"full"`
	Evicted   int64 `json:"evicted"`
	Withdrawn int64 `json:"withdrawn"`
	Preempted int64 `json:"preempted"`
}

// defaultWaitingTokens bounds the prompts that wait when no bound is set.
const defaultWaitingTokens usher.Tokens = 4 << 20

// New returns an empty room in front of an endpoint.
func New(endpoint usher.EndpointName, options Options) *Room {
	if options.Share == nil {
		options.Share = func(usher.WorkspaceName) int { return 1 }
	}
	if options.WaitingTokens == 0 {
		options.WaitingTokens = defaultWaitingTokens
	}
	return &Room{
		endpoint: endpoint, options: options, now: time.Now,
		pace: newPace(&options), line: newLine(options.Share),
		byRank:  make(map[usher.Rank]int),
		preempt: preemption{candidates: make(map[*slot]struct{})},
	}
}

// TryAdmit implements usher.Admission.
func (r *Room) TryAdmit(header *usher.RequestHeader) (usher.Slot, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.pace.learn(now, r.running, r.saturated())
	t := r.newTicket(header, now)
	if t.hopeless(now) || r.line.mostUrgent() <= header.Rank || !r.fits(t, 0, now) {
		return nil, false
	}
	r.demand.arrived(header.Rank, t.work, now)
	r.line.charge(t)
	return r.admit(t, now), true
}

// Admit implements usher.Admission.
func (r *Room) Admit(ctx context.Context, header *usher.RequestHeader) (usher.Slot, error) {
	t, refusal := r.enter(header)
	if refusal != nil {
		return nil, refusal
	}
	// The request is refused at the last moment at which it could be let in
	// and still end in time, and not only when its deadline has passed.
	latest := time.NewTimer(0)
	defer latest.Stop()
	for {
		select {
		case <-t.decided:
			if t.refusal != nil {
				return nil, t.refusal
			}
			return t.slot, nil
		case <-latest.C:
			if left := r.left(t); left > 0 {
				latest.Reset(left)
				continue
			}
			r.leave(t, hopelessRefusal())
			return r.afterLeave(t, hopelessRefusal())
		case <-ctx.Done():
			refusal := waitEnded(ctx)
			r.leave(t, refusal)
			return r.afterLeave(t, refusal)
		}
	}
}

// left is how long the request can wait yet by the engine's pace of now.
func (r *Room) left(t *ticket) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	t.latest = r.latest(t.header, now)
	return t.latest.Sub(now)
}

// afterLeave ends a request that left. One that was admitted at the same
// moment gives its slot back.
func (r *Room) afterLeave(t *ticket, refusal *usher.Refusal) (usher.Slot, error) {
	<-t.decided
	if t.slot != nil {
		t.slot.Release()
		return nil, refusal
	}
	return nil, t.refusal
}

// enter puts a request in line, or returns why it can't wait here.
func (r *Room) enter(header *usher.RequestHeader) (*ticket, *usher.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.pace.learn(now, r.running, r.saturated())
	t := r.newTicket(header, now)
	if r.pace.known() && r.pace.bounded(now) && now.Add(r.waitAbove(header.Rank)).After(t.latest) {
		r.counts.Hopeless++
		return nil, hopelessRefusal()
	}
	if !r.makeRoom(t) {
		r.counts.Full++
		return nil, overloadedRefusal()
	}
	r.demand.arrived(header.Rank, t.work, now)
	r.line.add(t)
	r.admitNext(now)
	return t, nil
}

// makeRoom evicts until t fits in the line. It returns false when t itself is
// the one that has to go.
func (r *Room) makeRoom(t *ticket) bool {
	for r.line.count >= r.options.Waiting || r.line.tokens+t.header.Cost.PromptTokens > r.options.WaitingTokens {
		victim := r.line.victim(t)
		if victim == nil {
			return false
		}
		r.counts.Evicted++
		r.line.remove(victim)
		victim.decide(nil, overloadedRefusal())
	}
	return true
}

// leave takes a request out of line, unless it was decided already.
func (r *Room) leave(t *ticket, refusal *usher.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.line.remove(t) {
		return
	}
	if refusal.Kind == usher.RefusalDeadline {
		r.counts.Hopeless++
	} else {
		r.counts.Withdrawn++
	}
	t.decide(nil, refusal)
}

// admitNext lets in what fits, most urgent first.
//
// A long prompt may have to wait for the prefill of another one while there is
// still room for short ones. Those may pass, but each long one that is passed
// keeps a place free, so that no less urgent request takes it.
func (r *Room) admitNext(now time.Time) {
	for {
		t := r.next(now)
		if t == nil {
			r.askFor(now)
			return
		}
		r.line.remove(t)
		r.expect(t, now)
		if t.hopeless(now) {
			r.counts.Hopeless++
			t.decide(nil, hopelessRefusal())
			continue
		}
		r.line.charge(t)
		t.decide(r.admit(t, now), nil)
	}
}

// next returns the request to decide on next, or nil when none fits.
func (r *Room) next(now time.Time) *ticket {
	kept := 0
	for _, tier := range r.line.tiers {
		for _, long := range []bool{true, false} {
			t := tier.next(long)
			switch {
			case t == nil:
				continue
			case t.hopeless(now) || r.fits(t, kept, now):
				return t
			case t.long():
				// Counted once: the second look is at short prompts only.
				kept++
			default:
				// Not even a short prompt fits, so nothing less urgent may.
				return nil
			}
		}
	}
	return nil
}

// fits says whether the engine has room for the request beside kept places and
// those that more urgent tiers are about to need.
func (r *Room) fits(t *ticket, kept int, now time.Time) bool {
	limit := r.pace.limit()
	if r.running+kept >= limit {
		return false
	}
	if r.options.Fixed {
		return true
	}
	return r.prefill.fits(t) && r.heldFrom(t.header.Rank)+kept < limit-r.demand.above(t.header.Rank, now)
}

// heldFrom counts the places that rank and less urgent ones hold.
func (r *Room) heldFrom(rank usher.Rank) int {
	held := 0
	for other, count := range r.byRank {
		if other >= rank {
			held += count
		}
	}
	return held
}

func (r *Room) admit(t *ticket, now time.Time) *slot {
	r.running++
	r.byRank[t.header.Rank]++
	r.occupied += t.work
	r.counts.Admitted++
	t.ahead = r.prefill.backlog(now)
	r.prefill.begin(t, now)
	s := &slot{room: r, ticket: t}
	if !t.header.Stream {
		// Nothing tells when the prefill of a whole answer has ended.
		s.timer = time.AfterFunc(t.prefill+prefillSlack, s.prefillEnded)
	}
	return s
}

// prefillSlack is added to the expected prefill of an answer that is not
// streamed before the next long prompt is let in.
const prefillSlack = 20 * time.Millisecond

// saturated says whether more would have been let in at a higher limit.
func (r *Room) saturated() bool { return r.line.count > 0 && r.running >= r.pace.limit() }

// waitAbove is the expected wait of a request that goes behind everything that
// waits in more urgent tiers.
func (r *Room) waitAbove(rank usher.Rank) time.Duration {
	return r.wait(r.line.workAbove(rank))
}

// wait is how long it takes until work has been let in and a slot is free: by
// Little's law, the slots' expected time divided by their number.
func (r *Room) wait(work time.Duration) time.Duration {
	limit := r.pace.limit()
	if r.running >= limit && r.running > 0 {
		// On average a running request is half done.
		work += r.occupied / time.Duration(2*r.running)
	}
	return work / time.Duration(limit)
}

func waitEnded(ctx context.Context) *usher.Refusal {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return usher.NewRefusal(usher.RefusalDeadline, "the deadline passed while the request waited")
	}
	return usher.NewRefusal(usher.RefusalCancelled, "the request was withdrawn while it waited")
}

func hopelessRefusal() *usher.Refusal {
	return usher.NewRefusal(usher.RefusalDeadline, "the endpoint can't end the request before its deadline")
}

// retryAfter is what callers are told when the room is full.
const retryAfter = time.Second

func overloadedRefusal() *usher.Refusal {
	return usher.NewRefusal(usher.RefusalOverloaded, "the waiting room is full").WithRetryAfter(retryAfter)
}
