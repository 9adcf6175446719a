package dispatch

import (
	"math"
	"time"

	"filbertusher/pkg/usher"
)

// The performance model of an endpoint without measurements. Measurements are kept
// relative to the model, so its absolute values matter little.
const (
	// baseFirstEvent is the time to the first event of a short prompt.
	baseFirstEvent = 40 * time.Millisecond
	// basePrefillPerToken is the prefill time per prompt token.
	basePrefillPerToken = 10 * time.Microsecond
	// baseEventInterval is the time between two events of a stream.
	baseEventInterval = 30 * time.Millisecond
)

const (
	// ewmaWeight is the weight of a new measurement in the moving averages.
	ewmaWeight = 0.2
	// estimateDecay is the time constant with which the estimates of an unused
	// endpoint return to those of an average one, so that an endpoint that has
	// recovered gets requests again.
	estimateDecay = 3 * time.Second
	// failureSlowdown is how much slower an endpoint that fails every request is taken
	// to be, as a multiple of its expected time to first event.
	failureSlowdown = 12
	// minBackoff and maxBackoff bound how long an unreachable endpoint gets no
	// requests. The time doubles while the endpoint stays unreachable.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 2 * time.Second
	// fullBackoff is how long an endpoint that reported to be full gets no requests.
	fullBackoff = 60 * time.Millisecond
	// coldSlowdown is the factor by which an endpoint is slower just after its start.
	coldSlowdown = 1.6
	// crossZoneLatency is the extra latency of a request to another availability zone.
	crossZoneLatency = 3 * time.Millisecond
	// latePenalty is added to the expected duration at an endpoint that would produce
	// the first event after the request's target.
	latePenalty = 2 * time.Second
	// minPlainSlots is the number of requests that an instance may have at an endpoint
	// of a plain service even if fewer of its slots are guaranteed to the instance.
	// plainQueueFactor bounds the requests of all instances beyond the slots of such an
	// endpoint, as a multiple of its slots.
	minPlainSlots    = 2
	plainQueueFactor = 2
	// maxRatio bounds the measured time to first event, as a multiple of the model's
	// prediction.
	maxRatio = 50
	// ownMeasurementTTL is how long an instance's own measurements take precedence
	// over those of other instances and are reported to them.
	ownMeasurementTTL = 1500 * time.Millisecond
)

// endpoint is the state that the scheduler keeps of one endpoint. own is the load of
// this instance there, and others the sum of the loads that the other instances
// reported. awaitingFirstEvent are the grants without a first event.
//
// failureRate is the moving average of failures, from 0 to 1, and lastFailure when it
// was last raised.
//
// The endpoint gets no requests before suspendedUntil. backoff is the length of the
// last suspension for being unreachable, or 0 once a first event has arrived since.
type endpoint struct {
	usher.Registration
	nameHash           uint64
	own                Load
	others             Load
	awaitingFirstEvent map[*Grant]struct{}
	// guaranteed is the number of slots that belong to this instance. roundingOrder
	// is the order of the members, as indexes, in which fractional shares are rounded
	// to whole slots.
	guaranteed    int
	roundingOrder []int
	// borrowLimit is the number of requests that this instance may have here,
	// including those in slots that other instances leave free. It is valid until
	// the next report of another instance.
	borrowLimit int

	// ratio is the time to first event relative to the model's prediction, and
	// eventInterval the time between events. Both follow this instance's own
	// measurements, or those of other instances if it has no recent ones.
	// lastMeasured is when ratio was last updated.
	ratio         float64
	eventInterval time.Duration
	lastMeasured  time.Time
	failureRate   float64
	lastFailure   time.Time
	// ratioMeasured and intervalMeasured are when this instance itself last measured
	// them.
	ratioMeasured, intervalMeasured time.Time
	peerMeasurements                peerMeasurements

	suspendedUntil time.Time
	backoff        time.Duration
	limit          rateLimit
}

func newEndpoint(r usher.Registration) *endpoint {
	return &endpoint{Registration: r, nameHash: hashOf(r.Name), awaitingFirstEvent: make(map[*Grant]struct{}), ratio: 1, eventInterval: baseEventInterval}
}

