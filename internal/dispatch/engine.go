package dispatch

import (
	"math"
	"slices"
	"time"

	"filbertusher/pkg/usher"
)

// The model of an engine that nothing is known of. What is learned is by how
// much an engine is off it, so its scale matters little.
const (
	// baseFirst is the time to the first event of a short prompt.
	baseFirst = 40 * time.Millisecond
	// basePrefill is the time to read one token of a prompt.
	basePrefill = 10 * time.Microsecond
	// basePace is the time between two events of a stream.
	basePace = 30 * time.Millisecond
)

const (
	// learning is the weight of a new observation.
	learning = 0.2
	// forgetting is the time constant with which an engine that is not used is
	// taken for an average one again, so that one that has recovered is found.
	forgetting = 3 * time.Second
	// failureCost is by how much an engine that fails every request seems slower.
	failureCost = 12
	// firstSuspension and lastSuspension bound for how long an endpoint that
	// can't be reached gets nothing.
	firstSuspension = 150 * time.Millisecond
	lastSuspension  = 2 * time.Second
	// fullFor is for how long an endpoint that said it is full gets nothing.
	fullFor = 60 * time.Millisecond
	// coldCost is by how much an engine that has just started is slower.
	coldCost = 1.6
	// otherZone is what a request to another availability zone takes longer.
	otherZone = 3 * time.Millisecond
	// lateCost is by how much an endpoint seems slower that would begin after the
	// request's target.
	lateCost = 2 * time.Second
	// plainPlaces is how many requests an instance may always have at an endpoint
	// of a plain service, and plainQueue how many times its places may be known to
	// be taken.
	plainPlaces = 2
	plainQueue  = 2
	// mostRatio bounds what is learned from one engine.
	mostRatio = 50
	// ownFor is for how long what an instance has seen itself goes before what
	// others have seen, and is told to them.
	ownFor = 1500 * time.Millisecond
)

// engine is what is known of one endpoint.
type engine struct {
	usher.Registration
	own     Load
	others  Load
	unheard map[*Grant]struct{}
	// entitled is how many places belong to this instance; order is that of the
	// members for rounding.
	entitled int
	order    []int
	// reach is how many requests may be here until the next news of the others.
	reach int

	// ratio is how much longer first events take than the model says, and pace
	// the time between events; both follow what was seen here, or elsewhere if
	// nothing was seen here of late.
	ratio   float64
	pace    time.Duration
	seen    time.Time
	failing float64
	// ratioSeen and paceSeen are when this instance last saw them itself.
	ratioSeen, paceSeen time.Time
	heard               hearsay

	suspended  time.Time
	suspension time.Duration
}

func newEngine(r usher.Registration) *engine {
	return &engine{Registration: r, unheard: make(map[*Grant]struct{}), ratio: 1, pace: basePace}
}

// slots returns how many requests the endpoint runs at once.
func (e *engine) slots(spec Spec) int {
	switch {
	case e.Slots > 0:
		return e.Slots
	case spec.Slots > 0:
		return spec.Slots
	default:
		return 1
	}
}

// room says whether this instance may send one more request to the endpoint.
// It may up to its own part of the places, and until the next news beyond that
// up to an even part of those that the others leave free.
//
// Plain services queue a little and refuse what is beyond, and their requests
// are shorter than the news of the others are old, so there an instance always
// has a few places.
func (s *Scheduler) room(v *service, e *engine, now time.Time) bool {
	if now.Before(e.suspended) {
		return false
	}
	slots := e.slots(v.spec)
	free := slots - e.own.Running - e.others.Running
	if !v.spec.Engine {
		return e.own.Running < max(plainPlaces, e.entitled) && free > -slots*plainQueue
	}
	if free <= 0 {
		return false
	}
	return e.own.Running < max(e.entitled, e.reach)
}

