// Package limit holds workspaces to the limits of the preset in force: requests
// and tokens a second, and requests in flight, for each tier.
//
// The limits hold for the sum over all entries, but an entry asks nobody: it
// enforces its part, which is the limit divided by the number of live entries.
// That number rides on the companions' replies. docs/design/decisions.md says
// how far the sum can be off and for how long.
package limit

import (
	"math"
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

// Limits is the state of one entry. It implements no interface, because every
// entry has exactly one.
//
// The buckets are spread over shards by workspace, so that two requests rarely
// meet at a mutex; the state of one workspace and tier is small and a request
// holds the mutex for a few additions.
type Limits struct {
	now    func() time.Time
	shards [shardCount]shard
}

const (
	shardCount = 64
	// burstTime is how much of its rate a workspace may save up.
	burstTime = time.Second
	// idleAccounts is how many accounts a shard keeps before it drops those
	// that hold nothing: at 64 shards 65,000 in an entry.
	idleAccounts = 1024
)

type shard struct {
	mu       sync.Mutex
	accounts map[account]*usage
}

// account is what limits are kept for.
type account struct {
	workspace usher.WorkspaceName
	tier      usher.TierName
}

// usage is what an account has used.
type usage struct {
	requests bucket
	tokens   bucket
	inFlight int
}

// bucket is a token bucket that may be overdrawn by one request, because a
// ledger can cost more tokens than the burst holds. What it owes is paid back
// before the next request is let in.
type bucket struct {
	balance float64
	filled  time.Time
	// rate and most are those of the last use.
	rate rate
	most float64
}

// New returns limits without any usage.
func New() *Limits {
	l := &Limits{now: time.Now}
	for i := range l.shards {
		l.shards[i].accounts = make(map[account]*usage)
	}
	return l
}

// Permit is the right of one request to run. Release has to be called once.
type Permit struct {
	limits  *Limits
	account account
	counted bool
}

// Take lets a request in or says why not. entries is how many live entries
// share the limits.
func (l *Limits) Take(header *usher.RequestHeader, limits usher.TierLimits, entries float64) (Permit, *usher.Refusal) {
	if limits.RequestsPerSecond == 0 && limits.TokensPerSecond == 0 && limits.Concurrency == 0 {
		return Permit{}, nil
	}
	entries = max(1, entries)
	key := account{workspace: header.Workspace, tier: header.Tier}
	s := l.shard(header.Workspace)
	now := l.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.usage(key, now)
	most := part(limits.Concurrency, entries)
	if limits.Concurrency > 0 && u.inFlight >= most {
		return Permit{}, limited("too many requests of the workspace are in flight", time.Second)
	}
	requests := rate{perSecond: limits.RequestsPerSecond / entries, least: 1}
	tokens := rate{perSecond: limits.TokensPerSecond / entries, least: 1}
	if wait := u.requests.wait(requests, now); wait > 0 {
		return Permit{}, limited("the workspace is over its requests a second", wait)
	}
	if wait := u.tokens.wait(tokens, now); wait > 0 {
		return Permit{}, limited("the workspace is over its tokens a second", wait)
	}
	u.requests.balance--
	u.tokens.balance -= float64(header.Cost.PromptTokens + header.Cost.AnswerTokens)
	u.inFlight++
	return Permit{limits: l, account: key, counted: true}, nil
}

// part is an entry's part of a count, rounded up so that every entry can serve
// something.
func part(count int, entries float64) int {
	return int(math.Ceil(float64(count) / entries))
}

func limited(message string, wait time.Duration) *usher.Refusal {
	return usher.NewRefusal(usher.RefusalLimited, message).WithRetryAfter(wait)
}

// Release gives the permit of a request that ended back.
func (p Permit) Release() {
	if !p.counted {
		return
	}
	s := p.limits.shard(p.account.workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	if u, ok := s.accounts[p.account]; ok {
		u.inFlight--
	}
}

// rate is how fast a bucket fills, and the least it can hold.
type rate struct{ perSecond, least float64 }

// wait fills the bucket and returns how long it takes until it may be drawn
// on, or 0 when it may be now.
func (b *bucket) wait(r rate, now time.Time) time.Duration {
	if r.perSecond == 0 {
		return 0
	}
	b.rate, b.most = r, max(r.least, r.perSecond*burstTime.Seconds())
	if b.filled.IsZero() {
		b.balance = b.most
	} else {
		b.balance = min(b.most, b.balance+now.Sub(b.filled).Seconds()*r.perSecond)
	}
	b.filled = now
	if b.balance >= r.least {
		return 0
	}
	return time.Duration((r.least - b.balance) / r.perSecond * float64(time.Second))
}

func (l *Limits) shard(name usher.WorkspaceName) *shard {
	// FNV-1a, which needs no allocation.
	hash := uint32(2166136261)
	for i := range len(name) {
		hash = (hash ^ uint32(name[i])) * 16777619
	}
	return &l.shards[hash%shardCount]
}

func (s *shard) usage(key account, now time.Time) *usage {
	if u, ok := s.accounts[key]; ok {
		return u
	}
	if len(s.accounts) >= idleAccounts {
		s.forgetIdle(now)
	}
	u := &usage{}
	s.accounts[key] = u
	return u
}

// forgetIdle drops accounts without requests in flight whose buckets are full
// again, so that a workspace gains nothing by being forgotten.
func (s *shard) forgetIdle(now time.Time) {
	for key, u := range s.accounts {
		if u.inFlight == 0 && u.requests.restored(now) && u.tokens.restored(now) {
			delete(s.accounts, key)
		}
	}
}

// restored says whether a bucket is full by now, as a new one would be.
func (b *bucket) restored(now time.Time) bool {
	return b.filled.IsZero() || b.balance+now.Sub(b.filled).Seconds()*b.rate.perSecond >= b.most
}

// State is the limits' part of the dump.
type State struct {
	Accounts int `json:"accounts"`
	InFlight int `json:"inFlight"`
}

// State returns the limits' part of the dump.
func (l *Limits) State() any {
	var state State
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		state.Accounts += len(s.accounts)
		for _, u := range s.accounts {
			state.InFlight += u.inFlight
		}
		s.mu.Unlock()
	}
	return state
}
