// Package limit enforces the limits of the active preset on each workspace: requests
// per second, tokens per second, and requests in flight, for each tier.
//
// The limits apply to the sum over all entries, the processes that callers send
// their requests to. Entries do not coordinate for this. Each enforces its share,
// which is the limit divided by the number of live entries. Companions report that
// number in their replies. docs/design/decisions.md says by how much and for how
// long the sum can exceed a limit.
package limit

import (
	"math"
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// Limiter enforces the limits in one entry. It implements no interface, because
// there is only this implementation.
//
// The accounts are spread over shards by workspace to avoid lock contention. The
// state of one workspace and tier is small, and a request holds the mutex of the
// shard only for a few additions.
type Limiter struct {
	now    func() time.Time
	shards [shardCount]shard
}

// shardCount is the number of shards of the table of accounts, each with a lock of
// its own.
const (
	shardCount = 64
	// burstDuration is the time for which a workspace may accumulate unused rate.
	burstDuration = time.Second
	// sweepThreshold is the number of accounts in a shard from which idle accounts
	// are removed when another is added. At 64 shards this is 65,000 in an entry.
	sweepThreshold = 1024
)

// shard holds the accounts of some of the workspaces under a mutex of its own.
type shard struct {
	mu       sync.Mutex
	accounts map[accountKey]*account
}

// accountKey identifies what the limits apply to.
type accountKey struct {
	workspace usher.WorkspaceName
	tier      usher.TierName
}

// account is the use by one workspace at one tier.
type account struct {
	requests bucket
	tokens   bucket
	inFlight int
}

// bucket is a token bucket that one request may overdraw, because a request can
// cost more tokens than the bucket holds. The next request is admitted once the
// balance has risen to the rate's minBalance again.
type bucket struct {
	balance  float64
	filledAt time.Time
	// rate and capacity are those of the last use.
	rate     rate
	capacity float64
}

// New returns a limiter that has admitted nothing yet.
func New() *Limiter {
	l := &Limiter{now: time.Now}
	for i := range l.shards {
		l.shards[i].accounts = make(map[accountKey]*account)
	}
	return l
}

// Permit allows one request to run. Release has to be called once, when the request
// has ended.
type Permit struct {
	limiter *Limiter
	key     accountKey
	counted bool
}

// Acquire admits a request or returns why it is refused. entries is the number of live
// entries that share the limits.
func (l *Limiter) Acquire(header *usher.RequestHeader, limits usher.TierLimits, entries float64) (Permit, *usher.Refusal) {
	if limits.RequestsPerSecond == 0 && limits.TokensPerSecond == 0 && limits.Concurrency == 0 {
		return Permit{}, nil
	}
	entries = max(1, entries)
	key := accountKey{workspace: header.Workspace, tier: header.Tier}
	s := l.shard(header.Workspace)
	now := l.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.account(key, now)
	maxInFlight := perEntry(limits.Concurrency, entries)
	if limits.Concurrency > 0 && a.inFlight >= maxInFlight {
		return Permit{}, newRefusal("too many requests of the workspace are in flight", time.Second)
	}
	requests := rate{perSecond: limits.RequestsPerSecond / entries, minBalance: 1}
	tokens := rate{perSecond: limits.TokensPerSecond / entries, minBalance: 1}
	if wait := a.requests.refill(requests, now); wait > 0 {
		return Permit{}, newRefusal("the workspace is over its requests a second", wait)
	}
	if wait := a.tokens.refill(tokens, now); wait > 0 {
		return Permit{}, newRefusal("the workspace is over its tokens a second", wait)
	}
	a.requests.balance--
	a.tokens.balance -= float64(header.Cost.PromptTokens + header.Cost.AnswerTokens)
	a.inFlight++
	return Permit{limiter: l, key: key, counted: true}, nil
}

// perEntry returns the share of one entry in a count, rounded up so that every
// entry can serve something.
func perEntry(count int, entries float64) int {
	return int(math.Ceil(float64(count) / entries))
}

func newRefusal(message string, wait time.Duration) *usher.Refusal {
	return usher.NewRefusal(usher.RefusalLimitExceeded, message).WithRetryAfter(wait)
}

// Release returns the permit of a request that has ended.
func (p Permit) Release() {
	if !p.counted {
		return
	}
	s := p.limiter.shard(p.key.workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	if a, ok := s.accounts[p.key]; ok {
		a.inFlight--
	}
}

// rate is how much flows into a bucket per second, and the least balance at which
// it may be drawn on. A bucket's capacity is never less than that balance.
type rate struct{ perSecond, minBalance float64 }

// refill adds what has flowed in since the last call. It returns the time until the
// bucket may be drawn on, or 0 if it may be now.
func (b *bucket) refill(r rate, now time.Time) time.Duration {
	if r.perSecond == 0 {
		return 0
	}
	b.rate, b.capacity = r, max(r.minBalance, r.perSecond*burstDuration.Seconds())
	if b.filledAt.IsZero() {
		b.balance = b.capacity
	} else {
		b.balance = min(b.capacity, b.balance+now.Sub(b.filledAt).Seconds()*r.perSecond)
	}
	b.filledAt = now
	if b.balance >= r.minBalance {
		return 0
	}
	return time.Duration((r.minBalance - b.balance) / r.perSecond * float64(time.Second))
}

func (l *Limiter) shard(name usher.WorkspaceName) *shard {
	// This is FNV-1a, inlined to avoid an allocation.
	hash := uint32(2166136261)
	for i := range len(name) {
		hash = (hash ^ uint32(name[i])) * 16777619
	}
	return &l.shards[hash%shardCount]
}

func (s *shard) account(key accountKey, now time.Time) *account {
	if a, ok := s.accounts[key]; ok {
		return a
	}
	if len(s.accounts) >= sweepThreshold {
		s.removeIdle(now)
	}
	a := &account{}
	s.accounts[key] = a
	return a
}

// removeIdle removes the accounts without requests in flight whose buckets are full
// again. A new account would be in the same state, so that a workspace gains
// nothing by the removal.
func (s *shard) removeIdle(now time.Time) {
	for key, a := range s.accounts {
		if a.inFlight == 0 && a.requests.isFull(now) && a.tokens.isFull(now) {
			delete(s.accounts, key)
		}
	}
}

// isFull reports whether the bucket is full by now, as a new one would be.
func (b *bucket) isFull(now time.Time) bool {
	return b.filledAt.IsZero() || b.balance+now.Sub(b.filledAt).Seconds()*b.rate.perSecond >= b.capacity
}

// State is the summary of the limits in the diagnostic dump.
type State struct {
	Accounts int `json:"accounts"`
	InFlight int `json:"inFlight"`
}

// State returns the summary of the limits for the diagnostic dump.
func (l *Limiter) State() any {
	var state State
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		state.Accounts += len(s.accounts)
		for _, a := range s.accounts {
			state.InFlight += a.inFlight
		}
		s.mu.Unlock()
	}
	return state
}
