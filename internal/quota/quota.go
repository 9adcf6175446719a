// Package quota limits the use of each workspace to its quota, summed over all
// gateway instances. In this package, an instance is always one of them.
//
// In any window, all instances together may let through rate*window + burst for
// a workspace. One token bucket per workspace enforces this: its capacity plus
// what flows in during one window add up to that amount. Part of the burst is
// spread over the fill rate, so that a workspace which constantly asks for
// slightly more than its rate gets its burst in every window, not just once:
//
//	capacity = immediateBurst * burst
//	fillRate = rate + (1-immediateBurst) * burst/window
//
// Each instance keeps its own view of the bucket. It deducts its own use at once
// and the use of its peers when their reports arrive:
//
//	level = min(capacity, level + fillRate*time) - own use - reported use of peers
//
// Between two rounds of reports all instances could take the same tokens.
// Therefore each instance takes at most its share of the level per round, in
// proportion to its demand.
//
// An instance is silent while its reports do not arrive, and reachable otherwise. A
// silent instance is assumed to use an equal share of what the bucket held when its
// last report arrived, and an equal share of the fill rate. Until its next report,
// the reachable instances use a second, smaller bucket that excludes this share. The
// next report contains what the instance really used, so that the level becomes as
// exact as before the silence.
//
// A process that may have predecessors starts with an almost empty bucket. What
// its predecessors let through and what it lets through itself then fit into one
// window together, without any persisted state. If peers have observed the whole
// window, the process takes over their level instead.
package quota

import (
	"math"
	"sync"
	"time"

	"filbertusher/pkg/usher"
)

const (
	// demandTimeConstant is the time constant of the exponentially decaying
	// estimate of demand.
	demandTimeConstant = 1500 * time.Millisecond
	// silenceTimeout is the age of its last report at which a peer counts as
	// silent here. For the scheduler, package peering marks peers as silent, after a
	// longer time.
	silenceTimeout = 800 * time.Millisecond
	// burstTolerance is the fraction of the tolerated overshoot that is added to
	// the burst. The rest covers reports in transit.
	burstTolerance = 0.4
	// immediateBurst is the fraction of the burst that may be used at once; the
	// rest flows in evenly over a window. A smaller capacity rejects the longest
	// prompts; a larger one rejects workspaces that constantly ask for slightly more
	// than their rate.
	immediateBurst = 0.4
	// evenWeight is the fraction of the level that is divided evenly among the
	// instances, on top of their shares by demand. It lets the first requests of a
	// workspace at an instance fit.
	evenWeight = 0.4
	// demandWeight is the fraction of the level that is divided by demand. The
	// shares of one round may add up to more than the level, because an excess in
	// one round is deducted in the next.
	demandWeight = 1.2
	// longRound is the duration after which the shares of a round add up to no more
	// than the level. A round lasts less than this while all reports arrive and there
	// are at most fullRateInstances. In a longer one an instance may be cut off, and
	// an excess can't be deducted later.
	longRound = 3 * reportInterval
	// fullRateInstances is the largest number of instances that all report every
	// reportInterval. With more instances the interval grows.
	fullRateInstances = 8
	// initialTolerance is the fraction of the tolerated overshoot that the bucket of
	// a process with predecessors starts with. An empty bucket would reject most
	// callers right after all processes restart, when they come back all at once.
	initialTolerance = 0.1
	// reportInterval is the time between two reports of a peer while there are at
	// most fullRateInstances.
	reportInterval = 100 * time.Millisecond
	// learningPeriod is the time after its start in which a process takes over the
	// levels of its peers.
	learningPeriod = time.Second
	// defaultInstances is the number of instances that is assumed until the directory
	// has listed them.
	defaultInstances = 8
)

// Amounts maps workspaces to amounts, in tokens for a workspace that counts tokens
// and in requests for others. The fields of this type say what the amounts measure.
type Amounts map[usher.WorkspaceName]float64

