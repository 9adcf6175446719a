// Package quota holds workspaces to what they may use, over all instances.
//
// A workspace's quota is a bucket that fills at its rate up to its burst. Each
// instance holds a part of the bucket and asks nobody when it takes from it:
//
//	part = evenShare/members + (1-evenShare) * own demand / demand of all
//
// Demand travels on the news between instances. An instance that has fallen
// silent keeps an equal part, so that instances that can't hear one another
// stay below the quota together. A process that may follow others starts with
// an empty bucket: what those let through before, and what it lets through
// after, then fit into one window without anything that is remembered.
package quota

import (
	"math"
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

const (
	// evenShare is the part of a quota that is divided evenly whatever the
	// demand is, so that a workspace's first requests at an instance fit.
	evenShare = 0.15
	// demandMemory is the time constant with which demand is followed.
	demandMemory = 1500 * time.Millisecond
	// silentAfter is how old news of another instance may be before it counts
	// as silent.
	silentAfter = 1200 * time.Millisecond
	// rateReserve and slackReserve are the parts of the rules' tolerance that
	// are used. The rest covers parts that don't add up while demand moves.
	rateReserve  = 0.04
	slackReserve = 0.4
	// assumedMembers is how many instances there are taken to be until the
	// directory tells.
	assumedMembers = 8
)

// Demand is what callers ask of one instance, a second, by workspace.
type Demand map[usher.WorkspaceName]float64

// Rules are the tolerance beyond rate and burst.
type Rules struct {
	Slack float64
}

// Quota is the state of one process. It is safe for concurrent use.
type Quota struct {
	mu       sync.Mutex
	now      func() time.Time
	rules    Rules
	fresh    bool
	members  int
	accounts map[usher.WorkspaceName]*account
	peers    map[string]peerDemand
}

type peerDemand struct {
	demand Demand
	seen   time.Time
}

// account is this instance's part of one workspace's bucket.
type account struct {
	level  float64
	filled time.Time
	// demand is a second's worth, as of measured.
	demand   float64
	measured time.Time
}

// New returns a quota with nothing used. fresh says that no other process
// served before this one.
func New(rules Rules, fresh bool, now func() time.Time) *Quota {
	return &Quota{
		now: now, rules: rules, fresh: fresh, members: assumedMembers,
		accounts: make(map[usher.WorkspaceName]*account), peers: make(map[string]peerDemand),
	}
}

// SetMembers tells how many instances there are, this one included.
func (q *Quota) SetMembers(members int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.members = max(1, members)
}

// Heard takes in the demand at another instance.
func (q *Quota) Heard(instance string, demand Demand) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.peers[instance] = peerDemand{demand: demand, seen: q.now()}
}

// Forget drops an instance that is no longer a member.
func (q *Quota) Forget(instance string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.peers, instance)
}

// Demand returns what callers ask of this instance.
func (q *Quota) Demand() Demand {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	demand := make(Demand, len(q.accounts))
	for name, a := range q.accounts {
		if d := a.demandNow(now); d > 1 {
			demand[name] = d
		}
	}
	return demand
}

// Decision is the outcome of Take with its inputs.
type Decision struct {
	Allowed bool
	// Part is this instance's part of the quota, Level what is in its bucket.
	Part, Level float64
	// Silent is how many instances were taken to use their equal part.
	Silent int
	// Wait is after what time the request should fit.
	Wait time.Duration
}

// Cost returns what a request counts for in the workspace's quota.
func Cost(workspace *usher.WorkspaceSpec, call *usher.CallHead) float64 {
	switch {
	case !workspace.CountsTokens:
		return 1
	case call.Counted:
		return float64(call.Cost.PromptTokens + call.Cost.AnswerTokens)
	default:
		return float64(workspace.PlainTokens)
	}
}

// Ask notes that a caller asks for a request, and says whether it fits now.
func (q *Quota) Ask(workspace *usher.WorkspaceSpec, cost float64) Decision {
	if workspace.Rate <= 0 {
		return Decision{Allowed: true}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.account(workspace.Name).ask(cost, q.now())
	d, _ := q.decide(workspace, cost)
	return d
}

// Take charges a request to the workspace if it fits.
func (q *Quota) Take(workspace *usher.WorkspaceSpec, cost float64) Decision {
	if workspace.Rate <= 0 {
		return Decision{Allowed: true}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	d, a := q.decide(workspace, cost)
	if d.Allowed {
		a.level -= cost
	}
	return d
}

func (q *Quota) decide(workspace *usher.WorkspaceSpec, cost float64) (Decision, *account) {
	now := q.now()
	a := q.account(workspace.Name)
	d := Decision{}
	d.Part, d.Silent = q.part(workspace.Name, a, now)
	rate := workspace.Rate * (1 + rateReserve) * d.Part
	most := (workspace.Burst + slackReserve*q.rules.Slack) * d.Part
	a.fill(rate, most, now)
	d.Level = a.level
	// A request that is larger than the whole part fits into a full one and
	// overdraws it; what it owes is paid back before the next.
	need := min(cost, most)
	d.Allowed = a.level >= need
	if !d.Allowed {
		d.Wait = time.Duration((need - a.level) / math.Max(rate, 1) * float64(time.Second))
	}
	return d, a
}

// part returns the part of the workspace's quota that belongs to this instance.
func (q *Quota) part(workspace usher.WorkspaceName, a *account, now time.Time) (float64, int) {
	heard, others := 0, 0.0
	for _, peer := range q.peers {
		if now.Sub(peer.seen) > silentAfter {
			continue
		}
		heard++
		others += peer.demand[workspace]
	}
	members := float64(max(q.members, heard+1))
	silent := int(members) - 1 - heard
	// What is not set aside for silent instances is divided among the rest.
	pool := 1 - float64(silent)/members
	own := a.demandNow(now)
	wanted := 1 / float64(heard+1)
	if own+others > 0 {
		wanted = own / (own + others)
	}
	return evenShare/members + (pool-evenShare*float64(heard+1)/members)*wanted, silent
}

func (q *Quota) account(workspace usher.WorkspaceName) *account {
	a := q.accounts[workspace]
	if a == nil {
		now := q.now()
		a = &account{filled: now, measured: now}
		if q.fresh {
			// fill cuts it down to the part's size.
			a.level = math.MaxFloat64
		}
		q.accounts[workspace] = a
	}
	return a
}

func (a *account) fill(rate, most float64, now time.Time) {
	a.level = min(most, a.level+rate*now.Sub(a.filled).Seconds())
	a.filled = now
}

func (a *account) ask(cost float64, now time.Time) {
	a.demand = a.demandNow(now) + cost/demandMemory.Seconds()
	a.measured = now
}

func (a *account) demandNow(now time.Time) float64 {
	return a.demand * math.Exp(-now.Sub(a.measured).Seconds()/demandMemory.Seconds())
}
