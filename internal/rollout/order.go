package rollout

import (
	"cmp"
	"time"

	"filbertusher/internal/boottime"
	"filbertusher/pkg/usher"
)

const (
	// defaultDuration is that of an order that states none.
	defaultDuration = time.Minute
	// learningTime is how long a process that learns of an order in progress waits for its
	// peers' reports before it sends candidates requests.
	learningTime = 2 * time.Second
	// rampTime is how long the candidates get rampShare at the start of a hand-over, in
	// which a version that fails under load shows it.
	rampTime = 2 * time.Second
	// reportDelay is the time in which a report of one instance reaches the others.
	reportDelay = time.Second
	// writeSpread spreads the writes of instances that decide the same, most of which then
	// find it recorded. That of completions is short because the deadline is near.
	writeSpread          = time.Second
	completedWriteSpread = 300 * time.Millisecond
	// writeTime is the time for recording a state.
	writeTime = 500 * time.Millisecond
	// undecidedLead is the time before the deadline at which an order without a verdict is
	// rolled back.
	undecidedLead = 2 * time.Second
	// minObservedFraction is the part of an order's duration for which candidates are
	// observed at least.
	minObservedFraction = 0.6
	// minCapacityRatio is the number of the candidates' slots by that of the current
	// endpoints below which the traffic is not handed over.
	minCapacityRatio = 0.75
	// maxInterruptedFraction bounds the attempts at old endpoints that may be interrupted
	// to complete an order by its deadline, by those that ran when the hand-over began.
	maxInterruptedFraction = 0.02
)

// stage is how far an order has come at this instance.
type stage string

const (
	stageObserving   stage = "observing"
	stageHandingOver stage = "handingOver"
	// stageCompleted is entered when the directory holds that state, and stageRolledBack by
	// a verdict of any instance or the directory.
	stageCompleted  stage = "completed"
	stageRolledBack stage = "rolledBack"
)

// order is one order for a service.
type order struct {
	usher.RolloutOrder
	// first is the first known version of the stored order. Orders for the same target
	// whose ranges of versions overlap are one.
	first usher.Version
	// startedAt is the earliest time at which any instance knew the order. isAgeKnown is
	// unset if the order was in progress when this process learned of it and no peer has
	// told its age.
	startedAt    boottime.Time
	isAgeKnown   bool
	learnedAt    boottime.Time
	stage        stage
	stageAt      boottime.Time
	why          string
	isRedundant  bool
	runningAtEnd int
	exposure     exposure
	evidence     Evidence
	reference    reference
	baseline     baseline
	judgedAt     boottime.Time
	verdict      verdict
	// isIsolated is set if no peer was heard of for so long that a verdict may be unknown.
	isIsolated bool
	// dueAt is when this instance knew that the state due should be recorded.
	due   usher.RolloutState
	dueAt boottime.Time
	// candidates is the number of candidates that Pools returned, targets that of the buckets
	// of all endpoints of the target, and candidateSlots and currentSlots are the slots of
	// these and of the version in force.
	candidates, targets, candidateSlots, currentSlots int
	rotation                                          int
	// isSwitched is set if Pools last returned no endpoints beside the target in a hand-over,
	// and isHandedOver if that was in force by the last call of Decide: no more attempts begin
	// at old endpoints.
	isSwitched, isHandedOver bool
	warmAt                   map[usher.EndpointName]boottime.Time
}

func (o *order) recorded() usher.RolloutState {
	if o.StateTarget != o.Target {
		return usher.RolloutNew
	}
	return o.State
}

func (o *order) isTerminal() bool { return o.stage == stageCompleted || o.stage == stageRolledBack }

func (o *order) age(now boottime.Time) time.Duration { return now.Sub(o.startedAt) }

func (o *order) duration() time.Duration {
	if o.Duration <= 0 {
		return defaultDuration
	}
	return o.Duration
}

// isLearning reports whether peers may still tell how far the order has come.
func (o *order) isLearning(now boottime.Time) bool {
	return !o.isAgeKnown && now.Sub(o.learnedAt) < learningTime
}

func (o *order) isRamping(now boottime.Time) bool {
	return o.stage == stageHandingOver && now.Sub(o.stageAt) < rampTime
}

func (o *order) enter(next stage, at boottime.Time, why string) {
	o.stage, o.stageAt, o.why = next, at, why
}

