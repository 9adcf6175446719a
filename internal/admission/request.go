package admission

import (
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// request is one request that waits or runs. Exactly one of slot and refusal is
// set when decided is closed.
type request struct {
	header  *usher.RequestHeader
	arrival time.Time
	// latestStart is when the request has to be admitted at the latest to end
	// before its deadline. After it, the request is infeasible.
	latestStart time.Time
	// prefillTime and work are the expected times of its prefill and of the
	// whole request.
	prefillTime time.Duration
	work        time.Duration
	// backlog is the expected prefill time of the prompts that were in the
	// engine when the request was admitted.
	backlog time.Duration
	// due orders the requests of one workspace, see dueTime.
	due time.Time
	// heapIndex is the index in the heap, or -1.
	heapIndex int

	decided chan struct{}
	slot    *slot
	refusal *usher.Refusal
	// changed has a value after latestStart became earlier.
	changed chan struct{}
}

const (
	// longPromptTokens is the least size of a long prompt.
	longPromptTokens usher.Tokens = 512
	// targetSlowdown is how many times its own expected time a request may be
	// held back for shorter ones that arrive later.
	targetSlowdown = 4
	// safetyMarginEighths is added to the expected time when it is compared
	// with a deadline, in eighths of that time. The prefill of a response
	// that comes too late is lost work. Under overload most requests are admitted
	// close to their latest start, so the margin decides how much work is lost.
	// A request that is refused because of it makes room for a later one that
	// has more time.
	safetyMarginEighths = 4
)

func (c *Controller) newRequest(header *usher.RequestHeader, now time.Time) *request {
	req := &request{header: header, arrival: now, heapIndex: -1, decided: make(chan struct{}), changed: make(chan struct{}, 1)}
	c.updateEstimate(req, now)
	req.due = dueTime(req)
	return req
}

// updateEstimate sets the expected times of a request from the current speed of
// the engine and its prefill backlog. The request must not be in the queue,
// because the queue keeps sums of these times.
func (c *Controller) updateEstimate(req *request, now time.Time) {
	expected := c.limiter.estimate(req.header.Cost)
	req.prefillTime, req.work = expected.prefill, expected.total
	req.latestStart = c.latestStart(req.header, now)
}

// latestStart returns when a request has to be admitted at the latest to end
// before its deadline and before a process stops.
func (c *Controller) latestStart(header *usher.RequestHeader, now time.Time) time.Time {
	expected, backlog := c.limiter.estimate(header.Cost), c.prefill.backlog(now)
	latest := startFor(header.Deadline, expected.measured, backlog)
	if end, stops := c.stops.limit(header); stops {
		if start := startFor(end, expected.learned, backlog); start.Before(latest) {
			return start
		}
	}
	return latest
}

// startFor returns when a request has to be admitted at the latest to end before end. An
// expected time of 0 is unknown.
func startFor(end time.Time, expected, backlog time.Duration) time.Time {
	if expected == 0 {
		return end
	}
	return end.Add(-expected - expected*safetyMarginEighths/8 - backlog)
}

// dueTime returns the time by which requests of one workspace and tier are
// ordered. A request is due at its arrival plus a multiple of its own expected
// time, so a short request overtakes a long one that arrived shortly before it.
// The long one is overtaken only for a limited time: requests that arrive later
// by more than the difference don't overtake it. An earlier latest start
// replaces the due time.
//
// Example: a long request takes 3 s and is due 12 s after its arrival; a short
// one takes 0.5 s and is due 2 s after its arrival. Short requests overtake the
// long one for 10 s.
func dueTime(req *request) time.Time {
	due := req.arrival.Add(targetSlowdown * req.work)
	if req.latestStart.Before(due) {
		return req.latestStart
	}
	return due
}

func (req *request) long() bool { return req.header.Cost.PromptTokens >= longPromptTokens }

func (req *request) infeasible(now time.Time) bool { return now.After(req.latestStart) }

// notifyChanged makes Admit look at latestStart again.
func (req *request) notifyChanged() {
	select {
	case req.changed <- struct{}{}:
	default:
	}
}

func (req *request) decide(s *slot, refusal *usher.Refusal) {
	req.slot, req.refusal = s, refusal
	close(req.decided)
}

// prefillWindow bounds the prompts whose prefill the engine has not finished.
// The engine computes prompts in order of arrival, so a short prompt behind two
// long ones waits for both. The window therefore admits one long prompt at a
// time, and short prompts up to a number of tokens.
//
// The window also detects a full batch: a request that waits inside the engine
// gets no first token, so no further one is admitted.
type prefillWindow struct {
	longPrompts int
	shortTokens usher.Tokens
	// busyUntil is when the prefill of all admitted prompts is expected to end.
	busyUntil time.Time
}

// maxShortTokens bounds the prompt tokens of all short prompts in prefill.
const maxShortTokens usher.Tokens = 512

func (w *prefillWindow) fits(req *request) bool {
	if req.long() {
		return w.longPrompts == 0
	}
	return w.shortTokens == 0 || w.shortTokens+req.header.Cost.PromptTokens <= maxShortTokens
}

// backlog returns the expected time until the prefill of a new prompt starts.
func (w *prefillWindow) backlog(now time.Time) time.Duration {
	return max(0, w.busyUntil.Sub(now))
}

func (w *prefillWindow) begin(req *request, now time.Time) {
	w.busyUntil = now.Add(w.backlog(now) + req.prefillTime)
	if req.long() {
		w.longPrompts++
		return
	}
	w.shortTokens += req.header.Cost.PromptTokens
}

func (w *prefillWindow) end(req *request, now time.Time) {
	if req.long() {
		w.longPrompts--
	} else {
		w.shortTokens -= req.header.Cost.PromptTokens
	}
	if w.longPrompts == 0 && w.shortTokens == 0 {
		w.busyUntil = now
	}
}

// slot implements usher.Slot. An admitted request holds it until Release.
type slot struct {
	controller   *Controller
	request      *request
	prefillTimer *time.Timer

	prefillOnce sync.Once
	releaseOnce sync.Once
	// preempted is closed when the slot is requested for a more urgent request;
	// preemptRequested is set at the same time.
	preempted        chan struct{}
	preemptRequested bool
}

// ObserveFirstToken implements usher.Slot.
func (s *slot) ObserveFirstToken(latency time.Duration, prompt usher.Tokens) {
	s.controller.limiter.recordFirstToken(latency, s.request.backlog, prompt)
	s.prefillEnded()
}

// ObserveToken implements usher.Slot.
func (s *slot) ObserveToken(interval time.Duration) { s.controller.limiter.recordToken(interval) }

// ObserveResponse implements usher.Slot.
func (s *slot) ObserveResponse(tokens usher.Tokens) {
	s.controller.limiter.recordResponse(tokens, s.request.header.Cost.AnswerTokens)
}

// ObserveDuration implements usher.Slot.
func (s *slot) ObserveDuration(elapsed time.Duration) { s.controller.limiter.recordDuration(elapsed) }

// prefillEnded removes the prompt from the prefill window, which may admit
// further requests.
func (s *slot) prefillEnded() {
	s.prefillOnce.Do(func() {
		s.controller.mu.Lock()
		defer s.controller.mu.Unlock()
		s.controller.prefill.end(s.request, s.controller.now())
		s.controller.updateAndAdmit()
	})
}

// Release implements usher.Slot.
func (s *slot) Release() {
	s.releaseOnce.Do(func() {
		if s.prefillTimer != nil {
			s.prefillTimer.Stop()
		}
		s.prefillEnded()
		s.controller.mu.Lock()
		defer s.controller.mu.Unlock()
		s.controller.preemption.remove(s)
		s.controller.running--
		s.controller.runningByRank[s.request.header.Rank]--
		s.controller.runningWork -= s.request.work
		s.controller.updateAndAdmit()
	})
}

// updateAndAdmit updates the limit and admits what fits now.
func (c *Controller) updateAndAdmit() {
	now := c.now()
	c.limiter.update(now, c.running, c.saturated())
	c.admitWaiting(now)
}
