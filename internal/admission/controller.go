// Package admission implements admission control in front of an engine that has
// no priorities. It decides which request is admitted next and which one is
// refused.
//
// An engine runs requests in the order in which it gets them, so a request that
// was admitted too early can't be overtaken any more. The controller therefore
// admits only as many as the engine runs at its target token interval. All
// others wait here, where tiers and deadlines are known. What can't be answered
// in time is refused before its prompt is computed.
package admission

import (
	"context"
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// Options configures a controller.
type Options struct {
	// MaxRunning is the most requests that may be in the engine at once. The
	// limit in force, which may be lower, is adapted to the engine's speed.
	MaxRunning int
	// MaxWaiting is the most requests that may wait, and MaxWaitingTokens the most
	// prompt tokens that they may have together. Both bound the memory.
	MaxWaiting       int
	MaxWaitingTokens usher.Tokens
	// TargetTokenInterval is the target for the time between two tokens of a response.
	TargetTokenInterval time.Duration
	// FixedLimit is set for endpoints that are no model engines. They produce no
	// tokens whose interval could be measured, so MaxRunning is the limit.
	FixedLimit bool
	// FairShareWeight returns the fair-share weight of a workspace inside a tier. It is called
	// with the controller locked and must not block.
	FairShareWeight func(usher.WorkspaceName) int
	// AllowPreemption reports whether the active preset allows preemption. Nil forbids
	// it.
	AllowPreemption func() bool
}

// Controller admits requests by tier, then by workspace, then by deadline and size.
// It implements usher.Admission.
//
// One mutex guards it. The companion, which is the sidecar process of an
// endpoint, serves only one engine, so the mutex is taken about ten times for
// each request and never for a token.
type Controller struct {
	endpoint usher.EndpointName
	options  Options
	now      func() time.Time
	limiter  *limiter

	mu      sync.Mutex
	queue   *queue
	running int
	// runningWork is the expected total time of the requests in the engine.
	runningWork time.Duration
	prefill     prefillWindow
	demand      demandEstimator
	preemption  preemption
	stops       stops
	// runningByRank counts the requests in the engine. It is needed to reserve
	// slots for more urgent tiers.
	runningByRank map[usher.Rank]int
	counts        Counts
}

var _ usher.Admission = (*Controller)(nil)

// Counts is the number of decisions of each kind since the controller was
// created. Full counts requests that were refused on arrival because the queue
// was full, Evicted those that had to leave the queue for another request, and
// Withdrawn those that were cancelled while they waited. Preempted counts the
// running requests that were asked to give up their slots.
type Counts struct {
	Admitted int64 `json:"admitted"`
	// Infeasible requests were refused because they could not end in time.
	Infeasible int64 `json:"hopeless"`
	// Stopped requests were refused because they could not end before a process stops.
	Stopped   int64 `json:"stopped"`
	Full      int64 `json:"full"`
	Evicted   int64 `json:"evicted"`
	Withdrawn int64 `json:"withdrawn"`
	Preempted int64 `json:"preempted"`
}

// defaultMaxWaitingTokens bounds the prompt tokens that wait when no bound is set.
const defaultMaxWaitingTokens usher.Tokens = 4 << 20

// New returns a controller for an endpoint.
func New(endpoint usher.EndpointName, options Options) *Controller {
	if options.FairShareWeight == nil {
		options.FairShareWeight = func(usher.WorkspaceName) int { return 1 }
	}
	if options.MaxWaitingTokens == 0 {
		options.MaxWaitingTokens = defaultMaxWaitingTokens
	}
	return &Controller{
		endpoint: endpoint, options: options, now: time.Now,
		limiter: newLimiter(&options), queue: newQueue(options.FairShareWeight),
		runningByRank: make(map[usher.Rank]int),
		preemption:    preemption{candidates: make(map[*slot]struct{})},
	}
}

// TryAdmit implements usher.Admission.
func (c *Controller) TryAdmit(header *usher.RequestHeader) (usher.Slot, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.limiter.update(now, c.running, c.saturated())
	req := c.newRequest(header, now)
	if req.infeasible(now) || c.queue.mostUrgent() <= header.Rank || !c.fits(req, 0, now) {
		return nil, false
	}
	c.demand.recordArrival(header.Rank, req.work, now)
	c.queue.charge(req)
	return c.admit(req, now), true
}

// Admit implements usher.Admission.
func (c *Controller) Admit(ctx context.Context, header *usher.RequestHeader) (usher.Slot, error) {
	req, refusal := c.enqueue(header)
	if refusal != nil {
		return nil, refusal
	}
	// The timer fires at once, to be set to the latest start, and then at the
	// latest start. So the request is refused as soon as it can't end in time and
	// not only when its deadline has passed.
	latestStart := time.NewTimer(0)
	defer latestStart.Stop()
	for {
		select {
		case <-req.decided:
			if req.refusal != nil {
				return nil, req.refusal
			}
			return req.slot, nil
		case <-req.changed:
			latestStart.Reset(0)
		case <-latestStart.C:
			left, refusal := c.timeLeft(req)
			if left > 0 {
				latestStart.Reset(left)
				continue
			}
			c.withdraw(req, refusal)
			return c.awaitWithdrawal(req, refusal)
		case <-ctx.Done():
			refusal := contextRefusal(ctx)
			c.withdraw(req, refusal)
			return c.awaitWithdrawal(req, refusal)
		}
	}
}

// timeLeft returns how much longer the request can wait, given the current
// speed of the engine, and why it is refused after that.
func (c *Controller) timeLeft(req *request) (time.Duration, *usher.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	req.latestStart = c.latestStart(req.header, now)
	return req.latestStart.Sub(now), c.infeasibleRefusal(req.header)
}

// awaitWithdrawal returns the result of a request after withdraw. The slot of a
// request that was admitted at the same moment is released.
func (c *Controller) awaitWithdrawal(req *request, refusal *usher.Refusal) (usher.Slot, error) {
	<-req.decided
	if req.slot != nil {
		req.slot.Release()
		return nil, refusal
	}
	return nil, req.refusal
}

// enqueue adds a request to the queue, or returns why it can't wait.
func (c *Controller) enqueue(header *usher.RequestHeader) (*request, *usher.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.limiter.update(now, c.running, c.saturated())
	req := c.newRequest(header, now)
	if c.limiter.calibrated() && c.limiter.atCapacity(now) && now.Add(c.waitBehindMoreUrgent(header.Rank)).After(req.latestStart) {
		refusal := c.infeasibleRefusal(header)
		c.countInfeasible(refusal)
		return nil, refusal
	}
	if !c.evictFor(req) {
		c.counts.Full++
		return nil, overloadedRefusal()
	}
	c.demand.recordArrival(header.Rank, req.work, now)
	c.queue.add(req)
	c.admitWaiting(now)
	return req, nil
}

// evictFor evicts requests until req fits in the queue. It returns false if req
// itself has to be refused.
func (c *Controller) evictFor(req *request) bool {
	for c.queue.count >= c.options.MaxWaiting || c.queue.tokens+req.header.Cost.PromptTokens > c.options.MaxWaitingTokens {
		victim := c.queue.victim(req)
		if victim == nil {
			return false
		}
		c.counts.Evicted++
		c.queue.remove(victim)
		victim.decide(nil, overloadedRefusal())
	}
	return true
}

// withdraw removes a request from the queue, unless it is already decided.
func (c *Controller) withdraw(req *request, refusal *usher.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.queue.remove(req) {
		return
	}
	if refusal.Kind == usher.RefusalCancelled {
		c.counts.Withdrawn++
	} else {
		c.countInfeasible(refusal)
	}
	req.decide(nil, refusal)
}

// admitWaiting admits the waiting requests that fit, most urgent first.
//
// A long prompt may have to wait for the prefill of another one while short
// prompts still fit. Those may overtake it, but for each long prompt that is
// overtaken one slot is reserved, so that no less urgent request takes it.
func (c *Controller) admitWaiting(now time.Time) {
	for {
		req := c.next(now)
		if req == nil {
			c.preemptIfNeeded(now)
			return
		}
		c.queue.remove(req)
		c.updateEstimate(req, now)
		if req.infeasible(now) {
			c.refuseInfeasible(req)
			continue
		}
		c.queue.charge(req)
		req.decide(c.admit(req, now), nil)
	}
}

// next returns the next request to admit or refuse, or nil if none fits.
func (c *Controller) next(now time.Time) *request {
	reserved := 0
	for _, tier := range c.queue.tiers {
		for _, allowLong := range []bool{true, false} {
			req := tier.next(allowLong)
			switch {
			case req == nil:
				continue
			case req.infeasible(now) || c.fits(req, reserved, now):
				return req
			case req.long():
				// This is reached only once in a tier: the second pass considers
				// only short prompts.
				reserved++
			default:
				// Not even a short prompt fits, so nothing less urgent may pass.
				return nil
			}
		}
	}
	return nil
}

// fits reports whether the engine has a slot for the request in addition to the
// reserved ones and to those that more urgent tiers are expected to need.
func (c *Controller) fits(req *request, reserved int, now time.Time) bool {
	limit := c.limiter.limit()
	if c.running+reserved >= limit {
		return false
	}
	if c.options.FixedLimit {
		return true
	}
	return c.prefill.fits(req) && c.runningFrom(req.header.Rank)+reserved < limit-c.demand.slotsAbove(req.header.Rank, now)
}

// runningFrom counts the running requests of rank and of less urgent ranks.
func (c *Controller) runningFrom(rank usher.Rank) int {
	sum := 0
	for other, count := range c.runningByRank {
		if other >= rank {
			sum += count
		}
	}
	return sum
}

func (c *Controller) admit(req *request, now time.Time) *slot {
	c.running++
	c.runningByRank[req.header.Rank]++
	c.runningWork += req.work
	c.counts.Admitted++
	req.backlog = c.prefill.backlog(now)
	c.prefill.begin(req, now)
	s := &slot{controller: c, request: req}
	if !req.header.Stream {
		// A response that is not streamed has no first token that would show the
		// end of its prefill.
		s.prefillTimer = time.AfterFunc(req.prefillTime+prefillSlack, s.prefillEnded)
	}
	return s
}

// prefillSlack is added to the expected prefill time of a response that is not
// streamed before the next long prompt is admitted.
const prefillSlack = 20 * time.Millisecond

// saturated reports whether a higher limit would admit more requests.
func (c *Controller) saturated() bool { return c.queue.count > 0 && c.running >= c.limiter.limit() }

// waitBehindMoreUrgent returns the expected wait of a request behind all
// requests that wait in more urgent tiers.
func (c *Controller) waitBehindMoreUrgent(rank usher.Rank) time.Duration {
	return c.expectedWait(c.queue.workAbove(rank))
}

// expectedWait returns the expected time until the given work has been admitted
// and a slot is free: by Little's law, the work divided by the number of slots.
func (c *Controller) expectedWait(work time.Duration) time.Duration {
	limit := c.limiter.limit()
	if c.running >= limit && c.running > 0 {
		// On average a running request is half done.
		work += c.runningWork / time.Duration(2*c.running)
	}
	return work / time.Duration(limit)
}

func contextRefusal(ctx context.Context) *usher.Refusal {
	if context.Cause(ctx) == context.DeadlineExceeded {
		return usher.NewRefusal(usher.RefusalDeadlineExceeded, "the deadline passed while the request waited")
	}
	return usher.NewRefusal(usher.RefusalCancelled, "the request was withdrawn while it waited")
}

// retryAfter is the retry delay that callers get while the queue is full.
const retryAfter = time.Second

func overloadedRefusal() *usher.Refusal {
	return usher.NewRefusal(usher.RefusalOverloaded, "the endpoint's queue is full").WithRetryAfter(retryAfter)
}