// Report is what an instance reports to its peers.
type Report struct {
	// Incarnation identifies the sender's process, Age is the time since it started,
	// and Used is what it has let through since then. Used only grows while the
	// incarnation stays the same.
	Incarnation usher.Incarnation
	Age         time.Duration
	Used        Amounts
	// Demand is what callers ask for per second.
	Demand Amounts
	// Missing is how much the buckets lack to be full. It is set only by an instance
	// that has observed a whole window, and only in reports to a peer that is
	// Learning; otherwise it is nil. Learning means that the sender still takes over
	// the levels of its peers.
	Missing  Amounts
	Learning bool
}

// Tolerance is by how much the sum over all instances may exceed a quota. In any window
// the sum is at most (Rate*Window + Burst) * (1 + Overage) + Slack, where
// Slack is in tokens and applies only to workspaces that count tokens.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Quota enforces the quotas in one process. It is safe for concurrent use.
type Quota struct {
	mu           sync.Mutex
	now          func() time.Time
	tolerance    Tolerance
	self         usher.Incarnation
	firstProcess bool
	started      time.Time
	// learned is set once a peer has reported its levels.
	learned   bool
	instances int
	buckets   map[usher.WorkspaceName]*bucket
	peers     map[string]*peer
}

// peer is the state of another instance as known here. former is the incarnation of
// its process before the one of report.
type peer struct {
	report  Report
	former  usher.Incarnation
	heardAt time.Time
	// addedAt is when the instance became known. Its silence is counted from then
	// until the first report sets heardAt.
	addedAt time.Time
}

// silence returns the time since the last report of the peer, or since it became
// known.
func (p *peer) silence(now time.Time) time.Duration {
	if p.heardAt.IsZero() {
		return now.Sub(p.addedAt)
	}
	return now.Sub(p.heardAt)
}

// bucket is this instance's view of the token bucket of one workspace. used is what
// this instance has let through since it started, filledAt is when the levels were
// last filled, and rounds is the number of rounds that were started.
type bucket struct {
	// level is the content of the whole bucket, not counting what silent peers may
	// have used.
	level float64
	// reachableLevel is the part of the level that the reachable instances may use,
	// and reachable their fraction of all instances. reachableLevel is in effect only
	// while reachable is below one.
	reachableLevel, reachable float64
	filledAt                  time.Time
	used                      float64
	// fillRate is what flows into the whole bucket per second, and capacity what it
	// holds, both as of the last decision.
	fillRate, capacity float64
	// demand is what callers asked for per second, as of demandAt.
	demand   float64
	demandAt time.Time
	// initialized is set once a request was decided on here, so that the capacity is
	// known. Until then level is relative to a full bucket if fromFull is set, else to
	// an empty one.
	initialized, fromFull bool
	// roundStart is when the current round started, and taken what this instance took
	// in it. In the first round the demand at the peers is not known yet.
	roundStart time.Time
	taken      float64
	rounds     int
}

// supersedes reports whether a report is older than the last one. Reports arrive out of
// order, because replies and calls of two instances cross. Applied late, one would make
// the use since then count twice.
func (p *peer) supersedes(report *Report) bool {
	if report.Incarnation == p.report.Incarnation {
		return report.Age < p.report.Age
	}
	return p.former != "" && report.Incarnation == p.former
}

// New returns a quota with nothing used. firstProcess says that no other process
// served before this one.
func New(tolerance Tolerance, self usher.Incarnation, firstProcess bool, now func() time.Time) *Quota {
	return &Quota{
		now: now, tolerance: tolerance, self: self, firstProcess: firstProcess, started: now(), instances: defaultInstances,
		buckets: make(map[usher.WorkspaceName]*bucket), peers: make(map[string]*peer),
	}
}

// SetInstanceCount sets the number of instances, including this one.
func (q *Quota) SetInstanceCount(instances int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.instances = max(1, instances)
}

