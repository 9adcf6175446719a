// Package budget bounds how many requests are sent a second time, over all
// instances and without asking any: each instance earns a part of a retry with
// each request of its own and holds an equal share of the fixed part.
package budget

import (
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// Rules are the bounds that hold for the sum over all instances: in any window
// at most Ratio times the requests of a service plus Extra retries.
type Rules struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

const (
	// safety is the part of the bound that is used. The rest covers instances
	// that were added and are not known to all, and requests that the bound's
	// window counts later than this process.
	safety = 0.75
	// initial is the part of its share that a process starts with. One that
	// replaces another can't know what that has spent.
	initial = 0.3
)

// Budget is the state of one process. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	now      func() time.Time
	rules    Rules
	members  int
	accounts map[usher.ServiceName]*account
}

// account is a bucket that requests and time fill.
type account struct {
	balance float64
	filled  time.Time
}

// New returns a budget for a process that is alone until Members says more.
func New(rules Rules, now func() time.Time) *Budget {
	return &Budget{now: now, rules: rules, members: 1, accounts: make(map[usher.ServiceName]*account)}
}

// SetRules changes the bounds.
func (b *Budget) SetRules(rules Rules) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rules = rules
}

// SetMembers tells how many instances share the budget.
func (b *Budget) SetMembers(members int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members = max(1, members)
}

// Earn notes a first send to the service.
func (b *Budget) Earn(service usher.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service)
	a.balance = min(b.share(), a.balance+b.rules.Ratio*safety)
}

// Spend takes one retry out of the budget and says whether there was one.
func (b *Budget) Spend(service usher.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service)
	if a.balance < 1 {
		return false
	}
	a.balance--
	return true
}

// Left returns how many retries the service has left here.
func (b *Budget) Left(service usher.ServiceName) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account(service).balance
}

// share is the most that is saved up. What fills the bucket by time is half of
// it in a window, so that a window sees at most one share and a half besides
// what requests earned; the factor below makes that the fixed part.
func (b *Budget) share() float64 {
	return b.rules.Extra * safety / float64(b.members) * 2 / 3
}

func (b *Budget) account(service usher.ServiceName) *account {
	now := b.now()
	a := b.accounts[service]
	if a == nil {
		a = &account{balance: b.share() * initial, filled: now}
		b.accounts[service] = a
	}
	if b.rules.Window > 0 {
		passed := now.Sub(a.filled).Seconds() / b.rules.Window.Seconds()
		a.balance = min(b.share(), a.balance+b.share()/2*max(0, passed))
	}
	a.filled = now
	return a
}
