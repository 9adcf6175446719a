package dispatch

import (
	"slices"
	"testing"
	"time"

	"filbertusher/pkg/usher"
)

// length is the size of a request by the answer that it turned out to have.
func (r *simRequest) length() float64 {
	return float64(r.waiter.request.Prompt) + answerTokenWeight*float64(r.answer)
}

// isServed reports whether the complete answer arrived before the caller's deadline.
func (r *simRequest) isServed() bool {
	return !r.ended.IsZero() && r.ended.Sub(r.arrived) <= r.class.deadline
}

// servedBySize returns the fraction of the requests of a class that were served, of
// all of them, of the largest tenth, and of the fifth below it.
func (s *simulation) servedBySize(class *requestClass) (all, largest, large float64) {
	var requests []*simRequest
	for _, r := range s.requests {
		if r.class == class {
			requests = append(requests, r)
		}
	}
	slices.SortFunc(requests, func(a, b *simRequest) int { return int(a.length() - b.length()) })
	fraction := func(requests []*simRequest) float64 {
		served := 0
		for _, r := range requests {
			if r.isServed() {
				served++
			}
		}
		return float64(served) / float64(max(1, len(requests)))
	}
	n := len(requests)
	return fraction(requests), fraction(requests[n*9/10:]), fraction(requests[n*7/10 : n*9/10])
}

// Many instances share engines with few slots under twice the load that these can
// serve, most of it of the middle class. In each class, the largest tenth and the fifth
// below it are served at least half as often as the whole class.
func TestOverloadServesAllSizes(t *testing.T) {
	for seed := range uint64(3) {
		classes := []requestClass{
			{"report", 0, 46, 6610, 380, 3800, 600 * time.Millisecond, 12 * time.Second},
			{"answer", 1, 200, 628, 290, 2900, 600 * time.Millisecond, 10 * time.Second},
			{"lookup", 2, 100, 1800, 23, 225, 1200 * time.Millisecond, 2500 * time.Millisecond},
		}
		slowdowns, weights := make([]float64, 20), make([]float64, 11)
		for i := range slowdowns {
			slowdowns[i] = []float64{0.55, 1, 2.8}[i%3]
		}
		for i := range weights {
			weights[i] = []float64{1, 5}[i%2]
		}
		s := newSimulationWithSlots(seed, len(weights), 8, slowdowns...)
		s.run(20*time.Second, 1.5, weights, classes)
		for k := range classes {
			all, largest, large := s.servedBySize(&classes[k])
			t.Logf("seed %d, %s: served %.2f, of the largest tenth %.2f, of the fifth below %.2f", seed, classes[k].name, all, largest, large)
			if largest < all/2 || large < all/2 {
				t.Errorf("seed %d, %s: %.2f of the largest tenth and %.2f of the fifth below it served, of all %.2f", seed, classes[k].name, largest, large, all)
			}
		}
	}
}

// The statistics of routes do not grow without limit when the configuration names
// ever more of them.
func TestRouteStatsAreBounded(t *testing.T) {
	s := newTestScheduler(time.Now, ServiceSpec{Engine: true, Slots: 1}, "a")
	svc := s.service("s")
	for i := range 3 * maxRoutes {
		svc.statsOf(usher.RouteName(rune(i)), time.Unix(1000, 0)).arrive(1)
	}
	if len(svc.routes) > maxRoutes {
		t.Errorf("%d routes have statistics, want at most %d", len(svc.routes), maxRoutes)
	}
}
