// Package quota holds workspaces to what they may use, over all instances.
//
// A workspace's quota is rate*window + burst in any window, over all instances.
// It is kept by one bucket whose size and fill of a window add up to that. A part
// of the burst is in the fill, so that a workspace that asks for a little more
// than its rate all the time gets its burst in every window, and not once:
//
//	size = burstShare * burst    fill = rate + (1-burstShare) * burst/window
//
// Each instance keeps its own view of the bucket: it takes out what it lets
// through at once, and what the others let through when their news arrive.
//
//	level = min(size, level + fill*time) - own use - news of others' use
//
// Between two rounds of news all instances could take the same tokens, so each
// takes no more in a round than its part of the level by demand.
//
// An instance that has fallen silent is left an equal part of what was in the
// bucket when it was last heard, and of the rate. The others keep to a second,
// smaller bucket, the share, until it is heard again. Its news then tell what it
// took, so that the level is as exact as before the silence.
//
// A process that may follow others starts with an empty bucket. What those let
// through before and what it lets through after then fit into one window of
// the rules, without anything that has to be remembered. Where others have seen
// the whole window, it takes over the level that they know instead.
package quota

import (
	"math"
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

const (
	// demandMemory is the time constant with which demand is followed.
	demandMemory = 1500 * time.Millisecond
	// silentAfter is how old news of another instance may be before it counts
	// as silent.
	silentAfter = 800 * time.Millisecond
	// toleranceShare is the part of the rules' tolerance that is added to the
	// burst. The rest covers news that are under way.
	toleranceShare = 0.4
	// burstShare is the part of the burst that may be used at once; the rest comes in
	// evenly over a window. A smaller bucket refuses the longest prompts, a larger
	// one those that ask for a little more than the rate all the time.
	burstShare = 0.4
	// evenPart is divided evenly and added to the parts by demand, so that the
	// first requests of a workspace at an instance fit.
	evenPart = 0.4
	// partFactor is by how much the parts of a round may add up to more than
	// the level; what is passed in one round is missing in the next.
	partFactor = 1.2
	// longRound is how long a round lasts at most while all news arrive and there are
	// few instances. In a longer one somebody may be cut off, and nothing that is
	// passed can be made up for, so that the parts add up to the level.
	longRound = 3 * round
	// fewInstances is up to how many instances news arrive every round.
	fewInstances = 8
	// headStart is the part of the tolerance with which the bucket of a process
	// begins that follows others. Callers come back all at once then.
	headStart = 0.1
	// round is how often news arrive while there are few instances.
	round = 100 * time.Millisecond
	// learningTime is for how long after its start a process takes over what the
	// others know.
	learningTime = time.Second
	// assumedMembers is how many instances there are taken to be until the
	// directory tells.
	assumedMembers = 8
)

// Used is what an instance has let through since it started, by workspace.
type Used map[usher.WorkspaceName]float64

// News is what an instance tells the others.
type News struct {
	// Used only grows as long as the incarnation stays, which is Age old.
	Incarnation usher.Incarnation
	Age         time.Duration
	Used        Used
	// Demand is what callers ask for a second.
	Demand Used
	// Missing is what is missing in the buckets until they are full, from an
	// instance that has seen a whole window and for one that is Learning; otherwise
	// nil.
	Missing  Used
	Learning bool
}

// Rules are by how much the sum over all instances may pass a quota in any
// window: in all (Rate*Window + Burst) * (1 + Overage) + Slack.
type Rules struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Quota is the state of one process. It is safe for concurrent use.
type Quota struct {
	mu      sync.Mutex
	now     func() time.Time
	rules   Rules
	self    usher.Incarnation
	fresh   bool
	started time.Time
	// informed is set once another instance has told its levels.
	informed bool
	members  int
	accounts map[usher.WorkspaceName]*account
	peers    map[string]*peer
}

// peer is what is known of another instance.
type peer struct {
	news News
	seen time.Time
	// expected is since when there has been such an instance.
	expected time.Time
}

// silence is how long the instance has not been heard.
func (p *peer) silence(now time.Time) time.Duration {
	if p.seen.IsZero() {
		return now.Sub(p.expected)
	}
	return now.Sub(p.seen)
}

// account is this instance's view of one workspace's bucket.
type account struct {
	// level is what the whole bucket holds if the silent take nothing.
	level float64
	// share is what those that are heard may take of it, and reach their part of
	// all instances. The share counts only while reach is below one.
	share, reach float64
	filled       time.Time
	used         float64
	// fills is what comes into the whole bucket a second, and size what it holds,
	// when it was last used.
	fills, size float64
	// demand is a second's worth, as of measured.
	demand   float64
	measured time.Time
	// begun is set once this instance was asked and knows the bucket's size. Until
	// then the level is counted from a full bucket if fromFull is set, else from an
	// empty one.
	begun, fromFull bool
	// began is when the round began, and taken what was taken in it. In the first
	// round the demand at others is not known yet.
	began  time.Time
	taken  float64
	rounds int
}

// New returns a quota with nothing used. fresh says that no other process
// served before this one.
func New(rules Rules, self usher.Incarnation, fresh bool, now func() time.Time) *Quota {
	return &Quota{
		now: now, rules: rules, self: self, fresh: fresh, started: now(), members: assumedMembers,
		accounts: make(map[usher.WorkspaceName]*account), peers: make(map[string]*peer),
	}
}

// SetMembers tells how many instances there are, this one included.
func (q *Quota) SetMembers(members int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.members = max(1, members)
}

// Expect tells that there is another instance, which may be serving without
// being heard.
func (q *Quota) Expect(instance string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.peer(instance)
}

func (q *Quota) peer(instance string) *peer {
	known := q.peers[instance]
	if known == nil {
		known = &peer{expected: q.now()}
		q.peers[instance] = known
	}
	return known
}

// Heard takes in the news of another instance.
func (q *Quota) Heard(instance string, news News) {
	q.mu.Lock()
	defer q.mu.Unlock()
	known := q.peer(instance)
	before := known.news.Used
	silence := known.silence(q.now())
	if known.news.Incarnation != news.Incarnation {
		before = nil
		// The news leave out what an earlier process of the instance used.
		if unheard := silence - news.Age; unheard > silentAfter {
			q.chargeUnheard(unheard)
		}
	} else if silence > silentAfter {
		q.rejoin(silence)
	}
	for workspace, used := range news.Used {
		// News may overtake one another.
		if more := used - before[workspace]; more > 0 {
			q.account(workspace).charge(more)
		} else if more < 0 {
			news.Used[workspace] = before[workspace]
		}
	}
	known.news, known.seen = news, q.now()
	if q.learning() {
		q.takeOver(news.Missing)
	}
}

// learning says whether this process still takes over what the others know.
func (q *Quota) learning() bool { return !q.fresh && q.now().Sub(q.started) < learningTime }

// chargeUnheard takes out what an instance may have used that was not heard for a
// while and is gone since: its equal part. Nobody will tell of it. The share never
// held that part.
func (q *Quota) chargeUnheard(silence time.Duration) {
	for _, a := range q.accounts {
		a.level = min(a.level, a.size) - (a.fills*min(silence, q.rules.Window).Seconds()+a.size)/float64(q.members)
	}
}

// rejoin adds to the shares what an instance was left that is heard again. Its
// news take out what it used of that.
func (q *Quota) rejoin(silence time.Duration) {
	for _, a := range q.accounts {
		a.share += a.fills * silence.Seconds() / float64(q.members)
	}
}

// takeOver raises levels to what an instance knows that was there before this
// one. It can't have heard of the last few requests of this process; those are
// few in a process that has just started.
func (q *Quota) takeOver(all Used) {
	for workspace, missing := range all {
		q.informed = true
		a := q.account(workspace)
		switch {
		case a.begun:
			a.level = max(a.level, a.size-missing)
		case a.fromFull:
			a.level = max(a.level, -missing)
		default:
			a.fromFull, a.level = true, -missing
		}
	}
}

// experienced says whether this process knows what was let through in the last
// window.
func (q *Quota) experienced() bool {
	return q.fresh || q.informed || q.now().Sub(q.started) > q.rules.Window
}

// Forget drops an instance that is no longer a member. It may have gone on for a
// while after its last news.
func (q *Quota) Forget(instance string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if known := q.peers[instance]; known != nil {
		if silence := known.silence(q.now()); silence > silentAfter {
			q.chargeUnheard(silence)
		}
	}
	delete(q.peers, instance)
}

// hearsAll says whether all members are heard. What others have used that are not
// is not in the levels.
func (q *Quota) hearsAll(now time.Time) bool {
	heard := 0
	for _, known := range q.peers {
		if now.Sub(known.seen) <= silentAfter {
			heard++
		}
	}
	return heard >= q.members-1
}

// News returns what another instance should know that is learning or not.
func (q *Quota) News(learning bool) News {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	news := News{Incarnation: q.self, Age: now.Sub(q.started), Learning: q.learning(), Used: make(Used, len(q.accounts)), Demand: make(Used, len(q.accounts))}
	if learning && q.experienced() && q.hearsAll(now) {
		news.Missing = make(Used, len(q.accounts))
		for name, a := range q.accounts {
			if missing, known := a.missing(now); known {
				news.Missing[name] = math.Round(missing)
			}
		}
	}
	for name, a := range q.accounts {
		if a.used > 0 {
			news.Used[name] = math.Round(a.used)
		}
		if d := math.Round(a.demandNow(now)); d > 0 {
			news.Demand[name] = d
		}
	}
	return news
}

// Decision is the outcome of Take with its inputs.
type Decision struct {
	Allowed bool
	// Level is what is in the bucket by this instance's view, Allowance what it
	// may take of it in this round, and Taken what it has.
	Level, Allowance, Taken float64
	// Silent is how many instances were left an equal part.
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
		a.charge(cost)
		a.used += cost
		a.taken += cost
	}
	return d
}

