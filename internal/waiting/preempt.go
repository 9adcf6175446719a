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
func (r *Room) askFor() {
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
		r.askMany(t.rank, t.count-r.preempt.asked)
		return
	}
}

// askMany asks for a number of places, as far as there are some to be had.
func (r *Room) askMany(rank usher.Rank, places int) {
	for range places {
		if !r.askOne(rank) {
			return
		}
	}
}

// askOne asks the least urgent running request below rank that came last. It
// returns false when there is none.
func (r *Room) askOne(rank usher.Rank) bool {
	var victim *slot
	for s := range r.preempt.candidates {
		if s.asked || s.ticket.header.Rank <= rank {
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

// later says whether a request goes before another one.
func (s *slot) later(other *slot) bool {
	if s.ticket.header.Rank != other.ticket.header.Rank {
		return s.ticket.header.Rank > other.ticket.header.Rank
	}
	return s.ticket.entered.After(other.ticket.entered)
}