// AddPeer adds another instance, which may be serving requests before its first
// report arrives.
func (q *Quota) AddPeer(instance string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.peer(instance)
}

func (q *Quota) peer(instance string) *peer {
	p := q.peers[instance]
	if p == nil {
		p = &peer{addedAt: q.now()}
		q.peers[instance] = p
	}
	return p
}

// Merge applies a report of another instance.
func (q *Quota) Merge(instance string, report Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p := q.peer(instance)
	if p.supersedes(&report) {
		return
	}
	previous := p.report.Used
	silence := p.silence(q.now())
	if p.report.Incarnation != report.Incarnation {
		previous, p.former = nil, p.report.Incarnation
		// The report does not include the use of an earlier process of the instance.
		if unheard := silence - report.Age; unheard > silenceTimeout {
			q.chargeUnreported(unheard)
		}
	} else if silence > silenceTimeout {
		q.restoreShare(silence)
	}
	for workspace, used := range report.Used {
		if more := used - previous[workspace]; more > 0 {
			q.bucket(workspace).charge(more)
		}
	}
	p.report, p.heardAt = report, q.now()
	if q.learning() {
		q.raiseLevels(report.Missing)
	}
}

// learning reports whether this process still takes over the levels of its peers.
func (q *Quota) learning() bool {
	return !q.firstProcess && q.now().Sub(q.started) < learningPeriod
}

// chargeUnreported deducts what an instance may have used between its last report
// and its end: its equal share. No later report will contain this use.
// reachableLevel never included that share.
func (q *Quota) chargeUnreported(silence time.Duration) {
	for _, b := range q.buckets {
		b.level = min(b.level, b.capacity) - (b.fillRate*min(silence, q.tolerance.Window).Seconds()+b.capacity)/float64(q.instances)
	}
}

// restoreShare adds the share that was set aside for a silent instance back to
// reachableLevel when a report of the instance arrives again. That report deducts
// what the instance used of the share.
func (q *Quota) restoreShare(silence time.Duration) {
	for _, b := range q.buckets {
		b.reachableLevel += b.fillRate * silence.Seconds() / float64(q.instances)
	}
}

// raiseLevels raises the levels to those of a peer that was running before this
// process. The peer can't know the last few requests of this process; those are
// few, because the process has just started.
func (q *Quota) raiseLevels(all Amounts) {
	for workspace, missing := range all {
		q.learned = true
		b := q.bucket(workspace)
		switch {
		case b.initialized:
			b.level = max(b.level, b.capacity-missing)
		case b.fromFull:
			b.level = max(b.level, -missing)
		default:
			b.fromFull, b.level = true, -missing
		}
	}
}

// knowsWindow reports whether this process knows what all instances let through
// in the last window.
func (q *Quota) knowsWindow() bool {
	return q.firstProcess || q.learned || q.now().Sub(q.started) > q.tolerance.Window
}

// RemovePeer removes an instance that is no longer a member. It may have served
// requests for a while after its last report.
func (q *Quota) RemovePeer(instance string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.peers[instance]; p != nil {
		if silence := p.silence(q.now()); silence > silenceTimeout {
			q.chargeUnreported(silence)
		}
	}
	delete(q.peers, instance)
}

// allReachable reports whether no instance is silent. The levels do not include
// the use of silent instances.
func (q *Quota) allReachable(now time.Time) bool {
	reachable := 0
	for _, p := range q.peers {
		if now.Sub(p.heardAt) <= silenceTimeout {
			reachable++
		}
	}
	return reachable >= q.instances-1
}