// first returns the expected time to the first event of a request.
func (e *engine) first(v *service, tokens usher.Tokens, now time.Time) time.Duration {
	model := float64(baseFirst)
	if v.spec.Engine {
		model += float64(tokens+e.own.Prefill+e.others.Prefill) * float64(basePrefill)
	}
	expected := time.Duration(model * e.ratioNow(now) * (1 + failureCost*e.failingNow(now)))
	if e.ColdFor > 0 {
		expected = time.Duration(float64(expected) * coldCost)
	}
	// An endpoint that is silent for longer than expected shows it here at once.
	return max(expected, e.silence(now))
}

// silence returns for how long the oldest request without an answer has waited
// beyond its expected time.
func (e *engine) silence(now time.Time) time.Duration {
	longest := time.Duration(0)
	for g := range e.unheard {
		if waited := now.Sub(g.sent); waited > g.expected {
			longest = max(longest, waited)
		}
	}
	return longest
}

func (e *engine) ratioNow(now time.Time) float64 {
	return 1 + (e.ratio-1)*e.fresh(now)
}

func (e *engine) failingNow(now time.Time) float64 { return e.failing * e.fresh(now) }

// fresh is how much of what was learned still counts.
func (e *engine) fresh(now time.Time) float64 {
	if e.seen.IsZero() {
		return 1
	}
	return math.Exp(-max(0, now.Sub(e.seen).Seconds()-0.5) / forgetting.Seconds())
}

