package dispatch

import (
	"slices"
	"time"

	"filbertusher/pkg/usher"
)

const (
	// durationSamples is the number of recent durations of a route from which the duration
	// of its next request is estimated, and durationQuantile the quantile that it is taken
	// to be.
	durationSamples  = 32
	durationQuantile = 0.9
)

// StopAt makes the scheduler begin no request any more that is not expected to end by then,
// when this instance cancels those that still run. Such requests are refused, also while they
// wait, for a back end would work in vain and the caller of one that may not be repeated
// would lose it. A request whose deadline comes first ends by then in any case.
func (s *Scheduler) StopAt(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopAt = end
	for _, svc := range s.services {
		s.assignSlots(svc, s.options.Now())
	}
}

// canFinish reports whether a request that is sent now is expected to end before this
// instance does. The caller must hold s.mu.
func (s *Scheduler) canFinish(svc *service, request *Request, now time.Time) bool {
	if s.stopAt.IsZero() || !request.Deadline.After(s.stopAt) {
		return true
	}
	return !now.Add(svc.expectedDuration(request)).After(s.stopAt)
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
	return time.Duration(float64(predicted) * stats.durations.quantile())
}

// predictedDuration returns the duration that the model predicts at an average endpoint.
func (svc *service) predictedDuration(request *Request) time.Duration {
	seconds := baseServiceSeconds
	if svc.spec.Engine {
		seconds = svc.serviceSeconds(request.Prompt, request.Answer)
	}
	return time.Duration(seconds * float64(time.Second))
}

// durationWindow holds the last durationSamples durations of a route, written in rotation at
// next, each relative to the model's prediction.
type durationWindow struct {
	ratios []float64
	next   int
}

func (d *durationWindow) add(took, predicted time.Duration) {
	ratio := took.Seconds() / predicted.Seconds()
	if len(d.ratios) < durationSamples {
		d.ratios = append(d.ratios, ratio)
		return
	}
	d.ratios[d.next] = ratio
	d.next = (d.next + 1) % durationSamples
}

// quantile returns the durationQuantile of the ratios, or 1 if there are none.
func (d *durationWindow) quantile() float64 {
	if len(d.ratios) == 0 {
		return 1
	}
	sorted := slices.Sorted(slices.Values(d.ratios))
	return sorted[int(float64(len(sorted))*durationQuantile)]
}