// Report returns the report for a peer. It includes the missing amounts if the peer
// is learning.
func (q *Quota) Report(peerLearning bool) Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	report := Report{Incarnation: q.self, Age: now.Sub(q.started), Learning: q.learning(), Used: make(Amounts, len(q.buckets)), Demand: make(Amounts, len(q.buckets))}
	if peerLearning && q.knowsWindow() && q.allReachable(now) {
		report.Missing = make(Amounts, len(q.buckets))
		for name, b := range q.buckets {
			if missing, known := b.missing(now); known {
				report.Missing[name] = math.Round(missing)
			}
		}
	}
	for name, b := range q.buckets {
		if b.used > 0 {
			report.Used[name] = math.Round(b.used)
		}
		if demand := math.Round(b.currentDemand(now)); demand > 0 {
			report.Demand[name] = demand
		}
	}
	return report
}

// Decision is the result of Check or Take, with the values it was based on.
type Decision struct {
	Allowed bool
	// Level is the content of the bucket in this instance's view, Allowance what the
	// instance may take of it in this round, and Taken what it already took.
	Level, Allowance, Taken float64
	// SilentPeers is the number of instances for which an equal share was set aside.
	SilentPeers int
	// Wait is the time after which a rejected request should fit.
	Wait time.Duration
}

// Cost returns the amount that a request counts for in the workspace's quota.
func Cost(workspace *usher.WorkspaceSpec, metadata *usher.RequestMetadata) float64 {
	switch {
	case !workspace.CountsTokens:
		return 1
	case metadata.CostStated:
		return float64(metadata.Cost.PromptTokens + metadata.Cost.AnswerTokens)
	default:
		return float64(workspace.PlainTokens)
	}
}