func (q *Quota) decide(workspace *usher.WorkspaceSpec, cost float64) (Decision, *account) {
	now := q.now()
	a := q.account(workspace.Name)
	heard, others, oldest := q.others(workspace.Name, now)
	members := max(q.members, heard+1)
	d := Decision{Silent: members - 1 - heard}
	reach := float64(heard+1) / float64(members)
	fills, size := q.bucket(workspace)
	a.fills, a.size = fills, size
	if !a.begun {
		// What was heard of the others' use before is in the level already.
		a.begun = true
		if a.fromFull {
			a.level += size
		} else {
			a.level += headStart * q.tolerance(workspace)
		}
	}
	a.fill(now)
	a.hear(reach)
	a.turn(now, oldest)
	level := a.level
	if reach < 1 {
		fills, size, level = fills*reach, size*reach, min(level, a.share)
	}
	d.Level, d.Taken = level, a.taken
	d.Allowance = (max(0, level) + a.taken) * a.part(now, others, heard, members)
	// A request larger than the bucket fits into a full one and overdraws it.
	need := min(cost, size)
	inPart := a.taken+cost <= d.Allowance || a.taken == 0
	d.Allowed = level >= need && inPart
	if !d.Allowed {
		d.Wait = max(round, time.Duration((need-level)/math.Max(fills, 1)*float64(time.Second)))
	}
	return d, a
}

