// Package quota holds workspaces to what they may use, over all instances.
//
// Each process counts what it lets through in a sliding window and tells the
// others. What the others use is subtracted from the limit; an instance that
// has fallen silent is taken to use its equal share, so that instances that
// can't hear one another stay below the limit together.
package quota

import (
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

const (
	// buckets is into how many parts the window is divided.
	buckets = 32
	// silentAfter is how old news of another instance may be before its equal
	// share takes the place of what it told.
	silentAfter = 1200 * time.Millisecond
	// reserve is the part of the limit by which the sum may pass it, and stays
	// below the tolerance of the rules.
	reserve = 0.04
)

// Use is what one instance has let through of one workspace within the window.
type Use map[usher.WorkspaceName]float64

// Quota is the state of one process. It is safe for concurrent use.
type Quota struct {
	mu      sync.Mutex
	now     func() time.Time
	window  time.Duration
	started time.Time
	// inherited is set where predecessors of this process may have used up the
	// window before it began.
	inherited bool
	members   int
	used      map[usher.WorkspaceName]*sliding
	peers     map[string]peerUse
}

type peerUse struct {
	use  Use
	seen time.Time
}

// sliding counts in buckets of a window's part each.
type sliding struct {
	counts [buckets]float64
	sum    float64
	// at is the number of the newest bucket.
	at int64
}

// New returns a quota with nothing used. inherited says that the process may
// follow others whose use it can't know.
func New(window time.Duration, inherited bool, now func() time.Time) *Quota {
	return &Quota{
		now: now, window: window, started: now(), inherited: inherited, members: 1,
		used:  make(map[usher.WorkspaceName]*sliding),
		peers: make(map[string]peerUse),
	}
}

// SetMembers tells how many instances there are, this one included.
func (q *Quota) SetMembers(members int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.members = max(1, members)
}

// Heard takes in what another instance has used.
func (q *Quota) Heard(instance string, use Use) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.peers[instance] = peerUse{use: use, seen: q.now()}
}

// Forget drops an instance that is no longer a member.
func (q *Quota) Forget(instance string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.peers, instance)
}

// Used returns what this process has let through within the window.
func (q *Quota) Used() Use {
	q.mu.Lock()
	defer q.mu.Unlock()
	use := make(Use, len(q.used))
	for name, s := range q.used {
		s.advance(q.bucket())
		if s.sum > 0 {
			use[name] = s.sum
		}
	}
	return use
}

// Decision is the outcome of Take with its inputs.
type Decision struct {
	Allowed bool
	// Own and Others are what is used already, Limit what may be.
	Own, Others, Limit float64
	// Wait is after what time the request should fit.
	Wait time.Duration
	// Silent is how many instances were charged their equal share.
	Silent int
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

// Take charges a request to the workspace if its quota allows it.
func (q *Quota) Take(workspace *usher.WorkspaceSpec, cost float64) Decision {
	return q.decide(workspace, cost, true)
}

// Check says what Take would.
func (q *Quota) Check(workspace *usher.WorkspaceSpec, cost float64) Decision {
	return q.decide(workspace, cost, false)
}

func (q *Quota) decide(workspace *usher.WorkspaceSpec, cost float64, charge bool) Decision {
	if workspace.Rate <= 0 {
		return Decision{Allowed: true}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.used[workspace.Name]
	if s == nil {
		s = &sliding{at: q.bucket()}
		q.used[workspace.Name] = s
	}
	s.advance(q.bucket())
	d := Decision{Own: s.sum, Limit: (workspace.Rate*q.window.Seconds() + workspace.Burst) * (1 + reserve)}
	d.Others, d.Silent = q.others(workspace.Name, d.Limit)
	d.Others += q.before(d.Limit)
	d.Allowed = d.Own+d.Others+cost <= d.Limit
	if d.Allowed && charge {
		s.add(cost)
	}
	if !d.Allowed {
		over := d.Own + d.Others + cost - d.Limit
		d.Wait = time.Duration(over / workspace.Rate * float64(time.Second))
	}
	return d
}

// others returns what the other instances are taken to use.
func (q *Quota) others(workspace usher.WorkspaceName, limit float64) (float64, int) {
	share := limit / float64(q.members)
	sum, heard := 0.0, 0
	now := q.now()
	for _, peer := range q.peers {
		if now.Sub(peer.seen) > silentAfter {
			continue
		}
		heard++
		sum += peer.use[workspace]
	}
	silent := max(0, q.members-1-heard)
	return sum + float64(silent)*share, silent
}

// before returns what predecessors of this process may have used within the
// window: the process's equal share, which leaves the window evenly.
func (q *Quota) before(limit float64) float64 {
	if !q.inherited {
		return 0
	}
	left := 1 - q.now().Sub(q.started).Seconds()/q.window.Seconds()
	return max(0, left) * limit / float64(q.members) * predecessorUse
}

// predecessorUse is the part of its share that a process is taken to have used
// before it was replaced. Quotas are usually sized well above the demand.
const predecessorUse = 0.7

func (q *Quota) bucket() int64 { return q.now().UnixNano() / int64(q.window/buckets) }

func (s *sliding) advance(to int64) {
	if to-s.at >= buckets {
		*s = sliding{at: to}
		return
	}
	for s.at < to {
		s.at++
		slot := &s.counts[s.at%buckets]
		s.sum -= *slot
		*slot = 0
	}
}

func (s *sliding) add(cost float64) {
	s.counts[s.at%buckets] += cost
	s.sum += cost
}
