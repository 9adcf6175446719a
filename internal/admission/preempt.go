package admission

import (
	"time"

	"filbertusher/pkg/usher"
)

// preemption asks running requests to give up their slots for more urgent ones,
// if the active preset allows it. Only requests that can run again without
// any visible effect are candidates; they declare this by calling
// EnablePreemption.
// Their computed prompt is kept by exporting the KV cache, while the tokens
// decoded so far are lost.
//
// Slots are requested only while urgent requests wait for nothing but a slot,
// one for each of them.
type preemption struct {
	candidates map[*slot]struct{}
	// pending counts slots that were requested and not released yet.
	pending int
}

// minPreemptWait is the expected wait above which slots are requested. A
// shorter wait costs less than the tokens that a preempted request loses.
const minPreemptWait = 100 * time.Millisecond

// EnablePreemption implements usher.Slot.
func (s *slot) EnablePreemption() <-chan struct{} {
	s.controller.mu.Lock()
	defer s.controller.mu.Unlock()
	if s.preempted == nil {
		s.preempted = make(chan struct{})
		s.controller.preemption.candidates[s] = struct{}{}
	}
	return s.preempted
}

// remove forgets a slot that was released.
func (p *preemption) remove(s *slot) {
	delete(p.candidates, s)
	if s.preemptRequested {
		p.pending--
	}
}

// preemptIfNeeded requests slots for the most urgent tier that waits.
func (c *Controller) preemptIfNeeded(now time.Time) {
	if c.options.AllowPreemption == nil || len(c.preemption.candidates) == 0 || c.running < c.limiter.limit() || !c.options.AllowPreemption() {
		return
	}
	for _, t := range c.queue.tiers {
		if t.count == 0 {
			continue
		}
		if c.expectedWait(c.queue.workAbove(t.rank+1)) < minPreemptWait {
			return
		}
		c.preemptSlots(t.rank, now, t.count-c.preemption.pending)
		return
	}
}

// preemptSlots requests up to count slots, as far as there are candidates.
func (c *Controller) preemptSlots(rank usher.Rank, now time.Time, count int) {
	for range count {
		if !c.preemptOne(rank, now) {
			return
		}
	}
}

// preemptOne requests the slot of the least urgent candidate below rank; of
// several it takes the newest. It returns false if there is none.
func (c *Controller) preemptOne(rank usher.Rank, now time.Time) bool {
	var victim *slot
	for s := range c.preemption.candidates {
		if s.preemptRequested || s.request.header.Rank <= rank || !c.canRestart(s, now) {
			continue
		}
		if victim == nil || s.preemptedBefore(victim) {
			victim = s
		}
	}
	if victim == nil {
		return false
	}
	victim.preemptRequested = true
	c.preemption.pending++
	c.counts.Preempted++
	close(victim.preempted)
	return true
}

// canRestart reports whether a request would still end in time if it waited
// for as long as it runs and then ran from the start. Preempting a request that
// would not would lose its prefill instead of keeping it.
func (c *Controller) canRestart(s *slot, now time.Time) bool {
	return now.Add(s.request.work).Before(c.latestStart(s.request.header, now))
}

// preemptedBefore reports whether a slot is preempted in preference to other.
func (s *slot) preemptedBefore(other *slot) bool {
	if s.request.header.Rank != other.request.header.Rank {
		return s.request.header.Rank > other.request.header.Rank
	}
	if !s.request.arrival.Equal(other.request.arrival) {
		return s.request.arrival.After(other.request.arrival)
	}
	return s.request.header.ID > other.request.header.ID
}
