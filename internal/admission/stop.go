package admission

import (
	"time"

	"filbertusher/pkg/usher"
)

// stops has the times at which processes end whose requests wait or run here. Requests that
// run longer are cut, so they are not begun.
type stops struct {
	// all is the end of this process, or zero.
	all time.Time
	// byEntry is the end of each entry that stops.
	byEntry map[usher.Incarnation]time.Time
}

// stopRetention is how long the end of an entry is remembered after it has passed, for
// messages that arrive late.
const stopRetention = time.Minute

// limit returns the end of the processes that a request depends on. ok is false if none of
// them stops before the deadline of the request, by which it is answered in any case.
func (s *stops) limit(header *usher.RequestHeader) (end time.Time, ok bool) {
	end, ok = s.byEntry[header.Entry]
	if !s.all.IsZero() && (!ok || s.all.Before(end)) {
		end, ok = s.all, true
	}
	return end, ok && end.Before(header.Deadline)
}

// set returns false if the end is known. Of several times for one process the earliest is
// right, because messages are delayed.
func (s *stops) set(entry usher.Incarnation, end, now time.Time) bool {
	if entry == "" {
		s.all = end
		return true
	}
	if known, ok := s.byEntry[entry]; ok && !end.Before(known) {
		return false
	}
	if s.byEntry == nil {
		s.byEntry = make(map[usher.Incarnation]time.Time)
	}
	for other, passed := range s.byEntry {
		if now.Sub(passed) > stopRetention {
			delete(s.byEntry, other)
		}
	}
	s.byEntry[entry] = end
	return true
}

// EndWork implements usher.Admission.
func (c *Controller) EndWork(entry usher.Incarnation, left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if !c.stops.set(entry, now.Add(left), now) {
		return
	}
	for _, req := range c.queue.requests() {
		if req.latestStart = c.latestStart(req.header, now); !req.infeasible(now) {
			req.notifyChanged()
			continue
		}
		c.queue.remove(req)
		c.refuseInfeasible(req)
	}
	c.admitWaiting(now)
}

// StopLimit implements usher.Admission.
func (c *Controller) StopLimit(header *usher.RequestHeader) (limit usher.StopLimit, stops bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	end, stops := c.stops.limit(header)
	if !stops {
		return usher.StopLimit{}, false
	}
	return usher.StopLimit{Left: end.Sub(c.now()), Expected: c.limiter.estimate(header.Cost).learned}, true
}

// refuseInfeasible refuses a request that is not in the queue.
func (c *Controller) refuseInfeasible(req *request) {
	refusal := c.infeasibleRefusal(req.header)
	c.countInfeasible(refusal)
	req.decide(nil, refusal)
}

func (c *Controller) countInfeasible(refusal *usher.Refusal) {
	if refusal.Kind == usher.RefusalLeaving {
		c.counts.Stopped++
		return
	}
	c.counts.Infeasible++
}

func (c *Controller) infeasibleRefusal(header *usher.RequestHeader) *usher.Refusal {
	if _, stops := c.stops.limit(header); stops {
		return usher.NewRefusal(usher.RefusalLeaving, "the endpoint can't end the request before the instance stops").WithRetryAfter(retryAfter)
	}
	return usher.NewRefusal(usher.RefusalDeadlineExceeded, "the endpoint can't end the request before its deadline")
}