// canSend reports whether this instance may send one more request to the endpoint.
// It may use its guaranteed slots and, until the next report, an equal part of the
// slots that the other instances leave free.
//
// Endpoints of plain services queue a few requests and refuse the rest. Their
// requests are shorter than the interval between reports. Therefore an instance may
// always use a few slots of such an endpoint.
func (s *Scheduler) canSend(svc *service, e *endpoint, now time.Time) bool {
	if now.Before(e.suspendedUntil) || !svc.pausedUntil(e, now).IsZero() || !s.withinLimit(svc, e, now) {
		return false
	}
	slots := e.slotCount(svc.spec)
	free := slots - e.own.Running - e.others.Running
	if !svc.spec.Engine {
		return e.own.Running < max(minPlainSlots, e.guaranteed) && free > -e.queueLength(svc.spec)
	}
	if free <= 0 {
		return false
	}
	if e.limit.named {
		// The rate bounds what the holders send more than their slots would.
		return true
	}
	return e.own.Running < max(e.guaranteed, e.borrowLimit)
}

// timeToFirstEvent returns the expected time to the first event of a request with
// the given number of uncached prompt tokens.
func (e *endpoint) timeToFirstEvent(svc *service, tokens usher.Tokens, now time.Time) time.Duration {
	model := float64(baseFirstEvent)
	if svc.spec.Engine {
		model += float64(tokens+e.own.Prefill+e.others.Prefill) * float64(basePrefillPerToken)
	}
	expected := time.Duration(model * e.currentRatio(now) * (1 + failureSlowdown*e.currentFailureRate(now)))
	if e.ColdFor > 0 {
		expected = time.Duration(float64(expected) * coldSlowdown)
	}
	// An endpoint that stops responding is recognized here, before any request to it
	// has failed.
	return max(expected, e.longestOverdue(now))
}

// longestOverdue returns the time since the oldest grant was made whose first event
// is overdue, or 0.
func (e *endpoint) longestOverdue(now time.Time) time.Duration {
	longest := time.Duration(0)
	for g := range e.awaitingFirstEvent {
		if waited := now.Sub(g.sent); waited > g.expected {
			longest = max(longest, waited)
		}
	}
	return longest
}

func (e *endpoint) currentRatio(now time.Time) float64 {
	// Decays towards 1, at which the model's prediction holds.
	return 1 + (e.ratio-1)*measurementWeight(e.lastMeasured, now)
}

func (e *endpoint) currentFailureRate(now time.Time) float64 {
	// Decays towards 0.
	return e.failureRate * measurementWeight(e.lastFailure, now)
}

// measurementWeight returns the weight, from 0 to 1, that a measurement of the given
// time still has. It starts to decay half a second after it.
func measurementWeight(measured, now time.Time) float64 {
	if measured.IsZero() {
		return 1
	}
	return math.Exp(-max(0, now.Sub(measured).Seconds()-0.5) / estimateDecay.Seconds())
}

// bestEndpoint returns the endpoint with a free slot that is expected to finish the
// request first, or nil. Endpoints that would miss the target rank last. An endpoint
// that would finish after the deadline is chosen only if all would, including those
// without a free slot: a long answer from a slow engine would be wasted work, while
// a slot at a fast engine will become free.
func (s *Scheduler) bestEndpoint(svc *service, request *Request, now time.Time) *endpoint {
	var best *endpoint
	var bestCost time.Duration
	left := request.Deadline.Sub(now)
	deadlineMet := false
	tieSeed := s.tieSeed(svc, request)
	for _, e := range svc.endpoints {
		if !request.mayUse(e) {
			continue
		}
		first := e.timeToFirstEvent(svc, svc.tokensToPrefill(request, e), now)
		finish := first + e.timeAfterFirstEvent(svc, request, s.options.Zone)
		inTime := finish < left
		if inTime && !deadlineMet {
			deadlineMet, best = true, nil
		}
		if inTime != deadlineMet || !s.canSend(svc, e, now) {
			continue
		}
		cost := finish + s.zoneCost(svc, e, request, now)
		if request.Target.After(now) && first > request.Target.Sub(now) {
			cost += latePenalty
		}
		if best == nil || cost < bestCost || cost == bestCost && e.tieOrder(tieSeed) < best.tieOrder(tieSeed) {
			best, bestCost = e, cost
		}
	}
	return best
}