// bucket returns what comes into the whole bucket a second, and what it holds.
func (q *Quota) bucket(workspace *usher.WorkspaceSpec) (fills, size float64) {
	burst := workspace.Burst + toleranceShare*q.tolerance(workspace)
	return workspace.Rate + (1-burstShare)*burst/q.rules.Window.Seconds(), burstShare * burst
}

// tolerance is by how much the rules let the quota be passed in a window.
func (q *Quota) tolerance(workspace *usher.WorkspaceSpec) float64 {
	tolerance := q.rules.Overage * (workspace.Rate*q.rules.Window.Seconds() + workspace.Burst)
	if workspace.CountsTokens {
		tolerance += q.rules.Slack
	}
	return tolerance
}

// others returns how many instances are heard, what is asked of them, and when
// the oldest of their news came.
func (q *Quota) others(workspace usher.WorkspaceName, now time.Time) (heard int, demand float64, oldest time.Time) {
	oldest = now
	for _, known := range q.peers {
		if now.Sub(known.seen) > silentAfter {
			continue
		}
		heard++
		demand += known.news.Demand[workspace]
		if known.seen.Before(oldest) {
			oldest = known.seen
		}
	}
	return heard, demand, oldest
}

func (q *Quota) account(workspace usher.WorkspaceName) *account {
	a := q.accounts[workspace]
	if a == nil {
		now := q.now()
		a = &account{reach: 1, filled: now, measured: now, fromFull: q.fresh}
		q.accounts[workspace] = a
	}
	return a
}

// missing is what is missing until the bucket is full, as far as that is known.
func (a *account) missing(now time.Time) (float64, bool) {
	if !a.begun {
		return max(0, -a.level), a.fromFull
	}
	return max(0, a.size-a.level-a.fills*now.Sub(a.filled).Seconds()), true
}

func (a *account) fill(now time.Time) {
	passed := now.Sub(a.filled).Seconds()
	a.level = min(a.size, a.level+a.fills*passed)
	a.share = min(a.size*a.reach, a.share+a.fills*a.reach*passed)
	a.filled = now
}

// hear notes which part of all instances is heard now. Those that have fallen
// silent are left their part of what was in the bucket when the round began,
// because all took of it since.
func (a *account) hear(reach float64) {
	if reach < a.reach {
		base := a.level
		if a.reach < 1 {
			base = min(base, a.share)
		}
		a.share = (max(0, base)+a.taken)*reach/a.reach - a.taken
	}
	a.reach = reach
}

func (a *account) charge(cost float64) {
	a.level -= cost
	a.share -= cost
}

// turn begins a new round when all others have told their use since the last one
// began, or have fallen silent.
func (a *account) turn(now, oldest time.Time) {
	if !oldest.Before(a.began) {
		a.began, a.taken = now, 0
		a.rounds++
	}
}

// part is the part of the level that this instance may take in a round.
func (a *account) part(now time.Time, others float64, heard, members int) float64 {
	own := a.demandNow(now)
	switch {
	case heard == 0:
		return 1
	case a.rounds <= 1:
		return 1 / float64(heard+1)
	case own+others <= 0:
		return 1
	}
	part := evenPart/float64(members) + partFactor*own/(own+others)
	if now.Sub(a.began) > longRound*time.Duration((members+fewInstances-1)/fewInstances) {
		part /= evenPart + partFactor
	}
	return min(1, part)
}

func (a *account) ask(cost float64, now time.Time) {
	a.demand = a.demandNow(now) + cost/demandMemory.Seconds()
	a.measured = now
}

func (a *account) demandNow(now time.Time) float64 {
	return a.demand * math.Exp(-now.Sub(a.measured).Seconds()/demandMemory.Seconds())
}
