package dispatch

import (
	"time"

	"filbertusher/pkg/usher"
)

// durationHistory is the number of recent requests of a route over which their durations are
// averaged.
const durationHistory = 50

// StopAt makes the scheduler begin no request any more that is not expected to end by then,
// when this instance cancels those that still run. Such requests are refused, also while they
// wait, for a back end would work in vain and the caller of one that may not be repeated
// would lose it. Two kinds lose nothing: a request whose deadline comes first ends by then in
// any case, and a stream that can be taken up elsewhere needs only the time to its first event.
func (s *Scheduler) StopAt(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopAt = end
	for _, svc := range s.services {
		s.assignSlots(svc, s.options.Now())
	}
}

// canFinish reports whether a request that is sent now is expected to get so far before this
// instance ends that its caller loses nothing. The caller must hold s.mu.
func (s *Scheduler) canFinish(svc *service, request *Request, now time.Time) bool {
	if s.stopAt.IsZero() || !request.Deadline.After(s.stopAt) {
		return true
	}
	left := s.stopAt.Sub(now)
	return svc.expectedDuration(request) <= left || request.Resumable && s.minTimeToFirstEvent(svc, request, now) <= left
}

// refuseUnfinishable refuses the queued requests that can't be finished any more.
func (s *Scheduler) refuseUnfinishable(svc *service, now time.Time) {
	if s.stopAt.IsZero() || svc.queue.len() == 0 {
		return
	}
	var late []*waiter
	for w := range svc.queue.inOrder() {
		if !s.canFinish(svc, w.request, now) {
			late = append(late, w)
		}
	}
	for _, w := range late {
		if svc.queue.remove(w) {
			svc.counts.refused++
			w.decided <- decision{refusal: unfinishableRefusal()}
		}
	}
}

func unfinishableRefusal() *usher.Refusal {
	return usher.NewRefusal(usher.RefusalLeaving, "the instance stops before the request could end")
}

// expectedDuration returns how long a request is expected to take from its grant to the end
// of the answer, by what recent requests of its route took.
func (svc *service) expectedDuration(request *Request) time.Duration {
	predicted := svc.predictedDuration(request)
	stats := svc.routes[request.Route]
	if stats == nil {
		return predicted
	}
	return time.Duration(float64(predicted) * stats.duration.ratio())
}

// predictedDuration returns the duration that the model predicts at an average endpoint.
func (svc *service) predictedDuration(request *Request) time.Duration {
	seconds := baseServiceSeconds
	if svc.spec.Engine {
		seconds = svc.serviceSeconds(request.Prompt, request.Answer)
	}
	return time.Duration(seconds * float64(time.Second))
}

// meanDuration is by how much a route's recent requests took longer than the model predicted,
// weighted by their duration and by age. A stop cuts long requests, and what short ones took says
// little about those. weights is the sum of the weights in seconds, and weighted that of the ratios
// times the weights.
type meanDuration struct{ weighted, weights float64 }

// add adds a request. It weighs at most as much as all before it together, so that a single slow
// answer doesn't stand for its route.
func (d *meanDuration) add(took, predicted time.Duration) {
	const kept = 1 - 1.0/durationHistory
	weight := min(took.Seconds(), d.weights+predicted.Seconds())
	d.weighted = d.weighted*kept + weight*took.Seconds()/predicted.Seconds()
	d.weights = d.weights*kept + weight
}

// ratio returns the mean, or 1 if no request has ended yet.
func (d *meanDuration) ratio() float64 {
	if d.weights == 0 {
		return 1
	}
	return d.weighted / d.weights
}