// timeAfterFirstEvent returns the expected time from the first event to the end of
// the answer, plus the latency to another availability zone.
func (e *endpoint) timeAfterFirstEvent(svc *service, request *Request, zone usher.AvailabilityZone) time.Duration {
	expected := time.Duration(0)
	if svc.spec.Engine && svc.spec.TokensPerEvent > 0 {
		expected = time.Duration(int(request.Answer)/svc.spec.TokensPerEvent) * e.eventInterval
	}
	if e.Zone != zone {
		expected += crossZoneLatency
	}
	return expected
}

// End is the way in which a granted request ended.
type End int

// The ways in which a granted request can end.
const (
	// Answered means that the answer arrived and is not a failure of the endpoint.
	Answered End = iota
	// Failed means that the endpoint answered with a failure, or that the answer is
	// missing or incomplete.
	Failed
	// Full means that the endpoint stated that it did not run the request, which is
	// taken to mean that it had no free slot.
	Full
	// Unreachable means that the request could not be sent, or that another endpoint
	// now has the address.
	Unreachable
	// Cancelled means that the request was abandoned, by its caller or for another
	// reason that is not a failure of the endpoint.
	Cancelled
)

// Grant is a slot at an endpoint that is assigned to one request. sent is when it
// was assigned, prompt the number of prompt tokens that the endpoint is not expected
// to have in its cache, and lastEvent when events were last reported. predicted is the
// duration that the model predicts, or 0 for the rest of a request that has begun.
type Grant struct {
	Endpoint usher.Registration
	// ExpectedFirstEvent is the time to first event that the endpoint was chosen by,
	// and Running the number of requests that were known to run there at that time.
	ExpectedFirstEvent time.Duration
	Running            int
	// MaxIdle is the number of idle connections to the endpoint that this instance may keep
	// afterwards; zero means no limit.
	MaxIdle int

	scheduler *Scheduler
	service   *service
	endpoint  *endpoint
	rank      int
	route     usher.RouteName
	predicted time.Duration
	prompt    usher.Tokens
	// prefilledAlone is set if no other request was known to be prefilled at the endpoint.
	prefilledAlone bool
	sent           time.Time
	expected       time.Duration
	firstEventSeen bool
	ended          bool
	lastEvent      time.Time
}

// newGrant assigns a slot of the endpoint to the request. The caller must hold s.mu.
func (s *Scheduler) newGrant(svc *service, e *endpoint, request *Request, now time.Time) *Grant {
	tokens := svc.tokensToPrefill(request, e)
	g := &Grant{
		Endpoint: e.Registration, ExpectedFirstEvent: e.timeToFirstEvent(svc, tokens, now), Running: e.own.Running + e.others.Running,
		MaxIdle:   e.maxIdle(svc.spec, len(s.members)),
		scheduler: s, service: svc, endpoint: e, rank: clampRank(request.Rank), route: request.Route, prompt: tokens, sent: now,
		prefilledAlone: e.own.Prefill+e.others.Prefill <= 0,
	}
	if !request.Started {
		g.predicted = svc.predictedDuration(request)
	}
	g.expected = g.ExpectedFirstEvent
	svc.running++
	e.own.Running++
	e.own.Prefill += tokens
	e.limit.take()
	e.awaitingFirstEvent[g] = struct{}{}
	svc.prefixes.record(request.Prefix, e.Name, now)
	if s.options.OnGrant != nil {
		s.options.OnGrant(&g.Endpoint)
	}
	return g
}

// FirstEvent reports that the first event of the answer has arrived.
func (g *Grant) FirstEvent() {
	s := g.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	g.lastEvent = now
	if g.firstEventSeen || g.ended {
		return
	}
	g.endPrefill()
	e := g.endpoint
	// Dividing out ratio and failureRate leaves roughly the model's prediction. Both
	// may have changed since the grant.
	model := float64(g.expected) / max(0.01, e.currentRatio(g.sent)*(1+failureSlowdown*e.currentFailureRate(g.sent)))
	if model > 0 {
		e.recordRatio(min(maxRatio, float64(now.Sub(g.sent))/model), now)
	}
	if g.service.spec.Engine && g.Running < e.slotCount(g.service.spec) && g.prefilledAlone {
		g.service.prefill.add(g.prompt, now.Sub(g.sent), g.service.slowness(e))
	}
	e.failureRate *= 1 - ewmaWeight
	e.backoff = 0
}