// SetOrders replaces the orders by those that the directory holds.
func (t *Table) SetOrders(orders []usher.RolloutOrder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	if len(orders) == 0 {
		clear(t.peers)
	}
	ordered := make(map[usher.ServiceName]bool, len(orders))
	for _, stored := range orders {
		ordered[stored.Service] = true
		t.setOrder(now, stored)
	}
	for name, s := range t.services {
		if s.order != nil && !ordered[name] {
			s.order = nil
			t.poolsOutdated = true
		}
	}
}

func (t *Table) setOrder(now boottime.Time, stored usher.RolloutOrder) {
	s := t.service(stored.Service)
	o := s.order
	if o != nil && stored.Written < o.Written {
		return
	}
	if o == nil || o.Target != stored.Target || isRenewed(o, stored) {
		o = t.newOrder(now, s, stored)
		s.order = o
		t.poolsOutdated = true
	}
	o.RolloutOrder = stored
	switch o.recorded() {
	case usher.RolloutCompleted:
		if o.stage != stageCompleted {
			t.complete(s, now)
		}
	case usher.RolloutRolledBack:
		// A completed order stays completed if the store went back.
		switch o.stage {
		case stageCompleted:
		case stageRolledBack:
			t.reject(s)
		default:
			t.rollBack(s, now, "recorded by another instance")
		}
	}
	t.adoptReports(now, stored.Service, s)
}

// isRenewed reports whether stored is a new order for the target of o. If the store went
// back to an earlier state, the state that it lost stays in force.
func isRenewed(o *order, stored usher.RolloutOrder) bool {
	isNew := stored.StateTarget != stored.Target || stored.State == usher.RolloutNew
	return isNew && stored.Written != o.Written && stored.Written.Era() == o.Written.Era() &&
		(o.recorded() != usher.RolloutNew || o.isTerminal())
}

func (t *Table) newOrder(now boottime.Time, s *service, stored usher.RolloutOrder) *order {
	o := &order{
		RolloutOrder: stored, first: stored.Written, startedAt: now, learnedAt: now,
		stage: stageObserving, stageAt: now, warmAt: make(map[usher.EndpointName]boottime.Time),
	}
	isNew := o.recorded() == usher.RolloutNew
	o.isAgeKnown = isNew
	o.exposure = exposure{
		bounds: t.options.Bounds, instances: t.instances, self: t.options.Self, hasSlack: isNew,
		routes: make(map[usher.RouteName]*routeShare),
	}
	o.evidence = newEvidence()
	o.reference = newReference()
	if stored.StateTarget != stored.Target {
		switch stored.State {
		case usher.RolloutCompleted:
			s.completed, s.hasCompleted = stored.StateTarget, true
		case usher.RolloutRolledBack:
			s.rejected[stored.StateTarget] = stored.Written
		}
	}
	if rejected, ok := s.rejected[stored.Target]; ok && isNew {
		if rejected.Era() == stored.Written.Era() && rejected < stored.Written {
			delete(s.rejected, stored.Target)
		} else {
			o.enter(stageRolledBack, now, "rolled back before the store went back to an earlier state")
		}
	}
	return o
}

func (t *Table) complete(s *service, now boottime.Time) {
	o := s.order
	why := o.why
	if o.stage != stageHandingOver && !o.isRedundant {
		why = "recorded by another instance"
	}
	o.enter(stageCompleted, now, why)
	s.completed, s.hasCompleted = o.Target, true
	delete(s.rejected, o.Target)
	t.poolsOutdated = true
}

func (t *Table) rollBack(s *service, now boottime.Time, why string) {
	o := s.order
	o.enter(stageRolledBack, now, why)
	t.reject(s)
	t.poolsOutdated = true
}

// reject keeps requests from the target until a later order. An order that names no version
// says nothing about endpoints that state none.
func (t *Table) reject(s *service) {
	if s.order.Target != "" {
		s.rejected[s.order.Target] = s.order.Written
	}
}

// Transition is a state that should be recorded for an order.
type Transition struct {
	Order usher.RolloutOrder
	State usher.RolloutState
	// Why explains the transition to operators.
	Why string
}

// Decide returns the states to record now, on the understanding that what Pools returned last
// is in force. The caller records them in the directory and
// calls SetOrders with the result. Changed is set if Pools may return something else than
// before.
func (t *Table) Decide() (transitions []Transition, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	for name, s := range t.services {
		if s.order == nil {
			continue
		}
		s.order.isHandedOver = s.order.isSwitched
		state := t.advance(name, s, now)
		if state == s.order.recorded() || !s.order.isDue(state, now, t.options.Self) {
			continue
		}
		transitions = append(transitions, Transition{Order: s.order.RolloutOrder, State: state, Why: s.order.why})
	}
	changed = t.poolsOutdated
	t.poolsOutdated = false
	return transitions, changed
}