// best returns the endpoint with a free place that is expected to finish the
// request first. Endpoints that would begin too late come last. One that would
// not finish before the deadline is taken only where none could: a long answer
// in a slow engine is work for nothing, while a place in a quick one comes free.
func (s *Scheduler) best(v *service, ask *Ask, now time.Time) *engine {
	var best *engine
	var bestCost time.Duration
	left := ask.Deadline.Sub(now)
	hopeful := false
	for _, e := range v.engines {
		if slices.Contains(ask.Tried, e.Name) {
			continue
		}
		first := e.first(v, max(0, ask.Prompt-v.prefix.cached(ask.Prefix, e.Name)), now)
		finish := first + e.rest(v, ask, s.options.Zone)
		inTime := finish < left
		if inTime && !hopeful {
			hopeful, best = true, nil
		}
		if inTime != hopeful || !s.room(v, e, now) {
			continue
		}
		cost := finish
		if ask.Target.After(now) && first > ask.Target.Sub(now) {
			cost += lateCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// rest returns the expected time from the first event to the end.
func (e *engine) rest(v *service, ask *Ask, zone usher.AvailabilityZone) time.Duration {
	rest := time.Duration(0)
	if v.spec.Engine && v.spec.TokensPerEvent > 0 {
		rest = time.Duration(int(ask.Answer)/v.spec.TokensPerEvent) * e.pace
	}
	if e.Zone != zone {
		rest += otherZone
	}
	return rest
}

// End is how a request that was sent ended.
type End int

// The ends of a request.
const (
	// Answered requests got an answer that is no failure of the endpoint.
	Answered End = iota
	// Failed requests were answered by a failure, or the answer broke off.
	Failed
	// Full means that the endpoint had no room and ran nothing.
	Full
	// Unreachable means that nothing could be sent.
	Unreachable
	// Cancelled requests were left by their caller.
	Cancelled
)

// Grant is the right of one request to be at an endpoint.
type Grant struct {
	Endpoint usher.Registration
	// Expected is the time to the first event that the choice was made for, and
	// Running how many requests were known to be there.
	Expected time.Duration
	Running  int

	scheduler *Scheduler
	service   *service
	engine    *engine
	rank      int
	prompt    usher.Tokens
	sent      time.Time
	expected  time.Duration
	heard     bool
	ended     bool
	last      time.Time
}

// grant needs the lock.
func (s *Scheduler) grant(v *service, e *engine, ask *Ask, now time.Time) *Grant {
	tokens := max(0, ask.Prompt-v.prefix.cached(ask.Prefix, e.Name))
	g := &Grant{
		Endpoint: e.Registration, Expected: e.first(v, tokens, now), Running: e.own.Running + e.others.Running,
		scheduler: s, service: v, engine: e, rank: clampRank(ask.Rank), prompt: tokens, sent: now,
	}
	g.expected = g.Expected
	e.own.Running++
	e.own.Prefill += tokens
	e.unheard[g] = struct{}{}
	v.prefix.note(ask.Prefix, e.Name, now)
	return g
}

// First notes the first event of the answer.
func (g *Grant) First() {
	s := g.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	g.last = now
	if g.heard || g.ended {
		return
	}
	g.hear()
	e := g.engine
	model := float64(g.expected) / max(0.01, e.ratioNow(g.sent)*(1+failureCost*e.failingNow(g.sent)))
	if model > 0 {
		e.observe(min(mostRatio, float64(now.Sub(g.sent))/model), now)
	}
	e.failing *= 1 - learning
	e.suspension = 0
}

// hear takes the request out of those without an answer. It needs the lock.
func (g *Grant) hear() {
	g.heard = true
	delete(g.engine.unheard, g)
	g.engine.own.Prefill -= g.prompt
}

func (e *engine) observe(ratio float64, now time.Time) {
	e.ratio = e.ratioNow(now) + (ratio-e.ratioNow(now))*learning
	e.seen, e.ratioSeen = now, now
}

// Events notes that n events have come since the last call.
func (g *Grant) Events(n int) {
	if n == 0 {
		return
	}
	s := g.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	gap := now.Sub(g.last) / time.Duration(n)
	g.last = now
	g.engine.pace += time.Duration(float64(gap-g.engine.pace) * learning)
	g.engine.paceSeen = now
}

// told returns what the others should know of the engine.
func (e *engine) told(now time.Time) Load {
	load := e.own
	if now.Sub(e.paceSeen) < ownFor {
		load.PaceMS = int(e.pace.Milliseconds())
	}
	if now.Sub(e.ratioSeen) < ownFor {
		load.RatioPercent = int(100 * e.ratioNow(now))
	}
	return load
}

// hearsay is what the other instances have seen of one engine.
type hearsay struct {
	paces, ratios int
	pace, ratio   int
}

// add counts what one instance has seen, or takes it out with a sign of -1.
func (h *hearsay) add(load *Load, sign int) {
	if load.PaceMS > 0 {
		h.paces += sign
		h.pace += sign * load.PaceMS
	}
	if load.RatioPercent > 0 {
		h.ratios += sign
		h.ratio += sign * load.RatioPercent
	}
}

// believe takes over what others have seen of an engine that this instance has
// sent nothing to of late. Where many instances share the engines, each alone
// would know them only after a long time.
func (e *engine) believe(now time.Time) {
	h := &e.heard
	if h.paces > 0 && now.Sub(e.paceSeen) >= ownFor {
		e.pace = time.Duration(h.pace) * time.Millisecond / time.Duration(h.paces)
	}
	if h.ratios > 0 && now.Sub(e.ratioSeen) >= ownFor {
		e.ratio, e.seen = float64(h.ratio)/100/float64(h.ratios), now
	}
}

// End gives the place back. It may be called more than once.
func (g *Grant) End(how End) {
	s := g.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.ended {
		return
	}
	g.ended = true
	e, now := g.engine, s.options.Now()
	if !g.heard {
		g.hear()
	}
	e.own.Running--
	if how == Answered {
		g.service.lasted(g.rank, now.Sub(g.sent))
	}
	switch how {
	case Failed:
		e.failing = e.failingNow(now) + (1-e.failingNow(now))*learning
		e.seen = now
	case Full:
		e.suspended = now.Add(fullFor)
	case Unreachable:
		e.suspension = min(lastSuspension, max(firstSuspension, 2*e.suspension))
		e.suspended = now.Add(e.suspension)
	case Answered, Cancelled:
	}
	s.match(g.service, now)
}
