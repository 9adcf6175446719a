package dispatch

import (
	"time"

	"filbertusher/pkg/usher"
)

// An engine that prefills a prompt produces the events of its other requests more slowly
// until the prompt is done. The load that this answers is a mix of prompts whose lengths
// differ a hundredfold, on engines of unlike speed: one long prompt on a slow engine delays
// an event of every stream there beyond its gap target. It applies to services whose streams
// have one.

const (
	// minStall and maxStall are pauses of a stream relative to its gap target. A shorter pause
	// than minStall does not exceed the target even if the engine slows down meanwhile, and a
	// longer one than maxStall always does.
	minStall = 0.25
	maxStall = 1.25
	// maxDelayedStreams is the expected number of delayed streams above which a request waits
	// for another endpoint, and delayWaitFraction the fraction of the time until its wait deadline
	// in which it does so.
	maxDelayedStreams = 0.5
	delayWaitFraction = 0.6
	// safeFraction is the expected time to first event, as a fraction of the time left until the
	// target, up to which an engine that slows down does not make a request late.
	safeFraction = 0.3
	// minPrefillSamples is the number of measurements from which the prefill time per token
	// is computed, and prefillHistory the number over which they are averaged.
	minPrefillSamples = 20
	prefillHistory    = 400
	// maxPrefillDeviation is the ratio of a time to first event to the expected one above
	// which it is no measurement of the prefill time: the request waited in the engine.
	maxPrefillDeviation = 4
	// prefillTokenRange bounds the measured prefill time per token, as a factor of
	// basePrefillPerToken in both directions.
	prefillTokenRange = 10
)

// prefillModel is a linear regression of the time to first event over the tokens to prefill,
// at an engine of average speed. Older measurements weigh less. perToken and base are the
// result, in seconds, and 0 until there are minPrefillSamples.
type prefillModel struct {
	weight, tokens, seconds, tokensSquared, tokensTimesSeconds float64
	perToken, base                                             float64
}

// add adds the time to first event of a request for which tokens were prefilled at an engine
// of the given slowness.
func (m *prefillModel) add(tokens usher.Tokens, took time.Duration, slowness float64) {
	x, y := float64(tokens), took.Seconds()/slowness
	if m.perToken > 0 && y > maxPrefillDeviation*m.firstEvent(tokens) {
		return
	}
	const kept = 1 - 1.0/prefillHistory
	m.weight = m.weight*kept + 1
	m.tokens = m.tokens*kept + x
	m.seconds = m.seconds*kept + y
	m.tokensSquared = m.tokensSquared*kept + x*x
	m.tokensTimesSeconds = m.tokensTimesSeconds*kept + x*y
	spread := m.weight*m.tokensSquared - m.tokens*m.tokens
	if m.weight < minPrefillSamples || spread <= 0 {
		return
	}
	slope := (m.weight*m.tokensTimesSeconds - m.tokens*m.seconds) / spread
	m.perToken = min(max(slope, basePrefillPerToken.Seconds()/prefillTokenRange), basePrefillPerToken.Seconds()*prefillTokenRange)
	m.base = max(0, (m.seconds-m.perToken*m.tokens)/m.weight)
}

// prefill returns how long it takes to prefill a number of tokens, in seconds.
func (m *prefillModel) prefill(tokens usher.Tokens) float64 {
	perToken := m.perToken
	if perToken == 0 {
		perToken = basePrefillPerToken.Seconds()
	}
	return perToken * float64(max(0, tokens))
}

// firstEvent returns the time to first event if a number of tokens have to be prefilled, in
// seconds.
func (m *prefillModel) firstEvent(tokens usher.Tokens) float64 {
	base := m.base
	if m.perToken == 0 {
		base = baseFirstEvent.Seconds()
	}
	return base + m.prefill(tokens)
}

// weighsStalls reports whether requests wait for an engine where they delay fewer streams.
func (svc *service) weighsStalls() bool { return svc.spec.Engine && svc.spec.GapTarget > 0 }

// slowness returns the endpoint's time between events relative to the mean of the service, or
// 1 while it is unknown.
func (svc *service) slowness(e *endpoint) float64 {
	isUnknown := svc.meanInterval == 0 || e.eventInterval == baseEventInterval
	if isUnknown {
		return 1
	}
	return float64(e.eventInterval) / float64(svc.meanInterval)
}

// recordInterval adds a measured time between events to the mean of the service.
func (svc *service) recordInterval(interval time.Duration) {
	if svc.meanInterval == 0 {
		svc.meanInterval = interval
	}
	svc.meanInterval += time.Duration(float64(interval-svc.meanInterval) / prefillHistory)
}

// tokensToPrefill returns how many tokens of a request's prompt the endpoint is not expected
// to have in its cache.
func (svc *service) tokensToPrefill(request *Request, e *endpoint) usher.Tokens {
	return max(0, request.Prompt-svc.prefixes.cachedTokens(request.Prefix, e.Name))
}

// isSafelyInTime reports whether a request whose first event is expected after the given time
// meets its target even if the engine slows down meanwhile, or has none left to meet.
func isSafelyInTime(request *Request, first time.Duration, now time.Time) bool {
	left := request.Target.Sub(now)
	return left <= 0 || float64(first) <= safeFraction*float64(left)
}

// delayedStreams returns how many of the streams that run at the endpoint are expected to
// miss their gap target because it prefills the tokens of one more request.
func (svc *service) delayedStreams(e *endpoint, tokens usher.Tokens) float64 {
	running := e.own.Running + e.others.Running
	if running <= 0 {
		return 0
	}
	pending := max(0, e.own.Prefill+e.others.Prefill)
	return float64(running) * max(0, svc.delayFraction(e, pending+tokens)-svc.delayFraction(e, pending))
}

// delayFraction returns the fraction of an endpoint's streams that are expected to miss their
// gap target while it prefills a number of tokens.
func (svc *service) delayFraction(e *endpoint, tokens usher.Tokens) float64 {
	pause := svc.prefill.prefill(tokens)*svc.slowness(e) + e.eventInterval.Seconds()
	excess := min(max((pause/svc.spec.GapTarget.Seconds()-minStall)/(maxStall-minStall), 0), 1)
	return excess * excess
}

// isWorthWaiting reports whether a request should wait for a slot at another endpoint, because
// streams that run at this one would miss their gap target and the request would still meet its
// own target there. ahead returns how many queued requests precede it.
func (s *Scheduler) isWorthWaiting(svc *service, w *waiter, e *endpoint, ahead func(*waiter) int, now time.Time) bool {
	if !svc.weighsStalls() || w.request.Started {
		return false
	}
	if longest := time.Duration(float64(w.waitDeadline.Sub(w.enqueued)) * delayWaitFraction); now.After(w.enqueued.Add(longest)) {
		return false
	}
	delayed := svc.delayedStreams(e, svc.tokensToPrefill(w.request, e))
	if delayed < maxDelayedStreams {
		return false
	}
	for _, other := range svc.endpoints {
		if other == e || !w.request.mayUse(other) || s.canSend(svc, other, now) {
			continue
		}
		tokens := svc.tokensToPrefill(w.request, other)
		if svc.delayedStreams(other, tokens) < delayed/2 && isSafelyInTime(w.request, other.timeToFirstEvent(svc, tokens, now), now) {
			if !svc.mayGetSlot(w, ahead(w), now) {
				// It would be refused to shed load.
				return false
			}
			svc.counts.heldBack++
			return true
		}
	}
	return false
}
