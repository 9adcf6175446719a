package dispatch

import (
	"math/rand/v2"
	"time"
)

// pause is the time during which an incarnation of an endpoint wants no requests from
// this instance.
type pause struct {
	born  int64
	until time.Time
}

// Pause keeps requests from the grant's endpoint for a time, because the endpoint has
// asked for it. A pause is not shortened by a later one. Requests that could wait for
// paused endpoints only, and not for long enough, are refused.
func (g *Grant) Pause(wait time.Duration) {
	s := g.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	svc, now := g.service, s.options.Now()
	for name, p := range svc.pauses {
		if !now.Before(p.until) {
			delete(svc.pauses, name)
		}
	}
	until := now.Add(wait)
	if p, known := svc.pauses[g.Endpoint.Name]; known && p.born == g.Endpoint.Born && p.until.After(until) {
		return
	}
	svc.pauses[g.Endpoint.Name] = pause{born: g.Endpoint.Born, until: until}
	var hopeless []*waiter
	for w := range svc.queue.inOrder() {
		if svc.isHopeless(w, now) {
			hopeless = append(hopeless, w)
		}
	}
	for _, w := range hopeless {
		svc.queue.remove(w)
		s.refuseHopeless(svc, w, now)
	}
}

// refuseHopeless refuses a request that is not in the queue.
func (s *Scheduler) refuseHopeless(svc *service, w *waiter, now time.Time) {
	svc.counts.refused++
	w.decided <- decision{refusal: s.refuse(svc, w.request, now, "all endpoints have asked to be left alone")}
}

// pausedUntil returns the end of the endpoint's pause, or the zero time.
func (svc *service) pausedUntil(e *endpoint, now time.Time) time.Time {
	p, known := svc.pauses[e.Name]
	if !known || p.born != e.Born || !now.Before(p.until) {
		return time.Time{}
	}
	return p.until
}

// firstPauseEnd returns when the first of the endpoints that the request may use takes
// requests again, or the zero time if one of them is not paused or there is none.
func (svc *service) firstPauseEnd(request *Request, now time.Time) (first time.Time) {
	for _, e := range svc.endpoints {
		if !request.mayUse(e) {
			continue
		}
		until := svc.pausedUntil(e, now)
		if until.IsZero() {
			return time.Time{}
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

// isHopeless reports whether all endpoints that a request may use are paused for longer
// than it waits.
func (svc *service) isHopeless(w *waiter, now time.Time) bool {
	return svc.firstPauseEnd(w.request, now).After(w.waitDeadline)
}

// retryAfterPause returns how long a refused caller should wait while all endpoints are
// paused, or 0. The load that it answers is many callers that are refused at the same
// moment: their return is spread over half of the pause and not at its end.
func (svc *service) retryAfterPause(request *Request, now time.Time) time.Duration {
	anyEndpoint := Request{Software: request.Software}
	end := svc.firstPauseEnd(&anyEndpoint, now)
	if end.IsZero() {
		return 0
	}
	left := end.Sub(now)
	return left + rand.N(max(minRetryJitter, left/2))
}

// pauseOf returns the rest of an endpoint's pause in milliseconds for the diagnostic dump.
func (svc *service) pauseOf(e *endpoint, now time.Time) int64 {
	until := svc.pausedUntil(e, now)
	if until.IsZero() {
		return 0
	}
	return until.Sub(now).Milliseconds()
}