// isDue reports whether it is this instance's turn to record the state.
func (o *order) isDue(state usher.RolloutState, now boottime.Time, self string) bool {
	if o.due != state {
		o.due, o.dueAt = state, now
	}
	spread := writeSpread
	if state == usher.RolloutCompleted {
		spread = completedWriteSpread
	}
	return now.Sub(o.dueAt) >= time.Duration(float64(spread)*fraction(self, string(o.Service), string(state)))
}

// advance moves the order on and returns the state that it should have.
func (t *Table) advance(name usher.ServiceName, s *service, now boottime.Time) usher.RolloutState {
	o := s.order
	if o.stage == stageObserving {
		t.checkTarget(s, now)
	}
	if !o.isTerminal() && !o.isRedundant && now.Sub(o.judgedAt) >= judgeInterval {
		t.judge(name, s, now)
	}
	if o.stage == stageObserving && !o.isRedundant {
		t.endObservation(name, s, now)
	}
	if o.stage == stageObserving {
		if rotation := o.rotationAt(now); rotation != o.rotation {
			o.rotation = rotation
			t.poolsOutdated = true
		}
	}
	switch {
	case o.stage == stageCompleted, o.isRedundant:
		return usher.RolloutCompleted
	case o.stage == stageRolledBack:
		return usher.RolloutRolledBack
	case o.stage == stageHandingOver:
		if !o.isRamping(now) {
			t.poolsOutdated = t.poolsOutdated || o.candidates > 0
			if t.isDrained(name, s, now) {
				return usher.RolloutCompleted
			}
		}
	}
	return usher.RolloutInProgress
}

// checkTarget decides orders whose target needs no comparison.
func (t *Table) checkTarget(s *service, now boottime.Time) {
	o := s.order
	inForce, ok := s.inForce()
	switch {
	case ok && inForce == o.Target && (s.hasCompleted || o.recorded() == usher.RolloutNew):
		if !o.isRedundant {
			o.isRedundant, o.why = true, "the target is in force already"
		}
	case o.Target == "":
		t.rollBack(s, now, "the order names no version")
	}
}

// endObservation hands the traffic over if the version is good, as late as leaves the time
// to complete the order by its deadline, and gives up if there is no verdict by then.
func (t *Table) endObservation(name usher.ServiceName, s *service, now boottime.Time) {
	o := s.order
	age, duration := o.age(now), o.duration()
	if age >= duration-undecidedLead {
		t.rollBack(s, now, "no verdict in time: "+cmp.Or(o.verdict.blockedBy, "too late to hand over"))
		return
	}
	lead := t.longest(name, s) + rampTime + reportDelay + completedWriteSpread + writeTime
	handOverAt := max(duration-lead, time.Duration(minObservedFraction*float64(duration)))
	if age < handOverAt || !o.isAgeKnown || o.recorded() != usher.RolloutInProgress {
		return
	}
	if !o.verdict.isGood || !t.hasQuorum(name, s, now) {
		return
	}
	if float64(o.candidateSlots) < float64(minCapacityRatio*float64(o.currentSlots)) {
		o.verdict.blockedBy = "too few endpoints of the target"
		return
	}
	o.runningAtEnd = t.runningBeside(name, s, now)
	o.enter(stageHandingOver, now, o.verdict.summary)
	t.poolsOutdated = true
}

// isDrained reports whether nothing runs at the old endpoints any more that must end before
// they stop.
func (t *Table) isDrained(name usher.ServiceName, s *service, now boottime.Time) bool {
	o := s.order
	if !o.isHandedOver || t.isContradicted(name, s, now) {
		return false
	}
	running := t.runningBeside(name, s, now)
	longest := t.longest(name, s) + reportDelay
	waited := now.Sub(o.stageAt) - rampTime
	if running == 0 && (t.allReport(name, s, now) || waited >= longest) {
		return true
	}
	if o.age(now) >= o.duration()-completedWriteSpread-writeTime && waited >= reportDelay {
		return float64(running) <= float64(maxInterruptedFraction*float64(o.runningAtEnd)) || waited >= 2*longest
	}
	return false
}
