// Package hedge decides when a second copy of a request is sent because the first has taken
// longer than requests of its kind usually do, and limits the work that copies cost.
//
// A copy helps against one endpoint that is slow for a moment, and harms where all are busy.
// Therefore copies are bounded three times: by a share of the requests that may be repeated,
// by a share of the work of all requests, and by what the caller of this package finds
// out about free slots and the retry budget.
package hedge

import (
	"math/bits"
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// Limits are the operator's limits of copies, as shares from 0 to 1. Requests is that of the
// requests of a service that may be repeated, and Work that of the work of all its requests.
// Requests is 0 where no copies are sent.
type Limits struct{ Requests, Work float64 }

const (
	// burstCopies is the number of copies of a service that all instances together may send
	// beyond the share at any moment, if there are not more instances than that. Each may
	// have at least one.
	burstCopies = 32
	// burstWork is the work that the copies of a service, of all instances together, may be
	// ahead of the share, beside the last copy of each instance.
	burstWork = 2 * time.Second
	// minTargetFraction is the fraction of the target before which no copy is sent: callers
	// don't notice, and the share of copies is kept for requests that may become late.
	minTargetFraction = 0.25
	// earlyQuantile is the quantile below which no copy is sent, however near the target is:
	// most requests answer by then.
	earlyQuantile = 0.75
	// sizeUnit is the number of tokens up to which prompts are of the smallest size. Each
	// further size is twice as long.
	sizeUnit = 256
	// roundingError is what sums of shares may lack of a whole number.
	roundingError = 1e-6
)

// Kind identifies requests that are expected to take about as long as one another. Size is
// that of the part of the prompt that has to be read. Requests of a route that differ only in
// size are compared by how long an average endpoint would take for them, until enough of the
// same size were seen.
type Kind struct {
	Service usher.ServiceName
	Route   usher.RouteName
	Size    int
}

// anySize stands for all sizes of a route, whose times are kept relative to what an average
// endpoint takes: a nanosecond stands for relativeUnit of that.
const (
	anySize      = -1
	relativeUnit = 1e-6
)

// SizeOf returns the size of a prompt of which that many tokens have to be read.
func SizeOf(tokens usher.Tokens) int { return bits.Len(uint(max(0, tokens) / sizeUnit)) }

// Reason is why a copy is sent.
type Reason string

const (
	// ReasonSlow is that the first has taken longer than nearly all requests of its kind.
	ReasonSlow Reason = "slow"
	// ReasonTarget is that the target would be missed if the copy were sent later.
	ReasonTarget Reason = "target"
)

// Attempt is what decides whether a request may have a copy while an attempt runs. Attempts
// counts those so far, with this one.
type Attempt struct {
	Route    *usher.Route
	Attempts int
	// Begun marks a stream of which the caller has events already, and Copied a request that
	// has had a copy. ProbesCrash marks a request that may crash the endpoint that runs it.
	Begun, Copied, ProbesCrash bool
}

// MayCopy reports whether the request may run a second time meanwhile.
func (a Attempt) MayCopy() bool {
	return a.Route.Idempotent() && a.Attempts < a.Route.MaxAttempts && !a.Begun && !a.Copied && !a.ProbesCrash
}

// Plan is when a copy is due, as the time since the first was sent, and why.
type Plan struct {
	After  time.Duration
	Reason Reason
}

// Policy is the decision of one process. It is safe for concurrent use.
type Policy struct {
	now func() time.Time

	mu        sync.Mutex
	limits    Limits
	instances int
	kinds     map[Kind]*window
	services  map[usher.ServiceName]*account
}

// account is what the copies of a service may still cost. work is negative after a copy that
// was longer.
type account struct {
	copies float64
	work   time.Duration
}

// New returns a policy that assumes a single instance until SetInstanceCount is called.
func New(limits Limits, now func() time.Time) *Policy {
	return &Policy{now: now, limits: limits, instances: 1, kinds: make(map[Kind]*window), services: make(map[usher.ServiceName]*account)}
}

// Enabled reports whether copies may be sent at all.
func (p *Policy) Enabled() bool { return p != nil && p.limits.Requests > 0 && p.limits.Work > 0 }

// SetInstanceCount sets the number of instances that share the limits.
func (p *Policy) SetInstanceCount(instances int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = max(1, instances)
}

// CountRequest counts a request that may be repeated and is sent for the first time.
func (p *Policy) CountRequest(service usher.ServiceName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(service)
	a.copies = min(p.copiesAhead(), a.copies+p.limits.Requests)
}

// CountWork counts the work of a request that is sent and is not a copy, as the time that it takes
// an average endpoint.
func (p *Policy) CountWork(service usher.ServiceName, work time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.account(service)
	a.work = min(p.workAhead(), a.work+time.Duration(float64(work)*p.limits.Work))
}

// Observe records how long a request took to its first event or, if its answer is not a
// stream, to the end of its answer. One that was cancelled for its copy counts with the time
// that it had taken until then. predicted is how long an average endpoint takes.
func (p *Policy) Observe(kind Kind, predicted, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observe(kind, took)
	kind.Size = anySize
	p.observe(kind, time.Duration(float64(took)/float64(max(1, predicted))/relativeUnit))
}

func (p *Policy) observe(kind Kind, took time.Duration) {
	w := p.kinds[kind]
	if w == nil {
		if len(p.kinds) >= maxKinds {
			p.dropOldest()
		}
		w = &window{}
		p.kinds[kind] = w
	}
	w.add(took, p.now())
}

// Timing is what is known of the time that a request takes when it is sent. Predicted is how
// long an average endpoint takes. Target is the time in which callers want an answer, or 0, and
// Left what is left of it; it is not positive if the target has passed.
type Timing struct{ Predicted, Target, Left time.Duration }

// Plan returns when a copy of a request is due. It returns false until enough requests of the
// route were seen.
func (p *Policy) Plan(kind Kind, timing Timing) (Plan, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, unit := p.kinds[kind], 1.0
	if w == nil || w.count < minObserved {
		kind.Size = anySize
		w, unit = p.kinds[kind], float64(max(1, timing.Predicted))*relativeUnit
	}
	if !p.Enabled() || w == nil || w.count < minObserved {
		return Plan{}, false
	}
	quantile := func(q float64) time.Duration { return time.Duration(float64(w.quantile(q)) * unit) }
	// Were all due copies sent, their share would be the lower limit. To send them earlier would
	// use it up before the slowest requests.
	plan := Plan{After: quantile(1 - min(p.limits.Requests, p.limits.Work)), Reason: ReasonSlow}
	if early := max(timing.Left-quantile(0.5), quantile(earlyQuantile)); timing.Left > 0 && early < plan.After {
		plan = Plan{After: early, Reason: ReasonTarget}
	}
	plan.After = max(plan.After, time.Duration(float64(timing.Target)*minTargetFraction))
	return plan, true
}

// Refusal is why a copy that is due is not sent.
type Refusal string

// The limits of this package, as causes of refusals.
const (
	RefusalRequests Refusal = "requestShare"
	RefusalWork     Refusal = "workShare"
)

// Check returns the limit that forbids a copy for the service now, or "".
func (p *Policy) Check(service usher.ServiceName) Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.check(service)
}

func (p *Policy) check(service usher.ServiceName) Refusal {
	a := p.account(service)
	switch {
	case !p.Enabled() || a.copies < 1-roundingError:
		return RefusalRequests
	case a.work <= 0:
		return RefusalWork
	default:
		return ""
	}
}

// Take takes a copy of that much work from the limits of the service and reports whether they
// allow it.
func (p *Policy) Take(service usher.ServiceName, work time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.check(service) != "" {
		return false
	}
	a := p.account(service)
	a.copies--
	a.work -= work
	return true
}

// copiesAhead returns how many copies this instance may have ahead of the share.
func (p *Policy) copiesAhead() float64 { return max(1, float64(burstCopies)/float64(p.instances)) }

// workAhead returns how much work this instance's copies may be ahead of the share.
func (p *Policy) workAhead() time.Duration { return burstWork / time.Duration(p.instances) }

func (p *Policy) account(service usher.ServiceName) *account {
	a := p.services[service]
	if a == nil {
		a = &account{work: p.workAhead()}
		p.services[service] = a
	}
	return a
}
