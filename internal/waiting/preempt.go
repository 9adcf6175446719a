package waiting

import (
	"time"

	"filbertusher/pkg/usher"
)

// preemption asks running requests to give their places back to more urgent
// ones, where the preset in force allows it. Only requests that can run again
// without anyone noticing are asked: their work declares so by calling
// Preempted. What they have computed of their prompt is kept by exporting the
// KV cache; the tokens they have decoded are lost.
//
// Places are asked for only while an urgent request waits for nothing but a
// place, one for each such request.
type preemption struct {
	candidates map[*slot]struct{}
	// asked counts places that were asked for and not given back yet.
	asked int
}

// preemptWait is the expected wait from where on a place is asked for. A
// shorter one costs less than the tokens that a preempted request loses.
const preemptWait = 100 * time.Millisecond

// Preempted implements usher.Slot.
func (s *slot) Preempted() <-chan struct{} {
	s.room.mu.Lock()
	defer s.room.mu.Unlock()
	if s.preempted == nil {
		s.preempted = make(chan struct{})
		s.room.preempt.candidates[s] = struct{}{}
	}
	return s.preempted
}

// gone forgets a slot that was given back.
func (p *preemption) gone(s *slot) {
	delete(p.candidates, s)
	if s.asked {
		p.asked--
	}
}

// askFor asks for places for the most urgent requests that wait.
func (r *Room) askFor(now time.Time) {
	if r.options.Preempt == nil || len(r.preempt.candidates) == 0 || r.running < r.pace.limit() || !r.options.Preempt() {
		return
	}
	for _, t := range r.line.tiers {
		if t.count == 0 {
			continue
		}
		if r.wait(r.line.workAbove(t.rank+1)) < preemptWait {
			return
		}
		r.askMany(t.rank, now, t.count-r.preempt.asked)
		return
	}
}

// askMany asks for a number of places, as far as there are some to be had.
func (r *Room) askMany(rank usher.Rank, now time.Time, places int) {
	for range places {
		if !r.askOne(rank, now) {
			return
		}
	}
}

// askOne asks the least urgent running request below rank that came last. It
// returns false when there is none.
func (r *Room) askOne(rank usher.Rank, now time.Time) bool {
	var victim *slot
	for s := range r.preempt.candidates {
		if s.asked || s.ticket.header.Rank <= rank || !r.canPause(s, now) {
			continue
		}
		if victim == nil || s.later(victim) {
			victim = s
		}
	}
	if victim == nil {
		return false
	}
	victim.asked = true
	r.preempt.asked++
	r.counts.Preempted++
	close(victim.preempted)
	return true
}

// canPause says whether a request would still end in time if it waited for as
// long as it takes and then ran from the start. Pausing any other one would
// lose its prefill instead of keeping it.
func (r *Room) canPause(s *slot, now time.Time) bool {
	return now.Add(s.ticket.work).Before(r.latest(s.ticket.header, now))
}

// later says whether a request goes before another one.
func (s *slot) later(other *slot) bool {
	if s.ticket.header.Rank != other.ticket.header.Rank {
		return s.ticket.header.Rank > other.ticket.header.Rank
	}
	if !s.ticket.entered.Equal(other.ticket.entered) {
		return s.ticket.entered.After(other.ticket.entered)
	}
	return s.ticket.header.ID > other.ticket.header.ID
}