// Check adds a request to the demand and checks whether it fits now.
func (q *Quota) Check(workspace *usher.WorkspaceSpec, cost float64) Decision {
	if workspace.Rate <= 0 {
		return Decision{Allowed: true}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.bucket(workspace.Name).addDemand(cost, q.now())
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
	d, b := q.decide(workspace, cost)
	if d.Allowed {
		b.charge(cost)
		b.used += cost
		b.taken += cost
	}
	return d
}

func (q *Quota) decide(workspace *usher.WorkspaceSpec, cost float64) (Decision, *bucket) {
	now := q.now()
	b := q.bucket(workspace.Name)
	reachablePeers, peerDemand, oldest := q.reachablePeers(workspace.Name, now)
	instances := max(q.instances, reachablePeers+1)
	d := Decision{SilentPeers: instances - 1 - reachablePeers}
	reachable := float64(reachablePeers+1) / float64(instances)
	fillRate, capacity := q.bucketSize(workspace)
	b.fillRate, b.capacity = fillRate, capacity
	if !b.initialized {
		// The level already includes the reported use of the peers.
		b.initialized = true
		if b.fromFull {
			b.level += capacity
		} else {
			b.level += initialTolerance * q.overshoot(workspace)
		}
	}
	b.fill(now)
	b.setReachable(reachable)
	b.startRound(now, oldest)
	level := b.level
	if reachable < 1 {
		fillRate, capacity, level = fillRate*reachable, capacity*reachable, min(level, b.reachableLevel)
	}
	d.Level, d.Taken = level, b.taken
	d.Allowance = (max(0, level) + b.taken) * b.share(now, peerDemand, reachablePeers, instances)
	// A request larger than the capacity fits into a full bucket and overdraws it.
	need := min(cost, capacity)
	withinShare := b.taken+cost <= d.Allowance || b.taken == 0
	d.Allowed = level >= need && withinShare
	if !d.Allowed {
		d.Wait = max(reportInterval, time.Duration((need-level)/math.Max(fillRate, 1)*float64(time.Second)))
	}
	return d, b
}

// bucketSize returns the fill rate per second and the capacity of the whole
// bucket.
func (q *Quota) bucketSize(workspace *usher.WorkspaceSpec) (fillRate, capacity float64) {
	burst := workspace.Burst + burstTolerance*q.overshoot(workspace)
	return workspace.Rate + (1-immediateBurst)*burst/q.tolerance.Window.Seconds(), immediateBurst * burst
}

// overshoot returns by how much the tolerance lets the use in a window exceed the
// quota.
func (q *Quota) overshoot(workspace *usher.WorkspaceSpec) float64 {
	overshoot := q.tolerance.Overage * (workspace.Rate*q.tolerance.Window.Seconds() + workspace.Burst)
	if workspace.CountsTokens {
		overshoot += q.tolerance.Slack
	}
	return overshoot
}

// reachablePeers returns the number of peers that are not silent, their demand
// per second, and when the oldest of their last reports arrived.
func (q *Quota) reachablePeers(workspace usher.WorkspaceName, now time.Time) (count int, demand float64, oldest time.Time) {
	oldest = now
	for _, p := range q.peers {
		if now.Sub(p.heardAt) > silenceTimeout {
			continue
		}
		count++
		demand += p.report.Demand[workspace]
		if p.heardAt.Before(oldest) {
			oldest = p.heardAt
		}
	}
	return count, demand, oldest
}

func (q *Quota) bucket(workspace usher.WorkspaceName) *bucket {
	b := q.buckets[workspace]
	if b == nil {
		now := q.now()
		b = &bucket{reachable: 1, filledAt: now, demandAt: now, fromFull: q.firstProcess}
		q.buckets[workspace] = b
	}
	return b
}

// missing returns how much the bucket lacks to be full, and whether that is
// known.
func (b *bucket) missing(now time.Time) (float64, bool) {
	if !b.initialized {
		return max(0, -b.level), b.fromFull
	}
	return max(0, b.capacity-b.level-b.fillRate*now.Sub(b.filledAt).Seconds()), true
}

func (b *bucket) fill(now time.Time) {
	elapsed := now.Sub(b.filledAt).Seconds()
	b.level = min(b.capacity, b.level+b.fillRate*elapsed)
	b.reachableLevel = min(b.capacity*b.reachable, b.reachableLevel+b.fillRate*b.reachable*elapsed)
	b.filledAt = now
}

// setReachable sets the fraction of instances that are reachable. For those that
// have fallen silent it sets aside their share of what the bucket held when the
// round started, because all instances have taken from it since.
func (b *bucket) setReachable(reachable float64) {
	if reachable < b.reachable {
		base := b.level
		if b.reachable < 1 {
			base = min(base, b.reachableLevel)
		}
		b.reachableLevel = (max(0, base)+b.taken)*reachable/b.reachable - b.taken
	}
	b.reachable = reachable
}

func (b *bucket) charge(cost float64) {
	b.level -= cost
	b.reachableLevel -= cost
}

// startRound starts a new round if every peer has reported its use since the
// current one started, or has fallen silent.
func (b *bucket) startRound(now, oldest time.Time) {
	if !oldest.Before(b.roundStart) {
		b.roundStart, b.taken = now, 0
		b.rounds++
	}
}

// share returns the fraction of the level that this instance may take in the
// current round.
func (b *bucket) share(now time.Time, peerDemand float64, reachablePeers, instances int) float64 {
	demand := b.currentDemand(now)
	switch {
	case reachablePeers == 0:
		return 1
	case b.rounds <= 1:
		return 1 / float64(reachablePeers+1)
	case demand+peerDemand <= 0:
		return 1
	}
	share := evenWeight/float64(instances) + demandWeight*demand/(demand+peerDemand)
	if now.Sub(b.roundStart) > longRound*time.Duration((instances+fullRateInstances-1)/fullRateInstances) {
		share /= evenWeight + demandWeight
	}
	return min(1, share)
}

func (b *bucket) addDemand(cost float64, now time.Time) {
	b.demand = b.currentDemand(now) + cost/demandTimeConstant.Seconds()
	b.demandAt = now
}

func (b *bucket) currentDemand(now time.Time) float64 {
	return b.demand * math.Exp(-now.Sub(b.demandAt).Seconds()/demandTimeConstant.Seconds())
}