// endPrefill removes the request from the endpoint's prefill load. The caller must
// hold the scheduler's lock.
func (g *Grant) endPrefill() {
	g.firstEventSeen = true
	delete(g.endpoint.awaitingFirstEvent, g)
	g.endpoint.own.Prefill -= g.prompt
}

func (e *endpoint) recordRatio(ratio float64, now time.Time) {
	e.ratio = e.currentRatio(now) + (ratio-e.currentRatio(now))*ewmaWeight
	e.lastMeasured, e.ratioMeasured = now, now
}

// Events reports that n events have arrived since the last call.
func (g *Grant) Events(n int) {
	if n == 0 {
		return
	}
	s := g.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	interval := now.Sub(g.lastEvent) / time.Duration(n)
	g.lastEvent = now
	g.endpoint.eventInterval += time.Duration(float64(interval-g.endpoint.eventInterval) * ewmaWeight)
	g.endpoint.intervalMeasured = now
	g.service.recordInterval(interval)
}

// reportedLoad returns this instance's load and its own recent measurements, for
// its report to the other instances.
func (e *endpoint) reportedLoad(now time.Time) Load {
	load := e.own
	if now.Sub(e.intervalMeasured) < ownMeasurementTTL {
		load.PaceMS = int(e.eventInterval.Milliseconds())
	}
	if now.Sub(e.ratioMeasured) < ownMeasurementTTL {
		load.RatioPercent = int(100 * e.currentRatio(now))
	}
	return load
}

// peerMeasurements sums the measurements of one endpoint that the other instances
// reported. The counts are the numbers of instances that reported each.
type peerMeasurements struct {
	intervalCount, ratioCount      int
	intervalSumMS, ratioSumPercent int
}

// add adds the measurements of one instance, or subtracts them if sign is -1.
func (m *peerMeasurements) add(load *Load, sign int) {
	if load.PaceMS > 0 {
		m.intervalCount += sign
		m.intervalSumMS += sign * load.PaceMS
	}
	if load.RatioPercent > 0 {
		m.ratioCount += sign
		m.ratioSumPercent += sign * load.RatioPercent
	}
}

// applyPeerMeasurements replaces estimates without a recent measurement of this
// instance by the mean of what the other instances measured. If many instances
// share the endpoints, each sends so few requests to each endpoint that its own
// estimates would take long to converge.
func (e *endpoint) applyPeerMeasurements(now time.Time) {
	m := &e.peerMeasurements
	if m.intervalCount > 0 && now.Sub(e.intervalMeasured) >= ownMeasurementTTL {
		e.eventInterval = time.Duration(m.intervalSumMS) * time.Millisecond / time.Duration(m.intervalCount)
	}
	if m.ratioCount > 0 && now.Sub(e.ratioMeasured) >= ownMeasurementTTL {
		e.ratio, e.lastMeasured = float64(m.ratioSumPercent)/100/float64(m.ratioCount), now
	}
}

// End releases the slot and records how the request ended. Calls after the first
// have no effect.
func (g *Grant) End(how End) {
	s := g.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	if g.ended {
		return
	}
	g.ended = true
	if s.options.OnEnd != nil {
		s.options.OnEnd(&g.Endpoint)
	}
	e, now := g.endpoint, s.options.Now()
	if !g.firstEventSeen {
		g.endPrefill()
	}
	g.service.running--
	e.own.Running--
	if how == Answered {
		g.service.recordDuration(g.rank, now.Sub(g.sent))
		if g.predicted > 0 {
			g.service.statsOf(g.route, now).duration.add(now.Sub(g.sent), g.predicted)
		}
	}
	switch how {
	case Failed:
		e.failureRate = e.currentFailureRate(now) + (1-e.currentFailureRate(now))*ewmaWeight
		e.lastFailure = now
	case Full:
		e.suspendedUntil = now.Add(fullBackoff)
	case Unreachable:
		e.backoff = min(maxBackoff, max(minBackoff, 2*e.backoff))
		e.suspendedUntil = now.Add(e.backoff)
	case Answered, Cancelled:
	}
	s.assignSlots(g.service, now)
}
