// Package retrybudget implements a retry budget: it limits how many requests are sent
// a second time, summed over all gateway instances. The instances do not communicate for
// this. Each earns a fraction of a retry with every request that it sends for the
// first time, and has an equal share of a fixed number of retries.
package retrybudget

import (
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// Limits bound the retries of each service, summed over all instances: in any
// window there are at most Ratio times the requests of the service plus Extra.
type Limits struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

const (
	// safetyFactor is the fraction of the limit that is used. The rest covers new
	// instances that are not known to all others yet, and requests that the window of
	// the limit counts later than this process does.
	safetyFactor = 0.75
	// initialFraction is the fraction of its share that a process starts with. It is
	// below 1 because a process that replaces another does not know how many retries
	// its predecessor has used.
	initialFraction = 0.3
)

// Budget is the retry budget of one process, with a token bucket per service. It
// is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	now       func() time.Time
	limits    Limits
	instances int
	buckets   map[usher.ServiceName]*bucket
}

// bucket is the token bucket of a service. Requests and the passing of time fill
// it, and each retry takes one token.
type bucket struct {
	balance  float64
	filledAt time.Time
}

// New returns a budget that assumes a single instance until SetInstanceCount is
// called.
func New(limits Limits, now func() time.Time) *Budget {
	return &Budget{now: now, limits: limits, instances: 1, buckets: make(map[usher.ServiceName]*bucket)}
}

// SetLimits replaces the limits.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// SetInstanceCount sets the number of instances that share the budget.
func (b *Budget) SetInstanceCount(instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(1, instances)
}

// CountRequest counts a request that is sent to the service for the first time.
func (b *Budget) CountRequest(service usher.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(service)
	t.balance = min(b.capacity(), t.balance+b.limits.Ratio*safetyFactor)
}

// TrySpend takes one retry from the budget of the service and reports whether one
// was left.
func (b *Budget) TrySpend(service usher.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(service)
	if t.balance < 1 {
		return false
	}
	t.balance--
	return true
}

// Balance returns the number of retries that this instance has left for the service.
func (b *Budget) Balance(service usher.ServiceName) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket(service).balance
}

// capacity returns the capacity of each bucket. Half of it flows in per window, so
// that in any window at most one and a half times the capacity can be spent beside
// what requests earned. The factor 2/3 makes that this instance's share of Extra.
func (b *Budget) capacity() float64 {
	return b.limits.Extra * safetyFactor / float64(b.instances) * 2 / 3
}

func (b *Budget) bucket(service usher.ServiceName) *bucket {
	now := b.now()
	t := b.buckets[service]
	if t == nil {
		t = &bucket{balance: b.capacity() * initialFraction, filledAt: now}
		b.buckets[service] = t
	}
	if b.limits.Window > 0 {
		windows := now.Sub(t.filledAt).Seconds() / b.limits.Window.Seconds()
		t.balance = min(b.capacity(), t.balance+b.capacity()/2*max(0, windows))
	}
	t.filledAt = now
	return t
}

// TrySpendSpare takes one retry from the budget of the service if at least the given fraction
// of its capacity is left, and reports whether it was. The rest is kept for requests that
// would fail without a retry.
func (b *Budget) TrySpendSpare(service usher.ServiceName, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.bucket(service)
	if t.balance < max(1, reserve*b.capacity()) {
		return false
	}
	t.balance--
	return true
}
