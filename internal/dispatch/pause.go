package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"filbertusher/pkg/usher"
)

// incarnation identifies one start of an endpoint.
type incarnation struct {
	name usher.EndpointName
	born int64
}

func incarnationOf(r *usher.Registration) incarnation { return incarnation{name: r.Name, born: r.Born} }

// Pause sends no requests to the grant's endpoint for a time that the endpoint has asked
// for. A later, shorter pause has no effect. Queued requests that only paused endpoints
// could serve are refused if they would not wait until the first pause ends.
func (g *Grant) Pause(wait time.Duration) {
	s := g.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	svc, now := g.service, s.options.Now()
	maps.DeleteFunc(svc.pauses, func(_ incarnation, until time.Time) bool { return !now.Before(until) })
	paused, until := incarnationOf(&g.Endpoint), now.Add(wait)
	if svc.pauses[paused].After(until) {
		return
	}
	svc.pauses[paused] = until
	s.refuseBlocked(svc, now)
}

// refuseBlocked refuses the queued requests that would not wait until the first pause ends.
// The caller must hold s.mu.
func (s *Scheduler) refuseBlocked(svc *service, now time.Time) {
	if len(svc.pauses) == 0 {
		return
	}
	for _, w := range slices.Collect(svc.queue.inOrder()) {
		if svc.isBlockedByPauses(w, now) {
			s.refuseQueued(svc, w, now, &svc.counts.refused, pausedMessage)
		}
	}
}

// pausedMessage is the message of refusals of requests that only paused endpoints could
// serve.
const pausedMessage = "all endpoints are paused"

// pausedUntil returns the end of the endpoint's pause, or the zero time.
func (svc *service) pausedUntil(e *endpoint, now time.Time) time.Time {
	until := svc.pauses[incarnationOf(&e.Registration)]
	if !now.Before(until) {
		return time.Time{}
	}
	return until
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

// isBlockedByPauses reports whether all endpoints that a request may use are paused for longer
// than it waits.
func (svc *service) isBlockedByPauses(w *waiter, now time.Time) bool {
	return svc.firstPauseEnd(w.request, now).After(w.waitDeadline)
}

// RetryAfterPause returns how long the caller of a request that endpoints have rejected
// should wait while all that serve it are paused, or 0.
func (s *Scheduler) RetryAfterPause(request *Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service(request.Service).retryAfterPause(request, s.options.Now())
}

// retryAfterPause returns how long a refused caller should wait while all endpoints are
// paused, or 0. Random jitter keeps callers that were refused at the same moment from
// retrying all at the end of the pause.
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
